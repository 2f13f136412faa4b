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

// errNoAnswerInTime is the failure of a call whose answer did not begin, or did not go on, in time.
var errNoAnswerInTime = errors.New("no answer in time")

// errEarlierVersion is the failure of an answer with changes to a version before the known one: discovery has restarted its
// numbering.
var errEarlierVersion = errors.New("changes of an earlier version")

// answerLost reports whether a call ended without an answer, or with changes to a version that this sidecar does not have. A check
// call may then get what was missed. A call that was answered with a refusal or an invalid list would be answered so again.
func answerLost(err error) bool {
	var broken *net.OpError
	return errors.Is(err, errNoAnswerInTime) || errors.Is(err, errEarlierVersion) || errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)
}

// linkEndReason returns why the connection of a failed call is closed.
func linkEndReason(err error) httpwire.Reason {
	if errors.Is(err, errNoAnswerInTime) {
		return httpwire.ReasonSilent
	}
	return httpwire.ReasonBroken
}

// call makes one call to discovery. While no list is known it fetches the full list; otherwise it waits for changes, or, for a
// check call, asks for those that exist. keep reports whether the connection can be used again.
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
		deadline = environment.Now().Add(limit) // discovery counts its wait from when it has the call
	}
	if _, err := w.link.Send(deadline, message); err != nil {
		return nil, false, fmt.Errorf("writing: %w", markTimeout(err))
	}
	// Guards against a silent connection that is taken for a wait: the answer must begin soon after the wait is over, well before
	// changes count as delivered, and must be complete soon after its first byte.
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
	if w.hasList && !answer.Full && answer.Index < w.version {
		w.hasList = false // the full list is fetched next
		return nil, false, fmt.Errorf("answer: %w: %d after %d", errEarlierVersion, answer.Index, w.version)
	}
	w.version, w.hasList = answer.Index, true
	return &answer, keep, nil
}

// markTimeout wraps an error that is a timeout in errNoAnswerInTime.
func markTimeout(err error) error {
	var timeout net.Error // fasthttp has a timeout error of its own besides os.ErrDeadlineExceeded
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%w: %w", errNoAnswerInTime, err)
	}
	return err
}
