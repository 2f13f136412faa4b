package pipeline

import (
	"context"
	"errors"
	"time"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// Send: an attempt is written to an endpoint, once, and its answer read.

// readSlack is how long an exchange may go on past its time-out before its
// connection ends it by itself: the owner is to do that first.
const readSlack = time.Second

// send begins an attempt.
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
	case endpoint == nil: // it has left the list since
		e.settle(attempt, decide.ConnectFailed, nil)
		return
	}
	link, ok := e.pool.Take(endpoint, now)
	if !ok {
		e.log.Warn().Str("peer", endpoint.Name).Int("open", e.pool.Open()).Msg("no room for a connection")
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
	address := endpoint.Address // as it is now: the line may change
	e.env.Go("exchange", func() { e.exchange(ctx, attempt, link, address) })
}

// earlier is the earlier of two bounds, each 0 for none.
func earlier(a, b decide.Time) decide.Time {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// windowEnd is when the window of a keyed request ends, once an attempt of it may have run; 0 for no window.
func (e *Engine) windowEnd(r *state.Request) decide.Time {
	if len(r.Attempts) == 0 {
		return 0
	}
	class := e.conf.Classes[r.Message.Class]
	rule := decide.DynamicClass{Effect: class.Effect, Window: class.Window}
	if e.effective != nil && e.effective.Dynamic != nil {
		if dynamic, ok := e.effective.Dynamic.Classes[r.Message.Class]; ok && dynamic.Effect != decide.EffectUnset {
			rule = dynamic
		}
	}
	if rule.Effect != decide.Keyed {
		return 0
	}
	return r.WindowEnd(rule.Window)
}

// exchangeEnded is how an exchange has ended: its connection, and its outcome.
type exchangeEnded struct {
	attempt   *state.Attempt
	link      *httpwire.Link // nil if it never came up
	endReason httpwire.Reason
	outcome   decide.Outcome
	reply     *httpwire.Reply // nil without an answer
}

// exchange carries one attempt in a goroutine of its own. The end of ctx, which
// gives it up, ends its connection.
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
	if !a.Write() || upload != nil && !upload.Claim() {
		end.outcome = decide.NotSent // its request has ended while the connection was being made
		return
	}
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	if err := e.write(a, link, upload); err != nil {
		end.outcome, end.endReason = decide.ConnectFailed, httpwire.ReasonNotWritten
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
		end.endReason = httpwire.ReasonPeerClose
	}
}

// checkBeforeWrite tells whether what allowed an attempt still holds where its first byte is about to leave, and its outcome if
// not: nothing has run then.
func (e *Engine) checkBeforeWrite(a *state.Attempt) (outcome decide.Outcome, mayWrite bool) {
	if e.rules != nil && !e.rulesAllowWrite(a) {
		return decide.NotSent, false
	}
	now := e.clock.Now()
	// Guards against a process that was paused with a claim that another one has taken over since: its time, and its lease, are
	// looked at where the first byte leaves.
	if claimed := a.Request.MayWrite; claimed != nil && (now >= a.Request.Deadline || !claimed()) {
		return decide.NotSent, false
	}
	// Guards against a connection that comes up late: the endpoint may have begun to drain since it was chosen, and
	// nothing new goes to it after the grace (rule 3 counts from the first byte).
	if a.Endpoint.ClosedForWrites(now) {
		return decide.ConnectFailed, false
	}
	// Guards against an effect that comes twice: this attempt was allowed while its key's window was open, and the
	// endpoints have forgotten the key by the time when its connection is up. Also against an endpoint that counts as
	// gone by then though nothing was heard of it.
	if a.NotAfter > 0 && now >= a.NotAfter {
		return decide.ConnectFailed, false
	}
	// Guards against an attempt for a caller that has gone, however late its connection came up and however long word of
	// that takes to the owner: it hears of it ahead of the attempt's outcome.
	if !e.callerConnected(a) {
		return decide.NotSent, false
	}
	return 0, true
}

// callerConnected tells whether an attempt's caller is still there. If not, the owner is told.
func (e *Engine) callerConnected(a *state.Attempt) bool {
	if a.Request.Caller == nil || !a.Request.Caller.Disconnected() {
		return true
	}
	e.post(foundDisconnected{a.Request})
	return false
}

// write writes an attempt. On an error its last byte is not written: it has never run.
func (e *Engine) write(a *state.Attempt, link *httpwire.Link, upload *httpwire.Upload) error {
	wait := a.TimeoutAt - e.clock.Now()
	message := httpwire.EncodeAttempt(a.Request.Message, wait)
	written, err := link.Send(message, e.clock.Wall(a.TimeoutAt).Add(readSlack))
	if written {
		err = nil // what comes of it shows when the answer is read
	}
	if err != nil || upload == nil {
		return err
	}
	e.post(uploadBegan{a})
	if _, err := link.WriteUpload(upload, e.env); err != nil {
		if errors.Is(err, httpwire.ErrDisconnected) {
			e.post(foundDisconnected{a.Request})
		}
		return err
	}
	e.post(uploadEnded{a})
	return link.SetReadDeadline(e.env.Now().Add(a.Request.Message.Remaining + readSlack))
}

// uploadBegan is an attempt that has begun to take the rest of a long body. It can't be
// sent again; how fast its caller sends bounds it, not its deadline.
type uploadBegan struct{ attempt *state.Attempt }

func (u uploadBegan) handle(e *Engine) {
	a := u.attempt
	if a.Settled {
		return
	}
	e.restartTimeout(a, maxUploadTime)
	e.notifyModule(decide.Event{Kind: decide.StreamBegan, Request: a.Request.ID, Attempt: a.Number})
}

// maxUploadTime is past the time that the longest body takes at the least rate.
const maxUploadTime = 20 * time.Minute

// uploadEnded is an attempt whose last byte is written: its time counts from here.
type uploadEnded struct{ attempt *state.Attempt }

func (u uploadEnded) handle(e *Engine) {
	if a := u.attempt; !a.Settled {
		a.Sent = e.clock.Now()
		e.restartTimeout(a, a.Request.Message.Remaining)
		e.notifyModule(decide.Event{Kind: decide.BodyReceived, Request: a.Request.ID, Attempt: a.Number})
	}
}

// restartTimeout gives an attempt, and its request, so much time from now on.
func (e *Engine) restartTimeout(a *state.Attempt, left decide.Time) {
	e.timeouts.Remove(a)
	a.TimeoutAt = e.clock.Now() + left
	a.Request.Deadline = a.TimeoutAt
	e.timeouts.Add(a)
}

// connect returns the idle connection that the owner took, or a new one where that is nil, and why it is of no use.
func (e *Engine) connect(ctx context.Context, link *httpwire.Link, address string) (*httpwire.Link, httpwire.Reason) {
	if link == nil {
		link, err := httpwire.Dial(ctx, e.env, address, e.conf.ConnectTimeout)
		if err != nil {
			return nil, httpwire.ReasonDialFailed
		}
		return link, ""
	}
	if !link.Usable() {
		// Guards against a connection that was ended, or brought more than its answer,
		// after the owner took it: what is not written has never run.
		return link, httpwire.ReasonPeerClosed
	}
	return link, ""
}

// cancel gives up an attempt because the module says so.
func (e *Engine) cancel(r *state.Request, number int) {
	if number < 0 || number >= len(r.Attempts) || r.Attempts[number].Settled {
		return
	}
	a := r.Attempts[number]
	a.GiveUp()
	e.settle(a, decide.Canceled, nil)
}
