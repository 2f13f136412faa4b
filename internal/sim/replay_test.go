package sim

import (
	"os"
	"runtime"
	"strconv"
	"testing"

	"heathgap/internal/sim/simtest"
)

// printHash is the environment variable that makes TestPrintHash print the hash of each seed's steps.
const printHash = "HEATHGAP_SIM_HASH"

const replaySeeds = 25

// TestPrintHash is what TestSameSeedSameTrace runs in other processes.
func TestPrintHash(t *testing.T) {
	if os.Getenv(printHash) == "" {
		t.Skip("run by TestSameSeedSameTrace only")
	}
	for seed := range uint64(replaySeeds) {
		os.Stdout.WriteString(simtest.HashPrefix + strconv.FormatUint(runScript(t, GenerateScript(seed), Options{}).Hash, 16) + "\n")
	}
}

// Guards against steps that do not follow from the seed alone: a seed must take the same steps twice in
// one process, with one processor and with all, and in other processes.
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

// Different seeds must take different steps: a hash that never changes would hide differences.
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
