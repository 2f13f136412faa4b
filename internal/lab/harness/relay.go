package harness

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay forwards connections from one process to another. A direction that is partitioned holds back its bytes, as a network does
// that loses packets: they arrive late, or never if the connection ends before.
type relay struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	changed    *sync.Cond       // signals a change of partitions or closed
	partitions [2]int           // partitions of each direction that have not been healed
	delay      [2]time.Duration // of each direction
	closed     bool
	conns      map[net.Conn]struct{}
}

// The directions of a relay.
const (
	toTarget = iota
	fromTarget
)

// newRelay starts a relay that listens at a free port of a host.
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

// handle forwards one connection until both directions have ended.
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

// drop closes connections and forgets them.
func (r *relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
		c.Close()
	}
}

// copy forwards one direction of a connection until its end.
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

// setPartitioned partitions a direction or heals it. Partitions add up: each needs a healing of its own.
func (r *relay) setPartitioned(dir int, partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitions[dir]--; partitioned {
		r.partitions[dir] += 2
	}
	r.changed.Broadcast()
}

// addDelay adds a delay to a direction; a negative one takes it away.
func (r *relay) addDelay(dir int, by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay[dir] += by
}

// resetAll resets all connections, whatever they are forwarding.
func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// close stops listening and resets all connections.
func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.changed.Broadcast()
	r.mu.Unlock()
	r.resetAll()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
