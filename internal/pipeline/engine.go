// Package pipeline carries requests from their callers to endpoints and the
// answers back. A request passes the stages take in, admit, route, send, relay
// and book, a file each. They ask the decision module and decide nothing.
//
// One goroutine, Run's, owns the balancer, the requests, the endpoints and the
// one timer. Goroutines that read and write sockets hand it typed events.
package pipeline

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/config"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
	"heathgap/internal/shadow"
	"heathgap/internal/state"
)

// Figures of the engine.
const (
	eventQueue  = 1024        // events that may wait for the owner before their senders do
	urgentQueue = 8           // the same for operators' calls
	sweepEvery  = time.Second // idle connections are looked at so often
	lateShare   = 2           // news come late: of the grace for drains so large a part is left when they are here
)

// Decider decides what is done with each request: the module, or what the lab puts
// in its place to compare it with.
type Decider interface {
	// Handle takes one event at a time that only grows, and appends what is to be done.
	Handle(now decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action
}

// Logs are where the engine writes its lines.
type Logs struct {
	All      zerolog.Logger
	ConnEnds zerolog.Logger // for ends of connections, one line each: may be sampled
}

// event is something that an I/O goroutine hands to the owner.
type event interface{ handle(*Engine) }

// Engine runs one balancer on sockets.
type Engine struct {
	conf         *config.Config
	log          zerolog.Logger
	ends         zerolog.Logger // for ends of connections
	world        env.Env
	clock        state.Clock
	events       chan event
	urgent       chan event    // of operators: looked at before all others, however many wait
	board        *metrics.Set  // read at any time
	listed       atomic.Bool   // there has been a list
	goingOn      atomic.Int64  // long answers of another process that are on their way here
	goneOn       atomic.Int64  // long answers of another process that ended here
	serving      atomic.Bool   // callers are accepted
	stopped      chan struct{} // closed when Run has returned
	unready      atomic.Bool   // the process is stopping: callers should look elsewhere
	draining     atomic.Bool   // each answer is the last on its connection
	malformed    atomic.Int64  // requests answered 400: a flood of them must not fill the queue
	balancer     Decider
	requests     *state.Requests
	endpoints    *state.Endpoints
	pool         *state.Pool
	room         *httpwire.MemoryBudget // for bodies of answers
	timeouts     state.Timeouts
	counters     state.Counters
	watch        *watch        // of the present discovery
	backoff      time.Duration // the pause after the newest failed call, where the module does not ask; 0 after an answer
	index        int64         // the list's version
	unheard      listUnheard
	requestLines lineBudget
	listCalls    atomic.Int64 // calls to discovery that have begun
	legacy       *Handover    // of a predecessor; nil without one
	moduleDue    decide.Time  // when the module wants to be woken; 0 when it does not
	sweepAt      decide.Time
	pending      []decide.Event // for the module, behind the one it is being told
	telling      bool
	give         httpwire.HandOverFunc               // for long answers, once they go to another process
	passing      map[*httpwire.AnswerStream]struct{} // long answers whose rest is on its way
	stopping     bool                                // nothing is taken any more
	actions      []decide.Action

	holdings Holdings    // nil where nothing is held
	rules    RulesSource // nil where the sidecar is in no crew
	acting   *EffectiveRules
	byCrew   map[string]bool                    // endpoints that the crew's version bans; true where one by hand stands beside it
	withheld map[string]httpwire.ListedEndpoint // lines of the list that are not taken yet, by name
}

// SetRules has the engine act on rules that others agree on. It is called before Run.
func (e *Engine) SetRules(rules RulesSource) {
	e.rules, e.acting = rules, &EffectiveRules{}
	e.byCrew, e.withheld = map[string]bool{}, map[string]httpwire.ListedEndpoint{}
}

// New returns an engine that has not started.
func New(conf *config.Config, world env.Env, logs Logs, balancer Decider) *Engine {
	e := &Engine{
		conf: conf, log: logs.All, ends: logs.ConnEnds, world: world, clock: state.NewClock(world), balancer: balancer,
		events: make(chan event, eventQueue), urgent: make(chan event, urgentQueue), stopped: make(chan struct{}),
		requests: state.NewRequests(), endpoints: state.NewEndpoints(), passing: map[*httpwire.AnswerStream]struct{}{},
	}
	names := make([]string, 0, len(conf.Classes))
	for name := range conf.Classes {
		names = append(names, name)
	}
	if conf.Settings.Rules.GoneMayServe {
		e.endpoints.KeepGone()
	}
	e.endpoints.SetGrace(conf.Settings.Rules.DrainGrace / lateShare)
	e.board = metrics.New(names)
	e.room = httpwire.NewMemoryBudget(conf.AnswerBytes)
	e.pool = state.NewPool(conf.EndpointConns, conf.IdleTimeout, e.linkEnded)
	e.watch = newWatch(conf.Discovery, usualTimes(conf.Settings.Peers, conf.Settings.Rules.DrainGrace))
	return e
}

// Run owns the balancer until the context ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	e.sweepAt = e.clock.Now() + sweepEvery
	e.tell(decide.Event{Kind: decide.Start})
	e.startList()
	timer := e.world.NewTimer(0)
	defer timer.Stop()
	for {
		e.runDue()
		select {
		case ev := <-e.urgent:
			ev.handle(e)
			continue
		default:
		}
		timer.Reset(max(0, e.nextDue()-e.clock.Now()))
		select {
		case ev := <-e.urgent:
			ev.handle(e)
		case <-ctx.Done():
			e.watch.endAll()
			return
		case <-timer.C():
		case ev := <-e.events:
			e.runDue() // what is late is late, whatever has come in the meantime
			ev.handle(e)
		}
	}
}

// post hands an event to the owner.
func (e *Engine) post(ev event) {
	select {
	case e.events <- ev:
	case <-e.stopped:
	}
}

// nextDue is when the one timer must fire.
func (e *Engine) nextDue() decide.Time {
	next := e.sweepAt
	if at := e.timeouts.Next(); at > 0 {
		next = min(next, at)
	}
	if e.moduleDue > 0 {
		next = min(next, e.moduleDue)
	}
	return next
}

// runDue does what is due.
func (e *Engine) runDue() {
	now := e.clock.Now()
	for a := e.timeouts.Due(now); a != nil; a = e.timeouts.Due(now) {
		outcome := decide.TimedOut
		if a.PreventWrite() { // no connection has come up: it has never run
			outcome = decide.ConnectFailed
		}
		a.GiveUp()
		e.settle(a, outcome, nil)
	}
	if e.moduleDue > 0 && e.moduleDue <= now {
		e.moduleDue = 0
		e.tell(decide.Event{Kind: decide.TimerDue})
	}
	if e.sweepAt <= now {
		e.sweepAt = now + sweepEvery
		e.pool.Sweep(now)
		e.timeUnheard()
	}
}

// MarkUnready has GET /up say that the sidecar takes no new callers.
func (e *Engine) MarkUnready() { e.unready.Store(true) }

// Drain makes every answer from now on the last on its connection, or no more.
func (e *Engine) Drain(on bool) { e.draining.Store(on) }

// FailPending fails what is still held: the process is about to end, or to be killed,
// and what it leaves unanswered is lost. A failure promises nothing, so that it
// is true whatever has run.
func (e *Engine) FailPending() { e.post(finish{}) }

type finish struct{}

func (finish) handle(e *Engine) {
	e.stopping = true
	for _, r := range e.requests.All() {
		if r.Done {
			continue
		}
		e.logEnd(r, "failed", reasonProcessEnds)
		e.relay(r, httpwire.Answer{Verdict: httpwire.Failed})
		e.tell(decide.Event{Kind: decide.ClientLeft, Request: r.ID})
		for i := range r.Attempts {
			e.cancel(r, i)
		}
	}
}

// Streaming tells whether long answers are on their way.
func (e *Engine) Streaming() bool { return e.Resuming() || e.Snapshot().Streaming > 0 }

// Resuming tells whether long answers of another process are on their way here.
func (e *Engine) Resuming() bool { return e.goingOn.Load() > 0 }

// Snapshot is what the engine counts and holds.
type Snapshot struct {
	state.Counters
	ListCalls *metrics.ListCalls
	Shadow    *shadow.Counts // what other settings would have done; nil where nothing is watched
	Pending   int            // requests without a final answer, or one that is not whole yet
	Streaming int            // of those held, the ones whose answer is on its way
	Endpoints int            // listed
	Links     int            // connections to endpoints
}

// MarshalZerologObject writes the snapshot into a log line.
func (s Snapshot) MarshalZerologObject(ev *zerolog.Event) {
	s.Counters.MarshalZerologObject(ev)
	if s.Shadow != nil {
		ev.Object("watching", *s.Shadow)
	}
	if s.ListCalls != nil {
		ev.Object("list_calls", s.ListCalls)
	}
	ev.Int("held", s.Pending).Int("endpoints", s.Endpoints).Int("links", s.Links)
}

// snapshotWanted asks the owner for a snapshot.
type snapshotWanted struct{ reply chan Snapshot }

func (w snapshotWanted) handle(e *Engine) { w.reply <- e.snapshot() }

func (e *Engine) snapshot() Snapshot {
	counters := e.counters
	counters.Malformed, counters.HandedOver = int(e.malformed.Load()), int(e.goneOn.Load())
	counters.Served, counters.Failed = e.board.Total(metrics.Served), e.board.Total(metrics.Failed)
	counters.Refused, counters.Left = e.board.Total(metrics.Refused)-counters.OverLimit, e.board.Total(metrics.CallerLeft)
	var watched *shadow.Counts
	if w, ok := e.balancer.(*shadow.Comparison); ok {
		counts := w.Counts()
		watched = &counts
	}
	return Snapshot{
		Counters: counters, ListCalls: &e.board.ListCalls, Shadow: watched, Pending: e.requests.Pending() + len(e.passing),
		Streaming: len(e.passing), Endpoints: e.endpoints.Len(), Links: e.pool.Open(),
	}
}

// Snapshot returns what the engine counts and holds, also when it has stopped.
func (e *Engine) Snapshot() Snapshot {
	reply := make(chan Snapshot, 1)
	e.post(snapshotWanted{reply})
	select {
	case s := <-reply:
		return s
	case <-e.stopped:
		return e.snapshot()
	}
}

// linkEnded writes the log line of a connection to an endpoint.
func (e *Engine) linkEnded(to *state.Endpoint, l *httpwire.Link, why httpwire.Reason) {
	uses := 0
	if l != nil {
		uses = l.Uses
	}
	e.ends.Info().Str("side", "endpoint").Str("peer", to.Name).Str("address", to.Address).
		Str("reason", string(why)).Int("requests", uses).Msg("connection ended")
}
