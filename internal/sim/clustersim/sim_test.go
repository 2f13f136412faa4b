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
	seeds         = flag.Int("crewsim.seeds", 40, "number of seeds to run")
	holdingsSeeds = flag.Int("crewsim.held", 16, "number of seeds to run with holdings")
	firstSeed     = flag.Int("crewsim.from", 0, "first seed to run")
	oneSeed       = flag.Int64("crewsim.seed", -1, "run only this seed")
	voters        = flag.Int("crewsim.keepers", 5, "number of voters")
	members       = flag.Int("crewsim.members", 25, "number of members that are not voters")
	traceFile     = flag.String("crewsim.trace", "", "file for the steps of the seed of -crewsim.seed")
	logFile       = flag.String("crewsim.log", "", "file for the logs of its voters")
)

// defaultConf is DefaultConf with the sizes that the flags set.
func defaultConf() Conf {
	c := DefaultConf()
	c.Voters, c.Members = *voters, *members
	return c
}

func TestSeeds(t *testing.T) { runSeeds(t, defaultConf(), *seeds) }

// holdingsConf is HoldingsConf with the sizes that the flags set.
func holdingsConf() Conf {
	c := HoldingsConf()
	c.Voters, c.Members = *voters, *members
	return c
}

// The same with holdings: members get the other members and the placement as deltas, and after each grant must have what the
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
	t.Logf("%d seeds, %d steps in %v; %d versions reported; cautious %.3f of the members' time; faults %v", seeds, sum.Steps, elapsed.Round(time.Millisecond),
		sum.Versions, sum.CautiousShare, sum.Faults)
	t.Logf("states sent to members: %v", sum.Deltas)
	withHoldings := conf.Params.Holdings.Copies > 0
	if withHoldings && (sum.Deltas["changes"] < 10*sum.Deltas["whole"] || sum.Deltas["whole"] == 0 || sum.Deltas["differed"] > 0) {
		t.Errorf("states sent to members: %v; want mostly changes, some full states (whole), and none that differ", sum.Deltas)
	}
	t.Logf("until a version is active %s; without a leader %s; until the cluster is settled %s", spread(active), spread(leaders), spread(settled))
	for _, k := range faultKinds() { // a fault that no seed injects is not tested
		if sum.Faults[k.name] == 0 && seeds >= 40 {
			t.Errorf("no seed injects the fault %s", k.name)
		}
	}
	if len(active) < seeds {
		t.Errorf("only %d versions became active in %d seeds", len(active), seeds)
	}
}

// spread returns the median, the 99th percentile and the maximum.
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

// printHash is the environment variable that makes TestPrintHash print the hashes.
const (
	printHash   = "HEATHGAP_CREWSIM_HASH"
	replaySeeds = 4
)

// traceHashes runs the first seeds and returns the hashes of their steps.
func traceHashes(t *testing.T) (out []string) {
	t.Helper()
	for seed := range uint64(replaySeeds) {
		out = append(out, fmt.Sprintf("%x", Run(seed, defaultConf(), Options{}).Hash))
	}
	return out
}

// TestPrintHash is what TestSameSeedSameTrace runs in other processes.
func TestPrintHash(t *testing.T) {
	if os.Getenv(printHash) == "" {
		t.Skip("run by TestSameSeedSameTrace only")
	}
	for _, h := range traceHashes(t) {
		fmt.Println(simtest.HashPrefix + h)
	}
}

// Guards against steps that do not follow from the seed alone: a seed must take the same steps in other processes, with one
// processor and with eight. Different seeds must take different steps.
func TestSameSeedSameTrace(t *testing.T) {
	want := traceHashes(t)
	if seen := slices.Compact(slices.Sorted(slices.Values(want))); len(seen) != replaySeeds {
		t.Errorf("the steps of %d seeds have only %d different hashes", replaySeeds, len(seen))
	}
	simtest.SameInSubprocesses(t, "TestPrintHash", printHash, want)
}

// Guards against a voter that loses data or stops for good after a failed write or a crash in a write. Each write of a voter's disk
// gets each fault in turn, until a run has fewer writes. Reported versions must still exist and the cluster must settle. There are
// no other faults.
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
			t.Errorf("%s: only %d writes got the fault, want at least 10", fault, writes)
		}
	}
}
