package httpwire

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"heathgap/internal/env"
)

// Limits on the time that the sidecar waits for a body of a caller.
const (
	// Limit on the wait for the next bytes, and on the total wait beyond the time that minBodyRate allows. A caller that
	// stops sending must get an answer or a close within 3 s.
	bodyGrace   = 2500 * time.Millisecond
	minBodyRate = 32 << 10 // bytes a second: half of what slow callers are known to send
)

// bodyProgress tracks how fast a body comes. Only time spent waiting for the caller counts: a slow endpoint may hold up
// a fast caller.
type bodyProgress struct {
	received int
	waited   time.Duration
}

// timeLeft returns how long to wait for the next piece.
func (p *bodyProgress) timeLeft() time.Duration {
	return min(bodyGrace, bodyGrace+time.Duration(p.received)*time.Second/minBodyRate-p.waited)
}

// ErrBody is the error for a body that is too long, too slow or truncated.
var ErrBody = errors.New("body")

// ErrNoBodyMemory is the error for a body for which there is no memory at present.
var ErrNoBodyMemory = errors.New("no room left in the memory for bodies of requests")

// ErrDisconnected is the error for a body whose caller has disconnected before its last bytes were forwarded.
var ErrDisconnected = fmt.Errorf("%w: its caller has gone", ErrBody)

// errStopped is the error of reads after Stop.
var errStopped = errors.New("no more of the body is wanted")

// ReadBody reads the body of a request whose head has been read: completely, or, if it is long, its beginning. It takes memory only
// as bytes come, and beyond the first ones from a budget: where that is used up, less of a long body is buffered, and a body that
// has to be read whole fails with ErrNoBodyMemory.
func ReadBody(ctx *fasthttp.RequestCtx, conn *CallerConn) (*RequestBody, error) {
	stream, length := ctx.RequestBodyStream(), ctx.Request.Header.ContentLength()
	if stream == nil || length == 0 {
		return &RequestBody{}, nil
	}
	if length > MaxBody {
		return nil, fmt.Errorf("%w: %d bytes, and %d are allowed", ErrBody, length, MaxBody)
	}
	conn.bodyBegins()
	u := &Upload{Length: length, body: stream, conn: conn, done: make(chan struct{})}
	body := &RequestBody{Memory: &Reservation{budget: conn.owner.bodyMemory}}
	first := bodyBuffers.take(initialBodySize)
	for {
		if len(first) > MaxBuffered {
			return body.begin(first, u), nil
		}
		if len(first) == cap(first) {
			more := bodyBufferSize(cap(first)+1) - cap(first)
			mayBeLong := length < 0 || length > MaxBuffered
			switch short := !body.Memory.Grow(more); {
			case short && mayBeLong:
				return body.begin(first, u), nil
			case short && !conn.awaitBodyMemory(body.Memory, more):
				u.Stop()
				body.Memory.Release()
				bodyBuffers.release(first)
				return nil, ErrNoBodyMemory
			}
			first = bodyBuffers.grow(first, cap(first)+more)
		}
		n, err := u.Read(first[len(first):cap(first)])
		switch first = first[:len(first)+n]; {
		case err == io.EOF:
			body.Bytes = first
			return body, nil
		case err != nil:
			body.Memory.Release()
			bodyBuffers.release(first)
			return nil, fmt.Errorf("%w: %w", ErrBody, err)
		}
	}
}

// RequestBody is the body of a request, complete or as far as it is buffered.
type RequestBody struct {
	Bytes  []byte       // of a complete body
	Upload *Upload      // a long body; nil if it is complete
	Memory *Reservation // of what is buffered, but for initialBodySize bytes, which count for the connection
}

// begin makes the body a long one, of which the first bytes have come.
func (b *RequestBody) begin(first []byte, u *Upload) *RequestBody {
	u.beginning, u.memory = first, b.Memory
	b.Upload = u
	return b
}

// Upload is a long body, which its caller has still to send in part. Only one attempt can get it.
type Upload struct {
	Length    int          // of the whole body in bytes; below 0 if unknown
	beginning []byte       // what has come of it; nil once it is released
	memory    *Reservation // of beginning, and then of the pieces
	body      io.Reader
	conn      *CallerConn
	claimed   atomic.Bool
	progress  atomic.Int64 // the value of received, for other goroutines

	mu       sync.Mutex // held during a read
	received int
	finished bool
	err      error
	done     chan struct{} // closed when the body has ended, complete or not
}

// Claim assigns the upload to an attempt and reports whether it was free: it can be sent only once.
func (u *Upload) Claim() bool { return !u.claimed.Swap(true) }

// Beginning returns what had come of the body when its request was admitted. The attempt that has claimed the upload calls it.
func (u *Upload) Beginning() []byte { return u.beginning }

// ReleaseBeginning lets the memory of the beginning be used for another body. The attempt that has claimed the upload calls it, when it
// no longer uses what Beginning returned.
func (u *Upload) ReleaseBeginning() {
	bodyBuffers.release(u.beginning)
	u.beginning = nil
}

// Discard releases the beginning of an upload that no attempt has claimed; none can claim it afterwards.
func (u *Upload) Discard() {
	if u.Claim() {
		u.ReleaseBeginning()
	}
}

// UploadProgress is how much of a long body has come. It is written to log lines.
type UploadProgress struct {
	Length   int           // of the whole body in bytes; below 0 if unknown
	Received int64         // bytes that have been read from the caller
	Waited   time.Duration // how long ago the caller was last waited for: from then on all of the body may have come
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (p UploadProgress) MarshalZerologObject(ev *zerolog.Event) {
	ev.Int("length", p.Length).Int64("received", p.Received).Int64("waited_ms_ago", p.Waited.Milliseconds())
}

// Progress returns how much of the body has come. Any goroutine may call it.
func (u *Upload) Progress() UploadProgress {
	return UploadProgress{
		Length: u.Length, Received: u.progress.Load(), Waited: u.conn.owner.env.Now().Sub(u.conn.LastWaited()),
	}
}

// Done returns a channel that is closed when the body has ended, or will not be read any more.
func (u *Upload) Done() <-chan struct{} { return u.done }

// Err returns the error with which the body ended, once Done is closed; nil if it is complete.
func (u *Upload) Err() error { return u.err }

// Read implements io.Reader. It returns io.EOF only when the body is complete.
func (u *Upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.finished {
		if u.err == nil {
			return 0, io.EOF
		}
		return 0, u.err
	}
	n, err := u.body.Read(b)
	u.progress.Add(int64(n))
	switch u.received += n; {
	case u.received > MaxBody:
		err = fmt.Errorf("%w: %d bytes are allowed", errTooLong, MaxBody)
	case err == io.EOF && u.Length >= 0 && u.received < u.Length:
		err = io.ErrUnexpectedEOF // fasthttp's stream takes a premature end for the end of the body
	case err == nil && u.received == u.Length:
		err = io.EOF
	}
	if err != nil {
		u.finish(err)
	}
	return n, err
}

// finish records that the body has ended; u.mu is held.
func (u *Upload) finish(err error) {
	if u.finished {
		return
	}
	u.finished = true
	if err != io.EOF {
		u.err = err
	}
	// A caller that broke off or stalled sends nothing more that would have to be read before the close.
	u.conn.bodyEnded(!errors.Is(err, errStopped) && !errors.Is(err, errTooLong))
	close(u.done)
}

// Stop ends reading. When it returns, no goroutine reads the caller's connection for this body.
func (u *Upload) Stop() {
	u.conn.stopBody()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.finish(errStopped)
}

// maxSendBuffer is more than the kernel takes of what a caller writes before the caller's machine has sent it (tcp_wmem), in bytes.
const maxSendBuffer = 8 << 20

// mayBeWritten reports whether the caller may have written all of the body already, as far as this side can tell.
func (u *Upload) mayBeWritten() bool {
	return u.Length < 0 || int64(u.Length)-u.progress.Load() <= int64(u.conn.UnreadBytes()+maxSendBuffer)
}

// writeDeadline returns until when a piece of the body must be written, if its request waits for the given time from its last byte
// on. Guards against an endpoint that reads slowly or not at all: while bytes of the caller stand unread its last byte may be among
// them, and its time counts from when they came at the earliest.
func (u *Upload) writeDeadline(wait time.Duration, now time.Time) (deadline time.Time, late bool) {
	stall, due := now.Add(pieceStall), u.Due(wait)
	if due.Before(stall) && u.mayBeWritten() {
		return due, true
	}
	return stall, false
}

// Due returns when the answer to the request must be on its way at the earliest, if the request waits for the given time from its
// last byte on.
func (u *Upload) Due(wait time.Duration) time.Time {
	return u.conn.LastWaited().Add(max(0, wait-answerMargin))
}

// answerMargin is the part of a request's time that is kept for writing an answer to it.
const answerMargin = 20 * time.Millisecond

// ErrBodyLate is the error for a body that its endpoint has not read within the request's time.
var ErrBodyLate = errors.New("its endpoint has not read the body in time")

// WriteUpload writes the rest of a body after what Send has written, as it comes. wait is how long the request waits for its answer,
// from its last byte on. It reports whether the last byte was written. An error that wraps ErrBody is the caller's fault.
func (l *Link) WriteUpload(u *Upload, wait time.Duration, environment env.Env) (complete bool, err error) {
	buf, release := pieceBuffer(u.memory, initialBodySize)
	defer release()
	w := &uploadWriter{link: l, upload: u, wait: wait, env: environment, buf: buf}
	// What has come is written before the caller is waited for. Guards against a write for each byte, where a caller sends chunks of
	// one.
	u.conn.onWait = func() { w.flush(false) }
	defer func() { u.conn.onWait = nil }()
	for {
		done, err := w.next()
		if done || err != nil {
			return done, err
		}
	}
}

// uploadWriter writes a body, in pieces of up to the size of its buffer.
type uploadWriter struct {
	link    *Link
	upload  *Upload
	wait    time.Duration
	env     env.Env
	buf     []byte
	pending int   // bytes of buf that are to be written
	flushed bool  // flush was called
	err     error // of a write
}

// next reads the next bytes of the body, and writes them where the buffer is half full or the body ends. It reports whether the last
// byte was written.
func (w *uploadWriter) next() (done bool, err error) {
	begin := w.pending
	w.flushed = false
	n, err := w.upload.Read(w.buf[begin:])
	if w.flushed { // during the read: what was ahead of these bytes is written
		copy(w.buf, w.buf[begin:begin+n])
	}
	w.pending += n
	if w.err != nil {
		return false, w.err
	}
	if err != nil && err != io.EOF {
		return false, fmt.Errorf("%w: %w", ErrBody, err)
	}
	last := err == io.EOF
	if last && w.upload.conn.DisconnectedBehindUnread() {
		return false, ErrDisconnected // an endpoint starts to run a request with its last byte
	}
	if last || w.pending >= len(w.buf)/2 {
		w.flush(last)
	}
	return last && w.err == nil, w.err
}

// flush writes what is pending, unless a write has failed.
func (w *uploadWriter) flush(last bool) {
	if w.err != nil || w.pending == 0 && !last {
		return
	}
	deadline, late := w.upload.writeDeadline(w.wait, w.env.Now())
	w.err = w.link.writePiece(w.buf[:w.pending], w.upload.Length < 0, last, deadline)
	if late && errors.Is(w.err, os.ErrDeadlineExceeded) {
		w.err = ErrBodyLate
	}
	w.pending, w.flushed = 0, true
}
