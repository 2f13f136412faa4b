// Package harness plays scenarios: it starts real sidecar processes between stand-ins,
// makes the load and the faults, keeps the book, and ends all that it has started.
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
	monitorInterval   = time.Second            // sidecars are looked at, and the book folded
	frontRemovalDelay = 300 * time.Millisecond // a sidecar that got SIGTERM is dealt no connections any more
	settleDelay       = 100 * time.Millisecond // after the last request, for what is still on its way
	extraGrace        = 30 * time.Millisecond  // a client waits so much longer than the book allows
	maxStepLateness   = time.Second            // a step of the timeline that is later voids the run
)

// run is one run.
type run struct {
	scenario    *scenario.Scenario
	seed        uint64
	opts        Options
	dir         string // for configurations
	hosts       *hostAllocator
	checker     *oracle.Shared
	loadStart   time.Duration // on the book's clock: when the load begins
	discoveries []*fake.Discovery
	tiers       []*tier
	front       *front

	mu           sync.Mutex
	sidecars     []*sidecar
	firstTier    []*sidecar // those of the first tier
	appliedSteps []string
	void         []string
}

// Run plays a scenario with a seed. An interrupted run returns a record that says
// so. An error means that there is no record: something could not be started.
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

// newRun returns a run of which nothing has started; dir is for its files.
func newRun(sc *scenario.Scenario, seed uint64, opts Options, dir string) *run {
	return &run{scenario: sc, seed: seed, opts: opts, dir: dir, hosts: newHostAllocator(), front: &front{}}
}

// openChecker opens the book.
func (r *run) openChecker(service *oracle.Service) {
	r.checker = oracle.NewShared(oracle.New(oracle.Conf{
		AnswerSlack: r.scenario.Rules.AnswerSlack, DrainGrace: r.scenario.Rules.DrainGrace,
		AskEvery: r.scenario.Rules.AskEvery, DeliveredAfter: r.scenario.Rules.DeliveredAfter, Margin: r.scenario.Margin,
	}), service)
}

// clientGrace is how long clients wait past a request's time.
func (r *run) clientGrace() time.Duration {
	return r.scenario.Rules.AnswerSlack + r.scenario.Margin + extraGrace
}

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

// startAll starts the last tier first: those before it call it.
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

// startBehindFront starts a sidecar of the first tier and has the front deal it connections.
func (r *run) startBehindFront(ctx context.Context, s *sidecar) error {
	target, err := s.start(ctx)
	if err != nil {
		return err
	}
	if r.opts.Before != nil {
		if target.Address, err = r.opts.Before(target.Address); err != nil {
			return err
		}
	}
	r.front.add(target)
	return nil
}

// stopAll ends whatever still stands.
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
	for _, l := range r.discoveries {
		l.Close()
	}
	r.hosts.close()
}

// execute makes load and faults, and closes the book.
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

// runTimeline plays the faults. Those that take time have a goroutine of their own.
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
			r.markVoid("%v: played %v late", step, late)
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

// markVoid makes the run void.
func (r *run) markVoid(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.void = append(r.void, fmt.Sprintf(format, args...))
}

// applyStep plays one step.
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

// applyToSidecars ends or starts sidecars of the first tier, all at once.
func (r *run) applyToSidecars(ctx context.Context, step scenario.Step) error {
	errs := make([]error, len(step.Slots))
	var wait sync.WaitGroup
	for i, n := range step.Slots {
		wait.Go(func() {
			s := r.firstTier[n]
			if step.Revert {
				// It waits for the one before it to have ended: both need the address.
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

// monitor watches what sidecars take, keeps the book small and tells how it goes.
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
		r.checker.Do(func(b *oracle.Checker) {
			b.Prune(now)
			a := b.Close()
			violations = a.NumViolations()
		})
		if r.opts.Progress != nil {
			r.checker.Service(func(s *oracle.Service) {
				f := s.All()
				r.opts.Progress(fmt.Sprintf("%4.0f of %.0f s  asked %d  served %d  service %.3f  rules broken %d",
					(now - r.loadStart).Seconds(), r.scenario.Duration.Seconds(), f.Requests, f.Served, f.Service, violations))
			})
		}
	}
}

// finish takes the counters, ends the sidecars and writes the record.
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
	r.checker.Do(func(b *oracle.Checker) { report = b.Close() })
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
		// Counters of a sidecar that has started more than once are its last start's.
		if s.Counters != nil && s.Starts == 1 {
			rec.Mismatches = append(rec.Mismatches, record.Compare(s.Name, s.Counters, s.Tally)...)
		} else if s.Counters == nil && s.Starts == 1 && !s.Crashed {
			rec.Mismatches = append(rec.Mismatches, s.Name+": no counters were told")
		}
	}
	for _, second := range service.Series() {
		logicalRequests += second.Requests
	}
	rec.AttemptsPerRequest, rec.AttemptsPerLogicalRequest = ratio(arrivals, requests), ratio(arrivals, logicalRequests)
	r.checkLoad(rec, driver)
	return rec
}

// checkLoad makes a run void whose own load came late.
func (r *run) checkLoad(rec *record.Record, driver *load.Driver) {
	lag := driver.Lag(99)
	rec.LateSendsP99, rec.LateSendsMax = millis(lag), millis(driver.Lag(100))
	if lag > r.scenario.MaxLag {
		r.markVoid("the load lagged by %v at the 99th percentile, and may by %v", lag, r.scenario.MaxLag)
	}
	if driver.Overrun() {
		r.markVoid("more requests were open than the lab can hold")
	}
	rec.Void = append(rec.Void, r.void...)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

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
