package pipeline

import (
	"context"
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
	until := r.Deadline
	if a.After != 0 {
		until = min(until, now+a.After)
	}
	to := e.endpoints.Get(a.Endpoint)
	attempt := e.requests.Begin(r, to, now, until)
	switch {
	case r.Over, r.Deadline <= now:
		e.settle(attempt, decide.NotSent, nil)
		return
	case to == nil: // it has left the list since
		e.settle(attempt, decide.ConnectFailed, nil)
		return
	}
	link, ok := e.pool.Take(to, now)
	if !ok {
		e.log.Warn().Str("peer", to.Name).Int("open", e.pool.Open()).Msg("no room for a connection")
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
	address := to.Address // as it is now: the line may change
	e.world.Go("exchange", func() { e.exchange(ctx, attempt, link, address) })
}

// exchanged is how an exchange has ended: its connection, and its outcome.
type exchanged struct {
	attempt *state.Attempt
	link    *httpwire.Link // nil if it never came up
	ended   httpwire.Reason
	outcome decide.Outcome
	reply   *httpwire.Reply // nil without an answer
}

// exchange carries one attempt in a goroutine of its own. The end of ctx, which
// gives it up, ends its connection.
func (e *Engine) exchange(ctx context.Context, a *state.Attempt, link *httpwire.Link, address string) {
	done := exchanged{attempt: a, link: link}
	defer func() {
		if ctx.Err() != nil {
			done.ended = httpwire.ReasonGivenUp
		}
		e.post(done)
	}()
	link, done.ended = e.connect(ctx, link, address)
	if done.link = link; done.ended != "" {
		done.outcome = decide.ConnectFailed
		return
	}
	if !a.Write() { // its request has ended while the connection was being made
		done.outcome = decide.NotSent
		return
	}
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	message := httpwire.EncodeAttempt(a.Request.Message, a.Until-e.clock.Now())
	whole, err := link.Send(message, e.clock.At(a.Until).Add(readSlack))
	if !whole {
		done.outcome, done.ended = decide.ConnectFailed, httpwire.ReasonNotWritten
		return
	}
	e.board.Tries.Add(1)
	var reply httpwire.Reply
	if err == nil {
		reply, err = httpwire.DecodeReply(link.Reader(), e.room)
	}
	if err != nil {
		done.outcome, done.ended = decide.Reset, httpwire.ReasonBroken
		return
	}
	done.outcome, done.reply = reply.Outcome, &reply
	if reply.Close {
		done.ended = httpwire.ReasonPeerClose
	}
}

// connect returns the idle connection that the owner took, or a new one where that is nil, and why it is of no use.
func (e *Engine) connect(ctx context.Context, link *httpwire.Link, address string) (*httpwire.Link, httpwire.Reason) {
	if link == nil {
		link, err := httpwire.Dial(ctx, e.world, address, e.conf.ConnectTimeout)
		if err != nil {
			return nil, httpwire.ReasonDialFailed
		}
		return link, ""
	}
	if !link.Fresh() {
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
