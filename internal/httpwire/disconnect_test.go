package httpwire

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heathgap/internal/env"
	"heathgap/internal/lab/scripted"
)

// acceptPeer returns a caller's connection and the caller, of a listener that the test accepts from.
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

// Guards against a caller's leaving that is not seen because of what stands in front of it: the next requests, written
// ahead, or junk. It is seen however it goes.
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
					t.Fatal("nobody has seen it")
				}
				c.Unwatch()
			})
		}
	}
}

// Guards against a caller that pours on and on behind its request: it is taken for gone, and no memory is kept for it.
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

// What a caller writes ahead is read in its order, as long as it is kept.
func TestPipelinedBytesAreReadInOrder(t *testing.T) {
	c, peer := acceptPeer(t)
	var want strings.Builder
	for i := range 500 {
		fmt.Fprintf(&want, "%d,", i)
	}
	c.Watch(func() { t.Error("it has not left") })
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

// Guards against a close that destroys the answer before it: what the caller wrote crosses the close unread, in any
// amount. The caller reads the answer and an end, never a reset, and can still write meanwhile.
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
		peer.Send("crossing") // it has read the end: the sidecar has ended its side, and reads on
		select {
		case <-closed:
			t.Errorf("%d unread: closed before its caller", unread)
		default:
		}
		if _, err := peer.Write([]byte("more")); err != nil {
			t.Errorf("%d unread: writing meets %v", unread, err)
		}
		peer.Close()
		<-closed
	}
}

// Guards against a stop that cuts short the reading out of a connection that has ended for another reason.
func TestStopDoesNotInterruptLingering(t *testing.T) {
	c, peer := acceptPeer(t)
	c.changedAt = c.changedAt.Add(-time.Hour) // idle for long
	closed := make(chan struct{})
	go func() {
		c.Close()
		close(closed)
	}()
	if text, err := peer.ReadToEnd(); text != "" || err != nil {
		t.Fatalf("%q, %v", text, err)
	}
	if c.closeIdle(ReasonShutdown) {
		t.Error("a stop cuts it short")
	}
	if _, err := io.WriteString(peer, "crossing"); err != nil {
		t.Errorf("writing meets %v", err)
	}
	if !c.closeIdle(ReasonConnLimit) {
		t.Error("it can't make room")
	}
	peer.Close()
	<-closed
}

// Guards against a flood of closes that keep their descriptors: beyond so many at once, and for those that make room, a
// connection is closed at once.
func TestLingeringIsBounded(t *testing.T) {
	c, peer := acceptPeer(t)
	c.owner.lingering.Store(minLingering)
	c.Close()
	if _, err := peer.ReadToEnd(); err != nil {
		t.Errorf("it ended with %v", err)
	}
	if c.owner.lingering.Load() != minLingering {
		t.Errorf("%d are counted", c.owner.lingering.Load())
	}
	c, _ = acceptPeer(t)
	c.SetReason(ReasonConnLimit)
	begin := time.Now()
	c.Close()
	if took := time.Since(begin); took >= shortLinger {
		t.Errorf("making room took %v", took)
	}
}

// blockedListener gives its second connection when the test says so; others stand in the kernel's queue meanwhile.
type blockedListener struct {
	*net.TCPListener
	accepts atomic.Int32
	second  chan struct{}
}

// Accept is net.Listener's.
func (l *blockedListener) Accept() (net.Conn, error) {
	if l.accepts.Add(1) == 2 {
		<-l.second
	}
	return l.TCPListener.Accept()
}

// Guards against callers that are reset because they stood in the kernel's queue when the listener closed.
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
		t.Error("it accepts on")
	}
	if conn, err := net.DialTimeout("tcp", callers.Addr().String(), time.Second); err == nil {
		conn.Close()
		t.Error("it still listens")
	}
}

// Guards against connections that have ended on this side and keep their descriptors for as long as a body nobody wants
// goes on, while others wait for a place.
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
	if _, err := peer.ReadToEnd(); err != nil { // it is being read out
		t.Fatal(err)
	}
	for begin := time.Now(); !c.stopLinger(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > longLinger {
			t.Fatal("it can't make room")
		}
	}
	begin := time.Now()
	<-closed
	if took := time.Since(begin); took > longLinger/2 {
		t.Errorf("making room took %v", took)
	}
}

// Guards against a caller that has gone and is not seen because nobody has read its connection: no watch has run, or a body
// stands unread in front of its end. One that stays is never taken for gone, whatever it writes ahead.
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
			c.Watch(func() { t.Error("its watch takes it for gone") })
			c.Unwatch()
			if c.Disconnected() {
				t.Errorf("behind %d: gone after a watch", ahead)
			}
			c.Close()
			if !c.Disconnected() {
				t.Error("closed on this side, and somebody waits there")
			}
		}
	}
}

// A flood is taken for gone, though its connection stands.
func TestFloodIsDisconnected(t *testing.T) {
	c, peer := acceptPeer(t)
	left := make(chan struct{})
	c.Watch(func() { close(left) })
	peer.Send(strings.Repeat("x", maxPipelined+1))
	<-left
	if !c.Disconnected() {
		t.Error("it counts as there")
	}
	c.Unwatch()
}

// BenchmarkDisconnected is what the look costs an attempt whose caller is there.
func BenchmarkDisconnected(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	callers := NewCallers(listener, env.Real{}, 10, func(*CallerConn, Reason) {})
	defer callers.CloseNow() //nolint:errcheck // it listens no more
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
			b.Fatal("gone")
		}
	}
}
