// Package harness is the test harness of the lab. It runs scenarios: it starts real sidecar processes on the loopback network
// between fake endpoints and fake discovery services, sends the load, applies the faults, records what clients and endpoints see
// in a checker (package oracle), and stops everything that it started. It also measures the overhead of a sidecar, chains of
// services and the traffic of endpoint lists, and it runs whole clusters of sidecars.
package harness

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"heathgap/internal/lab/fake"
	"heathgap/internal/lab/load"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/record"
	"heathgap/internal/lab/scenario"
)

// Times of a run.
const (
	monitorInterval   = time.Second            // between two samples of the sidecars' resource usage, each with a pruning of the checker
	frontRemovalDelay = 300 * time.Millisecond // after SIGTERM to a sidecar, until the front gives it no more new connections
	settleDelay       = 100 * time.Millisecond // after the last request, for messages that are still in flight
	extraGrace        = 30 * time.Millisecond  // a client waits this much longer than the checker allows for an answer
	maxStepLateness   = time.Second            // a step of the timeline that is applied later than this makes the run void
)

// run is the state of one run of a scenario or of a measurement.
type run struct {
	scenario *scenario.Scenario
	seed     uint64
	opts     Options
	dir      string // for the sidecars' configuration files
	hosts    *hostAllocator
	// checker records what clients and endpoints see. All times of a run are read from its clock.
	checker     *oracle.Shared
	loadStart   time.Duration     // on the checker's clock: when the load begins
	discoveries []*fake.Discovery // one for each tier
	tiers       []*tier
	front       *front

	mu           sync.Mutex
	sidecars     []*sidecar
	firstTier    []*sidecar // the sidecars of the first tier, which clients connect to
	appliedSteps []string   // as texts, for the record
	void         []string   // reasons why the run does not count
}

// Run runs a scenario with a seed and returns its record. If ctx ends the run early, the record is marked as partial. An error
// means that something could not be started, and that there is no record.
func Run(ctx context.Context, sc *scenario.Scenario, seed uint64, opts Options) (*record.Record, error) {
	dir, err := os.MkdirTemp("", "heathlab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := newRun(sc, seed, opts, dir)
	worth := map[string]oracle.Worth{}
	for _, c := range sc.Classes {
		worth[c.Name] = oracle.Worth{Full: c.Worth, Late: c.LateShare, Aim: c.Aim, Deadline: c.Deadline}
	}
	service := oracle.NewService(worth, sc.Warmup)
	r.openChecker(service)
	defer r.stopAll()
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	r.loadStart = r.checker.Now()
	return r.execute(ctx, service)
}

// newRun returns a run in which nothing has been started. dir is the folder for its files.
func newRun(sc *scenario.Scenario, seed uint64, opts Options, dir string) *run {
	return &run{scenario: sc, seed: seed, opts: opts, dir: dir, hosts: newHostAllocator(), front: &front{}}
}

// openChecker creates the checker, which also counts service (what served requests are worth).
func (r *run) openChecker(service *oracle.Service) {
	r.checker = oracle.NewShared(oracle.New(oracle.Conf{
		AnswerSlack: r.scenario.Rules.AnswerSlack, DrainGrace: r.scenario.Rules.DrainGrace,
		PollEvery: r.scenario.Rules.PollEvery, DeliveredAfter: r.scenario.Rules.DeliveredAfter, Margin: r.scenario.Margin,
	}), service)
}

// clientGrace returns how long clients wait for an answer after the deadline of their request.
func (r *run) clientGrace() time.Duration {
	return r.scenario.Rules.AnswerSlack + r.scenario.Margin + extraGrace
}

// callClass returns the index of the class in which endpoints of a tier call the next tier, or -1.
func (r *run) callClass(tier int) int {
	return slices.IndexFunc(r.scenario.Classes, func(c scenario.Class) bool { return c.Name == r.scenario.Tiers[tier].CallClass })
}

func (r *run) addSidecar(s *sidecar) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sidecars = append(r.sidecars, s)
}

func (r *run) allSidecars() []*sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sidecars)
}

// startAll starts the tiers from the last to the first, since each tier calls the next one, and then the sidecars of the first
// tier.
func (r *run) startAll(ctx context.Context) error {
	for range r.scenario.Tiers {
		r.discoveries = append(r.discoveries, fake.NewDiscovery(r.checker))
	}
	r.tiers = make([]*tier, len(r.scenario.Tiers))
	for i := len(r.tiers) - 1; i >= 0; i-- {
		r.tiers[i] = newTier(r, i)
		if err := r.tiers[i].start(ctx); err != nil {
			return err
		}
	}
	conf := r.scenario.Tiers[0]
	for n := range conf.Sidecars {
		s := &sidecar{
			run: r, name: fmt.Sprintf("s%d", n), number: n, peers: conf.Sidecars,
			zone: conf.Zones[n%len(conf.Zones)],
		}
		if err := s.assignAddresses(); err != nil {
			return err
		}
		r.firstTier = append(r.firstTier, s)
		r.addSidecar(s)
		if err := r.startBehindFront(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// startBehindFront starts a sidecar of the first tier and adds it to the front, which gives it connections from then on.
func (r *run) startBehindFront(ctx context.Context, s *sidecar) error {
	target, err := s.start(ctx)
	if err != nil {
		return err
	}
	if r.opts.Proxy != nil {
		if target.Address, err = r.opts.Proxy(target.Address); err != nil {
			return err
		}
	}
	r.front.add(target)
	return nil
}

// stopAll kills all sidecars and endpoints and closes the fake discovery services. It may be called when only part of the run
// has started.
func (r *run) stopAll() {
	for _, s := range r.allSidecars() {
		s.kill()
	}
	for _, t := range r.tiers {
		if t == nil {
			continue
		}
		for _, s := range t.slots {
			s.kill()
		}
	}
	for _, d := range r.discoveries {
		d.Close()
	}
	r.hosts.close()
}

// execute sends the load while faults are applied, and returns the record.
func (r *run) execute(ctx context.Context, service *oracle.Service) (*record.Record, error) {
	began := time.Now()
	driver := &load.Driver{
		Plan: r.scenario.Plan(), Seed: r.seed, Behavior: r.scenario.Load.Behavior, Checker: r.checker, Base: r.loadStart,
		Client: load.NewClient(r.checker, r.front, r.clientGrace()),
	}
	for _, c := range r.scenario.Classes {
		driver.Classes = append(driver.Classes, load.Class{Name: c.Name, Effect: c.Effect, Deadline: c.Deadline})
	}
	background, stopBackground := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { r.runTimeline(background) })
	wait.Go(func() { r.monitor(background) })
	var malformed load.MalformedCounts
	if r.scenario.Load.MalformedRate > 0 {
		wait.Go(func() { malformed = load.SendMalformed(background, r.front, r.scenario.Load.MalformedRate, r.seed) })
	}
	driver.Run(ctx)
	stopBackground()
	wait.Wait()
	time.Sleep(settleDelay)
	driver.Client.Close()
	rec := r.finish(service, driver)
	rec.Began, rec.Seconds = began, time.Since(began).Seconds()
	rec.Partial = ctx.Err() != nil
	rec.BadClients = malformed
	return rec, nil
}

// runTimeline applies the steps of the timeline at their times. Each step has its own goroutine, since some take long.
func (r *run) runTimeline(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, step := range r.scenario.Timeline(r.seed) {
		select {
		case <-time.After(r.loadStart + step.At - r.checker.Now()):
		case <-ctx.Done():
			return
		}
		if late := r.checker.Now() - r.loadStart - step.At; late > maxStepLateness {
			r.markVoid("%v: applied %v late", step, late)
		}
		r.mu.Lock()
		r.appliedSteps = append(r.appliedSteps, step.String())
		r.mu.Unlock()
		wait.Go(func() {
			if err := r.applyStep(ctx, step); err != nil && ctx.Err() == nil {
				r.markVoid("%v: %v", step, err)
			}
		})
	}
}

// markVoid records a reason why the run does not count.
func (r *run) markVoid(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.void = append(r.void, fmt.Sprintf(format, args...))
}

// applyStep begins or reverts one fault.
func (r *run) applyStep(ctx context.Context, step scenario.Step) error {
	switch step.Kind {
	case scenario.DiscoveryDown:
		r.discoveries[step.Tier].SetDown(!step.Revert)
		return nil
	case scenario.DiscoveryLag:
		lag := step.Fault.Lag
		if step.Revert {
			lag = 0
		}
		r.discoveries[step.Tier].SetLag(lag)
		return nil
	case scenario.DiscoveryOverload:
		refuseAfter := step.Fault.Lag
		if step.Revert {
			refuseAfter = 0
		}
		r.discoveries[step.Tier].SetOverloaded(refuseAfter)
		return nil
	case scenario.SidecarKill, scenario.SidecarRestart:
		return r.applyToSidecars(ctx, step)
	case scenario.Crash:
		return r.tiers[step.Tier].crash(ctx, step)
	}
	t := r.tiers[step.Tier]
	var errs []error
	for _, n := range step.Slots {
		s := t.slotAt(n)
		if s == nil {
			var err error
			if s, err = t.addSlot(); err != nil {
				return err
			}
		}
		errs = append(errs, s.applyStep(ctx, step))
	}
	return errors.Join(errs...)
}

// applyToSidecars kills, terminates or starts sidecars of the first tier, all at the same time.
func (r *run) applyToSidecars(ctx context.Context, step scenario.Step) error {
	errs := make([]error, len(step.Slots))
	var wait sync.WaitGroup
	for i, n := range step.Slots {
		wait.Go(func() {
			s := r.firstTier[n]
			if step.Revert {
				// The start waits until the previous process has ended, since both listen at the same address.
				errs[i] = r.startBehindFront(ctx, s)
				return
			}
			old := s.currentTarget()
			if step.Kind == scenario.SidecarKill {
				time.AfterFunc(r.scenario.Notice, func() { r.front.remove(old) })
				s.kill()
				return
			}
			time.AfterFunc(frontRemovalDelay, func() { r.front.remove(old) })
			s.terminate()
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

// monitor samples the resource usage of the sidecars, prunes the checker and reports the progress, until ctx ends.
func (r *run) monitor(ctx context.Context) {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, s := range r.allSidecars() {
			s.sampleUsage()
		}
		now := r.checker.Now()
		violations := 0
		r.checker.Do(func(c *oracle.Checker) {
			c.Prune(now)
			report := c.Close()
			violations = report.NumViolations()
		})
		if r.opts.Progress != nil {
			r.checker.Service(func(s *oracle.Service) {
				all := s.All()
				r.opts.Progress(fmt.Sprintf("%4.0f of %.0f s  asked %d  served %d  service %.3f  rules broken %d",
					(now - r.loadStart).Seconds(), r.scenario.Duration.Seconds(), all.Requests, all.Served, all.Service, violations))
			})
		}
	}
}

// finish reads the sidecars' counters, stops the sidecars and builds the record.
func (r *run) finish(service *oracle.Service, driver *load.Driver) *record.Record {
	rec := &record.Record{
		Version: record.Version, Scenario: r.scenario.Name, About: r.scenario.About, Policy: r.opts.Policy,
		Seed: r.seed, Timeline: r.scenario.Hash(r.seed), Void: []string{}, Mismatches: []string{}, Machine: thisMachine(),
		Service: service.All().Service, All: service.All(), Classes: service.Classes(), Tenants: service.Tenants(),
		Series: service.Series(), Faults: r.appliedSteps,
	}
	var report oracle.Report
	for _, s := range r.allSidecars() {
		rec.Sidecars = append(rec.Sidecars, s.finish(true))
	}
	r.checker.Do(func(c *oracle.Checker) { report = c.Close() })
	for i := range report.Violations {
		report.Violations[i].At -= r.loadStart
	}
	rec.Rules, rec.Violations, rec.ClientRepeats = report.Rules, report.Violations, report.Repeats
	if err := report.Balance(); err != nil {
		rec.Mismatches = append(rec.Mismatches, err.Error())
	}
	requests, arrivals, logicalRequests := 0, 0, 0
	for i := range rec.Sidecars {
		s := &rec.Sidecars[i]
		s.Tally = report.Sidecars[s.Name]
		if s.Tally == nil {
			s.Tally = &oracle.Tally{}
		}
		if s.Tier == 0 {
			requests += s.Tally.Requests
			arrivals += s.Tally.Arrivals
		}
		// A sidecar that was started more than once reports only the counters of its last start, so they can't be compared.
		if s.Counters != nil && s.Starts == 1 {
			rec.Mismatches = append(rec.Mismatches, record.Compare(s.Name, s.Counters, s.Tally)...)
		} else if s.Counters == nil && s.Starts == 1 && !s.Crashed {
			rec.Mismatches = append(rec.Mismatches, s.Name+": the sidecar reported no counters")
		}
	}
	for _, second := range service.Series() {
		logicalRequests += second.Requests
	}
	rec.AttemptsPerRequest, rec.AttemptsPerLogicalRequest = ratio(arrivals, requests), ratio(arrivals, logicalRequests)
	r.checkLoad(rec, driver)
	return rec
}

// checkLoad records by how much the lab's own load was sent late. It makes the run void if that is too much or if too many
// requests were open at the same time, and adds all reasons why the run is void to the record.
func (r *run) checkLoad(rec *record.Record, driver *load.Driver) {
	lag := driver.Lag(99)
	rec.LateSendsP99, rec.LateSendsMax = millis(lag), millis(driver.Lag(100))
	if lag > r.scenario.MaxLag {
		r.markVoid("the load lagged by %v at the 99th percentile; the limit is %v", lag, r.scenario.MaxLag)
	}
	if driver.Overrun() {
		r.markVoid("more requests were open at the same time than the harness can hold")
	}
	rec.Void = append(rec.Void, r.void...)
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// thisMachine returns the cores, the memory and the Go version of this machine.
func thisMachine() record.Machine {
	m := record.Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			if kb, err := strconv.Atoi(strings.Fields(value)[0]); err == nil {
				m.MemoryMB = kb >> 10
			}
		}
	}
	return m
}
