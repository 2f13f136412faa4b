package pipeline

import (
	"errors"
	"fmt"
	"sync"

	"github.com/valyala/fasthttp"

	"heathgap/decide"
	"heathgap/internal/httpwire"
)

// Take in: a caller's request is read, checked and handed to the owner, and its
// answer is written when the owner has one.

// Handle serves one request of a caller. It is fasthttp's handler and runs in
// the goroutine of the caller's connection.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	conn, _ := ctx.Conn().(*httpwire.CallerConn)
	if conn == nil {
		panic("pipeline: a connection that Callers did not accept")
	}
	reserved, active := 0, int64(0)
	if string(ctx.Path()) == httpwire.ReadyPath && ctx.IsGet() {
		e.answerReady(ctx)
	} else {
		answer, counted := e.takeIn(ctx, conn)
		reserved = answer.Reserved
		if counted {
			active = 1
		}
		if stream := answer.Stream; stream != nil && !ctx.Request.Header.IsHTTP11() && stream.Length < 0 {
			stream.Close() // there is no way to tell its end but the connection's
			answer.Verdict, answer.Stream, answer.CloseAfter = httpwire.Failed, nil, true
		} else if stream != nil {
			stream.WithLength = !ctx.Request.Header.IsHTTP11()
			stream.SetConn(conn)
		}
		httpwire.EncodeAnswer(&answer, &ctx.Response)
		// What follows what is malformed may be a part of it.
		if answer.CloseAfter || answer.Verdict == httpwire.Malformed {
			ctx.SetConnectionClose()
		}
	}
	if e.draining.Load() || conn.Closing() {
		ctx.SetConnectionClose()
	}
	conn.MarkAnswered(func() {
		e.answerMemory.Release(reserved)
		e.metrics.Active.Add(-active)
	})
}

// answerReady tells whether the sidecar takes requests.
func (e *Engine) answerReady(ctx *fasthttp.RequestCtx) {
	if e.unready.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// takeIn hands a request over and waits for its answer. counted tells whether the
// request counts as active until that is written.
func (e *Engine) takeIn(ctx *fasthttp.RequestCtx, conn *httpwire.CallerConn) (answer httpwire.Answer, counted bool) {
	message, err := httpwire.DecodeRequest(&ctx.Request)
	if err == nil {
		err = e.validate(&message)
	}
	if err == nil {
		message.Body, message.Upload, err = httpwire.ReadBody(ctx, conn)
	}
	if err != nil {
		e.malformed.Add(1)
		if ctx.RequestBodyStream() != nil && !errors.Is(err, httpwire.ErrBody) {
			conn.MarkBodyUnread()
		}
		return httpwire.Answer{Verdict: httpwire.Malformed, Reason: err.Error()}, false
	}
	if maxDeadline := e.conf.Classes[message.Class].Deadline; maxDeadline > 0 {
		// Guards against times that no client of the class has: what is kept for a
		// request, the module's timers with it, is kept until then.
		message.Remaining = min(message.Remaining, maxDeadline)
	}
	crowded := conn.Crowded()
	if message.Upload == nil {
		// From here on its caller is watched: a claim may take its time, too.
		caller := &waitingCaller{}
		conn.Watch(func() { caller.disconnect(e) })
		defer conn.Unwatch()
		return e.awaitBuffered(&message, conn, crowded, caller)
	}
	if e.holdings != nil && e.holdings.Holds(message.Class) {
		_, answer := e.claimKey(&message)
		return *answer, false
	}
	in := &arrival{
		message: &message, deadline: e.clock.Now() + message.Remaining, caller: conn, crowded: crowded,
		answer: make(chan httpwire.Answer, 1),
	}
	return e.awaitUpload(in, conn)
}

// awaitBuffered claims a request that has come whole, if its class is held, hands it over and waits for its answer.
func (e *Engine) awaitBuffered(message *httpwire.Request, conn *httpwire.CallerConn, crowded bool, caller *waitingCaller) (answer httpwire.Answer, counted bool) {
	var claim Claim
	if e.holdings != nil && e.holdings.Holds(message.Class) {
		var knownAnswer *httpwire.Answer
		if claim, knownAnswer = e.claimKey(message); knownAnswer != nil {
			return *knownAnswer, false
		}
	}
	in := &arrival{
		message: message, deadline: e.clock.Now() + message.Remaining, caller: conn, crowded: crowded,
		answer: make(chan httpwire.Answer, 1), claim: claim,
	}
	e.metrics.Active.Add(1)
	caller.admit(e, in)
	answer = e.await(in)
	if claim != nil {
		answer = claim.Finish(answer, answer.MayHaveRun, max(outcomeReserve, in.deadline-e.clock.Now()+outcomeReserve))
	}
	return answer, true
}

// waitingCaller is a caller that waits, and what it waits for once that has been handed over.
type waitingCaller struct {
	mu      sync.Mutex
	gone    bool
	arrival *arrival
}

// disconnect books that it has gone.
func (w *waitingCaller) disconnect(e *Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	if w.arrival != nil {
		e.post(callerDisconnected{w.arrival})
	}
}

// admit hands over what it waits for; the owner hears that it has gone before or behind that, never between.
func (w *waitingCaller) admit(e *Engine, in *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrival, in.callerGone = in, w.gone
	e.post(in)
}

// await waits for a request's answer.
func (e *Engine) await(in *arrival) httpwire.Answer {
	select {
	case answer := <-in.answer:
		return answer
	case <-e.stopped:
		return httpwire.Answer{Verdict: httpwire.Failed, MayHaveRun: true} // nobody knows
	}
}

// awaitUpload waits for the answer to a request whose body still comes. Its caller is
// watched when all of that is there.
func (e *Engine) awaitUpload(in *arrival, conn *httpwire.CallerConn) (answer httpwire.Answer, counted bool) {
	upload := in.message.Upload
	conn.MarkPending()
	e.post(in)
	defer upload.Stop()
	select {
	case answer = <-in.answer:
		answer.CloseAfter = true // more of the body may come
		return answer, false
	case <-e.stopped:
		return httpwire.Answer{Verdict: httpwire.Failed, CloseAfter: true}, false
	case <-upload.Done():
	}
	if upload.Err() != nil {
		e.post(callerDisconnected{in})
		answer = e.await(in)
		answer.CloseAfter = true
		return answer, false
	}
	e.metrics.Active.Add(1)
	conn.Watch(func() { e.post(callerDisconnected{in}) })
	defer conn.Unwatch()
	return e.await(in), true
}

// validate turns down what no endpoint may see: a class that the settings do not
// have, a method that is not the class's, and a keyed request whose repeats no
// endpoint could drop.
func (e *Engine) validate(message *httpwire.Request) error {
	class, ok := e.conf.Classes[message.Class]
	switch {
	case !ok:
		return fmt.Errorf("path: unknown class %q", message.Class)
	case class.Effect == decide.Safe && message.Method != fasthttp.MethodGet,
		class.Effect == decide.Keyed && message.Method != fasthttp.MethodPost:
		return fmt.Errorf("method: %s is not that of class %q", message.Method, message.Class)
	case class.Effect == decide.Keyed && message.Key == "":
		return fmt.Errorf("key: class %q needs one, and there is none", message.Class)
	}
	return nil
}

// Unreadable answers what fasthttp could not read as a request.
func (e *Engine) Unreadable(ctx *fasthttp.RequestCtx, err error) {
	e.malformed.Add(1)
	if conn, ok := ctx.Conn().(*httpwire.CallerConn); ok {
		conn.SetReason(httpwire.ReasonBadRequest)
	}
	answer := httpwire.Answer{Verdict: httpwire.Malformed, Reason: "malformed request"}
	httpwire.EncodeAnswer(&answer, &ctx.Response)
	ctx.SetConnectionClose()
}
