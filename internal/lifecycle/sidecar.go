// Package lifecycle starts a sidecar, runs it, replaces it by a new process and stops it.
package lifecycle

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"heathgap/decide"
	"heathgap/internal/config"
	"heathgap/internal/console"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/operator"
	"heathgap/internal/pipeline"
	"heathgap/internal/shadow"
)

// Times and limits of a sidecar's life.
const (
	minStayTime = 600 * time.Millisecond // after the signal to stop, the front still assigns new connections to this sidecar for a while
	drainPoll   = 5 * time.Millisecond   // how often a stopping sidecar checks whether all requests are answered

	// The platform kills a process that has not ended by killGrace after the longest deadline, or after maxDeadlineWait if
	// that is shorter, counted from the signal to stop.
	killAfter       = maxDeadlineWait + killGrace
	killGrace       = 700 * time.Millisecond
	maxDeadlineWait = 3 * time.Second
	// The process may be paused for that long at any moment: when the signal comes, and again when requests fail.
	maxPause   = 150 * time.Millisecond
	writeGrace = 100 * time.Millisecond // the answers to requests that have failed are written within it
	// Requests still pending that long after the longest deadline (maxDeadlineWait at most) fail.
	finishGrace = killGrace - 2*maxPause - writeGrace
	exitGrace   = killGrace - 50*time.Millisecond // callers have until then to close their connections
	// A request that began to come that long before is cut short when those that are pending have failed.
	incompleteGrace = 50 * time.Millisecond
	// That long before pending requests fail, long answers are handed over to a successor.
	handOverLead = 550 * time.Millisecond

	maxStreamTime = time.Minute // limit for long answers that endpoints are still sending, if the platform does not kill the process before

	// The head of a request must have come within that time; for the first, it counts from the connection's start. A
	// caller that sends nothing, or never finishes, must get an answer or a close within 3 s.
	readTimeout = 2500 * time.Millisecond
	idleTimeout = 15 * time.Second // callers reuse connections; those that they have forgotten are closed in the end

	spareWorkers = 256 // part of the server's Concurrency, see newServer
)

// Sidecar is a running sidecar.
type Sidecar struct {
	conf       *config.Config
	log        zerolog.Logger
	connEndLog zerolog.Logger // for the lines on ended connections, which may be sampled
	env        env.Env
	engine     *pipeline.Engine
	callers    *httpwire.Callers
	bodyMemory *httpwire.MemoryBudget // for bodies of requests
	server     *fasthttp.Server
	console    *console.Console // nil if none is configured
	cluster    Cluster          // nil outside a cluster
	limits     limits
	upgrade    upgrade
	cancel     context.CancelFunc
	engineDone chan struct{} // closed when the engine has stopped
	serverErr  chan error    // the error with which the server ended

	stayTime time.Duration // how long the sidecar goes on serving as before once the signal to stop has come
}

// Decider creates the decision module of a sidecar.
type Decider func(conf *config.Config) (pipeline.Decider, error)

// NewBalancer creates heathgap's decision module.
func NewBalancer(conf *config.Config) (pipeline.Decider, error) {
	balancer, err := decide.New(conf.Settings, conf.Seed)
	if err != nil {
		return nil, err
	}
	return balancer, nil
}

// Options are the parameters of a sidecar beside its configuration.
type Options struct {
	Operator       operator.File
	TakeoverSocket string  // path of the Unix socket for upgrades; empty for no upgrades
	Decider        Decider // nil for Module
	Env            env.Env // nil for the real environment
	// Cluster makes the sidecar a member of a cluster; nil for a sidecar outside a cluster.
	Cluster func(conf *config.Config, environment env.Env, log zerolog.Logger) (Cluster, error)
}

// Cluster is a sidecar's membership in a cluster, whose members agree on the rules.
type Cluster interface {
	pipeline.RulesSource
	// Metrics appends the metrics of the membership, one per line.
	Metrics(text []byte) []byte
	// Holdings returns the access to the replicated records of keyed requests; nil without them.
	Holdings() pipeline.Holdings
	// Decommission announces that this process will stop and must not get any more replicas.
	Decommission()
	// Stop ends the membership.
	Stop()
}

// Start starts a sidecar. When it returns, the sidecar accepts requests.
func Start(conf *config.Config, log zerolog.Logger, opts Options) (*Sidecar, error) {
	if opts.Decider == nil {
		opts.Decider = NewBalancer
	}
	if opts.Env == nil {
		opts.Env = env.Real{}
	}
	environment := opts.Env
	if table := opts.Operator.Cluster; table != nil && table.Params.Holdings.Copies > 0 {
		if err := conf.ReserveHeld(table.Holdings.MaxMemory); err != nil {
			return nil, err
		}
	}
	balancer, err := opts.Decider(conf)
	if err != nil {
		return nil, err
	}
	if set := opts.Operator.Shadow.Settings; set != nil {
		// A seed of its own: the random numbers of the deciding balancer stay the same with and without a shadow.
		if balancer, err = shadow.New(balancer, *set, ^conf.Seed); err != nil {
			return nil, fmt.Errorf("watch: %w", err)
		}
	}
	log = log.Level(opts.Operator.Log.Level)
	connEndLog := log
	if n := opts.Operator.Log.ConnectionEnded; n > 1 {
		connEndLog = log.Sample(zerolog.LevelSampler{InfoSampler: &zerolog.BasicSampler{N: uint32(n)}})
	}
	engine := pipeline.New(conf, environment, pipeline.Logs{All: log, ConnEnds: connEndLog}, balancer)
	s := &Sidecar{
		conf: conf, log: log, connEndLog: connEndLog, env: environment, engine: engine, engineDone: make(chan struct{}), serverErr: make(chan error, 1),
	}
	if opts.Cluster != nil {
		cluster, err := opts.Cluster(conf, environment, log)
		if err != nil {
			return nil, err
		}
		engine.SetRules(cluster)
		if h := cluster.Holdings(); h != nil {
			engine.SetHoldings(h)
		}
		s.cluster = cluster
	}
	listener, err := s.listen(opts.TakeoverSocket)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s.stayTime = max(minStayTime, s.finishTime()-s.shortestAim())
	s.callers = httpwire.NewCallers(listener, environment, conf.CallerConns, s.callerEnded)
	s.bodyMemory = httpwire.NewMemoryBudget(conf.BodyBytes)
	s.callers.SetBodyMemory(s.bodyMemory)
	s.server = newServer(engine, conf)
	if conf.Console != "" {
		if s.console, err = console.Open(conf.Console, environment, s, log); err != nil {
			listener.Close()
			return nil, err
		}
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	environment.Go("owner", func() {
		defer close(s.engineDone)
		engine.Run(ctx)
	})
	s.replacePredecessor()
	environment.Go("server", func() { s.serverErr <- s.server.Serve(s.callers) })
	engine.SetServing(true)
	s.awaitSuccessor(opts.TakeoverSocket, listener)
	log.Info().Str("listen", listener.Addr().String()).Str("discovery", conf.Discovery).Msg("ready")
	return s, nil
}

// newServer returns the HTTP server for callers. Callers limits their connections. Concurrency is far above that limit,
// since a worker ends a little later than its connection: the server must never run out of workers and answer 503 by
// itself, which would be a refusal that the decision module has not decided.
func newServer(engine *pipeline.Engine, conf *config.Config) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      engine.Handle,
		ErrorHandler:                 engine.Unreadable,
		Concurrency:                  4*conf.CallerConns + spareWorkers,
		ReadBufferSize:               httpwire.MaxHead,
		StreamRequestBody:            true,
		MaxRequestBodySize:           httpwire.MaxBody,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true, // bodies are forwarded unchanged
		Logger:                       discardLogger{},
	}
}

// discardLogger drops the log lines of fasthttp: each connection that ends has its own line already.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// callerEnded writes the log line of a caller's connection that has ended.
func (s *Sidecar) callerEnded(c *httpwire.CallerConn, reason httpwire.Reason) {
	state, dropped := c.EndState()
	line := s.connEndLog.Info().Str("side", "caller").Str("peer", c.RemoteAddr().String()).
		Str("reason", string(reason)).Int("requests", c.Requests()).Str("state", string(state))
	if dropped > 0 {
		line = line.Int("dropped", dropped)
	}
	if problem := c.Problem(); problem != "" {
		line = line.Str("problem", problem)
	}
	line.Str("last", c.RequestID()).Msg("connection ended")
}

// Address returns the address at which callers connect.
func (s *Sidecar) Address() string { return s.callers.Addr().String() }

// Counters returns a snapshot of the counters and the current state.
func (s *Sidecar) Counters() pipeline.Snapshot { return s.engine.Snapshot() }

// Stop stops the sidecar gracefully. At first it serves as before and only GET /up reports that it is not ready: callers
// with open connections might find no other sidecar for their requests. From the time on at which a new request might no
// longer be answered before the platform kills the process, each answer closes its connection.
func (s *Sidecar) Stop() { s.stopSince(s.env.Now()) }

// stopSince stops the sidecar as Stop does; begin is when the signal to stop came.
func (s *Sidecar) stopSince(begin time.Time) {
	s.engine.MarkUnready()
	s.logStopStep("stopping", begin)
	s.upgrade.stopping.Store(true)
	if s.cluster != nil {
		s.cluster.Decommission() // its replicas move to other members while the callers get their answers
	}
	if !s.upgrade.replaced.Load() { // otherwise new callers reach the other process already
		s.env.Sleep(begin.Add(s.stayTime).Sub(s.env.Now()))
	}
	s.engine.Drain(true)
	s.logStopStep("each answer is the last on its connection", begin)
	s.callers.Close()
	s.logStopStep("no longer accepting connections", begin)
	s.awaitDrained(begin.Add(s.finishTime() - handOverLead))
	s.handOverAnswers()
	s.awaitDrained(begin.Add(s.finishTime()))
	if s.callers.Open() > 0 {
		s.logStopStep("what is pending fails", begin)
	}
	s.engine.FailPending(writeGrace)
	s.awaitStreams(begin.Add(maxStreamTime))
	s.awaitAnswered(begin.Add(s.longestDeadline() + exitGrace))
	s.cancel()
	<-s.engineDone
	if s.console != nil {
		s.console.Close()
	}
	s.upgrade.close()
	if s.cluster != nil {
		s.cluster.Stop() // only now: until here the sidecar acts on the rules of the cluster
	}
	s.logCutOff()
	s.log.Info().Object("counters", s.engine.Snapshot()).Int("callers", s.callers.Open()).Object("memory", readMemoryUsage()).
		Int64("since_ms", s.env.Now().Sub(begin).Milliseconds()).Msg("stopped")
}

// Abandon ends everything at once, as a crash of the process does: nothing is answered. The simulator calls it after it
// has cut the connections of the sidecar.
func (s *Sidecar) Abandon() {
	s.cancel()
	s.callers.CloseNow()
}

// MoveDiscovery switches to the list of another discovery.
func (s *Sidecar) MoveDiscovery(discovery string) { s.engine.MoveDiscovery(discovery) }

// Audit checks the consistency of the engine's state. The engine must be idle meanwhile.
func (s *Sidecar) Audit() error { return s.engine.Audit() }

// awaitDrained closes the callers' connections as they become idle, and waits until none is open and no answer of another
// process is being resumed, at the latest until the given time.
func (s *Sidecar) awaitDrained(until time.Time) {
	for (s.callers.Open() > 0 || s.engine.Resuming()) && s.env.Now().Before(until) {
		s.callers.CloseIdle(httpwire.ReasonShutdown)
		s.env.Sleep(drainPoll)
	}
}

// awaitAnswered waits until no caller's connection is open, at the latest until the given time, and in any case until each
// request that has come, completely or in part, has its answer. It gives up on the answers after a number of polls and not
// at a time: if the process was paused, its other goroutines could not write a single answer before that time.
func (s *Sidecar) awaitAnswered(until time.Time) {
	polls := writeGrace / drainPoll
	for s.callers.Open() > 0 {
		inTime := s.env.Now().Before(until)
		if !inTime && (polls == 0 || s.callers.Unanswered() == 0) {
			return
		}
		if !inTime {
			polls--
		}
		s.endCallers()
	}
}

// awaitStreams waits until no long answer is in progress, at the latest until the given time.
func (s *Sidecar) awaitStreams(until time.Time) {
	for s.engine.Streaming() && s.env.Now().Before(until) {
		s.endCallers()
	}
}

// endCallers closes the connections of callers that are idle or bring only a part of a request, and lets some time pass.
func (s *Sidecar) endCallers() {
	s.callers.CloseIdle(httpwire.ReasonShutdown)
	s.callers.AbortIncomplete(httpwire.ReasonShutdown, incompleteGrace)
	s.env.Sleep(drainPoll)
}

// finishTime returns the time from the stop signal until requests that are still pending fail.
func (s *Sidecar) finishTime() time.Duration { return s.longestDeadline() + finishGrace }

// longestDeadline returns the longest deadline of all classes, maxDeadlineWait at most.
func (s *Sidecar) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.conf.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDeadlineWait)
}

// shortestAim returns the shortest target latency of all classes: most answers come within it while all is well.
func (s *Sidecar) shortestAim() time.Duration {
	shortest := s.conf.Settings.Classes[0].Aim
	for _, class := range s.conf.Settings.Classes {
		shortest = min(shortest, class.Aim)
	}
	return shortest
}
