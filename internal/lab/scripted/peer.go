package scripted

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The types of this file do one thing at a time, when the test calls them. A test that needs two events in a certain
// order causes the first, waits for its result and then causes the second.

// stepTimeout bounds each step. It is far more than any step should take.
const stepTimeout = 20 * time.Second

// Listener is an address at which the test accepts connections one by one.
type Listener struct {
	Address string
	t       testing.TB
	conns   chan *net.TCPConn
}

// Listen opens a Listener on loopback. It is closed at the end of the test.
func Listen(t testing.TB) *Listener {
	t.Helper()
	const maxPending = 64 // connections that the test has not accepted yet
	l := &Listener{t: t, conns: make(chan *net.TCPConn, maxPending)}
	l.Address = ServeConns(t, func(conn *net.TCPConn) { l.conns <- conn })
	return l
}

// ServeConns listens on loopback until the end of the test and returns the address. It calls serve for each connection, one
// after the other.
func ServeConns(t testing.TB, serve func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// Accept returns the next connection, and fails the test if none comes within stepTimeout.
func (l *Listener) Accept() *Peer {
	l.t.Helper()
	select {
	case conn := <-l.conns:
		return newPeer(l.t, conn)
	case <-time.After(stepTimeout):
		l.t.Fatalf("no connection came to %s", l.Address)
		return nil
	}
}

// HasPending reports whether a connection has come that the test has not accepted.
func (l *Listener) HasPending() bool { return len(l.conns) > 0 }

// Peer is the test's side of a connection; the other side is under test.
type Peer struct {
	*net.TCPConn
	t testing.TB
	r *bufio.Reader
}

// Connect connects to an address of the program under test.
func Connect(t testing.TB, address string) *Peer {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return newPeer(t, conn.(*net.TCPConn))
}

func newPeer(t testing.TB, conn *net.TCPConn) *Peer {
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(stepTimeout)) //nolint:errcheck // if this fails, the step that needs the deadline fails
	return &Peer{TCPConn: conn, t: t, r: bufio.NewReader(conn)}
}

// ReadRequest reads one complete request.
func (p *Peer) ReadRequest() *http.Request {
	p.t.Helper()
	r, err := http.ReadRequest(p.r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
	}
	if err != nil {
		p.t.Fatalf("no request: %v", err)
	}
	return r
}

// ReadAnswer reads one complete answer and returns its status and body. The status is 0 if the answer is incomplete.
func (p *Peer) ReadAnswer() (int, string) {
	m, err := http.ReadResponse(p.r, nil)
	if err != nil {
		return 0, ""
	}
	body, err := io.ReadAll(m.Body)
	if err != nil {
		return 0, string(body)
	}
	return m.StatusCode, string(body)
}

// Send writes a text.
func (p *Peer) Send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p.TCPConn, text); err != nil {
		p.t.Fatalf("writing: %v", err)
	}
}

// Reset resets the connection. On loopback the other side has received the reset when this returns.
func (p *Peer) Reset() {
	p.t.Helper()
	if err := errors.Join(p.SetLinger(0), p.Close()); err != nil {
		p.t.Fatal(err)
	}
}

// ReadToEnd reads to the end of the connection and returns what came. The error is nil if the connection was closed in
// order.
func (p *Peer) ReadToEnd() (string, error) {
	text, err := io.ReadAll(p.r)
	return string(text), err
}

// OK returns an answer with status 200 and a body.
func OK(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
