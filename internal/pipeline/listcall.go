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

// listCallEnd reads how a call ended from its error.
func listCallEnd(err error, connected, calledOff bool) metrics.ListCallEnd {
	var status httpwire.StatusError
	switch {
	case err == nil:
		return metrics.ListAnswered
	case calledOff || errors.Is(err, context.Canceled):
		return metrics.ListCanceled
	case !connected:
		return metrics.ListNotConnected
	case errors.As(err, &status):
		return metrics.ListRefused
	case errors.Is(err, errSilent):
		return metrics.ListTimedOut
	case lost(err):
		return metrics.ListBroken
	}
	return metrics.ListMalformed
}

// logListCall counts a call that has ended and writes its log line. The list is what it brought; nil if it failed.
func (e *Engine) logListCall(w *watch, call *listCall, list *httpwire.List, err error) {
	end := listCallEnd(err, w.link != nil, w.ended.Err() != nil)
	e.board.ListCalls.Count(end)
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
	toldAfterAsked = 6 * time.Second // where lists are asked for
	toldAfterMove  = 4 * time.Second // behind a reload that names another discovery
)

// toldAfter is how long after discovery has it a change counts as told. Where lists are pushed that is at once.
func (e *Engine) toldAfter() time.Duration {
	if e.conf.Settings.MustPoll {
		return toldAfterAsked
	}
	return 0
}

// listUnheard times how long discovery may have had news that have not come.
type listUnheard struct {
	since decide.Time // 0 while the newest call was answered
	told  decide.Time // when they count as told
	stale bool        // that has been logged
}

// listMissed books that what discovery has had since a time may not have come, and when it counts as told. It stands until
// a call is answered.
func (e *Engine) listMissed(since, told decide.Time) {
	if e.unheard.since == 0 {
		e.unheard = listUnheard{since: since, told: told}
		e.tell(decide.Event{Kind: decide.ListMissed, Since: since, DeliveredBy: told})
	}
	e.timeUnheard()
}

// listHeard books that a call was answered with all that discovery had.
func (e *Engine) listHeard() {
	if e.unheard.stale {
		e.log.Info().Int64("version", e.index).Int64("stale_ms", (e.clock.Now() - e.unheard.told).Milliseconds()).
			Msg("the list is current again")
	}
	e.unheard = listUnheard{}
	e.timeUnheard()
}

// timeUnheard brings the figure up to date and logs the moment in which the list goes stale.
func (e *Engine) timeUnheard() {
	unheard := decide.Time(0)
	if e.unheard.since > 0 { // 0 is for none
		unheard = max(time.Millisecond, e.clock.Now()-e.unheard.since)
	}
	e.board.ListStaleMS.Store(unheard.Milliseconds())
	if unheard > 0 && e.clock.Now() >= e.unheard.told && !e.unheard.stale {
		e.unheard.stale = true
		e.log.Warn().Int64("version", e.index).Int("endpoints", e.endpoints.Len()).Int64("unheard_ms", unheard.Milliseconds()).
			Object("calls", &e.board.ListCalls).Msg("the list is stale")
	}
}
