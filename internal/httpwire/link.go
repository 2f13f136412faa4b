package httpwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"heathgap/internal/env"
)

// Link is a connection of this sidecar's own making, to an endpoint or to
// discovery. It carries one exchange at a time.
//
// fasthttp's client is not used here. It can be kept from resending, but its
// errors do not tell whether a message's last byte was written, which decides
// whether the endpoint may have run it, and an exchange under way cannot be
// called off, nor kept from being written once its connection stands. Its codecs
// are used, on connections that tell and allow that.
type Link struct {
	conn     net.Conn
	in       *bufio.Reader
	deadline time.Time // the deadline of the exchange at hand
	closed   atomic.Bool
	Uses     int // exchanges begun on it
}

// Dial opens a connection. It fails when the context ends or timeout passes.
func Dial(ctx context.Context, environment env.Env, address string, timeout time.Duration) (*Link, error) {
	conn, err := environment.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	return &Link{conn: conn, in: bufio.NewReaderSize(&stickyErrReader{Reader: conn}, MaxHead)}, nil
}

// stickyErrReader keeps the failure of a connection that has broken. Guards against a reset that is taken for an end: the
// kernel tells of it once and reads as io.EOF from then on, and a look ahead (Peek) may have had that one word. A
// deadline that has passed is no failure: the next read may go on.
type stickyErrReader struct {
	io.Reader
	err error
}

// Read is io.Reader's.
func (r *stickyErrReader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Reader.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.err = err
	}
	return n, err
}

// Send writes a message once, until the deadline at most. It tells whether the
// last byte was written: without it, the message has never run.
func (l *Link) Send(message []byte, deadline time.Time) (complete bool, err error) {
	l.Uses++
	l.deadline = deadline
	if err := l.conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	n, err := l.conn.Write(message)
	return n == len(message), err
}

// SetReadDeadline sets until when the answer to what was sent is waited for.
func (l *Link) SetReadDeadline(deadline time.Time) error {
	l.deadline = deadline
	return l.conn.SetDeadline(deadline)
}

// Reader is where the answer to what was sent is read.
func (l *Link) Reader() *bufio.Reader { return l.in }

// Close ends the connection; it may be called at any time and more than once.
func (l *Link) Close() {
	if !l.closed.Swap(true) {
		l.conn.Close()
	}
}

// Usable tells whether an idle connection still stands and is silent: what is
// written to one that the other side has ended would count as a reset.
func (l *Link) Usable() bool {
	if l.closed.Load() || l.in.Buffered() > 0 {
		return false
	}
	if reporter, ok := l.conn.(interface{ Fresh() bool }); ok { // it knows by itself
		return reporter.Fresh()
	}
	raw, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	fresh := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		fresh = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && fresh
}
