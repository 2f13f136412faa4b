package lifecycle

import (
	"time"

	"github.com/rs/zerolog"

	"heathgap/internal/httpwire"
)

// maxCutOffLines bounds the log lines on connections that the end of the process cuts off.
const maxCutOffLines = 50

// connStates writes how many connections of callers are in each state.
type connStates map[httpwire.ConnState]int

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (states connStates) MarshalZerologObject(ev *zerolog.Event) {
	for _, state := range []httpwire.ConnState{
		httpwire.StateIdle, httpwire.StateReading, httpwire.StateClaiming, httpwire.StatePending, httpwire.StateRecording,
		httpwire.StateAnswered, httpwire.StateClosed,
	} {
		if n := states[state]; n > 0 {
			ev.Int(string(state), n)
		}
	}
}

// logStopStep writes the log line of a step of a stop that began at the given time.
func (s *Sidecar) logStopStep(step string, begin time.Time) {
	s.log.Info().Bool("succeeded", s.upgrade.replaced.Load()).Int64("since_ms", s.env.Now().Sub(begin).Milliseconds()).
		Object("connections", connStates(s.callers.States())).Msg(step)
}

// logCutOff writes a log line for each connection of a caller that is open when the process ends.
func (s *Sidecar) logCutOff() {
	lines := 0
	s.callers.EachOpen(func(c *httpwire.CallerConn) {
		if lines++; lines > maxCutOffLines {
			return
		}
		s.log.Warn().Str("side", "caller").Str("peer", c.RemoteAddr().String()).Int("requests", c.Requests()).
			Str("state", string(c.State())).Str("last", c.RequestID()).Msg("connection cut off")
	})
}
