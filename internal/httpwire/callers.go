package httpwire

import (
	"cmp"
	"errors"
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

	aheadWait time.Duration // see DisconnectedBehindUnread

	bodyMemory  *MemoryBudget // for bodies of requests; nil for no limit
	bodiesEnded atomic.Int64  // when abortOldBodies last ran, in milliseconds since the start of the epoch

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
		aheadWait: aheadWait, resume: make(chan struct{}, 1), backlogEmpty: make(chan struct{}), freed: make(chan struct{}, 1),
	}
	c.SetLimit(limit)
	return c
}

// SetBodyMemory sets the memory that bodies of requests may take beyond the first bytes of each. It is called before Accept.
func (l *Callers) SetBodyMemory(budget *MemoryBudget) { l.bodyMemory = budget }

// How long the reading of a body pauses for want of memory before its request is refused. Bodies that are no longer needed are over
// within that time, and callers that come again at once when they are refused have their pause too.
const (
	bodyMemoryWait = 250 * time.Millisecond
	bodyMemoryPoll = 25 * time.Millisecond
)

// awaitBodyMemory waits until more memory is reserved for a body, and reports whether it is.
func (c *CallerConn) awaitBodyMemory(memory *Reservation, more int) bool {
	for range bodyMemoryWait / bodyMemoryPoll {
		c.owner.abortOldBodies()
		c.owner.env.Sleep(bodyMemoryPoll)
		if memory.Grow(more) {
			return true
		}
	}
	return false
}

// abortOldBodies ends the reading of bodies that have been coming for incompleteTime, because there is no memory for others. It does
// so at most once each makeRoomInterval.
func (l *Callers) abortOldBodies() {
	now, last := l.env.Now().UnixMilli(), l.bodiesEnded.Load()
	if now-last < makeRoomInterval.Milliseconds() || !l.bodiesEnded.CompareAndSwap(last, now) {
		return
	}
	for _, c := range l.all() {
		if c.State() == StateReading && c.readsBody() {
			c.abortIncomplete(ReasonMemory, incompleteTime)
		}
	}
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
	c.pipelinedMemory.budget = l.bodyMemory
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
