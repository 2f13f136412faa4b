package sim

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// Properties of the simulated network.
const (
	minLatency       = 50 * time.Microsecond  // also the grid on which latencies lie
	maxUsualLatency  = 500 * time.Microsecond // without a spike
	maxLatency       = 4 * time.Millisecond   // with a spike
	spikeProbability = 0.05
	splitProbability = 0.2      // share of the messages that arrive in two parts
	sendBufferBytes  = 16 << 10 // bytes that the peer has not received yet; a writer blocks above that
)

// peer is the model at the other end of a sidecar's connection. Its methods run in steps of the world.
type peer interface {
	onData(c *conn, b []byte)    // bytes arrived from the sidecar
	onClose(c *conn, reset bool) // the sidecar's end closed the connection, or reset it
	onOpen(c *conn)              // the connection is established
	onRefused(c *conn)           // a connection that the peer opened was not accepted
}

// conn is a connection between a sidecar and a peer. The sidecar's code uses it as a net.Conn; the
// peer uses peerWrite and peerClose.
type conn struct {
	w           *World
	proc        *Process
	peer        peer
	id          string
	rng         *rand.Rand // one per connection, so that its draws do not depend on other connections
	partitioned bool       // no segment is delivered until the partition heals

	// The sidecar's end of the connection, guarded by w.mu.
	received           []byte
	eof, reset         bool
	resetReported      bool // a reset is reported to a reader once; later reads return io.EOF, as with the kernel
	closed             bool
	readDeadline       time.Time
	writeDeadline      time.Time
	bytesInFlight      int // written by the sidecar and not yet delivered to the peer
	toPeer, toSidecar  []segment
	toPeerScheduled    bool   // an event is scheduled for the first segment of toPeer
	toSidecarScheduled bool   // the same for toSidecar
	peerClosed         bool   // the peer has closed its end
	dialedAddress      string // the address that the sidecar dialed; empty for a connection that the peer opened
	unanswered         []byte // written by the sidecar since bytes last arrived from the peer; kept only for the injected bug resendOnReset
}

// segment is a part of what one end sends to the other: bytes, an orderly close or a reset.
type segment struct {
	bytes []byte
	fin   bool
	rst   bool
	at    time.Time
}

// newConn returns a connection that is not established yet. It draws from the seed and its id.
func (w *World) newConn(p *Process, id string, other peer, seed uint64) *conn {
	return &conn{w: w, proc: p, peer: other, id: id, rng: rand.New(rand.NewPCG(seed, hashOf(id)))}
}

// randomLatency returns the time that one segment takes.
func (c *conn) randomLatency() time.Duration {
	limit := maxUsualLatency
	if c.rng.Float64() < spikeProbability {
		limit = maxLatency
	}
	// Latencies lie on a grid, so that some segments arrive at the same instant and the scheduler picks their order.
	return minLatency * time.Duration(1+c.rng.Int64N(int64(limit/minLatency)))
}

// enqueue appends a segment to a queue, with the time of its delivery. Segments of one direction keep
// their order. The caller holds w.mu.
func (c *conn) enqueue(queue *[]segment, s segment) {
	s.at = time.Now().Add(c.randomLatency())
	if n := len(*queue); n > 0 && s.at.Before((*queue)[n-1].at) {
		s.at = (*queue)[n-1].at
	}
	if len(s.bytes) > 1 && c.rng.Float64() < splitProbability {
		splitAt := 1 + c.rng.IntN(len(s.bytes)-1)
		firstPart := s
		firstPart.bytes, s.bytes = s.bytes[:splitAt], s.bytes[splitAt:]
		s.at = s.at.Add(c.randomLatency())
		*queue = append(*queue, firstPart)
	}
	*queue = append(*queue, s)
}

// scheduleDelivery schedules the delivery of the first segment of each direction, unless that is done
// already or the connection is partitioned. The caller holds w.mu.
func (c *conn) scheduleDelivery() {
	if c.partitioned {
		return
	}
	if len(c.toPeer) > 0 && !c.toPeerScheduled {
		c.toPeerScheduled = true
		c.w.events = append(c.w.events, &event{key: c.id + "/out", at: c.toPeer[0].at, do: c.deliverToPeer})
	}
	if len(c.toSidecar) > 0 && !c.toSidecarScheduled {
		c.toSidecarScheduled = true
		c.w.events = append(c.w.events, &event{key: c.id + "/in", at: c.toSidecar[0].at, do: c.deliverToSidecar})
	}
	c.w.wakeScheduler()
}

// deliverToPeer delivers the first segment that the sidecar sent.
func (c *conn) deliverToPeer() {
	c.w.mu.Lock()
	c.toPeerScheduled = false
	if c.partitioned || len(c.toPeer) == 0 {
		c.w.mu.Unlock()
		return
	}
	s := c.toPeer[0]
	c.toPeer = c.toPeer[1:]
	c.bytesInFlight -= len(s.bytes)
	done := c.peerClosed
	c.scheduleDelivery()
	c.w.mu.Unlock()
	switch {
	case done:
	case s.rst, s.fin:
		c.peer.onClose(c, s.rst)
	default:
		c.peer.onData(c, s.bytes)
	}
}

// deliverToSidecar delivers the first segment that the peer sent.
func (c *conn) deliverToSidecar() {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.toSidecarScheduled = false
	if c.partitioned || len(c.toSidecar) == 0 {
		return
	}
	s := c.toSidecar[0]
	c.toSidecar = c.toSidecar[1:]
	switch {
	case s.rst:
		c.reset, c.received = true, nil
		if c.proc.resendOnReset && c.dialedAddress != "" && !c.closed && len(c.unanswered) > 0 {
			c.proc.resendUnanswered(c)
		}
	case s.fin:
		c.eof = true
	default:
		c.received = append(c.received, s.bytes...)
		c.unanswered = nil // any byte from the peer counts as the response
	}
	c.scheduleDelivery()
}

// peerWrite sends text from the peer's end.
func (c *conn) peerWrite(text string) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if !c.peerClosed && text != "" {
		c.enqueue(&c.toSidecar, segment{bytes: []byte(text)})
		c.scheduleDelivery()
	}
}

// peerClose closes the peer's end, by a FIN or by a reset.
func (c *conn) peerClose(reset bool) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.peerClosed {
		return
	}
	c.peerClosed = true
	c.enqueue(&c.toSidecar, segment{fin: !reset, rst: reset})
	c.scheduleDelivery()
}

// setPartitioned starts or heals a partition of the connection. Segments sent meanwhile are delivered
// after it heals.
func (c *conn) setPartitioned(partitioned bool) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.partitioned = partitioned
	c.scheduleDelivery()
}

// errReset is the error of each write, and of the first read, after a reset, as the kernel reports it.
var errReset = &net.OpError{Op: "sim", Net: "tcp", Err: syscall.ECONNRESET}

// expired reports whether a deadline is set and has passed.
func expired(limit, now time.Time) bool { return !limit.IsZero() && !limit.After(now) }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.w.park(c.id+"/read", func(now time.Time) bool {
		return c.closed || c.reset || c.eof || len(c.received) > 0 || c.proc.dead || expired(c.readDeadline, now)
	}, func() time.Time { return c.readDeadline })
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	switch {
	case c.closed, c.proc.dead, c.w.closed:
		return 0, net.ErrClosed
	case expired(c.readDeadline, time.Now()):
		return 0, os.ErrDeadlineExceeded
	case c.reset && !c.resetReported:
		c.resetReported = true
		return 0, errReset
	case len(c.received) > 0:
		n := copy(b, c.received)
		c.received = c.received[n:]
		return n, nil
	}
	return 0, io.EOF
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (n int, err error) {
	for {
		c.w.park(c.id+"/write", func(now time.Time) bool {
			return c.closed || c.reset || c.proc.dead || expired(c.writeDeadline, now) || c.bytesInFlight < sendBufferBytes
		}, func() time.Time { return c.writeDeadline })
		c.w.mu.Lock()
		switch {
		case c.closed, c.proc.dead, c.w.closed:
			err = net.ErrClosed
		case expired(c.writeDeadline, time.Now()):
			err = os.ErrDeadlineExceeded
		case c.reset:
			err = errReset
		}
		if err != nil {
			c.w.mu.Unlock()
			return n, err
		}
		size := min(len(b)-n, sendBufferBytes-c.bytesInFlight)
		c.bytesInFlight += size
		if c.proc.resendOnReset && c.dialedAddress != "" {
			c.unanswered = append(c.unanswered, b[n:n+size]...)
		}
		if c.proc.repeatAnswerOnCancel && c.dialedAddress == "" {
			c.proc.lastAnsweredConn, c.proc.lastAnswer = c, slices.Clone(b[n:n+size])
		}
		c.enqueue(&c.toPeer, segment{bytes: append([]byte(nil), b[n:n+size]...)})
		c.scheduleDelivery()
		n += size
		c.w.mu.Unlock()
		if n == len(b) {
			return n, nil
		}
	}
}

// Close implements net.Conn. As in TCP, bytes that were received and not read turn the close into a reset.
func (c *conn) Close() error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	// Injected bug repeatAnswerOnCancel: when the sidecar closes a dialed connection that the peer has not ended, the bytes that it
	// wrote last to a caller are written again.
	if caller := c.proc.lastAnsweredConn; caller != nil && !caller.closed && c.dialedAddress != "" && !c.eof && !c.reset {
		caller.enqueue(&caller.toPeer, segment{bytes: c.proc.lastAnswer})
		caller.scheduleDelivery()
	}
	if c.dialedAddress != "" && c.bytesInFlight > 0 {
		c.w.rareEvents[CancelWhileSending]++
	}
	if !c.proc.dead {
		c.enqueue(&c.toPeer, segment{fin: len(c.received) == 0, rst: len(c.received) > 0})
		c.scheduleDelivery()
	}
	c.w.wakeScheduler()
	return nil
}

// Fresh reports whether the connection is open and nothing has arrived on it: httpwire asks before it
// uses an idle connection.
func (c *conn) Fresh() bool {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return !c.closed && !c.reset && !c.eof && len(c.received) == 0
}

// HungUp reports whether either end has closed or reset the connection.
func (c *conn) HungUp() bool {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return c.closed || c.reset || c.eof
}

// addr is the net.Addr of a process's address, or of a connection's id.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.proc.address) }

// RemoteAddr implements net.Conn. It returns the connection's id.
func (c *conn) RemoteAddr() net.Addr { return addr(c.id) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.w.mu.Lock()
	c.readDeadline = t
	c.w.mu.Unlock()
	c.w.wakeScheduler()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.w.mu.Lock()
	c.writeDeadline = t
	c.w.mu.Unlock()
	c.w.wakeScheduler()
	return nil
}

// listener accepts the connections that callers open to a sidecar.
type listener struct {
	proc    *Process
	backlog []*conn
	closed  bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	w := l.proc.w
	w.park(l.proc.id+"/accept", func(time.Time) bool { return l.closed || l.proc.dead || len(l.backlog) > 0 }, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.closed || l.proc.dead || len(l.backlog) == 0 {
		return nil, net.ErrClosed
	}
	c := l.backlog[0]
	l.backlog = l.backlog[1:]
	l.proc.conns = append(l.proc.conns, c)
	return c, nil
}

// Close implements net.Listener. Connections that were not accepted yet are reset.
func (l *listener) Close() error {
	w := l.proc.w
	w.mu.Lock()
	defer w.mu.Unlock()
	l.closed = true
	for _, c := range l.backlog {
		c.closed = true
		c.enqueue(&c.toPeer, segment{rst: true})
		c.scheduleDelivery()
	}
	l.backlog = nil
	w.wakeScheduler()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.proc.address) }

// connect opens a connection from a peer to a sidecar. Later steps call the peer's onOpen or onRefused.
func (w *World) connect(p *Process, id string, from peer, seed uint64) *conn {
	c := w.newConn(p, id, from, seed)
	w.scheduleAfter(id+"/syn", c.randomLatency(), func() {
		w.mu.Lock()
		l := p.listener
		up := l != nil && !l.closed && !p.dead
		if up {
			l.backlog = append(l.backlog, c)
		}
		w.mu.Unlock()
		w.scheduleAfter(id+"/ack", c.randomLatency(), func() {
			if up {
				from.onOpen(c)
			} else {
				from.onRefused(c)
			}
		})
	})
	return c
}

// errRefused is the error of a dial to an address where nothing listens.
var errRefused = errors.New("connection refused")

// hashOf returns the FNV-1a hash of a text.
func hashOf(text string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a offset basis
	for _, b := range []byte(text) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

var _ net.Conn = (*conn)(nil)
