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
	leastLatency = 50 * time.Microsecond
	usualLatency = 500 * time.Microsecond
	spikeLatency = 4 * time.Millisecond
	spikeShare   = 0.05
	splitShare   = 0.2      // of messages that come in two parts
	bufferBytes  = 16 << 10 // written and not yet read by the other side; more blocks the writer
)

// peer is the other side of a connection: a model that acts in the world's steps.
type peer interface {
	data(c *conn, b []byte)    // bytes have come
	ended(c *conn, reset bool) // the sidecar's side has closed, or it broke
	opened(c *conn)            // a connection that the peer asked for stands
	refused(c *conn)           // it does not come up
}

// conn is a connection between a sidecar and a peer. The sidecar's code uses it as
// a net.Conn; the peer's side are its peer methods.
type conn struct {
	w    *World
	proc *Proc
	peer peer
	id   string
	dice *rand.Rand // of its own: draws do not depend on what other connections do
	cut  bool       // the line is silent: nothing passes until it is mended

	// The sidecar's side; w.mu guards it.
	in           []byte
	eof, reset   bool
	resetTold    bool // the kernel tells a reader of a reset once, and of an end from then on
	closed       bool
	readBy       time.Time
	writeBy      time.Time
	flying       int // bytes on their way to the peer
	toPeer, toUs []segment
	peerBusy     bool // an event for the first of toPeer stands
	usBusy       bool
	peerDone     bool   // the peer has ended its side
	dialed       string // where to, if the sidecar made it
	written      []byte // the newest message without an answer, for a planted bug
}

// segment is what travels one way.
type segment struct {
	bytes []byte
	fin   bool
	rst   bool
	at    time.Time
}

func (w *World) newConn(p *Proc, id string, other peer, seed uint64) *conn {
	return &conn{w: w, proc: p, peer: other, id: id, dice: rand.New(rand.NewPCG(seed, hashOf(id)))}
}

func (c *conn) latency() time.Duration {
	most := usualLatency
	if c.dice.Float64() < spikeShare {
		most = spikeLatency
	}
	// On a grid: some things then come in the same instant, and the scheduler picks.
	return leastLatency * time.Duration(1+c.dice.Int64N(int64(most/leastLatency)))
}

// post puts a segment on its way; w.mu is held. Segments of one way keep their order.
func (c *conn) post(queue *[]segment, s segment) {
	s.at = time.Now().Add(c.latency())
	if n := len(*queue); n > 0 && s.at.Before((*queue)[n-1].at) {
		s.at = (*queue)[n-1].at
	}
	if len(s.bytes) > 1 && c.dice.Float64() < splitShare {
		cut := 1 + c.dice.IntN(len(s.bytes)-1)
		first := s
		first.bytes, s.bytes = s.bytes[:cut], s.bytes[cut:]
		s.at = s.at.Add(c.latency())
		*queue = append(*queue, first)
	}
	*queue = append(*queue, s)
}

// arm has the first segment of each way delivered; w.mu is held.
func (c *conn) arm() {
	if c.cut {
		return
	}
	if len(c.toPeer) > 0 && !c.peerBusy {
		c.peerBusy = true
		c.w.events = append(c.w.events, &event{key: c.id + "/out", at: c.toPeer[0].at, do: c.deliverOut})
	}
	if len(c.toUs) > 0 && !c.usBusy {
		c.usBusy = true
		c.w.events = append(c.w.events, &event{key: c.id + "/in", at: c.toUs[0].at, do: c.deliverIn})
	}
	c.w.poke()
}

func (c *conn) deliverOut() {
	c.w.mu.Lock()
	c.peerBusy = false
	if c.cut || len(c.toPeer) == 0 {
		c.w.mu.Unlock()
		return
	}
	s := c.toPeer[0]
	c.toPeer = c.toPeer[1:]
	c.flying -= len(s.bytes)
	done := c.peerDone
	c.arm()
	c.w.mu.Unlock()
	switch {
	case done:
	case s.rst, s.fin:
		c.peer.ended(c, s.rst)
	default:
		c.peer.data(c, s.bytes)
	}
}

func (c *conn) deliverIn() {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.usBusy = false
	if c.cut || len(c.toUs) == 0 {
		return
	}
	s := c.toUs[0]
	c.toUs = c.toUs[1:]
	switch {
	case s.rst:
		c.reset, c.in = true, nil
		if c.proc.resend && c.dialed != "" && !c.closed && len(c.written) > 0 {
			c.proc.sendAgain(c)
		}
	case s.fin:
		c.eof = true
	default:
		c.in = append(c.in, s.bytes...)
		c.written = nil // it is answered
	}
	c.arm()
}

// peerWrite sends from the peer's side.
func (c *conn) peerWrite(text string) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if !c.peerDone && text != "" {
		c.post(&c.toUs, segment{bytes: []byte(text)})
		c.arm()
	}
}

// peerClose ends the peer's side, in order or with a reset.
func (c *conn) peerClose(reset bool) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.peerDone {
		return
	}
	c.peerDone = true
	c.post(&c.toUs, segment{fin: !reset, rst: reset})
	c.arm()
}

// silence cuts the line, or mends it: what was held comes then.
func (c *conn) silence(cut bool) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.cut = cut
	c.arm()
}

// errReset is what the kernel says of a connection that broke.
var errReset = &net.OpError{Op: "sim", Net: "tcp", Err: syscall.ECONNRESET}

func past(limit, now time.Time) bool { return !limit.IsZero() && !limit.After(now) }

// Read is net.Conn's.
func (c *conn) Read(b []byte) (int, error) {
	c.w.park(c.id+"/read", func(now time.Time) bool {
		return c.closed || c.reset || c.eof || len(c.in) > 0 || c.proc.dead || past(c.readBy, now)
	}, func() time.Time { return c.readBy })
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	switch {
	case c.closed, c.proc.dead, c.w.closed:
		return 0, net.ErrClosed
	case past(c.readBy, time.Now()):
		return 0, os.ErrDeadlineExceeded
	case c.reset && !c.resetTold:
		c.resetTold = true
		return 0, errReset
	case len(c.in) > 0:
		n := copy(b, c.in)
		c.in = c.in[n:]
		return n, nil
	}
	return 0, io.EOF
}

// Write is net.Conn's.
func (c *conn) Write(b []byte) (n int, err error) {
	for {
		c.w.park(c.id+"/write", func(now time.Time) bool {
			return c.closed || c.reset || c.proc.dead || past(c.writeBy, now) || c.flying < bufferBytes
		}, func() time.Time { return c.writeBy })
		c.w.mu.Lock()
		switch {
		case c.closed, c.proc.dead, c.w.closed:
			err = net.ErrClosed
		case past(c.writeBy, time.Now()):
			err = os.ErrDeadlineExceeded
		case c.reset:
			err = errReset
		}
		if err != nil {
			c.w.mu.Unlock()
			return n, err
		}
		take := min(len(b)-n, bufferBytes-c.flying)
		c.flying += take
		if c.proc.resend && c.dialed != "" {
			c.written = append(c.written, b[n:n+take]...)
		}
		if c.proc.doubleOnCancel && c.dialed == "" {
			c.proc.newest, c.proc.newestText = c, slices.Clone(b[n:n+take])
		}
		c.post(&c.toPeer, segment{bytes: append([]byte(nil), b[n:n+take]...)})
		c.arm()
		n += take
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
	if n := c.proc.newest; n != nil && !n.closed && c.dialed != "" && !c.eof && !c.reset {
		n.post(&n.toPeer, segment{bytes: c.proc.newestText})
		n.arm()
	}
	if c.dialed != "" && c.flying > 0 {
		c.w.met[CancelCrosses]++
	}
	if !c.proc.dead {
		c.post(&c.toPeer, segment{fin: len(c.in) == 0, rst: len(c.in) > 0})
		c.arm()
	}
	c.w.poke()
	return nil
}

// Fresh tells whether it stands and is silent.
func (c *conn) Fresh() bool {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return !c.closed && !c.reset && !c.eof && len(c.in) == 0
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
	c.readBy = t
	c.w.mu.Unlock()
	c.w.poke()
	return nil
}

// SetWriteDeadline is net.Conn's.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.w.mu.Lock()
	c.writeBy = t
	c.w.mu.Unlock()
	c.w.poke()
	return nil
}

// listener is a sidecar's.
type listener struct {
	proc   *Proc
	queue  []*conn
	closed bool
}

// Accept is net.Listener's.
func (l *listener) Accept() (net.Conn, error) {
	w := l.proc.w
	w.park(l.proc.id+"/accept", func(time.Time) bool { return l.closed || l.proc.dead || len(l.queue) > 0 }, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.closed || l.proc.dead || len(l.queue) == 0 {
		return nil, net.ErrClosed
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	l.proc.conns = append(l.proc.conns, c)
	return c, nil
}

// Close is net.Listener's: what stands in its queue is reset.
func (l *listener) Close() error {
	w := l.proc.w
	w.mu.Lock()
	defer w.mu.Unlock()
	l.closed = true
	for _, c := range l.queue {
		c.closed = true
		c.post(&c.toPeer, segment{rst: true})
		c.arm()
	}
	l.queue = nil
	w.poke()
	return nil
}

// Addr is net.Listener's.
func (l *listener) Addr() net.Addr { return addr(l.proc.address) }

// connect opens a connection from a peer to a sidecar. The peer hears how it went.
func (w *World) connect(p *Proc, id string, from peer, seed uint64) *conn {
	c := w.newConn(p, id, from, seed)
	w.after(id+"/syn", c.latency(), func() {
		w.mu.Lock()
		l := p.listener
		up := l != nil && !l.closed && !p.dead
		if up {
			l.queue = append(l.queue, c)
		}
		w.mu.Unlock()
		w.after(id+"/ack", c.latency(), func() {
			if up {
				from.opened(c)
			} else {
				from.refused(c)
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
