package labcommand

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"heathgap/internal/command"
	"heathgap/internal/lab/harness"
	"heathgap/internal/lab/scenario"
)

// labCrew is the command `heathlab crew`: it runs a cluster of real processes with faults among them.
type labCrew struct {
	File    string        `arg:"" help:"The crew's scenario; those that come with heathgap are in lab/crews."`
	Seed    *uint64       `help:"First seed, instead of the scenario's."`
	Seeds   int           `default:"1" help:"Number of seeds to run in turn, from the first on."`
	Hold    time.Duration `help:"Run no steps, but keep the crew up under load for this long, to try commands on."`
	Dir     string        `placeholder:"DIR" help:"Folder to keep the processes' files in."`
	Logs    string        `placeholder:"DIR" help:"Folder to keep the processes' logs in."`
	Program string        `placeholder:"PATH" help:"A member's program; by default heathgap-crew in the folder of heathlab."`
	Older   string        `placeholder:"PATH" help:"A member's program from an older build, for the step \"older\"."`
	Without bool          `help:"Start the processes without a crew, to show what a crew prevents."`
	JSON    bool          `name:"json" help:"Print records."`
	Quiet   bool          `help:"Print no progress."`
}

// Run runs the scenario once for each seed. It returns an error if a run violated a rule.
func (c *labCrew) Run(o *command.Out) error {
	s, err := scenario.LoadCluster(c.File)
	if err != nil {
		return err
	}
	program := c.Program
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(self), "heathgap-crew")
		if c.Without {
			program = filepath.Join(filepath.Dir(self), "heathgap")
		}
	}
	for _, dir := range []string{c.Dir, c.Logs} {
		if dir != "" {
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
		}
	}
	if c.Hold > 0 {
		s.Steps, s.Random, s.Proposals, s.Duration = nil, 0, 0, c.Hold
	}
	opts := harness.ClusterOptions{Program: func() *exec.Cmd { return exec.Command(program) }, LogDir: c.Logs, Dir: c.Dir, Separate: c.Without}
	if c.Older != "" {
		opts.OlderProgram = func() *exec.Cmd { return exec.Command(c.Older) }
	}
	if !c.Quiet && !c.JSON {
		opts.Progress = func(line string) { fmt.Fprintln(o, line) }
	}
	ctx, stop := interruptContext()
	defer stop()
	first, passed := s.Seed, true
	if c.Seed != nil {
		first = *c.Seed
	}
	for seed := first; seed < first+uint64(max(1, c.Seeds)); seed++ {
		r, err := harness.RunCluster(ctx, s, seed, opts)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		passed = passed && r.NumViolations == 0
		if c.JSON {
			if err := json.NewEncoder(o).Encode(r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(o, "seed %d: %d processes, %d leaders, %d versions, contradicted %.0f ms at most (allowed %.0f), served %d of %d, broken %d\n",
			seed, r.Processes, len(r.Leaders), len(r.Versions), r.Contradicted, r.MaxContradiction, r.Served, r.Requests, r.NumViolations)
		for _, b := range r.Violations {
			fmt.Fprintln(o, "broken:", b)
		}
	}
	if !passed {
		return errRunFailed
	}
	return nil
}
