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

// Link is a connection that this sidecar opened, to an endpoint or to discovery. It carries one exchange at a time.
//
// fasthttp's client is not used. It can be kept from resending, but its errors do not say whether the last byte of a
// message was written, which decides whether the endpoint may have run the request. An exchange in progress cannot be
// canceled either, nor be kept from being written once the connection is up. Link uses fasthttp's codecs on a connection
// that allows both.
type Link struct {
	conn     net.Conn
	in       *bufio.Reader
	deadline time.Time // of the exchange in progress
	closed   atomic.Bool
	Uses     int // exchanges started on it
}

// Dial opens a connection. It fails when the context ends or timeout passes.
func Dial(ctx context.Context, environment env.Env, address string, timeout time.Duration) (*Link, error) {
	conn, err := environment.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	return &Link{conn: conn, in: bufio.NewReaderSize(&stickyErrReader{Reader: conn}, MaxHead)}, nil
}

// stickyErrReader returns the first error of a connection for all later reads. Guards against taking a reset for the end
// of an answer: the kernel reports a reset once and io.EOF from then on, and a Peek may have consumed that one report. A
// read that exceeded its deadline is not such an error: the next read may continue.
type stickyErrReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
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

// Send writes the parts of a message, at the latest until the deadline. It reports whether the last byte was written: if not, the
// endpoint has never run the request.
func (l *Link) Send(deadline time.Time, parts ...[]byte) (complete bool, err error) {
	l.Uses++
	l.deadline = deadline
	if err := l.conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	for _, part := range parts {
		if n, err := l.conn.Write(part); n < len(part) {
			return false, err
		}
	}
	return true, nil
}

// SetReadDeadline sets the time until which the answer is awaited.
func (l *Link) SetReadDeadline(deadline time.Time) error {
	l.deadline = deadline
	return l.conn.SetDeadline(deadline)
}

// Reader returns the reader of the answers.
func (l *Link) Reader() *bufio.Reader { return l.in }

// Close closes the connection. It may be called at any time, from any goroutine and more than once.
func (l *Link) Close() {
	if !l.closed.Swap(true) {
		l.conn.Close()
	}
}

// Abort closes the connection and drops what the kernel has not sent yet of a message that is given up: after a plain close its endpoint
// would still get it, and could begin to run the request long after its caller has the answer. As Close, it may be called at any time.
func (l *Link) Abort() {
	if conn, ok := l.conn.(interface{ SetLinger(seconds int) error }); ok && !l.closed.Load() {
		conn.SetLinger(0) //nolint:errcheck // it is closed all the same
	}
	l.Close()
}

// Usable reports whether an idle connection is still open and has no unexpected bytes to read. A request that is written
// to a connection which the other side has closed would count as a reset.
func (l *Link) Usable() bool {
	if l.closed.Load() || l.in.Buffered() > 0 {
		return false
	}
	if reporter, ok := l.conn.(interface{ Fresh() bool }); ok { // simulated connections know it themselves
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
