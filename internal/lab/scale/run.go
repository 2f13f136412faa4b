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

// Times and numbers of a run.
const (
	formTimeout      = 20 * time.Second      // until the voters have formed a cluster
	joinTimeout      = 90 * time.Second      // until the members of one process hold a lease
	pollInterval     = 20 * time.Millisecond // between checks of something that is awaited
	sampleInterval   = time.Second           // between samples of what processes use
	ownLagInterval   = 10 * time.Millisecond // of the timer that measures this process's own lag
	numEndpoints     = 4                     // endpoints that the real sidecars send to
	stableLeases     = 1                     // for so many lease times, members and placement must not change before the measured time begins
	stableTimeout    = 2 * time.Minute
	statusInterval   = time.Second / 4  // between checks of the leader's status, until it is stable
	proposalsTimeout = 15 * time.Second // after the last action, for versions that are still to be proposed
	minSettleTime    = 2 * time.Second  // at least, for the last version to come into effect
	progressInterval = 5 * time.Second
	maxConcurrent    = 64 // requests of one sidecar's load in flight
	// loadDeadline is half the time after which the load gives up a request.
	loadDeadline = 800 * time.Millisecond
)

// Options are the settings of a run. The three functions return a command that has not been started.
type Options struct {
	Member   func() *exec.Cmd  // runs a sidecar that is a member of a cluster
	Plain    func() *exec.Cmd  // runs a sidecar without a cluster
	Emulated func() *exec.Cmd  // runs a process of emulated members
	LogDir   string            // for the processes' logs; empty for none
	Progress func(line string) // receives lines for the console; nil for none

	started func(pid int) // for tests: called with each process that was started; may be nil
}

// run holds the processes and the observations of one run.
type run struct {
	scenario *Scenario
	plan     *Plan
	opts     Options
	// dir is a temporary directory for the sidecars' files; it is deleted after the run.
	dir   string
	hosts *harness.Hosts

	endpoints    []harness.NamedAddress
	servers      []*http.Server
	sidecars     map[string]*sidecar
	voters       []*sidecar
	emulated     []*emulatedProcess
	processOf    map[string]*emulatedProcess // by member
	voterRelays  map[string]*harness.Relay   // relays to voters, for emulated members, where a step may delay the voter's answers
	regionRelays []regionRelay               // relays of real processes to voters in another region
	proposals    chan time.Duration          // when each version to be proposed was due

	measuring atomic.Bool  // the measured time is running: lag counts
	requests  atomic.Int64 // requests of the load
	served    atomic.Int64 // of requests, those answered with 200

	mu        sync.Mutex // guards the fields below, except actions
	obs       Observations
	lastState map[string]emulated.MemberState // of each member
	// leader is the voter that leads, empty for none; term is the highest raft term in which a voter has begun to lead.
	leader          string
	term            uint64
	activeVersion   uint64
	refusedVersions map[uint64]string // reasons, by version number
	stepLog         []string          // the steps as they were carried out
	began           time.Duration     // when the measured time began
	actions         sync.WaitGroup    // actions that have begun and not ended
}

// regionRelay is a relay from a process to a voter in another region.
type regionRelay struct {
	regions [2]string // the process's and the voter's
	relay   *harness.Relay
}

// Descriptors returns how many file descriptors a process that is started from this one may have.
func Descriptors() (uint64, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("RLIMIT_NOFILE: %w", err)
	}
	// The hard limit counts: a Go program raises its soft limit to the hard one as it starts, and restores the soft limit for the processes
	// that it starts, which are Go programs too.
	return limit.Max, nil
}

// Run runs a scenario and returns its record. All processes that it started have ended when it returns. If the context ends during the
// measured time, the record is partial.
func Run(ctx context.Context, s *Scenario, seed uint64, opts Options) (*Record, error) {
	before := loadAverage()
	r, err := observe(ctx, s, seed, opts)
	if err != nil {
		return nil, err
	}
	rec := Evaluate(&r.obs)
	rec.Steps = r.stepLog
	rec.Machine = machine(before)
	return rec, nil
}

// observe runs the scenario and returns the run with its observations.
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
		scenario: s, plan: plan, opts: opts, dir: dir, hosts: harness.NewHosts(), sidecars: map[string]*sidecar{}, processOf: map[string]*emulatedProcess{},
		voterRelays: map[string]*harness.Relay{}, proposals: make(chan time.Duration, maxCount), lastState: map[string]emulated.MemberState{}, refusedVersions: map[uint64]string{},
	}
	r.obs = Observations{Plan: plan, States: map[string][]emulated.MemberState{}, Downtimes: map[string][]Span{}, Samples: map[string][]emulated.Usage{},
		Usage: map[string][]Usage{}, MaxLag: map[string]time.Duration{}}
	defer r.close()
	started := time.Now()
	if err := r.start(ctx); ctx.Err() != nil {
		return nil, errors.New("interrupted before all held a lease")
	} else if err != nil {
		return nil, err
	}
	r.progress("%d sidecars hold a lease after %.1f s", s.Size(), time.Since(started).Seconds())
	r.runActions(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &r.obs
	o.Ended, o.Partial = bootTime(), ctx.Err() != nil
	o.Requests, o.Served = int(r.requests.Load()), int(r.served.Load())
	for i := range o.Versions {
		o.Versions[i].Refused = r.refusedVersions[o.Versions[i].Number]
	}
	slices.SortStableFunc(o.Leaders, func(a, b Leadership) int { return int(a.At - b.At) })
	for _, stances := range o.States {
		slices.SortStableFunc(stances, func(a, b emulated.MemberState) int { return int(a.At - b.At) })
	}
	return r, nil
}

// loadAverage returns the machine's load average over 1, 5 and 15 minutes.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

// machine describes this machine; before is the load average before the run.
func machine(before string) Machine {
	m := Machine{Cores: runtime.NumCPU(), Go: runtime.Version(), LoadBefore: before, LoadAfter: loadAverage()}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		m.MemoryMB = int(info.Totalram * uint64(info.Unit) >> 20)
	}
	return m
}

// progress sends a line to the console, if the options ask for it.
func (r *run) progress(format string, args ...any) {
	if r.opts.Progress != nil {
		r.opts.Progress(fmt.Sprintf(format, args...))
	}
}

// recordStep records a step as it was carried out, with its time.
func (r *run) recordStep(format string, args ...any) {
	r.mu.Lock()
	line := fmt.Sprintf("%6.2fs ", (bootTime()-r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.stepLog = append(r.stepLog, line)
	r.mu.Unlock()
	r.progress("%s", line)
}

// recordFailure records a failure of the run itself. The run does not pass then.
func (r *run) recordFailure(format string, args ...any) {
	r.mu.Lock()
	r.obs.Broken = append(r.obs.Broken, fmt.Sprintf(format, args...))
	r.mu.Unlock()
}

// notifyStarted reports a started process to the test, if there is one.
func (r *run) notifyStarted(pid int) {
	if r.opts.started != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.opts.started(pid)
	}
}

// recordLag records that a part of the lab was late. Outside the measured time it does nothing.
func (r *run) recordLag(source string, lag time.Duration) {
	if !r.measuring.Load() {
		return
	}
	r.mu.Lock()
	r.obs.MaxLag[source] = max(r.obs.MaxLag[source], lag)
	r.mu.Unlock()
}

// logPath returns the file for a process's log, or an empty path for none.
func (r *run) logPath(name string) string {
	if r.opts.LogDir == "" {
		return ""
	}
	return filepath.Join(r.opts.LogDir, name+".log")
}

// recordState records which version a member applies.
func (r *run) recordState(s emulated.MemberState) {
	r.mu.Lock()
	r.obs.States[s.Member] = append(r.obs.States[s.Member], s)
	r.lastState[s.Member] = s
	r.mu.Unlock()
}

// The messages of a sidecar's log that a run evaluates. They are texts of the voter and the member.
const (
	msgRulesInEffect  = "rules in force"
	msgLeads          = "this keeper leads the crew"
	msgLeadershipLost = "this keeper no longer leads the crew"
	msgVersionActive  = "a version is active"
	msgVersionRefused = "a version is refused"
)

// handleLogLine evaluates a line of a sidecar's log. Lines that are not JSON are skipped.
func (r *run) handleLogLine(c *sidecar, text string) {
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
	at := bootTime() - time.Since(line.Time)
	if line.Message == msgRulesInEffect {
		r.recordState(emulated.MemberState{At: at, Member: c.name, Active: line.Version, Next: line.Next, Epoch: line.Epoch, Cautious: line.Cautious})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch line.Message {
	case msgLeads:
		r.obs.Leaders = append(r.obs.Leaders, Leadership{At: at, Name: c.name, Term: line.Term})
		if line.Term > r.term {
			r.leader, r.term = c.name, line.Term
		}
	case msgLeadershipLost:
		r.recordLeaderLost(c.name, at)
	case msgVersionActive:
		r.activeVersion = max(r.activeVersion, line.Version)
	case msgVersionRefused:
		r.refusedVersions[line.Version] = line.Why
	}
}

// recordLeaderLost records that a voter no longer leads, if it was the leader. The caller holds r.mu.
func (r *run) recordLeaderLost(name string, at time.Duration) {
	if r.leader == name {
		r.leader = ""
		r.obs.Leaders = append(r.obs.Leaders, Leadership{At: at})
	}
}

// start starts all processes, a few at a time, and returns when all members hold a lease and the placement is stable.
func (r *run) start(ctx context.Context) error {
	for i := range numEndpoints {
		if err := r.startEndpoint(fmt.Sprintf("e-%d", i+1)); err != nil {
			return err
		}
	}
	if err := r.assignAddresses(); err != nil {
		return err
	}
	if err := r.startAll(ctx, r.scenario.voterNames()); err != nil {
		return err
	}
	if err := r.await(ctx, formTimeout, "a leader", func() (bool, string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.leader != "", fmt.Sprintf("of %d keepers", r.scenario.Voters)
	}); err != nil {
		return err
	}
	r.progress("%d keepers are up, %s leads", r.scenario.Voters, r.leaderName())
	for _, names := range [][]string{r.scenario.realNames(), r.scenario.plainNames()} {
		if err := r.startAll(ctx, names); err != nil {
			return err
		}
	}
	if err := r.awaitLeases(ctx, slices.Concat(r.scenario.voterNames(), r.scenario.realNames())); err != nil {
		return err
	}
	if err := r.startAllEmulated(ctx); err != nil {
		return err
	}
	return r.awaitStable(ctx)
}

// awaitStable waits until neither the members nor the placement of replicas have changed for stableLeases lease times. What it costs to
// start the processes is not to be part of the measurements.
func (r *run) awaitStable(ctx context.Context) error {
	type state struct{ epoch, table uint64 }
	var before state
	since, lastCheck, reason := time.Now(), time.Time{}, "no status from the leader yet"
	err := r.await(ctx, stableTimeout, "a stable placement of replicas", func() (bool, string) {
		var s voter.Status
		r.mu.Lock()
		leader := r.sidecars[r.leader]
		r.mu.Unlock()
		if leader == nil || time.Since(lastCheck) < statusInterval || leader.client.Call("status", struct{}{}, &s, sampleTimeout) != nil || s.Ledger == nil {
			return false, reason
		}
		lastCheck = time.Now()
		now := state{epoch: s.Ledger.Epoch}
		if s.Ledger.Placement != nil {
			now.table = s.Ledger.Placement.Number
		}
		if now != before {
			before, since = now, time.Now()
		}
		reason = fmt.Sprintf("epoch %d, table %d", now.epoch, now.table)
		return time.Since(since) >= stableLeases*r.scenario.Lease, reason
	})
	if err != nil && ctx.Err() == nil { // a cluster that never becomes stable is measured all the same
		r.stepLog = append(r.stepLog, "members and the placement of replicas still changed when the measured time began: "+err.Error())
		r.progress("%s", r.stepLog[0])
		return nil
	}
	return err
}

// startEndpoint starts an HTTP server in this process, as an endpoint that the real sidecars send to.
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
		w.Write([]byte("good\n")) //nolint:errcheck // the client sees the error
	})}
	go server.Serve(listener) //nolint:errcheck // serves until Close
	r.servers = append(r.servers, server)
	r.endpoints = append(r.endpoints, harness.NamedAddress{Name: name, Address: listener.Addr().String()})
	return nil
}

// assignAddresses creates the real sidecars with their addresses, and the relays on their connections to voters. A relay is needed where
// the two are in different regions, or where a step delays the voter's answers.
func (r *run) assignAddresses() error {
	delayed := map[string]bool{}
	for _, step := range r.scenario.Steps {
		if step.Kind == Slow && step.Target == "leader" {
			for _, name := range r.scenario.voterNames() {
				delayed[name] = true
			}
		} else if step.Kind == Slow {
			delayed[step.Target] = true
		}
	}
	for _, p := range r.plan.Processes {
		if p.Kind == EmulatedProcess {
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
		if p.Kind == VoterProcess {
			c.client = peerrpc.NewClient(env.Real{}, r.scenario.Name, "lab", c.address)
			r.voters = append(r.voters, c)
		}
	}
	for _, v := range r.voters {
		for _, c := range r.sidecars {
			from, to := r.plan.Locations[c.name].Region, r.plan.Locations[v.name].Region
			if c.kind == PlainProcess || c == v || from == to && !delayed[v.name] {
				continue
			}
			relay, err := r.relayTo(v)
			if err != nil {
				return err
			}
			if c.relays[v.name] = relay; from != to {
				relay.AddDelay(r.scenario.RegionDelay)
				r.regionRelays = append(r.regionRelays, regionRelay{[2]string{from, to}, relay})
			}
		}
		if delayed[v.name] && r.scenario.Emulated > 0 {
			relay, err := r.relayTo(v)
			if err != nil {
				return err
			}
			r.voterRelays[v.name] = relay
		}
	}
	return nil
}

// relayTo starts a relay that passes connections on to the voter v.
func (r *run) relayTo(v *sidecar) (*harness.Relay, error) {
	host, err := r.hosts.Acquire()
	if err != nil {
		return nil, err
	}
	return harness.NewRelay(host, v.address)
}

// startAll starts the named sidecars at the same time, and waits until all are ready.
func (r *run) startAll(ctx context.Context, names []string) error {
	errs := make([]error, len(names))
	var all sync.WaitGroup
	for i, name := range names {
		all.Go(func() { errs[i] = r.sidecars[name].start(ctx) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// startAllEmulated starts the processes of emulated members one after another: the members of each hold a lease before the next process is
// started.
func (r *run) startAllEmulated(ctx context.Context) error {
	start := emulated.Start{
		Cluster: r.scenario.Name, Lease: r.scenario.Lease, Drift: r.scenario.Drift, Slack: r.scenario.Slack, ContradictAtMost: r.scenario.ContradictAtMost,
		FixedClasses: []string{harness.LoadClass}, Copies: r.scenario.Copies, Keep: r.scenario.Keep, LostAfter: r.scenario.LostAfter,
		Regions: map[string]string{}, RegionDelay: r.scenario.RegionDelay, KeyedRate: r.scenario.KeyedRate, KeyedDuration: r.scenario.KeyedDuration, Seed: r.plan.Seed,
	}
	place := func(name, address string) emulated.Peer {
		location := r.plan.Locations[name]
		start.Regions[address] = location.Region
		return emulated.Peer{Name: name, Zone: location.Zone, Region: location.Region, Address: address}
	}
	for _, c := range r.sidecars {
		if c.kind != PlainProcess {
			place(c.name, c.address)
		}
	}
	for _, v := range r.voters {
		address := v.address
		if relay := r.voterRelays[v.name]; relay != nil {
			address = relay.Address()
		}
		start.Voters = append(start.Voters, place(v.name, address))
	}
	groups := map[string][]emulated.Peer{}
	var names []string
	for _, p := range r.plan.Processes {
		if p.Kind != EmulatedProcess {
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
		processStart := start
		processStart.Members, processStart.Faults = groups[name], map[string]emulated.Fault{}
		var members []string
		for _, m := range processStart.Members {
			members = append(members, m.Name)
			for _, p := range r.scenario.Faults {
				if p.Member == m.Name {
					processStart.Faults[p.Member] = p.Fault
				}
			}
		}
		p, err := r.startEmulated(name, processStart)
		if err != nil {
			return err
		}
		r.emulated = append(r.emulated, p)
		for _, m := range members {
			r.processOf[m] = p
		}
		select {
		case <-p.ready:
		case <-p.exited:
			return fmt.Errorf("%s: the process ended while it started: %s", name, p.lastFault())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyTimeout):
			return fmt.Errorf("%s: its members do not listen after %v", name, readyTimeout)
		}
		if err := r.awaitLeases(ctx, members); err != nil {
			return err
		}
		r.progress("%d of %d hollow processes: %d members hold a lease", i+1, len(names), (i+1)*r.scenario.EachProcess-max(0, (i+1)*r.scenario.EachProcess-r.scenario.Emulated))
	}
	return nil
}

// awaitLeases waits until all named members hold a lease.
func (r *run) awaitLeases(ctx context.Context, names []string) error {
	return r.await(ctx, joinTimeout, "a lease", func() (bool, string) {
		without := r.notApplying(names, 0)
		return len(without) == 0, fmt.Sprintf("%d of %d have none: %s", len(without), len(names), strings.Join(without[:min(3, len(without))], ", "))
	})
}

// notApplying returns those of the named members that do not apply the version or a later one: they have not reported, are cautious, have
// ended, or apply an older one.
func (r *run) notApplying(names []string, version uint64) (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if s, reported := r.lastState[name]; !reported || s.Cautious || s.Gone || s.Active < version {
			out = append(out, name)
		}
	}
	return out
}

// await waits until condition returns true, at most for the timeout. The text that condition returns describes the present state, for
// progress lines and the error. what is the thing awaited, with its article.
func (r *run) await(ctx context.Context, timeout time.Duration, what string, condition func() (bool, string)) error {
	deadline, nextProgress := time.Now().Add(timeout), time.Now().Add(progressInterval)
	for {
		done, reason := condition()
		if done {
			return nil
		}
		if now := time.Now(); now.After(deadline) {
			return fmt.Errorf("no %s after %v (%s); keep the processes' logs (--logs) to find the cause", strings.TrimPrefix(what, "a "), timeout, reason)
		} else if now.After(nextProgress) {
			nextProgress = now.Add(progressInterval)
			r.progress("waiting for %s: %s", what, reason)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// sleep waits for d. It returns the context's error if the context ends first.
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

// leaderName returns the voter that leads, or an empty name.
func (r *run) leaderName() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// runActions runs the measured time: it carries out the plan's actions, and waits until their effects have ended and the last version can
// be judged. If the context ends, it stops early.
func (r *run) runActions(ctx context.Context) {
	watching, done := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer done()
	r.mu.Lock()
	r.began = bootTime()
	r.obs.Began = r.began
	r.mu.Unlock()
	r.sample() // the first sample of the measured time, before lag is recorded
	r.measuring.Store(true)
	all.Go(func() { r.sampleLoop(watching) })
	all.Go(func() { r.measureOwnLag(watching) })
	proposing, stopProposing := context.WithCancel(watching)
	defer stopProposing()
	all.Go(func() { r.propose(proposing) })
	for _, name := range slices.Concat(r.scenario.realNames(), r.scenario.plainNames()) {
		all.Go(func() { r.generateLoad(watching, r.sidecars[name]) })
	}
	r.progress("playing %v", r.scenario.Duration)
	begin := time.Now()
	for _, action := range r.plan.Actions {
		due := begin.Add(action.At)
		if sleep(ctx, time.Until(due)) != nil {
			break
		}
		r.recordLag("what plays the steps", time.Since(due))
		r.actions.Go(func() { r.perform(ctx, action, r.began+action.At) })
	}
	if sleep(ctx, time.Until(begin.Add(r.scenario.Duration))) == nil {
		r.actions.Wait()
		r.awaitLastVersion(ctx, stopProposing)
	}
	r.actions.Wait()
	r.measuring.Store(false)
	if ctx.Err() == nil {
		r.sample()
	}
}

// awaitLastVersion waits until all versions that are due have been proposed (for at most proposalsTimeout), and stops proposing. So that the
// last version can be evaluated, it then waits until all members that run apply it or it was refused, for at most a lease longer than
// Limits.InEffect or minSettleTime, whichever is longer.
func (r *run) awaitLastVersion(ctx context.Context, stopProposing func()) {
	until := func(timeout time.Duration, condition func() bool) {
		deadline := time.Now().Add(timeout)
		for ctx.Err() == nil && time.Now().Before(deadline) && !condition() {
			sleep(ctx, pollInterval) //nolint:errcheck // the loop's condition checks the context
		}
	}
	until(proposalsTimeout, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.obs.Unproposed == 0
	})
	stopProposing()
	r.mu.Lock()
	number := uint64(0)
	if n := len(r.obs.Versions); n > 0 {
		number = r.obs.Versions[n-1].Number
	}
	r.mu.Unlock()
	until(max(r.scenario.Limits.InEffect, minSettleTime)+r.scenario.Lease, func() bool {
		r.mu.Lock()
		refused := r.refusedVersions[number] != ""
		var up []string
		for name, s := range r.lastState {
			if c := r.sidecars[name]; !s.Gone && (c == nil || c.isUp()) {
				up = append(up, name)
			}
		}
		r.mu.Unlock()
		return refused || len(r.notApplying(up, number)) == 0
	})
	sleep(ctx, r.scenario.Lease/2) //nolint:errcheck // time for reports that are still on their way
}

// sampleLoop takes a sample each second, and writes a progress line from time to time.
func (r *run) sampleLoop(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	lastProgress := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.sample()
		if time.Since(lastProgress) >= progressInterval {
			lastProgress = time.Now()
			r.mu.Lock()
			cautious, newest := 0, uint64(0)
			for _, s := range r.lastState {
				if s.Cautious && !s.Gone {
					cautious++
				}
				newest = max(newest, s.Active)
			}
			line := fmt.Sprintf("%6.2fs version %d, leader %s, %d cautious, load average %s",
				(bootTime() - r.began).Seconds(), newest, r.leader, cautious, loadAverage())
			r.mu.Unlock()
			r.progress("%s", line)
		}
	}
}

// sample records the resources that each process has used so far.
func (r *run) sample() {
	var all sync.WaitGroup
	for _, p := range r.emulated {
		all.Go(func() {
			l, err := p.command(emulated.Command{Do: emulated.Sample}, sampleTimeout)
			if err != nil || l.Sample == nil {
				r.recordFailure("a sample of %s: %v", p.name, err)
				return
			}
			r.recordLag(p.name, l.Sample.Lag)
			r.mu.Lock()
			r.obs.Samples[p.name] = append(r.obs.Samples[p.name], *l.Sample)
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

// measureOwnLag records by how much this process's own timers are late.
func (r *run) measureOwnLag(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(ownLagInterval)
		if sleep(ctx, ownLagInterval) == nil {
			r.recordLag("this process", time.Since(due))
		}
	}
}

// generateLoad sends requests to a sidecar at an even rate. It does not wait for answers, so that a slow one does not delay the next
// request.
func (r *run) generateLoad(ctx context.Context, c *sidecar) {
	if r.scenario.Rate == 0 {
		return
	}
	client := &http.Client{Timeout: 2 * loadDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrent}}
	defer client.CloseIdleConnections()
	period := time.Duration(float64(time.Second) / r.scenario.Rate)
	slots := make(chan struct{}, maxConcurrent)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for n, due := 0, time.Now(); ; n++ {
		due = due.Add(period)
		if sleep(ctx, time.Until(due)) != nil {
			return
		}
		r.recordLag("the load", time.Since(due))
		if !c.isUp() {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			r.requests.Add(1) // it counts as not served: maxConcurrent requests before it are still in flight
			continue
		}
		inFlight.Go(func() {
			defer func() { <-slots }()
			request, err := http.NewRequest(http.MethodGet, "http://"+c.listen+"/"+harness.LoadClass+"/x", nil)
			if err != nil {
				return
			}
			request.Header.Set("X-Txn", c.name+"."+strconv.Itoa(n))
			request.Header.Set("X-Remaining", "0.7")
			answer, err := client.Do(request)
			if !c.isUp() { // the sidecar was stopped meanwhile: a real client would have used another one
				return
			}
			r.requests.Add(1)
			if err == nil {
				if answer.Body.Close(); answer.StatusCode == http.StatusOK {
					r.served.Add(1)
				}
			}
		})
	}
}

// close ends all processes and servers that the run has started, each process by its own id.
func (r *run) close() {
	var all sync.WaitGroup
	for _, p := range r.emulated {
		all.Go(p.close)
	}
	all.Wait()
	for _, name := range slices.Sorted(maps.Keys(r.sidecars)) {
		c := r.sidecars[name]
		all.Go(c.close)
	}
	all.Wait()
	for _, relay := range r.voterRelays {
		relay.Close()
	}
	for _, s := range r.servers {
		s.Close()
	}
	r.hosts.Close()
}

// end sends a signal to a real process and waits until it has ended; after the timeout it kills the process. from is the begin of the
// downtime: for SIGKILL the moment of the signal, otherwise that of the end. ended is false if the process was not up.
func (c *sidecar) end(s syscall.Signal, timeout time.Duration) (from time.Duration, ended bool) {
	proc, up := c.markEnding()
	if !up {
		return 0, false
	}
	from = bootTime()
	c.run.mu.Lock()
	c.run.recordLeaderLost(c.name, from)
	c.run.mu.Unlock()
	proc.Signal(s)
	if !proc.Wait(timeout) {
		proc.Signal(syscall.SIGKILL)
		proc.Wait(killTimeout)
	}
	if s != syscall.SIGKILL {
		from = bootTime()
	}
	return from, true
}
