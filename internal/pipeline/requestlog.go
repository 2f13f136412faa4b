package pipeline

import (
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/state"
)

// A request that is not served, or is sent again, leaves a log line with its caller's id: why, and what became of its
// attempts. What is served at the first attempt leaves none.

// Reasons of requests that end without the module's word.
const (
	reasonProcessEnds    = "process_ends"     // what a stopping process still holds fails
	reasonTooManyOpen    = "too_many_open"    // more open requests than the settings allow
	reasonTooManyCallers = "too_many_callers" // more callers' connections in use than there is room for
)

// maxRequestLinesPerSecond bounds the lines on requests in a second: a flood of refusals must not cost what serving does.
const maxRequestLinesPerSecond = 20

// logLimiter lets so many lines a second through and counts the others.
type logLimiter struct {
	windowStart decide.Time // when the present second began
	written     int
	suppressed  int // since the last line that was written
}

// allow tells whether a line may be written, and how many were not since the last one.
func (b *logLimiter) allow(now decide.Time) (suppressed int, ok bool) {
	if now-b.windowStart >= time.Second {
		b.windowStart, b.written = now, 0
	}
	if b.written >= maxRequestLinesPerSecond {
		b.suppressed++
		return 0, false
	}
	b.written++
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}

// logNotServed writes the line of a request that is refused or failed.
func (e *Engine) logNotServed(r *state.Request, end, reason string) {
	if suppressed, ok := e.requestLogLimit.allow(e.clock.Now()); ok {
		e.requestLine(r, suppressed).Str("end", end).Str("reason", reason).Msg("request not served")
	}
}

// logRetry writes the line of a request that is about to be sent again.
func (e *Engine) logRetry(r *state.Request, a decide.Action) {
	if a.Reason == decide.NoReason {
		return
	}
	if suppressed, ok := e.requestLogLimit.allow(e.clock.Now()); ok {
		line := e.requestLine(r, suppressed).Str("reason", a.Reason.String())
		if endpoint := e.endpoints.Get(a.Endpoint); endpoint != nil {
			line.Str("to", endpoint.Name)
		}
		line.Msg("request sent again")
	}
}

// logRejected writes the line of a request that the module is not asked about.
func (e *Engine) logRejected(a *arrival) {
	reason := reasonTooManyOpen
	switch {
	case e.stopping:
		reason = reasonProcessEnds
	case a.crowded:
		reason = reasonTooManyCallers
	}
	if suppressed, ok := e.requestLogLimit.allow(e.clock.Now()); ok {
		e.log.Info().Str("request", a.message.ID).Str("class", a.message.Class).Int("suppressed", suppressed).
			Str("end", "refused").Str("reason", reason).Msg("request not served")
	}
}

// requestLine begins a line on a request: its attempts, and the list by which they were sent.
func (e *Engine) requestLine(r *state.Request, suppressed int) *zerolog.Event {
	line := e.log.Info().Str("request", r.Message.ID).Str("class", r.Message.Class).
		Int64("left_ms", (r.Deadline-e.clock.Now()).Milliseconds()).Int64("list", e.listVersion)
	if e.staleness.since > 0 {
		line.Int64("list_unheard_ms", (e.clock.Now() - e.staleness.since).Milliseconds())
	}
	if suppressed > 0 {
		line.Int("suppressed", suppressed)
	}
	attempts := zerolog.Arr()
	for _, a := range r.Attempts {
		attempts.Object(attemptLine{a})
	}
	return line.Array("attempts", attempts)
}

// attemptLine is an attempt as the log tells it.
type attemptLine struct{ *state.Attempt }

// MarshalZerologObject writes it into a log line.
func (a attemptLine) MarshalZerologObject(ev *zerolog.Event) {
	if a.Endpoint != nil {
		ev.Str("to", a.Endpoint.Name)
	}
	if !a.Settled {
		ev.Str("outcome", "out")
		return
	}
	ev.Str("outcome", state.OutcomeName(a.Outcome)).Int64("took_ms", a.Latency.Milliseconds())
}
