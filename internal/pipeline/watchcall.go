package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"heathgap/internal/env"
	"heathgap/internal/httpwire"
)

// One call to discovery, and how it can fail.

// errSilent is the failure of a call whose answer is overdue, or stands still.
var errSilent = errors.New("silent")

// errBack is the fault of changes to a version before the one that is known: discovery has begun anew.
var errBack = errors.New("changes of an earlier version")

// lost tells whether a call has ended with no answer, or with one that builds on what this sidecar does not have: a
// fresh call may have what it missed. What was answered with a fault would be so again.
func lost(err error) bool {
	var broken *net.OpError
	return errors.Is(err, errSilent) || errors.Is(err, errBack) || errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)
}

func callReason(err error) httpwire.Reason {
	if errors.Is(err, errSilent) {
		return httpwire.ReasonSilent
	}
	return httpwire.ReasonBroken
}

// call makes one call to discovery: it fetches the whole list while there is
// none, and else waits for what is newer; a fresh one hardly waits.
func (w *watch) call(world env.Env, fresh bool) (list *httpwire.List, keep bool, err error) {
	w.heard, w.answered = false, false
	dial, message, limit := w.times.dial, httpwire.EncodeFetch(), w.times.fetch
	w.last.kind = listFetch
	if w.known {
		wait := w.times.wait + world.RandomDuration(w.times.spread)
		limit = wait + w.times.overdue
		w.last.kind = listWatch
		if fresh {
			dial, wait, limit = w.times.fresh/2, freshWait, w.times.fresh
			w.last.kind = listCheck
		}
		w.last.after, w.last.wait = w.index, wait
		message = httpwire.EncodeWatch(w.index, wait)
	}
	until := world.Now().Add(limit)
	if w.link == nil {
		link, err := httpwire.Dial(w.ended, world, w.address, dial)
		if err != nil {
			return nil, false, err
		}
		w.link = link
	}
	stop := context.AfterFunc(w.ended, w.link.Close)
	defer stop()
	if w.known && !fresh {
		until = world.Now().Add(limit) // discovery's wait begins when it has the call
	}
	if _, err := w.link.Send(message, until); err != nil {
		return nil, false, fmt.Errorf("writing: %w", overdue(err))
	}
	// Guards against a silence that is taken for a wait: the answer is due when its wait is over, not when it would
	// count as told, and its rest soon after its first byte.
	if _, err := w.link.Reader().Peek(1); err != nil {
		return nil, false, fmt.Errorf("answer: %w", overdue(err))
	}
	w.heard, w.last.firstByte = true, world.Now()
	if err := w.link.SetReadDeadline(world.Now().Add(w.times.rest)); err != nil {
		return nil, false, fmt.Errorf("answer: %w", err)
	}
	answer, keep, err := httpwire.DecodeListReply(w.link.Reader())
	w.answered = err == nil || !lost(overdue(err))
	if err != nil {
		return nil, false, fmt.Errorf("answer: %w", overdue(err))
	}
	if w.known && !answer.Whole && answer.Index < w.index {
		w.known = false // the whole list is asked for
		return nil, false, fmt.Errorf("answer: %w: %d after %d", errBack, answer.Index, w.index)
	}
	w.index, w.known = answer.Index, true
	return &answer, keep, nil
}

// overdue marks a failure to hear of the other side in time.
func overdue(err error) error {
	var late net.Error // the codec has one of its own beside os.ErrDeadlineExceeded
	if errors.As(err, &late) && late.Timeout() {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	return err
}
