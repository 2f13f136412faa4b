package pipeline

import (
	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Admit: the owner books a request that was taken in and asks the module about
// it.

// arrival is a request that a caller has sent whole.
type arrival struct {
	message  *httpwire.Request
	deadline decide.Time
	answer   chan httpwire.Answer
	request  *state.Request // the owner's, once it is admitted
}

func (a *arrival) handle(e *Engine) {
	if most := e.conf.Transport.MostHeld; most > 0 && e.requests.Held() >= most {
		// The settings say so, for every policy alike: the module is not asked.
		e.counters.Over++
		a.answer <- httpwire.Answer{Verdict: httpwire.Refused}
		return
	}
	e.counters.Taken++
	a.request = e.requests.Take(a.message, a.deadline, a.answer)
	e.tell(decide.Event{
		Kind: decide.Arrived, Request: a.request.ID, Class: a.message.Class, Tenant: a.message.Tenant,
		Repeat: a.message.Repeat, Work: a.message.Work, Grace: max(0, a.deadline-e.clock.Now()),
	})
}
