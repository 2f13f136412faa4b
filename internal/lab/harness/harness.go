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
	lookEvery     = time.Second            // sidecars are looked at, and the book folded
	frontNotices  = 300 * time.Millisecond // a sidecar that got SIGTERM is dealt no connections any more
	settleTime    = 100 * time.Millisecond // after the last request, for what is still on its way
	graceMore     = 30 * time.Millisecond  // a client waits so much longer than the book allows
	stepsMostLate = time.Second            // a step of the timeline that is later voids the run
)

// rig is one run.
type rig struct {
	scene *scenario.Scenario
	seed  uint64
	opts  Options
	dir   string // for configurations
	hosts *hosts
	book  *oracle.Shared
	base  time.Duration // on the book's clock: when the load begins
	lists []*fake.Discovery
	tiers []*tier
	front *front

	mu       sync.Mutex
	sidecars []*sidecar
	first    []*sidecar // those of the first tier
	played   []string
	void     []string
}

// Run plays a scenario with a seed. An interrupted run returns a record that says
// so. An error means that there is no record: something could not be started.
func Run(ctx context.Context, scene *scenario.Scenario, seed uint64, opts Options) (*record.Record, error) {
	dir, err := os.MkdirTemp("", "heathlab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := newRig(scene, seed, opts, dir)
	worth := map[string]oracle.Worth{}
	for _, c := range scene.Classes {
		worth[c.Name] = oracle.Worth{Full: c.Worth, Late: c.LateShare, Aim: c.Aim, Deadline: c.Deadline}
	}
	service := oracle.NewService(worth, scene.Warmup)
	r.share(service)
	defer r.endAll()
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	r.base = r.book.Now()
	return r.play(ctx, service)
}

// newRig returns a run of which nothing has started; dir is for its files.
func newRig(scene *scenario.Scenario, seed uint64, opts Options, dir string) *rig {
	return &rig{scene: scene, seed: seed, opts: opts, dir: dir, hosts: newHosts(), front: &front{}}
}

// share opens the book.
func (r *rig) share(service *oracle.Service) {
	r.book = oracle.NewShared(oracle.New(oracle.Conf{
		AnswerSlack: r.scene.Rules.AnswerSlack, DrainGrace: r.scene.Rules.DrainGrace,
		AskEvery: r.scene.Rules.AskEvery, DeliveredAfter: r.scene.Rules.DeliveredAfter, Margin: r.scene.Margin,
	}), service)
}

// grace is how long clients wait past a request's time.
func (r *rig) grace() time.Duration { return r.scene.Rules.AnswerSlack + r.scene.Margin + graceMore }

func (r *rig) callClass(tier int) int {
	return slices.IndexFunc(r.scene.Classes, func(c scenario.Class) bool { return c.Name == r.scene.Tiers[tier].CallClass })
}

func (r *rig) addSidecar(s *sidecar) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sidecars = append(r.sidecars, s)
}

func (r *rig) all() []*sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sidecars)
}

// startAll starts the last tier first: those before it call it.
func (r *rig) startAll(ctx context.Context) error {
	for range r.scene.Tiers {
		r.lists = append(r.lists, fake.NewDiscovery(r.book))
	}
	r.tiers = make([]*tier, len(r.scene.Tiers))
	for i := len(r.tiers) - 1; i >= 0; i-- {
		r.tiers[i] = newTier(r, i)
		if err := r.tiers[i].start(ctx); err != nil {
			return err
		}
	}
	conf := r.scene.Tiers[0]
	for n := range conf.Sidecars {
		s := &sidecar{
			rig: r, name: fmt.Sprintf("s%d", n), number: n, peers: conf.Sidecars,
			zone: conf.Zones[n%len(conf.Zones)],
		}
		if err := s.settle(); err != nil {
			return err
		}
		r.first = append(r.first, s)
		r.addSidecar(s)
		if err := r.join(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// join starts a sidecar of the first tier and has the front deal it connections.
func (r *rig) join(ctx context.Context, s *sidecar) error {
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

// endAll ends whatever still stands.
func (r *rig) endAll() {
	for _, s := range r.all() {
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
	for _, l := range r.lists {
		l.Close()
	}
	r.hosts.close()
}

// play makes load and faults, and closes the book.
func (r *rig) play(ctx context.Context, service *oracle.Service) (*record.Record, error) {
	began := time.Now()
	driver := &load.Driver{
		Plan: r.scene.Plan(), Seed: r.seed, Behavior: r.scene.Load.Behavior, Checker: r.book, Base: r.base,
		Client: load.NewClient(r.book, r.front, r.grace()),
	}
	for _, c := range r.scene.Classes {
		driver.Classes = append(driver.Classes, load.Class{Name: c.Name, Effect: c.Effect, Deadline: c.Deadline})
	}
	side, stopSide := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { r.runTimeline(side) })
	wait.Go(func() { r.look(side) })
	var rude load.MalformedCounts
	if r.scene.Load.MalformedRate > 0 {
		wait.Go(func() { rude = load.SendMalformed(side, r.front, r.scene.Load.MalformedRate, r.seed) })
	}
	driver.Run(ctx)
	stopSide()
	wait.Wait()
	time.Sleep(settleTime)
	driver.Client.Close()
	rec := r.close(service, driver)
	rec.Began, rec.Seconds = began, time.Since(began).Seconds()
	rec.Partial = ctx.Err() != nil
	rec.BadClients = rude
	return rec, nil
}

// runTimeline plays the faults. Those that take time have a goroutine of their own.
func (r *rig) runTimeline(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, step := range r.scene.Timeline(r.seed) {
		select {
		case <-time.After(r.base + step.At - r.book.Now()):
		case <-ctx.Done():
			return
		}
		if late := r.book.Now() - r.base - step.At; late > stepsMostLate {
			r.spoil("%v: played %v late", step, late)
		}
		r.mu.Lock()
		r.played = append(r.played, step.String())
		r.mu.Unlock()
		wait.Go(func() {
			if err := r.strike(ctx, step); err != nil && ctx.Err() == nil {
				r.spoil("%v: %v", step, err)
			}
		})
	}
}

// spoil makes the run void.
func (r *rig) spoil(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.void = append(r.void, fmt.Sprintf(format, args...))
}

// strike plays one step.
func (r *rig) strike(ctx context.Context, step scenario.Step) error {
	switch step.Kind {
	case scenario.DiscoveryDown:
		r.lists[step.Tier].SetDown(!step.Revert)
		return nil
	case scenario.DiscoveryLag:
		lag := step.Fault.Lag
		if step.Revert {
			lag = 0
		}
		r.lists[step.Tier].SetLag(lag)
		return nil
	case scenario.DiscoveryOverload:
		patience := step.Fault.Lag
		if step.Revert {
			patience = 0
		}
		r.lists[step.Tier].SetOverloaded(patience)
		return nil
	case scenario.SidecarKill, scenario.SidecarRestart:
		return r.strikeSidecars(ctx, step)
	case scenario.Crash:
		return r.tiers[step.Tier].crash(ctx, step)
	}
	t := r.tiers[step.Tier]
	var errs []error
	for _, n := range step.Slots {
		s := t.at(n)
		if s == nil {
			var err error
			if s, err = t.addSlot(); err != nil {
				return err
			}
		}
		errs = append(errs, s.strike(ctx, step))
	}
	return errors.Join(errs...)
}

// strikeSidecars ends or starts sidecars of the first tier, all at once.
func (r *rig) strikeSidecars(ctx context.Context, step scenario.Step) error {
	errs := make([]error, len(step.Slots))
	var wait sync.WaitGroup
	for i, n := range step.Slots {
		wait.Go(func() {
			s := r.first[n]
			if step.Revert {
				// It waits for the one before it to have ended: both need the address.
				errs[i] = r.join(ctx, s)
				return
			}
			old := s.current()
			if step.Kind == scenario.SidecarKill {
				time.AfterFunc(r.scene.Notice, func() { r.front.remove(old) })
				s.kill()
				return
			}
			time.AfterFunc(frontNotices, func() { r.front.remove(old) })
			s.terminate()
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

// look watches what sidecars take, keeps the book small and tells how it goes.
func (r *rig) look(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, s := range r.all() {
			s.watch()
		}
		now := r.book.Now()
		broken := 0
		r.book.Do(func(b *oracle.Checker) {
			b.Prune(now)
			a := b.Close()
			broken = a.NumViolations()
		})
		if r.opts.Progress != nil {
			r.book.Service(func(s *oracle.Service) {
				f := s.All()
				r.opts.Progress(fmt.Sprintf("%4.0f of %.0f s  asked %d  served %d  service %.3f  rules broken %d",
					(now - r.base).Seconds(), r.scene.Duration.Seconds(), f.Requests, f.Served, f.Service, broken))
			})
		}
	}
}

// close takes the counters, ends the sidecars and writes the record.
func (r *rig) close(service *oracle.Service, driver *load.Driver) *record.Record {
	rec := &record.Record{
		Version: record.Version, Scenario: r.scene.Name, About: r.scene.About, Policy: r.opts.Policy,
		Seed: r.seed, Timeline: r.scene.Hash(r.seed), Void: []string{}, Mismatches: []string{}, Machine: thisMachine(),
		Service: service.All().Service, All: service.All(), Classes: service.Classes(), Tenants: service.Tenants(),
		Series: service.Series(), Faults: r.played,
	}
	var account oracle.Report
	for _, s := range r.all() {
		rec.Sidecars = append(rec.Sidecars, s.close(true))
	}
	r.book.Do(func(b *oracle.Checker) { account = b.Close() })
	for i := range account.Violations {
		account.Violations[i].At -= r.base
	}
	rec.Rules, rec.Violations, rec.ClientRepeats = account.Rules, account.Violations, account.Repeats
	if err := account.Balance(); err != nil {
		rec.Mismatches = append(rec.Mismatches, err.Error())
	}
	asked, arrivals, wanted := 0, 0, 0
	for i := range rec.Sidecars {
		s := &rec.Sidecars[i]
		s.Tally = account.Sidecars[s.Name]
		if s.Tally == nil {
			s.Tally = &oracle.Tally{}
		}
		if s.Tier == 0 {
			asked += s.Tally.Requests
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
		wanted += second.Requests
	}
	rec.AttemptsPerRequest, rec.AttemptsPerLogicalRequest = ratio(arrivals, asked), ratio(arrivals, wanted)
	r.judgeLoad(rec, driver)
	return rec
}

// judgeLoad makes a run void whose own load came late.
func (r *rig) judgeLoad(rec *record.Record, driver *load.Driver) {
	lag := driver.Lag(99)
	rec.LateSendsP99, rec.LateSendsMax = millis(lag), millis(driver.Lag(100))
	if lag > r.scene.MaxLag {
		r.spoil("the load lagged by %v at the 99th percentile, and may by %v", lag, r.scene.MaxLag)
	}
	if driver.Overrun() {
		r.spoil("more requests were open than the lab can hold")
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
