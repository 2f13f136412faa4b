package httpwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

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
	first := make([]byte, 0, initialBodySize)
	for {
		if len(first) > MaxBuffered {
			return body.begin(first, u), nil
		}
		if len(first) == cap(first) {
			more := min(cap(first), MaxBuffered+1-cap(first))
			mayBeLong := length < 0 || length > MaxBuffered
			switch short := !body.Memory.Grow(more); {
			case short && mayBeLong:
				return body.begin(first, u), nil
			case short && !conn.awaitBodyMemory(body.Memory, more):
				u.Stop()
				body.Memory.Release()
				return nil, ErrNoBodyMemory
			}
			first = append(make([]byte, 0, cap(first)+more), first...)
		}
		n, err := u.Read(first[len(first):cap(first)])
		switch first = first[:len(first)+n]; {
		case err == io.EOF:
			body.Bytes = first
			return body, nil
		case err != nil:
			body.Memory.Release()
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
	beginning []byte       // what has come of it; nil once an attempt has got it
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

// TakeBeginning returns what had come of the body when its request was admitted, once. The attempt that has claimed the upload
// calls it.
func (u *Upload) TakeBeginning() []byte {
	beginning := u.beginning
	u.beginning = nil
	return beginning
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
	return u.Length < 0 || int64(u.Length)-u.progress.Load() <= int64(u.conn.unreadBytes()+maxSendBuffer)
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

// writePiece writes a piece until a deadline, framed as a chunk if the length of the body is unknown.
func (l *Link) writePiece(b []byte, chunked, last bool, deadline time.Time) error {
	if chunked {
		framed := make([]byte, 0, len(b)+len("\r\n")+chunkFrame)
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

// errHandedOver ends the writing of a response that another process continues.
var errHandedOver = errors.New("another process goes on with the answer")

// errNotHandedOver is the error for an answer that no other process could go on with.
var errNotHandedOver = errors.New("it could not be handed over")

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

// HandOverFunc hands a long answer over to another process: the state from which that continues, as JSON, and the
// connections of the caller and the endpoint.
type HandOverFunc func(state []byte, caller, endpoint syscall.Conn) error

// OnEnd sets the function that is called once, when the stream ends.
func (a *AnswerStream) OnEnd(onEnd func(AnswerEnd)) { a.onEnd = onEnd }

// Err returns why the answer was broken off, once its end was reported; nil if it was not.
func (a *AnswerStream) Err() error { return a.broken }

// HandOver requests that the answer be handed over to another process at the next piece. It may be called at any time.
func (a *AnswerStream) HandOver(handOver HandOverFunc) {
	a.handOverFunc.Store(&handOver)
	a.link.conn.SetReadDeadline(pastDeadline)
	if to := a.caller.Load(); to != nil {
		to.detach()
	}
}

// streamDeadline is when an answer of at most MaxBuffered bytes is broken off.
type streamDeadline struct {
	at    time.Time
	final bool // also if its endpoint keeps writing
}

// SetDeadline sets when an answer of at most MaxBuffered bytes is broken off, unless it has ended by then. One without a length goes on
// while its endpoint keeps writing, unless the deadline is final. A final deadline, and an earlier one, stays. A longer answer goes
// on, and so does one that is being handed over. The owner calls it.
func (a *AnswerStream) SetDeadline(at time.Time, final bool) {
	if earlier := a.deadline.Load(); earlier != nil && (earlier.final || !final) && earlier.at.Before(at) {
		return
	}
	deadline := &streamDeadline{at, final}
	a.deadline.Store(deadline)
	if a.usualLength() && a.handOverFunc.Load() == nil {
		a.link.conn.SetReadDeadline(a.pieceDeadline(deadline, a.env.Now())) // for the read in progress
	}
}

// setReadDeadline sets until when the next piece must come. Guards against an endpoint that stalls within an answer of usual
// length: its caller would learn only after pieceStall that the answer will not end.
func (a *AnswerStream) setReadDeadline() {
	now := a.env.Now()
	stall := now.Add(pieceStall)
	a.link.conn.SetReadDeadline(stall)
	for deadline, set := a.deadline.Load(), (*streamDeadline)(nil); deadline != set; deadline = a.deadline.Load() {
		if until := a.pieceDeadline(deadline, now); a.usualLength() && until.Before(stall) {
			a.link.conn.SetReadDeadline(until)
		}
		set = deadline // SetDeadline may have set another one meanwhile
	}
}

// Limits on an answer without a length that goes on past its deadline: nobody knows whether it will be a long one.
const (
	answerGap     = 400 * time.Millisecond // an answer may come half a second late, so one that has stalled is broken off before that
	minAnswerRate = 4 << 10                // bytes a second
)

// pieceDeadline returns until when the next piece must come because of a deadline of the answer. An answer without a length may go on
// past it while its endpoint keeps writing.
func (a *AnswerStream) pieceDeadline(deadline *streamDeadline, now time.Time) time.Time {
	if deadline.final || a.Length >= 0 {
		return deadline.at
	}
	until := now.Add(answerGap)
	if latest := deadline.at.Add(time.Duration(a.total.Load()) * time.Second / minAnswerRate); until.After(latest) {
		until = latest
	}
	if until.Before(deadline.at) {
		return deadline.at
	}
	return until
}

// usualLength reports whether the answer may still have no more than MaxBuffered bytes.
func (a *AnswerStream) usualLength() bool {
	return a.Length <= MaxBuffered && a.total.Load() <= MaxBuffered
}

// SetConn sets the caller's connection, to which the answer is written.
func (a *AnswerStream) SetConn(conn *CallerConn) { a.caller.Store(conn) }

// AnswerHandover is the state with which another process continues a long answer. It is sent as JSON, possibly to
// another version of the program: its field names are fixed.
type AnswerHandover struct {
	Class    string
	Unsent   []byte // read from the endpoint, but not yet written to the caller
	Buffered []byte // read from the endpoint's connection, but not yet parsed as chunks
	Left     int    // missing bytes of the body, or of the current chunk; below 0 if the body lasts to the connection's end
	Chunked  bool
	Behind   bool  // all bytes of a chunk have come, but not yet its line end
	Total    int64 // bytes of the body so far
}

// setChunked records the position in a body in chunks. The other process may be of a version that has no position within the
// trailer: it gets the line of the last chunk once more, and so begins at the trailer's present line.
func (h *AnswerHandover) setChunked(b *chunkedBody) {
	h.Chunked, h.Left = true, 0
	switch b.position {
	case inChunk:
		h.Left = b.remaining
	case atChunkEnd:
		h.Behind = true
	case inTrailer:
		h.Buffered = append([]byte(lastChunkLine), h.Buffered...)
	}
}

// chunked returns the body in chunks that another process has begun to read.
func (h *AnswerHandover) chunked(in *bufio.Reader) *chunkedBody {
	switch {
	case h.Left > 0:
		return &chunkedBody{r: in, position: inChunk, remaining: h.Left}
	case h.Behind:
		return &chunkedBody{r: in, position: atChunkEnd}
	}
	return &chunkedBody{r: in}
}

// tryHandOver hands the answer over and reports whether it did.
func (a *AnswerStream) tryHandOver(handOver HandOverFunc, total int64) bool {
	conn := a.caller.Load()
	if a.WithLength {
		return false
	}
	handover := AnswerHandover{Class: a.Class, Unsent: conn.unsentBytes(), Left: -1, Total: total}
	handover.Buffered, _ = a.link.in.Peek(a.link.in.Buffered())
	switch b := a.body.(type) {
	case *fixedLengthBody:
		handover.Left = b.remaining
	case *chunkedBody:
		handover.setChunked(b)
	}
	state, err := json.Marshal(handover)
	caller, ok := conn.Conn.(syscall.Conn)
	endpoint, ok2 := a.link.conn.(syscall.Conn)
	if err != nil || !ok || !ok2 || handOver(state, caller, endpoint) != nil {
		return false
	}
	conn.markHandedOver()
	return true
}

// ResumeAnswer continues an answer that another process has begun to stream: it writes the rest to the caller and closes
// both connections.
func ResumeAnswer(handover *AnswerHandover, caller, endpoint net.Conn, environment env.Env) AnswerEnd {
	defer caller.Close()
	defer endpoint.Close()
	in := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(handover.Buffered), endpoint), MaxHead)
	var body io.Reader = in
	switch {
	case handover.Chunked:
		body = handover.chunked(in)
	case handover.Left >= 0:
		body = &fixedLengthBody{r: in, remaining: handover.Left}
	}
	out := &Link{conn: caller}
	if out.writePiece(handover.Unsent, false, false, environment.Now().Add(pieceStall)) != nil {
		return AnswerCallerGone
	}
	buf := pieceBuffers.Get().(*[pieceSize]byte)
	defer pieceBuffers.Put(buf)
	for total := handover.Total; ; {
		endpoint.SetReadDeadline(environment.Now().Add(pieceStall))
		n, err := body.Read(buf[:])
		if total += int64(n); total > MaxAnswer || err != nil && err != io.EOF {
			return AnswerBrokenOff
		}
		if out.writePiece(buf[:n], true, err == io.EOF, environment.Now().Add(pieceStall)) != nil {
			return AnswerCallerGone
		}
		if err == io.EOF {
			return AnswerComplete
		}
	}
}

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
