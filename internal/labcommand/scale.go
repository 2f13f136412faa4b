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
	File    string  `arg:"" help:"The scenario; those that come with heathgap are in lab/scale."`
	Seed    *uint64 `help:"Seed to use instead of the scenario's."`
	Runs    int     `default:"1" help:"Number of runs, with that seed and the next ones; prints the spread of their measurements."`
	Sizes   []int   `placeholder:"N,N,..." help:"Run it at each of these numbers of sidecars, without limits, and print how the measurements grow with the number."`
	Predict int     `placeholder:"N" help:"With --sizes: run at this number too, and print the measurements beside what the smaller sizes predict."`
	Out     string  `placeholder:"DIR" help:"Folder to write record.json and plots to; with several runs, each has a folder of its own."`
	Logs    string  `placeholder:"DIR" help:"Folder to keep the processes' logs in."`
	Program string  `placeholder:"PATH" help:"A member's program; by default heathgap-crew in the folder of heathlab."`
	JSON    bool    `name:"json" help:"Print records, one per line."`
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
		return fmt.Errorf("--sizes: %w; at least three different sizes are needed", err)
	}
	if c.JSON {
		return json.NewEncoder(o).Encode(map[string]any{"growth": growth})
	}
	scale.WriteGrowth(o, growth)
	return nil
}
