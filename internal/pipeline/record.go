package pipeline

import (
	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Record: the outcome of an attempt is recorded and the module is notified of it.

func (ended exchangeEnded) handle(e *Engine) {
	endpoint := ended.attempt.Endpoint
	ended.attempt.EndReason = ended.endReason
	if ended.link != nil && ended.endReason == "" {
		e.putBack(endpoint, ended.attempt.Incarnation, ended.link)
	} else {
		e.pool.Drop(endpoint, ended.link, ended.endReason)
	}
	ended.attempt.GiveUp() // releases the resources of its context
	if r := ended.attempt.Request; ended.reply != nil && (r.Done || ended.attempt.Settled || ended.outcome != decide.Served) {
		ended.reply.Memory.Release() // its body is not passed to a caller
	}
	e.settle(ended.attempt, ended.outcome, ended.reply)
}

// putBack puts a connection back that may carry another exchange. One that was made for an earlier incarnation of its endpoint is
// closed.
func (e *Engine) putBack(endpoint *state.Endpoint, incarnation uint64, link *httpwire.Link) {
	if endpoint.Incarnation() != incarnation {
		e.pool.Drop(endpoint, link, httpwire.ReasonUnlisted)
		return
	}
	e.pool.Put(endpoint, link, e.clock.Now())
}

// settle records the outcome of an attempt, unless it has one already, and notifies the module. The first attempt that is
// served answers its request.
func (e *Engine) settle(a *state.Attempt, outcome decide.Outcome, reply *httpwire.Reply) {
	if !e.requests.Settle(a) {
		return
	}
	a.Ran, a.Outcome, a.Latency = !outcome.NeverRan(), outcome, e.clock.Now()-a.Sent
	e.timeouts.Remove(a)
	e.counters.Outcomes[outcome]++
	r := a.Request
	if outcome == decide.Served {
		e.relay(r, httpwire.Answer{
			Verdict: httpwire.Served, Body: reply.Body, Type: reply.Type, Encoding: reply.Encoding,
			Memory: reply.Memory, Stream: reply.Stream,
		})
	}
	ev := decide.Event{
		Kind: decide.Finished, Request: r.ID, Attempt: a.Number, Outcome: outcome,
		Latency: a.Latency, RequestDone: r.Done,
	}
	if a.Endpoint != nil {
		ev.Endpoint = a.Endpoint.ID
	}
	e.notifyModule(ev)
	e.requests.Release(r)
}
