package pipeline

import (
	"fmt"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// Route: the module is notified of events, and the actions that it decides on are done.

// notifyModule passes an event to the module and does the actions that it decides on. Events that result from those actions,
// such as the outcome of a canceled attempt, are passed on after them.
func (e *Engine) notifyModule(ev decide.Event) {
	e.pendingEvents = append(e.pendingEvents, ev)
	if e.handlingEvents {
		return
	}
	e.handlingEvents = true
	for len(e.pendingEvents) > 0 {
		if e.rules != nil {
			e.applyRules()
		}
		next := e.pendingEvents[0]
		e.pendingEvents = e.pendingEvents[1:]
		e.actions = e.balancer.Handle(e.clock.Now(), &next, e.actions[:0])
		for _, a := range e.actions {
			e.perform(a)
		}
	}
	e.pendingEvents = e.pendingEvents[:0]
	e.handlingEvents = false
}

// perform does one action of the module.
func (e *Engine) perform(a decide.Action) {
	switch a.Kind {
	case decide.SetTimer:
		// A new timer replaces the one before: the module sets one only if it is due earlier or the one before has come, and the
		// next one when it has come.
		e.moduleTimerAt = e.clock.Now() + a.After
		return
	case decide.WatchList:
		e.startWatch()
		return
	case decide.Probe:
		e.probe(a.Endpoint)
		return
	}
	r := e.requests.Get(a.Request)
	if r == nil {
		e.log.Error().Uint64("request", uint64(a.Request)).Msg("the decision module names an unknown request")
		return
	}
	e.counters.Reasons[a.Reason]++
	switch a.Kind {
	case decide.Send:
		e.logRetry(r, a)
		e.send(r, a)
	case decide.Cancel:
		e.cancel(r, a.Attempt)
	case decide.Refuse:
		e.logNotServed(r, "refused", a.Reason.String())
		e.relay(r, httpwire.Answer{Verdict: httpwire.Refused, RetryAfter: a.After})
	case decide.Fail:
		e.logNotServed(r, "failed", a.Reason.String())
		e.relay(r, httpwire.Answer{Verdict: httpwire.Failed})
	default:
		panic(fmt.Sprintf("pipeline: action of unknown kind %d", a.Kind))
	}
}
