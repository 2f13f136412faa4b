package pipeline

import (
	"heathgap/decide"
	"heathgap/internal/figures"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Relay: a request's one final answer goes to its caller.

// ends are what verdicts count as.
var ends = [...]figures.End{
	httpwire.Served: figures.Served, httpwire.Refused: figures.Refused, httpwire.Failed: figures.Failed,
	httpwire.Abandoned: figures.Left,
}

// relay gives a request its final answer, unless it has had one.
func (e *Engine) relay(r *state.Request, answer httpwire.Answer) {
	if !e.requests.End(r) {
		return
	}
	e.board.Count(r.Message.Class, ends[answer.Verdict])
	r.Answer <- answer
	e.requests.Release(r)
}

// callerLeft tells that the caller of a request has gone.
type callerLeft struct{ in *arrival }

func (c callerLeft) handle(e *Engine) {
	r := c.in.request
	if r == nil || r.Over {
		return
	}
	e.relay(r, httpwire.Answer{Verdict: httpwire.Abandoned, Last: true})
	e.tell(decide.Event{Kind: decide.ClientLeft, Request: r.ID})
}
