package pipeline

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
)

// Take in: a request of a caller is read, checked and passed to the owner, and its answer is written when the owner has one.

// Handle serves one request of a caller. It is the handler of fasthttp and runs in the goroutine of the caller's connection.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	conn, _ := ctx.Conn().(*httpwire.CallerConn)
	if conn == nil {
		panic("pipeline: a connection that Callers did not accept")
	}
	var memory *httpwire.Reservation // of the answer
	active := int64(0)
	if string(ctx.Path()) == httpwire.ReadyPath && ctx.IsGet() {
		e.answerReady(ctx)
	} else {
		answer, counted := e.takeIn(ctx, conn)
		memory = answer.Memory
		if counted {
			active = 1
		}
		if stream := answer.Stream; stream != nil && !ctx.Request.Header.IsHTTP11() && stream.Length < 0 {
			stream.Close() // HTTP/1.0 has no chunks: only the end of the connection could mark the end of the answer
			answer.Verdict, answer.Stream, answer.CloseAfter = httpwire.Failed, nil, true
		} else if stream != nil {
			stream.WithLength = !ctx.Request.Header.IsHTTP11()
			stream.SetConn(conn)
		}
		httpwire.EncodeAnswer(&answer, &ctx.Response)
		// The bytes behind a malformed request may be a part of it.
		if answer.CloseAfter || answer.Verdict == httpwire.Malformed {
			ctx.SetConnectionClose()
		}
	}
	if e.draining.Load() || conn.Closing() {
		ctx.SetConnectionClose()
	}
	conn.MarkAnswered(func() {
		memory.Release()
		e.metrics.Active.Add(-active)
	})
}

// answerReady answers GET /up: whether the sidecar takes requests.
func (e *Engine) answerReady(ctx *fasthttp.RequestCtx) {
	if e.unready.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// bodyMemoryRetryAfter is after which time a request may come again that was refused for want of memory for its body: bodies that
// come slowly are ended within a second then.
const bodyMemoryRetryAfter = time.Second

// takeIn passes a request to the owner and waits for its answer. counted reports whether the request counts as active until the
// answer is written.
func (e *Engine) takeIn(ctx *fasthttp.RequestCtx, conn *httpwire.CallerConn) (answer httpwire.Answer, counted bool) {
	message, err := httpwire.DecodeRequest(&ctx.Request)
	if err == nil {
		err = e.validate(&message)
	}
	conn.SetRequestID(message.ID)
	if err == nil {
		var body *httpwire.RequestBody
		if body, err = httpwire.ReadBody(ctx, conn); err == nil {
			message.Body, message.Upload, message.Memory = body.Bytes, body.Upload, body.Memory
		}
	}
	if errors.Is(err, httpwire.ErrNoBodyMemory) {
		e.outOfMemory.Add(1)
		e.metrics.Count(message.Class, metrics.Refused)
		conn.SetProblem(err.Error())
		return httpwire.Answer{Verdict: httpwire.Refused, RetryAfter: bodyMemoryRetryAfter, CloseAfter: true}, false
	}
	if err != nil {
		e.countMalformed()
		if ctx.RequestBodyStream() != nil && !errors.Is(err, httpwire.ErrBody) {
			conn.MarkBodyUnread()
		}
		conn.SetProblem(err.Error())
		return httpwire.Answer{Verdict: httpwire.Malformed, Reason: err.Error()}, false
	}
	if maxDeadline := e.conf.Classes[message.Class].Deadline; maxDeadline > 0 {
		// Guards against remaining times that no client of the class uses: the state of a request, including the module's
		// timers, is kept that long.
		message.Remaining = min(message.Remaining, maxDeadline)
	}
	if message.Upload != nil {
		defer message.Upload.Discard()
	}
	if !e.claimID(&message) {
		e.countMalformed()
		conn.SetProblem(errKnownID)
		message.Memory.Release()
		return httpwire.Answer{Verdict: httpwire.Malformed, Reason: errKnownID}, false
	}
	in := &arrival{message: &message, caller: conn, crowded: conn.OverSoftLimit(), answer: make(chan httpwire.Answer, 1)}
	answer, counted = e.takeInNew(in)
	if in.request == nil { // the owner has not admitted it, so nothing of it was sent
		message.Memory.Release()
	}
	return answer, counted
}

// takeInNew passes a request to the owner and waits for its answer.
func (e *Engine) takeInNew(in *arrival) (answer httpwire.Answer, counted bool) {
	message, conn := in.message, in.caller
	if message.Upload == nil {
		// From here on the caller's connection is watched, because a claim may take time too.
		caller := &waitingCaller{}
		conn.Watch(func() { caller.disconnect(e) })
		defer conn.Unwatch()
		return e.awaitBuffered(in, caller)
	}
	if e.holdings != nil && e.holdings.Holds(message.Class) {
		_, answer := e.claimKey(message)
		return *answer, false
	}
	in.deadline = e.clock.Now() + message.Remaining
	return e.awaitUpload(in, conn)
}

// awaitBuffered handles a request whose body is complete: it claims the key where the class requires it, passes the request to
// the owner and waits for its answer.
func (e *Engine) awaitBuffered(in *arrival, caller *waitingCaller) (answer httpwire.Answer, counted bool) {
	message, conn := in.message, in.caller
	var answerBy decide.Time // when the caller of a claimed request must have its answer
	if e.holdings != nil && e.holdings.Holds(message.Class) {
		var knownAnswer *httpwire.Answer
		answerBy = e.clock.Now() + message.Remaining
		conn.SetPendingState(httpwire.StateClaiming)
		if in.claim, knownAnswer = e.claimKey(message); knownAnswer != nil {
			return *knownAnswer, false
		}
		conn.SetPendingState(httpwire.StatePending)
	}
	in.deadline = e.clock.Now() + message.Remaining
	e.metrics.Active.Add(1)
	caller.admit(e, in)
	answer = e.await(in)
	if in.claim != nil {
		conn.SetPendingState(httpwire.StateRecording)
		answer = in.claim.Finish(e.exchanges, answer, answer.MayHaveRun, recordingTime(e.clock.Now(), in.deadline, answerBy))
	}
	return answer, true
}

// waitingCaller is a caller that waits for an answer, and its request once that has been passed to the owner.
type waitingCaller struct {
	mu      sync.Mutex
	gone    bool
	arrival *arrival
}

// disconnect records that the caller has disconnected.
func (w *waitingCaller) disconnect(e *Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	if w.arrival != nil {
		e.post(callerDisconnected{w.arrival})
	}
}

// admit passes the request to the owner. The owner learns of a disconnection either with the request or after it.
func (w *waitingCaller) admit(e *Engine, in *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrival, in.callerGone = in, w.gone
	e.post(in)
}

// await waits for the answer to a request.
func (e *Engine) await(in *arrival) httpwire.Answer {
	select {
	case answer := <-in.answer:
		return answer
	case <-e.stopped:
		return httpwire.Answer{Verdict: httpwire.Failed, MayHaveRun: true} // nobody knows whether it ran
	}
}

// awaitUpload waits for the answer to a request whose body is still being received. The caller's connection is watched once the
// whole body has been received.
func (e *Engine) awaitUpload(in *arrival, conn *httpwire.CallerConn) (answer httpwire.Answer, counted bool) {
	upload := in.message.Upload
	conn.MarkPending()
	e.post(in)
	defer upload.Stop()
	select {
	case answer = <-in.answer:
		answer.CloseAfter = true // more of the body may follow
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

// validate rejects requests that no endpoint may get: those of an unknown class, with a method that the class does not allow, or
// of a keyed class without a key, since endpoints could not recognize repeats.
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

// Unreadable answers what fasthttp could not parse as a request.
func (e *Engine) Unreadable(ctx *fasthttp.RequestCtx, err error) {
	e.countMalformed()
	if conn, ok := ctx.Conn().(*httpwire.CallerConn); ok {
		conn.SetReason(httpwire.ReasonBadRequest)
		conn.SetProblem(err.Error())
	}
	answer := httpwire.Answer{Verdict: httpwire.Malformed, Reason: "malformed request"}
	httpwire.EncodeAnswer(&answer, &ctx.Response)
	ctx.SetConnectionClose()
}

// Limits on answers to malformed requests. Callers that send the same again as soon as it is turned away would keep the processor busy;
// their connections hold none of it while they wait.
const (
	malformedRate  = 100                    // a second that are answered at once, on all connections together
	malformedPause = 300 * time.Millisecond // before the answer to others; 3 s is what such a caller may have to wait
)

// countMalformed counts a malformed request, and pauses before its answer where there are many of them.
func (e *Engine) countMalformed() {
	e.malformed.Add(1)
	const each = int64(time.Second / malformedRate)
	now := int64(e.clock.Now())
	due := e.malformedDue.Load()
	next := max(due, now-int64(time.Second)) + each // a second's worth may come at once
	if next > now {
		e.env.Sleep(malformedPause)
		return
	}
	e.malformedDue.CompareAndSwap(due, next)
}
