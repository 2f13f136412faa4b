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
	seeds         = flag.Int("crewsim.seeds", 40, "so many seeds are played")
	holdingsSeeds = flag.Int("crewsim.held", 16, "so many seeds are played with copied holdings")
	firstSeed     = flag.Int("crewsim.from", 0, "from this one on")
	oneSeed       = flag.Int64("crewsim.seed", -1, "only this one")
	voters        = flag.Int("crewsim.keepers", 5, "of the members")
	members       = flag.Int("crewsim.members", 25, "members that are no keepers")
	traceFile     = flag.String("crewsim.trace", "", "where the steps of the one seed are written")
	logFile       = flag.String("crewsim.log", "", "where its keepers' logs are written")
)

func defaultConf() Conf {
	c := DefaultConf()
	c.Voters, c.Members = *voters, *members
	return c
}

func TestSeeds(t *testing.T) { runSeeds(t, defaultConf(), *seeds) }

// holdingsConf is the crew that holds.
func holdingsConf() Conf {
	c := HoldingsConf()
	c.Voters, c.Members = *voters, *members
	return c
}

// The same with copied holdings: members are told of each other and of the placement as changes, and after each answer have what the
// ledger had.
func TestSeedsWithHoldings(t *testing.T) { runSeeds(t, holdingsConf(), *holdingsSeeds) }

func runSeeds(t *testing.T, conf Conf, seeds int) {
	if *oneSeed >= 0 {
		runOneSeed(t, uint64(*oneSeed), conf)
		return
	}
	began := time.Now()
	var sum Result
	sum.Faults, sum.Deltas = map[string]int{}, map[string]int{}
	var active, leaders, settled []time.Duration
	for seed := *firstSeed; seed < *firstSeed+seeds; seed++ {
		r := Run(uint64(seed), conf, Options{})
		if r.Failure != nil {
			t.Errorf("seed %d: %v", seed, r.Failure)
		}
		sum.Steps += r.Steps
		sum.Versions += r.Versions
		sum.CautiousShare += r.CautiousShare / float64(seeds)
		for kind, n := range r.Faults {
			sum.Faults[kind] += n
		}
		for kind, n := range r.Deltas {
			sum.Deltas[kind] += n
		}
		active, leaders, settled = append(active, r.ActivationTimes...), append(leaders, r.LeaderlessTimes...), append(settled, r.SettleTime)
	}
	elapsed := time.Since(began)
	t.Logf("%d seeds, %d steps in %v; %d versions told; cautious %.3f of the members' time; faults %v", seeds, sum.Steps, elapsed.Round(time.Millisecond),
		sum.Versions, sum.CautiousShare, sum.Faults)
	t.Logf("told to members: %v", sum.Deltas)
	withHoldings := conf.Params.Holdings.Copies > 0
	if withHoldings && (sum.Deltas["changes"] < 10*sum.Deltas["whole"] || sum.Deltas["whole"] == 0 || sum.Deltas["differed"] > 0) {
		t.Errorf("told to members: %v; wanted: changes, some wholes, and none that differ", sum.Deltas)
	}
	t.Logf("until a version is active %s; nobody leads %s; until all is well %s", spread(active), spread(leaders), spread(settled))
	for _, k := range faultKinds() { // what the seeds never bring about, they do not test
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

func runOneSeed(t *testing.T, seed uint64, conf Conf) {
	opts := Options{Trace: simtest.Create(t, *traceFile), Log: simtest.Create(t, *logFile)}
	r := Run(seed, conf, opts)
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

// traceHashes plays seeds.
func traceHashes(t *testing.T) (out []string) {
	t.Helper()
	for seed := range uint64(replaySeeds) {
		out = append(out, fmt.Sprintf("%x", Run(seed, defaultConf(), Options{}).Hash))
	}
	return out
}

// TestPrintHash is the other process of TestSameSeedSameTrace.
func TestPrintHash(t *testing.T) {
	if os.Getenv(printHash) == "" {
		t.Skip("run by another test")
	}
	for _, h := range traceHashes(t) {
		fmt.Println(simtest.HashPrefix + h)
	}
}

// The same seed takes the same steps, in other processes too, with one processor and with eight; others take others.
func TestSameSeedSameTrace(t *testing.T) {
	want := traceHashes(t)
	if seen := slices.Compact(slices.Sorted(slices.Values(want))); len(seen) != replaySeeds {
		t.Errorf("%d seeds take %d ways", replaySeeds, len(seen))
	}
	simtest.SameInSubprocesses(t, "TestPrintHash", printHash, want)
}

// Each write of a keeper's disk meets each trouble in turn, until a run has none left to meet: what was told is there, and
// the crew is well again. Nothing else befalls this crew.
func TestEachDiskWriteFails(t *testing.T) {
	conf := DefaultConf()
	conf.Voters, conf.Members, conf.FaultEvery, conf.Duration = 3, 3, 0, 6*time.Second
	for _, fault := range diskFaults {
		writes := 0
		for at := 1; ; at++ {
			conf.DiskFaultAt, conf.DiskFault = at, fault
			r := Run(1, conf, Options{})
			if r.Failure != nil {
				t.Fatalf("write %d, %s: %v", at, fault, r.Failure)
			}
			if !r.DiskFaultHit {
				break
			}
			writes++
		}
		t.Logf("%s: %d writes", fault, writes)
		if writes < 10 {
			t.Errorf("%s: only %d writes met it", fault, writes)
		}
	}
}
