// Package faultproxy contains an injected fault on the wire: a proxy in front of a real sidecar that writes some
// answers twice. The lab uses it to show that its checker notices. Faults in decisions are in package policy.
package faultproxy

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Proxy forwards connections to a sidecar.
type Proxy struct {
	listener net.Listener
	target   string
	every    int // each answer whose number is a multiple of this is written twice

	mu      sync.Mutex
	answers int
	Doubled int // answers that were written twice
	conns   map[net.Conn]struct{}
}

// Start starts a proxy in front of the sidecar at target.
func Start(listen, target string, every int) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, every: every, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the proxy and its connections, and returns how many answers it wrote twice.
func (p *Proxy) Close() int {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
	return p.Doubled
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.track(conn)
		go p.serve(conn)
	}
}

// track remembers a connection for Close.
func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

// untrack closes a connection and forgets it.
func (p *Proxy) untrack(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

const messageTimeout = 30 * time.Second // bounds dialing and each exchange of a request and its answer: nothing waits forever

// serve forwards the requests of one connection, one after the other.
func (p *Proxy) serve(conn net.Conn) {
	defer p.untrack(conn)
	sidecar, err := net.DialTimeout("tcp", p.target, messageTimeout)
	if err != nil {
		return
	}
	p.track(sidecar)
	defer p.untrack(sidecar)
	in, back := bufio.NewReader(conn), bufio.NewReader(sidecar)
	var request fasthttp.Request
	var answer fasthttp.Response
	for {
		conn.SetDeadline(time.Now().Add(messageTimeout))
		sidecar.SetDeadline(time.Now().Add(messageTimeout))
		if request.Read(in) != nil || write(sidecar, request.Write) != nil || answer.Read(back) != nil {
			return
		}
		w := bufio.NewWriter(conn)
		times := 1
		if p.nextIsDoubled() {
			times = 2
		}
		for range times {
			if answer.Write(w) != nil {
				return
			}
		}
		if w.Flush() != nil || answer.ConnectionClose() {
			return
		}
	}
}

func write(conn net.Conn, encode func(w *bufio.Writer) error) error {
	w := bufio.NewWriter(conn)
	if err := encode(w); err != nil {
		return err
	}
	return w.Flush()
}

// nextIsDoubled counts an answer and reports whether it is to be written twice.
func (p *Proxy) nextIsDoubled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
	if p.answers%p.every == 0 {
		p.Doubled++
		return true
	}
	return false
}
