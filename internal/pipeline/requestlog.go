package pipeline

import (
	"time"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/state"
)

// A request that is not served, whose caller leaves, or that is sent again, gets a log line with its caller's id, the reason and the outcomes of its
// attempts. A request that is served at the first attempt gets none.

// Reasons of requests that end without a decision of the module. They are written to the log.
const (
	reasonProcessEnds    = "process_ends"     // the process is stopping
	reasonTooManyOpen    = "too_many_open"    // more pending requests than the settings allow
	reasonNoTime         = "no_time"          // its time is over as it comes
	reasonTooManyCallers = "too_many_callers" // more connections of callers in use than are allowed
)

// How a caller was found to have left. They are written to the log.
const (
	reasonLeftBefore      = "left_before"       // before its request was admitted
	reasonSeenByWatch     = "seen_by_watch"     // while its request was pending
	reasonSeenBeforeWrite = "seen_before_write" // as an attempt was about to be written
)

// endCallerLeft is how a request ended whose caller has disconnected.
const endCallerLeft = "caller_left"

// endBrokenOff is how a request ended whose answer its caller could not get whole.
const endBrokenOff = "broken_off"

// maxRequestLinesPerSecond bounds the log lines on requests: logging a flood of refusals must not cost as much as serving.
const maxRequestLinesPerSecond = 20

// logLimiter allows a number of lines per second and counts the ones that it does not allow.
type logLimiter struct {
	windowStart decide.Time // when the current second began
	written     int
	suppressed  int // lines that were not allowed since the last one that was
}

// allow reports whether a line may be written and, if so, how many were not allowed since the last one.
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

// logNotServed writes the line of a request that was refused or failed.
func (e *Engine) logNotServed(r *state.Request, end, reason string) {
	if suppressed, ok := e.requestLogLimit.allow(e.clock.Now()); ok {
		e.requestLine(r, suppressed).Str("end", end).Str("reason", reason).Msg("request not served")
	}
}

// logAbandoned writes the line of a request whose caller has disconnected, with how many bytes of it nobody has read.
func (e *Engine) logAbandoned(r *state.Request, reason string) {
	if suppressed, ok := e.requestLogLimit.allow(e.clock.Now()); ok {
		line := e.requestLine(r, suppressed).Str("end", endCallerLeft).Str("reason", reason)
		if r.Caller != nil {
			line.Int("unread", r.Caller.UnreadBytes())
		}
		line.Msg("request not served")
	}
}

// logBrokenOff writes the line of a request whose answer was broken off on its way.
func (e *Engine) logBrokenOff(r *state.Request, why error) {
	if suppressed, ok := e.requestLogLimit.allow(e.clock.Now()); ok {
		e.requestLine(r, suppressed).Str("end", endBrokenOff).AnErr("why", why).Msg("answer broken off")
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

// logRejected writes the line of a request that is rejected without asking the module.
func (e *Engine) logRejected(a *arrival) {
	reason := reasonTooManyOpen
	switch {
	case e.stopping:
		reason = reasonProcessEnds
	case a.crowded:
		reason = reasonTooManyCallers
	case !e.full():
		reason = reasonNoTime
	}
	if suppressed, ok := e.requestLogLimit.allow(e.clock.Now()); ok {
		e.log.Info().Str("request", a.message.ID).Str("class", a.message.Class).Int("suppressed", suppressed).
			Str("end", "refused").Str("reason", reason).Msg("request not served")
	}
}

// requestLine begins a log line on a request with its attempts and the version and staleness of the list.
func (e *Engine) requestLine(r *state.Request, suppressed int) *zerolog.Event {
	line := e.log.Info().Str("request", r.Message.ID).Str("class", r.Message.Class).
		Int64("left_ms", (r.Deadline-e.clock.Now()).Milliseconds()).Int64("list", e.listVersion)
	if e.staleness.since > 0 {
		line.Int64("list_unheard_ms", (e.clock.Now() - e.staleness.since).Milliseconds())
	}
	if suppressed > 0 {
		line.Int("suppressed", suppressed)
	}
	if r.Message.Upload != nil {
		line.Object("body", r.Message.Upload.Progress())
	}
	attempts := zerolog.Arr()
	for _, a := range r.Attempts {
		attempts.Object(attemptLine{a})
	}
	return line.Array("attempts", attempts)
}

// attemptLine writes an attempt to a log line.
type attemptLine struct{ *state.Attempt }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attemptLine) MarshalZerologObject(ev *zerolog.Event) {
	if a.Endpoint != nil {
		ev.Str("to", a.Endpoint.Name)
	}
	if !a.Settled {
		ev.Str("outcome", "out")
		return
	}
	ev.Str("outcome", state.OutcomeName(a.Outcome)).Int64("took_ms", a.Latency.Milliseconds())
	if a.EndReason != "" {
		ev.Str("connection", string(a.EndReason))
	}
}
