package httpwire

import (
	"errors"
	"io"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"heathgap/internal/env"
)

// Long bodies, in both directions, go through small buffers, one piece at a time, as fast as the slower side allows.
// Bodies of at most MaxBuffered bytes are read completely instead, so that they can be retried.

// pieceSize is the most that is read of a long body before it is written, in bytes. It takes few system calls per
// megabyte, and a few hundred buffers of that size take few megabytes.
const pieceSize = 16 << 10

// pieceStall is how long a peer may make no progress with a long body. Slow peers take seconds to read or write; one
// that does nothing for that long never will.
const pieceStall = 10 * time.Second

var pieceBuffers = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// pieceBuffer returns the buffer for the pieces of a long body whose beginning has been passed on, and a function that gives the
// buffer back. It takes the place of the beginning: memory is shrunk to its size. free is how many bytes of it count elsewhere. The
// buffer is smaller where the beginning was, or where memory is scarce.
func pieceBuffer(memory *Reservation, free int) (buf []byte, release func()) {
	if memory.Bytes()+free < pieceSize || memory.scarce() {
		memory.Shrink(initialBodySize - free)
		return make([]byte, initialBodySize), func() {}
	}
	memory.Shrink(pieceSize - free)
	pooled := pieceBuffers.Get().(*[pieceSize]byte)
	return pooled[:], func() { pieceBuffers.Put(pooled) }
}

// writePiece writes a piece until a deadline, framed as a chunk if the length of the body is unknown.
func (l *Link) writePiece(b []byte, chunked, last bool, deadline time.Time) error {
	if chunked {
		framed := bodyBuffers.take(bodyBufferSize(len(b) + len("\r\n") + chunkFrame))
		defer func() { bodyBuffers.release(framed) }()
		if len(b) > 0 {
			framed = append(strconv.AppendInt(framed, int64(len(b)), 16), "\r\n"...)
			framed = append(append(framed, b...), "\r\n"...)
		}
		if last {
			framed = append(framed, lastChunk...)
		}
		b = framed
	}
	if len(b) == 0 {
		return nil
	}
	if err := l.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := l.conn.Write(b)
	return err
}

// Framing of chunks.
const (
	chunkFrame    = 24 // bytes that the framing of a piece takes at most
	lastChunkLine = "0\r\n"
	lastChunk     = lastChunkLine + "\r\n"
)

// How the streaming of a long answer ended.
const (
	AnswerComplete   AnswerEnd = iota // all of it is written
	AnswerBrokenOff                   // its endpoint broke it off, it exceeded MaxAnswer, or its hand-over failed
	AnswerCallerGone                  // its caller has disconnected
	AnswerHandedOver                  // another process continues it
)

// AnswerEnd says how the streaming of a long answer ended.
type AnswerEnd uint8

// AnswerStream is a long answer that is streamed to its caller: fasthttp writes it as the body of a response. It ends
// exactly once.
type AnswerStream struct {
	Length       int // of the whole body in bytes; below 0 if unknown
	Class        string
	WithLength   bool // write it with its length, not in chunks: for callers that speak HTTP/1.0
	beginning    []byte
	memory       *Reservation // of beginning, and then of the pieces
	body         io.Reader
	link         *Link
	caller       atomic.Pointer[CallerConn]
	env          env.Env
	onEnd        func(AnswerEnd) // set by OnEnd; nil before, and after the end
	broken       error           // why it was broken off; nil if it was not
	handOverFunc atomic.Pointer[HandOverFunc]
	total        atomic.Int64                   // bytes of the body that have come
	deadline     atomic.Pointer[streamDeadline] // nil for no such bound
}

// OnEnd sets the function that is called once, when the stream ends.
func (a *AnswerStream) OnEnd(onEnd func(AnswerEnd)) { a.onEnd = onEnd }

// Err returns why the answer was broken off, once its end was reported; nil if it was not.
func (a *AnswerStream) Err() error { return a.broken }

// SetDeadline sets when an answer of at most MaxBuffered bytes is broken off, unless it has ended by then. One without a length goes on
// while its endpoint keeps writing, unless the deadline is final. A final deadline, and an earlier one, stays. A longer answer goes
// on, and so does one that is being handed over. The owner calls it.
func (a *AnswerStream) SetDeadline(at time.Time, final bool) {
	if earlier := a.deadline.Load(); earlier != nil && (earlier.final || !final) && earlier.at.Before(at) {
		return
	}
	deadline := &streamDeadline{at, final}
	a.deadline.Store(deadline)
	if now := a.env.Now(); a.handOverFunc.Load() == nil {
		if until, bound := deadline.forPiece(a.Length, a.total.Load(), now); bound {
			a.link.conn.SetReadDeadline(until) // for the read in progress
		}
	}
}

// setReadDeadline sets until when the next piece must come. Guards against an endpoint that stalls within an answer of usual
// length: its caller would learn only after pieceStall that the answer will not end.
func (a *AnswerStream) setReadDeadline() {
	now := a.env.Now()
	stall := now.Add(pieceStall)
	a.link.conn.SetReadDeadline(stall)
	for deadline, set := a.deadline.Load(), (*streamDeadline)(nil); deadline != set; deadline = a.deadline.Load() {
		if until, bound := deadline.forPiece(a.Length, a.total.Load(), now); bound && until.Before(stall) {
			a.link.conn.SetReadDeadline(until)
		}
		set = deadline // SetDeadline may have set another one meanwhile
	}
}

// SetConn sets the caller's connection, to which the answer is written.
func (a *AnswerStream) SetConn(conn *CallerConn) { a.caller.Store(conn) }

// SupportsBodyWriteTo makes fasthttp call WriteTo.
func (a *AnswerStream) SupportsBodyWriteTo() bool { return true }

// Read implements io.Reader, which fasthttp requires of bodies. It always fails: fasthttp uses WriteTo.
func (a *AnswerStream) Read([]byte) (int, error) {
	return 0, errors.New("a long answer is written, not read")
}

// WriteTo writes the body until its end or until a hand-over. It returns an error unless it has written the whole body:
// fasthttp then writes no last chunk and closes the connection, so that the answer does not look complete.
func (a *AnswerStream) WriteTo(w io.Writer) (int64, error) {
	n, err := w.Write(a.beginning)
	total := int64(n)
	a.beginning = nil
	if err != nil {
		a.finish(AnswerCallerGone, nil)
		return total, err
	}
	buf, release := pieceBuffer(a.memory, 0)
	defer release()
	for {
		a.total.Store(total)
		a.setReadDeadline()
		handOver, n, err := a.handOverFunc.Load(), 0, error(os.ErrDeadlineExceeded)
		if handOver == nil {
			n, err = a.body.Read(buf)
			handOver = a.handOverFunc.Load()
		}
		if handOver != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			how, why := AnswerHandedOver, error(nil)
			if !a.tryHandOver(*handOver, total) {
				how, why = AnswerBrokenOff, errNotHandedOver
			}
			a.finish(how, why)
			return total, errHandedOver
		}
		if total += int64(n); total > MaxAnswer {
			a.finish(AnswerBrokenOff, errTooLong)
			return total, errTooLong
		}
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				a.finish(AnswerCallerGone, nil)
				return total, err
			}
		}
		switch {
		case err == io.EOF:
			a.finish(AnswerComplete, nil)
			return total, nil
		case err != nil:
			a.finish(AnswerBrokenOff, err)
			return total, err
		}
	}
}

// Close is called when the answer is written, or will never be. If WriteTo has not reported how the answer ended, its
// caller has gone.
func (a *AnswerStream) Close() error {
	a.finish(AnswerCallerGone, nil)
	return nil
}

// finish reports how the answer ended, and why it was broken off.
func (a *AnswerStream) finish(result AnswerEnd, why error) {
	if onEnd := a.onEnd; onEnd != nil {
		a.onEnd, a.broken = nil, why
		onEnd(result)
	}
}
