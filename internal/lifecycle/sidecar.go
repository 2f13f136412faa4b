// Package lifecycle starts a sidecar, runs it and stops it.
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

// Figures of a sidecar's life.
const (
	minStayTime = 600 * time.Millisecond // after the signal to stop: the front goes on dealing out connections
	drainPoll   = 5 * time.Millisecond   // how often a stopping sidecar looks whether all is answered

	// The platform kills what has not ended so long after the signal, or sooner
	// where all deadlines are shorter than patientFor.
	killAfter       = maxDeadlineWait + 700*time.Millisecond
	maxDeadlineWait = 3 * time.Second
	finishGrace     = 550 * time.Millisecond // past the longest deadline or patientFor: what is held fails then
	writeGrace      = 100 * time.Millisecond // after that, whatever is not written by then
	// So long before what is held fails, a successor gets the long answers on their way.
	handOverLead = 550 * time.Millisecond

	maxStreamTime = time.Minute // long answers that their endpoints still give go on so long, if the platform lets them

	// A request's head must have come by then, the first so long after its connection:
	// who sends nothing, or never the end, is owed a word or a close within 3 s.
	readTimeout = 2500 * time.Millisecond
	idleTimeout = 15 * time.Second // callers keep connections; what is forgotten ends at last

	spareWorkers = 256 // above the callers' connections: fasthttp must never refuse by itself
)

// Sidecar is a running sidecar.
type Sidecar struct {
	conf       *config.Config
	log        zerolog.Logger
	connEndLog zerolog.Logger // for ends of connections
	env        env.Env
	engine     *pipeline.Engine
	callers    *httpwire.Callers
	server     *fasthttp.Server
	console    *console.Console // nil where none is configured
	cluster    Cluster          // nil for a sidecar in none
	upgrade    upgrade
	cancel     context.CancelFunc
	engineDone chan struct{} // closed when the engine has stopped
	serverErr  chan error    // what the server ended with

	stayTime time.Duration // after the signal to stop, as before
}

// Decider makes what decides in a sidecar.
type Decider func(conf *config.Config) (pipeline.Decider, error)

// Module makes heathgap's decision module.
func Module(conf *config.Config) (pipeline.Decider, error) {
	balancer, err := decide.New(conf.Settings, conf.Seed)
	if err != nil {
		return nil, err
	}
	return balancer, nil
}

// Options are what a sidecar is started with beside its configuration.
type Options struct {
	Operator       operator.File
	TakeoverSocket string  // where the processes of an upgrade meet; empty for nowhere
	Decider        Decider // nil for the module
	Env            env.Env // nil for the real one
	// Cluster makes the sidecar a member of a crew; nil for a sidecar in none.
	Cluster func(conf *config.Config, world env.Env, log zerolog.Logger) (Cluster, error)
}

// Cluster is a sidecar's part in a crew: the rules on which its members agree.
type Cluster interface {
	pipeline.RulesSource
	// Metrics appends those of its part, a line each.
	Metrics(text []byte) []byte
	// Holdings are what its sidecars hold for one another; nil for nothing.
	Holdings() pipeline.Holdings
	// Leaving says that this process will stop, and may be given nothing more to hold.
	Leaving()
	// Stop leaves the crew.
	Stop()
}

// Start starts a sidecar; it takes requests when Start has returned.
func Start(conf *config.Config, log zerolog.Logger, opts Options) (*Sidecar, error) {
	if opts.Decider == nil {
		opts.Decider = Module
	}
	if opts.Env == nil {
		opts.Env = env.Real{}
	}
	environment := opts.Env
	balancer, err := opts.Decider(conf)
	if err != nil {
		return nil, err
	}
	if set := opts.Operator.Shadow.Settings; set != nil {
		// A seed of its own: the deciding one's random numbers stay as they are.
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

// newServer returns the server for callers. It has no limits of its own: an
// answer 429 or 503 of its making would be a refusal that nobody decided.
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
		DisablePreParseMultipartForm: true, // bodies go on unchanged
		Logger:                       discardLogger{},
	}
}

// discardLogger drops fasthttp's own lines: each connection that ends has one already.
type discardLogger struct{}

// Printf is fasthttp.Logger's.
func (discardLogger) Printf(string, ...any) {}

// callerEnded writes the log line of a caller's connection.
func (s *Sidecar) callerEnded(c *httpwire.CallerConn, reason httpwire.Reason) {
	s.connEndLog.Info().Str("side", "caller").Str("peer", c.RemoteAddr().String()).
		Str("reason", string(reason)).Int("requests", c.Requests()).Msg("connection ended")
}

// Address is where callers connect.
func (s *Sidecar) Address() string { return s.callers.Addr().String() }

// Counters returns what the sidecar counts and holds.
func (s *Sidecar) Counters() pipeline.Snapshot { return s.engine.Snapshot() }

// Stop ends in order. At first all goes on but for new callers, who are told by
// GET /up: what callers ask on the connections that they have might find no other
// sidecar. When a request that comes may not be answered any more before the
// platform kills the process, each answer becomes the last on its connection.
func (s *Sidecar) Stop() {
	begin := s.env.Now()
	s.engine.MarkUnready()
	s.log.Info().Bool("succeeded", s.upgrade.replaced.Load()).Msg("stopping")
	s.upgrade.stopping.Store(true)
	if s.cluster != nil {
		s.cluster.Leaving() // what it holds goes to others while its callers have their answers
	}
	if !s.upgrade.replaced.Load() { // else callers find the other process already
		s.env.Sleep(s.stayTime)
	}
	s.engine.Drain(true)
	s.callers.Close()
	s.awaitDrained(begin.Add(s.finishTime() - handOverLead))
	s.handOverAnswers()
	s.awaitDrained(begin.Add(s.finishTime()))
	if s.engine.FailPending(); s.engine.Streaming() {
		s.awaitDrained(begin.Add(maxStreamTime))
	}
	s.awaitDrained(begin.Add(s.finishTime() + writeGrace))
	s.cancel()
	<-s.engineDone
	if s.console != nil {
		s.console.Close()
	}
	s.upgrade.close()
	if s.cluster != nil {
		s.cluster.Stop() // only now: what it has acted on until here the crew's rules allowed
	}
	s.log.Info().Object("counters", s.engine.Snapshot()).Int("callers", s.callers.Open()).Msg("stopped")
}

// Abandon ends all at once, as the end of a process does: nothing is answered. A
// simulated world calls it when it has cut the sidecar's connections.
func (s *Sidecar) Abandon() {
	s.cancel()
	s.callers.CloseNow()
}

// MoveDiscovery goes on with the list of another discovery.
func (s *Sidecar) MoveDiscovery(discovery string) { s.engine.MoveDiscovery(discovery) }

// Audit checks what the engine keeps; it must stand still meanwhile.
func (s *Sidecar) Audit() error { return s.engine.Audit() }

// awaitDrained waits until all callers have their answers, until a time at most.
func (s *Sidecar) awaitDrained(until time.Time) {
	for (s.callers.Open() > 0 || s.engine.Resuming()) && s.env.Now().Before(until) {
		s.callers.CloseIdle(httpwire.ReasonShutdown)
		s.env.Sleep(drainPoll)
	}
}

// finishTime is how long after the signal to stop what is still held fails.
func (s *Sidecar) finishTime() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.conf.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDeadlineWait) + finishGrace
}

// shortestAim is a time within which most answers come while all is well.
func (s *Sidecar) shortestAim() time.Duration {
	shortest := s.conf.Settings.Classes[0].Aim
	for _, class := range s.conf.Settings.Classes {
		shortest = min(shortest, class.Aim)
	}
	return shortest
}
