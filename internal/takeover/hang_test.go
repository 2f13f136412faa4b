package takeover

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against a successor that ends because its predecessor hangs or breaks the connection: in either case
// FindPredecessor returns an error, in time.
func TestPredecessorThatHangsOrBreaks(t *testing.T) {
	for name, broken := range map[string]bool{"hangs": false, "breaks": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "takeover.sock")
			socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
			if err != nil {
				t.Fatal(err)
			}
			defer socket.Close()
			served, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer served.Close()
			found := make(chan struct{})
			ended := make(chan struct{})
			go func() { // the predecessor, which never sends its state
				defer close(ended)
				conn, err := socket.AcceptUnix()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				if err := sendListener(conn, served.(*net.TCPListener)); err != nil {
					t.Error(err)
				}
				if !broken {
					<-found
				}
			}()
			begin := time.Now()
			peer, listener, _, err := FindPredecessor(path)
			close(found)
			<-ended
			if peer != nil || listener != nil || err == nil || !broken && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("found peer %v, listener %v, error %v; want only an error", peer, listener, err)
			}
			if took := time.Since(begin); took > 2*findTimeout {
				t.Errorf("FindPredecessor took %v", took)
			}
		})
	}
}

// Guards against a process that ends because the connection to the other breaks during Run: closing it with unread bytes
// resets it, and Run has to return.
func TestPeerThatBreaks(t *testing.T) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	var conns [2]*net.UnixConn
	for i, fd := range fds {
		file := os.NewFile(uintptr(fd), "pair")
		conn, err := net.FileConn(file)
		if err != nil {
			t.Fatal(err)
		}
		file.Close()
		conns[i] = conn.(*net.UnixConn)
		defer conn.Close()
	}
	peer := newPeer(conns[0])
	if err := peer.send(message{StopAccepting: true}); err != nil {
		t.Fatal(err)
	}
	conns[1].Close() // with the message unread
	gone := make(chan bool, 1)
	peer.Run(silentHandler{gone})
	<-gone
}
