package clustersim

import (
	"flag"
	"testing"
)

var (
	bugSeeds = flag.Int("crewsim.bugseeds", 10, "so many seeds are searched for a planted bug, from the one on that has found it")
	oneBug   = flag.Int("crewsim.bug", -1, "only this one of the planted bugs, from seed 0 on")
)

// Guards against a crew that is busy with itself for good: leases refused for an older epoch cost members their place, which
// raised the epoch for all, faster than 300 members could name it. With that this seed was not well after 20 s.
func TestThreeHundredMembersSettle(t *testing.T) {
	conf := DefaultConf()
	conf.Members = 295
	if r := Run(2001, conf, Options{}); r.Failure != nil {
		t.Errorf("seed 2001: %v", r.Failure)
	}
}

// plantedBugs are the bugs, each with a rule that is to find it, and a seed that has.
var plantedBugs = []struct {
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

// Each fault of what members are told as changes is found by what they know where its checksum is made right, and does
// nothing where it is not: it is met, and the whole mends it.
func TestPlantedDeltas(t *testing.T) {
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
				t.Errorf("%s: seed %d: %v, though its checksum shows it", bug, seed, r.Failure)
			}
			if differed += r.Deltas["differed"]; found && differed > 0 && seed >= 2 {
				break
			}
		}
		if t.Logf("%s: %d were not taken", bug, differed); !found || differed == 0 {
			t.Errorf("%s: found %v, met %d times", bug, found, differed)
		}
	}
}

func TestPlantedBugs(t *testing.T) {
	for i, c := range plantedBugs {
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
			t.Errorf("%s: %s finds it in none of %d seeds", c.bug, c.rule, *bugSeeds)
		}
	}
}
