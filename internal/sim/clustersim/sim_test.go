package clustersim

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"heathgap/internal/sim/simtest"
)

var (
	seeds     = flag.Int("crewsim.seeds", 40, "so many seeds are played")
	heldSeeds = flag.Int("crewsim.held", 16, "so many seeds are played with copied holdings")
	from      = flag.Int("crewsim.from", 0, "from this one on")
	oneSeed   = flag.Int64("crewsim.seed", -1, "only this one")
	keepers   = flag.Int("crewsim.keepers", 5, "of the members")
	members   = flag.Int("crewsim.members", 25, "members that are no keepers")
	traceFile = flag.String("crewsim.trace", "", "where the steps of the one seed are written")
	logFile   = flag.String("crewsim.log", "", "where its keepers' logs are written")
)

func usual() Conf {
	c := Usual()
	c.Keepers, c.Members = *keepers, *members
	return c
}

func TestSeeds(t *testing.T) { playSeeds(t, usual(), *seeds) }

// holding is the crew that holds.
func holding() Conf {
	c := Held()
	c.Keepers, c.Members = *keepers, *members
	return c
}

// The same with copied holdings: members are told of each other and of the placement as changes, and after each answer have what the
// ledger had.
func TestSeedsHeld(t *testing.T) { playSeeds(t, holding(), *heldSeeds) }

func playSeeds(t *testing.T, conf Conf, seeds int) {
	if *oneSeed >= 0 {
		playOne(t, uint64(*oneSeed), conf)
		return
	}
	began := time.Now()
	var sum Result
	sum.Faults, sum.Deltas = map[string]int{}, map[string]int{}
	var active, leaders, settled []time.Duration
	for seed := *from; seed < *from+seeds; seed++ {
		r := Play(uint64(seed), conf, Options{})
		if r.Failure != nil {
			t.Errorf("seed %d: %v", seed, r.Failure)
		}
		sum.Steps += r.Steps
		sum.Versions += r.Versions
		sum.Cautious += r.Cautious / float64(seeds)
		for kind, n := range r.Faults {
			sum.Faults[kind] += n
		}
		for kind, n := range r.Deltas {
			sum.Deltas[kind] += n
		}
		active, leaders, settled = append(active, r.Active...), append(leaders, r.Leaders...), append(settled, r.Settled)
	}
	took := time.Since(began)
	t.Logf("%d seeds, %d steps in %v; %d versions told; cautious %.3f of the members' time; faults %v", seeds, sum.Steps, took.Round(time.Millisecond),
		sum.Versions, sum.Cautious, sum.Faults)
	t.Logf("told to members: %v", sum.Deltas)
	holds := conf.Terms.Holdings.Copies > 0
	if holds && (sum.Deltas["changes"] < 10*sum.Deltas["whole"] || sum.Deltas["whole"] == 0 || sum.Deltas["differed"] > 0) {
		t.Errorf("told to members: %v; wanted: changes, some wholes, and none that differ", sum.Deltas)
	}
	t.Logf("until a version is active %s; nobody leads %s; until all is well %s", spread(active), spread(leaders), spread(settled))
	for _, k := range kinds() { // what the seeds never bring about, they do not test
		if sum.Faults[k.name] == 0 && seeds >= 40 {
			t.Errorf("never drawn: %s", k.name)
		}
	}
	if len(active) < seeds {
		t.Errorf("%d versions became active in %d seeds", len(active), seeds)
	}
}

// spread tells the median, a late one and the last.
func spread(all []time.Duration) string {
	slices.Sort(all)
	if len(all) == 0 {
		return "never"
	}
	return fmt.Sprintf("p50 %v p99 %v max %v of %d", all[len(all)/2].Round(time.Millisecond), all[len(all)*99/100].Round(time.Millisecond),
		all[len(all)-1].Round(time.Millisecond), len(all))
}

func playOne(t *testing.T, seed uint64, conf Conf) {
	opts := Options{Trace: simtest.Create(t, *traceFile), Log: simtest.Create(t, *logFile)}
	r := Play(seed, conf, opts)
	t.Logf("%+v", r)
	if r.Failure != nil {
		t.Errorf("seed %d: %v", seed, r.Failure)
	}
}

// printHash in the environment has the test's own program print the hashes of seeds.
const (
	printHash   = "HEATHGAP_CREWSIM_HASH"
	replaySeeds = 4
)

// hashes plays seeds.
func hashes(t *testing.T) (out []string) {
	t.Helper()
	for seed := range uint64(replaySeeds) {
		out = append(out, fmt.Sprintf("%x", Play(seed, usual(), Options{}).Hash))
	}
	return out
}

// TestPrintHash is the other process of TestSameSeedSameTrace.
func TestPrintHash(t *testing.T) {
	if os.Getenv(printHash) == "" {
		t.Skip("run by another test")
	}
	for _, h := range hashes(t) {
		fmt.Println(simtest.HashPrefix + h)
	}
}

// The same seed takes the same steps, in other processes too, with one processor and with eight; others take others.
func TestSameSeedSameTrace(t *testing.T) {
	want := hashes(t)
	if seen := slices.Compact(slices.Sorted(slices.Values(want))); len(seen) != replaySeeds {
		t.Errorf("%d seeds take %d ways", replaySeeds, len(seen))
	}
	simtest.SameInSubprocesses(t, "TestPrintHash", printHash, want)
}

// Each write of a keeper's disk meets each trouble in turn, until a run has none left to meet: what was told is there, and
// the crew is well again. Nothing else befalls this crew.
func TestEachWriteMeetsTrouble(t *testing.T) {
	conf := Usual()
	conf.Keepers, conf.Members, conf.FaultEvery, conf.Duration = 3, 3, 0, 6*time.Second
	for _, trouble := range troubles {
		writes := 0
		for at := 1; ; at++ {
			conf.TroubleAt, conf.Trouble = at, trouble
			r := Play(1, conf, Options{})
			if r.Failure != nil {
				t.Fatalf("write %d, %s: %v", at, trouble, r.Failure)
			}
			if !r.Troubled {
				break
			}
			writes++
		}
		t.Logf("%s: %d writes", trouble, writes)
		if writes < 10 {
			t.Errorf("%s: only %d writes met it", trouble, writes)
		}
	}
}
