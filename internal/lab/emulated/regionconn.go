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
	maxPiecesInFlight = 64       // pieces of a connection each way; one exchange at a time makes a few
	pieceSize         = 32 << 10 // bytes
	// closedDrainTime is how long bytes of a connection that has been closed, or whose process is gone, go on being on their way across
	// a cut: a kernel gives up about then.
	closedDrainTime = 15 * time.Second
	writeTimeout    = 5 * time.Second // for a piece to be taken by the other end's kernel
)

// regionPaths are those between the regions of a run.
type regionPaths struct {
	regions map[string]string // by address
	delay   time.Duration

	mu     sync.Mutex
	byEnds map[[2]string]*regionPath
}

func newRegionPaths(regions map[string]string, delay time.Duration) *regionPaths {
	return &regionPaths{regions: regions, delay: delay, byEnds: map[[2]string]*regionPath{}}
}

// regionPath is that between two regions, in both directions.
type regionPath struct {
	delay time.Duration

	mu     sync.Mutex
	healed chan struct{} // closed while nothing cuts it
}

// between returns the way of two regions.
func (p *regionPaths) between(a, b string) *regionPath {
	if a > b {
		a, b = b, a
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ends := [2]string{a, b}
	if p.byEnds[ends] == nil {
		healed := make(chan struct{})
		close(healed)
		p.byEnds[ends] = &regionPath{delay: p.delay, healed: healed}
	}
	return p.byEnds[ends]
}

// pathTo returns the way from a region to an address; nil inside one, and where nobody has said where the address stands.
func (p *regionPaths) pathTo(region, address string) *regionPath {
	remote := p.regions[address]
	if region == "" || remote == "" || remote == region {
		return nil
	}
	return p.between(region, remote)
}

// setPartitioned cuts it or mends it.
func (p *regionPath) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.healed:
		if partitioned {
			p.healed = make(chan struct{})
		}
	default:
		if !partitioned {
			close(p.healed)
		}
	}
}

// untilHealed is closed once nothing cuts it.
func (p *regionPath) untilHealed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healed
}

// wait waits until something that left, or will have come, at a time is through; false if an end comes first.
func (p *regionPath) wait(due time.Time, ends ...<-chan struct{}) bool {
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
	case <-p.untilHealed():
		return true
	default:
	}
	select {
	case <-p.untilHealed():
		return true
	case <-a:
	case <-b:
	}
	return false
}

// piece is some bytes on their way, and what ended them.
type piece struct {
	due  time.Time
	data []byte
	err  error
}

// regionConn is a connection to another region. Its two goroutines end with its kernel's connection: when the other end closes it,
// or lateFor after this one has.
type regionConn struct {
	kernel net.Conn
	env    *memberEnv
	path   *regionPath
	voter  bool

	out           chan piece // a piece with an error is the connection's end
	in            chan piece
	closed        chan struct{} // by the member
	kernelClosed  chan struct{} // the kernel's connection is closed
	once          [2]sync.Once
	readDeadline  deadline
	writeDeadline deadline

	mu   sync.Mutex // of who reads
	next *piece     // has come, or is on its way
}

// dialRegion opens a connection across a way. While that is cut it waits, until its time is over.
func dialRegion(ctx context.Context, e *memberEnv, path *regionPath, address string, timeout time.Duration, voter bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	timeoutErr := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	if !path.wait(time.Now().Add(path.delay), ctx.Done()) {
		return nil, timeoutErr
	}
	kernel, err := e.Real.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	if !path.wait(time.Now().Add(path.delay), ctx.Done()) {
		kernel.Close()
		return nil, timeoutErr
	}
	c := &regionConn{kernel: kernel, env: e, path: path, voter: voter, out: make(chan piece, maxPiecesInFlight), in: make(chan piece, maxPiecesInFlight),
		closed: make(chan struct{}), kernelClosed: make(chan struct{})}
	c.readDeadline.set(time.Time{})
	c.writeDeadline.set(time.Time{})
	go c.sendLoop()
	go c.receiveLoop()
	return c, nil
}

// sendLoop carries what the member writes.
func (c *regionConn) sendLoop() {
	defer c.closeKernel()
	for {
		var p piece
		select {
		case p = <-c.out:
		case <-c.kernelClosed:
			return
		}
		if !c.path.wait(p.due, c.kernelClosed) || p.err != nil {
			return
		}
		c.kernel.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // the write tells
		n, err := c.kernel.Write(p.data)
		c.env.traffic.addWritten(n, c.voter)
		if err != nil {
			return
		}
	}
}

// receiveLoop carries what the other end writes. Its read ends with the kernel's connection.
func (c *regionConn) receiveLoop() {
	for {
		data := make([]byte, pieceSize)
		n, err := c.kernel.Read(data)
		c.env.traffic.addRead(n, c.voter)
		select {
		case c.in <- piece{time.Now().Add(c.path.delay), data[:n], err}:
		case <-c.closed: // nobody reads it
		case <-c.kernelClosed:
			return
		}
		if err != nil {
			return
		}
	}
}

// closeKernel closes the kernel's connection.
func (c *regionConn) closeKernel() {
	c.once[1].Do(func() {
		close(c.kernelClosed)
		c.kernel.Close()
	})
}

// Read is net.Conn's.
func (c *regionConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	expired := c.readDeadline.expired()
	if c.next == nil {
		select {
		case p := <-c.in:
			c.next = &p
		case <-c.closed:
			return 0, net.ErrClosed
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
	if !c.path.wait(c.next.due, c.closed, expired) {
		if c.isClosed() {
			return 0, net.ErrClosed
		}
		return 0, os.ErrDeadlineExceeded
	}
	if len(c.next.data) == 0 && c.next.err != nil { // it stays: so does what it tells
		return 0, c.next.err
	}
	n := copy(b, c.next.data)
	if c.next.data = c.next.data[n:]; len(c.next.data) == 0 && c.next.err == nil {
		c.next = nil
	}
	return n, nil
}

// Write is net.Conn's. It returns when the bytes are on their way.
func (c *regionConn) Write(b []byte) (int, error) {
	if c.env.fault == LosesState && c.voter {
		return writeWithoutState(b, c.write)
	}
	return c.write(b)
}

func (c *regionConn) write(b []byte) (int, error) {
	expired := c.writeDeadline.expired()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.kernelClosed:
		return 0, io.ErrClosedPipe
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	default:
	}
	select {
	case c.out <- piece{due: time.Now().Add(c.path.delay), data: append([]byte(nil), b...)}:
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.kernelClosed:
		return 0, io.ErrClosedPipe
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	}
}

// Fresh is what httpwire asks of a connection that knows by itself: nothing has come, not even an end.
func (c *regionConn) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed() {
		return false
	}
	if c.next == nil {
		select {
		case p := <-c.in:
			c.next = &p
		default:
			return true
		}
	}
	passed := make(chan struct{})
	close(passed)
	return !c.path.wait(c.next.due, passed)
}

func (c *regionConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Close is net.Conn's. What was written is on its way still.
func (c *regionConn) Close() error {
	c.once[0].Do(func() {
		c.env.release(c)
		close(c.closed)
		select {
		case c.out <- piece{due: time.Now().Add(c.path.delay), err: net.ErrClosed}:
			time.AfterFunc(closedDrainTime, c.closeKernel)
		default: // more on its way than any exchange brings
			c.closeKernel()
		}
	})
	return nil
}

// LocalAddr is net.Conn's.
func (c *regionConn) LocalAddr() net.Addr { return c.kernel.LocalAddr() }

// RemoteAddr is net.Conn's.
func (c *regionConn) RemoteAddr() net.Addr { return c.kernel.RemoteAddr() }

// SetDeadline is net.Conn's.
func (c *regionConn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline is net.Conn's.
func (c *regionConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline is net.Conn's.
func (c *regionConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// deadline is a moment after which a read or write ends; its zero value is none, once it has been set.
type deadline struct {
	mu     sync.Mutex
	timer  *time.Timer
	passed chan struct{} // closed when it has passed
}

// expired is closed when the deadline that holds now has passed. A deadline that is set while somebody waits binds with the next
// read or write, unless it is sooner: then at once.
func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() || d.passed == nil {
		d.passed = make(chan struct{}) // the one before has passed, or is about to
	}
	d.timer = nil
	if t.IsZero() {
		return
	}
	passed := d.passed
	d.timer = time.AfterFunc(time.Until(t), func() { close(passed) })
}
