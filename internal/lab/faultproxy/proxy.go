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
	to       string
	every    int // of so many answers one is written twice

	mu      sync.Mutex
	answers int
	Doubled int // so many were
	conns   map[net.Conn]struct{}
}

// Start starts one before a sidecar.
func Start(listen, to string, every int) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &Proxy{listener: listener, to: to, every: every, conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address is where clients connect.
func (l *Proxy) Address() string { return l.listener.Addr().String() }

// Close ends it and its connections, and returns how many answers it doubled.
func (l *Proxy) Close() int {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
	return l.Doubled
}

func (l *Proxy) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.keep(conn)
		go l.serve(conn)
	}
}

func (l *Proxy) keep(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *Proxy) drop(c net.Conn) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

const patience = 30 * time.Second // for each message: nothing waits for ever

// serve passes requests of one connection on, one after the other.
func (l *Proxy) serve(conn net.Conn) {
	defer l.drop(conn)
	out, err := net.DialTimeout("tcp", l.to, patience)
	if err != nil {
		return
	}
	l.keep(out)
	defer l.drop(out)
	in, back := bufio.NewReader(conn), bufio.NewReader(out)
	var request fasthttp.Request
	var answer fasthttp.Response
	for {
		conn.SetDeadline(time.Now().Add(patience))
		out.SetDeadline(time.Now().Add(patience))
		if request.Read(in) != nil || write(out, request.Write) != nil || answer.Read(back) != nil {
			return
		}
		text := bufio.NewWriter(conn)
		times := 1
		if l.twice() {
			times = 2
		}
		for range times {
			if answer.Write(text) != nil {
				return
			}
		}
		if text.Flush() != nil || answer.ConnectionClose() {
			return
		}
	}
}

func write(conn net.Conn, to func(w *bufio.Writer) error) error {
	w := bufio.NewWriter(conn)
	if err := to(w); err != nil {
		return err
	}
	return w.Flush()
}

// twice tells whether the next answer is written twice.
func (l *Proxy) twice() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers++
	if l.answers%l.every == 0 {
		l.Doubled++
		return true
	}
	return false
}
