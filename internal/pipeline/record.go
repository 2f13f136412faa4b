package pipeline

import (
	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Book: how an attempt has ended goes into the books, and to the module.

func (x exchangeEnded) handle(e *Engine) {
	endpoint := x.attempt.Endpoint
	if x.link != nil && x.endReason == "" {
		e.pool.Put(endpoint, x.link, e.clock.Now())
	} else {
		e.pool.Drop(endpoint, x.link, x.endReason)
	}
	x.attempt.GiveUp() // frees what belongs to its context
	if r := x.attempt.Request; x.reply != nil && (r.Done || x.attempt.Settled || x.outcome != decide.Served) {
		e.answerMemory.Release(x.reply.Reserved) // its body goes to nobody
	}
	e.settle(x.attempt, x.outcome, x.reply)
}

// settle books an attempt's outcome, unless it has had one. The first that is
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
			Reserved: reply.Reserved, Stream: reply.Stream,
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
