package labcommand

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"

	"heathgap/internal/command"
	"heathgap/internal/lab/scale"
)

// labScale is the command `heathlab scale`: it runs a cluster of the expected size and checks the limits of its
// scenario.
type labScale struct {
	File    string  `arg:"" help:"The scenario; those that come with heathgap stand in lab/scale."`
	Seed    *uint64 `help:"In place of the scenario's."`
	Runs    int     `default:"1" help:"So many runs, of that seed and the next ones; tells their spread."`
	Sizes   []int   `placeholder:"N,N,..." help:"Play it at each number of sidecars, without limits, and tell how figures grow with that."`
	Predict int     `placeholder:"N" help:"With --sizes: play this number too, and tell beside it what the smaller ones predict of it."`
	Out     string  `placeholder:"DIR" help:"Write record.json and plots there; of several runs each in a folder of its own."`
	Logs    string  `placeholder:"DIR" help:"Keep the processes' logs there."`
	Program string  `placeholder:"PATH" help:"A member's program; heathgap-crew beside this one if not given."`
	JSON    bool    `name:"json" help:"Print records, one a line."`
	Quiet   bool    `help:"Print no progress on standard error."`
}

// Run runs the scenario. It returns an error if a run doesn't count or exceeded a limit.
func (c *labScale) Run(o *command.Out) error {
	s, err := scale.Load(c.File)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	programPath := func(name string) string { return filepath.Join(filepath.Dir(self), name) }
	if c.Program == "" {
		c.Program = programPath("heathgap-crew")
	}
	opts := scale.Options{
		Member:   func() *exec.Cmd { return exec.Command(c.Program) },
		Plain:    func() *exec.Cmd { return exec.Command(programPath("heathgap")) },
		Emulated: func() *exec.Cmd { return exec.Command(self, "hollow") },
		LogDir:   c.Logs,
	}
	if !c.Quiet {
		opts.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
	}
	debug.SetGCPercent(labGC)
	if len(c.Sizes) > 0 {
		return c.runSizes(o, s, opts)
	}
	if c.Predict > 0 {
		return errors.New("--predict: without --sizes there is nothing to predict from")
	}
	var runs []*scale.Record
	passed := true
	for i := range max(1, c.Runs) {
		r, err := c.runOnce(o, s, uint64(i), opts, fmt.Sprintf("%d", i+1))
		if err != nil {
			return err
		}
		runs, passed = append(runs, r), passed && r.Passed()
		if r.Partial {
			break
		}
	}
	if len(runs) > 1 && !c.JSON {
		scale.WriteSpread(o, runs)
	}
	if !passed {
		return errRunFailed
	}
	return nil
}

// runOnce runs the scenario once, with a seed that is seedOffset above the first, and prints or writes the record.
func (c *labScale) runOnce(o *command.Out, s *scale.Scenario, seedOffset uint64, opts scale.Options, folder string) (*scale.Record, error) {
	ctx, stop := interruptContext()
	defer stop()
	seed := s.Seed
	if c.Seed != nil {
		seed = *c.Seed
	}
	if opts.LogDir != "" {
		opts.LogDir = filepath.Join(opts.LogDir, folder)
		if err := os.MkdirAll(opts.LogDir, 0o755); err != nil {
			return nil, err
		}
	}
	r, err := scale.Run(ctx, s, seed+seedOffset, opts)
	if err != nil {
		return nil, err
	}
	if c.Out != "" {
		dir := c.Out
		if c.Runs > 1 || len(c.Sizes) > 0 {
			dir = filepath.Join(dir, folder)
		}
		if err := r.Write(dir); err != nil {
			return nil, err
		}
	}
	if c.JSON {
		return r, json.NewEncoder(o).Encode(r)
	}
	r.WriteText(o)
	return r, nil
}

// runSizes runs the scenario at several sizes and prints how the measurements grow. A run that is void, partial or
// exceeded a limit ends it with an error.
func (c *labScale) runSizes(o *command.Out, s *scale.Scenario, opts scale.Options) error {
	var runs []*scale.Record
	var predicted *scale.Record
	sizes := c.Sizes
	if c.Predict > 0 {
		sizes = append(sizes[:len(sizes):len(sizes)], c.Predict)
	}
	for i, size := range sizes {
		sized, err := s.WithSize(size)
		if err != nil {
			return fmt.Errorf("--sizes: %w", err)
		}
		r, err := c.runOnce(o, sized, 0, opts, fmt.Sprint(size))
		if err != nil {
			return err
		}
		switch {
		case r.Partial || len(r.Void) > 0 || len(r.Broken) > 0:
			return errRunFailed
		case i >= len(c.Sizes):
			predicted = r
		default:
			runs = append(runs, r)
		}
	}
	growth, err := scale.FitGrowth(runs, predicted)
	if err != nil {
		return fmt.Errorf("--sizes: %w; three different ones at least", err)
	}
	if c.JSON {
		return json.NewEncoder(o).Encode(map[string]any{"growth": growth})
	}
	scale.WriteGrowth(o, growth)
	return nil
}
