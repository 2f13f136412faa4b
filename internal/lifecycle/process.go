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

const logLines = 4096 // buffered for a slow reader of the log; beyond that lines are dropped, so that logging never blocks

// Process runs a sidecar that is configured by its environment alone: the variables BALANCER_*, and the path of an
// operator's file if there is one. It returns the exit code of the process.
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

// Main runs a sidecar as a process until a signal stops it, and returns the exit code of the process.
func Main(opts Options) int {
	runtime.GOMAXPROCS(1) // a sidecar has one core at most, and shares it
	zerolog.TimeFieldFormat = time.RFC3339Nano
	var dropped atomic.Int64
	// Guards against a panic that is not written: closing the log must not close the file that a panic is written to.
	out := diode.NewWriter(struct{ io.Writer }{os.Stderr}, logLines, 0, func(missed int) { dropped.Add(int64(missed)) })
	defer out.Close() // writes the buffered lines
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
	debug.SetMemoryLimit(conf.CollectorBytes)
	if conf.Console != "" { // without the console's READY the platform could not learn that a successor is ready
		opts.TakeoverSocket = takeover.SocketPath(os.TempDir(), conf.Name, conf.Listen)
	}
	sidecar, err := Start(conf, log, opts)
	if err != nil {
		log.Error().Err(err).Msg("cannot start")
		return 1
	}
	go sidecar.watchMemory()
	code := sidecar.handleSignals(sig, os.Getenv)
	if n := dropped.Load(); n > 0 {
		log.Warn().Int64("lines", n).Msg("log lines dropped")
	}
	return code
}

// descriptorLimit returns how many descriptors the process may hold.
func descriptorLimit() uint64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxUint64
	}
	return limit.Cur
}

// signals are the channels of the signals that a sidecar handles. Each kind has its own: a repeated signal must not
// displace one of another kind.
type signals struct {
	stop           chan time.Time // when the first signal to stop came
	reload, report chan os.Signal
}

// notifySignals is called before anything else: a signal that comes early must wait, not end the process.
func notifySignals() signals {
	s := signals{make(chan time.Time, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop // later ones have no effect
		s.stop <- time.Now()
	}()
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.report, syscall.SIGUSR1)
	return s
}

// handleSignals handles signals until one says to stop, or the server ends, and returns the exit code. A SIGHUP during a
// reload causes one more reload; signals during a stop have no effect.
func (s *Sidecar) handleSignals(sig signals, env func(string) string) int {
	for {
		select {
		case came := <-sig.stop:
			s.log.Info().Int64("waited_ms", time.Since(came).Milliseconds()).Msg("signal to stop")
			s.stopSince(came)
			return 0
		case <-sig.reload:
			s.reload(env)
		case <-sig.report:
			s.log.Info().Object("counters", s.Counters()).Int("callers", s.callers.Open()).Object("memory", readMemoryUsage()).Msg("counters")
		case err := <-s.serverErr:
			s.log.Error().Err(err).Msg("cannot accept connections")
			return 1
		}
	}
}

// reload applies what a changed configuration may change in a running sidecar: the address of discovery. An invalid
// configuration changes nothing.
func (s *Sidecar) reload(env func(string) string) {
	next, err := config.Reload(env)
	if err != nil {
		s.log.Error().Err(err).Msg("bad configuration, the old one stays")
		return
	}
	if classes := next.ClassNames(); s.conf.IsForeign(classes) {
		// Guards against the file of another installation in place of this one: the endpoints of its discovery are not
		// ours.
		s.log.Error().Strs("classes", classes).Msg("another installation's configuration, the old one stays")
		return
	}
	if keys := s.conf.NeedRestart(next); len(keys) > 0 {
		s.log.Warn().Strs("keys", keys).Msg("changed keys need a restart")
	}
	s.engine.MoveDiscovery(next.Discovery)
	s.log.Info().Str("discovery", next.Discovery).Msg("reloaded")
}
