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

// Callers accepts the connections of callers and keeps track of them.
type Callers struct {
	net.Listener
	env       env.Env
	limit     atomic.Int64 // connections that there may be at all
	softLimit atomic.Int64 // of them, those that may stay; the rest is for callers that are turned away, and for room that is being made
	onEnd     func(c *CallerConn, why Reason)

	paused       atomic.Bool
	resume       chan struct{} // one that is stale only has Accept look again
	closing      atomic.Bool
	closed       atomic.Bool
	backlogEmpty chan struct{} // closed by Accept: nobody stands in the queue of a listener that closes
	freed        chan struct{} // one that is stale only has Accept look again

	pending   atomic.Int64 // connections with a whole request on them
	lingering atomic.Int64 // connections that have ended on this side, and are read out

	mu         sync.Mutex
	conns      map[*CallerConn]struct{} // until Close
	makingRoom bool                     // makeRoom is at work, or will be
}

// NewCallers wraps a listener. There are never more connections than the limit: close to it, those that have been idle
// longest make room, and who comes at the limit waits in the kernel's queue for that. ended is called once for each that ends.
func NewCallers(l net.Listener, environment env.Env, limit int, onEnd func(c *CallerConn, why Reason)) *Callers {
	c := &Callers{
		Listener: l, env: environment, onEnd: onEnd, conns: map[*CallerConn]struct{}{},
		resume: make(chan struct{}, 1), backlogEmpty: make(chan struct{}), freed: make(chan struct{}, 1),
	}
	c.SetLimit(limit)
	return c
}

// spareDivisor is so large a part of the connections as is kept free of those that stay.
const spareDivisor = 16

// SetLimit sets how many connections there may be. What is idle beyond that ends; what is in use goes on.
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

// crowded tells whether room is to be made; l.mu is held.
func (l *Callers) crowded() bool {
	n := int64(len(l.conns))
	return n > l.softLimit.Load() || n >= l.limit.Load()
}

// deadlineSetter is a listener whose Accept can be made to end.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// Pause keeps Accept from accepting until Resume: another process does meanwhile, on
// the same descriptor. What has been accepted is not touched.
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

// Close ends accepting. Who stands in the kernel's queue by then is accepted: a listener that closes resets them, and
// they may have asked something already.
func (l *Callers) Close() error {
	if d, ok := l.Listener.(deadlineSetter); ok && !l.paused.Load() {
		timer := l.env.NewTimer(backlogTimeout)
		l.closing.Store(true)
		d.SetDeadline(pastDeadline) // Accept looks up
		select {
		case <-l.backlogEmpty:
		case <-timer.C():
		}
		timer.Stop()
	}
	return l.CloseNow()
}

// CloseNow ends accepting; who stands in the kernel's queue is reset.
func (l *Callers) CloseNow() error {
	l.closed.Store(true)
	err := l.Listener.Close()
	l.Resume()
	l.signalFreed()
	return err
}

// Pauses of the callers' side.
const (
	acceptRetryDelay = 5 * time.Millisecond   // after a failed accept: descriptors may run out for a moment
	makeRoomInterval = 50 * time.Millisecond  // between looks for connections that can make room
	minIdleTime      = 200 * time.Millisecond // a connection stands idle so long before it may be ended
	crowdDivisor     = 2                      // so large a part of all connections makes room at once while others wait for it
	incompleteTime   = time.Second            // a request may take so long to come whole while room is short
	backlogPoll      = 20 * time.Millisecond  // for who stands in the queue of a listener that closes
	backlogTimeout   = 100 * time.Millisecond // it closes by then in any case: somebody may always come
)

// Accept waits for the next connection. It fails only when the listener is
// closed: the server would end on any other error, and what waits to be accepted
// must not be lost for want of a descriptor.
func (l *Callers) Accept() (net.Conn, error) {
	conn, err := l.acceptOne()
	for err != nil {
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			if l.hasBacklog() { // a deadline that has passed has Accept not look at all
				l.Listener.(deadlineSetter).SetDeadline(l.env.Now().Add(backlogPoll))
				break
			}
			err := l.Listener.Close() // in the same breath: nobody comes in between
			close(l.backlogEmpty)
			return nil, cmp.Or(err, net.ErrClosed)
		case l.paused.Load():
			<-l.resume
		case errors.Is(err, os.ErrDeadlineExceeded): // a pause that has ended since
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

// acceptOne accepts once there is room. Guards against callers that take the descriptors without which no endpoint,
// discovery or console is reached: what is kept for these is not to be had, however many callers come.
func (l *Callers) acceptOne() (net.Conn, error) {
	for int64(l.Open()) >= l.limit.Load() && !l.closed.Load() && !l.paused.Load() {
		timer := l.env.NewTimer(makeRoomInterval) // the limit may have been raised
		select {
		case <-l.freed:
		case <-timer.C():
		}
		timer.Stop()
	}
	return l.Listener.Accept()
}

// signalFreed has Accept look for room again.
func (l *Callers) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// hasBacklog tells whether somebody stands in the kernel's queue.
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

// makeRoom ends connections until there are no more than may stay.
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
	if full && l.hasBacklog() { // a few at a time would keep usual callers behind a crowd for long
		l.closeSilent(int(l.limit.Load()) / crowdDivisor)
	}
	l.env.AfterFunc(makeRoomInterval, l.makeRoom)
}

// Open is how many connections there are.
func (l *Callers) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// CloseIdle ends all connections on which no request stands.
func (l *Callers) CloseIdle(reason Reason) {
	for _, c := range l.all() {
		c.closeIdle(reason)
	}
}

// closeOldest ends connections that are idle, then those that are only read out, and then those that hold half a
// request: first those that never brought a good one, then the oldest. Guards against floods of callers that say nothing
// and take the place of usual ones: one that has brought a good request stands as long as others are about to be idle for
// long enough.
func (l *Callers) closeOldest(n int) {
	all, order := l.byCloseOrder()
	for _, c := range all {
		if n > 0 && (c.closeIdle(ReasonConnLimit) || order[c].recentlyIdle && !order[c].proven) {
			n--
		}
	}
	for _, closeConn := range []func(*CallerConn) bool{(*CallerConn).stopLinger, (*CallerConn).abortIncomplete} {
		for _, c := range all {
			if n > 0 && closeConn(c) {
				n--
			}
		}
	}
}

// closeSilent ends n of those that never brought a good request: idle, half a one, or only read out.
func (l *Callers) closeSilent(n int) {
	all, order := l.byCloseOrder()
	for _, c := range all {
		if n > 0 && !order[c].proven && (c.closeIdle(ReasonConnLimit) || c.stopLinger() || c.abortIncomplete()) {
			n--
		}
	}
}

// byCloseOrder returns all connections, those that end first first.
func (l *Callers) byCloseOrder() ([]*CallerConn, map[*CallerConn]closeOrder) {
	all := l.all()
	order := make(map[*CallerConn]closeOrder, len(all))
	for _, c := range all {
		order[c] = c.closeOrder()
	}
	slices.SortFunc(all, func(a, b *CallerConn) int { return order[a].compare(order[b]) })
	return all, order
}

// closeOrder is what decides which connection ends first.
type closeOrder struct {
	proven       bool // it has brought a good request
	recentlyIdle bool // it is idle, and may be ended soon
	changedAt    time.Time
}

func (a closeOrder) compare(b closeOrder) int {
	if a.proven != b.proven {
		if b.proven {
			return -1
		}
		return 1
	}
	return a.changedAt.Compare(b.changedAt)
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

	mu             sync.Mutex
	reason         Reason    // the first that was found; empty while none is
	busy           bool      // a request is being read, held or answered
	pending        bool      // a request has come whole
	proven         bool      // a good one has come
	answered       bool      // the handler has its answer; the server's next read is for another request
	onWritten      func()    // to be called when that answer is written, or never will be; nil otherwise
	closing        bool      // no further request is to be read
	changedAt      time.Time // when it last became idle, or busy
	requests       int
	body           *bodyProgress // while a body is read; nil else
	bodyStopped    bool          // no more of a body is wanted
	detached       bool          // another process goes on with the answer at hand
	handedOver     bool          // that process has the connection
	unsent         []byte        // of it, what was not written here: a piece at most
	bodyUnread     bool          // a body has not come to its end: what still comes must be read before a close
	pipelined      []byte        // what came while Watch looked; the next Reads return it
	pipelinedBytes int           // how much that was in all, behind the request at hand
	peerEnded      bool          // its caller has ended it, or it has broken: no more comes
	watchDone      chan struct{} // closed when the watch has ended; nil while there is none
	closed         bool
	closedAt       time.Time
	lingerStopped  bool // it is read out no further

	descriptor   syscall.RawConn // set when it first holds a request; nil where the connection has no descriptor
	disconnected atomic.Bool     // its caller was seen to be gone
}

// pastDeadline is a deadline that has passed: it ends a pending read at once.
var pastDeadline = time.Unix(1, 0)

// lastReadTime is how long a connection that is to end is still read.
const lastReadTime = time.Millisecond

// Read reads for the server. An idle connection that times out, or that is to
// end, reads as closed by its caller: the server then ends it in silence, where
// an answer would be taken for one to a request that is on its way.
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

// readOnceMore reads once more when an idle connection is about to end: a read whose
// deadline has passed does not look at what has come, and a request that stands
// there already must not be lost. The rest of it gets the time that it may need.
func (c *CallerConn) readOnceMore(b []byte) (int, error) {
	c.Conn.SetReadDeadline(c.owner.env.Now().Add(lastReadTime))
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// Guards against a machine so busy that the deadline passes before the read begins.
		if available := c.readAvailable(b); available > 0 {
			n, err = available, nil
		}
	}
	if n > 0 {
		c.Conn.SetReadDeadline(c.owner.env.Now().Add(incompleteTime))
	}
	return n, err
}

// readAvailable reads what stands there, whatever deadline has passed, and returns how much that is.
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

// bodyBegins marks that a body is read from here on.
func (c *CallerConn) bodyBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body, c.bodyUnread = &bodyProgress{}, true
}

// MarkBodyUnread marks that a body comes that nobody will read.
func (c *CallerConn) MarkBodyUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyUnread = true
}

// bodyEnded marks that no body is read any more, and whether nothing more of it comes.
func (c *CallerConn) bodyEnded(complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body != nil {
		c.body, c.bodyStopped, c.bodyUnread = nil, false, !complete
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// stopBody ends the read of a body that is under way.
func (c *CallerConn) stopBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body != nil {
		c.bodyStopped = true
		c.Conn.SetReadDeadline(pastDeadline)
	}
}

// MarkPending marks that the connection holds a request whose body still comes.
func (c *CallerConn) MarkPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPending()
}

// setPending does that; c.mu is held.
func (c *CallerConn) setPending() {
	c.finishAnswered() // guards against requests written at once: the server reads no more between them
	c.markBusy()
	if !c.pending {
		c.pending, c.proven = true, true
		c.owner.pending.Add(1)
	}
	if conn, ok := c.Conn.(syscall.Conn); ok && c.descriptor == nil {
		c.descriptor, _ = conn.SyscallConn() // nil if it is closed here
	}
}

// markBusy marks that a request has begun to come; c.mu is held.
func (c *CallerConn) markBusy() {
	if !c.busy {
		c.busy, c.changedAt = true, c.owner.env.Now()
	}
}

// finishAnswered makes the connection idle once the server reads on behind an answer:
// it does so when the answer is written. c.mu is held.
func (c *CallerConn) finishAnswered() {
	if c.answered {
		c.answered, c.busy, c.changedAt = false, false, c.owner.env.Now()
		c.clearPending()
		c.releaseAnswer()
	}
}

// clearPending marks that no whole request is held any more; c.mu is held.
func (c *CallerConn) clearPending() {
	if c.pending {
		c.pending = false
		c.owner.pending.Add(-1)
	}
}

// releaseAnswer tells that the answer needs its memory no more; c.mu is held.
func (c *CallerConn) releaseAnswer() {
	if c.onWritten != nil {
		c.onWritten()
		c.onWritten = nil
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

// Write writes for the server. A caller may take its time, and must take some bytes
// within pieceStall.
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

// SetReadDeadline is the server's; one that is to end keeps the past one.
func (c *CallerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && !c.busy {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// detach has what is written from now on only noted: another process is to write it.
func (c *CallerConn) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detached = true
	c.Conn.SetWriteDeadline(pastDeadline)
}

// markHandedOver marks that another process has the connection: what this one does to it, that one would meet.
func (c *CallerConn) markHandedOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handedOver = true
}

// unsentBytes returns what was written and only noted.
func (c *CallerConn) unsentBytes() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsent
}

// MarkAnswered marks that the server has the answer to the request at hand. written is
// called once, when that is written or its connection ends.
func (c *CallerConn) MarkAnswered(onWritten func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishAnswered()
	c.answered, c.onWritten = true, onWritten
	c.requests++
}

// Requests is how many requests it has carried.
func (c *CallerConn) Requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests
}

// Pending is how many connections hold a whole request, or one whose body still comes.
func (l *Callers) Pending() int { return int(l.pending.Load()) }

// Crowded tells whether more requests are held than there should be connections.
func (c *CallerConn) Crowded() bool {
	l := c.owner
	return l.pending.Load() > l.softLimit.Load()
}

// SetReason sets why the connection ends, unless that is known already.
func (c *CallerConn) SetReason(reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteReason(reason)
}

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

// closingSoon tells whether it is about to end by itself.
func (c *CallerConn) closingSoon() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.lingerStopped || c.owner.env.Now().Sub(c.closedAt) < minIdleTime
	}
	return c.closing && !c.pending
}

// stopLinger ends the reading out of a connection that has ended on this side, and tells whether it does. Guards against
// callers that keep descriptors so: for as long as room is short it takes settleTime.
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

// abortIncomplete ends the reading of a request that does not come whole, and tells
// whether it does. Guards against callers that hold all connections with the
// beginnings of requests. The server answers them, in case one has come after all.
func (c *CallerConn) abortIncomplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy || c.pending || c.closing || c.owner.env.Now().Sub(c.changedAt) < incompleteTime {
		return false
	}
	c.closing = true
	c.noteReason(ReasonConnLimit)
	c.Conn.SetReadDeadline(pastDeadline)
	return true
}

// closeIdle ends a connection that has been idle for a while, and tells whether it
// does. A request whose first byte has come is still served: only the pending
// read is ended, never what it has brought. On a new connection the first
// request is about to come.
func (c *CallerConn) closeIdle(reason Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Guards against a stop that cuts short what lingers already; where room is wanted it may be cut short.
	lingers := c.closed && reason != ReasonConnLimit
	if c.closing || c.busy || lingers || c.owner.env.Now().Sub(c.changedAt) < minIdleTime {
		return false
	}
	c.closing = true
	c.noteReason(reason)
	c.Conn.SetReadDeadline(pastDeadline)
	return true
}

// Closing tells whether the connection is to end with the request at hand.
func (c *CallerConn) Closing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// Watch calls left once if the caller goes before Unwatch is called. It begins
// when a request has come whole.
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

// readUntilGone reads until the watch is to end or the caller has gone, and tells whether it has. It does not stop at what comes
// behind the request: guards against callers that send much at once and go, whose end stands behind all that.
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
			buf = make([]byte, initialBodySize) // one for each caller that writes ahead: a flood of them must stay small
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

// What may come behind a request before it is answered, in bytes. Callers ask one thing at a time; those that write the
// next ahead are served as long as it is kept. Who pours on and on waits for no answer.
const (
	maxPipelinedKept = MaxHead
	maxPipelined     = 1 << 20
)

// keepPipelined keeps what came behind a request, and tells whether it was more than anybody waits behind; c.mu is held. Beyond
// maxPipelinedKept nothing is kept: the connection ends with the request at hand, since what follows can't be read any more.
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

// Disconnected tells whether its caller has ended the connection, one way or both, or broken it. It asks the kernel, once:
// the watch may not have run yet, nobody watches while a body still comes, and an end stands behind all that was not read.
// Any goroutine may ask while a request is held.
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

// hungUp is the kernel's word for that. Bytes that were not read don't hide an end from POLLRDHUP, as they do from a read.
func (c *CallerConn) hungUp() bool {
	if reporter, ok := c.Conn.(interface{ HungUp() bool }); ok { // it knows by itself
		return reporter.HungUp()
	}
	if c.descriptor == nil {
		return false
	}
	hungUp := false
	err := c.descriptor.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds[:], 0)
		if err == unix.EINTR { // once more: a signal's handler has run in between
			n, err = unix.Poll(fds[:], 0)
		}
		hungUp = n > 0 && err == nil
	})
	return hungUp || err != nil // an error: it is closed on this side
}

// Unwatch ends the watch; the server may read again.
func (c *CallerConn) Unwatch() {
	c.Conn.SetReadDeadline(pastDeadline)
	<-c.watchDone
	c.watchDone = nil
	c.Conn.SetReadDeadline(time.Time{})
}

// Close ends the connection and tells why, once.
func (c *CallerConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	if first {
		c.closed, c.closedAt = true, c.owner.env.Now()
	}
	c.clearPending()
	c.releaseAnswer()
	c.noteReason(ReasonAskedClose)
	reason, linger := c.reason, c.lingerTime()
	c.mu.Unlock()
	if first {
		c.linger(linger)
	}
	err := c.Conn.Close()
	if first { // only now: its descriptor counts until it is free
		l := c.owner
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		l.signalFreed()
		l.onEnd(c, reason)
	}
	return err
}

// How a connection ends from this side. A close over unread bytes is a reset, which may take the answer with it that is
// on its way, and bytes may come at any moment: so it is ended one way, and what still comes is read and dropped.
const (
	longLinger    = 5 * time.Second        // a body that nobody wants, or a flood: longer than most bodies take
	shortLinger   = 500 * time.Millisecond // else: callers end their side when they see the end of this one
	lingerDivisor = 4                      // so large a part of all connections may end so at once: a flood must not keep descriptors
	minLingering  = 16                     // but so many always
)

// lingerTime is how long is read on before the connection is closed; c.mu is held.
func (c *CallerConn) lingerTime() time.Duration {
	switch {
	case c.handedOver, c.peerEnded: // another process writes to it; nobody is there
		return 0
	case c.bodyUnread:
		return longLinger
	case c.reason == ReasonConnLimit && !c.busy: // it has been idle for long: nothing is on its way, and its place is needed
		return 0
	}
	return shortLinger
}

// linger ends the sending side and reads what still comes until the caller ends too, for a time at most.
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
	buf := make([]byte, initialBodySize) // little comes, most often nothing
	if limit == longLinger {
		piece := pieceBuffers.Get().(*[pieceSize]byte)
		defer pieceBuffers.Put(piece)
		buf = piece[:]
	}
	for left := MaxBody; left > 0; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}
