package lifecycle

import (
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sys/unix"

	"heathgap/internal/config"
	"heathgap/internal/operator"
	"heathgap/internal/takeover"
)

const logLines = 4096 // kept for a log that is read slowly; beyond them lines are dropped, so that nobody waits

// Process runs a sidecar that only its environment tells what to do: BALANCER_*,
// and the path of an operator's file where there is one.
func Process() int {
	file, err := operator.FromEnv(os.Getenv)
	if err == nil && file.Cluster != nil {
		err = fmt.Errorf("%s: it has a table [crew]: bin/heathgap serve --operator starts bin/heathgap-crew with it", os.Getenv(operator.EnvFile))
	}
	if err != nil {
		log := zerolog.New(os.Stderr).With().Timestamp().Logger()
		log.Error().Err(err).Msg("bad operator's file")
		return 1
	}
	return Main(Options{Operator: file})
}

// Main runs a sidecar as a process until it is told to stop, and returns the
// process's exit code.
func Main(opts Options) int {
	runtime.GOMAXPROCS(1) // it has one core at most, and shares that
	zerolog.TimeFieldFormat = time.RFC3339Nano
	var dropped atomic.Int64
	// Guards against a panic that nobody reads: the log's end must not close what a panic is written to.
	out := diode.NewWriter(struct{ io.Writer }{os.Stderr}, logLines, 0, func(missed int) { dropped.Add(int64(missed)) })
	defer out.Close() // writes what is left
	log := zerolog.New(out).With().Timestamp().Logger()
	sig := notifySignals()
	conf, err := config.Load(os.Getenv)
	if err != nil {
		log.Error().Err(err).Msg("bad configuration")
		return 1
	}
	log = log.With().Str("sidecar", conf.Name).Logger()
	if limit := descriptorLimit(); conf.LimitSockets(limit) {
		log.Warn().Int("sockets", conf.Sockets).Uint64("descriptors", limit).Msg("the process may hold fewer descriptors than limits.sockets")
	}
	debug.SetMemoryLimit(conf.HeapBytes)
	if conf.Console != "" { // READY is how the platform learns that a successor serves
		opts.TakeoverSocket = takeover.SocketPath(os.TempDir(), conf.Name, conf.Listen)
	}
	sidecar, err := Start(conf, log, opts)
	if err != nil {
		log.Error().Err(err).Msg("cannot start")
		return 1
	}
	code := sidecar.handleSignals(sig, os.Getenv)
	if n := dropped.Load(); n > 0 {
		log.Warn().Int64("lines", n).Msg("log lines dropped")
	}
	return code
}

// descriptorLimit is how many the process may hold.
func descriptorLimit() uint64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxUint64
	}
	return limit.Cur
}

// signals are those that a sidecar heeds, a channel each: one that repeats must
// not take another's place.
type signals struct{ stop, reload, report chan os.Signal }

// notifySignals is called before anything else: a signal that comes early must wait,
// not end the process.
func notifySignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.report, syscall.SIGUSR1)
	return s
}

// handleSignals heeds signals until one says to stop, or the server ends. A SIGHUP that
// comes during a reload brings one more; those that come during a stop are nothing.
func (s *Sidecar) handleSignals(sig signals, env func(string) string) int {
	for {
		select {
		case <-sig.stop:
			s.Stop()
			return 0
		case <-sig.reload:
			s.reload(env)
		case <-sig.report:
			s.log.Info().Object("counters", s.Counters()).Int("callers", s.callers.Open()).Msg("counters")
		case err := <-s.serverErr:
			s.log.Error().Err(err).Msg("cannot accept connections")
			return 1
		}
	}
}

// reload takes over what a changed configuration may change in a running sidecar:
// the address of discovery. A faulty one changes nothing.
func (s *Sidecar) reload(env func(string) string) {
	next, err := config.Reload(env)
	if err != nil {
		s.log.Error().Err(err).Msg("bad configuration, the old one stays")
		return
	}
	if classes := next.ClassNames(); s.conf.IsForeign(classes) {
		// Guards against another installation's file in this one's place: its discovery's endpoints are not ours.
		s.log.Error().Strs("classes", classes).Msg("another installation's configuration, the old one stays")
		return
	}
	if keys := s.conf.NeedRestart(next); len(keys) > 0 {
		s.log.Warn().Strs("keys", keys).Msg("changed keys need a restart")
	}
	s.engine.MoveDiscovery(next.Discovery)
	s.log.Info().Str("discovery", next.Discovery).Msg("reloaded")
}
