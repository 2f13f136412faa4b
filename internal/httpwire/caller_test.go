package httpwire

import (
	"io"
	"net"
	"testing"
	"time"
)

// callerPair returns a caller's connection that has been idle for long, and the
// caller's end of it.
func callerPair(t *testing.T) (*CallerConn, net.Conn, *[]Reason) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var ended []Reason
	callers := NewCallers(listener, 10, func(_ *CallerConn, why Reason) { ended = append(ended, why) })
	client, err := net.Dial("tcp", listener.Addr().String())
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
	c.changed = c.changed.Add(-time.Hour)
	return c, client, &ended
}

// Guards against a request that stands unread in a connection which is ended.
func TestRetiredConnectionStillGivesWhatHasCome(t *testing.T) {
	for name, end := range map[string]func(*CallerConn){
		"made room":  func(c *CallerConn) { c.retire(ReasonRoom) },
		"idle limit": func(c *CallerConn) { c.SetReadDeadline(aPast) },
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

// An idle connection ends in silence: it reads as closed, and an answer that its
// caller could take for one to its next request is never made.
func TestRetiredConnectionReadsAsClosed(t *testing.T) {
	c, _, ended := callerPair(t)
	if !c.retire(ReasonShutdown) || c.retire(ReasonRoom) {
		t.Error("an idle connection is retired once")
	}
	c.SetReadDeadline(time.Now().Add(time.Minute)) // the server's, before it reads
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d bytes, %v; want io.EOF", n, err)
	}
	c.Close()
	c.Close()
	if len(*ended) != 1 || (*ended)[0] != ReasonShutdown {
		t.Errorf("ended: %v, want shutdown once", *ended)
	}
}

// A connection is not taken for idle between its accept and its first request,
// nor while a request comes or is held.
func TestBusyConnectionIsNotRetired(t *testing.T) {
	c, client, _ := callerPair(t)
	c.changed = time.Now()
	if c.retire(ReasonRoom) {
		t.Error("retired when new")
	}
	client.Write([]byte("G"))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	c.changed = c.changed.Add(-time.Hour)
	if c.retire(ReasonRoom) {
		t.Error("retired while a request comes")
	}
	c.Watch(func() {})
	if c.cutShort() {
		t.Error("cut short while a whole request is held")
	}
	c.Unwatch()
}
