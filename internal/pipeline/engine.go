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
	eventQueueSize    = 1024        // events that may wait for the owner before their senders do
	urgentQueueSize   = 8           // the same for operators' calls
	sweepInterval     = time.Second // idle connections are looked at so often
	drainGraceDivisor = 2           // news come late: of the grace for drains so large a part is left when they are here
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
	conf            *config.Config
	log             zerolog.Logger
	connLog         zerolog.Logger // for ends of connections
	env             env.Env
	clock           state.Clock
	events          chan event
	urgent          chan event    // of operators: looked at before all others, however many wait
	metrics         *metrics.Set  // read at any time
	listed          atomic.Bool   // there has been a list
	resuming        atomic.Int64  // long answers of another process that are on their way here
	resumed         atomic.Int64  // long answers of another process that ended here
	serving         atomic.Bool   // callers are accepted
	stopped         chan struct{} // closed when Run has returned
	unready         atomic.Bool   // the process is stopping: callers should look elsewhere
	draining        atomic.Bool   // each answer is the last on its connection
	malformed       atomic.Int64  // requests answered 400: a flood of them must not fill the queue
	balancer        Decider
	requests        *state.Requests
	endpoints       *state.Endpoints
	pool            *state.Pool
	answerMemory    *httpwire.MemoryBudget // for bodies of answers
	timeouts        state.Timeouts
	counters        state.Counters
	watch           *watch        // of the present discovery
	backoff         time.Duration // the pause after the newest failed call, where the module does not ask; 0 after an answer
	listVersion     int64         // the list's version
	staleness       listStaleness
	requestLogLimit logLimiter
	listCalls       atomic.Int64 // calls to discovery that have begun
	handover        *Handover    // of a predecessor; nil without one
	moduleTimerAt   decide.Time  // when the module wants to be woken; 0 when it does not
	sweepAt         decide.Time
	pendingEvents   []decide.Event // for the module, behind the one it is being told
	handlingEvents  bool
	handOverFunc    httpwire.HandOverFunc               // for long answers, once they go to another process
	streams         map[*httpwire.AnswerStream]struct{} // long answers whose rest is on its way
	stopping        bool                                // nothing is taken any more
	actions         []decide.Action

	holdings    Holdings    // nil where nothing is held
	rules       RulesSource // nil where the sidecar is in no crew
	effective   *EffectiveRules
	clusterBans map[string]bool                    // endpoints that the crew's version bans; true where one by hand stands beside it
	withheld    map[string]httpwire.ListedEndpoint // lines of the list that are not taken yet, by name
}

// SetRules has the engine act on rules that others agree on. It is called before Run.
func (e *Engine) SetRules(rules RulesSource) {
	e.rules, e.effective = rules, &EffectiveRules{}
	e.clusterBans, e.withheld = map[string]bool{}, map[string]httpwire.ListedEndpoint{}
}

// New returns an engine that has not started.
func New(conf *config.Config, environment env.Env, logs Logs, balancer Decider) *Engine {
	e := &Engine{
		conf: conf, log: logs.All, connLog: logs.ConnEnds, env: environment, clock: state.NewClock(environment), balancer: balancer,
		events: make(chan event, eventQueueSize), urgent: make(chan event, urgentQueueSize), stopped: make(chan struct{}),
		requests: state.NewRequests(), endpoints: state.NewEndpoints(), streams: map[*httpwire.AnswerStream]struct{}{},
	}
	names := make([]string, 0, len(conf.Classes))
	for name := range conf.Classes {
		names = append(names, name)
	}
	if conf.Settings.Rules.GoneMayServe {
		e.endpoints.KeepGone()
	}
	e.endpoints.SetGrace(conf.Settings.Rules.DrainGrace / drainGraceDivisor)
	e.metrics = metrics.New(names)
	e.answerMemory = httpwire.NewMemoryBudget(conf.AnswerBytes)
	e.pool = state.NewPool(conf.EndpointConns, conf.IdleTimeout, e.logLinkEnd)
	e.watch = newWatch(conf.Discovery, newCallTimes(conf.Settings.Peers, conf.Settings.Rules.DrainGrace))
	return e
}

// Run owns the balancer until the context ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	e.sweepAt = e.clock.Now() + sweepInterval
	e.notifyModule(decide.Event{Kind: decide.Start})
	e.startList()
	timer := e.env.NewTimer(0)
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
			e.watch.cancelAll()
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
	if e.moduleTimerAt > 0 {
		next = min(next, e.moduleTimerAt)
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
	if e.moduleTimerAt > 0 && e.moduleTimerAt <= now {
		e.moduleTimerAt = 0
		e.notifyModule(decide.Event{Kind: decide.TimerDue})
	}
	if e.sweepAt <= now {
		e.sweepAt = now + sweepInterval
		e.pool.Sweep(now)
		e.updateStaleness()
	}
}

// MarkUnready has GET /up say that the sidecar takes no new callers.
func (e *Engine) MarkUnready() { e.unready.Store(true) }

// Drain makes every answer from now on the last on its connection, or no more.
func (e *Engine) Drain(on bool) { e.draining.Store(on) }

// FailPending fails what is still held: the process is about to end, or to be killed,
// and what it leaves unanswered is lost. A failure promises nothing, so that it
// is true whatever has run.
func (e *Engine) FailPending() { e.post(failPending{}) }

type failPending struct{}

func (failPending) handle(e *Engine) {
	e.stopping = true
	for _, r := range e.requests.All() {
		if r.Done {
			continue
		}
		e.logNotServed(r, "failed", reasonProcessEnds)
		e.relay(r, httpwire.Answer{Verdict: httpwire.Failed})
		e.notifyModule(decide.Event{Kind: decide.ClientLeft, Request: r.ID})
		for i := range r.Attempts {
			e.cancel(r, i)
		}
	}
}

// Streaming tells whether long answers are on their way.
func (e *Engine) Streaming() bool { return e.Resuming() || e.Snapshot().Streaming > 0 }

// Resuming tells whether long answers of another process are on their way here.
func (e *Engine) Resuming() bool { return e.resuming.Load() > 0 }

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

// snapshotRequest asks the owner for a snapshot.
type snapshotRequest struct{ reply chan Snapshot }

func (w snapshotRequest) handle(e *Engine) { w.reply <- e.snapshot() }

func (e *Engine) snapshot() Snapshot {
	counters := e.counters
	counters.Malformed, counters.HandedOver = int(e.malformed.Load()), int(e.resumed.Load())
	counters.Served, counters.Failed = e.metrics.Total(metrics.Served), e.metrics.Total(metrics.Failed)
	counters.Refused, counters.Left = e.metrics.Total(metrics.Refused)-counters.OverLimit, e.metrics.Total(metrics.CallerLeft)
	var shadowCounts *shadow.Counts
	if comparison, ok := e.balancer.(*shadow.Comparison); ok {
		counts := comparison.Counts()
		shadowCounts = &counts
	}
	return Snapshot{
		Counters: counters, ListCalls: &e.metrics.ListCalls, Shadow: shadowCounts, Pending: e.requests.Pending() + len(e.streams),
		Streaming: len(e.streams), Endpoints: e.endpoints.Len(), Links: e.pool.Open(),
	}
}

// Snapshot returns what the engine counts and holds, also when it has stopped.
func (e *Engine) Snapshot() Snapshot {
	reply := make(chan Snapshot, 1)
	e.post(snapshotRequest{reply})
	select {
	case s := <-reply:
		return s
	case <-e.stopped:
		return e.snapshot()
	}
}

// logLinkEnd writes the log line of a connection to an endpoint.
func (e *Engine) logLinkEnd(endpoint *state.Endpoint, link *httpwire.Link, reason httpwire.Reason) {
	uses := 0
	if link != nil {
		uses = link.Uses
	}
	e.connLog.Info().Str("side", "endpoint").Str("peer", endpoint.Name).Str("address", endpoint.Address).
		Str("reason", string(reason)).Int("requests", uses).Msg("connection ended")
}
