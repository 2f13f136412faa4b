package pipeline

import (
	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
	"heathgap/internal/state"
)

// Admit: the owner adds a received request to its table and notifies the module of it.

// arrival is a request that a caller has sent, handed over to the owner.
type arrival struct {
	message    *httpwire.Request
	deadline   decide.Time
	caller     *httpwire.CallerConn
	callerGone bool // the caller disconnected before the hand-over
	crowded    bool // the caller's connection exceeds the number that may be in use
	answer     chan httpwire.Answer
	request    *state.Request // set by the owner once the request is admitted
	claim      Claim          // the claim on its key; nil without one
}

func (a *arrival) handle(e *Engine) {
	if former := e.requests.ByCallersID(a.message.ID); former != nil {
		// Guards against ids that many others have pushed out of the memory, while their requests are open or their attempts are out.
		e.malformed.Add(1)
		e.noteUsedID(a.message, usedID{state: stateOf(former)})
		a.caller.SetProblem(errKnownID)
		a.answer <- httpwire.Answer{Verdict: httpwire.Malformed, Reason: errKnownID}
		return
	}
	if a.crowded || e.stopping || e.full() || e.hasNoTime(a) {
		// A request beyond the limits, without any time, or while the process is stopping, is rejected without asking the module, as in
		// the simulator.
		e.counters.OverLimit++
		e.logRejected(a)
		e.metrics.Count(a.message.Class, metrics.Refused)
		a.answer <- httpwire.Answer{Verdict: httpwire.Refused, CloseAfter: a.crowded}
		return
	}
	e.counters.Accepted++
	a.request = e.requests.Add(a.message, a.deadline, a.answer)
	a.request.Caller = a.caller
	if a.claim != nil {
		a.request.MayWrite = a.claim.MayWrite
	}
	if a.callerGone { // nobody waits for an answer, so nothing is sent
		e.logAbandoned(a.request, reasonLeftBefore)
		e.relay(a.request, httpwire.Answer{Verdict: httpwire.Abandoned, CloseAfter: true})
		return
	}
	e.notifyModule(decide.Event{
		Kind: decide.Arrived, Request: a.request.ID, Class: a.message.Class, Tenant: a.message.Tenant,
		Repeat: a.message.Repeat, Work: a.message.Work, Grace: max(0, a.deadline-e.clock.Now()),
	})
}

// hasNoTime reports whether a request has so little time left that the module would refuse it at once. Guards against callers that send
// many of them: the module takes the time that most requests of a class have left for the usual one.
func (e *Engine) hasNoTime(a *arrival) bool { return a.deadline-e.clock.Now() <= e.conf.Settings.Tick }

// full reports whether the settings allow no further pending request.
func (e *Engine) full() bool {
	limit := e.conf.Transport.MaxPending
	return limit > 0 && e.requests.Pending() >= limit
}
