package emulated

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"heathgap/internal/env"
)

// world is the world of one start of a hollow member: the machine's own, of which it counts the bytes at the member's sockets,
// holds up what goes between regions, and which ends whole, as a process does that is killed.
//
// A connection inside a region is the kernel's with a count beside it: no goroutine and no copy more than a real member has.
// What goes between regions is held up by who dialed, both ways: an accepted connection does not tell where its other end
// stands, and each connection has one end that dialed. A process that is not hollow has relays for that.
type world struct {
	env.Real
	ways    *ways
	region  string
	keepers map[string]bool // addresses
	spent   *traffic
	fault   Fault
	beat    time.Duration // between two questions for the lease

	listening chan struct{} // closed once it listens

	mu       sync.Mutex
	over     atomic.Bool // it has been brought down
	listener net.Listener
	conns    map[net.Conn]struct{} // that are open at the member
}

// traffic is what has gone through a member's sockets, over all its starts.
type traffic struct{ in, out, toKeeper, ofKeeper atomic.Int64 }

func (t *traffic) read(n int, keeper bool) {
	t.in.Add(int64(n))
	if keeper {
		t.ofKeeper.Add(int64(n))
	}
}

func (t *traffic) wrote(n int, keeper bool) {
	t.out.Add(int64(n))
	if keeper {
		t.toKeeper.Add(int64(n))
	}
}

func newWorld(ways *ways, region string, keepers map[string]bool, spent *traffic, fault Fault, beat time.Duration) *world {
	return &world{ways: ways, region: region, keepers: keepers, spent: spent, fault: fault, beat: beat,
		listening: make(chan struct{}), conns: map[net.Conn]struct{}{}}
}

var errOver = errors.New("this process has been killed")

// afterlife is by how far the clock of leases goes ahead in a world that is over, above the longest lease: what is left of the
// member there holds none, and has nothing to wait for.
const afterlife = time.Hour

// BootTime is env.Env's.
func (w *world) BootTime() time.Duration {
	if w.over.Load() {
		return w.Real.BootTime() + afterlife
	}
	return w.Real.BootTime()
}

// NewTimer is env.Env's.
func (w *world) NewTimer(d time.Duration) env.Timer {
	return &timer{Timer: w.Real.NewTimer(d), world: w}
}

// leaseGoroutine is what a member calls the goroutine that asks for its lease.
const leaseGoroutine = "lease"

// Go is env.Env's. The goroutine that asks for the lease gets a thread of its own, as it has in a process of its own: the kernel
// wakes each member by itself. Without, members whose questions the leader has once answered together are woken together ever
// after, the leader answers them together again, and 60 of them cost it 0.62 to 0.76 of what 60 real ones do.
func (w *world) Go(name string, f func()) {
	if name != leaseGoroutine {
		w.Real.Go(name, f)
		return
	}
	go func() {
		runtime.LockOSThread() // until its end, which ends the thread
		f()
	}()
}

// Listen is env.Env's.
func (w *world) Listen(address string) (net.Listener, error) {
	l, err := w.Real.Listen(address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over.Load() {
		l.Close()
		return nil, errOver
	}
	w.listener = l
	close(w.listening)
	return &listener{l, w}, nil
}

type listener struct {
	net.Listener
	world *world
}

// Accept is net.Listener's.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.world.keep(&conn{Conn: c, world: l.world})
}

// Dial is env.Env's.
func (w *world) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if w.over.Load() {
		return nil, errOver
	}
	keeper := w.keepers[address]
	if way := w.ways.to(w.region, address); way != nil {
		c, err := dialFar(ctx, w, way, address, timeout, keeper)
		if err != nil {
			return nil, err
		}
		return w.keep(c)
	}
	c, err := w.Real.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	return w.keep(&conn{Conn: c, world: w, keeper: keeper})
}

// keep books a connection until it is closed.
func (w *world) keep(c net.Conn) (net.Conn, error) {
	w.mu.Lock()
	if !w.over.Load() {
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		return c, nil
	}
	w.mu.Unlock()
	c.Close()
	return nil, errOver
}

func (w *world) forget(c net.Conn) {
	w.mu.Lock()
	delete(w.conns, c)
	w.mu.Unlock()
}

// open is how many connections stand.
func (w *world) open() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

// end brings it down in one moment: nobody can connect, nothing more is said or heard, as when a process is killed. What has
// left before is on its way.
func (w *world) end() {
	w.mu.Lock()
	w.over.Store(true)
	l, conns := w.listener, w.conns
	w.conns = map[net.Conn]struct{}{}
	w.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for c := range conns {
		c.Close()
	}
}

// conn is a connection whose bytes are counted. It has no more of the kernel's connection than is named here: what goes past
// Read and Write would not be counted.
type conn struct {
	net.Conn
	world  *world
	keeper bool // its other end is a keeper that the member dialed
}

// Read is net.Conn's.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.world.spent.read(n, c.keeper)
	return n, err
}

// Write is net.Conn's.
func (c *conn) Write(b []byte) (int, error) {
	if c.world.fault == LosesState && c.keeper {
		return forgotten(b, c.write)
	}
	return c.write(b)
}

func (c *conn) write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.world.spent.wrote(n, c.keeper)
	return n, err
}

// Close is net.Conn's.
func (c *conn) Close() error {
	c.world.forget(c)
	return c.Conn.Close()
}

// SyscallConn is syscall.Conn's: httpwire looks there whether an idle connection still stands.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }
