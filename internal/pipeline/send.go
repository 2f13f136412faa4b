package pipeline

import (
	"context"
	"errors"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Send: an attempt is written to an endpoint, once, and its answer is read.

// readSlack is how long an exchange may go on after its attempt timed out before the connection ends it. Normally the owner ends
// it earlier.
const readSlack = time.Second

// send starts an attempt.
func (e *Engine) send(r *state.Request, a decide.Action) {
	now := e.clock.Now()
	timeoutAt := r.Deadline
	if a.After != 0 {
		timeoutAt = min(timeoutAt, now+a.After)
	}
	endpoint := e.endpoints.Get(a.Endpoint)
	notAfter := e.windowEnd(r)
	attempt := e.requests.Begin(r, endpoint, now, timeoutAt)
	attempt.NotAfter = earlier(notAfter, a.NotAfter)
	if e.rules != nil {
		attempt.Generation = e.effective.Generation
	}
	switch {
	case r.Done, r.Deadline <= now:
		e.settle(attempt, decide.NotSent, nil)
		return
	case endpoint == nil: // it has left the list since the module decided
		e.settle(attempt, decide.ConnectFailed, nil)
		return
	}
	link, ok := e.pool.Take(endpoint, now)
	if !ok {
		e.log.Warn().Str("peer", endpoint.Name).Int("open", e.pool.Open()).Msg("attempt not sent: the limit of connections to endpoints is reached")
		e.settle(attempt, decide.ConnectFailed, nil)
		return
	}
	e.counters.Sent++
	if link == nil {
		e.counters.Dialed++
	}
	var ctx context.Context
	ctx, attempt.GiveUp = context.WithCancel(context.Background())
	e.timeouts.Add(attempt)
	address := endpoint.Address // copied now, since the owner may change it
	e.env.Go("exchange", func() { e.exchange(ctx, attempt, link, address) })
}

// earlier returns the earlier of two bounds, each 0 for none.
func earlier(a, b decide.Time) decide.Time {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// windowEnd returns when the window of a keyed request ends, if an attempt of it may have run; 0 for no window.
func (e *Engine) windowEnd(r *state.Request) decide.Time {
	if len(r.Attempts) == 0 {
		return 0
	}
	class := e.effective.ClassOf(e.conf.Classes[r.Message.Class])
	if class.Effect != decide.Keyed {
		return 0
	}
	return r.WindowEnd(class.Window)
}

// exchangeEnded is the event of an exchange that has ended.
type exchangeEnded struct {
	attempt   *state.Attempt
	link      *httpwire.Link // nil if the dial failed
	endReason httpwire.Reason
	outcome   decide.Outcome
	reply     *httpwire.Reply // nil without an answer
}

// exchange carries one attempt, in a goroutine of its own. When ctx ends, the attempt is given up and its connection is closed.
func (e *Engine) exchange(ctx context.Context, a *state.Attempt, link *httpwire.Link, address string) {
	end := exchangeEnded{attempt: a, link: link}
	defer func() {
		if ctx.Err() != nil {
			end.endReason = httpwire.ReasonGivenUp
		}
		if end.reply != nil && end.reply.Stream != nil && ctx.Err() == nil {
			e.post(streamBegan{a, end.link, end.reply})
			return
		}
		e.post(end)
	}()
	link, end.endReason = e.connect(ctx, link, address)
	if end.link = link; end.endReason != "" {
		end.outcome = decide.ConnectFailed
		return
	}
	upload := a.Request.Message.Upload
	var mayWrite bool
	if end.outcome, mayWrite = e.checkBeforeWrite(a); !mayWrite {
		return
	}
	if !a.StartWrite() || upload != nil && !upload.Claim() {
		end.outcome = decide.NotSent // the request ended while the connection was being made
		return
	}
	stop := context.AfterFunc(ctx, link.Abort)
	defer stop()
	if err := e.write(a, link, upload); err != nil {
		end.outcome, end.endReason = decide.ConnectFailed, httpwire.ReasonNotWritten
		if errors.Is(err, httpwire.ErrBodyLate) {
			end.endReason = httpwire.ReasonBodyLate
		}
		link.Abort()
		return
	}
	e.metrics.Attempts.Add(1)
	reply, err := link.Receive(e.answerMemory, e.env)
	if err != nil {
		end.outcome, end.endReason = decide.Reset, httpwire.ReasonBroken
		return
	}
	end.outcome, end.reply = reply.Outcome, &reply
	if reply.Close {
		end.endReason = httpwire.ReasonCloseInAnswer
	}
}

// checkBeforeWrite reports whether an attempt may still be written, just before its first byte is, and otherwise returns its
// outcome: the attempt has not run then.
func (e *Engine) checkBeforeWrite(a *state.Attempt) (outcome decide.Outcome, mayWrite bool) {
	if e.rules != nil && !e.rulesAllowWrite(a) {
		return decide.NotSent, false
	}
	now := e.clock.Now()
	// Guards against a process that was paused while another one took over the claim: the deadline, and the lease behind the
	// claim, are checked just before the first byte is written.
	if claimed := a.Request.MayWrite; claimed != nil && (now >= a.Request.Deadline || !claimed()) {
		return decide.NotSent, false
	}
	// Guards against a connection that comes up late: the endpoint may have begun to drain since it was chosen, and no new
	// request may go to it after the grace (rule 3, which counts from the first byte).
	if a.Endpoint.ClosedForWrites(now) {
		return decide.ConnectFailed, false
	}
	// Guards against a connection that comes up to a process which is not the listed one: the endpoint may have started again, moved
	// or left the list since it was chosen, and another process may have its address.
	if a.Endpoint.Incarnation() != a.Incarnation {
		return decide.ConnectFailed, false
	}
	// Guards against an effect that happens twice: this attempt was allowed while the window of its key was open, but the
	// endpoints may have forgotten the key when the connection is up. Also guards against an endpoint that counts as gone by
	// then although no list has said so.
	if a.NotAfter > 0 && now >= a.NotAfter {
		return decide.ConnectFailed, false
	}
	// Guards against an attempt for a caller that has disconnected, however late the connection came up and however long the
	// owner takes to process the disconnection. The owner is notified of it before it gets the outcome of the attempt.
	if !e.callerConnected(a) {
		return decide.NotSent, false
	}
	return 0, true
}

// callerConnected reports whether the attempt's caller is still connected. If not, the owner is notified.
func (e *Engine) callerConnected(a *state.Attempt) bool {
	caller := a.Request.Caller
	if caller == nil {
		return true
	}
	disconnected := caller.DisconnectedBehindUnread
	if a.Request.Message.Upload != nil {
		disconnected = caller.Disconnected // what stands unread is the body: the close is looked for again before its last byte
	}
	if !disconnected() {
		return true
	}
	e.post(foundDisconnected{a.Request})
	return false
}

// write writes an attempt. If it returns an error, the last byte has not been written, so the attempt has not run.
func (e *Engine) write(a *state.Attempt, link *httpwire.Link, upload *httpwire.Upload) error {
	wait := a.TimeoutAt - e.clock.Now()
	body := a.Request.Message.Body
	if upload != nil {
		body = upload.Beginning()
	}
	parts := httpwire.EncodeAttempt(a.Request.Message, body, wait)
	written, err := link.Send(e.clock.Wall(a.TimeoutAt).Add(readSlack), parts...)
	if written {
		err = nil // an error after the last byte shows when the answer is read
	}
	if upload != nil {
		upload.ReleaseBeginning()
	}
	if err != nil || upload == nil {
		return err
	}
	e.post(uploadBegan{a})
	if _, err := link.WriteUpload(upload, a.Request.Message.Remaining, e.env); err != nil {
		if errors.Is(err, httpwire.ErrDisconnected) {
			e.post(foundDisconnected{a.Request})
		}
		return err
	}
	due := upload.Due(a.Request.Message.Remaining)
	e.post(uploadEnded{a, e.clock.FromWall(due)})
	return link.SetReadDeadline(due.Add(readSlack))
}

// uploadBegan is the event that an attempt has begun to stream the rest of a long body. It can't be sent again from then on, and
// the minimum rate of its caller limits it in place of its deadline.
type uploadBegan struct{ attempt *state.Attempt }

func (u uploadBegan) handle(e *Engine) {
	a := u.attempt
	if a.Settled {
		return
	}
	e.restartTimeout(a, maxUploadTime)
	e.notifyModule(decide.Event{Kind: decide.StreamBegan, Request: a.Request.ID, Attempt: a.Number})
}

// maxUploadTime is more than the longest body takes at the minimum rate.
const maxUploadTime = 20 * time.Minute

// uploadEnded is the event that the last byte of an attempt's body is written. Its request's time counts from when its caller was last
// waited for: the caller may have written that byte long before it was passed on.
type uploadEnded struct {
	attempt *state.Attempt
	due     decide.Time
}

func (u uploadEnded) handle(e *Engine) {
	if a := u.attempt; !a.Settled {
		a.Sent = e.clock.Now()
		e.restartTimeout(a, max(0, u.due-a.Sent))
		e.notifyModule(decide.Event{Kind: decide.BodyReceived, Request: a.Request.ID, Attempt: a.Number})
	}
}

// restartTimeout sets the timeout of an attempt, and the deadline of its request, to a time from now.
func (e *Engine) restartTimeout(a *state.Attempt, left decide.Time) {
	e.timeouts.Remove(a)
	a.TimeoutAt = e.clock.Now() + left
	a.Request.Deadline = a.TimeoutAt
	e.timeouts.Add(a)
}

// connect returns the idle connection that the owner took, or a new one if that is nil, and the reason if it can't be used.
func (e *Engine) connect(ctx context.Context, link *httpwire.Link, address string) (*httpwire.Link, httpwire.Reason) {
	if link == nil {
		link, err := httpwire.Dial(ctx, e.env, address, e.conf.ConnectTimeout)
		if err != nil {
			return nil, httpwire.ReasonDialFailed
		}
		return link, ""
	}
	if !link.Usable() {
		// Guards against a connection that the endpoint closed, or that received extra bytes, after the owner took it. Nothing is
		// written to it, so the attempt has not run.
		return link, httpwire.ReasonPeerClosed
	}
	return link, ""
}

// cancel gives up an attempt because the module, or the end of the process, requires it.
func (e *Engine) cancel(r *state.Request, number int) {
	if number < 0 || number >= len(r.Attempts) || r.Attempts[number].Settled {
		return
	}
	a := r.Attempts[number]
	a.GiveUp()
	e.settle(a, decide.Canceled, nil)
}
