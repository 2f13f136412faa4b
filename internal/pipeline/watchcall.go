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

// errNoAnswerInTime is the failure of a call whose answer is overdue, or stands still.
var errNoAnswerInTime = errors.New("silent")

// errEarlierVersion is the fault of changes to a version before the one that is known: discovery has begun anew.
var errEarlierVersion = errors.New("changes of an earlier version")

// answerLost tells whether a call has ended with no answer, or with one that builds on what this sidecar does not have: a
// fresh call may have what it missed. What was answered with a fault would be so again.
func answerLost(err error) bool {
	var broken *net.OpError
	return errors.Is(err, errNoAnswerInTime) || errors.Is(err, errEarlierVersion) || errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)
}

func linkEndReason(err error) httpwire.Reason {
	if errors.Is(err, errNoAnswerInTime) {
		return httpwire.ReasonSilent
	}
	return httpwire.ReasonBroken
}

// call makes one call to discovery: it fetches the whole list while there is
// none, and else waits for what is newer; a fresh one hardly waits.
func (w *watch) call(environment env.Env, check bool) (list *httpwire.List, keep bool, err error) {
	w.answerBegan, w.answered = false, false
	dial, message, limit := w.times.dial, httpwire.EncodeFetch(), w.times.fetch
	w.newest.kind = listFetch
	if w.hasList {
		wait := w.times.wait + environment.RandomDuration(w.times.spread)
		limit = wait + w.times.overdue
		w.newest.kind = listWatch
		if check {
			dial, wait, limit = w.times.check/2, checkWait, w.times.check
			w.newest.kind = listCheck
		}
		w.newest.after, w.newest.wait = w.version, wait
		message = httpwire.EncodeWatch(w.version, wait)
	}
	deadline := environment.Now().Add(limit)
	if w.link == nil {
		link, err := httpwire.Dial(w.ctx, environment, w.address, dial)
		if err != nil {
			return nil, false, err
		}
		w.link = link
	}
	stop := context.AfterFunc(w.ctx, w.link.Close)
	defer stop()
	if w.hasList && !check {
		deadline = environment.Now().Add(limit) // discovery's wait begins when it has the call
	}
	if _, err := w.link.Send(message, deadline); err != nil {
		return nil, false, fmt.Errorf("writing: %w", markTimeout(err))
	}
	// Guards against a silence that is taken for a wait: the answer is due when its wait is over, not when it would
	// count as told, and its rest soon after its first byte.
	if _, err := w.link.Reader().Peek(1); err != nil {
		return nil, false, fmt.Errorf("answer: %w", markTimeout(err))
	}
	w.answerBegan, w.newest.firstByte = true, environment.Now()
	if err := w.link.SetReadDeadline(environment.Now().Add(w.times.body)); err != nil {
		return nil, false, fmt.Errorf("answer: %w", err)
	}
	answer, keep, err := httpwire.DecodeListReply(w.link.Reader())
	w.answered = err == nil || !answerLost(markTimeout(err))
	if err != nil {
		return nil, false, fmt.Errorf("answer: %w", markTimeout(err))
	}
	if w.hasList && !answer.Whole && answer.Index < w.version {
		w.hasList = false // the whole list is asked for
		return nil, false, fmt.Errorf("answer: %w: %d after %d", errEarlierVersion, answer.Index, w.version)
	}
	w.version, w.hasList = answer.Index, true
	return &answer, keep, nil
}

// markTimeout marks a failure to hear of the other side in time.
func markTimeout(err error) error {
	var timeout net.Error // the codec has one of its own beside os.ErrDeadlineExceeded
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%w: %w", errNoAnswerInTime, err)
	}
	return err
}
