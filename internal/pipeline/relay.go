package pipeline

import (
	"net"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
	"heathgap/internal/state"
)

// Relay: a request's one final answer goes to its caller.

// ends are what verdicts count as.
var ends = [...]metrics.End{
	httpwire.Served: metrics.Served, httpwire.Refused: metrics.Refused, httpwire.Failed: metrics.Failed,
	httpwire.Abandoned: metrics.CallerLeft,
}

// relay gives a request its final answer, unless it has had one.
func (e *Engine) relay(r *state.Request, answer httpwire.Answer) {
	if !e.requests.End(r) {
		return
	}
	if answer.Stream == nil { // else it ends when the rest has
		e.board.Count(r.Message.Class, ends[answer.Verdict])
	}
	if r.MayWrite != nil { // its key is held: what becomes of the claim rests on it
		answer.MayHaveRun = answer.Verdict == httpwire.Served || ran(r)
	}
	r.Answer <- answer
	e.requests.Release(r)
}

// callerDisconnected tells that the caller of a request has gone.
type callerDisconnected struct{ in *arrival }

func (c callerDisconnected) handle(e *Engine) {
	if c.in.request != nil {
		e.abandon(c.in.request)
	}
}

// foundDisconnected is a request whose caller was found to be gone where an attempt was about to be written.
type foundDisconnected struct{ request *state.Request }

func (s foundDisconnected) handle(e *Engine) { e.abandon(s.request) }

// abandon ends a request whose caller has gone.
func (e *Engine) abandon(r *state.Request) {
	if r.Done {
		return
	}
	e.relay(r, httpwire.Answer{Verdict: httpwire.Abandoned, CloseAfter: true})
	e.tell(decide.Event{Kind: decide.ClientLeft, Request: r.ID})
}

// begun is a long answer whose beginning has come.
type begun struct {
	attempt *state.Attempt
	link    *httpwire.Link
	reply   *httpwire.Reply
}

// handle gives it to its caller, who takes the rest from the endpoint's connection.
func (b begun) handle(e *Engine) {
	a := b.attempt
	if a.Settled || a.Request.Done {
		exchanged{
			attempt: a, link: b.link, ended: httpwire.ReasonGivenUp, outcome: decide.Served, reply: b.reply,
		}.handle(e)
		return
	}
	e.passing[b.reply.Stream] = struct{}{}
	b.reply.Stream.Class = a.Request.Message.Class
	b.reply.Stream.OnEnd(func(how httpwire.AnswerEnd) { e.post(passed{b, how}) })
	e.tell(decide.Event{Kind: decide.StreamBegan, Request: a.Request.ID, Attempt: a.Number})
	e.settle(a, decide.Served, b.reply)
	if e.give != nil {
		b.reply.Stream.HandOver(e.give)
	}
}

// passed is a long answer that has come to an end.
type passed struct {
	begun
	how httpwire.AnswerEnd
}

func (p passed) handle(e *Engine) {
	delete(e.passing, p.reply.Stream)
	to, ended, end := p.attempt.Endpoint, httpwire.Reason(""), metrics.Served
	switch {
	case p.how == httpwire.AnswerBrokenOff:
		ended, end = httpwire.ReasonBroken, metrics.Failed
	case p.how == httpwire.AnswerHandedOver:
		ended, end = httpwire.ReasonHandedOver, metrics.CallerLeft // it counts where it ends
	case p.how == httpwire.AnswerCallerGone:
		ended, end = httpwire.ReasonCallerLeft, metrics.CallerLeft
	case p.reply.Close:
		ended = httpwire.ReasonPeerClose
	}
	if ended == "" {
		e.pool.Put(to, p.link, e.clock.Now())
	} else {
		e.pool.Drop(to, p.link, ended)
	}
	p.attempt.GiveUp() // frees what belongs to its context
	e.board.Count(p.attempt.Request.Message.Class, end)
	if p.how == httpwire.AnswerBrokenOff {
		e.tell(decide.Event{Kind: decide.StreamBroke, Endpoint: to.ID})
	}
}

// HandOverAnswers has all long answers on their way given to another process, and those that
// begin from now on.
func (e *Engine) HandOverAnswers(give httpwire.HandOverFunc) { e.post(handOver{give}) }

type handOver struct{ give httpwire.HandOverFunc }

func (h handOver) handle(e *Engine) {
	e.give = h.give
	for rest := range e.passing {
		rest.HandOver(h.give)
	}
}

// ResumeAnswer passes on, in a goroutine of its own, what another process has begun to. It
// ends with the answer, or when one side stands still.
func (e *Engine) ResumeAnswer(over *httpwire.AnswerHandover, caller, endpoint net.Conn) {
	e.board.Active.Add(1)
	e.goingOn.Add(1)
	e.world.Go("go on", func() {
		defer e.goingOn.Add(-1)
		end := metrics.CallerLeft
		switch httpwire.ResumeAnswer(over, caller, endpoint, e.world) {
		case httpwire.AnswerComplete:
			end = metrics.Served
		case httpwire.AnswerBrokenOff:
			end = metrics.Failed
		}
		e.board.Active.Add(-1)
		e.board.Count(over.Class, end)
		e.goneOn.Add(1)
		e.log.Info().Str("class", over.Class).Uint8("end", uint8(end)).Msg("went on with a long answer")
	})
}
