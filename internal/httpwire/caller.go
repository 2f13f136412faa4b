package httpwire

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"heathgap/internal/env"
)

// Callers is the listener for callers. It tracks their connections and limits their number.
type Callers struct {
	net.Listener
	env       env.Env
	limit     atomic.Int64 // largest number of connections
	softLimit atomic.Int64 // connections beyond it are closed where possible; the spare ones are for callers that are being rejected and for connections that are being closed
	onEnd     func(c *CallerConn, why Reason)

	paused       atomic.Bool
	resume       chan struct{} // wakes a paused Accept; a stale wake-up only makes it check again
	closing      atomic.Bool
	closed       atomic.Bool
	backlogEmpty chan struct{} // closed by Accept when the backlog of a closing listener is empty
	freed        chan struct{} // wakes Accept at the limit; a stale wake-up only makes it check again

	pending   atomic.Int64 // connections with a pending request
	lingering atomic.Int64 // connections that are closed for writing and are read until the caller closes too

	mu         sync.Mutex
	conns      map[*CallerConn]struct{} // until their Close
	makingRoom bool                     // makeRoom is running or scheduled
}

// NewCallers wraps a listener. There are never more connections than the limit. Close to the limit, the connections that
// have been idle longest are closed; at the limit, new callers wait in the kernel's backlog. onEnd is called once for
// each connection that ends.
func NewCallers(l net.Listener, environment env.Env, limit int, onEnd func(c *CallerConn, why Reason)) *Callers {
	c := &Callers{
		Listener: l, env: environment, onEnd: onEnd, conns: map[*CallerConn]struct{}{},
		resume: make(chan struct{}, 1), backlogEmpty: make(chan struct{}), freed: make(chan struct{}, 1),
	}
	c.SetLimit(limit)
	return c
}

// spareDivisor sets the part of the limit (1/16) that is kept free above the soft limit.
const spareDivisor = 16

// SetLimit sets the largest number of connections. If there are more than the soft limit that follows from it, makeRoom
// closes idle ones, lingering ones and those with an incomplete request; those with a pending request continue.
func (l *Callers) SetLimit(limit int) {
	l.limit.Store(int64(limit))
	l.softLimit.Store(int64(max(1, limit-max(1, limit/spareDivisor))))
	l.mu.Lock()
	start := l.crowded() && !l.makingRoom
	l.makingRoom = l.makingRoom || start
	l.mu.Unlock()
	if start {
		l.makeRoom()
	}
}

// crowded reports whether connections have to be closed; l.mu is held.
func (l *Callers) crowded() bool {
	n := int64(len(l.conns))
	return n > l.softLimit.Load() || n >= l.limit.Load()
}

// deadlineSetter is a listener whose Accept can be interrupted by a deadline.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// Pause keeps Accept from accepting until Resume: meanwhile another process accepts on the same descriptor. Accepted
// connections are not affected.
func (l *Callers) Pause() {
	l.paused.Store(true)
	if d, ok := l.Listener.(deadlineSetter); ok {
		d.SetDeadline(pastDeadline)
	}
}

// Resume ends a pause.
func (l *Callers) Resume() {
	if d, ok := l.Listener.(deadlineSetter); ok {
		d.SetDeadline(time.Time{})
	}
	if l.paused.Swap(false) {
		select {
		case l.resume <- struct{}{}:
		default:
		}
	}
}

// Close stops accepting. Connections in the kernel's backlog are accepted before: closing a listener resets them, and
// they may already have sent a request.
func (l *Callers) Close() error {
	if d, ok := l.Listener.(deadlineSetter); ok && !l.paused.Load() {
		timer := l.env.NewTimer(backlogTimeout)
		l.closing.Store(true)
		d.SetDeadline(pastDeadline) // wakes Accept
		select {
		case <-l.backlogEmpty:
		case <-timer.C():
		}
		timer.Stop()
	}
	return l.CloseNow()
}

// CloseNow closes the listener at once; connections in the kernel's backlog are reset.
func (l *Callers) CloseNow() error {
	l.closed.Store(true)
	err := l.Listener.Close()
	l.Resume()
	l.signalFreed()
	return err
}

// Times and shares of the handling of callers' connections.
const (
	acceptRetryDelay = 5 * time.Millisecond   // after a failed accept: the process may be out of descriptors for a moment
	makeRoomInterval = 50 * time.Millisecond  // between searches for connections that can be closed
	minIdleTime      = 200 * time.Millisecond // a connection must have been idle for that long before it may be closed
	crowdDivisor     = 2                      // at most 1/2 of the limit is closed at once while others wait in the backlog
	// A request must have come completely within that time while connections are scarce, or if it began to come just as
	// its idle connection was being closed.
	incompleteTime = time.Second
	backlogPoll    = 20 * time.Millisecond  // how long a closing listener waits for each further connection in the backlog
	backlogTimeout = 100 * time.Millisecond // upper bound for all of them: new callers may keep coming
)

// Accept waits for the next connection. It fails only when the listener is closed: on any other error the server would
// stop, and a lack of descriptors must not lose connections that wait to be accepted.
func (l *Callers) Accept() (net.Conn, error) {
	conn, err := l.acceptOne()
	for err != nil {
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			if l.hasBacklog() { // an Accept whose deadline has passed does not check the backlog
				l.Listener.(deadlineSetter).SetDeadline(l.env.Now().Add(backlogPoll))
				break
			}
			err := l.Listener.Close() // right after the check, so that hardly anybody connects in between
			close(l.backlogEmpty)
			return nil, cmp.Or(err, net.ErrClosed)
		case l.paused.Load():
			<-l.resume
		case errors.Is(err, os.ErrDeadlineExceeded): // the pause has ended meanwhile
		default:
			l.closeOldest(1)
			l.env.Sleep(acceptRetryDelay)
		}
		conn, err = l.acceptOne()
	}
	c := &CallerConn{Conn: conn, owner: l, changedAt: l.env.Now()}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	start := l.crowded() && !l.makingRoom
	l.makingRoom = l.makingRoom || start
	l.mu.Unlock()
	if start {
		l.makeRoom()
	}
	return c, nil
}

// acceptOne accepts a connection once there are fewer than the limit. Guards against callers that take the descriptors
// which connections to endpoints, discovery and the console need: callers can never use those, however many come.
func (l *Callers) acceptOne() (net.Conn, error) {
	for int64(l.Open()) >= l.limit.Load() && !l.closed.Load() && !l.paused.Load() {
		timer := l.env.NewTimer(makeRoomInterval) // the limit may be raised meanwhile
		select {
		case <-l.freed:
		case <-timer.C():
		}
		timer.Stop()
	}
	return l.Listener.Accept()
}

// signalFreed makes Accept check the limit again.
func (l *Callers) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// hasBacklog reports whether a connection waits in the kernel's backlog.
func (l *Callers) hasBacklog() bool {
	raw, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = control.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waits = n > 0 && err == nil
	})
	return waits && err == nil
}

// makeRoom closes connections beyond the soft limit where it can, and runs again every makeRoomInterval while there are
// too many.
func (l *Callers) makeRoom() {
	all := l.all()
	l.mu.Lock()
	excess := len(l.conns) - int(l.softLimit.Load())
	full := len(l.conns) >= int(l.limit.Load())
	crowded := l.crowded()
	l.makingRoom = crowded
	l.mu.Unlock()
	if !crowded {
		return
	}
	excess = max(excess, 1)
	for _, c := range all {
		if c.closingSoon() {
			excess--
		}
	}
	l.closeOldest(excess)
	if full && l.hasBacklog() { // closing a few at a time would let a crowd delay usual callers for long
		l.closeSilent(int(l.limit.Load()) / crowdDivisor)
	}
	l.env.AfterFunc(makeRoomInterval, l.makeRoom)
}

// Open returns the number of connections.
func (l *Callers) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// CloseIdle closes all connections without a request.
func (l *Callers) CloseIdle(reason Reason) {
	for _, c := range l.all() {
		c.closeIdle(reason)
	}
}

// AbortIncomplete ends the reading of all requests that began to come at least age ago and are not complete. Each gets an
// answer that closes its connection.
func (l *Callers) AbortIncomplete(reason Reason, age time.Duration) {
	for _, c := range l.all() {
		c.abortIncomplete(reason, age)
	}
}

// closeOldest closes n connections: first idle ones, then lingering ones, then those with an incomplete request; among
// these, connections that never brought a valid request go first, then the oldest. Guards against floods of silent
// callers that displace usual ones: a connection that has brought a valid request stays as long as enough others will
// soon have been idle for minIdleTime.
func (l *Callers) closeOldest(n int) {
	all, order := l.byCloseOrder()
	for _, c := range all {
		if n > 0 && (c.closeIdle(ReasonConnLimit) || order[c].recentlyIdle && !order[c].proven) {
			n--
		}
	}
	abortOld := func(c *CallerConn) bool { return c.abortIncomplete(ReasonConnLimit, incompleteTime) }
	for _, closeConn := range []func(*CallerConn) bool{(*CallerConn).stopLinger, abortOld} {
		for _, c := range all {
			if n > 0 && closeConn(c) {
				n--
			}
		}
	}
}

// closeSilent closes n of the connections that never brought a valid request: idle, incomplete or lingering.
func (l *Callers) closeSilent(n int) {
	all, order := l.byCloseOrder()
	for _, c := range all {
		if n > 0 && !order[c].proven && (c.closeIdle(ReasonConnLimit) || c.stopLinger() || c.abortIncomplete(ReasonConnLimit, incompleteTime)) {
			n--
		}
	}
}

// byCloseOrder returns all connections in the order in which they are to be closed.
func (l *Callers) byCloseOrder() ([]*CallerConn, map[*CallerConn]closeOrder) {
	all := l.all()
	order := make(map[*CallerConn]closeOrder, len(all))
	for _, c := range all {
		order[c] = c.closeOrder()
	}
	slices.SortFunc(all, func(a, b *CallerConn) int { return order[a].compare(order[b]) })
	return all, order
}

// closeOrder determines which connection is closed first.
type closeOrder struct {
	proven       bool // it has brought a valid request
	recentlyIdle bool // it is idle, but for less than minIdleTime
	changedAt    time.Time
}

// compare returns -1 if a is to be closed before b: unproven connections first, then those that changed earliest.
func (a closeOrder) compare(b closeOrder) int {
	if a.proven != b.proven {
		if b.proven {
			return -1
		}
		return 1
	}
	return a.changedAt.Compare(b.changedAt)
}

// all returns the connections in no particular order.
func (l *Callers) all() []*CallerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*CallerConn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// CallerConn is a connection of a caller. fasthttp's server reads and writes it, but does not notice that a caller
// disconnects while a handler waits: Watch does.
type CallerConn struct {
	net.Conn
	owner *Callers

	mu             sync.Mutex
	reason         Reason    // the first that was found; empty until then
	busy           bool      // a request is being read, pending or being answered
	pending        bool      // it counts in Callers.pending: a request has come completely, or its body is still coming
	proven         bool      // it has brought a valid request
	answered       bool      // the handler has returned an answer; the server's next read is for another request
	onWritten      func()    // called when that answer is written, or will never be; nil otherwise
	closing        bool      // no further request is to be read
	changedAt      time.Time // when it last became idle or busy
	requests       int
	body           *bodyProgress // while a body is read; nil otherwise
	bodyStopped    bool          // no more of the body is wanted
	detached       bool          // writes are only recorded in unsent: another process is to continue the current answer
	handedOver     bool          // another process has taken over the connection
	unsent         []byte        // recorded writes: one piece at most
	bodyUnread     bool          // a body has not been read to its end: what still comes must be read before the close
	pipelined      []byte        // bytes that came during Watch, which the next Reads return
	pipelinedBytes int           // number of bytes that came after the current request, kept or not
	peerEnded      bool          // the caller has closed it, it failed, or it floods: no answer can be lost by closing it
	watchDone      chan struct{} // closed when the watch has ended; nil without a watch
	closed         bool          // Close was called; the connection may still linger
	closedAt       time.Time     // when Close was called first
	lingerStopped  bool          // lingering was ended early
	endState       ConnState     // what it was doing when it was closed; valid once it is closed
	dropped        int           // bytes that were read and dropped after it was closed for writing
	requestID      string        // the caller's id of the request that it brought last

	descriptor   syscall.RawConn // set with its first pending request; nil if the connection has no descriptor
	disconnected atomic.Bool     // its caller was seen to have disconnected
}

// pastDeadline is a deadline in the past: it interrupts a pending read at once.
var pastDeadline = time.Unix(1, 0)

// lastReadTime is how long an idle connection is still read before it is closed.
const lastReadTime = time.Millisecond

// Read implements net.Conn for the server. An idle connection that times out, or that is to be closed, reads as closed
// by its caller: the server then closes it without an answer, which the caller could take for the answer to a request
// that it is just sending.
func (c *CallerConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.finishAnswered()
	if len(c.pipelined) > 0 {
		n := copy(b, c.pipelined)
		c.pipelined = c.pipelined[n:]
		c.markBusy()
		c.mu.Unlock()
		return n, nil
	}
	idle, began := !c.busy, time.Time{}
	if c.body != nil {
		began = c.owner.env.Now()
		if c.Conn.SetReadDeadline(began.Add(c.body.timeLeft())); c.bodyStopped {
			c.Conn.SetReadDeadline(pastDeadline)
		}
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	if n == 0 && idle && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readOnceMore(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body != nil && !began.IsZero() {
		c.body.received += n
		c.body.waited += c.owner.env.Now().Sub(began)
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
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	err = control.Control(func(fd uintptr) {
		if got, _, err := unix.Recvfrom(int(fd), b, unix.MSG_DONTWAIT); err == nil {
			n = got
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// bodyBegins marks that a body is being read from now on.
func (c *CallerConn) bodyBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body, c.bodyUnread = &bodyProgress{}, true
}

// MarkBodyUnread marks that a body is coming that nobody will read.
func (c *CallerConn) MarkBodyUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyUnread = true
}

// bodyEnded marks that no body is being read any more. complete says that no more of the body will come.
func (c *CallerConn) bodyEnded(complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body != nil {
		c.body, c.bodyStopped, c.bodyUnread = nil, false, !complete
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
		c.pending = false
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

// Watch calls onLeave once if the caller disconnects before Unwatch is called. It is called when a request has come
// completely.
func (c *CallerConn) Watch(onLeave func()) {
	done := make(chan struct{})
	c.watchDone = done
	c.mu.Lock()
	c.setPending()
	c.pipelinedBytes = len(c.pipelined)
	c.Conn.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	c.owner.env.Go("watch", func() {
		defer close(done)
		if c.readUntilGone() {
			c.disconnected.Store(true)
			c.SetReason(ReasonCallerLeft)
			onLeave()
		}
	})
}

// readUntilGone reads until Unwatch or until the caller disconnects, and reports whether it has disconnected. It does
// not stop at bytes that come after the request: guards against callers that send much and then disconnect, whose
// disconnect can only be read after all those bytes.
func (c *CallerConn) readUntilGone() (gone bool) {
	var first [1]byte
	buf := first[:]
	for {
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		flooded := c.keepPipelined(buf[:n])
		c.mu.Unlock()
		switch {
		case flooded:
			return true
		case err == nil && len(buf) == len(first):
			buf = make([]byte, initialBodySize) // only for callers that pipeline: a flood of connections must take little memory
		case err != nil && errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case err != nil:
			c.mu.Lock()
			c.peerEnded = true
			c.mu.Unlock()
			return true
		}
	}
}

// Limits for bytes that come after a request before it is answered. Usual callers send one request at a time; pipelined
// ones are served as long as their bytes fit into maxPipelinedKept. A caller that sends more than maxPipelined is not
// waiting for an answer.
const (
	maxPipelinedKept = MaxHead
	maxPipelined     = 1 << 20
)

// keepPipelined keeps bytes that came after a request and reports whether they exceed maxPipelined; c.mu is held. Beyond
// maxPipelinedKept nothing is kept: the connection is closed after the current request, since what follows can't be read
// any more.
func (c *CallerConn) keepPipelined(b []byte) (flooded bool) {
	c.pipelinedBytes += len(b)
	if c.pipelinedBytes > maxPipelinedKept {
		c.pipelined, c.closing = nil, true
	} else {
		c.pipelined = append(c.pipelined, b...)
	}
	c.peerEnded = c.peerEnded || c.pipelinedBytes > maxPipelined // it gets no answer that a close could destroy
	return c.pipelinedBytes > maxPipelined
}

// Disconnected reports whether the caller has closed the connection, in one direction or both, or reset it. It checks
// with the kernel: the watch may not have run yet, there is no watch while a body is still coming, and a disconnect can
// only be read after all unread bytes. Any goroutine may call it while a request is pending.
func (c *CallerConn) Disconnected() bool {
	if c.disconnected.Load() {
		return true
	}
	if !c.hungUp() {
		return false
	}
	c.disconnected.Store(true)
	c.SetReason(ReasonCallerLeft)
	return true
}

// hungUp asks the kernel whether the caller has closed or reset the connection. Unread bytes don't hide that from
// POLLRDHUP, as they do from a read.
func (c *CallerConn) hungUp() bool {
	if reporter, ok := c.Conn.(interface{ HungUp() bool }); ok { // simulated connections know it themselves
		return reporter.HungUp()
	}
	if c.descriptor == nil {
		return false
	}
	hungUp := false
	err := c.descriptor.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds[:], 0)
		if err == unix.EINTR { // retry once: a signal handler ran in between
			n, err = unix.Poll(fds[:], 0)
		}
		hungUp = n > 0 && err == nil
	})
	return hungUp || err != nil // an error means that it is closed on this side
}

// Unwatch ends the watch; after it, the server may read again.
func (c *CallerConn) Unwatch() {
	c.Conn.SetReadDeadline(pastDeadline)
	<-c.watchDone
	c.watchDone = nil
	c.Conn.SetReadDeadline(time.Time{})
}

// Close closes the connection and reports its reason, once.
func (c *CallerConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	if first {
		c.endState = c.state()
		c.closed, c.closedAt = true, c.owner.env.Now()
	}
	c.clearPending()
	c.releaseAnswer()
	c.noteReason(ReasonCloseRequested)
	reason, linger := c.reason, c.lingerTime()
	c.mu.Unlock()
	if first {
		c.linger(linger)
	}
	err := c.Conn.Close()
	if first { // only now: its descriptor counts until it is closed
		l := c.owner
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		l.signalFreed()
		l.onEnd(c, reason)
	}
	return err
}

// How this side closes a connection. Closing a connection with unread bytes resets it, which may destroy the answer that
// is on its way, and bytes may come at any moment. So the connection lingers: it is closed for writing first, and what
// still comes is read and dropped.
const (
	longLinger    = 5 * time.Second        // for an unwanted body or a flood: longer than most bodies take
	shortLinger   = 500 * time.Millisecond // otherwise: callers close when they see that this side is closed
	lingerDivisor = 4                      // at most 1/4 of the limit of connections lingers at a time: a flood must not keep descriptors in use
	minLingering  = 16                     // but always that many
)

// lingerTime returns how long to read before the connection is closed; c.mu is held.
func (c *CallerConn) lingerTime() time.Duration {
	switch {
	case c.handedOver, c.peerEnded: // another process writes to it; or the caller is gone
		return 0
	case c.bodyUnread:
		return longLinger
	case c.reason == ReasonConnLimit && !c.busy: // idle for long: nothing is on its way, and its descriptor is needed
		return 0
	}
	return shortLinger
}

// linger closes the connection for writing and reads until the caller closes it too, or the limit has passed.
func (c *CallerConn) linger(limit time.Duration) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if limit == 0 || !ok {
		return
	}
	defer c.owner.lingering.Add(-1)
	maxLingering := max(c.owner.limit.Load()/lingerDivisor, minLingering)
	if c.owner.lingering.Add(1) > maxLingering && limit == shortLinger || half.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	if !c.lingerStopped {
		c.Conn.SetReadDeadline(c.owner.env.Now().Add(limit))
	}
	c.mu.Unlock()
	buf := make([]byte, initialBodySize) // mostly little or nothing comes
	if limit == longLinger {
		piece := pieceBuffers.Get().(*[pieceSize]byte)
		defer pieceBuffers.Put(piece)
		buf = piece[:]
	}
	for left := MaxBody; left > 0; {
		n, err := c.Conn.Read(buf)
		c.countDropped(n)
		if err != nil {
			return
		}
		left -= n
	}
}

// countDropped records that bytes were read and dropped after the connection was closed for writing.
func (c *CallerConn) countDropped(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped += n
}
