package httpwire

import "time"

// streamDeadline is when an answer of at most MaxBuffered bytes is broken off. Nil is no such bound.
type streamDeadline struct {
	at    time.Time
	final bool // also if its endpoint keeps writing
}

// Limits on an answer without a length that goes on past its deadline: nobody knows whether it will be a long one.
const (
	answerGap     = 400 * time.Millisecond // an answer may come half a second late, so one that has stalled is broken off before that
	minAnswerRate = 4 << 10                // bytes a second
)

// forPiece returns until when the next piece of an answer must come, given its length, below 0 if that is unknown, and the bytes that have
// come. bound is false if the answer is longer than those that are broken off. An answer without a length may go on past the deadline
// while its endpoint keeps writing.
func (d *streamDeadline) forPiece(length int, total int64, now time.Time) (until time.Time, bound bool) {
	if d == nil || length > MaxBuffered || total > MaxBuffered {
		return time.Time{}, false
	}
	if d.final || length >= 0 {
		return d.at, true
	}
	until = now.Add(answerGap)
	if latest := d.at.Add(time.Duration(total) * time.Second / minAnswerRate); until.After(latest) {
		until = latest
	}
	if until.Before(d.at) {
		until = d.at
	}
	return until, true
}

// HandoverDeadline is a streamDeadline for another process, whose clock may differ.
type HandoverDeadline struct {
	Left  time.Duration // from the hand-over on
	Final bool
}

// forHandover returns the deadline for another process; nil for none.
func (d *streamDeadline) forHandover(now time.Time) *HandoverDeadline {
	if d == nil {
		return nil
	}
	return &HandoverDeadline{Left: d.at.Sub(now), Final: d.final}
}

// from returns the deadline that another process has handed over now; nil for none.
func (h *HandoverDeadline) from(now time.Time) *streamDeadline {
	if h == nil {
		return nil
	}
	return &streamDeadline{at: now.Add(h.Left), final: h.Final}
}
