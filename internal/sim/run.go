package sim

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/config"
	"heathgap/internal/lab/oracle"
	"heathgap/internal/lab/servermodel"
	"heathgap/internal/lifecycle"
	"heathgap/internal/operator"
)

// Properties of the simulated deployment.
const (
	coldFor  = 4 * time.Second // an endpoint is cold for so long after its start
	coldFrom = 0.1             // share of its capacity that an endpoint has at its start
	// A cold endpoint is overloaded when it gets more than overloadMultiple times its present capacity for overloadFor.
	overloadMultiple = 2.0
	overloadFor      = 300 * time.Millisecond
	answerSlack      = 20 * time.Millisecond  // an answer may be so much later than the caller's deadline
	drainGrace       = 300 * time.Millisecond // attempts to a draining endpoint must end within it
	pollInterval     = 5 * time.Second        // a sidecar that has sent no call for the list for so long counts as if it had the newest list
	deliveredAfter   = 6 * time.Second        // a change of the list counts as delivered after so long, whether or not it arrived
	deadline         = time.Second            // of each request
	// networkMargin is the most that the network adds to the times that models see: the latency of an
	// answer and of an attempt.
	networkMargin = 4 * maxLatency
	settleLimit   = 20 * time.Second // virtual time after the end of the script in which all requests must be settled
)

// Failure is a violated rule, or internal counts of the engine that contradict each other.
type Failure struct {
	Rule string        // an oracle.Rule; "books" for contradicting counts, "stuck" for a run that does not end
	Step int           // number of steps taken so far
	At   time.Duration // virtual time since the start of the run
	What string
}

// Error implements error, in one line.
func (f *Failure) Error() string {
	return fmt.Sprintf("step %d at %v: %s: %s", f.Step, f.At, f.Rule, f.What)
}

// Result is the outcome of a run.
type Result struct {
	Failure    *Failure // nil if the run passed
	Hash       uint64   // of all steps, in order
	Steps      int
	Time       time.Duration // virtual time that the run took
	Requests   int
	Faults     int
	Verdicts   [4]int            // by oracle.Verdict: served, refused, failed, malformed
	Attempts   int               // attempts that arrived at endpoints
	RareEvents map[RareEvent]int // how often each coincidence came about
}

// Options hold what a run needs besides its script.
type Options struct {
	Wait    func()            // synctest.Wait: the run must be in a bubble of testing/synctest
	Trace   io.Writer         // receives one line per step; nil for none
	Log     io.Writer         // receives the logs of the sidecars; nil for none
	Decider lifecycle.Decider // the decision module to use; nil for the real one
	Bug     func(p *Process)  // injects a bug into each process that starts; nil for none
}

// simulation holds the models and the state of one run.
type simulation struct {
	w            *World
	script       Script
	opts         Options
	checker      *oracle.Checker
	classes      map[string]decide.Class
	keys         *keyStore
	meanWork     time.Duration   // mean time that an endpoint works on a request
	endpoints    []*endpoint     // the present process at each index; a cold process replaces a crashed one
	routes       map[string]peer // listening peers by address
	namesGiven   int             // number of endpoint names given out
	discovery    *discovery
	sidecars     []*sidecar
	idleClients  []*client        // connected clients without a pending request
	clientIDs    map[string]bool  // ids of all connections from clients so far
	settled      int              // requests with a final outcome
	notConnected int              // requests whose connection was not established; they are settled too
	unanswered   map[*client]bool // clients whose request has no outcome yet
	arrived      map[string]bool  // ids of requests of which an attempt has reached an endpoint
	verdicts     [4]int           // as in Result
}

// sidecar is one sidecar over all its starts.
type sidecar struct {
	name     string
	starts   int
	proc     *Process
	instance *lifecycle.Sidecar // the present process's; nil until it has started
}

// sidecarName returns the name of the process's sidecar, without the number of the start.
func (p *Process) sidecarName() string {
	name, _, _ := strings.Cut(p.id, ".")
	return name
}

// now is the virtual time since the start of the run.
func (s *simulation) now() time.Duration { return s.w.now() }

// clientMargin is how long clients wait for an answer past a request's deadline.
func (s *simulation) clientMargin() time.Duration { return answerSlack + networkMargin + 4*maxLatency }

// rngFor returns a random source for one purpose, named by parts, so that its draws do not depend on
// other draws.
func (s *simulation) rngFor(parts ...string) *rand.Rand {
	return rand.New(rand.NewPCG(s.script.Seed, hashOf(strings.Join(parts, "/"))))
}

// Run runs a script. It must be called in a bubble of testing/synctest.
func Run(script Script, opts Options) Result {
	s := &simulation{
		w: newWorld(script.Seed, opts.Wait, opts.Trace), script: script, opts: opts, meanWork: script.Work,
		checker: oracle.New(oracle.Conf{
			AnswerSlack: answerSlack, DrainGrace: drainGrace, PollEvery: pollInterval, DeliveredAfter: deliveredAfter, Margin: networkMargin,
		}),
		keys: &keyStore{window: script.Window, runs: map[string]*keyedRun{}}, routes: map[string]peer{},
		classes: map[string]decide.Class{
			"look": {Effect: decide.Safe, Deadline: deadline}, "pay": {Effect: decide.Keyed, Deadline: deadline},
			"burn": {Effect: decide.Unsafe, Deadline: deadline},
		},
		clientIDs: map[string]bool{}, arrived: map[string]bool{}, unanswered: map[*client]bool{},
	}
	s.discovery = newDiscovery(s)
	s.routes["discovery:1"], s.routes["discovery:2"] = s.discovery, s.discovery
	s.checker.SetDiscoveryUp(0, true)
	for n := range script.Endpoints {
		s.startEndpoint(n, "", false)
	}
	for n := range script.Sidecars {
		sc := &sidecar{name: fmt.Sprintf("s%d", n)}
		s.sidecars = append(s.sidecars, sc)
		s.start(sc)
	}
	for _, a := range script.Requests {
		s.w.scheduleAfter("ask/"+a.ID, a.At, func() { s.sendRequest(a) })
	}
	for i, f := range script.Faults {
		s.w.scheduleAfter(fmt.Sprintf("fault/%d", i), f.At, func() { s.injectFault(i, f) })
	}
	s.w.check = s.checkInvariants
	err := s.w.run(s.finished)
	result := Result{
		Hash: s.w.traceHash.Sum64(), Steps: s.w.steps, Time: s.now(), Requests: len(script.Requests), Faults: len(script.Faults),
		Verdicts: s.verdicts, RareEvents: s.w.rareEvents,
	}
	for _, tally := range s.checker.Close().Sidecars {
		result.Attempts += tally.Arrivals
	}
	if err != nil && !errors.As(err, &result.Failure) {
		result.Failure = &Failure{Rule: "stuck", Step: s.w.steps, At: s.now(), What: err.Error()}
	}
	s.shutdown()
	return result
}

// finished reports whether the script is over and all its requests are settled, or the time for that has passed.
func (s *simulation) finished() bool {
	return s.now() >= s.script.Duration && s.settled >= len(s.script.Requests) || s.now() > s.script.Duration+settleLimit
}

// shutdown ends all processes and releases their goroutines.
func (s *simulation) shutdown() {
	for _, sc := range s.sidecars {
		sc.proc.kill()
		if sc.instance != nil {
			sc.instance.Abandon()
		}
	}
	s.w.releaseAll()
	time.Sleep(serverShutdownTime)
}

// serverShutdownTime is longer than the goroutine that manages the workers of a fasthttp server sleeps
// after the server has ended (10 s in version 1.79).
const serverShutdownTime = 11 * time.Second

// checkInvariants checks after each step that no rule is violated and that the engine's counts agree.
func (s *simulation) checkInvariants() error {
	report := s.checker.Close()
	if len(report.Violations) > 0 {
		violation := report.Violations[0]
		return &Failure{Rule: string(violation.Rule), Step: s.w.steps, At: s.now(), What: violation.What}
	}
	for _, sc := range s.sidecars {
		if sc.instance == nil || sc.proc.dead {
			continue
		}
		if err := sc.instance.Audit(); err != nil {
			return &Failure{Rule: "books", Step: s.w.steps, At: s.now(), What: sc.proc.id + ": " + err.Error()}
		}
	}
	if s.now() > s.script.Duration+settleLimit {
		return &Failure{Rule: "stuck", Step: s.w.steps, At: s.now(),
			What: fmt.Sprintf("%d of %d requests are settled", s.settled, len(s.script.Requests))}
	}
	return nil
}

// startEndpoint starts an endpoint at an index: under the given name, with the address that the index
// has, or under a new name and address if name is empty.
func (s *simulation) startEndpoint(index int, name string, cold bool) {
	address := name
	if name == "" {
		s.namesGiven++
		name = fmt.Sprintf("e%d", s.namesGiven)
		address = fmt.Sprintf("10.0.0.%d:80", s.namesGiven)
	} else {
		address = s.endpoints[index].address
	}
	server, err := servermodel.New(servermodel.Conf{
		Cores: 1, Speed: 1, Slots: 8, Queue: 8, ColdFrom: coldFrom, ColdFor: coldFor, OverloadMultiple: overloadMultiple, OverloadFor: overloadFor,
	}, s.now(), cold)
	if err != nil {
		panic(err) // the configuration is valid
	}
	e := &endpoint{s: s, name: name, address: address, server: server, parsers: map[*conn]*requestParser{}, tasks: map[*conn]*task{}}
	if index < len(s.endpoints) {
		e.serverEvents = s.endpoints[index].serverEvents + 1000
		s.endpoints[index] = e
	} else {
		s.endpoints = append(s.endpoints, e)
	}
	s.routes[address] = e
	s.discovery.publish(s.entryFor(e, "SERVING", cold))
}

// entryFor returns the endpoint's entry in the list of discovery.
func (s *simulation) entryFor(e *endpoint, status string, cold bool) listEntry {
	l := listEntry{Name: e.name, Address: e.address, Zone: "z", Group: 1, Status: status, Weight: 1}
	if cold {
		l.Since = time.Now().UnixMilli()
	}
	return l
}

// start starts a new process of a sidecar.
func (s *simulation) start(sc *sidecar) {
	sc.starts++
	id := fmt.Sprintf("%s.%d", sc.name, sc.starts)
	s.checker.SidecarStarted(s.now(), sc.name, 0)
	proc := s.w.newProcess(id, sc.name+":7070", s.script.Seed, func(address string) peer {
		if p := s.routes[address]; p != nil {
			if e, ok := p.(*endpoint); ok && e.dead {
				return nil
			}
			return p
		}
		return nil
	})
	sc.proc, sc.instance = proc, nil
	if s.opts.Bug != nil {
		s.opts.Bug(proc)
	}
	conf, err := config.Parse(s.sidecarConfig(sc), func(string) string { return "" })
	if err != nil {
		panic(err) // sidecarConfig writes a valid configuration
	}
	log := zerolog.Nop()
	if s.opts.Log != nil {
		log = zerolog.New(s.opts.Log).With().Str("sidecar", id).Logger()
	}
	run, err := lifecycle.Start(conf, log, lifecycle.Options{Operator: operator.Default(), Decider: s.opts.Decider, Env: proc})
	if err != nil {
		panic(err) // the simulated environment gives no reason to fail
	}
	sc.instance = run
}

// sidecarConfig returns the configuration file of a sidecar's next process.
func (s *simulation) sidecarConfig(sc *sidecar) []byte {
	class := func(name, effect string, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "aim": 200.0, "deadline": millis(deadline),
			"window": millis(s.script.Window), "worth": worth, "late_share": 0.5}
	}
	text, err := json.Marshal(map[string]any{
		"name": sc.name, "listen": sc.name + ":7070", "discovery": "discovery:1",
		"seed":   strconv.FormatUint(s.script.Seed*1009+uint64(sc.starts)*31+hashOf(sc.name)%1000, 16),
		"limits": map[string]any{"memory_mb": 32, "sockets": 256},
		"known":  s.discovery.changesSince(0),
		"settings": map[string]any{
			"me": slices.Index(s.sidecars, sc), "replicas_of_me": s.script.Sidecars, "az": "z", "tier": 0, "stages": []string{"one"},
			"tick": 2.0, "membership_mode": "subscribe", "weights": "silent", "over_share_worth": 0.1,
			"bounds": map[string]any{"cancel": true, "second_copies": true, "retry_after": true, "max_attempts": 4,
				"max_retry_after": 2000.0, "connect_timeout": 300.0, "conn_idle": 3000.0, "most_held": 200},
			"rules": map[string]any{"answer_slack": millis(answerSlack), "ask_every": millis(pollInterval), "cold": millis(coldFor),
				"cold_from": coldFrom, "drain_grace": millis(drainGrace), "fall_multiple": overloadMultiple, "overload_for": millis(overloadFor)},
			"profiles": []any{class("look", "repeatable", 1), class("pay", "by_key", 3), class("burn", "once", 3)},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// millis returns a duration in milliseconds, the unit of the settings.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// sendRequest has a client send a request, on an idle connection if there is one and the request does
// not need a connection of its own.
func (s *simulation) sendRequest(a Request) {
	s.idleClients = slices.DeleteFunc(s.idleClients, func(k *client) bool { return k.closed })
	if n := len(s.idleClients); n > 0 && !a.Fresh {
		i := s.rngFor("idle", a.ID).IntN(n)
		k := s.idleClients[i]
		s.idleClients = slices.Delete(s.idleClients, i, i+1)
		k.pending = &a
		k.write()
		return
	}
	s.sendOnNewConn(&a)
}

// sendOnNewConn has a new client send a request, to any sidecar that runs.
func (s *simulation) sendOnNewConn(a *Request) {
	var up []*sidecar
	for _, sc := range s.sidecars {
		if !sc.proc.dead {
			up = append(up, sc)
		}
	}
	if len(up) == 0 {
		s.notConnected++
		s.settled++
		return
	}
	id := "c/" + a.ID
	for s.clientIDs[id] { // the request was sent before, on a connection that the sidecar was closing
		id += "+"
	}
	s.clientIDs[id] = true
	k := &client{s: s, pending: a}
	k.c = s.w.connect(up[s.rngFor("front", a.ID).IntN(len(up))].proc, id, k, s.script.Seed)
}

// injectFault starts the nth fault of the script and schedules its end. It has no effect on an endpoint
// that is dead, draining or gone.
func (s *simulation) injectFault(n int, f Fault) {
	later := func(do func()) { s.w.scheduleAfter(fmt.Sprintf("fault/%d/end", n), f.For, do) }
	switch f.Kind {
	case ColdJoin:
		s.startEndpoint(len(s.endpoints), "", true)
		return
	case DiscoveryDown:
		s.discovery.setDown(true)
		later(func() { s.discovery.setDown(false) })
		return
	case Kill, Stop, Reload:
		s.injectSidecarFault(f, later)
		return
	}
	index := f.Target % len(s.endpoints)
	e := s.endpoints[index]
	if e.dead || s.discovery.entries[e.name].Status != "SERVING" {
		return
	}
	switch f.Kind {
	case Crash:
		e.kill()
		later(func() {
			if s.endpoints[index] == e {
				s.startEndpoint(index, e.name, true)
			}
		})
	case Drain:
		s.discovery.publish(s.entryFor(e, "DRAINING", false))
		later(func() {
			e.kill()
			s.discovery.publish(s.entryFor(e, "DELETED", false))
		})
	case Stall:
		e.setPaused(true)
		later(func() { e.setPaused(false) })
	case Partition:
		e.setPartitioned(true)
		later(func() { e.setPartitioned(false) })
	case SlowConnect:
		e.slowToConnect = true
		later(func() { e.slowToConnect = false })
	default:
		e.fault = f.Kind
		later(func() { e.fault = "" })
	}
}

// injectSidecarFault starts a fault of a sidecar. It has no effect on a sidecar that does not run.
func (s *simulation) injectSidecarFault(f Fault, later func(func())) {
	sc := s.sidecars[f.Target%len(s.sidecars)]
	proc, instance := sc.proc, sc.instance
	if proc.dead || instance == nil {
		return
	}
	switch f.Kind {
	case Reload:
		for _, w := range s.discovery.watchers {
			if w.c.proc == proc {
				s.w.rareEvents[ReloadDuringWatch]++
			}
		}
		proc.Go("reload", func() { instance.MoveDiscovery("discovery:2") })
	case Kill:
		s.killSidecar(proc, instance)
		later(func() { s.start(sc) })
	case Stop:
		// As the platform does: SIGTERM, and SIGKILL if the process still runs 700 ms after the deadline of a request that
		// arrived at the time of the SIGTERM.
		restart := func() {
			if !proc.dead {
				s.killSidecar(proc, instance)
				s.start(sc)
			}
		}
		proc.Go("stop", func() {
			instance.Stop()
			s.w.scheduleAfter(proc.id+"/exit", 0, restart)
		})
		s.w.scheduleAfter(proc.id+"/sigkill", deadline+700*time.Millisecond, restart)
	}
}

// killSidecar ends a process at once, as SIGKILL does.
func (s *simulation) killSidecar(p *Process, run *lifecycle.Sidecar) {
	for k := range s.unanswered {
		if k.c.proc == p && k.pending != nil && !s.arrived[k.pending.ID] {
			s.w.rareEvents[KillBeforeSend]++
		}
	}
	p.kill()
	run.Abandon()
}
