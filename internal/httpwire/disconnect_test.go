package httpwire

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heathgap/internal/env"
	"heathgap/internal/lab/scripted"
)

// acceptPeer returns a connection of a caller, and the caller's end of it.
func acceptPeer(t *testing.T) (*CallerConn, *scripted.Peer) {
	t.Helper()
	callers, _ := testCallers(t)
	peer := scripted.Connect(t, callers.Addr().String())
	conn, err := callers.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*CallerConn), peer
}

// Guards against a disconnect that goes unnoticed because unread bytes come before it, pipelined requests or junk. It
// must be noticed whichever way the caller disconnects.
func TestDisconnectIsSeenBehindPipelinedBytes(t *testing.T) {
	ends := map[string]func(*scripted.Peer){
		"ended":      func(p *scripted.Peer) { p.Close() },
		"half-ended": func(p *scripted.Peer) { p.CloseWrite() },
		"reset":      func(p *scripted.Peer) { p.Reset() },
	}
	for name, end := range ends {
		for _, ahead := range []int{0, 1, 300, maxPipelinedKept, maxPipelinedKept + 1, 100 << 10} {
			t.Run(fmt.Sprintf("%s behind %d", name, ahead), func(t *testing.T) {
				c, peer := acceptPeer(t)
				left := make(chan struct{})
				c.Watch(func() { close(left) })
				peer.Send(strings.Repeat("x", ahead))
				end(peer)
				select {
				case <-left:
				case <-time.After(10 * time.Second):
					t.Fatal("the disconnect went unnoticed")
				}
				c.Unwatch()
			})
		}
	}
}

// Guards against a caller that sends without end after its request: it counts as disconnected, and its bytes are not
// kept.
func TestFloodBehindARequest(t *testing.T) {
	c, peer := acceptPeer(t)
	left := make(chan struct{})
	c.Watch(func() { close(left) })
	peer.Send(strings.Repeat("x", maxPipelined+1))
	<-left
	c.Unwatch()
	if len(c.pipelined) > maxPipelinedKept || !c.Closing() {
		t.Errorf("%d bytes kept, closing %v", len(c.pipelined), c.Closing())
	}
}

// Pipelined bytes are read in order, as long as they are few enough to be kept.
func TestPipelinedBytesAreReadInOrder(t *testing.T) {
	c, peer := acceptPeer(t)
	var want strings.Builder
	for i := range 500 {
		fmt.Fprintf(&want, "%d,", i)
	}
	c.Watch(func() { t.Error("the watch took the caller for disconnected") })
	peer.Send(want.String())
	for kept := 0; kept < want.Len(); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		kept = len(c.pipelined)
		c.mu.Unlock()
	}
	c.Unwatch()
	got := make([]byte, want.Len())
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want.String() {
		t.Errorf("read %q, %v", got, err)
	}
}

// Guards against bytes ahead that change places because the watch and an attempt read them at once.
func TestBytesAheadAreReadInOrderByBoth(t *testing.T) {
	c, peer := acceptPeer(t)
	var want strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&want, "%d,", i)
	}
	c.Watch(func() { t.Error("the watch took the caller for disconnected") })
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for text := want.String(); text != ""; {
			n := min(len(text), 1+len(text)%70)
			peer.Send(text[:n])
			text = text[n:]
		}
	}()
	for done, kept := false, 0; !done || kept < want.Len(); {
		if c.DisconnectedBehindUnread() {
			t.Fatal("an attempt took the caller for disconnected")
		}
		select {
		case <-sent:
			done = true
		default:
		}
		c.mu.Lock()
		kept = len(c.pipelined)
		c.mu.Unlock()
	}
	c.Unwatch()
	got := make([]byte, want.Len())
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want.String() {
		t.Errorf("read %q, %v", got, err)
	}
}

// Guards against a close that is not seen since the bytes ahead of it come only as those before them are read.
func TestCloseBehindBytesThatComeAsTheyAreRead(t *testing.T) {
	c, peer := acceptPeer(t)
	c.owner.aheadWait = time.Minute // each piece comes in time, however busy the machine is
	c.MarkPending()
	piece := strings.Repeat("x", maxPipelinedKept+1)
	peer.Send(piece)
	go func() {
		for range 20 {
			for c.UnreadBytes() > 0 {
				runtime.Gosched()
			}
			peer.Send(piece)
		}
		for c.UnreadBytes() > 0 {
			runtime.Gosched()
		}
		peer.Close()
	}()
	if !c.DisconnectedBehindUnread() {
		t.Error("the caller counts as connected")
	}
}

// Guards against a close that destroys the answer before it: bytes of the caller are unread at the close, and more come
// during it. The caller must read the answer and then EOF, never a reset, and can still write meanwhile.
func TestCloseOverUnreadBytes(t *testing.T) {
	for _, unread := range []int{1, 5000} {
		c, peer := acceptPeer(t)
		c.MarkPending()
		peer.Send(strings.Repeat("x", unread))
		if _, err := io.WriteString(c, "answer"); err != nil {
			t.Fatal(err)
		}
		c.MarkAnswered(nil)
		closed := make(chan struct{})
		go func() {
			c.Close()
			close(closed)
		}()
		if text, err := peer.ReadToEnd(); text != "answer" || err != nil {
			t.Errorf("%d unread: %q, %v", unread, text, err)
		}
		peer.Send("crossing") // the caller has read EOF: the sidecar has closed its side for writing and still reads
		select {
		case <-closed:
			t.Errorf("%d unread: closed before its caller closed", unread)
		default:
		}
		if _, err := peer.Write([]byte("more")); err != nil {
			t.Errorf("%d unread: writing during the close: %v", unread, err)
		}
		peer.Close()
		<-closed
	}
}

// Guards against a stop that interrupts the lingering of a connection that was closed for another reason.
func TestStopDoesNotInterruptLingering(t *testing.T) {
	c, peer := acceptPeer(t)
	c.changedAt = c.changedAt.Add(-time.Hour) // as if idle for long
	closed := make(chan struct{})
	go func() {
		c.Close()
		close(closed)
	}()
	if text, err := peer.ReadToEnd(); text != "" || err != nil {
		t.Fatalf("%q, %v", text, err)
	}
	if c.closeIdle(ReasonShutdown) {
		t.Error("a stop interrupts the lingering")
	}
	if _, err := io.WriteString(peer, "crossing"); err != nil {
		t.Errorf("writing while it lingers: %v", err)
	}
	if !c.closeIdle(ReasonConnLimit) {
		t.Error("it can't be closed to stay within the limit")
	}
	peer.Close()
	<-closed
}

// Guards against a flood of closes that keep descriptors in use: beyond a number of lingering connections, and to stay
// within the limit, a connection is closed at once.
func TestLingeringIsBounded(t *testing.T) {
	c, peer := acceptPeer(t)
	c.owner.lingering.Store(minLingering)
	c.Close()
	if _, err := peer.ReadToEnd(); err != nil {
		t.Errorf("reading to the end: %v", err)
	}
	if c.owner.lingering.Load() != minLingering {
		t.Errorf("%d connections count as lingering", c.owner.lingering.Load())
	}
	c, _ = acceptPeer(t)
	c.SetReason(ReasonConnLimit)
	begin := time.Now()
	c.Close()
	if took := time.Since(begin); took >= shortLinger {
		t.Errorf("closing took %v, it must not linger", took)
	}
}

// blockedListener returns its second connection only when the test allows it; others wait in the kernel's backlog
// meanwhile.
type blockedListener struct {
	*net.TCPListener
	accepts atomic.Int32
	second  chan struct{}
}

// Accept implements net.Listener.
func (l *blockedListener) Accept() (net.Conn, error) {
	if l.accepts.Add(1) == 2 {
		<-l.second
	}
	return l.TCPListener.Accept()
}

// Guards against callers that are reset because they are in the kernel's backlog when the listener closes.
func TestBacklogIsAcceptedBeforeClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &blockedListener{TCPListener: listener.(*net.TCPListener), second: make(chan struct{})}
	callers := NewCallers(held, env.Real{}, 10, func(*CallerConn, Reason) {})
	const waiting = 4
	var peers []*scripted.Peer
	for range 1 + waiting {
		peers = append(peers, scripted.Connect(t, callers.Addr().String()))
	}
	served := make(chan error, 1)
	go func() { // as the server does
		for {
			conn, err := callers.Accept()
			if err != nil {
				served <- err
				return
			}
			if _, err := io.WriteString(conn, "hello"); err != nil {
				t.Error(err)
			}
			go conn.Close()
		}
	}()
	closed := make(chan struct{})
	go func() {
		callers.Close()
		close(closed)
	}()
	for begun := false; !begun && !callers.closing.Load(); time.Sleep(time.Millisecond) {
		select {
		case <-closed:
			begun = true
		default:
		}
	}
	close(held.second)
	for i, peer := range peers {
		if text, err := peer.ReadToEnd(); text != "hello" || err != nil {
			t.Errorf("caller %d: %q, %v", i, text, err)
		}
		peer.Close()
	}
	<-closed
	if err := <-served; err == nil {
		t.Error("Accept goes on after the close")
	}
	if conn, err := net.DialTimeout("tcp", callers.Addr().String(), time.Second); err == nil {
		conn.Close()
		t.Error("it still listens")
	}
}

// Guards against closed connections that linger, with their descriptors, for as long as an unwanted body is coming,
// while other callers wait for a connection.
func TestLingeringConnectionMakesRoom(t *testing.T) {
	c, peer := acceptPeer(t)
	c.MarkPending()
	c.bodyBegins()
	c.bodyEnded(false)
	closed := make(chan struct{})
	go func() {
		c.Close()
		close(closed)
	}()
	if _, err := peer.ReadToEnd(); err != nil { // it lingers now
		t.Fatal(err)
	}
	for begin := time.Now(); !c.stopLinger(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > longLinger {
			t.Fatal("its lingering can't be ended")
		}
	}
	begin := time.Now()
	<-closed
	if took := time.Since(begin); took > longLinger/2 {
		t.Errorf("ending its lingering took %v", took)
	}
}

// Guards against a disconnect that goes unnoticed because nobody has read the connection: no watch has run, or an unread
// body comes before the disconnect. A caller that stays must never count as disconnected, whatever it sends.
func TestDisconnectIsSeenBehindUnreadBytes(t *testing.T) {
	ends := map[string]func(*scripted.Peer){
		"ended":      func(p *scripted.Peer) { p.Close() },
		"half-ended": func(p *scripted.Peer) { p.CloseWrite() }, //nolint:errcheck // the test sees it
		"reset":      func(p *scripted.Peer) { p.Reset() },
		"stays":      nil,
	}
	for name, end := range ends {
		for _, ahead := range []int{0, 1, 300, maxPipelinedKept + 1, 40 << 10} {
			c, peer := acceptPeer(t)
			c.MarkPending()
			peer.Send(strings.Repeat("x", ahead))
			if end != nil {
				end(peer)
			}
			if got := c.Disconnected(); got != (end != nil) {
				t.Errorf("%s behind %d: disconnected %v", name, ahead, got)
			}
			if end != nil {
				continue
			}
			c.Watch(func() { t.Error("the watch took the caller for disconnected") })
			c.Unwatch()
			if c.Disconnected() {
				t.Errorf("behind %d: disconnected after a watch", ahead)
			}
			c.Close()
			if !c.Disconnected() {
				t.Error("the connection is closed on this side, and counts as connected")
			}
		}
	}
}

// A caller that floods counts as disconnected, though its connection is open.
func TestFloodIsDisconnected(t *testing.T) {
	c, peer := acceptPeer(t)
	left := make(chan struct{})
	c.Watch(func() { close(left) })
	peer.Send(strings.Repeat("x", maxPipelined+1))
	<-left
	if !c.Disconnected() {
		t.Error("a caller that floods counts as connected")
	}
	c.Unwatch()
}

// BenchmarkDisconnected measures the check whose caller is connected, which each attempt makes.
func BenchmarkDisconnected(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	callers := NewCallers(listener, env.Real{}, 10, func(*CallerConn, Reason) {})
	defer callers.CloseNow() //nolint:errcheck // only closes the listener
	scripted.Connect(b, listener.Addr().String())
	conn, err := callers.Accept()
	if err != nil {
		b.Fatal(err)
	}
	c := conn.(*CallerConn)
	c.MarkPending()
	b.ReportAllocs()
	for b.Loop() {
		if c.Disconnected() {
			b.Fatal("the caller counts as disconnected")
		}
	}
}
