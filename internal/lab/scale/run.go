package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"heathgap/internal/cluster/voter"
	"heathgap/internal/env"
	"heathgap/internal/lab/emulated"
	"heathgap/internal/lab/harness"
	"heathgap/internal/peerrpc"
)

// Figures of a run.
const (
	formTime     = 20 * time.Second // for the keepers to form a crew
	enterTime    = 90 * time.Second // for the members of one process to hold a lease
	pollPause    = 20 * time.Millisecond
	sampleEvery  = time.Second
	ownLagEvery  = 10 * time.Millisecond
	endpoints    = 4
	steadyLeases = 1 // without a change of members and seats, before anything counts
	steadyTime   = 2 * time.Minute
	lookEvery    = time.Second / 4  // at the leader's state, until it is steady
	lastVersion  = 15 * time.Second // for what is to be proposed still, after the play
	leastSettle  = 2 * time.Second  // for the last version to be acted on
	progressEach = 5 * time.Second
	mostAtOnce   = 64 // requests of one sidecar's load under way
	loadDeadline = 800 * time.Millisecond
)

// Options are those of a run.
type Options struct {
	Member   func() *exec.Cmd // a command that runs a sidecar as a member of a crew
	Plain    func() *exec.Cmd // likewise without a crew
	Emulated func() *exec.Cmd // a command that runs a process of hollow members
	LogDir   string           // for the processes' logs; empty for none
	Progress func(line string)

	started func(pid int) // for tests; nil for nobody
}

// run is a run.
type run struct {
	s     *Scenario
	plan  *Plan
	opts  Options
	dir   string
	hosts *harness.Hosts

	endpoints []harness.NamedAddress
	servers   []*http.Server
	sidecars  map[string]*sidecar
	keepers   []*sidecar
	herds     []*herd
	herdOf    map[string]*herd
	fronts    map[string]*harness.Relay // of keepers, for hollow members, where a step may slow them
	between   []regional                // relays between regions
	proposals chan time.Duration        // when each was due

	playing atomic.Bool // what is late counts
	asked   atomic.Int64
	served  atomic.Int64

	mu       sync.Mutex // guards what follows
	obs      Observed
	last     map[string]emulated.MemberState // of each member
	leader   string
	term     uint64
	active   uint64
	refused  map[uint64]string
	steps    []string
	began    time.Duration
	clearing sync.WaitGroup // what acts have begun
}

// regional is a relay between two regions.
type regional struct {
	regions [2]string
	relay   *harness.Relay
}

// Descriptors is how many a process that is started from this one may have.
func Descriptors() (uint64, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("RLIMIT_NOFILE: %w", err)
	}
	// Go raises the soft limit to the hard one as a program starts, and gives the soft one back to what it starts; that
	// raises its own.
	return limit.Max, nil
}

// Run plays a scenario. What it started has ended when it returns, also when the context ends: the record is then partial.
func Run(ctx context.Context, s *Scenario, seed uint64, opts Options) (*Record, error) {
	before := loadAverage()
	r, err := observe(ctx, s, seed, opts)
	if err != nil {
		return nil, err
	}
	rec := Judge(&r.obs)
	rec.Steps = r.steps
	rec.Machine = machine(before)
	return rec, nil
}

// observe plays it, and leaves in the run what was seen.
func observe(ctx context.Context, s *Scenario, seed uint64, opts Options) (*run, error) {
	plan := NewPlan(s, seed)
	descriptors, err := Descriptors()
	if err != nil {
		return nil, err
	}
	if err := plan.Check(descriptors); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "heathgap-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{
		s: s, plan: plan, opts: opts, dir: dir, hosts: harness.NewHosts(), sidecars: map[string]*sidecar{}, herdOf: map[string]*herd{},
		fronts: map[string]*harness.Relay{}, proposals: make(chan time.Duration, mostCounted), last: map[string]emulated.MemberState{}, refused: map[uint64]string{},
	}
	r.obs = Observed{Plan: plan, Stances: map[string][]emulated.MemberState{}, Downs: map[string][]Span{}, Samples: map[string][]emulated.Usage{},
		Usage: map[string][]Usage{}, Late: map[string]time.Duration{}}
	defer r.close()
	started := time.Now()
	if err := r.start(ctx); ctx.Err() != nil {
		return nil, errors.New("interrupted before all held a lease")
	} else if err != nil {
		return nil, err
	}
	r.progress("%d sidecars hold a lease after %.1f s", s.Size(), time.Since(started).Seconds())
	r.play(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &r.obs
	o.Ended, o.Partial = boot(), ctx.Err() != nil
	o.Asked, o.Served = int(r.asked.Load()), int(r.served.Load())
	for i := range o.Versions {
		o.Versions[i].Refused = r.refused[o.Versions[i].Number]
	}
	slices.SortStableFunc(o.Leaders, func(a, b Leadership) int { return int(a.At - b.At) })
	for _, stances := range o.Stances {
		slices.SortStableFunc(stances, func(a, b emulated.MemberState) int { return int(a.At - b.At) })
	}
	return r, nil
}

func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

func machine(before string) Machine {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version(), LoadBefore: before, LoadAfter: loadAverage()}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		m.MemoryMB = int(info.Totalram * uint64(info.Unit) >> 20)
	}
	return m
}

func (r *run) progress(format string, args ...any) {
	if r.opts.Progress != nil {
		r.opts.Progress(fmt.Sprintf(format, args...))
	}
}

// note books a step as it was played.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	line := fmt.Sprintf("%6.2fs ", (boot()-r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.steps = append(r.steps, line)
	r.mu.Unlock()
	r.progress("%s", line)
}

// broken books what must not be.
func (r *run) broken(format string, args ...any) {
	r.mu.Lock()
	r.obs.Broken = append(r.obs.Broken, fmt.Sprintf(format, args...))
	r.mu.Unlock()
}

// hasStarted tells a test of a process.
func (r *run) hasStarted(pid int) {
	if r.opts.started != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.opts.started(pid)
	}
}

// late books by how much something of the run's own was late.
func (r *run) late(whose string, by time.Duration) {
	if !r.playing.Load() {
		return
	}
	r.mu.Lock()
	r.obs.Late[whose] = max(r.obs.Late[whose], by)
	r.mu.Unlock()
}

func (r *run) logPath(name string) string {
	if r.opts.LogDir == "" {
		return ""
	}
	return filepath.Join(r.opts.LogDir, name+".log")
}

// stance books what a member acts on.
func (r *run) stance(s emulated.MemberState) {
	r.mu.Lock()
	r.obs.Stances[s.Member] = append(r.obs.Stances[s.Member], s)
	r.last[s.Member] = s
	r.mu.Unlock()
}

// The lines of a sidecar's log that a run rests on.
const (
	lineStance  = "rules in force"
	lineLeads   = "this keeper leads the crew"
	lineLeft    = "this keeper no longer leads the crew"
	lineActive  = "a version is active"
	lineRefused = "a version is refused"
)

// heard takes a line of a sidecar's log.
func (r *run) heard(c *sidecar, text string) {
	line := struct {
		Time     time.Time `json:"time"`
		Message  string    `json:"message"`
		Cautious bool      `json:"cautious"`
		Version  uint64    `json:"version"`
		Next     uint64    `json:"next"`
		Epoch    uint64    `json:"epoch"`
		Term     uint64    `json:"term"`
		Why      string    `json:"why"`
	}{}
	if json.Unmarshal([]byte(text), &line) != nil {
		return
	}
	at := boot() - time.Since(line.Time)
	if line.Message == lineStance {
		r.stance(emulated.MemberState{At: at, Member: c.name, Active: line.Version, Next: line.Next, Epoch: line.Epoch, Cautious: line.Cautious})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch line.Message {
	case lineLeads:
		r.obs.Leaders = append(r.obs.Leaders, Leadership{At: at, Name: c.name, Term: line.Term})
		if line.Term > r.term {
			r.leader, r.term = c.name, line.Term
		}
	case lineLeft:
		r.noLeader(c.name, at)
	case lineActive:
		r.active = max(r.active, line.Version)
	case lineRefused:
		r.refused[line.Version] = line.Why
	}
}

// noLeader books that a keeper leads no more. The lock is held.
func (r *run) noLeader(name string, at time.Duration) {
	if r.leader == name {
		r.leader = ""
		r.obs.Leaders = append(r.obs.Leaders, Leadership{At: at})
	}
}

// start starts all processes, a few at a time, and returns when all members hold a lease.
func (r *run) start(ctx context.Context) error {
	for i := range endpoints {
		if err := r.startEndpoint(fmt.Sprintf("e-%d", i+1)); err != nil {
			return err
		}
	}
	if err := r.settle(); err != nil {
		return err
	}
	if err := r.startAll(ctx, r.s.keeperNames()); err != nil {
		return err
	}
	if err := r.await(ctx, formTime, "a leader", func() (bool, string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.leader != "", fmt.Sprintf("of %d keepers", r.s.Keepers)
	}); err != nil {
		return err
	}
	r.progress("%d keepers are up, %s leads", r.s.Keepers, r.leaderName())
	for _, names := range [][]string{r.s.realNames(), r.s.plainNames()} {
		if err := r.startAll(ctx, names); err != nil {
			return err
		}
	}
	if err := r.awaitLeases(ctx, slices.Concat(r.s.keeperNames(), r.s.realNames())); err != nil {
		return err
	}
	if err := r.startHerds(ctx); err != nil {
		return err
	}
	return r.awaitSteady(ctx)
}

// awaitSteady waits until neither members nor seats have changed for a while: what it takes to start a fleet is no part of what
// is measured.
func (r *run) awaitSteady(ctx context.Context) error {
	type state struct{ epoch, table uint64 }
	var before state
	since, looked, why := time.Now(), time.Time{}, "no word of the leader"
	err := r.await(ctx, steadyTime, "steady seats", func() (bool, string) {
		var s voter.Status
		r.mu.Lock()
		leader := r.sidecars[r.leader]
		r.mu.Unlock()
		if leader == nil || time.Since(looked) < lookEvery || leader.line.Call("status", struct{}{}, &s, sampleTime) != nil || s.Ledger == nil {
			return false, why
		}
		looked = time.Now()
		now := state{epoch: s.Ledger.Epoch}
		if s.Ledger.Placement != nil {
			now.table = s.Ledger.Placement.Number
		}
		if now != before {
			before, since = now, time.Now()
		}
		why = fmt.Sprintf("epoch %d, table %d", now.epoch, now.table)
		return time.Since(since) >= steadyLeases*r.s.Lease, why
	})
	if err != nil && ctx.Err() == nil { // a crew that is never steady is judged as it is
		r.steps = append(r.steps, "members and seats still changed as the play began: "+err.Error())
		r.progress("%s", r.steps[0])
		return nil
	}
	return err
}

func (r *run) startEndpoint(name string) error {
	host, err := r.hosts.Acquire()
	if err != nil {
		return err
	}
	listener, err := (env.Real{}).Listen(host + ":0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte("good\n")) //nolint:errcheck // its client shows
	})}
	go server.Serve(listener) //nolint:errcheck // until Close
	r.servers = append(r.servers, server)
	r.endpoints = append(r.endpoints, harness.NamedAddress{Name: name, Address: listener.Addr().String()})
	return nil
}

// settle gives the sidecars their addresses, and their ways to the keepers.
func (r *run) settle() error {
	slowed := map[string]bool{}
	for _, step := range r.s.Steps {
		if step.Do == Slow && step.Who == "leader" {
			for _, k := range r.s.keeperNames() {
				slowed[k] = true
			}
		} else if step.Do == Slow {
			slowed[step.Who] = true
		}
	}
	for _, p := range r.plan.Processes {
		if p.Kind == HollowProcess {
			continue
		}
		c := &sidecar{run: r, name: p.Name, kind: p.Kind, dir: filepath.Join(r.dir, p.Name), relays: map[string]*harness.Relay{}}
		r.sidecars[p.Name] = c
		var err error
		if c.host, err = r.hosts.Acquire(); err != nil {
			return err
		}
		if c.listen, err = r.hosts.Address(c.host); err != nil {
			return err
		}
		if c.address, err = r.hosts.Address(c.host); err != nil {
			return err
		}
		if p.Kind == KeeperProcess {
			c.line = peerrpc.NewClient(env.Real{}, r.s.Name, "lab", c.address)
			r.keepers = append(r.keepers, c)
		}
	}
	for _, k := range r.keepers {
		for _, c := range r.sidecars {
			from, to := r.plan.Places[c.name].Region, r.plan.Places[k.name].Region
			if c.kind == PlainProcess || c == k || from == to && !slowed[k.name] {
				continue
			}
			way, err := r.relayTo(k)
			if err != nil {
				return err
			}
			if c.relays[k.name] = way; from != to {
				way.SetDelay(r.s.RegionDelay)
				r.between = append(r.between, regional{[2]string{from, to}, way})
			}
		}
		if slowed[k.name] && r.s.Hollow > 0 {
			way, err := r.relayTo(k)
			if err != nil {
				return err
			}
			r.fronts[k.name] = way
		}
	}
	return nil
}

func (r *run) relayTo(k *sidecar) (*harness.Relay, error) {
	host, err := r.hosts.Acquire()
	if err != nil {
		return nil, err
	}
	return harness.NewRelay(host, k.address)
}

// startAll starts sidecars at once.
func (r *run) startAll(ctx context.Context, names []string) error {
	faults := make([]error, len(names))
	var all sync.WaitGroup
	for i, name := range names {
		all.Go(func() { faults[i] = r.sidecars[name].start(ctx) })
	}
	all.Wait()
	return errors.Join(faults...)
}

// startHerds starts the hollow processes one after another: each comes in before the next is started.
func (r *run) startHerds(ctx context.Context) error {
	start := emulated.Start{
		Cluster: r.s.Name, Lease: r.s.Lease, Drift: r.s.Drift, Slack: r.s.Slack, ContradictAtMost: r.s.ContradictAtMost,
		FixedClasses: []string{harness.LoadClass}, Copies: r.s.Copies, Keep: r.s.Keep, LostAfter: r.s.LostAfter,
		Regions: map[string]string{}, RegionDelay: r.s.RegionDelay, KeyedRate: r.s.Orders, KeyedDuration: r.s.OrderTakes, Seed: r.plan.Seed,
	}
	place := func(name, address string) emulated.Peer {
		at := r.plan.Places[name]
		start.Regions[address] = at.Region
		return emulated.Peer{Name: name, Zone: at.Zone, Region: at.Region, Address: address}
	}
	for _, c := range r.sidecars {
		if c.kind != PlainProcess {
			place(c.name, c.address)
		}
	}
	for _, k := range r.keepers {
		address := k.address
		if front := r.fronts[k.name]; front != nil {
			address = front.Address()
		}
		start.Voters = append(start.Voters, place(k.name, address))
	}
	groups := map[string][]emulated.Peer{}
	var names []string
	for _, p := range r.plan.Processes {
		if p.Kind != HollowProcess {
			continue
		}
		host, err := r.hosts.Acquire()
		if err != nil {
			return err
		}
		names = append(names, p.Name)
		for _, name := range p.Members {
			address, err := r.hosts.Address(host)
			if err != nil {
				return err
			}
			groups[p.Name] = append(groups[p.Name], place(name, address))
		}
	}
	for i, name := range names {
		one := start
		one.Members, one.Faults = groups[name], map[string]emulated.Fault{}
		var members []string
		for _, m := range one.Members {
			members = append(members, m.Name)
			for _, p := range r.s.Planted {
				if p.Who == m.Name {
					one.Faults[p.Who] = p.Fault
				}
			}
		}
		h, err := r.startHerd(name, one)
		if err != nil {
			return err
		}
		r.herds = append(r.herds, h)
		for _, m := range members {
			r.herdOf[m] = h
		}
		select {
		case <-h.ready:
		case <-h.exited:
			return fmt.Errorf("%s: it ended as it started: %s", name, h.said())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyTime):
			return fmt.Errorf("%s: its members do not listen after %v", name, readyTime)
		}
		if err := r.awaitLeases(ctx, members); err != nil {
			return err
		}
		r.progress("%d of %d hollow processes: %d members hold a lease", i+1, len(names), (i+1)*r.s.EachProcess-max(0, (i+1)*r.s.EachProcess-r.s.Hollow))
	}
	return nil
}

// awaitLeases waits until all of these act without caution.
func (r *run) awaitLeases(ctx context.Context, names []string) error {
	return r.await(ctx, enterTime, "a lease", func() (bool, string) {
		without := r.without(names, 0)
		return len(without) == 0, fmt.Sprintf("%d of %d have none: %s", len(without), len(names), strings.Join(without[:min(3, len(without))], ", "))
	})
}

// without are those that don't act on a version or a later one.
func (r *run) without(names []string, version uint64) (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if s, heard := r.last[name]; !heard || s.Cautious || s.Gone || s.Active < version {
			out = append(out, name)
		}
	}
	return out
}

// await waits for something.
func (r *run) await(ctx context.Context, most time.Duration, what string, there func() (bool, string)) error {
	limit, tell := time.Now().Add(most), time.Now().Add(progressEach)
	for {
		done, why := there()
		if done {
			return nil
		}
		if now := time.Now(); now.After(limit) {
			return fmt.Errorf("no %s after %v (%s); keep the logs (--logs) and look there", strings.TrimPrefix(what, "a "), most, why)
		} else if now.After(tell) {
			tell = now.Add(progressEach)
			r.progress("waiting for %s: %s", what, why)
		}
		if err := sleep(ctx, pollPause); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (r *run) leaderName() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// play plays the acts, and waits for what they began. An end of the context is its end.
func (r *run) play(ctx context.Context) {
	watching, done := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer done()
	r.mu.Lock()
	r.began = boot()
	r.obs.Began = r.began
	r.mu.Unlock()
	r.sample() // the first of what counts; lags before it do not
	r.playing.Store(true)
	all.Go(func() { r.watch(watching) })
	all.Go(func() { r.ownLag(watching) })
	proposing, enough := context.WithCancel(watching)
	defer enough()
	all.Go(func() { r.propose(proposing) })
	for _, name := range slices.Concat(r.s.realNames(), r.s.plainNames()) {
		all.Go(func() { r.load(watching, r.sidecars[name]) })
	}
	r.progress("playing %v", r.s.Duration)
	begin := time.Now()
	for _, act := range r.plan.Acts {
		due := begin.Add(act.At)
		if sleep(ctx, time.Until(due)) != nil {
			break
		}
		r.late("what plays the steps", time.Since(due))
		r.clearing.Go(func() { r.act(ctx, act, r.began+act.At) })
	}
	if sleep(ctx, time.Until(begin.Add(r.s.Duration))) == nil {
		r.clearing.Wait()
		r.lastVersion(ctx, enough)
	}
	r.clearing.Wait()
	r.playing.Store(false)
	if ctx.Err() == nil {
		r.sample()
	}
}

// lastVersion waits until what was to be proposed has been, not for ever, has no more proposed, and waits until the last version is
// acted on, so that it can be judged.
func (r *run) lastVersion(ctx context.Context, enough func()) {
	until := func(most time.Duration, there func() bool) {
		limit := time.Now().Add(most)
		for ctx.Err() == nil && time.Now().Before(limit) && !there() {
			sleep(ctx, pollPause) //nolint:errcheck // the loop looks
		}
	}
	until(lastVersion, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.obs.Left == 0
	})
	enough()
	r.mu.Lock()
	number := uint64(0)
	if n := len(r.obs.Versions); n > 0 {
		number = r.obs.Versions[n-1].Number
	}
	r.mu.Unlock()
	until(max(r.s.Limits.InForce, leastSettle)+r.s.Lease, func() bool {
		r.mu.Lock()
		refused := r.refused[number] != ""
		var up []string
		for name, s := range r.last {
			if c := r.sidecars[name]; !s.Gone && (c == nil || c.isUp()) {
				up = append(up, name)
			}
		}
		r.mu.Unlock()
		return refused || len(r.without(up, number)) == 0
	})
	sleep(ctx, r.s.Lease/2) //nolint:errcheck // for events that are on their way
}

// watch samples each second.
func (r *run) watch(ctx context.Context) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	told := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.sample()
		if time.Since(told) >= progressEach {
			told = time.Now()
			r.mu.Lock()
			cautious, newest := 0, uint64(0)
			for _, s := range r.last {
				if s.Cautious && !s.Gone {
					cautious++
				}
				newest = max(newest, s.Active)
			}
			line := fmt.Sprintf("%6.2fs version %d, leader %s, %d cautious, load average %s",
				(boot() - r.began).Seconds(), newest, r.leader, cautious, loadAverage())
			r.mu.Unlock()
			r.progress("%s", line)
		}
	}
}

// sample asks all processes what they have cost.
func (r *run) sample() {
	var all sync.WaitGroup
	for _, h := range r.herds {
		all.Go(func() {
			l, err := h.do(emulated.Command{Do: emulated.Sample}, sampleTime)
			if err != nil || l.Sample == nil {
				r.broken("a sample of %s: %v", h.name, err)
				return
			}
			r.late(h.name, l.Sample.Lag)
			r.mu.Lock()
			r.obs.Samples[h.name] = append(r.obs.Samples[h.name], *l.Sample)
			r.mu.Unlock()
		})
	}
	for name, c := range r.sidecars {
		if u, err := c.usage(); err == nil {
			r.mu.Lock()
			r.obs.Usage[name] = append(r.obs.Usage[name], u)
			r.mu.Unlock()
		}
	}
	all.Wait()
}

// ownLag measures by how much this process's own timers come late.
func (r *run) ownLag(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(ownLagEvery)
		if sleep(ctx, ownLagEvery) == nil {
			r.late("this process", time.Since(due))
		}
	}
}

// load asks a sidecar at an even pace; a request that is late does not put off the next.
func (r *run) load(ctx context.Context, c *sidecar) {
	if r.s.Rate == 0 {
		return
	}
	client := &http.Client{Timeout: 2 * loadDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: mostAtOnce}}
	defer client.CloseIdleConnections()
	gap := time.Duration(float64(time.Second) / r.s.Rate)
	room := make(chan struct{}, mostAtOnce)
	var under sync.WaitGroup
	defer under.Wait()
	for n, due := 0, time.Now(); ; n++ {
		due = due.Add(gap)
		if sleep(ctx, time.Until(due)) != nil {
			return
		}
		r.late("the load", time.Since(due))
		if !c.isUp() {
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			r.asked.Add(1) // and not served: all before it still wait
			continue
		}
		under.Go(func() {
			defer func() { <-room }()
			q, err := http.NewRequest(http.MethodGet, "http://"+c.listen+"/"+harness.LoadClass+"/x", nil)
			if err != nil {
				return
			}
			q.Header.Set("X-Txn", c.name+"."+strconv.Itoa(n))
			q.Header.Set("X-Remaining", "0.7")
			answer, err := client.Do(q)
			if !c.isUp() { // it was ended meanwhile: its client would have gone elsewhere
				return
			}
			r.asked.Add(1)
			if err == nil {
				if answer.Body.Close(); answer.StatusCode == http.StatusOK {
					r.served.Add(1)
				}
			}
		})
	}
}

// close ends all that was started, each by its own id.
func (r *run) close() {
	var all sync.WaitGroup
	for _, h := range r.herds {
		all.Go(h.close)
	}
	all.Wait()
	for _, name := range slices.Sorted(maps.Keys(r.sidecars)) {
		c := r.sidecars[name]
		all.Go(c.close)
	}
	all.Wait()
	for _, way := range r.fronts {
		way.Close()
	}
	for _, s := range r.servers {
		s.Close()
	}
	r.hosts.Close()
}

// end ends a real process by a signal, and waits for it.
func (c *sidecar) end(s syscall.Signal, most time.Duration) (from time.Duration, did bool) {
	proc, up := c.take()
	if !up {
		return 0, false
	}
	from = boot()
	c.run.mu.Lock()
	c.run.noLeader(c.name, from)
	c.run.mu.Unlock()
	proc.Signal(s)
	if !proc.Wait(most) {
		proc.Signal(syscall.SIGKILL)
		proc.Wait(killTime)
	}
	if s != syscall.SIGKILL {
		from = boot()
	}
	return from, true
}
