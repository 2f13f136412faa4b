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
	taken, active := 0, int64(0)
	if string(ctx.Path()) == httpwire.ReadyPath && ctx.IsGet() {
		e.answerReady(ctx)
	} else {
		answer, counted := e.takeIn(ctx, conn)
		taken = answer.Reserved
		if counted {
			active = 1
		}
		if rest := answer.Stream; rest != nil && !ctx.Request.Header.IsHTTP11() && rest.Length < 0 {
			rest.Close() // there is no way to tell its end but the connection's
			answer.Verdict, answer.Stream, answer.CloseAfter = httpwire.Failed, nil, true
		} else if rest != nil {
			rest.WithLength = !ctx.Request.Header.IsHTTP11()
			rest.SetConn(conn)
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
		e.room.Release(taken)
		e.board.Active.Add(-active)
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
		err = e.check(&message)
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
	if most := e.conf.Classes[message.Class].Deadline; most > 0 {
		// Guards against times that no client of the class has: what is kept for a
		// request, the module's timers with it, is kept until then.
		message.Remaining = min(message.Remaining, most)
	}
	crowded := conn.Crowded()
	if message.Upload == nil {
		// From here on its caller is watched: a claim may take its time, too.
		w := &waiting{}
		conn.Watch(func() { w.leave(e) })
		defer conn.Unwatch()
		return e.awaitWhole(&message, conn, crowded, w)
	}
	if e.holdings != nil && e.holdings.Holds(message.Class) {
		_, known := e.open(&message)
		return *known, false
	}
	in := &arrival{
		message: &message, deadline: e.clock.Now() + message.Remaining, caller: conn, crowded: crowded,
		answer: make(chan httpwire.Answer, 1),
	}
	return e.awaitUpload(in, conn)
}

// awaitWhole claims a request that has come whole, if its class is held, hands it over and waits for its answer.
func (e *Engine) awaitWhole(message *httpwire.Request, conn *httpwire.CallerConn, crowded bool, w *waiting) (answer httpwire.Answer, counted bool) {
	var hold Claim
	if e.holdings != nil && e.holdings.Holds(message.Class) {
		var known *httpwire.Answer
		if hold, known = e.open(message); known != nil {
			return *known, false
		}
	}
	in := &arrival{
		message: message, deadline: e.clock.Now() + message.Remaining, caller: conn, crowded: crowded,
		answer: make(chan httpwire.Answer, 1), hold: hold,
	}
	e.board.Active.Add(1)
	w.admit(e, in)
	answer = e.await(in)
	if hold != nil {
		answer = hold.Finish(answer, answer.MayHaveRun, max(endTime, in.deadline-e.clock.Now()+endTime))
	}
	return answer, true
}

// waiting is a caller that waits, and what it waits for once that has been handed over.
type waiting struct {
	mu   sync.Mutex
	gone bool
	in   *arrival
}

// leave books that it has gone.
func (w *waiting) leave(e *Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	if w.in != nil {
		e.post(callerDisconnected{w.in})
	}
}

// admit hands over what it waits for; the owner hears that it has gone before or behind that, never between.
func (w *waiting) admit(e *Engine, in *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.in, in.gone = in, w.gone
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
	e.board.Active.Add(1)
	conn.Watch(func() { e.post(callerDisconnected{in}) })
	defer conn.Unwatch()
	return e.await(in), true
}

// check turns down what no endpoint may see: a class that the settings do not
// have, a method that is not the class's, and a keyed request whose repeats no
// endpoint could drop.
func (e *Engine) check(message *httpwire.Request) error {
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
