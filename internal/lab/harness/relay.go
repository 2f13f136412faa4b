package harness

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay carries connections from one process to another. A way that is cut holds its bytes, as a network does whose
// packets are lost: they come late, or never if the connection ends before.
type relay struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	changed    *sync.Cond
	partitions [2]int           // cuts of the ways there and back that have not ended
	delay      [2]time.Duration // of what goes there, and back
	closed     bool
	conns      map[net.Conn]struct{}
}

// The ways of a relay.
const (
	toTarget = iota
	fromTarget
)

// newRelay listens at a free port of a host.
func newRelay(host, target string) (*relay, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.handle(from)
	}
}

func (r *relay) handle(from net.Conn) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(from)
		return
	}
	r.mu.Lock()
	r.conns[from], r.conns[to] = struct{}{}, struct{}{}
	closed := r.closed
	r.mu.Unlock()
	if closed {
		r.drop(from, to)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(to, from, toTarget) })
	both.Go(func() { r.copy(from, to, fromTarget) })
	both.Wait()
	r.drop(from, to)
}

func (r *relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
		c.Close()
	}
}

// copy passes on one way until its end.
func (r *relay) copy(to, from net.Conn, dir int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		for r.partitions[dir] > 0 && !r.closed {
			r.changed.Wait()
		}
		delay := r.delay[dir]
		r.mu.Unlock()
		time.Sleep(delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				if half, ok := to.(*net.TCPConn); ok {
					half.CloseWrite()
				}
				return
			}
			reset(to)
			return
		}
	}
}

// setPartitioned cuts a way or opens it.
func (r *relay) setPartitioned(dir int, partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitions[dir]--; partitioned {
		r.partitions[dir] += 2
	}
	r.changed.Broadcast()
}

// addDelay has what goes a way come so much later than before, or sooner where that is below 0.
func (r *relay) addDelay(dir int, by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay[dir] += by
}

// resetAll breaks all connections, in the middle of whatever they carry.
func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.changed.Broadcast()
	r.mu.Unlock()
	r.resetAll()
}

// reset ends a connection by a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
