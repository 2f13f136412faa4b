// Package faultproxy is a stand-in for a sidecar whose wire is faulty: it stands before a
// real one and answers some requests twice. The lab shows by it that its book would
// notice; what policies can do wrong, package policy does.
package faultproxy

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Proxy passes connections on.
type Proxy struct {
	listener net.Listener
	target   string
	every    int // of so many answers one is written twice

	mu      sync.Mutex
	answers int
	Doubled int // so many were
	conns   map[net.Conn]struct{}
}

// Start starts one before a sidecar.
func Start(listen, target string, every int) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, every: every, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address is where clients connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends it and its connections, and returns how many answers it doubled.
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

func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *Proxy) untrack(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

const messageTimeout = 30 * time.Second // for each message: nothing waits for ever

// serve passes requests of one connection on, one after the other.
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

// nextIsDoubled tells whether the next answer is written twice.
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
