package httpwire

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// CallerConn is a connection of a caller. fasthttp's server reads and writes it, but does not notice that a caller
// disconnects while a handler waits: Watch does.
type CallerConn struct {
	net.Conn
	owner *Callers

	// Used by the goroutine that reads, one at a time.
	scanner  requestScanner
	pace     requestPace
	onWait   func() // called before a read of a body that has to wait; nil for nothing
	rejected error  // why nothing more is read; nil if that is not so

	mu              sync.Mutex
	reason          Reason    // the first that was found; empty until then
	busy            bool      // a request is being read, pending or being answered
	pending         bool      // it counts in Callers.pending: a request has come completely, or its body is still coming
	pendingState    ConnState // what the pending request waits for; empty for StatePending
	proven          bool      // it has brought a valid request
	answered        bool      // the handler has returned an answer; the server's next read is for another request
	onWritten       func()    // called when that answer is written, or will never be; nil otherwise
	closing         bool      // no further request is to be read
	changedAt       time.Time // when it last became idle or busy
	requests        int
	body            *bodyProgress // while a body is read; nil otherwise
	bodyStopped     bool          // no more of the body is wanted
	lastWaited      time.Time     // when the caller of a body was last waited for; all of the body may have come since then
	detached        bool          // writes are only recorded in unsent: another process is to continue the current answer
	handedOver      bool          // another process has taken over the connection
	unsent          []byte        // recorded writes: one piece at most
	bodyUnread      bool          // a body has not been read to its end: what still comes must be read before the close
	pipelined       []byte        // bytes that came during Watch, which the next Reads return
	pipelinedMemory Reservation   // of pipelined
	pipelinedBytes  int           // number of bytes that came after the current request, kept or not
	peerEnded       bool          // the caller has closed it, it failed, or it floods: no answer can be lost by closing it
	watchDone       chan struct{} // closed when the watch has ended; nil without a watch
	closed          bool          // Close was called; the connection may still linger
	closedAt        time.Time     // when Close was called first
	lingerStopped   bool          // lingering was ended early
	endState        ConnState     // what it was doing when it was closed; valid once it is closed
	dropped         int           // bytes that were read and dropped after it was closed for writing
	requestID       string        // the caller's id of the request that it brought last
	problem         string        // why its last request was answered 400; empty if it was not

	descriptor   syscall.RawConn // set with its first pending request; nil if the connection has no descriptor
	disconnected atomic.Bool     // its caller was seen to have disconnected
}

// pastDeadline is a deadline in the past: it interrupts a pending read at once.
var pastDeadline = time.Unix(1, 0)

// lastReadTime is how long an idle connection is still read before it is closed.
const lastReadTime = time.Millisecond

// Read implements net.Conn for the server. A head of more than maxFields lines is cut short with an error before the server parses
// it.
func (c *CallerConn) Read(b []byte) (int, error) {
	if c.rejected != nil {
		return 0, c.rejected
	}
	if wait := c.pace.wait(c.owner.env.Now(), c.scanner.requests); wait > 0 {
		c.owner.env.Sleep(wait)
	}
	n, err := c.readUnchecked(b)
	accepted, failure := c.scanner.scan(b[:n])
	switch {
	case failure == nil:
		return n, err
	case accepted == n:
		c.closeAfterRequest()
		return n, err
	}
	c.rejected = failure
	c.SetReason(ReasonBadRequest)
	if accepted == 0 {
		return 0, failure
	}
	return accepted, nil
}

// closeAfterRequest makes the present request the last one on its connection.
func (c *CallerConn) closeAfterRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// readUnchecked reads for Read. An idle connection that times out, or that is to be closed, reads as closed by its caller: the
// server then closes it without an answer, which the caller could take for the answer to a request that it is just sending.
func (c *CallerConn) readUnchecked(b []byte) (int, error) {
	c.mu.Lock()
	c.finishAnswered()
	if len(c.pipelined) > 0 {
		n := copy(b, c.pipelined)
		if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
			c.pipelined = nil
		}
		c.pipelinedMemory.Shrink(len(c.pipelined))
		c.markBusy()
		c.mu.Unlock()
		return n, nil
	}
	idle, began, waits := !c.busy, time.Time{}, false
	if c.body != nil {
		began = c.owner.env.Now()
		waits = !c.readable()
		if c.Conn.SetReadDeadline(began.Add(c.body.timeLeft())); c.bodyStopped {
			c.Conn.SetReadDeadline(pastDeadline)
		}
	}
	c.mu.Unlock()
	if waits && c.onWait != nil {
		c.onWait()
	}
	n, err := c.Conn.Read(b)
	if n == 0 && idle && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readOnceMore(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body != nil && !began.IsZero() {
		now := c.owner.env.Now()
		c.body.received += n
		c.body.waited += now.Sub(began)
		if waits {
			c.lastWaited = now
		}
	}
	if n > 0 {
		c.markBusy()
		return n, err
	}
	if err != nil && !c.bodyStopped {
		c.peerEnded = c.peerEnded || !errors.Is(err, os.ErrDeadlineExceeded)
		c.noteReason(c.readReason(err))
		if !c.busy && errors.Is(err, os.ErrDeadlineExceeded) {
			err = io.EOF
		}
	}
	return n, err
}

// readOnceMore reads an idle connection once more before it is closed: a read whose deadline has passed does not check
// for received bytes, and a request that has already come must not be lost. The rest of that request gets
// incompleteTime.
func (c *CallerConn) readOnceMore(b []byte) (int, error) {
	c.Conn.SetReadDeadline(c.owner.env.Now().Add(lastReadTime))
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// Guards against a machine so busy that the deadline passes before the read starts.
		if available := c.readAvailable(b); available > 0 {
			n, err = available, nil
		}
	}
	if n > 0 {
		c.Conn.SetReadDeadline(c.owner.env.Now().Add(incompleteTime))
	}
	return n, err
}

// readAvailable reads the received bytes, whatever the deadline, and returns their number.
func (c *CallerConn) readAvailable(b []byte) (n int) {
	c.mu.Lock()
	c.setDescriptor()
	c.mu.Unlock()
	if c.descriptor == nil {
		return 0
	}
	n, err := c.receive(b)
	if err != nil {
		return 0
	}
	return n
}

// bodyBegins marks that a body is being read from now on.
func (c *CallerConn) bodyBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body, c.bodyUnread, c.lastWaited = &bodyProgress{}, true, c.owner.env.Now()
	c.setDescriptor()
}

// LastWaited returns when the caller of a body was last waited for: what is known of the moment in which it wrote its last byte is
// only that this came no earlier.
func (c *CallerConn) LastWaited() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastWaited
}

// MarkBodyUnread marks that a body is coming that nobody will read.
func (c *CallerConn) MarkBodyUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyUnread = true
}

// readsBody reports whether a body is being read.
func (c *CallerConn) readsBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body != nil
}

// bodyEnded marks that no body is being read any more. complete says that no more of the body will come.
func (c *CallerConn) bodyEnded(complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body != nil {
		c.body, c.bodyStopped, c.bodyUnread = nil, false, !complete
		c.pipelinedBytes = len(c.pipelined)
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// stopBody interrupts the read of a body.
func (c *CallerConn) stopBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body != nil {
		c.bodyStopped = true
		c.Conn.SetReadDeadline(pastDeadline)
	}
}

// MarkPending marks that the connection has a pending request whose body is still coming.
func (c *CallerConn) MarkPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPending()
}

// setPending implements MarkPending; c.mu is held.
func (c *CallerConn) setPending() {
	c.finishAnswered() // guards against pipelined requests: the server reads no more between them
	c.markBusy()
	if !c.pending {
		c.pending, c.proven = true, true
		c.owner.pending.Add(1)
	}
	c.setDescriptor()
}

// setDescriptor makes the connection's descriptor available, if it has one; c.mu is held.
func (c *CallerConn) setDescriptor() {
	if conn, ok := c.Conn.(syscall.Conn); ok && c.descriptor == nil {
		c.descriptor, _ = conn.SyscallConn() // nil if the connection is already closed on this side
	}
}

// markBusy marks that a request has started to come; c.mu is held.
func (c *CallerConn) markBusy() {
	if !c.busy {
		c.busy, c.changedAt = true, c.owner.env.Now()
	}
}

// finishAnswered makes the connection idle when the server reads again after an answer: it does so only when the answer
// is written. c.mu is held.
func (c *CallerConn) finishAnswered() {
	if c.answered {
		c.answered, c.busy, c.changedAt = false, false, c.owner.env.Now()
		c.clearPending()
		c.releaseAnswer()
	}
}

// clearPending marks that there is no pending request any more; c.mu is held.
func (c *CallerConn) clearPending() {
	if c.pending {
		c.pending, c.pendingState = false, ""
		c.owner.pending.Add(-1)
	}
}

// releaseAnswer reports that the memory of the answer is no longer needed; c.mu is held.
func (c *CallerConn) releaseAnswer() {
	if c.onWritten != nil {
		c.onWritten()
		c.onWritten = nil
	}
}

// readReason returns the reason with which the connection ends after a failed read; c.mu is held.
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

// Write implements net.Conn for the server. A caller may read slowly, but must accept all of b within pieceStall. Once
// the connection is detached, bytes that are not yet written are recorded in unsent instead.
func (c *CallerConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.detached {
		c.unsent = append(c.unsent, b...)
		c.mu.Unlock()
		return len(b), nil
	}
	c.Conn.SetWriteDeadline(c.owner.env.Now().Add(pieceStall))
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	if c.detached && errors.Is(err, os.ErrDeadlineExceeded) {
		c.unsent = append(c.unsent, b[n:]...)
		n, err = len(b), nil
	}
	c.mu.Unlock()
	if err != nil {
		c.SetReason(ReasonWriteFailed)
	}
	return n, err
}

// SetReadDeadline implements net.Conn for the server. A connection that is to be closed keeps the deadline in the past.
func (c *CallerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && !c.busy {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// detach makes further writes only be recorded: another process is to send them.
func (c *CallerConn) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detached = true
	c.Conn.SetWriteDeadline(pastDeadline)
}

// markHandedOver marks that another process has taken over the connection: from now on, a shutdown or a lingering close
// here would affect that process.
func (c *CallerConn) markHandedOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handedOver = true
}

// unsentBytes returns the recorded writes.
func (c *CallerConn) unsentBytes() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsent
}

// MarkAnswered marks that the server has the answer to the current request. onWritten is called once, when the answer is
// written or the connection is closed.
func (c *CallerConn) MarkAnswered(onWritten func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishAnswered()
	c.answered, c.onWritten = true, onWritten
	c.requests++
}

// Requests returns the number of requests answered on the connection.
func (c *CallerConn) Requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// Pending returns the number of connections with a pending request, its body included or still coming.
func (l *Callers) Pending() int { return int(l.pending.Load()) }

// OverSoftLimit reports whether there are more pending requests than the soft limit of connections.
func (c *CallerConn) OverSoftLimit() bool {
	l := c.owner
	return l.pending.Load() > l.softLimit.Load()
}

// SetReason sets the reason for which the connection ends, unless it has one.
func (c *CallerConn) SetReason(reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteReason(reason)
}

// noteReason implements SetReason; c.mu is held.
func (c *CallerConn) noteReason(reason Reason) {
	if c.reason == "" {
		c.reason = reason
	}
}

func (c *CallerConn) closeOrder() closeOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.owner.env.Now()
	return closeOrder{
		proven: c.proven, changedAt: c.changedAt,
		recentlyIdle: !c.busy && !c.closing && !c.closed && now.Sub(c.changedAt) < minIdleTime,
	}
}

// closingSoon reports whether the connection will close without further action.
func (c *CallerConn) closingSoon() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.lingerStopped || c.owner.env.Now().Sub(c.closedAt) < minIdleTime
	}
	return c.closing && !c.pending
}

// stopLinger ends the lingering of a connection and reports whether it did. Guards against callers that keep descriptors
// in use that way: while connections are scarce, lingering ends after minIdleTime.
func (c *CallerConn) stopLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed || c.lingerStopped || c.owner.env.Now().Sub(c.closedAt) < minIdleTime {
		return false
	}
	c.lingerStopped = true
	c.Conn.SetReadDeadline(pastDeadline)
	return true
}

// abortIncomplete ends the reading of an incomplete request that began to come at least age ago, and reports whether it
// did. Guards against callers that occupy all connections with the beginnings of requests. The server still answers them,
// in case one has come completely meanwhile.
func (c *CallerConn) abortIncomplete(reason Reason, age time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy || c.pending || c.answered || c.closing || c.owner.env.Now().Sub(c.changedAt) < age {
		return false
	}
	c.closing = true
	c.noteReason(reason)
	c.Conn.SetReadDeadline(pastDeadline)
	return true
}

// closeIdle closes a connection that has been idle for minIdleTime and reports whether it did. A request whose first
// byte has come is still served: only the pending read is interrupted, and what it has read is never dropped. A new
// connection counts as idle only after that time, since its first request is about to come.
func (c *CallerConn) closeIdle(reason Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Guards against a stop that interrupts a lingering connection; to stay within the limit it may be interrupted.
	lingers := c.closed && reason != ReasonConnLimit
	if c.closing || c.busy || lingers || c.owner.env.Now().Sub(c.changedAt) < minIdleTime {
		return false
	}
	c.closing = true
	c.noteReason(reason)
	c.Conn.SetReadDeadline(pastDeadline)
	return true
}

// Closing reports whether the connection is to be closed after the current request.
func (c *CallerConn) Closing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
