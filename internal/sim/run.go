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

// Figures of the simulated deployment.
const (
	coldFor  = 4 * time.Second
	coldFrom = 0.1
	// More than so many times its present capacity, for so long, pushes a cold one over.
	fallMultiple = 2.0
	fallFor      = 300 * time.Millisecond
	answerSlack  = 20 * time.Millisecond
	drainGrace   = 300 * time.Millisecond
	askEvery     = 5 * time.Second
	toldAfter    = 6 * time.Second
	deadline     = time.Second
	// margin is what the network may add between a sidecar and who watches it: an
	// answer and an attempt each on their way.
	margin     = 4 * spikeLatency
	settleMost = 20 * time.Second // of virtual time, after the last request
)

// Failure is a broken rule, or books that do not add up.
type Failure struct {
	Rule string // a truth.Rule, "books" or "stuck"
	Step int
	At   time.Duration
	What string
}

// Error tells it in a line.
func (f *Failure) Error() string {
	return fmt.Sprintf("step %d at %v: %s: %s", f.Step, f.At, f.Rule, f.What)
}

// Result is what a run left.
type Result struct {
	Failure  *Failure // nil for a good run
	Hash     uint64   // over all steps
	Steps    int
	Time     time.Duration
	Asks     int
	Faults   int
	Verdicts [4]int // served, refused, failed, malformed
	Attempts int
	Met      map[Case]int // rare meetings of events
}

// Options are those of a run.
type Options struct {
	Wait    func()            // synctest.Wait: the run must be in a bubble
	Trace   io.Writer         // a line a step; nil for none
	Log     io.Writer         // of the sidecars; nil for none
	Decider lifecycle.Decider // nil for the module
	Bug     func(p *Proc)     // plants a bug into a process; nil for none
}

// simulation is one run.
type simulation struct {
	w         *World
	script    Script
	opts      Options
	book      *oracle.Checker
	classes   map[string]decide.Class
	keys      *keyMemory
	work      time.Duration
	endpoints []*endpoint // by place; the one that stands there now
	routes    map[string]peer
	born      int
	list      *discovery
	sidecars  []*sidecar
	idle      []*client
	clients   map[string]bool // connections by their ids
	settled   int
	unreached int
	asking    map[*client]bool // those that have asked and heard nothing yet
	seen      map[string]bool  // requests of which an attempt has come to an endpoint
	verdicts  [4]int
}

// sidecar is one sidecar over all its starts.
type sidecar struct {
	name   string
	starts int
	proc   *Proc
	run    *lifecycle.Sidecar // nil until it has started
}

// name is the sidecar's, without its start.
func (p *Proc) name() string {
	name, _, _ := strings.Cut(p.id, ".")
	return name
}

func (s *simulation) now() time.Duration { return s.w.now() }

// patience is how long clients wait past a request's time.
func (s *simulation) patience() time.Duration { return answerSlack + margin + 4*spikeLatency }

// dice are a source of their own for what is named: draws do not depend on others.
func (s *simulation) dice(parts ...string) *rand.Rand {
	return rand.New(rand.NewPCG(s.script.Seed, hashOf(strings.Join(parts, "/"))))
}

// Run plays a script. It must be called in a bubble of testing/synctest.
func Run(script Script, opts Options) Result {
	s := &simulation{
		w: newWorld(script.Seed, opts.Wait, opts.Trace), script: script, opts: opts, work: script.Work,
		book: oracle.New(oracle.Conf{
			AnswerSlack: answerSlack, DrainGrace: drainGrace, AskEvery: askEvery, DeliveredAfter: toldAfter, Margin: margin,
		}),
		keys: &keyMemory{window: script.Window, seen: map[string]*keyRun{}}, routes: map[string]peer{},
		classes: map[string]decide.Class{
			"look": {Effect: decide.Safe, Deadline: deadline}, "pay": {Effect: decide.Keyed, Deadline: deadline},
			"burn": {Effect: decide.Unsafe, Deadline: deadline},
		},
		clients: map[string]bool{}, seen: map[string]bool{}, asking: map[*client]bool{},
	}
	s.list = newDiscovery(s)
	s.routes["discovery:1"], s.routes["discovery:2"] = s.list, s.list
	s.book.SetDiscoveryUp(0, true)
	for n := range script.Endpoints {
		s.startEndpoint(n, "", false)
	}
	for n := range script.Sidecars {
		sc := &sidecar{name: fmt.Sprintf("s%d", n)}
		s.sidecars = append(s.sidecars, sc)
		s.start(sc)
	}
	for _, a := range script.Asks {
		s.w.after("ask/"+a.ID, a.At, func() { s.ask(a) })
	}
	for i, f := range script.Faults {
		s.w.after(fmt.Sprintf("fault/%d", i), f.At, func() { s.strike(i, f) })
	}
	s.w.check = s.checkAll
	err := s.w.run(s.done)
	result := Result{
		Hash: s.w.sum.Sum64(), Steps: s.w.steps, Time: s.now(), Asks: len(script.Asks), Faults: len(script.Faults),
		Verdicts: s.verdicts, Met: s.w.met,
	}
	for _, t := range s.book.Close().Sidecars {
		result.Attempts += t.Arrivals
	}
	if err != nil && !errors.As(err, &result.Failure) {
		result.Failure = &Failure{Rule: "stuck", Step: s.w.steps, At: s.now(), What: err.Error()}
	}
	s.endAll()
	return result
}

// done tells whether all is settled.
func (s *simulation) done() bool {
	return s.now() >= s.script.Duration && s.settled >= len(s.script.Asks) || s.now() > s.script.Duration+settleMost
}

// endAll ends all processes and lets their goroutines go.
func (s *simulation) endAll() {
	for _, sc := range s.sidecars {
		sc.proc.kill()
		if sc.run != nil {
			sc.run.Abandon()
		}
	}
	s.w.close()
	time.Sleep(serverTail)
}

// serverTail is how long a goroutine of fasthttp's server, which looks after its
// workers, goes on sleeping past the server's end (10 s in its version 1.79).
const serverTail = 11 * time.Second

// checkAll looks after each step whether all rules hold and the books add up.
func (s *simulation) checkAll() error {
	account := s.book.Close()
	if len(account.Violations) > 0 {
		b := account.Violations[0]
		return &Failure{Rule: string(b.Rule), Step: s.w.steps, At: s.now(), What: b.What}
	}
	for _, sc := range s.sidecars {
		if sc.run == nil || sc.proc.dead {
			continue
		}
		if err := sc.run.Audit(); err != nil {
			return &Failure{Rule: "books", Step: s.w.steps, At: s.now(), What: sc.proc.id + ": " + err.Error()}
		}
	}
	if s.now() > s.script.Duration+settleMost {
		return &Failure{Rule: "stuck", Step: s.w.steps, At: s.now(),
			What: fmt.Sprintf("%d of %d requests are settled", s.settled, len(s.script.Asks))}
	}
	return nil
}

// startEndpoint starts an endpoint at a place; under its old name, or a new one.
func (s *simulation) startEndpoint(place int, name string, cold bool) {
	address := name
	if name == "" {
		s.born++
		name = fmt.Sprintf("e%d", s.born)
		address = fmt.Sprintf("10.0.0.%d:80", s.born)
	} else {
		address = s.endpoints[place].address
	}
	st, err := servermodel.New(servermodel.Conf{
		Cores: 1, Speed: 1, Slots: 8, Queue: 8, ColdFrom: coldFrom, ColdFor: coldFor, FallMultiple: fallMultiple, FallFor: fallFor,
	}, s.now(), cold)
	if err != nil {
		panic(err) // the figures are right
	}
	e := &endpoint{s: s, name: name, address: address, station: st, inboxes: map[*conn]*inbox{}, busy: map[*conn]*task{}}
	if place < len(s.endpoints) {
		e.number = s.endpoints[place].number + 1000
		s.endpoints[place] = e
	} else {
		s.endpoints = append(s.endpoints, e)
	}
	s.routes[address] = e
	s.list.set(s.lineOf(e, "SERVING", cold))
}

func (s *simulation) lineOf(e *endpoint, status string, cold bool) listLine {
	l := listLine{Name: e.name, Address: e.address, Zone: "z", Group: 1, Status: status, Weight: 1}
	if cold {
		l.Since = time.Now().UnixMilli()
	}
	return l
}

// start starts a sidecar's process.
func (s *simulation) start(sc *sidecar) {
	sc.starts++
	id := fmt.Sprintf("%s.%d", sc.name, sc.starts)
	s.book.SidecarStarted(s.now(), sc.name, 0)
	proc := s.w.newProc(id, sc.name+":7070", s.script.Seed, func(address string) peer {
		if p := s.routes[address]; p != nil {
			if e, ok := p.(*endpoint); ok && e.dead {
				return nil
			}
			return p
		}
		return nil
	})
	sc.proc, sc.run = proc, nil
	if s.opts.Bug != nil {
		s.opts.Bug(proc)
	}
	conf, err := config.Parse(s.config(sc), func(string) string { return "" })
	if err != nil {
		panic(err) // the lab's own text
	}
	log := zerolog.Nop()
	if s.opts.Log != nil {
		log = zerolog.New(s.opts.Log).With().Str("sidecar", id).Logger()
	}
	run, err := lifecycle.Start(conf, log, lifecycle.Options{Operator: operator.Default(), Decider: s.opts.Decider, Env: proc})
	if err != nil {
		panic(err) // nothing can be in its way
	}
	sc.run = run
}

func (s *simulation) config(sc *sidecar) []byte {
	class := func(name, effect string, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "aim": 200.0, "deadline": millis(deadline),
			"window": millis(s.script.Window), "worth": worth, "late_share": 0.5}
	}
	text, err := json.Marshal(map[string]any{
		"name": sc.name, "listen": sc.name + ":7070", "discovery": "discovery:1",
		"seed":   strconv.FormatUint(s.script.Seed*1009+uint64(sc.starts)*31+hashOf(sc.name)%1000, 16),
		"limits": map[string]any{"memory_mb": 32, "sockets": 256},
		"known":  s.list.list(0),
		"settings": map[string]any{
			"me": slices.Index(s.sidecars, sc), "replicas_of_me": s.script.Sidecars, "az": "z", "tier": 0, "stages": []string{"one"},
			"tick": 2.0, "membership_mode": "subscribe", "weights": "silent", "over_share_worth": 0.1,
			"bounds": map[string]any{"cancel": true, "second_copies": true, "retry_after": true, "max_attempts": 4,
				"max_retry_after": 2000.0, "connect_timeout": 300.0, "conn_idle": 3000.0, "most_held": 200},
			"rules": map[string]any{"answer_slack": millis(answerSlack), "ask_every": millis(askEvery), "cold": millis(coldFor),
				"cold_from": coldFrom, "drain_grace": millis(drainGrace), "fall_multiple": fallMultiple, "overload_for": millis(fallFor)},
			"profiles": []any{class("look", "repeatable", 1), class("pay", "by_key", 3), class("burn", "once", 3)},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ask has a client ask: on an idle connection, or on one of its own.
func (s *simulation) ask(a Ask) {
	s.idle = slices.DeleteFunc(s.idle, func(k *client) bool { return k.gone })
	if n := len(s.idle); n > 0 && !a.Fresh {
		i := s.dice("idle", a.ID).IntN(n)
		k := s.idle[i]
		s.idle = slices.Delete(s.idle, i, i+1)
		k.ask = &a
		k.write()
		return
	}
	s.connect(&a)
}

// connect asks on a new connection, of any sidecar that stands.
func (s *simulation) connect(a *Ask) {
	var up []*sidecar
	for _, sc := range s.sidecars {
		if !sc.proc.dead {
			up = append(up, sc)
		}
	}
	if len(up) == 0 {
		s.unreached++
		s.settled++
		return
	}
	id := "c/" + a.ID
	for s.clients[id] { // it crossed the end of a connection, and is sent once more
		id += "+"
	}
	s.clients[id] = true
	k := &client{s: s, ask: a}
	k.c = s.w.connect(up[s.dice("front", a.ID).IntN(len(up))].proc, id, k, s.script.Seed)
}

// strike begins a fault, and has it end.
func (s *simulation) strike(number int, f Fault) {
	later := func(do func()) { s.w.after(fmt.Sprintf("fault/%d/end", number), f.For, do) }
	switch f.Kind {
	case Cold:
		s.startEndpoint(len(s.endpoints), "", true)
		return
	case ListDown:
		s.list.setDown(true)
		later(func() { s.list.setDown(false) })
		return
	case Kill, Stop, Reload:
		s.strikeSidecar(f, later)
		return
	}
	place := f.Target % len(s.endpoints)
	e := s.endpoints[place]
	if e.dead || s.list.lines[e.name].Status != "SERVING" {
		return
	}
	switch f.Kind {
	case Crash:
		e.kill()
		later(func() {
			if s.endpoints[place] == e {
				s.startEndpoint(place, e.name, true)
			}
		})
	case Drain:
		s.list.set(s.lineOf(e, "DRAINING", false))
		later(func() {
			e.kill()
			s.list.set(s.lineOf(e, "DELETED", false))
		})
	case Stall:
		e.pause(true)
		later(func() { e.pause(false) })
	case CutOff:
		e.cutMachine(true)
		later(func() { e.cutMachine(false) })
	case Late:
		e.slowToConnect = true
		later(func() { e.slowToConnect = false })
	default:
		e.trouble = f.Kind
		later(func() { e.trouble = "" })
	}
}

func (s *simulation) strikeSidecar(f Fault, later func(func())) {
	sc := s.sidecars[f.Target%len(s.sidecars)]
	proc, run := sc.proc, sc.run
	if proc.dead || run == nil {
		return
	}
	switch f.Kind {
	case Reload:
		for _, w := range s.list.waiting {
			if w.c.proc == proc {
				s.w.met[ReloadDuringCall]++
			}
		}
		proc.Go("reload", func() { run.MoveDiscovery("discovery:2") })
	case Kill:
		s.end(proc, run)
		later(func() { s.start(sc) })
	case Stop:
		// Like the platform: SIGTERM, and SIGKILL when even the slowest answer is due.
		again := func() {
			if !proc.dead {
				s.end(proc, run)
				s.start(sc)
			}
		}
		proc.Go("stop", func() {
			run.Stop()
			s.w.after(proc.id+"/exit", 0, again)
		})
		s.w.after(proc.id+"/sigkill", deadline+700*time.Millisecond, again)
	}
}

// end ends a process at once.
func (s *simulation) end(p *Proc, run *lifecycle.Sidecar) {
	for k := range s.asking {
		if k.c.proc == p && k.ask != nil && !s.seen[k.ask.ID] {
			s.w.met[KillBeforeSend]++
		}
	}
	p.kill()
	run.Abandon()
}
