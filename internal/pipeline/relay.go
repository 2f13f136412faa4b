package pipeline

import (
	"net"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
	"heathgap/internal/state"
)

// Relay: a request's one final answer goes to its caller.

// endOfVerdict are what verdicts count as.
var endOfVerdict = [...]metrics.End{
	httpwire.Served: metrics.Served, httpwire.Refused: metrics.Refused, httpwire.Failed: metrics.Failed,
	httpwire.Abandoned: metrics.CallerLeft,
}

// relay gives a request its final answer, unless it has had one.
func (e *Engine) relay(r *state.Request, answer httpwire.Answer) {
	if !e.requests.End(r) {
		return
	}
	if answer.Stream == nil { // else it ends when the rest has
		e.metrics.Count(r.Message.Class, endOfVerdict[answer.Verdict])
	}
	if r.MayWrite != nil { // its key is held: what becomes of the claim rests on it
		answer.MayHaveRun = answer.Verdict == httpwire.Served || mayHaveRun(r)
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
	e.notifyModule(decide.Event{Kind: decide.ClientLeft, Request: r.ID})
}

// streamBegan is a long answer whose beginning has come.
type streamBegan struct {
	attempt *state.Attempt
	link    *httpwire.Link
	reply   *httpwire.Reply
}

// handle gives it to its caller, who takes the rest from the endpoint's connection.
func (b streamBegan) handle(e *Engine) {
	a := b.attempt
	if a.Settled || a.Request.Done {
		exchangeEnded{
			attempt: a, link: b.link, endReason: httpwire.ReasonGivenUp, outcome: decide.Served, reply: b.reply,
		}.handle(e)
		return
	}
	e.streams[b.reply.Stream] = struct{}{}
	b.reply.Stream.Class = a.Request.Message.Class
	b.reply.Stream.OnEnd(func(how httpwire.AnswerEnd) { e.post(streamEnded{b, how}) })
	e.notifyModule(decide.Event{Kind: decide.StreamBegan, Request: a.Request.ID, Attempt: a.Number})
	e.settle(a, decide.Served, b.reply)
	if e.handOverFunc != nil {
		b.reply.Stream.HandOver(e.handOverFunc)
	}
}

// streamEnded is a long answer that has come to an end.
type streamEnded struct {
	streamBegan
	end httpwire.AnswerEnd
}

func (p streamEnded) handle(e *Engine) {
	delete(e.streams, p.reply.Stream)
	endpoint, endReason, counted := p.attempt.Endpoint, httpwire.Reason(""), metrics.Served
	switch {
	case p.end == httpwire.AnswerBrokenOff:
		endReason, counted = httpwire.ReasonBroken, metrics.Failed
	case p.end == httpwire.AnswerHandedOver:
		endReason, counted = httpwire.ReasonHandedOver, metrics.CallerLeft // it counts where it ends
	case p.end == httpwire.AnswerCallerGone:
		endReason, counted = httpwire.ReasonCallerLeft, metrics.CallerLeft
	case p.reply.Close:
		endReason = httpwire.ReasonPeerClose
	}
	if endReason == "" {
		e.pool.Put(endpoint, p.link, e.clock.Now())
	} else {
		e.pool.Drop(endpoint, p.link, endReason)
	}
	p.attempt.GiveUp() // frees what belongs to its context
	e.metrics.Count(p.attempt.Request.Message.Class, counted)
	if p.end == httpwire.AnswerBrokenOff {
		e.notifyModule(decide.Event{Kind: decide.StreamBroke, Endpoint: endpoint.ID})
	}
}

// HandOverAnswers has all long answers on their way given to another process, and those that
// begin from now on.
func (e *Engine) HandOverAnswers(handOverFunc httpwire.HandOverFunc) {
	e.post(handOverStreams{handOverFunc})
}

type handOverStreams struct{ handOverFunc httpwire.HandOverFunc }

func (h handOverStreams) handle(e *Engine) {
	e.handOverFunc = h.handOverFunc
	for stream := range e.streams {
		stream.HandOver(h.handOverFunc)
	}
}

// ResumeAnswer passes on, in a goroutine of its own, what another process has begun to. It
// ends with the answer, or when one side stands still.
func (e *Engine) ResumeAnswer(handover *httpwire.AnswerHandover, caller, endpoint net.Conn) {
	e.metrics.Active.Add(1)
	e.resuming.Add(1)
	e.env.Go("go on", func() {
		defer e.resuming.Add(-1)
		end := metrics.CallerLeft
		switch httpwire.ResumeAnswer(handover, caller, endpoint, e.env) {
		case httpwire.AnswerComplete:
			end = metrics.Served
		case httpwire.AnswerBrokenOff:
			end = metrics.Failed
		}
		e.metrics.Active.Add(-1)
		e.metrics.Count(handover.Class, end)
		e.resumed.Add(1)
		e.log.Info().Str("class", handover.Class).Uint8("end", uint8(end)).Msg("went on with a long answer")
	})
}
