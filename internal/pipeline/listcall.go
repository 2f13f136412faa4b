package pipeline

import (
	"context"
	"errors"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
)

// Each call to discovery has a number and one log line that says what was asked and how it ended; the counts by end stand
// in the figures. What discovery may have had to tell since the last answer is timed, and its going stale is logged.

// listCallKind is what a call to discovery asks for.
type listCallKind string

// The kinds of call, as the log names them.
const (
	listFetch listCallKind = "fetch" // the whole list
	listWatch listCallKind = "watch" // what is newer than a version, once there is something
	listCheck listCallKind = "check" // what is newer now: behind a watch that broke or fell silent
)

// listCall is one call to discovery.
type listCall struct {
	number    int64 // from 1 at the start of the process
	kind      listCallKind
	after     int64         // the version whose changes are asked for; 0 for the whole list
	wait      time.Duration // for which discovery was asked to wait for news
	begun     time.Time
	firstByte time.Time // of its answer; zero without one
	ended     time.Time
}

// classifyListCall reads how a call ended from its error.
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

// logListCall counts a call that has ended and writes its log line. The list is what it brought; nil if it failed.
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
		line = line.Int64("version", list.Index).Bool("whole", list.Whole).
			Int("lines", len(list.Endpoints)).Int("bytes", list.Bytes)
	}
	line.AnErr("error", err).Msg("list call")
}

// When what discovery has counts as told, whether or not it has come (STANDING: Days at full size).
const (
	deliveryWhenPolled = 6 * time.Second // where lists are asked for
	deliveryAfterMove  = 4 * time.Second // behind a reload that names another discovery
)

// deliveryDelay is how long after discovery has it a change counts as told. Where lists are pushed that is at once.
func (e *Engine) deliveryDelay() time.Duration {
	if e.conf.Settings.MustPoll {
		return deliveryWhenPolled
	}
	return 0
}

// listStaleness times how long discovery may have had news that have not come.
type listStaleness struct {
	since       decide.Time // 0 while the newest call was answered
	deliveredBy decide.Time // when they count as told
	logged      bool        // that has been logged
}

// markListStale books that what discovery has had since a time may not have come, and when it counts as told. It stands until
// a call is answered.
func (e *Engine) markListStale(since, deliveredBy decide.Time) {
	if e.staleness.since == 0 {
		e.staleness = listStaleness{since: since, deliveredBy: deliveredBy}
		e.notifyModule(decide.Event{Kind: decide.ListMissed, Since: since, DeliveredBy: deliveredBy})
	}
	e.updateStaleness()
}

// markListCurrent books that a call was answered with all that discovery had.
func (e *Engine) markListCurrent() {
	if e.staleness.logged {
		e.log.Info().Int64("version", e.listVersion).Int64("stale_ms", (e.clock.Now() - e.staleness.deliveredBy).Milliseconds()).
			Msg("the list is current again")
	}
	e.staleness = listStaleness{}
	e.updateStaleness()
}

// updateStaleness brings the figure up to date and logs the moment in which the list goes stale.
func (e *Engine) updateStaleness() {
	stale := decide.Time(0)
	if e.staleness.since > 0 { // 0 is for none
		stale = max(time.Millisecond, e.clock.Now()-e.staleness.since)
	}
	e.metrics.ListStaleMS.Store(stale.Milliseconds())
	if stale > 0 && e.clock.Now() >= e.staleness.deliveredBy && !e.staleness.logged {
		e.staleness.logged = true
		e.log.Warn().Int64("version", e.listVersion).Int("endpoints", e.endpoints.Len()).Int64("unheard_ms", stale.Milliseconds()).
			Object("calls", &e.metrics.ListCalls).Msg("the list is stale")
	}
}
