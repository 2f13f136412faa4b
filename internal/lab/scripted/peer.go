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

// Steps: stand-ins that do one thing at a time, when the test says so. Where two events are to cross, the test is the
// barrier: it does the one, hears that it has come, and then does the other.

// stepTimeout bounds each step: far more than any should take.
const stepTimeout = 20 * time.Second

// Listener is an address at which the test takes connections one by one.
type Listener struct {
	Address string
	t       testing.TB
	conns   chan *net.TCPConn
}

// Listen opens one on loopback; it ends with the test.
func Listen(t testing.TB) *Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const maxPending = 64 // connections that the test has not taken yet
	l := &Listener{Address: listener.Addr().String(), t: t, conns: make(chan *net.TCPConn, maxPending)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.conns <- conn.(*net.TCPConn)
		}
	}()
	return l
}

// Accept is the next connection that comes.
func (l *Listener) Accept() *Peer {
	l.t.Helper()
	select {
	case conn := <-l.conns:
		return newPeer(l.t, conn)
	case <-time.After(stepTimeout):
		l.t.Fatalf("nobody came to %s", l.Address)
		return nil
	}
}

// HasPending tells whether a connection has come that was not taken.
func (l *Listener) HasPending() bool { return len(l.conns) > 0 }

// Peer is one side of a connection whose other side is under test.
type Peer struct {
	*net.TCPConn
	t testing.TB
	r *bufio.Reader
}

// Connect makes a connection to what is under test.
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
	conn.SetDeadline(time.Now().Add(stepTimeout)) //nolint:errcheck // the step that meets it fails
	return &Peer{TCPConn: conn, t: t, r: bufio.NewReader(conn)}
}

// ReadRequest reads one request whole.
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

// ReadAnswer reads one answer whole and returns its status and body; an answer that breaks off has status 0.
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

// Reset breaks the connection: on loopback the other side has been told when it returns.
func (p *Peer) Reset() {
	p.t.Helper()
	if err := errors.Join(p.SetLinger(0), p.Close()); err != nil {
		p.t.Fatal(err)
	}
}

// ReadToEnd reads to the end of the connection and returns what came; the error is nil if it ended in order.
func (p *Peer) ReadToEnd() (string, error) {
	text, err := io.ReadAll(p.r)
	return string(text), err
}

// OK is an answer 200 with a body.
func OK(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
