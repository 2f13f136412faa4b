package sim

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heathgap/internal/sim/simtest"
)

var (
	seeds      = flag.Int("sim.seeds", 100, "number of seeds to run")
	oneSeed    = flag.Int64("sim.seed", -1, "run only this seed")
	shrinkSeed = flag.Int64("sim.shrink", -1, "shrink the script of this seed and save it")
	traceFile  = flag.String("sim.trace", "", "file for the steps of the seed of -sim.seed")
	logFile    = flag.String("sim.log", "", "file for the logs of its sidecars")
)

// runScript runs a script in its own synctest bubble.
func runScript(t *testing.T, script Script, opts Options) (r Result) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		opts.Wait = synctest.Wait
		r = Run(script, opts)
	})
	return r
}

func TestSeeds(t *testing.T) {
	if *oneSeed >= 0 {
		runOneSeed(t, uint64(*oneSeed))
		return
	}
	total := runSeeds(t, *seeds, Options{})
	for _, f := range total.failures {
		t.Errorf("seed %d: %v", f.seed, f.failure)
	}
	total.log(t)
	// Guards against seeds that no longer bring about the rare coincidences, and so no longer test them.
	for _, name := range RareEvents {
		t.Logf("%s: %d times", name, total.rareEvents[name])
		if total.rareEvents[name] == 0 && *seeds >= 100 {
			t.Errorf("no seed brought about: %s", name)
		}
	}
	if total.overlaps == 0 && *seeds >= 100 {
		t.Error("no seed has all four groups of faults at the same time")
	}
}

// totals adds up the results of many runs.
type totals struct {
	runs, overlaps, steps, requests, faults, attempts int
	verdicts                                          [4]int
	simulated, elapsed                                time.Duration
	rareEvents                                        map[RareEvent]int
	failures                                          []failedSeed
}

// failedSeed is a seed whose run failed.
type failedSeed struct {
	seed    uint64
	failure *Failure
}

func (s *totals) log(t *testing.T) {
	t.Helper()
	n := float64(max(1, s.runs))
	t.Logf("%d seeds in %v: %.1f requests, %.1f attempts, %.1f faults and %.0f steps a seed; %d with all four groups of faults at the same time; %.0f simulated seconds a second, %.0f steps a second; served %d, refused %d, failed %d",
		s.runs, s.elapsed.Round(time.Millisecond), float64(s.requests)/n, float64(s.attempts)/n, float64(s.faults)/n,
		float64(s.steps)/n, s.overlaps, s.simulated.Seconds()/s.elapsed.Seconds(), float64(s.steps)/s.elapsed.Seconds(),
		s.verdicts[0], s.verdicts[1], s.verdicts[2])
}

// runSeeds runs the seeds from 0 to n-1 in parallel, on all processors.
func runSeeds(t *testing.T, n int, opts Options) *totals {
	t.Helper()
	total := &totals{rareEvents: map[RareEvent]int{}}
	var mu sync.Mutex
	began := time.Now()
	t.Run("seeds", func(t *testing.T) {
		workers := runtime.GOMAXPROCS(0)
		for worker := range workers {
			t.Run(strconv.Itoa(worker), func(t *testing.T) {
				t.Parallel()
				for seed := worker; seed < n; seed += workers {
					script := GenerateScript(uint64(seed))
					r := runScript(t, script, opts)
					mu.Lock()
					total.add(uint64(seed), &script, r)
					mu.Unlock()
				}
			})
		}
	})
	total.elapsed = time.Since(began)
	slices.SortFunc(total.failures, func(a, b failedSeed) int { return cmp.Compare(a.seed, b.seed) })
	return total
}

func (s *totals) add(seed uint64, script *Script, r Result) {
	s.runs++
	s.steps += r.Steps
	s.requests += r.Requests
	s.faults += r.Faults
	s.attempts += r.Attempts
	s.simulated += r.Time
	for name, n := range r.RareEvents {
		s.rareEvents[name] += n
	}
	for i, v := range r.Verdicts {
		s.verdicts[i] += v
	}
	if script.HasOverlap() {
		s.overlaps++
	}
	if r.Failure != nil {
		s.failures = append(s.failures, failedSeed{seed, r.Failure})
	}
}

func runOneSeed(t *testing.T, seed uint64) {
	opts := Options{Trace: simtest.Create(t, *traceFile), Log: simtest.Create(t, *logFile)}
	r := runScript(t, GenerateScript(seed), opts)
	t.Logf("%+v", r)
	if r.Failure != nil {
		t.Errorf("seed %d: %v", seed, r.Failure)
	}
}

// corpus holds small scripts that failed once; each must pass from then on.
const corpus = "testdata/seeds"

func TestCorpus(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(corpus, "*.json"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no corpus: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			saved, err := LoadSavedFailure(path)
			if err != nil {
				t.Fatal(err)
			}
			if r := runScript(t, saved.Script, Options{}); r.Failure != nil {
				t.Errorf("%s: %v", saved.Reason, r.Failure)
			}
		})
	}
}

// TestShrink shrinks the script of the failing seed of -sim.shrink and saves it in the corpus.
func TestShrink(t *testing.T) {
	if *shrinkSeed < 0 {
		t.Skip("runs with -sim.shrink only")
	}
	fails := func(s Script) *Failure { return runScript(t, s, Options{}).Failure }
	script := GenerateScript(uint64(*shrinkSeed))
	first := fails(script)
	if first == nil {
		t.Fatalf("seed %d does not fail", *shrinkSeed)
	}
	small := Shrink(script, fails)
	last := fails(small)
	path := filepath.Join(corpus, fmt.Sprintf("seed-%d.json", *shrinkSeed))
	if err := (SavedFailure{Reason: last.Error(), Script: small}).Save(path); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d of %d requests and %d of %d faults are left, saved in %s: %v", len(small.Requests), len(script.Requests),
		len(small.Faults), len(script.Faults), path, last)
}

// Guards against a damaged file in the corpus that would load as an empty script and pass.
func TestLoadSavedFailureRejectsInvalid(t *testing.T) {
	for name, text := range map[string]string{"no JSON": "{", "nothing": "{}", "no sidecar": `{"Script":{"Asks":[{"ID":"a"}]}}`} {
		path := filepath.Join(t.TempDir(), "x.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadSavedFailure(path); err == nil {
			t.Errorf("%s: loaded without an error", name)
		}
	}
}
