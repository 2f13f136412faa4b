package emulated

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Bounds of what goes between regions.
const (
	mostOnWay = 64       // pieces of a connection each way; one exchange at a time makes a few
	pieceSize = 32 << 10 // bytes
	// lateFor is how long bytes of a connection that has been closed, or whose process is gone, go on being on their way across
	// a cut: a kernel gives up about then.
	lateFor  = 15 * time.Second
	pushTime = 5 * time.Second // for a piece to be taken by the other end's kernel
)

// ways are those between the regions of a run.
type ways struct {
	regions map[string]string // by address
	delay   time.Duration

	mu  sync.Mutex
	all map[[2]string]*way
}

func newWays(regions map[string]string, delay time.Duration) *ways {
	return &ways{regions: regions, delay: delay, all: map[[2]string]*way{}}
}

// way is that between two regions, in both directions.
type way struct {
	delay time.Duration

	mu    sync.Mutex
	whole chan struct{} // closed while nothing cuts it
}

// between returns the way of two regions.
func (w *ways) between(a, b string) *way {
	if a > b {
		a, b = b, a
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ends := [2]string{a, b}
	if w.all[ends] == nil {
		whole := make(chan struct{})
		close(whole)
		w.all[ends] = &way{delay: w.delay, whole: whole}
	}
	return w.all[ends]
}

// to returns the way from a region to an address; nil inside one, and where nobody has said where the address stands.
func (w *ways) to(region, address string) *way {
	there := w.regions[address]
	if region == "" || there == "" || there == region {
		return nil
	}
	return w.between(region, there)
}

// set cuts it or mends it.
func (w *way) set(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.whole:
		if cut {
			w.whole = make(chan struct{})
		}
	default:
		if !cut {
			close(w.whole)
		}
	}
}

// opened is closed once nothing cuts it.
func (w *way) opened() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.whole
}

// pass waits until something that left, or will have come, at a time is through; false if an end comes first.
func (w *way) pass(due time.Time, ends ...<-chan struct{}) bool {
	var a, b <-chan struct{}
	switch len(ends) {
	case 2:
		a, b = ends[0], ends[1]
	case 1:
		a = ends[0]
	}
	if left := time.Until(due); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-a:
			return false
		case <-b:
			return false
		}
	}
	select {
	case <-w.opened():
		return true
	default:
	}
	select {
	case <-w.opened():
		return true
	case <-a:
	case <-b:
	}
	return false
}

// piece is some bytes on their way, and what ended them.
type piece struct {
	due  time.Time
	text []byte
	err  error
}

// farConn is a connection to another region. Its two goroutines end with its kernel's connection: when the other end closes it,
// or lateFor after this one has.
type farConn struct {
	kernel net.Conn
	world  *world
	way    *way
	keeper bool

	out    chan piece // a piece with an error is the connection's end
	in     chan piece
	closed chan struct{} // by the member
	gone   chan struct{} // the kernel's connection is closed
	once   [2]sync.Once
	reads  deadline
	writes deadline

	mu   sync.Mutex // of who reads
	head *piece     // has come, or is on its way
}

// dialFar opens a connection across a way. While that is cut it waits, until its time is over.
func dialFar(ctx context.Context, w *world, way *way, address string, timeout time.Duration, keeper bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	late := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	if !way.pass(time.Now().Add(way.delay), ctx.Done()) {
		return nil, late
	}
	kernel, err := w.Real.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	if !way.pass(time.Now().Add(way.delay), ctx.Done()) {
		kernel.Close()
		return nil, late
	}
	c := &farConn{kernel: kernel, world: w, way: way, keeper: keeper, out: make(chan piece, mostOnWay), in: make(chan piece, mostOnWay),
		closed: make(chan struct{}), gone: make(chan struct{})}
	c.reads.set(time.Time{})
	c.writes.set(time.Time{})
	go c.bring()
	go c.fetch()
	return c, nil
}

// bring carries what the member writes.
func (c *farConn) bring() {
	defer c.drop()
	for {
		var p piece
		select {
		case p = <-c.out:
		case <-c.gone:
			return
		}
		if !c.way.pass(p.due, c.gone) || p.err != nil {
			return
		}
		c.kernel.SetWriteDeadline(time.Now().Add(pushTime)) //nolint:errcheck // the write tells
		n, err := c.kernel.Write(p.text)
		c.world.spent.wrote(n, c.keeper)
		if err != nil {
			return
		}
	}
}

// fetch carries what the other end writes. Its read ends with the kernel's connection.
func (c *farConn) fetch() {
	for {
		text := make([]byte, pieceSize)
		n, err := c.kernel.Read(text)
		c.world.spent.read(n, c.keeper)
		select {
		case c.in <- piece{time.Now().Add(c.way.delay), text[:n], err}:
		case <-c.closed: // nobody reads it
		case <-c.gone:
			return
		}
		if err != nil {
			return
		}
	}
}

// drop closes the kernel's connection.
func (c *farConn) drop() {
	c.once[1].Do(func() {
		close(c.gone)
		c.kernel.Close()
	})
}

// Read is net.Conn's.
func (c *farConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	over := c.reads.over()
	if c.head == nil {
		select {
		case p := <-c.in:
			c.head = &p
		case <-c.closed:
			return 0, net.ErrClosed
		case <-over:
			return 0, os.ErrDeadlineExceeded
		}
	}
	if !c.way.pass(c.head.due, c.closed, over) {
		if c.isClosed() {
			return 0, net.ErrClosed
		}
		return 0, os.ErrDeadlineExceeded
	}
	if len(c.head.text) == 0 && c.head.err != nil { // it stays: so does what it tells
		return 0, c.head.err
	}
	n := copy(b, c.head.text)
	if c.head.text = c.head.text[n:]; len(c.head.text) == 0 && c.head.err == nil {
		c.head = nil
	}
	return n, nil
}

// Write is net.Conn's. It returns when the bytes are on their way.
func (c *farConn) Write(b []byte) (int, error) {
	if c.world.fault == LosesState && c.keeper {
		return forgotten(b, c.write)
	}
	return c.write(b)
}

func (c *farConn) write(b []byte) (int, error) {
	over := c.writes.over()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.gone:
		return 0, io.ErrClosedPipe
	case <-over:
		return 0, os.ErrDeadlineExceeded
	default:
	}
	select {
	case c.out <- piece{due: time.Now().Add(c.way.delay), text: append([]byte(nil), b...)}:
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.gone:
		return 0, io.ErrClosedPipe
	case <-over:
		return 0, os.ErrDeadlineExceeded
	}
}

// Fresh is what httpwire asks of a connection that knows by itself: nothing has come, not even an end.
func (c *farConn) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed() {
		return false
	}
	if c.head == nil {
		select {
		case p := <-c.in:
			c.head = &p
		default:
			return true
		}
	}
	past := make(chan struct{})
	close(past)
	return !c.way.pass(c.head.due, past)
}

func (c *farConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Close is net.Conn's. What was written is on its way still.
func (c *farConn) Close() error {
	c.once[0].Do(func() {
		c.world.forget(c)
		close(c.closed)
		select {
		case c.out <- piece{due: time.Now().Add(c.way.delay), err: net.ErrClosed}:
			time.AfterFunc(lateFor, c.drop)
		default: // more on its way than any exchange brings
			c.drop()
		}
	})
	return nil
}

// LocalAddr is net.Conn's.
func (c *farConn) LocalAddr() net.Addr { return c.kernel.LocalAddr() }

// RemoteAddr is net.Conn's.
func (c *farConn) RemoteAddr() net.Addr { return c.kernel.RemoteAddr() }

// SetDeadline is net.Conn's.
func (c *farConn) SetDeadline(t time.Time) error {
	c.reads.set(t)
	c.writes.set(t)
	return nil
}

// SetReadDeadline is net.Conn's.
func (c *farConn) SetReadDeadline(t time.Time) error {
	c.reads.set(t)
	return nil
}

// SetWriteDeadline is net.Conn's.
func (c *farConn) SetWriteDeadline(t time.Time) error {
	c.writes.set(t)
	return nil
}

// deadline is a moment after which a read or write ends; its zero value is none, once it has been set.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	past  chan struct{} // closed when it has passed
}

// over is closed when the deadline that holds now has passed. A deadline that is set while somebody waits binds with the next
// read or write, unless it is sooner: then at once.
func (d *deadline) over() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.past
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() || d.past == nil {
		d.past = make(chan struct{}) // the one before has passed, or is about to
	}
	d.timer = nil
	if t.IsZero() {
		return
	}
	past := d.past
	d.timer = time.AfterFunc(time.Until(t), func() { close(past) })
}
