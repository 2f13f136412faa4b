package httpwire

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"heathgap/internal/env"
)

// callerPair returns a caller's connection that seems to have been idle for long, the caller's end of it, and the
// reasons with which connections end.
func callerPair(t *testing.T) (*CallerConn, net.Conn, *[]Reason) {
	t.Helper()
	callers, ended := testCallers(t)
	c, client := connectIdle(t, callers)
	return c, client, ended
}

// testCallers returns a listener for callers, and the reasons with which its connections end.
func testCallers(t *testing.T) (*Callers, *[]Reason) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var ended []Reason
	return NewCallers(listener, env.Real{}, 10, func(_ *CallerConn, reason Reason) { ended = append(ended, reason) }), &ended
}

// connectIdle returns a new connection that seems to have been idle for long, and the caller's end of it.
func connectIdle(t *testing.T, callers *Callers) (*CallerConn, net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", callers.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	conn, err := callers.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := conn.(*CallerConn)
	t.Cleanup(func() { c.Close() })
	c.changedAt = c.changedAt.Add(-time.Hour)
	return c, client
}

// Guards against hundreds of callers that connect and send nothing: a connection that has brought a valid request is
// closed after those that have not, however old it is.
func TestUnprovenConnectionsAreClosedFirst(t *testing.T) {
	callers, _ := testCallers(t)
	proven, _ := connectIdle(t, callers)
	proven.Watch(func() {})
	proven.Unwatch()
	proven.MarkAnswered(nil)
	var silent []*CallerConn
	for range 3 {
		c, _ := connectIdle(t, callers)
		silent = append(silent, c)
	}
	proven.mu.Lock()
	proven.finishAnswered()
	proven.changedAt = proven.changedAt.Add(-2 * time.Hour)
	proven.mu.Unlock()
	callers.closeOldest(2)
	callers.closeOldest(1)
	for i, c := range silent {
		if !c.Closing() {
			t.Errorf("silent connection %d was not closed", i)
		}
	}
	if proven.Closing() {
		t.Error("the proven connection was closed before the silent ones")
	}
	if callers.closeOldest(1); !proven.Closing() {
		t.Error("the proven connection stayed open though it was the only one left to close")
	}
	if n := callers.pending.Load(); n != 0 {
		t.Errorf("%d connections count as holding a request", n)
	}
}

// Guards against a request that is lost because it has come, unread, on a connection that is being closed.
func TestClosingConnectionStillReadsReceivedBytes(t *testing.T) {
	for name, end := range map[string]func(*CallerConn){
		"connection limit": func(c *CallerConn) { c.closeIdle(ReasonConnLimit) },
		"idle limit":       func(c *CallerConn) { c.SetReadDeadline(pastDeadline) },
	} {
		c, client, _ := callerPair(t)
		if _, err := client.Write([]byte("GET")); err != nil {
			t.Fatal(err)
		}
		end(c)
		b := make([]byte, 1)
		if n, err := c.Read(b); n != 1 || err != nil {
			t.Errorf("%s: %d bytes, %v; want the first of the request", name, n, err)
			continue
		}
		if rest, err := io.ReadAtLeast(c, make([]byte, 2), 2); rest != 2 {
			t.Errorf("%s: %d bytes of the rest, %v", name, rest, err)
		}
	}
}

// An idle connection is closed without an answer, which its caller could take for the answer to its next request: the
// server reads it as closed.
func TestClosingConnectionReadsAsClosed(t *testing.T) {
	c, _, ended := callerPair(t)
	if !c.closeIdle(ReasonShutdown) || c.closeIdle(ReasonConnLimit) {
		t.Error("an idle connection must be closed, and only once")
	}
	c.SetReadDeadline(time.Now().Add(time.Minute)) // as the server does before it reads
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d bytes, %v; want io.EOF", n, err)
	}
	c.Close()
	c.Close()
	if len(*ended) != 1 || (*ended)[0] != ReasonShutdown {
		t.Errorf("ended: %v, want shutdown once", *ended)
	}
}

// A connection does not count as idle between its accept and its first request, nor while a request is coming or
// pending.
func TestBusyConnectionIsNotClosed(t *testing.T) {
	c, client, _ := callerPair(t)
	c.changedAt = time.Now()
	if c.closeIdle(ReasonConnLimit) {
		t.Error("closed right after its accept")
	}
	client.Write([]byte("G"))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	c.changedAt = c.changedAt.Add(-time.Hour)
	if c.closeIdle(ReasonConnLimit) {
		t.Error("closed while a request was coming")
	}
	c.Watch(func() {})
	if c.abortIncomplete(ReasonConnLimit, incompleteTime) {
		t.Error("aborted as incomplete while a complete request was pending")
	}
	c.Unwatch()
}

// Guards against callers that take more connections than the limit, even for a moment: new ones wait in the backlog for
// a place, and get one.
func TestNeverMoreThanTheLimit(t *testing.T) {
	const come, limit = 30, 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	callers := NewCallers(listener, env.Real{}, limit, func(*CallerConn, Reason) {})
	var wait sync.WaitGroup
	defer wait.Wait()
	for range come {
		client, err := net.Dial("tcp", callers.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
	}
	for n := range come {
		conn, err := callers.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if open := callers.Open(); open > limit {
			t.Errorf("%d connections open after %d accepts, the limit is %d", open, n, limit)
		}
		wait.Go(func() { // as the server does
			io.Copy(io.Discard, conn) //nolint:errcheck // it is closed without data
			conn.Close()
		})
	}
}

// Guards against a crowd that displaces a usual caller: a connection that has brought a valid request stays open,
// however long it has been idle, while others will soon have been idle for minIdleTime.
func TestProvenConnectionSurvivesACrowd(t *testing.T) {
	callers, _ := testCallers(t)
	proven, _ := connectIdle(t, callers)
	proven.Watch(func() {})
	proven.Unwatch()
	proven.MarkAnswered(nil)
	proven.mu.Lock()
	proven.finishAnswered()
	proven.changedAt = proven.changedAt.Add(-time.Hour)
	proven.mu.Unlock()
	silent, _ := connectIdle(t, callers)
	silent.changedAt = silent.changedAt.Add(2 * time.Hour) // has been idle for less than minIdleTime
	if callers.closeOldest(1); proven.Closing() || silent.Closing() {
		t.Errorf("proven connection closed: %v, new silent connection closed: %v; want neither", proven.Closing(), silent.Closing())
	}
	if callers.closeOldest(2); !proven.Closing() {
		t.Error("the proven connection stayed open though both had to be closed")
	}
}

// lateConn simulates a machine so busy that a deadline in the near future passes before the read starts.
type lateConn struct{ *net.TCPConn }

// SetReadDeadline implements net.Conn.
func (c lateConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && time.Until(t) <= lastReadTime {
		t = pastDeadline
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Guards against a request that is lost because it has come, unread, on a connection that is being closed on a busy
// machine.
func TestLastReadOnABusyMachine(t *testing.T) {
	c, client, _ := callerPair(t)
	if _, err := client.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	tcp := c.Conn.(*net.TCPConn)
	c.Conn = lateConn{tcp}
	for n := 0; n == 0; { // until the bytes have come
		if err := readable(tcp, &n); err != nil {
			t.Fatal(err)
		}
	}
	c.closeIdle(ReasonConnLimit)
	if n, err := c.Read(make([]byte, 3)); n != 3 || err != nil {
		t.Errorf("%d bytes, %v; want the 3 received bytes", n, err)
	}
}

// readable sets n to the number of received, unread bytes.
func readable(c *net.TCPConn, n *int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { *n, failed = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return errors.Join(err, failed)
}
