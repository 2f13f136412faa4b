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

// Figures of the simulated network.
const (
	minLatency       = 50 * time.Microsecond
	maxUsualLatency  = 500 * time.Microsecond
	maxLatency       = 4 * time.Millisecond
	spikeProbability = 0.05
	splitProbability = 0.2      // of messages that come in two parts
	sendBufferBytes  = 16 << 10 // written and not yet read by the other side; more blocks the writer
)

// peer is the other side of a connection: a model that acts in the world's steps.
type peer interface {
	onData(c *conn, b []byte)    // bytes have come
	onClose(c *conn, reset bool) // the sidecar's side has closed, or it broke
	onOpen(c *conn)              // a connection that the peer asked for stands
	onRefused(c *conn)           // it does not come up
}

// conn is a connection between a sidecar and a peer. The sidecar's code uses it as
// a net.Conn; the peer's side are its peer methods.
type conn struct {
	w           *World
	proc        *Process
	peer        peer
	id          string
	rng         *rand.Rand // of its own: draws do not depend on what other connections do
	partitioned bool       // the line is silent: nothing passes until it is mended

	// The sidecar's side; w.mu guards it.
	received           []byte
	eof, reset         bool
	resetReported      bool // the kernel tells a reader of a reset once, and of an end from then on
	closed             bool
	readDeadline       time.Time
	writeDeadline      time.Time
	bytesInFlight      int // bytes on their way to the peer
	toPeer, toSidecar  []segment
	toPeerScheduled    bool // an event for the first of toPeer stands
	toSidecarScheduled bool
	peerClosed         bool   // the peer has ended its side
	dialedAddress      string // where to, if the sidecar made it
	unanswered         []byte // the newest message without an answer, for a planted bug
}

// segment is what travels one way.
type segment struct {
	bytes []byte
	fin   bool
	rst   bool
	at    time.Time
}

func (w *World) newConn(p *Process, id string, other peer, seed uint64) *conn {
	return &conn{w: w, proc: p, peer: other, id: id, rng: rand.New(rand.NewPCG(seed, hashOf(id)))}
}

func (c *conn) randomLatency() time.Duration {
	limit := maxUsualLatency
	if c.rng.Float64() < spikeProbability {
		limit = maxLatency
	}
	// On a grid: some things then come in the same instant, and the scheduler picks.
	return minLatency * time.Duration(1+c.rng.Int64N(int64(limit/minLatency)))
}

// enqueue puts a segment on its way; w.mu is held. Segments of one way keep their order.
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

// scheduleDelivery has the first segment of each way delivered; w.mu is held.
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
		c.unanswered = nil // it is answered
	}
	c.scheduleDelivery()
}

// peerWrite sends from the peer's side.
func (c *conn) peerWrite(text string) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if !c.peerClosed && text != "" {
		c.enqueue(&c.toSidecar, segment{bytes: []byte(text)})
		c.scheduleDelivery()
	}
}

// peerClose ends the peer's side, in order or with a reset.
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

// setPartitioned cuts the line, or mends it: what was held comes then.
func (c *conn) setPartitioned(partitioned bool) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.partitioned = partitioned
	c.scheduleDelivery()
}

// errReset is what the kernel says of a connection that broke.
var errReset = &net.OpError{Op: "sim", Net: "tcp", Err: syscall.ECONNRESET}

func expired(limit, now time.Time) bool { return !limit.IsZero() && !limit.After(now) }

// Read is net.Conn's.
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

// Write is net.Conn's.
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

// Close is net.Conn's. What has come and was not read makes it a reset.
func (c *conn) Close() error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if n := c.proc.lastAnsweredConn; n != nil && !n.closed && c.dialedAddress != "" && !c.eof && !c.reset {
		n.enqueue(&n.toPeer, segment{bytes: c.proc.lastAnswer})
		n.scheduleDelivery()
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

// Fresh tells whether it stands and is silent.
func (c *conn) Fresh() bool {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return !c.closed && !c.reset && !c.eof && len(c.received) == 0
}

// HungUp tells whether the other side has ended it, or broken it.
func (c *conn) HungUp() bool {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return c.closed || c.reset || c.eof
}

type addr string

// Network is net.Addr's.
func (addr) Network() string { return "tcp" }

// String is net.Addr's.
func (a addr) String() string { return string(a) }

// LocalAddr is net.Conn's.
func (c *conn) LocalAddr() net.Addr { return addr(c.proc.address) }

// RemoteAddr is net.Conn's.
func (c *conn) RemoteAddr() net.Addr { return addr(c.id) }

// SetDeadline is net.Conn's.
func (c *conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline is net.Conn's.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.w.mu.Lock()
	c.readDeadline = t
	c.w.mu.Unlock()
	c.w.wakeScheduler()
	return nil
}

// SetWriteDeadline is net.Conn's.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.w.mu.Lock()
	c.writeDeadline = t
	c.w.mu.Unlock()
	c.w.wakeScheduler()
	return nil
}

// listener is a sidecar's.
type listener struct {
	proc    *Process
	backlog []*conn
	closed  bool
}

// Accept is net.Listener's.
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

// Close is net.Listener's: what stands in its queue is reset.
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

// Addr is net.Listener's.
func (l *listener) Addr() net.Addr { return addr(l.proc.address) }

// connect opens a connection from a peer to a sidecar. The peer hears how it went.
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

var errRefused = errors.New("connection refused")

func hashOf(text string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a
	for _, b := range []byte(text) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

var _ net.Conn = (*conn)(nil)
