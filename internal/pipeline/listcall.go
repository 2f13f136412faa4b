package pipeline

import (
	"context"
	"errors"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
)

// Each call to discovery has a number and one log line that says what was requested and how the call ended. The metrics count
// the calls by how they ended. The staleness of the list is measured, and logged once the missed changes count as delivered.

// listCallKind is what a call to discovery requests.
type listCallKind string

// The kinds of call. The texts are written to the log.
const (
	listFetch listCallKind = "fetch" // the full list
	listWatch listCallKind = "watch" // the changes after a version, as soon as there is one
	listCheck listCallKind = "check" // the changes after a version that exist now: follows a watch that broke or timed out
)

// listCall is one call to discovery.
type listCall struct {
	number    int64 // from 1 at the start of the process
	kind      listCallKind
	after     int64         // the version whose changes are requested; 0 for the full list
	wait      time.Duration // how long discovery was asked to wait for a change
	begun     time.Time
	firstByte time.Time // when the first byte of the answer came; zero without one
	ended     time.Time
}

// classifyListCall returns how a call ended, given its error, whether it had a connection, and whether it was canceled.
func classifyListCall(err error, connected, canceled bool) metrics.ListCallEnd {
	var status httpwire.StatusError
	switch {
	case err == nil:
		return metrics.ListAnswered
	case canceled || errors.Is(err, context.Canceled):
		return metrics.ListCanceled
	case !connected:
		return metrics.ListNotConnected
	case errors.As(err, &status):
		return metrics.ListRefused
	case errors.Is(err, errNoAnswerInTime):
		return metrics.ListTimedOut
	case answerLost(err):
		return metrics.ListBroken
	}
	return metrics.ListMalformed
}

// logListCall counts a call that has ended and writes its log line. list is what it returned; nil if it failed.
func (e *Engine) logListCall(w *watch, call *listCall, list *httpwire.List, err error) {
	end := classifyListCall(err, w.link != nil, w.ctx.Err() != nil)
	e.metrics.ListCalls.Count(end)
	line := e.log.Info()
	if err != nil && end != metrics.ListCanceled {
		line = e.log.Warn()
	}
	line = line.Str("discovery", w.address).Int64("call", call.number).Str("kind", string(call.kind)).
		Stringer("end", end).Int64("took_ms", call.ended.Sub(call.begun).Milliseconds())
	if call.kind != listFetch {
		line = line.Int64("after", call.after).Int64("wait_ms", call.wait.Milliseconds())
	}
	if !call.firstByte.IsZero() {
		line = line.Int64("first_byte_ms", call.firstByte.Sub(call.begun).Milliseconds())
	}
	if list != nil {
		line = line.Int64("version", list.Index).Bool("whole", list.Full).
			Int("lines", len(list.Endpoints)).Int("bytes", list.Bytes)
	}
	line.AnErr("error", err).Msg("list call")
}

// When a change that discovery has counts as delivered, whether or not it was received (STANDING: Days at full size).
const (
	deliveryWhenPolled = 6 * time.Second // after discovery had it, where lists are polled
	deliveryAfterMove  = 4 * time.Second // after a reload that names another discovery
)

// deliveryDelay returns how long after discovery had it a change counts as delivered. Where lists are pushed that is at once.
func (e *Engine) deliveryDelay() time.Duration {
	if e.conf.Settings.MustPoll {
		return deliveryWhenPolled
	}
	return 0
}

// listStaleness measures for how long discovery may have had changes that were not received.
type listStaleness struct {
	since       decide.Time // 0 while the list is current
	deliveredBy decide.Time // when those changes count as delivered
	logged      bool        // that the list is stale has been logged
}

// markListStale records that changes which discovery has had since a time may not have been received, and when they count as
// delivered. The record stays until markListCurrent.
func (e *Engine) markListStale(since, deliveredBy decide.Time) {
	if e.staleness.since == 0 {
		e.staleness = listStaleness{since: since, deliveredBy: deliveredBy}
		e.notifyModule(decide.Event{Kind: decide.ListMissed, Since: since, DeliveredBy: deliveredBy})
	}
	e.updateStaleness()
}

// markListCurrent records that the list has every change that discovery had: a call was answered, or one has waited for so long
// that discovery would have answered it with a change.
func (e *Engine) markListCurrent() {
	if e.staleness.logged {
		e.log.Info().Int64("version", e.listVersion).Int64("stale_ms", (e.clock.Now() - e.staleness.deliveredBy).Milliseconds()).
			Msg("the list is current again")
	}
	e.staleness = listStaleness{}
	e.updateStaleness()
}

// updateStaleness updates the metric, and logs once that the list is stale when missed changes count as delivered.
func (e *Engine) updateStaleness() {
	stale := decide.Time(0)
	if e.staleness.since > 0 { // 0 means that the list is current
		stale = max(time.Millisecond, e.clock.Now()-e.staleness.since)
	}
	e.metrics.ListStaleMS.Store(stale.Milliseconds())
	if stale > 0 && e.clock.Now() >= e.staleness.deliveredBy && !e.staleness.logged {
		e.staleness.logged = true
		e.log.Warn().Int64("version", e.listVersion).Int("endpoints", e.endpoints.Len()).Int64("unheard_ms", stale.Milliseconds()).
			Object("calls", &e.metrics.ListCalls).Msg("the list is stale")
	}
}
