package sim

import (
	"os"
	"runtime"
	"strconv"
	"testing"

	"heathgap/internal/sim/simtest"
)

// printHash in the environment has the test's own program print the hash of a seed.
const printHash = "HEATHGAP_SIM_HASH"

const replaySeeds = 25

// TestPrintHash is the other process of TestSameSeedSameTrace.
func TestPrintHash(t *testing.T) {
	if os.Getenv(printHash) == "" {
		t.Skip("run by another test")
	}
	for seed := range uint64(replaySeeds) {
		os.Stdout.WriteString(simtest.HashPrefix + strconv.FormatUint(runScript(t, GenerateScript(seed), Options{}).Hash, 16) + "\n")
	}
}

// The same seed takes the same steps: twice in one process, with one processor and
// with all, and in other processes.
func TestSameSeedSameTrace(t *testing.T) {
	var want []string
	for seed := range uint64(replaySeeds) {
		want = append(want, strconv.FormatUint(runScript(t, GenerateScript(seed), Options{}).Hash, 16))
	}
	before := runtime.GOMAXPROCS(1)
	for seed := range uint64(replaySeeds) {
		if got := strconv.FormatUint(runScript(t, GenerateScript(seed), Options{}).Hash, 16); got != want[seed] {
			t.Errorf("seed %d: %s with one processor, %s with %d", seed, got, want[seed], before)
		}
	}
	runtime.GOMAXPROCS(before)
	simtest.SameInSubprocesses(t, "TestPrintHash", printHash, want)
}

// Different seeds take different steps: a hash that never changes would show nothing.
func TestOtherSeedOtherTrace(t *testing.T) {
	seen := map[uint64]uint64{}
	for seed := range uint64(replaySeeds) {
		hash := runScript(t, GenerateScript(seed), Options{}).Hash
		if other, known := seen[hash]; known {
			t.Errorf("seeds %d and %d take the same steps", seed, other)
		}
		seen[hash] = seed
	}
}
