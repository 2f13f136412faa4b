package httpwire

import (
	"time"
)

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
	c.pipelinedMemory.Release()
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

// What comes without pause on a connection that is read out takes this much of the processor's time and no more: others wait for it.
const (
	dropPerTurn = 64 << 10             // bytes that are dropped before a pause
	dropPause   = time.Millisecond / 2 // at 128 MB a second, the longest body takes a quarter of a second
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
	pooled := bodyBuffers.take(initialBodySize) // mostly little or nothing comes
	defer bodyBuffers.release(pooled)
	buf := pooled[:initialBodySize]
	for left, turn := MaxBody, 0; left > 0; {
		n, err := c.Conn.Read(buf)
		c.countDropped(n)
		if err != nil {
			return
		}
		left -= n
		if turn += n; turn >= dropPerTurn {
			turn = 0
			c.owner.env.Sleep(dropPause)
		}
	}
}

// countDropped records that bytes were read and dropped after the connection was closed for writing.
func (c *CallerConn) countDropped(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped += n
}
