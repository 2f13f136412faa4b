package httpwire

import (
	"cmp"
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

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
	if c.descriptor == nil {
		return c.readConnUntilGone()
	}
	err := c.descriptor.Read(func(uintptr) bool {
		gone = c.readAhead()
		return gone
	})
	return gone || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// readConnUntilGone is readUntilGone for a connection without a descriptor, as in a simulation.
func (c *CallerConn) readConnUntilGone() (gone bool) {
	buf := make([]byte, initialBodySize)
	for {
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		flooded := c.keepPipelined(buf[:n])
		gone := flooded || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		c.peerEnded = c.peerEnded || gone
		c.mu.Unlock()
		if gone || err != nil {
			return gone
		}
	}
}

// readAhead reads all bytes that have come after the present request, and reports whether the caller has disconnected behind them. The
// watch and the goroutine of an attempt may both call it: each byte is kept in its place.
func (c *CallerConn) readAhead() (gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first [1]byte
	buf := first[:]
	for {
		n, err := c.receive(buf)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return false
		case n == 0 || err != nil:
			c.peerEnded = true
			return true
		case c.keepPipelined(buf[:n]):
			return true
		case len(buf) == len(first):
			buf = make([]byte, initialBodySize) // only for callers that pipeline: a flood of connections must take little memory
		}
	}
}

// receive reads what the kernel has, without waiting. n is 0 without an error if the caller has closed the connection.
func (c *CallerConn) receive(b []byte) (n int, err error) {
	controlErr := c.descriptor.Control(func(fd uintptr) {
		for {
			if n, _, err = unix.Recvfrom(int(fd), b, unix.MSG_DONTWAIT); !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	return max(0, n), cmp.Or(controlErr, err)
}

// Limits for bytes that come after a request before it is answered. Usual callers send one request at a time; pipelined
// ones are served as long as their bytes fit into maxPipelinedKept and into the memory for bodies. A caller that sends more than maxPipelined is not
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
	if c.pipelinedBytes > maxPipelinedKept || len(b) > 0 && !c.pipelinedMemory.Grow(len(b)) {
		c.pipelined, c.closing = nil, true
		c.pipelinedBytes = max(c.pipelinedBytes, maxPipelinedKept+1) // what follows can't be read either
		c.pipelinedMemory.Release()
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
	c.markDisconnected()
	return true
}

// Limits on the look behind the bytes that a caller has written ahead.
const (
	aheadWait   = 2 * time.Millisecond // that further bytes are awaited behind those that were read: the caller's machine sends them once there is room
	aheadStep   = 500 * time.Microsecond
	aheadRounds = 100 // waits at most: a caller may go on sending
)

// DisconnectedBehindUnread is Disconnected where further bytes may stand between a request that has come completely and its caller's
// close: as long as they fill the kernel's buffers, the close can't come. It reads them.
func (c *CallerConn) DisconnectedBehindUnread() bool {
	if c.descriptor == nil || c.disconnected.Load() {
		return c.Disconnected()
	}
	events, err := c.poll(unix.POLLIN | unix.POLLRDHUP)
	for range aheadRounds {
		switch {
		case err != nil || events&^unix.POLLIN != 0 || events != 0 && c.readAhead():
			c.markDisconnected()
			return true
		case events == 0 || !c.isFarAhead():
			return false
		}
		events, err = c.awaitMore()
	}
	return false
}

// awaitMore waits until more has come from the caller, for Callers.aheadWait at most, and returns the same as poll.
func (c *CallerConn) awaitMore() (events int16, err error) {
	events, err = c.poll(unix.POLLIN | unix.POLLRDHUP)
	for waited := time.Duration(0); events == 0 && err == nil && waited < c.owner.aheadWait; waited += aheadStep {
		c.owner.env.Sleep(aheadStep)
		events, err = c.poll(unix.POLLIN | unix.POLLRDHUP)
	}
	return events, err
}

// isFarAhead reports whether the caller has written more ahead than is kept, so that a close may stand behind what the kernel takes.
func (c *CallerConn) isFarAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipelinedBytes > maxPipelinedKept
}

// markDisconnected records that the caller was seen to have disconnected.
func (c *CallerConn) markDisconnected() {
	c.disconnected.Store(true)
	c.SetReason(ReasonCallerLeft)
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
	events, err := c.poll(unix.POLLRDHUP)
	return events != 0 || err != nil // an error means that it is closed on this side
}

// readable reports whether a read would return at once. Without a descriptor, as in a simulation, it reports false.
func (c *CallerConn) readable() bool {
	if c.descriptor == nil {
		return false
	}
	events, err := c.poll(unix.POLLIN | unix.POLLRDHUP)
	return events != 0 || err != nil // an error means that it is closed on this side
}

// UnreadBytes returns how many bytes of the caller the kernel has that were not read yet; 0 without a descriptor. Any goroutine may call
// it while a request is pending.
func (c *CallerConn) UnreadBytes() (unread int) {
	if c.descriptor == nil {
		return 0
	}
	c.descriptor.Control(func(fd uintptr) { //nolint:errcheck // a closed connection has none
		unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	return unread
}

// poll asks the kernel which of the events, or of errors, have occurred on the connection. It does not wait.
func (c *CallerConn) poll(events int16) (occurred int16, err error) {
	err = c.descriptor.Control(func(fd uintptr) {
		fds := [1]unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(fds[:], 0)
		if err == unix.EINTR { // retry once: a signal handler ran in between
			n, err = unix.Poll(fds[:], 0)
		}
		if n > 0 && err == nil {
			occurred = fds[0].Revents
		}
	})
	return occurred, err
}

// Unwatch ends the watch; after it, the server may read again.
func (c *CallerConn) Unwatch() {
	c.Conn.SetReadDeadline(pastDeadline)
	<-c.watchDone
	c.watchDone = nil
	c.Conn.SetReadDeadline(time.Time{})
}
