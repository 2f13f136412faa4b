package sim

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"
)

var (
	seeds     = flag.Int("sim.seeds", 100, "so many seeds are played")
	oneSeed   = flag.Int64("sim.seed", -1, "only this one")
	traceFile = flag.String("sim.trace", "", "where its steps are written")
	logFile   = flag.String("sim.log", "", "where its sidecars' logs are written")
)

// play plays a script in a bubble of its own.
func play(t *testing.T, script Script, opts Options) (r Result) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		opts.Wait = synctest.Wait
		r = Run(script, opts)
	})
	return r
}

func TestSeeds(t *testing.T) {
	if *oneSeed >= 0 {
		playOne(t, uint64(*oneSeed))
		return
	}
	for seed := range uint64(*seeds) {
		r := play(t, Draw(seed), Options{})
		if r.Failure != nil {
			t.Errorf("seed %d: %v", seed, r.Failure)
		}
	}
}

func playOne(t *testing.T, seed uint64) {
	opts := Options{}
	for path, to := range map[*string]func(*os.File){
		traceFile: func(f *os.File) { opts.Trace = f }, logFile: func(f *os.File) { opts.Log = f },
	} {
		if *path == "" {
			continue
		}
		f, err := os.Create(*path)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		to(f)
	}
	r := play(t, Draw(seed), opts)
	t.Logf("%+v", r)
	if r.Failure != nil {
		t.Errorf("seed %d: %v", seed, r.Failure)
	}
}
