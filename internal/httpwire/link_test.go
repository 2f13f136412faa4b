package httpwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"heathgap/internal/env"
)

// linkPair returns a connection to an endpoint, and the endpoint's end of it.
func linkPair(t *testing.T) (*Link, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	link, err := Dial(context.Background(), env.Real{}, listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return link, conn.(*net.TCPConn)
}

// reset resets a connection: the other side reads what has come, and then an error.
func reset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	if err := conn.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a truncated answer that looks complete: if only the connection's end marks the end of an answer, a
// reset must not count as one, even if the reset was already reported to a Peek.
func TestResetDoesNotCompleteAnAnswer(t *testing.T) {
	const open = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for name, text := range map[string]string{
		"no body yet": open, "half a body": open + "half", "of HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\nhalf",
	} {
		link, endpoint := linkPair(t)
		if _, err := link.Send(time.Now().Add(5*time.Second), EncodeProbe()); err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(endpoint).ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(endpoint, text); err != nil {
			t.Fatal(err)
		}
		reset(t, endpoint) // on loopback, it has arrived when Close returns
		if reply, err := link.Receive(NewMemoryBudget(1<<20), env.Real{}); err == nil {
			t.Errorf("%s: taken for complete: %q", name, reply.Body)
		}
	}
}
