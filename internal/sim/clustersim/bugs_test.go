package clustersim

import (
	"flag"
	"testing"
)

var (
	bugSeeds = flag.Int("crewsim.bugseeds", 10, "number of seeds to search for an injected bug, from a seed on that has found it")
	oneBug   = flag.Int("crewsim.bug", -1, "search only for this one of the injected bugs, from seed 0 on")
)

// Guards against a large cluster that never settles: renewals refused for an older epoch removed members from the cluster, and each
// removal raised the epoch for all, faster than 300 members could report it. With that fault seed 2001 was not settled after 20 s.
func TestThreeHundredMembersSettle(t *testing.T) {
	conf := DefaultConf()
	conf.Members = 295
	if r := Run(2001, conf, Options{}); r.Failure != nil {
		t.Errorf("seed 2001: %v", r.Failure)
	}
}

// injectedBugs are the injected bugs, each with a rule that must find it and the first seed to try.
var injectedBugs = []struct {
	bug  Bug
	rule string
	seed uint64
}{
	{CountsFromAnswer, IncompatibleVersions, 7},
	{ClockStops, IncompatibleVersions, 4},
	{SlowClock, IncompatibleVersions, 11},
	{SameToken, DuplicateLease, 5},
	{IgnoresEpoch, OlderEpoch, 1},
	{DropsBans, ForgottenBan, 0},
	{ConfirmsWithoutMajority, NotLinearizable, 6},
	{ReportsEarly, NotLinearizable, 0},
	{ReportsEarly, LostVersion, 0},
	{AcksBeforeSync, VoterStopped, 0},
	{AcksBeforeSync, TwoLeaders, 14},
	{TrustsOldDirectory, LedgersDiffer, 68},
	{KeepsOldID, VoterStopped, 5},
	{KeepsOldID, LedgersDiffer, 36},
	{AcceptsStaleMessages, VoterStopped, 5},
	{StopsSending, NotSettled, 0},
}

// Guards against faulty deltas of members and placement that go unnoticed. With a corrected checksum, the check of the members' views
// must find each fault. With the wrong checksum, a fault must do no harm: the member rejects the delta and gets the full state.
func TestFaultyDeltas(t *testing.T) {
	for _, bug := range []Bug{OmitsChange, ReappliesDelta, WrongBase, TruncatedHistory} {
		found, differed := false, 0
		for seed := uint64(0); seed < uint64(*bugSeeds); seed++ {
			if !found {
				r := Run(seed, HoldingsConf(), Options{Bug: bug, Only: ViewsDiffer, FixChecksums: true})
				if found = r.Failure != nil; found {
					t.Logf("%s: seed %d: %.200s", bug, seed, r.Failure)
				}
			}
			r := Run(seed, HoldingsConf(), Options{Bug: bug})
			if r.Failure != nil {
				t.Errorf("%s: seed %d: %v, although the checksum shows the fault", bug, seed, r.Failure)
			}
			if differed += r.Deltas["differed"]; found && differed > 0 && seed >= 2 {
				break
			}
		}
		if t.Logf("%s: members rejected %d deltas", bug, differed); !found || differed == 0 {
			t.Errorf("%s: found by the check of views: %v, rejected by members: %d times; want both", bug, found, differed)
		}
	}
}

func TestInjectedBugs(t *testing.T) {
	for i, c := range injectedBugs {
		if *oneBug >= 0 {
			if c.seed = 0; i != *oneBug {
				continue
			}
		}
		found := false
		for seed := c.seed; seed < c.seed+uint64(*bugSeeds) && !found; seed++ {
			r := Run(seed, DefaultConf(), Options{Bug: c.bug, Only: c.rule})
			if found = r.Failure != nil; found {
				t.Logf("%s: seed %d: %v", c.bug, seed, r.Failure)
			}
		}
		if !found {
			t.Errorf("%s: the rule %s does not find it in any of %d seeds", c.bug, c.rule, *bugSeeds)
		}
	}
}
