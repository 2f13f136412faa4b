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

	"github.com/valyala/fasthttp"

	"heathgap/internal/env"
)

// What is long goes through small buffers, a piece at a time, as fast as its slower
// side goes. What holds MaxWhole bytes at most is read whole instead, so that it can
// be tried again.

// pieceSize is the most of a long body that is read before it is written on, in bytes:
// few system calls for each megabyte, and some hundred of them are few megabytes.
const pieceSize = 16 << 10

// pieceStall is how long a peer may let a long body stand still. Peers take seconds to
// read or write; one that does nothing for so long never will.
const pieceStall = 10 * time.Second

var pieceBuffers = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// Bounds of a body that its caller sends, as time that the sidecar waits for it.
const (
	// For the next bytes, and for all beyond what the rate gives: who sends no more is
	// owed an end within 3 s.
	bodyGrace   = 2500 * time.Millisecond
	minBodyRate = 32 << 10 // bytes a second: half of what slow callers are known to send
)

// bodyProgress is how fast a body comes. Only time spent waiting for the caller counts: a
// slow endpoint holds a fast caller up.
type bodyProgress struct {
	received int
	waited   time.Duration
}

// timeLeft is how long may be waited for the next piece.
func (p *bodyProgress) timeLeft() time.Duration {
	return min(bodyGrace, bodyGrace+time.Duration(p.received)*time.Second/minBodyRate-p.waited)
}

// ErrBody is the fault of a body that is too long, too slow or broken off.
var ErrBody = errors.New("body")

// ErrDisconnected is the fault of a body whose caller has gone when its last bytes are about to be written.
var ErrDisconnected = fmt.Errorf("%w: its caller has gone", ErrBody)

// errStopped is what a read of a body ends with that nobody wants any more.
var errStopped = errors.New("no more of the body is wanted")

// ReadBody reads the body of a request whose head has come: whole, or, where it is
// long, its first bytes and the Upload that brings the rest.
func ReadBody(ctx *fasthttp.RequestCtx, conn *CallerConn) ([]byte, *Upload, error) {
	stream, length := ctx.RequestBodyStream(), ctx.Request.Header.ContentLength()
	if stream == nil || length == 0 {
		return nil, nil, nil
	}
	if length > MaxBody {
		return nil, nil, fmt.Errorf("%w: %d bytes, and %d are allowed", ErrBody, length, MaxBody)
	}
	conn.bodyBegins()
	u := &Upload{Length: length, body: stream, conn: conn, done: make(chan struct{})}
	size := initialBodySize
	if length > 0 {
		size = min(length, MaxBuffered+1)
	}
	first := make([]byte, 0, size)
	for {
		if len(first) > MaxBuffered {
			return first, u, nil
		}
		if len(first) == cap(first) {
			first = append(make([]byte, 0, min(2*cap(first), MaxBuffered+1)), first...)
		}
		n, err := u.Read(first[len(first):cap(first)])
		switch first = first[:len(first)+n]; {
		case err == io.EOF:
			return first, nil, nil
		case err != nil:
			return nil, nil, fmt.Errorf("%w: %w", ErrBody, err)
		}
	}
}

// Upload is what its caller has still to send of a long body. It goes to one attempt.
type Upload struct {
	Length  int // of the whole body in bytes; below 0 where only its end tells
	body    io.Reader
	conn    *CallerConn
	claimed atomic.Bool

	mu       sync.Mutex // held while a read is under way
	received int
	finished bool
	err      error
	done     chan struct{} // closed when the body has ended, well or not
}

// Claim gives the rest to an attempt, once: it can't be sent twice.
func (u *Upload) Claim() bool { return !u.claimed.Swap(true) }

// Done is closed when the body has come to its end, or never will.
func (u *Upload) Done() <-chan struct{} { return u.done }

// Err is how it has ended, once Done is closed: nil if it has come whole.
func (u *Upload) Err() error { return u.err }

// Read reads on. It ends with io.EOF only when the body is whole.
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
	switch u.received += n; {
	case u.received > MaxBody:
		err = fmt.Errorf("%w: %d bytes are allowed", errTooLong, MaxBody)
	case err == io.EOF && u.Length >= 0 && u.received < u.Length:
		err = io.ErrUnexpectedEOF // fasthttp's stream takes an early end for the end
	case err == nil && u.received == u.Length:
		err = io.EOF
	}
	if err != nil {
		u.finish(err)
	}
	return n, err
}

// finish books the end; u.mu is held.
func (u *Upload) finish(err error) {
	if u.finished {
		return
	}
	u.finished = true
	if err != io.EOF {
		u.err = err
	}
	// Who has broken off or stands still sends nothing that would have to be read.
	u.conn.bodyEnded(!errors.Is(err, errStopped) && !errors.Is(err, errTooLong))
	close(u.done)
}

// Stop ends reading: when it returns, nobody reads the caller's connection for a body.
func (u *Upload) Stop() {
	u.conn.stopBody()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.finish(errStopped)
}

// WriteUpload writes the rest of a body behind what Send has written, as it comes. It
// tells whether the last byte was written. An error that wraps ErrBody is the caller's.
func (l *Link) WriteUpload(u *Upload, environment env.Env) (complete bool, err error) {
	buf := pieceBuffers.Get().(*[pieceSize]byte)
	defer pieceBuffers.Put(buf)
	for {
		n, err := u.Read(buf[:])
		if err != nil && err != io.EOF {
			return false, fmt.Errorf("%w: %w", ErrBody, err)
		}
		last := err == io.EOF
		if last && u.conn.Disconnected() {
			return false, ErrDisconnected // an endpoint begins with the last byte
		}
		if err := l.writePiece(buf[:n], u.Length < 0, last, environment); err != nil {
			return false, err
		}
		if last {
			return true, nil
		}
	}
}

// writePiece writes a piece, framed as a chunk where the length is not told.
func (l *Link) writePiece(b []byte, chunked, last bool, environment env.Env) error {
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
	if err := l.conn.SetWriteDeadline(environment.Now().Add(pieceStall)); err != nil {
		return err
	}
	_, err := l.conn.Write(b)
	return err
}

// Framing of chunks.
const (
	chunkFrame = 24 // bytes that it takes at most beside the piece
	lastChunk  = "0\r\n\r\n"
)

// errHandedOver ends the writing of a response that another process goes on with.
var errHandedOver = errors.New("another process goes on")

// How a long answer ended on its way.
const (
	AnswerComplete   AnswerEnd = iota // all of it is written
	AnswerBrokenOff                   // its endpoint broke it off, or it was longer than may be
	AnswerCallerGone                  // its caller has gone
	AnswerHandedOver                  // another process goes on with it
)

// AnswerEnd is how the passing on of a long answer has ended.
type AnswerEnd uint8

// AnswerStream is a long answer that is passed on as it comes: fasthttp writes it as the
// body of a response. It ends once.
type AnswerStream struct {
	Length       int // of the whole body in bytes; below 0 where only its end tells
	Class        string
	WithLength   bool // it is written with its length, not in chunks: for callers of HTTP/1.0
	beginning    []byte
	body         io.Reader
	link         *Link
	caller       atomic.Pointer[CallerConn]
	env          env.Env
	onEnd        func(AnswerEnd) // set by Pass; nil before, and after the end
	handOverFunc atomic.Pointer[HandOverFunc]
}

// HandOverFunc hands a long answer to another process: what it needs to go on, as text, and the
// connections of its caller and its endpoint.
type HandOverFunc func(state []byte, caller, endpoint syscall.Conn) error

// OnEnd says who is told of the end, once.
func (a *AnswerStream) OnEnd(onEnd func(AnswerEnd)) { a.onEnd = onEnd }

// HandOver has the answer handed to another process at the next piece. It may be called
// at any time.
func (a *AnswerStream) HandOver(handOver HandOverFunc) {
	a.handOverFunc.Store(&handOver)
	a.link.conn.SetReadDeadline(pastDeadline)
	if to := a.caller.Load(); to != nil {
		to.detach()
	}
}

// SetConn says whose connection it is written to.
func (a *AnswerStream) SetConn(conn *CallerConn) { a.caller.Store(conn) }

// AnswerHandover is what another process needs to go on with a long answer.
type AnswerHandover struct {
	Class    string
	Unsent   []byte // read and not written
	Buffered []byte // read from the endpoint's connection, and not unframed
	Left     int    // bytes that are left of the body, or of the chunk at hand; below 0: to the connection's end
	Chunked  bool
	Behind   bool // a chunk has come whole, and the end of its line has not
	Total    int64
}

// tryHandOver hands it over, and tells whether it has.
func (a *AnswerStream) tryHandOver(handOver HandOverFunc, total int64) bool {
	conn := a.caller.Load()
	if a.WithLength {
		return false
	}
	handover := AnswerHandover{Class: a.Class, Unsent: conn.unsentBytes(), Left: -1, Total: total}
	switch b := a.body.(type) {
	case *fixedLengthBody:
		handover.Left = b.remaining
	case *chunkedBody:
		handover.Left, handover.Chunked, handover.Behind = b.remaining, true, b.lineEndPending
	}
	handover.Buffered, _ = a.link.in.Peek(a.link.in.Buffered())
	state, err := json.Marshal(handover)
	caller, ok := conn.Conn.(syscall.Conn)
	endpoint, ok2 := a.link.conn.(syscall.Conn)
	if err != nil || !ok || !ok2 || handOver(state, caller, endpoint) != nil {
		return false
	}
	conn.markHandedOver()
	return true
}

// ResumeAnswer passes on what another process has begun to: it writes to the caller what is
// left of the answer, and ends both connections.
func ResumeAnswer(handover *AnswerHandover, caller, endpoint net.Conn, environment env.Env) AnswerEnd {
	defer caller.Close()
	defer endpoint.Close()
	in := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(handover.Buffered), endpoint), MaxHead)
	var body io.Reader = in
	switch {
	case handover.Chunked:
		body = &chunkedBody{r: in, remaining: handover.Left, lineEndPending: handover.Behind}
	case handover.Left >= 0:
		body = &fixedLengthBody{r: in, remaining: handover.Left}
	}
	out := &Link{conn: caller}
	if out.writePiece(handover.Unsent, false, false, environment) != nil {
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
		if out.writePiece(buf[:n], true, err == io.EOF, environment) != nil {
			return AnswerCallerGone
		}
		if err == io.EOF {
			return AnswerComplete
		}
	}
}

// SupportsBodyWriteTo has fasthttp use WriteTo.
func (a *AnswerStream) SupportsBodyWriteTo() bool { return true }

// Read is io.Reader's, which fasthttp asks of bodies; WriteTo is what it uses.
func (a *AnswerStream) Read([]byte) (int, error) {
	return 0, errors.New("a long answer is written, not read")
}

// WriteTo writes all of it. On an error what is written must not look whole.
func (a *AnswerStream) WriteTo(w io.Writer) (int64, error) {
	n, err := w.Write(a.beginning)
	total := int64(n)
	a.beginning = nil
	if err != nil {
		a.finish(AnswerCallerGone)
		return total, err
	}
	buf := pieceBuffers.Get().(*[pieceSize]byte)
	defer pieceBuffers.Put(buf)
	for {
		a.link.conn.SetReadDeadline(a.env.Now().Add(pieceStall))
		handOver, n, err := a.handOverFunc.Load(), 0, error(os.ErrDeadlineExceeded)
		if handOver == nil {
			n, err = a.body.Read(buf[:])
			handOver = a.handOverFunc.Load()
		}
		if handOver != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			how := AnswerBrokenOff
			if a.tryHandOver(*handOver, total) {
				how = AnswerHandedOver
			}
			a.finish(how)
			return total, errHandedOver
		}
		if total += int64(n); total > MaxAnswer {
			a.finish(AnswerBrokenOff)
			return total, errTooLong
		}
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				a.finish(AnswerCallerGone)
				return total, err
			}
		}
		switch {
		case err == io.EOF:
			a.finish(AnswerComplete)
			return total, nil
		case err != nil:
			a.finish(AnswerBrokenOff)
			return total, err
		}
	}
}

// Close is called when it is written, or never will be.
func (a *AnswerStream) Close() error {
	a.finish(AnswerCallerGone)
	return nil
}

func (a *AnswerStream) finish(result AnswerEnd) {
	if onEnd := a.onEnd; onEnd != nil {
		a.onEnd = nil
		onEnd(result)
	}
}
