package harness

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heathgap/decide"
	"heathgap/internal/lab/fake"
	"heathgap/internal/lab/load"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/scenario"
)

// MaxDepth bounds a chain: each tier costs a sidecar process and its fake endpoints.
const MaxDepth = 32

// ChainConf describes a chain of services, each of which calls the next one through a sidecar.
type ChainConf struct {
	Depth         int     // number of tiers, each with a sidecar before its services
	Endpoints     int     // in each tier
	Rate          float64 // requests a second
	For           time.Duration
	Deadline      time.Duration // of requests at the front
	Peers         int           // number of peers in each sidecar's settings
	PerCaller     bool          // the settings state that each caller has its own sidecar (family mesh)
	CompareDirect bool          // every second request goes along a second chain without sidecars
	Trouble       fake.Trouble  // of the last tier, for the whole run
	Share         float64       // share of the last tier's requests that fail, if Trouble is Errors
	Seed          uint64
}

// Chain is the result of a chain's measurement.
type Chain struct {
	Front         [2]PathStats // direct, and through the sidecars
	Tiers         []ChainTier
	Lag           float64            // ms by which the load's own requests were late, 99th percentile
	Seconds       float64            // how long the load lasted
	NumViolations int                // of the checker's rules
	Violations    []oracle.Violation // the first ones
	BalanceErr    error              // an inconsistency in the checker's records; nil for none
}

// PathStats describes the requests along one of the two paths.
type PathStats struct {
	Requests, Served int
	P50, P99         float64 // ms, of served requests, from the time when a request was due
}

// ChainTier is one tier: a sidecar and the services behind it.
type ChainTier struct {
	Requests     int // that its sidecar received
	Attempts     int // that its services received
	Served       int // answers of its sidecar
	Refused      int
	Failed       int
	CallerLeft   int            // the caller left, or had no answer by its deadline
	Outcomes     map[string]int // of attempts, by the sidecar's counters
	Budget       Budget         // of the sidecar's retries
	P50, P99     float64        // ms, of served calls as the tier before it saw them; of the first tier as in Front
	RemainingP50 float64        // ms left until the deadline when the calls were made
	RemainingMin float64
	CPU          float64 // microseconds of the sidecar's CPU time for each request
	RSSMB        float64
	FDs          int
}

// Retries returns the number of attempts beyond the first one of each request. Requests that the sidecar refused without an
// attempt hide some retries.
func (t ChainTier) Retries() int { return max(0, t.Attempts-t.Requests) }

// chainScenario has one tier; a chain repeats it.
const chainScenario = `
name = "chain"
duration = "1h"
margin = "300ms"
[limits]
sockets = 4096
most_held = 10000
[[class]]
name = "look"
work = "50us"
aim = "1s"
deadline = "2s"
[[tier]]
name = "tier"
endpoints = 2
cores = 16
slots = 10000
[load]
rate = 1
`

// scenario returns the scenario of the chain, with one tier for each step of its depth.
func (c *ChainConf) scenario() (*scenario.Scenario, error) {
	s, err := scenario.Parse("chain", []byte(chainScenario))
	if err != nil {
		return nil, err
	}
	s.Load.Rate, s.Duration = c.Rate, c.For
	s.Classes[0].Deadline, s.Classes[0].Aim = c.Deadline, min(s.Classes[0].Aim, c.Deadline)
	tierConf := s.Tiers[0]
	tierConf.Endpoints, tierConf.Calls = c.Endpoints, 0
	s.Tiers = nil
	for n := range c.Depth {
		tierConf.Name = fmt.Sprintf("t%d", n+1)
		s.Tiers = append(s.Tiers, tierConf)
	}
	return s, nil
}

// chain is the state of a chain's measurement.
type chain struct {
	*run
	conf   ChainConf
	stages []*chainStage // one for each tier
	calls  atomic.Int64  // numbers the calls
}

// chainStage is a tier and the two paths to it.
type chainStage struct {
	discovery   *fake.Discovery
	sidecar     *sidecar
	through     *load.Client     // through the sidecar
	direct      *load.Client     // without a sidecar; nil unless CompareDirect is set
	directFront *front           // picks endpoints for direct
	endpoints   []*fake.Endpoint // those behind the sidecar first

	mu                sync.Mutex
	latency, timeUsed *hdrhistogram.Histogram // of the calls, and of the deadline's time that was used up when they were made
}

// MeasureChain runs one chain and returns its statistics.
func MeasureChain(ctx context.Context, conf ChainConf, opts Options) (*Chain, error) {
	sc, err := conf.scenario()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "heathlab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	c := &chain{run: newRun(sc, conf.Seed, opts, dir), conf: conf}
	c.openChecker(oracle.NewService(nil, 0))
	defer c.stop()
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	return c.sendLoad(ctx)
}

// start starts the tiers from the last to the first, since each tier calls the next one.
func (c *chain) start(ctx context.Context) error {
	for range c.scenario.Tiers {
		c.discoveries = append(c.discoveries, fake.NewDiscovery(c.checker))
	}
	c.stages = make([]*chainStage, c.conf.Depth)
	for n := c.conf.Depth - 1; n >= 0; n-- {
		stage := &chainStage{discovery: c.discoveries[n], directFront: &front{}, latency: newHistogram(), timeUsed: newHistogram()}
		c.stages[n] = stage
		if err := c.startEndpoints(n, stage); err != nil {
			return err
		}
		stage.sidecar = &sidecar{
			run: c.run, name: fmt.Sprintf("s%d", n+1), tier: n, peers: c.conf.Peers, perCaller: c.conf.PerCaller, zone: "a",
		}
		if err := stage.sidecar.assignAddresses(); err != nil {
			return err
		}
		c.addSidecar(stage.sidecar)
		target, err := stage.sidecar.start(ctx)
		if err != nil {
			return err
		}
		front := &load.SingleTarget{}
		front.Set(target)
		stage.through = load.NewClient(c.checker, front, c.clientGrace())
		if c.conf.CompareDirect {
			stage.direct = load.NewClient(c.checker, stage.directFront, c.clientGrace())
		}
	}
	return nil
}

// startEndpoints starts a tier's fake endpoints: those that its sidecar sends to, and if CompareDirect is set as many of the
// direct path.
func (c *chain) startEndpoints(n int, stage *chainStage) error {
	paths := 1
	if c.conf.CompareDirect {
		paths = 2
	}
	for i := range paths * c.conf.Endpoints {
		isDirect := i >= c.conf.Endpoints
		host, err := c.hosts.acquire()
		if err != nil {
			return err
		}
		t := c.scenario.Tiers[n]
		conf := fake.EndpointConf{
			Name: fmt.Sprintf("%s-%d", t.Name, i), Address: host + ":0", ServerModel: t.ServerModel,
			IdleFor: c.scenario.Limits.ConnIdle, BodyBytes: t.Body, Seed: c.conf.Seed<<16 + uint64(n<<8+i),
			Classes: map[string]fake.ClassConf{"look": {Effect: decide.Safe, Work: c.scenario.Classes[0].Work}},
		}
		if n+1 < c.conf.Depth {
			next := c.stages[n+1]
			client := next.through
			if isDirect {
				client = next.direct
			}
			conf.Calls = 1
			conf.Call = func(ctx context.Context, until time.Duration, _ string) bool {
				return c.call(ctx, next, client, until)
			}
		}
		e, err := fake.StartEndpoint(conf, c.checker)
		if err != nil {
			return err
		}
		stage.endpoints = append(stage.endpoints, e)
		if isDirect {
			stage.directFront.add(&load.Target{Name: "straight-" + t.Name, Address: e.Address()})
			continue
		}
		stage.discovery.SetLines(fake.Line{
			Name: e.Name(), Address: e.Address(), Zone: "a", Type: "lab", Group: 1, Status: fake.Serving, Weight: 1,
		})
	}
	return nil
}

// call makes a service's call of the next tier, with the time that is left of the service's own request. It reports whether the
// call was served.
func (c *chain) call(ctx context.Context, to *chainStage, client *load.Client, until time.Duration) bool {
	began := c.checker.Now()
	result := client.Send(ctx, load.Request{
		ID: fmt.Sprintf("c%x", c.calls.Add(1)), Class: "look", Tier: 1, Effect: decide.Safe, Deadline: until,
	})
	served := result.Ending == load.Answered && result.Verdict == oracle.Served
	if client == to.through {
		to.mu.Lock()
		defer to.mu.Unlock()
		observe(to.timeUsed, c.conf.Deadline-(until-began))
		if served {
			observe(to.latency, c.checker.Now()-began)
		}
	}
	return served
}

// stop stops everything that was started.
func (c *chain) stop() {
	for _, stage := range c.stages {
		if stage == nil {
			continue
		}
		for _, client := range [2]*load.Client{stage.through, stage.direct} {
			if client != nil {
				client.Close()
			}
		}
		for _, e := range stage.endpoints {
			e.Kill()
		}
	}
	c.stopAll()
}

// sendLoad sends the load, with the trouble in effect from the start, and returns the measurements.
func (c *chain) sendLoad(ctx context.Context) (*Chain, error) {
	last := c.stages[c.conf.Depth-1]
	for _, e := range last.endpoints {
		e.SetTrouble(c.conf.Trouble, c.conf.Share)
	}
	before := make([]time.Duration, c.conf.Depth)
	for n, stage := range c.stages {
		var err error
		if before[n], err = stage.sidecar.proc.cpuTime(); err != nil {
			return nil, err
		}
	}
	paths := []*load.Client{c.stages[0].through}
	if c.conf.CompareDirect {
		paths = append(paths, c.stages[0].direct)
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	out := &Chain{}
	latency, lag := [2]*hdrhistogram.Histogram{newHistogram(), newHistogram()}, newHistogram()
	background, stopBackground := context.WithCancel(ctx)
	wait.Go(func() { c.monitor(background) })
	var sending sync.WaitGroup
	base := c.checker.Now()
	for src := c.scenario.Plan().Arrivals(c.conf.Seed); ctx.Err() == nil; {
		a, ok := src.Next()
		if !ok {
			break
		}
		c.waitUntil(ctx, base+a.At)
		sending.Go(func() {
			late := c.checker.Now() - base - a.At
			client := paths[a.Number%len(paths)]
			path := 1
			if client != c.stages[0].through {
				path = 0
			}
			result := client.Send(ctx, load.Request{
				ID: fmt.Sprintf("f%d", a.Number), Class: "look", Effect: decide.Safe, Deadline: base + a.At + c.conf.Deadline,
			})
			end := c.checker.Now() - base - a.At
			mu.Lock()
			defer mu.Unlock()
			observe(lag, late)
			out.Front[path].Requests++
			if result.Ending == load.Answered && result.Verdict == oracle.Served {
				out.Front[path].Served++
				observe(latency[path], end)
			}
		})
	}
	sending.Wait()
	out.Seconds = (c.checker.Now() - base).Seconds()
	stopBackground()
	wait.Wait()
	time.Sleep(settleDelay)
	out.Lag = quantile(lag, 99)
	for path := range latency {
		out.Front[path].P50, out.Front[path].P99 = quantile(latency[path], 50), quantile(latency[path], 99)
	}
	return out, c.collect(ctx, out, before, latency[1])
}

// collect fills in the statistics of each tier.
func (c *chain) collect(ctx context.Context, out *Chain, before []time.Duration, front *hdrhistogram.Histogram) error {
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: %w", ctx.Err())
	}
	cpu := make([]time.Duration, c.conf.Depth)
	for n, stage := range c.stages {
		after, err := stage.sidecar.proc.cpuTime()
		if err != nil {
			return err
		}
		cpu[n] = after - before[n]
	}
	var report oracle.Report
	for n, stage := range c.stages {
		rec := stage.sidecar.finish(true)
		if n == 0 {
			observe(stage.timeUsed, 0)
			stage.latency = front
		}
		stage.mu.Lock()
		t := ChainTier{
			P50: quantile(stage.latency, 50), P99: quantile(stage.latency, 99), RemainingP50: millis(c.conf.Deadline) - quantile(stage.timeUsed, 50),
			RemainingMin: millis(c.conf.Deadline) - quantile(stage.timeUsed, 100), RSSMB: rec.RSSMB, FDs: rec.FDs,
		}
		stage.mu.Unlock()
		if rec.Counters != nil {
			t.Outcomes = rec.Counters.Attempts
		}
		out.Tiers = append(out.Tiers, t)
	}
	c.checker.Do(func(b *oracle.Checker) { report = b.Close() })
	out.NumViolations, out.Violations, out.BalanceErr = report.NumViolations(), report.Violations, report.Balance()
	for n := range out.Tiers {
		t, tally := &out.Tiers[n], report.Sidecars[c.stages[n].sidecar.name]
		if tally == nil { // its sidecar received no request
			tally = &oracle.Tally{}
		}
		t.Requests, t.Attempts, t.CallerLeft = tally.Requests, tally.Arrivals, tally.ClientLeft+tally.Interrupted
		t.Served, t.Refused, t.Failed = tally.Answers[oracle.Served], tally.Answers[oracle.Refused], tally.Answers[oracle.Failed]
		t.CPU = ratio(int(cpu[n].Microseconds()), t.Requests)
		t.Budget = NewBudget(c.conf.PerCaller, c.conf.Peers, t.Outcomes["served"], out.Seconds)
	}
	return nil
}
