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

// memberEnv is the world of one start of a hollow member: the machine's own, of which it counts the bytes at the member's sockets,
// holds up what goes between regions, and which ends whole, as a process does that is killed.
//
// A connection inside a region is the kernel's with a count beside it: no goroutine and no copy more than a real member has.
// What goes between regions is held up by who dialed, both ways: an accepted connection does not tell where its other end
// stands, and each connection has one end that dialed. A process that is not hollow has relays for that.
type memberEnv struct {
	env.Real
	paths          *regionPaths
	region         string
	voterAddresses map[string]bool // addresses
	traffic        *trafficCounters
	fault          Fault
	renewInterval  time.Duration // between two questions for the lease

	listening chan struct{} // closed once it listens

	mu       sync.Mutex
	ended    atomic.Bool // it has been brought down
	listener net.Listener
	conns    map[net.Conn]struct{} // that are open at the member
}

// trafficCounters is what has gone through a member's sockets, over all its starts.
type trafficCounters struct{ in, out, toVoters, fromVoters atomic.Int64 }

func (t *trafficCounters) addRead(n int, voter bool) {
	t.in.Add(int64(n))
	if voter {
		t.fromVoters.Add(int64(n))
	}
}

func (t *trafficCounters) addWritten(n int, voter bool) {
	t.out.Add(int64(n))
	if voter {
		t.toVoters.Add(int64(n))
	}
}

func newMemberEnv(paths *regionPaths, region string, voterAddresses map[string]bool, traffic *trafficCounters, fault Fault, renewInterval time.Duration) *memberEnv {
	return &memberEnv{paths: paths, region: region, voterAddresses: voterAddresses, traffic: traffic, fault: fault, renewInterval: renewInterval,
		listening: make(chan struct{}), conns: map[net.Conn]struct{}{}}
}

var errKilled = errors.New("this process has been killed")

// clockJump is by how far the clock of leases goes ahead in a world that is over, above the longest lease: what is left of the
// member there holds none, and has nothing to wait for.
const clockJump = time.Hour

// BootTime is env.Env's.
func (e *memberEnv) BootTime() time.Duration {
	if e.ended.Load() {
		return e.Real.BootTime() + clockJump
	}
	return e.Real.BootTime()
}

// NewTimer is env.Env's.
func (e *memberEnv) NewTimer(d time.Duration) env.Timer {
	return &timer{Timer: e.Real.NewTimer(d), env: e}
}

// leaseGoroutine is what a member calls the goroutine that asks for its lease.
const leaseGoroutine = "lease"

// Go is env.Env's. The goroutine that asks for the lease gets a thread of its own, as it has in a process of its own: the kernel
// wakes each member by itself. Without, members whose questions the leader has once answered together are woken together ever
// after, the leader answers them together again, and 60 of them cost it 0.62 to 0.76 of what 60 real ones do.
func (e *memberEnv) Go(name string, f func()) {
	if name != leaseGoroutine {
		e.Real.Go(name, f)
		return
	}
	go func() {
		runtime.LockOSThread() // until its end, which ends the thread
		f()
	}()
}

// Listen is env.Env's.
func (e *memberEnv) Listen(address string) (net.Listener, error) {
	l, err := e.Real.Listen(address)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended.Load() {
		l.Close()
		return nil, errKilled
	}
	e.listener = l
	close(e.listening)
	return &listener{l, e}, nil
}

type listener struct {
	net.Listener
	env *memberEnv
}

// Accept is net.Listener's.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.env.track(&conn{Conn: c, env: l.env})
}

// Dial is env.Env's.
func (e *memberEnv) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if e.ended.Load() {
		return nil, errKilled
	}
	voter := e.voterAddresses[address]
	if path := e.paths.pathTo(e.region, address); path != nil {
		c, err := dialRegion(ctx, e, path, address, timeout, voter)
		if err != nil {
			return nil, err
		}
		return e.track(c)
	}
	c, err := e.Real.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	return e.track(&conn{Conn: c, env: e, voter: voter})
}

// track books a connection until it is closed.
func (e *memberEnv) track(c net.Conn) (net.Conn, error) {
	e.mu.Lock()
	if !e.ended.Load() {
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		return c, nil
	}
	e.mu.Unlock()
	c.Close()
	return nil, errKilled
}

func (e *memberEnv) release(c net.Conn) {
	e.mu.Lock()
	delete(e.conns, c)
	e.mu.Unlock()
}

// openConns is how many connections stand.
func (e *memberEnv) openConns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// terminate brings it down in one moment: nobody can connect, nothing more is said or heard, as when a process is killed. What has
// left before is on its way.
func (e *memberEnv) terminate() {
	e.mu.Lock()
	e.ended.Store(true)
	l, conns := e.listener, e.conns
	e.conns = map[net.Conn]struct{}{}
	e.mu.Unlock()
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
	env   *memberEnv
	voter bool // its other end is a keeper that the member dialed
}

// Read is net.Conn's.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.env.traffic.addRead(n, c.voter)
	return n, err
}

// Write is net.Conn's.
func (c *conn) Write(b []byte) (int, error) {
	if c.env.fault == LosesState && c.voter {
		return writeWithoutState(b, c.write)
	}
	return c.write(b)
}

func (c *conn) write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.env.traffic.addWritten(n, c.voter)
	return n, err
}

// Close is net.Conn's.
func (c *conn) Close() error {
	c.env.release(c)
	return c.Conn.Close()
}

// SyscallConn is syscall.Conn's: httpwire looks there whether an idle connection still stands.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }
