package labcommand

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"heathgap/internal/command"
	"heathgap/internal/lab/fake"
	"heathgap/internal/lab/fit"
	"heathgap/internal/lab/harness"
	"heathgap/internal/lab/scenario"
)

// Bounds of what the commands call, chain and lists may measure, for the descriptors, ports and time of one machine.
const (
	maxListed        = 1000 // endpoints of the list
	maxClasses       = 1000
	maxStages        = 64
	maxPeers         = 100_000
	maxTierEndpoints = 16 // fake endpoints in a tier of a chain
	maxRuns          = 100
	maxWatchers      = 2000
	maxRealSidecars  = 64 // real sidecars that watch the list
	maxChanges       = 100_000
	maxDuration      = time.Hour
	maxDeadline      = time.Minute
)

// measureOptions returns the harness options for a measurement, and prepares the process and the log folder for it.
func (g *commonOptions) measureOptions() (harness.Options, error) {
	program, err := g.program()
	if err != nil {
		return harness.Options{}, err
	}
	if g.Logs != "" {
		if err := os.MkdirAll(g.Logs, 0o755); err != nil {
			return harness.Options{}, err
		}
	}
	debug.SetGCPercent(labGC)
	return harness.Options{LogDir: g.Logs, Sidecar: func() *exec.Cmd { return exec.Command(program) }}, nil
}

// checkRange returns an error that names the flag if a value is out of range, or if there is none.
func checkRange[T int | float64 | time.Duration](flag string, minValue, maxValue T, values ...T) error {
	for _, v := range values {
		if !(v >= minValue && v <= maxValue) {
			return fmt.Errorf("--%s: %v; allowed: %v to %v", flag, v, minValue, maxValue)
		}
	}
	if len(values) == 0 {
		return fmt.Errorf("--%s: nothing; allowed: one value or more", flag)
	}
	return nil
}

// checkRates checks the values of --rate, which must be above 0.
func checkRates(maxRate float64, values ...float64) error {
	for _, v := range values {
		if !(v > 0 && v <= maxRate) {
			return fmt.Errorf("--rate: %v; allowed: above 0, up to %v", v, maxRate)
		}
	}
	if len(values) == 0 {
		return errors.New("--rate: nothing; allowed: one value or more")
	}
	return nil
}

// repeatOptions are the flags for the length and number of a measurement's runs.
type repeatOptions struct {
	For     time.Duration `default:"5s" help:"Duration of a run."`
	Runs    int           `default:"3" help:"Number of runs of each size; the minimum, median and maximum are printed."`
	MostLag time.Duration `default:"10ms" help:"A run whose load was sent later than this at the 99th percentile is void, and is repeated."`
}

func (r *repeatOptions) check() error {
	return cmp.Or(
		checkRange("for", time.Second, maxDuration, r.For), checkRange("runs", 1, maxRuns, r.Runs),
		checkRange("most-lag", time.Microsecond, maxDuration, r.MostLag),
	)
}

// maxVoidRuns is how often one run is made before the machine counts as too busy.
const maxVoidRuns = 10

// measureValid repeats a measurement until the load's own lag is small enough: otherwise the run would measure the lab
// and not the sidecar. Each void run is reported.
func measureValid[T any](o *command.Out, maxLag time.Duration, what string, measure func() (T, error), lag func(T) float64) (T, error) {
	for range maxVoidRuns {
		m, err := measure()
		if err != nil || lag(m) <= float64(maxLag)/float64(time.Millisecond) {
			return m, err
		}
		fmt.Fprintf(o, "%s: VOID: the load lagged by %.1f ms at the 99th percentile; load average %s\n", what, lag(m), loadAverage())
	}
	var none T
	return none, fmt.Errorf("%s: void %d times: the machine is too busy, or --most-lag %v is too small", what, maxVoidRuns, maxLag)
}

// printHeader begins a report with the parameters and the machine: without them, the measurements mean nothing.
func printHeader(o *command.Out, format string, args ...any) {
	m := harness.ThisMachine()
	fmt.Fprintf(o, format+"\n", args...)
	fmt.Fprintf(o, "machine: %d cores, %d MB, %s; load average %s\n", m.Cores, m.MemoryMB, m.Go, loadAverage())
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes, as other processes may use the machine too.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}

// spread is the minimum, median and maximum of several runs.
type spread struct{ min, median, max float64 }

func spreadOf(runs []float64) spread {
	s := slices.Sorted(slices.Values(runs))
	n := len(s)
	return spread{min: s[0], median: (s[(n-1)/2] + s[n/2]) / 2, max: s[n-1]}
}

func (s spread) String() string { return fmt.Sprintf("%.4g/%.4g/%.4g", s.min, s.median, s.max) }

// measurement is a measured quantity with its values by size and run.
type measurement struct {
	name    string
	runs    [][]float64 // by size, then by run
	fitLine bool        // print a line fitted through the medians
}

// printMeasurements prints the minimum, median and maximum of each measurement at each size. For measurements with
// fitLine it also prints how well a line through the smaller sizes predicts the largest.
func printMeasurements(o *command.Out, x string, sizes []float64, measurements []*measurement) {
	fmt.Fprintf(o, "least/median/most of runs; load average %s\n", loadAverage())
	for _, f := range measurements {
		fmt.Fprintf(o, "%s:", f.name)
		medians := make([]float64, len(sizes))
		for i, size := range sizes {
			s := spreadOf(f.runs[i])
			medians[i] = s.median
			fmt.Fprintf(o, "  [%s %v] %v", x, size, s)
		}
		fmt.Fprintln(o)
		if f.fitLine {
			fmt.Fprintf(o, "    %s\n", predictLargest(sizes, medians))
		}
	}
}

// predictLargest fits a line through the medians of all sizes but the largest, and compares its prediction with the
// median at the largest.
func predictLargest(sizes, medians []float64) string {
	largest := 0
	for i := range sizes {
		if sizes[i] > sizes[largest] {
			largest = i
		}
	}
	var x, y []float64
	for i := range sizes {
		if sizes[i] != sizes[largest] {
			x, y = append(x, sizes[i]), append(y, medians[i])
		}
	}
	line, err := fit.Linear(x, y)
	if err != nil {
		return "no line: " + err.Error() + " beside the largest"
	}
	at := sizes[largest]
	return fmt.Sprintf("line without the largest: %v; at %v it says %.4g, the run %.4g (%+.1f %%)",
		line, at, line.Predict(at), medians[largest], 100*line.RelativeError(at, medians[largest]))
}

// labCall is the command `heathlab call`.
type labCall struct {
	commonOptions
	repeatOptions
	Rate      []float64 `default:"379" help:"Requests a second on each of the two paths: direct and through the sidecar."`
	Endpoints []int     `default:"13" help:"Endpoints of the list; each accepts calls."`
	Peers     []int     `default:"0" help:"Sidecar instances in the settings, this one included: the more there are, the fewer endpoints each uses. 0 for as many as endpoints."`
	Classes   []int     `default:"1" help:"Classes in the settings; requests have each in turn."`
	Stages    []int     `default:"1" help:"Tiers that the settings name."`
	Own       bool      `default:"true" negatable:"" help:"The settings say that each caller has a sidecar of its own."`
}

// sizes returns the flag that has several values, those values, and a configuration for each. At most one flag may have
// several.
func (c *labCall) sizes() (flag string, sizes []float64, confs []harness.OverheadConf, err error) {
	if err := cmp.Or(
		c.check(), checkRates(scenario.MaxRate/2, c.Rate...), checkRange("endpoints", 1, maxListed, c.Endpoints...),
		checkRange("peers", 0, maxPeers, c.Peers...), checkRange("classes", 1, maxClasses, c.Classes...),
		checkRange("stages", 1, maxStages, c.Stages...),
	); err != nil {
		return "", nil, nil, err
	}
	base := harness.OverheadConf{
		Rate: c.Rate[0], For: c.For, Endpoints: c.Endpoints[0], Peers: c.Peers[0], Classes: c.Classes[0], Stages: c.Stages[0], PerCaller: c.Own,
	}
	flags := []struct {
		name string
		n    int
		set  func(conf *harness.OverheadConf, i int) float64
	}{
		{"rate", len(c.Rate), func(f *harness.OverheadConf, i int) float64 { f.Rate = c.Rate[i]; return f.Rate }},
		{"endpoints", len(c.Endpoints), func(f *harness.OverheadConf, i int) float64 {
			f.Endpoints = c.Endpoints[i]
			return float64(f.Endpoints)
		}},
		{"peers", len(c.Peers), func(f *harness.OverheadConf, i int) float64 { f.Peers = c.Peers[i]; return float64(f.Peers) }},
		{"classes", len(c.Classes), func(f *harness.OverheadConf, i int) float64 { f.Classes = c.Classes[i]; return float64(f.Classes) }},
		{"stages", len(c.Stages), func(f *harness.OverheadConf, i int) float64 { f.Stages = c.Stages[i]; return float64(f.Stages) }},
	}
	chosen := flags[0]
	for _, f := range flags {
		if f.n > 1 && chosen.n > 1 && f.name != chosen.name {
			return "", nil, nil, fmt.Errorf("--%s and --%s: several values of both; allowed: of one flag", chosen.name, f.name)
		}
		if f.n > 1 {
			chosen = f
		}
	}
	for i := range chosen.n {
		conf := base
		sizes = append(sizes, chosen.set(&conf, i))
		if conf.Peers == 0 {
			conf.Peers = conf.Endpoints
		}
		confs = append(confs, conf)
	}
	return chosen.name, sizes, confs, nil
}

// Run measures every size once, then every size again, and so on: a slow moment of the machine affects all sizes alike.
func (c *labCall) Run(o *command.Out) error {
	flag, sizes, confs, err := c.sizes()
	if err != nil {
		return err
	}
	opts, err := c.measureOptions()
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	printHeader(o, "call: rate %v, endpoints %v, peers %v, classes %v, stages %v, own %v; %d runs of %v",
		c.Rate, c.Endpoints, c.Peers, c.Classes, c.Stages, c.Own, c.Runs, c.For)
	names := []string{
		"us of the sidecar's processor a request", "percent of a core", "added p50, ms", "added p99, ms", "straight p50, ms", "straight p99, ms",
		"memory (VmHWM), MB", "descriptors", "endpoints used", "requests by each way", "the load's own lag p99, ms",
	}
	measurements := make([]*measurement, len(names))
	for i, name := range names {
		measurements[i] = &measurement{name: name, runs: make([][]float64, len(sizes)), fitLine: i < 4 || i == 6 || i == 7}
	}
	for run := range c.Runs {
		for i, conf := range confs {
			conf.Seed = uint64(run + 1)
			m, err := measureValid(o, c.MostLag, fmt.Sprintf("run %d, %s %v", run+1, flag, sizes[i]),
				func() (harness.Overhead, error) { return harness.MeasureOverhead(ctx, conf, opts) }, func(m harness.Overhead) float64 { return m.Lag })
			if err != nil {
				return err
			}
			for k, v := range []float64{
				m.CPU, m.CPU * float64(m.Requests) / c.For.Seconds() / 1e4, m.AddedP50(), m.AddedP99(), m.DirectP50, m.DirectP99, m.RSSMB,
				float64(m.FDs), float64(m.EndpointsUsed), float64(m.Requests), m.Lag,
			} {
				measurements[k].runs[i] = append(measurements[k].runs[i], v)
			}
			if !c.Quiet {
				fmt.Fprintf(o, "run %d, %s %v: %.0f us a request, added p50 %.3f p99 %.3f ms, %.1f MB; load average %s\n",
					run+1, flag, sizes[i], m.CPU, m.AddedP50(), m.AddedP99(), m.RSSMB, loadAverage())
			}
		}
	}
	printMeasurements(o, flag, sizes, measurements)
	return nil
}

// labChain is the command `heathlab chain`.
type labChain struct {
	commonOptions
	repeatOptions
	Deep      []int         `default:"1,3,7,13,21" help:"Tiers of services, each with a sidecar before it."`
	Rate      float64       `default:"20" help:"Requests a second at the first tier, on each path."`
	Endpoints int           `default:"2" help:"Fake endpoints of each tier."`
	Deadline  time.Duration `default:"2s" help:"Deadline of a request at the first tier."`
	Peers     int           `default:"1" help:"Sidecar instances of each tier in the settings, this one included."`
	Own       bool          `default:"true" negatable:"" help:"The settings say that each caller has a sidecar of its own."`
	Fail      []string      `default:"none" help:"Faults of the last tier, one after the other: none, hang, refuses, silent, half, garbage, errors:SHARE."`
}

// failure is a value of --fail: what the last tier does.
type failure struct {
	name    string
	trouble fake.Trouble
	share   float64
}

// parseFailure parses a value of --fail.
func parseFailure(value string) (failure, error) {
	name, text, hasShare := strings.Cut(value, ":")
	f := failure{name: value, share: 1}
	switch trouble := fake.Trouble(name); trouble {
	case fake.Hang, fake.Refuses, fake.Silent, fake.TruncatedAnswer, fake.Garbage:
		f.trouble = trouble
	case fake.Errors:
		f.trouble = trouble
		if !hasShare {
			return f, nil
		}
		var err error
		if f.share, err = strconv.ParseFloat(text, 64); err != nil || !(f.share > 0 && f.share <= 1) {
			return f, fmt.Errorf("--fail: %q; allowed: errors: and a share above 0, up to 1", value)
		}
		return f, nil
	default:
		if name != "none" {
			return f, fmt.Errorf("--fail: %q; allowed: none, hang, refuses, silent, half, garbage, errors:SHARE", value)
		}
	}
	if hasShare {
		return f, fmt.Errorf("--fail: %q; allowed: a share with errors only", value)
	}
	return f, nil
}

// parseFailures checks the flags and returns the parsed values of --fail.
func (c *labChain) parseFailures() ([]failure, error) {
	if err := cmp.Or(
		c.check(), checkRange("deep", 1, harness.MaxDepth, c.Deep...), checkRates(scenario.MaxRate, c.Rate),
		checkRange("endpoints", 1, maxTierEndpoints, c.Endpoints), checkRange("deadline", 10*time.Millisecond, maxDeadline, c.Deadline),
		checkRange("peers", 1, maxPeers, c.Peers),
	); err != nil {
		return nil, err
	}
	if len(c.Fail) == 0 {
		return nil, errors.New("--fail: nothing; allowed: one value or more")
	}
	all := make([]failure, len(c.Fail))
	for i, value := range c.Fail {
		var err error
		if all[i], err = parseFailure(value); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// Run measures all depths with each failure.
func (c *labChain) Run(o *command.Out) error {
	failures, err := c.parseFailures()
	if err != nil {
		return err
	}
	opts, err := c.measureOptions()
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	printHeader(o, "chain: deep %v, %v a second, %d stand-ins a tier, deadline %v, peers %d, own %v; %d runs of %v",
		c.Deep, c.Rate, c.Endpoints, c.Deadline, c.Peers, c.Own, c.Runs, c.For)
	for _, f := range failures {
		if err := c.measureDepths(ctx, o, f, opts); err != nil {
			return err
		}
	}
	return nil
}

// measureDepths measures all depths with one failure of the last tier.
func (c *labChain) measureDepths(ctx context.Context, o *command.Out, f failure, opts harness.Options) error {
	sizes := make([]float64, len(c.Deep))
	names := []string{
		"added p50, ms", "added p99, ms", "through p50, ms", "through p99, ms", "straight p50, ms", "straight p99, ms", "served of a hundred",
		"attempts at the last tier for a request at the front", "us of all sidecars' processors for a request at the front",
		"ms of the deadline that the last tier's sidecar was told, p50", "the load's own lag p99, ms",
	}
	healthy := f.trouble == fake.NoTrouble
	measurements := make([]*measurement, len(names))
	for i, name := range names {
		measurements[i] = &measurement{name: name, runs: make([][]float64, len(sizes)), fitLine: healthy && (i < 2 || i == 8 || i == 9)}
	}
	fmt.Fprintf(o, "\nlast tier: %s\n", f.name)
	for run := range c.Runs {
		for i, depth := range c.Deep {
			sizes[i] = float64(depth)
			conf := harness.ChainConf{
				Depth: depth, Endpoints: c.Endpoints, Rate: c.Rate, For: c.For, Deadline: c.Deadline, Peers: c.Peers, PerCaller: c.Own, CompareDirect: healthy,
				Trouble: f.trouble, Share: f.share, Seed: uint64(run + 1),
			}
			if healthy {
				conf.Rate = 2 * c.Rate
			}
			m, err := measureValid(o, c.MostLag, fmt.Sprintf("run %d, deep %d", run+1, depth),
				func() (*harness.Chain, error) { return harness.MeasureChain(ctx, conf, opts) }, func(m *harness.Chain) float64 { return m.Lag })
			if err != nil {
				return err
			}
			front, last := m.Front[1], m.Tiers[depth-1]
			cpu := 0.0
			for _, t := range m.Tiers {
				cpu += t.CPU * float64(t.Requests)
			}
			requests := float64(max(1, front.Requests))
			for k, v := range []float64{
				front.P50 - m.Front[0].P50, front.P99 - m.Front[0].P99, front.P50, front.P99, m.Front[0].P50, m.Front[0].P99,
				100 * float64(front.Served) / requests, float64(last.Attempts) / requests, cpu / requests, last.RemainingP50, m.Lag,
			} {
				measurements[k].runs[i] = append(measurements[k].runs[i], v)
			}
			fmt.Fprintf(o, "run %d, deep %d: %d requests, %d served, rules broken %d, load average %s\n",
				run+1, depth, front.Requests, front.Served, m.NumViolations, loadAverage())
			for _, b := range m.Violations {
				fmt.Fprintf(o, "  broken: %s at %v: %s\n", b.Rule, b.At.Round(time.Millisecond), b.What)
			}
			if m.BalanceErr != nil {
				fmt.Fprintf(o, "  the book does not add up: %v\n", m.BalanceErr)
			}
			if run == c.Runs-1 && !c.Quiet {
				printTiers(o, m)
			}
		}
	}
	if !healthy {
		measurements = append(measurements[2:4], measurements[6:]...)
	}
	printMeasurements(o, "deep", sizes, measurements)
	return nil
}

// printTiers prints a table with a row for each tier: requests ("asked") and their outcomes ("left": the caller left), attempts (also per
// request of the tier and of the front), harness.Amplified ("1.1^n"), retries, those that served attempts did not pay for ("floors-paid>="),
// the parts of the retry budget, latencies and the time left until the deadline ("left-p50") in ms, and what the sidecar used.
func printTiers(o *command.Out, m *harness.Chain) {
	requests := float64(max(1, m.Front[1].Requests))
	fmt.Fprintln(o, "  tier  asked  attempts  per-ask  per-front  1.1^n  served refused failed left  retries  floors-paid>=  budget(start+floor+tenth)"+
		"  p50   p99  left-p50 left-min  us/ask  MB fds  outcomes")
	for n, t := range m.Tiers {
		fmt.Fprintf(o, "  %4d %6d %9d %8.3f %10.3f %6.2f %7d %7d %6d %4d %8d %14.0f  %8.0f+%.0f+%.0f  %8.2f %.2f %9.1f %8.1f %7.0f %4.0f %3d  %s\n",
			n+1, t.Requests, t.Attempts, float64(t.Attempts)/float64(max(1, t.Requests)), float64(t.Attempts)/requests, harness.Amplified(n+1),
			t.Served, t.Refused, t.Failed, t.CallerLeft, t.Retries(), t.Budget.FromFloors(t.Retries()), t.Budget.Start, t.Budget.Floor, t.Budget.Served,
			t.P50, t.P99, t.RemainingP50, t.RemainingMin, t.CPU, t.RSSMB, t.FDs, outcomes(t.Outcomes))
	}
}

// outcomes returns the counts above 0, by name.
func outcomes(all map[string]int) string {
	var parts []string
	for name, n := range all {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", name, n))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// labLists is the command `heathlab lists`.
type labLists struct {
	commonOptions
	Runs      int           `default:"3" help:"Number of runs of each size; the minimum, median and maximum are printed."`
	Endpoints []int         `default:"13,60,145,290,580" help:"Endpoints of the list."`
	AtOnce    int           `default:"1" help:"Lines that change at once; lists with fewer endpoints are skipped."`
	Apart     bool          `help:"Change each of these lines in a version of its own."`
	Changes   int           `default:"100" help:"Changes in a run."`
	Sidecars  int           `default:"2" help:"Real sidecars that watch."`
	Hollow    int           `default:"50" help:"Emulated watchers, which only speak the protocol."`
	Peers     int           `default:"13" help:"Sidecar instances in the settings: the more there are, the longer their watches wait."`
	Idle      time.Duration `default:"0s" help:"Also measure watches without changes, for this long."`
}

// sizes checks the flags and returns the list sizes that have enough endpoints for --at-once.
func (c *labLists) sizes() ([]int, error) {
	if err := cmp.Or(
		checkRange("runs", 1, maxRuns, c.Runs), checkRange("endpoints", 1, maxListed, c.Endpoints...), checkRange("at-once", 1, maxListed, c.AtOnce),
		checkRange("changes", 1, maxChanges, c.Changes), checkRange("sidecars", 1, maxRealSidecars, c.Sidecars), checkRange("hollow", 0, maxWatchers, c.Hollow),
		checkRange("peers", 1, maxPeers, c.Peers), checkRange("idle", 0, maxDuration, c.Idle),
	); err != nil {
		return nil, err
	}
	sizes := slices.DeleteFunc(slices.Clone(c.Endpoints), func(n int) bool { return n < c.AtOnce })
	if len(sizes) == 0 {
		return nil, fmt.Errorf("--at-once: %d; allowed: up to the largest of --endpoints, %d", c.AtOnce, slices.Max(c.Endpoints))
	}
	return sizes, nil
}

// Run measures every list size once, then every size again, and so on.
func (c *labLists) Run(o *command.Out) error {
	endpoints, err := c.sizes()
	if err != nil {
		return err
	}
	opts, err := c.measureOptions()
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	printHeader(o, "lists: endpoints %v, %d at once, apart %v, %d changes, %d sidecars and %d hollow watchers, peers %d, idle %v; %d runs",
		endpoints, c.AtOnce, c.Apart, c.Changes, c.Sidecars, c.Hollow, c.Peers, c.Idle, c.Runs)
	names := []string{
		"us of a sidecar's processor a change", "calls of a sidecar a change", "answers of the agent a change and sidecar", "bytes asked a change and sidecar",
		"bytes told a change and sidecar", "lines of an answer", "whole lists told a change and sidecar", "bytes told a change and hollow watcher",
		"us of the lab's processor a change and watcher", "bytes of the whole list", "ms until the last has it, p50", "ms until the last has it, most",
		"calls of an idle sidecar a second", "bytes of an idle sidecar a second, both ways", "us of an idle sidecar's processor a second",
	}
	if c.Idle == 0 {
		names = names[:12]
	}
	measurements := make([]*measurement, len(names))
	sizes := make([]float64, len(endpoints))
	for i, name := range names {
		measurements[i] = &measurement{name: name, runs: make([][]float64, len(sizes)), fitLine: i == 0 || i == 4 || i == 8 || i == 9}
	}
	for run := range c.Runs {
		for i, n := range endpoints {
			sizes[i] = float64(n)
			m, err := harness.MeasureListTraffic(ctx, harness.ListTrafficConf{
				Endpoints: n, AtOnce: c.AtOnce, Separately: c.Apart, Changes: c.Changes, Sidecars: c.Sidecars, Emulated: c.Hollow, Peers: c.Peers, Idle: c.Idle,
			}, opts)
			if err != nil {
				return err
			}
			idle := max(1e-9, c.Idle.Seconds())
			for k, v := range []float64{
				m.CPU, m.Real.Calls, m.Real.Answers, m.Real.RequestBytes, m.Real.AnswerBytes, m.Real.LinesPerAnswer, m.Real.FullLists, m.Emulated.AnswerBytes, m.LabCPU,
				m.FullList.AnswerBytes, m.DeliveryP50, m.DeliveryMax, m.Idle.Calls / idle, (m.Idle.RequestBytes + m.Idle.AnswerBytes) / idle, m.IdleCPU,
			}[:len(names)] {
				measurements[k].runs[i] = append(measurements[k].runs[i], v)
			}
			if !c.Quiet {
				fmt.Fprintf(o, "run %d, endpoints %d: %.0f us a change, %.0f bytes told; load average %s\n", run+1, n, m.CPU, m.Real.AnswerBytes, loadAverage())
			}
		}
	}
	printMeasurements(o, "endpoints", sizes, measurements)
	return nil
}
