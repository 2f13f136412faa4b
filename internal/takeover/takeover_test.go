package takeover

import (
	"encoding/json"
	"net"
	"path/filepath"
	"testing"
	"time"
)

// silentHandler ignores the messages of the other process.
type silentHandler struct{ ended chan bool }

func (silentHandler) ApplyBanChange(string, bool)             {}
func (silentHandler) RememberID(uint64, bool) bool            { return false }
func (silentHandler) ResumeAnswer([]byte, net.Conn, net.Conn) {}
func (silentHandler) StopAccepting()                          {}
func (q silentHandler) PeerEnded(yielded bool)                { q.ended <- yielded }

// Guards against a successor that fails because its predecessor dies: in whichever step of the protocol the predecessor
// dies, the successor either gets an error or has the listener and takes over.
func TestPredecessorThatDiesInEachStep(t *testing.T) {
	const (
		connected = iota
		sentListener
		sentState
		askedToStop
		stoppedAccepting
		steps
	)
	for step := range steps {
		path := filepath.Join(t.TempDir(), "takeover.sock")
		socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			t.Fatal(err)
		}
		served, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		died := make(chan struct{})
		go func() { // the predecessor, up to its last step
			defer close(died)
			conn, err := socket.AcceptUnix()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			if step == connected {
				return
			}
			if err := sendListener(conn, served.(*net.TCPListener)); err != nil {
				t.Error(err)
			}
			if step == sentListener {
				return
			}
			if err := json.NewEncoder(conn).Encode(message{Version: protocolVersion, State: []byte(`{}`)}); err != nil {
				t.Error(err)
			}
			if step == sentState {
				return
			}
			var m message
			if err := json.NewDecoder(conn).Decode(&m); err != nil || !m.StopAccepting {
				t.Errorf("step %d: received %+v, %v; want StopAccepting", step, m, err)
			}
			if step == stoppedAccepting {
				if err := json.NewEncoder(conn).Encode(message{Stopped: true}); err != nil {
					t.Error(err)
				}
			}
		}()
		peer, listener, _, err := FindPredecessor(path)
		if step < sentState {
			if err == nil || peer != nil || listener != nil {
				t.Errorf("step %d: found %v, %v", step, peer, err)
			}
		} else {
			if err != nil {
				t.Fatalf("step %d: %v", step, err)
			}
			if step == sentState {
				<-died // before StopAccepting can be sent
			}
			gone := make(chan bool, 1)
			go peer.Run(silentHandler{gone})
			if err := peer.StopAccepting(); err != nil {
				t.Errorf("step %d: the successor does not take over from the dead predecessor: %v", step, err)
			}
			if <-gone {
				t.Errorf("step %d: PeerEnded reports a StopAccepting that the predecessor never sent", step)
			}
			served.Close()
			expectAccept(t, listener)
			listener.Close()
		}
		<-died
		served.Close()
		socket.Close()
	}
}

// expectAccept fails the test unless the listener accepts a connection.
func expectAccept(t *testing.T, listener net.Listener) {
	t.Helper()
	caller, err := net.DialTimeout("tcp", listener.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatalf("cannot connect to the listener: %v", err)
	}
	defer caller.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
}

// idHandler remembers the ids that it is told.
type idHandler struct {
	silentHandler
	known chan knownID
}

// knownID is an id that a process was told of.
type knownID struct {
	id   uint64
	safe bool
}

func (h idHandler) RememberID(id uint64, safe bool) bool {
	h.known <- knownID{id, safe}
	return id == 7
}

// Guards against a claim of an id that waits for a process which hangs: it waits once, and then not until that process answers.
func TestClaimOfAnIDAtASilentProcess(t *testing.T) {
	ours, theirs := unixPair(t)
	p, other := newPeer(ours), newPeer(theirs)
	go p.Run(silentHandler{make(chan bool, 1)})
	begin := time.Now()
	if p.ClaimID(7, false) || time.Since(begin) < claimTimeout {
		t.Errorf("known after %v, without an answer", time.Since(begin))
	}
	begin = time.Now()
	if p.ClaimID(8, true) || time.Since(begin) >= claimTimeout {
		t.Errorf("the second claim took %v", time.Since(begin))
	}
	h := idHandler{silentHandler{make(chan bool, 1)}, make(chan knownID, 10)}
	go other.Run(h) // it goes on
	for _, want := range []knownID{{7, false}, {8, true}} {
		if got := <-h.known; got != want {
			t.Errorf("told of %+v, want %+v", got, want)
		}
	}
	for p.silent.Load() { // its late answer comes
		time.Sleep(time.Millisecond)
	}
	if !p.ClaimID(7, false) || p.ClaimID(9, false) {
		t.Error("an id that is known there is new, or the other way round")
	}
	p.Close()
	if p.ClaimID(10, false) {
		t.Error("a process that has ended knows an id")
	}
}

// unixPair returns both ends of a connection over a Unix socket.
func unixPair(t *testing.T) (ours, theirs *net.UnixConn) {
	t.Helper()
	address := &net.UnixAddr{Name: filepath.Join(t.TempDir(), "pair"), Net: "unix"}
	listener, err := net.ListenUnix("unix", address)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if ours, err = net.DialUnix("unix", nil, address); err != nil {
		t.Fatal(err)
	}
	if theirs, err = listener.AcceptUnix(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	return ours, theirs
}
