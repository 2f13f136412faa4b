// Package pipeline carries requests from their callers to endpoints and the answers back. A request passes through the stages
// take in, admit, route, send, relay and record, one file each. The stages carry out what the decision module decides.
//
// One goroutine, which runs Run and is called the owner, owns the balancer, the requests, the endpoints and the one timer.
// Goroutines that read and write sockets pass typed events to it.
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

// Sizes and intervals of the engine.
const (
	eventQueueSize    = 1024        // events that may wait for the owner; beyond that their senders block
	urgentQueueSize   = 8           // the same for calls of operators
	sweepInterval     = time.Second // interval at which idle connections are checked
	drainGraceDivisor = 2           // the report of a drain may come late: only this part of DrainGrace, a half, is taken to be left by then
)

// Decider decides what is done with each request. It is the decision module, or a policy that the lab compares with the module.
type Decider interface {
	// Handle takes one event, at a time that never decreases, and appends the actions to be done.
	Handle(now decide.Time, ev *decide.Event, actions []decide.Action) []decide.Action
}

// Logs are the loggers of the engine.
type Logs struct {
	All      zerolog.Logger
	ConnEnds zerolog.Logger // for the ends of connections, one line each; may be sampled
}

// event is something that another goroutine passes to the owner.
type event interface{ handle(*Engine) }

// Engine runs one balancer on sockets.
type Engine struct {
	conf            *config.Config
	log             zerolog.Logger
	connLog         zerolog.Logger // for the ends of connections
	env             env.Env
	clock           state.Clock
	events          chan event
	urgent          chan event    // from operators; handled before all other events
	metrics         *metrics.Set  // may be read at any time
	listed          atomic.Bool   // a list was applied
	resuming        atomic.Int64  // streamed answers of another process that are being resumed here
	resumed         atomic.Int64  // streamed answers of another process that were resumed and have ended here
	serving         atomic.Bool   // callers are accepted
	stopped         chan struct{} // closed when Run has returned
	unready         atomic.Bool   // the process is stopping: callers should use another sidecar
	draining        atomic.Bool   // each answer is the last on its connection
	malformedDue    atomic.Int64  // module time up to which malformed requests have used up their rate
	outOfMemory     atomic.Int64  // requests refused for want of memory for their bodies; counted as malformed ones are
	malformed       atomic.Int64  // requests answered 400; counted here and not by the owner, so that a flood of them does not fill its queue
	balancer        Decider
	requests        *state.Requests
	ids             *requestIDs
	endpoints       *state.Endpoints
	pool            *state.Pool
	answerMemory    *httpwire.MemoryBudget // memory budget for bodies of answers
	timeouts        state.Timeouts
	counters        state.Counters
	watch           *watch        // the watch at the present discovery
	backoff         time.Duration // base of the pause after the latest failed call, where lists are pushed; 0 after an answer
	listVersion     int64         // version of the list that was received last
	staleness       listStaleness
	requestLogLimit logLimiter
	listCalls       atomic.Int64 // calls to discovery so far
	handover        *Handover    // from a predecessor, until the owner has applied it; nil without one
	moduleTimerAt   decide.Time  // when the module wants to be woken; 0 for not at all
	sweepAt         decide.Time
	pendingEvents   []decide.Event                      // events for the module, behind the one that it is handling
	handlingEvents  bool                                // notifyModule is running
	handOverFunc    httpwire.HandOverFunc               // how streamed answers are handed to another process; nil until that begins
	streams         map[*httpwire.AnswerStream]struct{} // streamed answers in progress
	stopping        bool                                // no request is accepted any more
	actions         []decide.Action

	holdings     Holdings           // nil if no keys are claimed
	exchanges    context.Context    // of claims with other sidecars; ends soon after pending requests have failed
	endExchanges context.CancelFunc // ends exchanges
	rules        RulesSource        // nil if the sidecar is in no cluster
	effective    *EffectiveRules
	clusterBans  map[string]bool                    // endpoints that the cluster's version bans; the value is true if the endpoint is banned by hand too
	withheld     map[string]httpwire.ListedEndpoint // entries of the list that are not applied yet, by name
}

// SetRules makes the engine apply the rules that the cluster agrees on. It is called before Run.
func (e *Engine) SetRules(rules RulesSource) {
	e.rules, e.effective = rules, &EffectiveRules{}
	e.clusterBans, e.withheld = map[string]bool{}, map[string]httpwire.ListedEndpoint{}
}

// New returns an engine; Run starts it.
func New(conf *config.Config, environment env.Env, logs Logs, balancer Decider) *Engine {
	e := &Engine{
		conf: conf, log: logs.All, connLog: logs.ConnEnds, env: environment, clock: state.NewClock(environment), balancer: balancer,
		events: make(chan event, eventQueueSize), urgent: make(chan event, urgentQueueSize), stopped: make(chan struct{}),
		requests: state.NewRequests(), endpoints: state.NewEndpoints(), streams: map[*httpwire.AnswerStream]struct{}{},
	}
	e.ids = newRequestIDs(e.clock)
	e.exchanges, e.endExchanges = context.WithCancel(context.Background())
	names := make([]string, 0, len(conf.Classes))
	for name := range conf.Classes {
		names = append(names, name)
	}
	if conf.Settings.Rules.RemovalNotBinding {
		e.endpoints.KeepGone()
	}
	e.endpoints.SetGrace(conf.Settings.Rules.DrainGrace / drainGraceDivisor)
	e.metrics = metrics.New(names)
	e.answerMemory = httpwire.NewMemoryBudget(conf.AnswerBytes)
	e.pool = state.NewPool(conf.EndpointConns, conf.IdleTimeout, e.logLinkEnd)
	e.watch = newWatch(conf.Discovery, newCallTimes(conf.Settings.Peers, conf.Settings.Rules.DrainGrace))
	return e
}

// Run is the owner: it handles events, timeouts and the module's timer until the context ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	defer e.endExchanges()
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
			e.runDue() // timeouts that are due come before the event, however long it has waited
			ev.handle(e)
		}
	}
}

// post passes an event to the owner. The event is lost once Run has returned.
func (e *Engine) post(ev event) {
	select {
	case e.events <- ev:
	case <-e.stopped:
	}
}

// nextDue returns when the timer must fire next.
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

// runDue handles the timeouts, the module's timer and the sweep if they are due.
func (e *Engine) runDue() {
	now := e.clock.Now()
	for a := e.timeouts.Due(now); a != nil; a = e.timeouts.Due(now) {
		outcome := decide.TimedOut
		if a.PreventWrite() { // nothing has been written yet, so the attempt never ran
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

// MarkUnready makes GET /up report that the sidecar takes no new callers.
func (e *Engine) MarkUnready() { e.unready.Store(true) }

// Drain sets whether each answer from now on is the last on its connection.
func (e *Engine) Drain(on bool) { e.draining.Store(on) }

// FailPending fails all requests that are pending, because the process is about to end and would leave them unanswered. A
// failure does not tell the caller whether the request ran, so it is true in either case. Answers of usual length that have
// begun to pass on are broken off after the grace period. After a part of it (exchangeGraceDivisor), requests whose key is still
// being claimed are refused, and those whose outcome is still being recorded are answered.
func (e *Engine) FailPending(grace time.Duration) { e.post(failPending{grace}) }

// failPending is the event that fails all pending requests.
type failPending struct{ grace time.Duration }

func (f failPending) handle(e *Engine) {
	e.stopping = true
	e.endExchangesAfter(f.grace / exchangeGraceDivisor)
	streamsUntil := e.env.Now().Add(f.grace)
	for stream := range e.streams {
		stream.SetDeadline(streamsUntil, true)
	}
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

// Streaming reports whether streamed answers are in progress.
func (e *Engine) Streaming() bool { return e.Resuming() || e.Snapshot().Streaming > 0 }

// Resuming reports whether streamed answers of another process are being resumed here.
func (e *Engine) Resuming() bool { return e.resuming.Load() > 0 }

// Snapshot is a copy of the engine's counters and gauges.
type Snapshot struct {
	state.Counters
	ListCalls   *metrics.ListCalls
	Shadow      *shadow.Counts // what other settings would have decided; nil without a shadow
	Pending     int            // requests without a final answer, or with one that is still being streamed
	Streaming   int            // those of Pending whose answer is being streamed
	Endpoints   int            // listed endpoints
	ListVersion int64          // version of the list in force
	Links       int            // connections to endpoints
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
	ev.Int("held", s.Pending).Int("endpoints", s.Endpoints).Int64("list", s.ListVersion).Int("links", s.Links)
}

// snapshotRequest is the event that requests a snapshot from the owner.
type snapshotRequest struct{ reply chan Snapshot }

func (r snapshotRequest) handle(e *Engine) { r.reply <- e.snapshot() }

func (e *Engine) snapshot() Snapshot {
	counters := e.counters
	counters.Malformed, counters.HandedOver, counters.OutOfMemory = int(e.malformed.Load()), int(e.resumed.Load()), int(e.outOfMemory.Load())
	counters.UsedIDs = int(e.metrics.UsedIDs.Load())
	counters.Served, counters.Failed = e.metrics.Total(metrics.Served), e.metrics.Total(metrics.Failed)
	counters.Refused, counters.Left = e.metrics.Total(metrics.Refused)-counters.OverLimit-counters.OutOfMemory, e.metrics.Total(metrics.CallerLeft)
	var shadowCounts *shadow.Counts
	if comparison, ok := e.balancer.(*shadow.Comparison); ok {
		counts := comparison.Counts()
		shadowCounts = &counts
	}
	return Snapshot{
		Counters: counters, ListCalls: &e.metrics.ListCalls, Shadow: shadowCounts, Pending: e.requests.Pending() + len(e.streams),
		Streaming: len(e.streams), Endpoints: e.endpoints.Len(), ListVersion: e.listVersion, Links: e.pool.Open(),
	}
}

// Snapshot returns the engine's counters and gauges, also after it has stopped.
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

// logLinkEnd writes the log line on the end of a connection to an endpoint. The link is nil if the dial failed.
func (e *Engine) logLinkEnd(endpoint *state.Endpoint, link *httpwire.Link, reason httpwire.Reason) {
	uses := 0
	if link != nil {
		uses = link.Uses
	}
	e.connLog.Info().Str("side", "endpoint").Str("peer", endpoint.Name).Str("address", endpoint.Address).
		Str("reason", string(reason)).Int("requests", uses).Msg("connection ended")
}
