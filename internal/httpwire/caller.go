package httpwire

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Callers accepts the connections of callers and keeps track of them.
type Callers struct {
	net.Listener
	most  int
	ended func(c *CallerConn, why Reason)

	mu    sync.Mutex
	conns map[*CallerConn]struct{}
}

// NewCallers wraps a listener. Beyond so many connections, those that have been
// idle longest make room. ended is called once for each that ends.
func NewCallers(l net.Listener, most int, ended func(c *CallerConn, why Reason)) *Callers {
	return &Callers{Listener: l, most: most, ended: ended, conns: map[*CallerConn]struct{}{}}
}

// Accept waits for the next connection.
func (l *Callers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &CallerConn{Conn: conn, owner: l, idleSince: time.Now()}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	crowd := len(l.conns) > l.most
	l.mu.Unlock()
	if crowd {
		l.retireOldest(c)
	}
	return c, nil
}

// Open is how many connections there are.
func (l *Callers) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// RetireIdle ends all connections on which no request stands.
func (l *Callers) RetireIdle(why Reason) {
	for _, c := range l.all() {
		c.retire(why)
	}
}

// retireOldest ends the connection, other than the newest, that has been idle
// for the longest time.
func (l *Callers) retireOldest(newest *CallerConn) {
	var oldest *CallerConn
	var since time.Time
	for _, c := range l.all() {
		at, idle := c.idle()
		if c != newest && idle && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	if oldest != nil {
		oldest.retire(ReasonRoom)
	}
}

func (l *Callers) all() []*CallerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*CallerConn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// CallerConn is a caller's connection. fasthttp's server reads and writes it,
// and does not see a caller leave while a handler waits: Watch does.
type CallerConn struct {
	net.Conn
	owner *Callers

	mu        sync.Mutex
	why       Reason // the first that was found; empty while none is
	busy      bool   // a request is being read, held or answered
	answered  bool   // the handler has its answer; the server's next read is for another request
	retired   bool   // no further request is to be read
	idleSince time.Time
	requests  int
	early     []byte        // what came while Watch looked; the next Read returns it
	watching  chan struct{} // closed when the watch has ended; nil while there is none
	closed    bool
}

// aPast is a deadline that has passed: it ends a pending read at once.
var aPast = time.Unix(1, 0)

// Read reads for the server. An idle connection that times out, or that is to
// end, reads as closed by its caller: the server then ends it in silence, where
// an answer would be taken for one to a request that is on its way.
func (c *CallerConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.settle()
	if len(c.early) > 0 {
		n := copy(b, c.early)
		c.early = c.early[n:]
		c.busy = true
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.busy = true
		return n, err
	}
	if err != nil {
		c.note(c.readReason(err))
		if !c.busy && errors.Is(err, os.ErrDeadlineExceeded) {
			err = io.EOF
		}
	}
	return n, err
}

// settle makes the connection idle once the server reads on behind an answer:
// it does so when the answer is written. c.mu is held.
func (c *CallerConn) settle() {
	if c.answered {
		c.answered, c.busy, c.idleSince = false, false, time.Now()
	}
}

// readReason says what a failed read means; c.mu is held.
func (c *CallerConn) readReason(err error) Reason {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c.busy:
		return ReasonBadRequest
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ReasonIdle
	case errors.Is(err, io.EOF):
		return ReasonPeerClosed
	}
	return ReasonPeerReset
}

// Write writes for the server.
func (c *CallerConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.Note(ReasonWriteFailed)
	}
	return n, err
}

// SetReadDeadline is the server's; one that is to end keeps the past one.
func (c *CallerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired && !c.busy {
		t = aPast
	}
	return c.Conn.SetReadDeadline(t)
}

// Answered marks that the server has the answer to the request at hand.
func (c *CallerConn) Answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
	c.requests++
}

// Requests is how many requests it has carried.
func (c *CallerConn) Requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// Note sets why the connection ends, unless that is known already.
func (c *CallerConn) Note(why Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(why)
}

func (c *CallerConn) note(why Reason) {
	if c.why == "" {
		c.why = why
	}
}

func (c *CallerConn) idle() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, !c.busy && !c.retired
}

// retire ends an idle connection. A request whose first byte has been read is
// still served: only the pending read is ended, never what it has brought.
func (c *CallerConn) retire(why Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired || c.busy {
		return
	}
	c.retired = true
	c.note(why)
	c.Conn.SetReadDeadline(aPast)
}

// Watch calls left once if the caller goes before Unwatch is called.
func (c *CallerConn) Watch(left func()) {
	done := make(chan struct{})
	c.watching = done
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n > 0 {
			c.mu.Lock()
			c.early = append(c.early, b[0])
			c.mu.Unlock()
			return
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.Note(ReasonCallerLeft)
			left()
		}
	}()
}

// Unwatch ends the watch; the server may read again.
func (c *CallerConn) Unwatch() {
	c.Conn.SetReadDeadline(aPast)
	<-c.watching
	c.watching = nil
	c.Conn.SetReadDeadline(time.Time{})
}

// Close ends the connection and tells why, once.
func (c *CallerConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.note(ReasonAskedClose)
	why := c.why
	c.mu.Unlock()
	if first {
		l := c.owner
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		l.ended(c, why)
	}
	return c.Conn.Close()
}
