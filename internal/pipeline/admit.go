package pipeline

import (
	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
	"heathgap/internal/state"
)

// Admit: the owner books a request that was taken in and asks the module about
// it.

// arrival is a request that a caller has sent whole.
type arrival struct {
	message    *httpwire.Request
	deadline   decide.Time
	caller     *httpwire.CallerConn
	callerGone bool // its caller has gone already
	crowded    bool // its connection is one more than there is room for
	answer     chan httpwire.Answer
	request    *state.Request // the owner's, once it is admitted
	claim      Claim          // its key's claim; nil where it has none
}

func (a *arrival) handle(e *Engine) {
	if e.requests.Open(a.message.ID) {
		// Guards against callers that take another's id: an endpoint would take the
		// one request for a repeat of the other.
		e.malformed.Add(1)
		a.answer <- httpwire.Answer{Verdict: httpwire.Malformed, Reason: "id: that of an open request"}
		return
	}
	if a.crowded || e.stopping || e.full() {
		// What the settings and the limits leave no room for is turned away unseen:
		// the module is not asked, as in the simulator.
		e.counters.OverLimit++
		e.logRejected(a)
		e.metrics.Count(a.message.Class, metrics.Refused)
		a.answer <- httpwire.Answer{Verdict: httpwire.Refused, CloseAfter: a.crowded}
		return
	}
	e.counters.Taken++
	a.request = e.requests.Add(a.message, a.deadline, a.answer)
	a.request.Caller = a.caller
	if a.claim != nil {
		a.request.MayWrite = a.claim.MayWrite
	}
	if a.callerGone { // nobody waits: nothing is sent
		e.relay(a.request, httpwire.Answer{Verdict: httpwire.Abandoned, CloseAfter: true})
		return
	}
	e.notifyModule(decide.Event{
		Kind: decide.Arrived, Request: a.request.ID, Class: a.message.Class, Tenant: a.message.Tenant,
		Repeat: a.message.Repeat, Work: a.message.Work, Grace: max(0, a.deadline-e.clock.Now()),
	})
}

// full tells whether as many requests are open as the settings allow.
func (e *Engine) full() bool {
	limit := e.conf.Transport.MaxPending
	return limit > 0 && e.requests.Pending() >= limit
}
