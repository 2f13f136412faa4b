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

// memberEnv is the environment (env.Env) of one start of an emulated member. It is the machine's own environment, but counts the bytes
// at the member's sockets, delays or holds what goes between regions, and can end at once as a process does that is killed.
//
// A connection inside a region is the kernel's connection with a byte counter: it takes no goroutine and no copy more than that of a
// real member. On a connection between regions, the side that dialed delays and holds the bytes of both directions, because an accepted
// connection does not show in which region its other end is. A process that is not emulated uses relays for that.
type memberEnv struct {
	env.Real
	paths          *regionPaths
	region         string
	voterAddresses map[string]bool
	traffic        *trafficCounters
	fault          Fault
	renewInterval  time.Duration // between two renewals of the lease

	listening chan struct{} // closed once the member listens

	mu       sync.Mutex
	ended    atomic.Bool // terminate was called
	listener net.Listener
	conns    map[net.Conn]struct{} // open at the member
}

// trafficCounters counts the bytes through a member's sockets, over all its starts. Those to and from voters are included in out and in.
type trafficCounters struct{ in, out, toVoters, fromVoters atomic.Int64 }

// addRead adds n received bytes; voter says that a voter sent them.
func (t *trafficCounters) addRead(n int, voter bool) {
	t.in.Add(int64(n))
	if voter {
		t.fromVoters.Add(int64(n))
	}
}

// addWritten adds n sent bytes; voter says that they go to a voter.
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

// clockJump is by how much the clock of leases jumps ahead when an environment is terminated. It is longer than the longest lease: the
// goroutines of the member that are still ending then hold no lease and have nothing to wait for.
const clockJump = time.Hour

// BootTime implements env.Env.
func (e *memberEnv) BootTime() time.Duration {
	if e.ended.Load() {
		return e.Real.BootTime() + clockJump
	}
	return e.Real.BootTime()
}

// NewTimer implements env.Env.
func (e *memberEnv) NewTimer(d time.Duration) env.Timer {
	return &timer{Timer: e.Real.NewTimer(d), env: e}
}

// leaseGoroutine is the name that a member gives the goroutine that renews its lease.
const leaseGoroutine = "lease"

// Go implements env.Env. The goroutine that renews the lease gets a thread of its own, so that the kernel wakes each member
// independently, as it does members in separate processes. Without these threads, members whose renewals the leader once answered
// together are woken together from then on, the leader answers them together again, and 60 emulated members cost it only 0.62 to 0.76
// of what 60 real ones cost.
func (e *memberEnv) Go(name string, f func()) {
	if name != leaseGoroutine {
		e.Real.Go(name, f)
		return
	}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		f()
	}()
}

// Listen implements env.Env.
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

// listener wraps the connections that it accepts, so that they are counted and end with the environment.
type listener struct {
	net.Listener
	env *memberEnv
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.env.track(&conn{Conn: c, env: l.env})
}

// Dial implements env.Env. A connection to an address in another region is delayed and held as the path to that region says.
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

// track adds a connection to those that terminate closes. If the environment has ended, it closes the connection.
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

// release removes a connection that is being closed.
func (e *memberEnv) release(c net.Conn) {
	e.mu.Lock()
	delete(e.conns, c)
	e.mu.Unlock()
}

// openConns returns the number of open connections.
func (e *memberEnv) openConns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// terminate ends the environment at once, as when a process is killed: nobody can connect to it, and nothing more is sent or received.
// What was written before still arrives.
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

// conn is a connection whose bytes are counted. It passes on no methods of the kernel's connection beyond those of net.Conn and
// SyscallConn: bytes that bypassed Read and Write (as by io.ReaderFrom) would not be counted.
type conn struct {
	net.Conn
	env   *memberEnv
	voter bool // the member dialed it and its other end is a voter
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.env.traffic.addRead(n, c.voter)
	return n, err
}

// Write implements net.Conn.
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

// Close implements net.Conn.
func (c *conn) Close() error {
	c.env.release(c)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn. httpwire uses it to check whether an idle connection is still usable.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }
