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
func TestThreeHundred(t *testing.T) {
	conf := Usual()
	conf.Members = 295
	if r := Play(2001, conf, Options{}); r.Failure != nil {
		t.Errorf("seed 2001: %v", r.Failure)
	}
}

// planted are the bugs, each with a rule that is to find it, and a seed that has.
var planted = []struct {
	bug  Bug
	rule string
	seed uint64
}{
	{CountsFromAnswer, Apart, 7},
	{ClockStops, Apart, 4},
	{SlowClock, Apart, 11},
	{SameToken, TwiceThere, 5},
	{AnyEpoch, OlderEpoch, 1},
	{DropsBans, Forgets, 0},
	{NoMajority, NotInOrder, 6},
	{TellsEarly, NotInOrder, 0},
	{TellsEarly, Lost, 0},
	{YesBeforeSync, Stops, 0},
	{YesBeforeSync, TwoLeaders, 14},
	{TrustsOldFolder, Differ, 68},
	{KeepsOldID, Stops, 5},
	{KeepsOldID, Differ, 36},
	{TakesOldWord, Stops, 5},
	{FallsSilent, Stuck, 0},
}

// Each fault of what members are told as changes is found by what they know where its checksum is made right, and does
// nothing where it is not: it is met, and the whole mends it.
func TestPlantedDeltas(t *testing.T) {
	for _, bug := range []Bug{LeavesOut, AppliesAgain, WrongBase, ShortHistory} {
		found, differed := false, 0
		for seed := uint64(0); seed < uint64(*bugSeeds); seed++ {
			if !found {
				r := Play(seed, Held(), Options{Bug: bug, Only: Views, Forged: true})
				if found = r.Failure != nil; found {
					t.Logf("%s: seed %d: %.200s", bug, seed, r.Failure)
				}
			}
			r := Play(seed, Held(), Options{Bug: bug})
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
	for i, c := range planted {
		if *oneBug >= 0 {
			if c.seed = 0; i != *oneBug {
				continue
			}
		}
		found := false
		for seed := c.seed; seed < c.seed+uint64(*bugSeeds) && !found; seed++ {
			r := Play(seed, Usual(), Options{Bug: c.bug, Only: c.rule})
			if found = r.Failure != nil; found {
				t.Logf("%s: seed %d: %v", c.bug, seed, r.Failure)
			}
		}
		if !found {
			t.Errorf("%s: %s finds it in none of %d seeds", c.bug, c.rule, *bugSeeds)
		}
	}
}
