// Package labcommand implements the lab's command line.
package labcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"heathgap/internal/command"
	"heathgap/internal/lab/harness"
	"heathgap/internal/lab/policy"
	"heathgap/internal/lab/record"
	"heathgap/internal/lab/report"
	"heathgap/internal/lab/scenario"
	"heathgap/internal/lifecycle"
	"heathgap/internal/operator"
)

// labGC is the garbage collector's target percentage in the lab: it runs rarely, as its pauses would delay the load.
const labGC = 800

// heathlab is the lab's command line. Its fields are the commands.
type heathlab struct {
	Run      labRun      `cmd:"" help:"Run a scenario with real sidecars, and write its record."`
	Baseline labBaseline `cmd:"" help:"Run a scenario with other policies in place of heathgap's decisions, seed by seed, and compare them."`
	Sweep    labSweep    `cmd:"" help:"Run a scenario with one key set to several values, seed by seed, and compare them."`
	Compare  labCompare  `cmd:"" help:"Compare records, paired by seed."`
	Crew     labCrew     `cmd:"" help:"Run a crew: a cluster of processes that agree on rules, with faults among them."`
	Scale    labScale    `cmd:"" help:"Run a crew of the expected size, and report which limits hold."`
	Overhead labOverhead `cmd:"" help:"Measure what a sidecar adds to a request, compared with requests sent directly."`
	Call     labCall     `cmd:"" help:"Measure the latency that a sidecar adds to a request and the resources that it takes, at several sizes, with a fitted line."`
	Chain    labChain    `cmd:"" help:"Measure a chain of services with a sidecar before each, without faults and with a last tier that fails."`
	Lists    labLists    `cmd:"" help:"Measure what a change of discovery's list costs its watchers and discovery."`
	List     labList     `cmd:"" help:"List scenarios and policies."`
	Check    labCheck    `cmd:"" help:"Report all mistakes in scenarios, without starting anything."`
	Sidecar  labSidecar  `cmd:"" hidden:"" help:"Run one sidecar in which a policy decides."`
	Hollow   labHollow   `cmd:"" hidden:"" help:"Run a process of emulated members of a crew."`
}

// Heathlab runs the command line of bin/heathlab and returns the exit code.
func Heathlab(args []string, stdout, stderr io.Writer) int {
	return command.Run(&heathlab{}, "heathlab", "An emulator of the fleet on loopback.", args, stdout, stderr)
}

// errRunFailed is returned for a run that doesn't count or violated a rule. Its report has already been printed.
var errRunFailed = errors.New("the run does not count, or violated a rule or a limit")

// commonOptions are the flags of all commands that start sidecars.
type commonOptions struct {
	Sidecar string `placeholder:"PATH" help:"The sidecar's program; by default heathgap in the folder of heathlab."`
	Logs    string `placeholder:"DIR" help:"Folder to keep the logs of sidecars in."`
	Quiet   bool   `help:"Print no progress."`
}

// program returns the path of the sidecar's program.
func (g *commonOptions) program() (string, error) {
	if g.Sidecar != "" {
		return g.Sidecar, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "heathgap"), nil
}

// runScenario runs a scenario once, with the policy of the given name. For policy.Module its sidecars run the sidecar's program; for
// any other policy they run this program, as heathlab sidecar.
func (g *commonOptions) runScenario(ctx context.Context, o *command.Out, s *scenario.Scenario, seed uint64, policyName string) (*record.Record, error) {
	program, err := g.program()
	if err != nil {
		return nil, err
	}
	opts := harness.Options{Policy: policyName, LogDir: g.Logs, Sidecar: func() *exec.Cmd { return exec.Command(program) }}
	if policyName != policy.Module {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		opts.Sidecar = func() *exec.Cmd { return exec.Command(self, "sidecar", "--policy", policyName) }
	}
	if g.Logs != "" {
		if err := os.MkdirAll(g.Logs, 0o755); err != nil {
			return nil, err
		}
	}
	if !g.Quiet {
		opts.Progress = func(line string) { fmt.Fprintln(o, line) }
	}
	debug.SetGCPercent(labGC)
	return harness.Run(ctx, s, seed, opts)
}

// interruptContext returns a context that ends on SIGINT and SIGTERM, so that a run can end gracefully.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// labRun is the command `heathlab run`.
type labRun struct {
	commonOptions
	File   string  `arg:"" help:"The scenario."`
	Seed   *uint64 `help:"Seed to use instead of the scenario's."`
	Policy string  `default:"heathgap" help:"The policy that decides; see the command list."`
	Out    string  `placeholder:"DIR" help:"Folder to write record.json, report.html and plots to."`
	JSON   bool    `name:"json" help:"Print the record."`
}

// Run runs a scenario once. It returns an error if the run doesn't count or violated a rule.
func (c *labRun) Run(o *command.Out) error {
	s, err := scenario.LoadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := policy.ByName(c.Policy); err != nil {
		return err
	}
	seed := s.Seed
	if c.Seed != nil {
		seed = *c.Seed
	}
	c.Quiet = c.Quiet || c.JSON
	ctx, stop := interruptContext()
	defer stop()
	r, err := c.runScenario(ctx, o, s, seed, c.Policy)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := report.Write(c.Out, r); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := report.JSON(o, r); err != nil {
			return err
		}
	} else {
		report.Text(o, r)
	}
	if !r.Passed() {
		return errRunFailed
	}
	return nil
}

// labCompare is the command `heathlab compare`.
type labCompare struct {
	Files  []string `arg:"" name:"record" help:"Records. Those of one policy, or of one folder with --by dir, form one side."`
	Metric string   `default:"service" help:"service, p50_ms, p99_ms, attempts_per_request, or class:NAME or tenant:NAME for the service of a class or tenant."`
	By     string   `default:"policy" enum:"policy,dir" help:"What forms a side: the policy, or the folder of the record."`
}

// Run compares the sides that the records belong to.
func (c *labCompare) Run(o *command.Out) error {
	sides := report.NewComparison()
	for _, path := range c.Files {
		r, err := record.Load(path)
		if err != nil {
			return err
		}
		side := r.Policy
		if c.By == "dir" { // the side is the folder above the one that holds the record: runCases writes SIDE/SEED/record.json
			side = filepath.Dir(filepath.Dir(path))
		}
		sides.Add(side, r)
	}
	return sides.Print(o, c.Metric)
}

// labBaseline is the command `heathlab baseline`.
type labBaseline struct {
	commonOptions
	File     string   `arg:"" help:"The scenario."`
	Seeds    int      `default:"5" help:"Number of seeds, from the scenario's on."`
	Policies []string `default:"heathgap,random,round-robin,least,least-budget,no-retry" help:"The policies to compare."`
	Metric   string   `default:"service" help:"As for the command compare."`
	Out      string   `placeholder:"DIR" help:"Folder to keep records in."`
}

// Run runs all policies with the first seed, then all with the next one, and so on, so that a slow moment of the machine affects all
// policies alike.
func (c *labBaseline) Run(o *command.Out) error {
	s, err := scenario.LoadFile(c.File)
	if err != nil {
		return err
	}
	for _, name := range c.Policies {
		if _, err := policy.ByName(name); err != nil {
			return err
		}
	}
	cases := make([]experimentCase, len(c.Policies))
	for i, name := range c.Policies {
		cases[i] = experimentCase{name: name, policy: name, scenario: s}
	}
	return runCases(o, &c.commonOptions, cases, c.Seeds, c.Metric, c.Out)
}

// experimentCase is one side of a comparison: a scenario with a policy.
type experimentCase struct {
	name, policy string
	scenario     *scenario.Scenario
}

// runCases runs all cases for each of the seeds in turn, prints a comparison by the metric, and writes the records to
// dir if that is not empty.
func runCases(o *command.Out, g *commonOptions, cases []experimentCase, seeds int, metric, dir string) error {
	ctx, stop := interruptContext()
	defer stop()
	g.Quiet = true
	sides := report.NewComparison()
	for n := range seeds {
		for _, c := range cases {
			seed := c.scenario.Seed + uint64(n)
			r, err := g.runScenario(ctx, o, c.scenario, seed, c.policy)
			if err != nil {
				return err
			}
			if r.Partial {
				return errors.New("interrupted")
			}
			fmt.Fprintf(o, "%s: seed %d: %s\n", c.name, seed, report.Line(r))
			sides.Add(c.name, r)
			if dir != "" {
				if err := report.Write(filepath.Join(dir, c.name, fmt.Sprint(seed)), r); err != nil {
					return err
				}
			}
		}
	}
	return sides.Print(o, metric)
}

// labSweep is the command `heathlab sweep`.
type labSweep struct {
	commonOptions
	File   string   `arg:"" help:"The scenario."`
	Key    string   `arg:"" help:"The key, such as load.rate or tier.0.cores."`
	Values []string `arg:"" help:"Its values, written as in a file."`
	Seeds  int      `default:"3" help:"Number of seeds, from the scenario's on."`
	Policy string   `default:"heathgap" help:"The policy that decides."`
	Metric string   `default:"service" help:"As for the command compare."`
	Out    string   `placeholder:"DIR" help:"Folder to keep records in."`
}

// Run runs the scenario with each value of the key, for one seed after the other.
func (c *labSweep) Run(o *command.Out) error {
	if _, err := policy.ByName(c.Policy); err != nil {
		return err
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var cases []experimentCase
	for _, value := range c.Values {
		changed, err := scenario.SetKey(text, c.Key, value)
		if err != nil {
			return err
		}
		s, err := scenario.Parse(c.File+" with "+c.Key+" = "+value, changed)
		if err != nil {
			return err
		}
		cases = append(cases, experimentCase{name: c.Key + "=" + value, policy: c.Policy, scenario: s})
	}
	return runCases(o, &c.commonOptions, cases, c.Seeds, c.Metric, c.Out)
}

// labOverhead is the command `heathlab overhead`.
type labOverhead struct {
	commonOptions
	Rate float64       `default:"1000" help:"Requests a second, half of them through the sidecar."`
	For  time.Duration `default:"10s" help:"Duration of the measurement."`
}

// Run measures the overhead once and prints it.
func (c *labOverhead) Run(o *command.Out) error {
	if c.Rate <= 0 || c.Rate > scenario.MaxRate {
		return fmt.Errorf("--rate: %v; allowed: above 0, up to %d", c.Rate, scenario.MaxRate)
	}
	opts, err := c.measureOptions()
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	m, err := harness.MeasureOverhead(ctx, harness.OverheadConf{
		Rate: c.Rate / 2, For: c.For, Endpoints: 4, Peers: 1, Classes: 1, Stages: 1, Seed: 1,
	}, opts)
	if err != nil {
		return err
	}
	fmt.Fprintf(o, "%d requests by each way, %.0f a second in all; the load's own lag %.2f ms at the 99th percentile\n", m.Requests, c.Rate, m.Lag)
	fmt.Fprintf(o, "straight          p50 %.3f ms  p99 %.3f ms\n", m.DirectP50, m.DirectP99)
	fmt.Fprintf(o, "through a sidecar p50 %.3f ms  p99 %.3f ms\n", m.SidecarP50, m.SidecarP99)
	fmt.Fprintf(o, "added             p50 %.3f ms  p99 %.3f ms, and %.0f us of its processor a request\n", m.AddedP50(), m.AddedP99(), m.CPU)
	return nil
}

// labList is the command `heathlab list`.
type labList struct {
	Dir string `arg:"" optional:"" default:"lab/scenarios" help:"The folder of scenarios."`
}

// Run lists the scenarios of a folder, and the policies.
func (c *labList) Run(o *command.Out) error {
	paths, err := filepath.Glob(filepath.Join(c.Dir, "*.toml"))
	if err != nil {
		return err
	}
	for _, path := range paths {
		s, err := scenario.LoadFile(path)
		if err != nil {
			return err
		}
		fmt.Fprintf(o, "%-40s %6.0f/s %8s  %s\n", path, s.Load.Rate, s.Duration, s.About)
	}
	fmt.Fprintln(o)
	for _, name := range policy.Names() {
		fmt.Fprintf(o, "%-16s %s\n", name, policy.About(name))
	}
	return nil
}

// labCheck is the command `heathlab check`.
type labCheck struct {
	Files []string `arg:"" name:"file" help:"Scenarios."`
}

// Run prints all mistakes of each file.
func (c *labCheck) Run(o *command.Out) error {
	return command.CheckAll(o, c.Files, func(path string) error {
		_, err := scenario.LoadFile(path)
		return err
	})
}

// labSidecar is the hidden command `heathlab sidecar`, a sidecar in which a policy decides.
type labSidecar struct {
	Policy string `required:"" help:"The policy that decides."`
}

// Run runs the sidecar until it ends.
func (c *labSidecar) Run() error {
	decider, err := policy.ByName(c.Policy)
	if err != nil {
		return err
	}
	if code := lifecycle.Main(lifecycle.Options{Operator: operator.Default(), Decider: decider}); code != 0 {
		return fmt.Errorf("the sidecar ended with exit code %d", code)
	}
	return nil
}
