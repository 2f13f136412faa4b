package emulated

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Bounds of connections between regions.
const (
	maxPiecesInFlight = 64       // per connection and direction; a connection carries one exchange at a time, which takes a few
	pieceSize         = 32 << 10 // bytes
	// closedDrainTime is how long the bytes of a connection whose member closed it or was killed may still wait for the end of a
	// partition. A kernel gives up after about that time.
	closedDrainTime = 15 * time.Second
	writeTimeout    = 5 * time.Second // for writing a piece to the kernel's connection
)

// regionPaths holds the paths between the regions of a run.
type regionPaths struct {
	regions map[string]string // by address
	delay   time.Duration

	mu     sync.Mutex
	byEnds map[[2]string]*regionPath // by the names of the two regions, in order
}

func newRegionPaths(regions map[string]string, delay time.Duration) *regionPaths {
	return &regionPaths{regions: regions, delay: delay, byEnds: map[[2]string]*regionPath{}}
}

// regionPath is the network path between two regions, for both directions.
type regionPath struct {
	delay time.Duration

	mu     sync.Mutex
	healed chan struct{} // closed while the regions are not partitioned
}

// between returns the path between two regions.
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

// pathTo returns the path from a region to an address; nil if both are in one region, or if the region of either is not known.
func (p *regionPaths) pathTo(region, address string) *regionPath {
	remote := p.regions[address]
	if region == "" || remote == "" || remote == region {
		return nil
	}
	return p.between(region, remote)
}

// setPartitioned starts or ends a partition.
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

// untilHealed returns a channel that is closed once the regions are not partitioned.
func (p *regionPath) untilHealed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healed
}

// wait waits until due, and then until the regions are not partitioned. It returns false if one of the channels in ends (at most two)
// is closed first. It returns true without waiting if due has passed and the regions are not partitioned, even if such a channel is
// closed already.
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

// piece is some bytes that are due to arrive at a time, with the error that ended the stream after them, if any.
type piece struct {
	due  time.Time
	data []byte
	err  error
}

// regionConn is a connection to another region. Its two goroutines end with the kernel's connection: when the other end closes it, or
// at the latest closedDrainTime after this end did.
type regionConn struct {
	kernelConn net.Conn
	env        *memberEnv
	path       *regionPath
	voter      bool

	out           chan piece    // to the other end; a piece with an error ends the connection
	in            chan piece    // from the other end
	closed        chan struct{} // closed when the member closes the connection
	kernelClosed  chan struct{} // closed with the kernel's connection
	once          [2]sync.Once  // of Close and of closeKernel
	readDeadline  deadline
	writeDeadline deadline

	mu   sync.Mutex // held by Read and Fresh
	next *piece     // the first piece of in that Read has not returned completely; it may not be due yet
}

// dialRegion opens a connection over a path. It takes the delay of both directions, and waits while the regions are partitioned until
// the timeout.
func dialRegion(ctx context.Context, e *memberEnv, path *regionPath, address string, timeout time.Duration, voter bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	timeoutErr := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	if !path.wait(time.Now().Add(path.delay), ctx.Done()) {
		return nil, timeoutErr
	}
	kernelConn, err := e.Real.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	if !path.wait(time.Now().Add(path.delay), ctx.Done()) {
		kernelConn.Close()
		return nil, timeoutErr
	}
	c := &regionConn{kernelConn: kernelConn, env: e, path: path, voter: voter, out: make(chan piece, maxPiecesInFlight), in: make(chan piece, maxPiecesInFlight),
		closed: make(chan struct{}), kernelClosed: make(chan struct{})}
	c.readDeadline.set(time.Time{})
	c.writeDeadline.set(time.Time{})
	go c.sendLoop()
	go c.receiveLoop()
	return c, nil
}

// sendLoop writes what the member has written to the kernel's connection, when it is due. It closes the kernel's connection at its end.
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
		c.kernelConn.SetWriteDeadline(time.Now().Add(writeTimeout)) //nolint:errcheck // the write returns the error
		n, err := c.kernelConn.Write(p.data)
		c.env.traffic.addWritten(n, c.voter)
		if err != nil {
			return
		}
	}
}

// receiveLoop queues what the other end writes for the member. Its read ends with the kernel's connection.
func (c *regionConn) receiveLoop() {
	for {
		data := make([]byte, pieceSize)
		n, err := c.kernelConn.Read(data)
		c.env.traffic.addRead(n, c.voter)
		select {
		case c.in <- piece{time.Now().Add(c.path.delay), data[:n], err}:
		case <-c.closed: // the member reads no more
		case <-c.kernelClosed:
			return
		}
		if err != nil {
			return
		}
	}
}

// closeKernel closes the kernel's connection, once.
func (c *regionConn) closeKernel() {
	c.once[1].Do(func() {
		close(c.kernelClosed)
		c.kernelConn.Close()
	})
}

// Read implements net.Conn. It returns bytes when they are due and the regions are not partitioned.
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
	if len(c.next.data) == 0 && c.next.err != nil { // the piece stays, so that each further Read returns the error
		return 0, c.next.err
	}
	n := copy(b, c.next.data)
	if c.next.data = c.next.data[n:]; len(c.next.data) == 0 && c.next.err == nil {
		c.next = nil
	}
	return n, nil
}

// Write implements net.Conn. It returns when the bytes are queued.
func (c *regionConn) Write(b []byte) (int, error) {
	if c.env.fault == LosesState && c.voter {
		return writeWithoutState(b, c.write)
	}
	return c.write(b)
}

// write queues a copy of the bytes for sendLoop.
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

// Fresh reports whether neither bytes nor the end of the stream have arrived. httpwire calls it, where a connection has it, to check an
// idle connection.
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
	noWait := make(chan struct{})
	close(noWait) // so that wait returns at once
	return !c.path.wait(c.next.due, noWait)
}

func (c *regionConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Close implements net.Conn. What was written before still arrives, within closedDrainTime.
func (c *regionConn) Close() error {
	c.once[0].Do(func() {
		c.env.release(c)
		close(c.closed)
		select {
		case c.out <- piece{due: time.Now().Add(c.path.delay), err: net.ErrClosed}:
			time.AfterFunc(closedDrainTime, c.closeKernel)
		default: // the queue is full, which no exchange causes
			c.closeKernel()
		}
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *regionConn) LocalAddr() net.Addr { return c.kernelConn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *regionConn) RemoteAddr() net.Addr { return c.kernelConn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *regionConn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *regionConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *regionConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// deadline is a time after which a read or write fails. It must be set before its first use; the zero time means no deadline.
type deadline struct {
	mu     sync.Mutex
	timer  *time.Timer
	passed chan struct{} // closed when the deadline has passed
}

// expired returns a channel that is closed when the current deadline has passed. Where the current deadline has not passed, set moves
// the time at which this same channel is closed, also for a read or write that is waiting on it.
func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed
}

// set sets the deadline to t; the zero time means none.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() || d.passed == nil {
		d.passed = make(chan struct{}) // the timer of the previous deadline has expired and closes the old channel
	}
	d.timer = nil
	if t.IsZero() {
		return
	}
	passed := d.passed
	d.timer = time.AfterFunc(time.Until(t), func() { close(passed) })
}
