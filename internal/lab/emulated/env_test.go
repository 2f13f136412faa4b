package emulated

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/lab/scripted"
)

const testDelay = 30 * time.Millisecond

// newTwoRegions returns an environment in the region north, an address in the region south that accepts connections, the accepted
// connections, and the path between the regions.
func newTwoRegions(t *testing.T, delay time.Duration) (e *memberEnv, address string, accepted chan net.Conn, path *regionPath) {
	t.Helper()
	l, err := net.Listen("tcp", scripted.FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted = make(chan net.Conn, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	address = l.Addr().String()
	paths := newRegionPaths(map[string]string{address: "south"}, delay)
	e = newMemberEnv(paths, "north", map[string]bool{address: true}, &trafficCounters{}, "", 0)
	t.Cleanup(e.terminate)
	return e, address, accepted, paths.between("south", "north")
}

func dial(t *testing.T, e *memberEnv, address string) net.Conn {
	t.Helper()
	c, err := e.Dial(context.Background(), address, testWait)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Bytes between regions arrive late in both directions, in order and completely. Guards against a delay that is added for each piece
// of a long message.
func TestRegionDelay(t *testing.T) {
	e, address, accepted, _ := newTwoRegions(t, testDelay)
	began := time.Now()
	c := dial(t, e, address)
	if took := time.Since(began); took < 2*testDelay {
		t.Errorf("dialed within %v", took)
	}
	remote := <-accepted
	began = time.Now()
	text := bytes.Repeat([]byte("0123456789abcdef"), 40*pieceSize/16)
	go func() {
		for i := range 40 {
			c.Write(text[i*pieceSize : (i+1)*pieceSize]) //nolint:errcheck // the reader notices
		}
	}()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(remote, got[:1]); err != nil || time.Since(began) < testDelay {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	if _, err := io.ReadFull(remote, got[1:]); err != nil || !bytes.Equal(got, text) {
		t.Errorf("%v, or other bytes", err)
	}
	if took := time.Since(began); took > 20*testDelay {
		t.Errorf("40 pieces took %v: each was late by itself", took)
	}
	began = time.Now()
	go remote.Write(text) //nolint:errcheck // likewise
	clear(got)
	if _, err := io.ReadFull(c, got[:1]); err != nil || time.Since(began) < testDelay {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	if _, err := io.ReadFull(c, got[1:]); err != nil || !bytes.Equal(got, text) {
		t.Errorf("%v, or other bytes", err)
	}
	if took := time.Since(began); took > 20*testDelay {
		t.Errorf("40 pieces took %v: each was late by itself", took)
	}
	if in, out := e.traffic.fromVoters.Load(), e.traffic.toVoters.Load(); in != int64(len(text)) || out != int64(len(text)) {
		t.Errorf("counted %d in, %d out, of %d", in, out, len(text))
	}
}

// A partition holds bytes and dials. They go through when it is healed, and a dial times out if that is too late.
func TestPartitionHoldsBytes(t *testing.T) {
	e, address, accepted, path := newTwoRegions(t, time.Millisecond)
	c := dial(t, e, address)
	remote := <-accepted
	path.setPartitioned(true)
	if _, err := c.Write([]byte("held")); err != nil {
		t.Error(err)
	}
	if _, err := remote.Write([]byte("back")); err != nil {
		t.Error(err)
	}
	got := make([]byte, 4)
	remote.SetReadDeadline(time.Now().Add(testDelay))
	if n, err := remote.Read(got); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v across a partition", got[:n], err)
	}
	c.SetReadDeadline(time.Now().Add(testDelay))
	if n, err := c.Read(got); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v across a partition", got[:n], err)
	}
	began := time.Now()
	_, err := e.Dial(context.Background(), address, testDelay)
	var timed net.Error
	if took := time.Since(began); !errors.As(err, &timed) || !timed.Timeout() || took < testDelay {
		t.Errorf("%v after %v", err, took)
	}
	dialed := make(chan error, 1)
	go func() {
		c, err := e.Dial(context.Background(), address, testWait)
		if err == nil {
			c.Close()
		}
		dialed <- err
	}()
	path.setPartitioned(true) // a second time: one healing ends it all the same
	path.setPartitioned(false)
	remote.SetReadDeadline(time.Now().Add(testWait))
	if _, err := io.ReadFull(remote, got); err != nil || string(got) != "held" {
		t.Errorf("%q, %v", got, err)
	}
	c.SetReadDeadline(time.Now().Add(testWait))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "back" {
		t.Errorf("%q, %v", got, err)
	}
	if err := <-dialed; err != nil {
		t.Error(err)
	}
}

// What a member has written before it closed a connection or was killed still arrives, as in a real network.
func TestCloseDeliversWrittenBytes(t *testing.T) {
	for name, end := range map[string]func(*memberEnv, net.Conn){
		"closed": func(_ *memberEnv, c net.Conn) { c.Close() }, "killed": func(w *memberEnv, _ net.Conn) { w.terminate() },
	} {
		e, address, accepted, path := newTwoRegions(t, time.Millisecond)
		c := dial(t, e, address)
		remote := <-accepted
		path.setPartitioned(true)
		if _, err := c.Write([]byte("last")); err != nil {
			t.Error(name, err)
		}
		end(e, c)
		if _, err := c.Write([]byte("more")); err == nil {
			t.Error(name, "a write succeeds after the end")
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
			t.Error(name, err)
		}
		path.setPartitioned(false)
		remote.SetReadDeadline(time.Now().Add(testWait))
		if got, err := io.ReadAll(remote); err != nil || string(got) != "last" {
			t.Errorf("%s: %q, %v", name, got, err)
		}
		if n := e.openConns(); n != 0 {
			t.Errorf("%s: %d connections are open", name, n)
		}
	}
}

// httpwire can check whether an idle connection is still usable, within a region and between regions.
func TestFreshWithinAndBetweenRegions(t *testing.T) {
	e, address, accepted, _ := newTwoRegions(t, time.Millisecond)
	near := newMemberEnv(e.paths, "south", nil, &trafficCounters{}, "", 0)
	for name, e := range map[string]*memberEnv{"far": e, "near": near} {
		for what, end := range map[string]func(net.Conn){
			"it was closed": func(c net.Conn) { c.Close() },
			"something came": func(c net.Conn) {
				c.Write([]byte("x")) //nolint:errcheck // the reader notices
			},
		} {
			l, err := httpwire.Dial(context.Background(), e, address, testWait)
			if err != nil {
				t.Fatal(err)
			}
			remote := <-accepted
			if !l.Usable() {
				t.Errorf("%s: a new connection is not usable", name)
			}
			end(remote)
			for limit := time.Now().Add(testWait); l.Usable(); time.Sleep(testPause) {
				if time.Now().After(limit) {
					t.Fatalf("%s: usable although %s", name, what)
				}
			}
			l.Close()
			remote.Close()
		}
	}
}

// A connection inside a region takes no goroutine. Both goroutines of a connection between regions end with it.
func TestGoroutinesOfConnections(t *testing.T) {
	e, address, accepted, _ := newTwoRegions(t, time.Millisecond)
	near := newMemberEnv(e.paths, "south", nil, &trafficCounters{}, "", 0)
	const conns = 50
	count := func(e *memberEnv) (before, with, after int) {
		before = runtime.NumGoroutine()
		var all []net.Conn
		for range conns {
			all = append(all, dial(t, e, address), <-accepted)
		}
		with = runtime.NumGoroutine()
		for _, c := range all {
			c.Close()
		}
		for limit := time.Now().Add(testWait); time.Now().Before(limit); time.Sleep(testPause) {
			if after = runtime.NumGoroutine(); after <= before+5 {
				break
			}
		}
		return before, with, after
	}
	if before, with, _ := count(near); with > before+5 {
		t.Errorf("near: %d goroutines, %d with %d connections", before, with, conns)
	}
	if before, with, after := count(e); with < before+2*conns-5 || after > before+5 {
		t.Errorf("far: %d goroutines, %d with %d connections, %d afterwards", before, with, conns, after)
	}
}

// After terminate nobody can reach the environment, it can reach nobody, and by its clock no lease is valid.
func TestMemberEnvTerminate(t *testing.T) {
	e, address, accepted, _ := newTwoRegions(t, 0)
	near := newMemberEnv(e.paths, "south", nil, &trafficCounters{}, "", 0)
	l, err := near.Listen(scripted.FreeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	<-near.listening
	out, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, near, address)
	remote := <-accepted
	if near.openConns() != 2 {
		t.Errorf("%d connections", near.openConns())
	}
	near.terminate()
	for _, peer := range []net.Conn{out, remote} {
		peer.SetReadDeadline(time.Now().Add(testWait))
		if n, err := peer.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%d, %v", n, err)
		}
	}
	for _, mine := range []net.Conn{in, c} {
		if _, err := mine.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	if _, err := near.Dial(context.Background(), address, testWait); !errors.Is(err, errKilled) {
		t.Error(err)
	}
	if _, err := near.Listen(scripted.FreeAddress(t)); !errors.Is(err, errKilled) {
		t.Error(err)
	}
	if near.BootTime() < (env.Real{}).BootTime()+clockJump/2 {
		t.Error("a lease may still be valid")
	}
}

// A member's goroutine that renews the lease has a thread of its own, so that the kernel wakes each member independently. Guards
// against a renaming of that goroutine in internal/cluster/member: emulated members would then cost the leader too little.
func TestLeaseGoroutineHasThread(t *testing.T) {
	threads := func() int {
		t.Helper()
		files, err := os.ReadDir("/proc/self/task")
		if err != nil {
			t.Fatal(err)
		}
		return len(files)
	}
	const members = 40 // more than the threads that the test process has already and may reuse
	before := threads()
	s := Start{Cluster: "hollow", Lease: time.Second, ContradictAtMost: 2 * time.Second, Voters: []Peer{{Name: "k1", Address: "127.0.0.1:9"}}}
	for i := range members {
		s.Members = append(s.Members, Peer{Name: fmt.Sprintf("m%d", i), Address: scripted.FreeAddress(t)})
	}
	p := startProcess(t, s)
	p.await("ready", func() bool { return p.ready })
	for limit := time.Now().Add(testWait); threads() < members; time.Sleep(testPause) {
		if time.Now().After(limit) {
			t.Fatalf("%d threads before, %d with %d members", before, threads(), members)
		}
	}
}

// The timer between two renewals of the lease is a kernel timer for each member, and ends with the member. Guards against another
// renewal interval in internal/cluster/member: the timer would not be recognized, and emulated members would renew together.
func TestRenewalHasKernelTimer(t *testing.T) {
	timers := func() (n int) {
		t.Helper()
		files, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			if to, err := os.Readlink("/proc/self/fd/" + f.Name()); err == nil && to == "anon_inode:[timerfd]" {
				n++
			}
		}
		return n
	}
	await := func(want int) {
		t.Helper()
		for limit := time.Now().Add(testWait); timers() != want; time.Sleep(testPause) {
			if time.Now().After(limit) {
				t.Fatalf("%d timers, want %d", timers(), want)
			}
		}
	}
	const members = 3
	before := timers()
	c := startCluster(t, 3, members, 0)
	p := startProcess(t, c.start)
	p.awaitAll("leases", members, func(s MemberState) bool { return !s.Cautious })
	await(before + members)
	p.mustDo(Command{Do: Kill, Members: []string{"m1"}})
	p.mustDo(Command{Do: Leave, Members: []string{"m2"}})
	await(before + 1)
}

// A timer expires once each time that it is set, and not early. With the fault RenewsTooOften the renewal timer expires after half the
// interval.
func TestTimer(t *testing.T) {
	const renewInterval = 40 * time.Millisecond
	e := newMemberEnv(newRegionPaths(nil, 0), "", nil, &trafficCounters{}, "", renewInterval)
	tick := e.NewTimer(0)
	<-tick.C()
	for _, d := range []time.Duration{renewInterval, renewInterval, renewInterval / 3, renewInterval} {
		began := time.Now()
		tick.Reset(d)
		at := <-tick.C()
		if took := at.Sub(began); took < d {
			t.Errorf("after %v, want %v", took, d)
		}
	}
	e.fault = RenewsTooOften
	shortest := time.Duration(1 << 62)
	for range 20 {
		began := time.Now()
		tick.Reset(renewInterval)
		took := (<-tick.C()).Sub(began)
		shortest = min(shortest, took)
	}
	if shortest < renewInterval/2 || shortest >= renewInterval {
		t.Errorf("with RenewsTooOften after %v, want %v", shortest, renewInterval/2)
	}
	tick.Stop()
	if tick.(*timer).kernelTimer.set(renewInterval) {
		t.Error("a timer that was stopped can be set")
	}
}
