package pipeline

import (
	"net"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
	"heathgap/internal/state"
)

// Relay: the one final answer of a request goes to its caller.

// endOfVerdict maps verdicts to the metrics that count them.
var endOfVerdict = [...]metrics.End{
	httpwire.Served: metrics.Served, httpwire.Refused: metrics.Refused, httpwire.Failed: metrics.Failed,
	httpwire.Abandoned: metrics.CallerLeft,
}

// relay gives a request its final answer, unless it has had one.
func (e *Engine) relay(r *state.Request, answer httpwire.Answer) {
	if !e.requests.End(r) {
		return
	}
	if answer.Stream == nil { // a streamed answer is counted when the stream ends
		e.metrics.Count(r.Message.Class, endOfVerdict[answer.Verdict])
	}
	if r.MayWrite != nil { // it has a claim on its key, and Claim.Finish needs to know whether it may have run
		answer.MayHaveRun = answer.Verdict == httpwire.Served || mayHaveRun(r)
	}
	e.noteEnd(r.Message, answer.Verdict)
	r.Answer <- answer
	e.requests.Release(r)
}

// callerDisconnected is the event that the caller of a request has disconnected.
type callerDisconnected struct{ arrival *arrival }

func (c callerDisconnected) handle(e *Engine) {
	if c.arrival.request != nil {
		e.abandon(c.arrival.request, reasonSeenByWatch)
	}
}

// foundDisconnected is the event that a request's caller was found to have disconnected when an attempt was about to be written.
type foundDisconnected struct{ request *state.Request }

func (f foundDisconnected) handle(e *Engine) { e.abandon(f.request, reasonSeenBeforeWrite) }

// abandon ends a request whose caller has disconnected. reason says how that was found.
func (e *Engine) abandon(r *state.Request, reason string) {
	if r.Done {
		return
	}
	e.logAbandoned(r, reason)
	e.relay(r, httpwire.Answer{Verdict: httpwire.Abandoned, CloseAfter: true})
	e.notifyModule(decide.Event{Kind: decide.ClientLeft, Request: r.ID})
}

// streamBegan is the event that the beginning of a streamed answer has come.
type streamBegan struct {
	attempt *state.Attempt
	link    *httpwire.Link
	reply   *httpwire.Reply
}

// handle passes the answer to the caller's goroutine, which reads the rest from the connection to the endpoint.
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
	if !e.conf.Classes[a.Request.Message.Class].Stream {
		b.reply.Stream.SetDeadline(e.clock.Wall(a.Request.Deadline), false)
	}
	b.reply.Stream.OnEnd(func(end httpwire.AnswerEnd) { e.post(streamEnded{b, end}) })
	e.notifyModule(decide.Event{Kind: decide.StreamBegan, Request: a.Request.ID, Attempt: a.Number})
	e.settle(a, decide.Served, b.reply)
	if e.handOverFunc != nil {
		b.reply.Stream.HandOver(e.handOverFunc)
	}
}

// streamEnded is the event that a streamed answer has ended.
type streamEnded struct {
	streamBegan
	end httpwire.AnswerEnd
}

func (s streamEnded) handle(e *Engine) {
	delete(e.streams, s.reply.Stream)
	endpoint, endReason, counted := s.attempt.Endpoint, httpwire.Reason(""), metrics.Served
	switch {
	case s.end == httpwire.AnswerBrokenOff:
		endReason, counted = httpwire.ReasonBroken, metrics.Failed
	case s.end == httpwire.AnswerHandedOver:
		endReason, counted = httpwire.ReasonHandedOver, metrics.CallerLeft // counted here like a caller that left; the process that resumes it counts how it ends
	case s.end == httpwire.AnswerCallerGone:
		endReason, counted = httpwire.ReasonCallerLeft, metrics.CallerLeft
	case s.reply.Close:
		endReason = httpwire.ReasonCloseInAnswer
	}
	if endReason == "" {
		e.putBack(endpoint, s.attempt.Incarnation, s.link)
	} else {
		e.pool.Drop(endpoint, s.link, endReason)
	}
	s.attempt.GiveUp() // releases the resources of its context
	e.metrics.Count(s.attempt.Request.Message.Class, counted)
	if s.end == httpwire.AnswerBrokenOff {
		e.logBrokenOff(s.attempt.Request, s.reply.Stream.Err())
		e.notifyModule(decide.Event{Kind: decide.StreamBroke, Endpoint: endpoint.ID})
	}
}

// HandOverAnswers makes all streamed answers go on in another process: those in progress and those that begin from now on.
func (e *Engine) HandOverAnswers(handOverFunc httpwire.HandOverFunc) {
	e.post(handOverStreams{handOverFunc})
}

// handOverStreams is the event that hands streamed answers over to another process.
type handOverStreams struct{ handOverFunc httpwire.HandOverFunc }

func (h handOverStreams) handle(e *Engine) {
	e.handOverFunc = h.handOverFunc
	for stream := range e.streams {
		stream.HandOver(h.handOverFunc)
	}
}

// ResumeAnswer streams, in a goroutine of its own, the rest of an answer that another process began to stream. It ends with the
// answer, or when the endpoint or the caller makes no progress.
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
		e.log.Info().Str("class", handover.Class).Uint8("end", uint8(end)).Msg("resumed a streamed answer of another process")
	})
}
