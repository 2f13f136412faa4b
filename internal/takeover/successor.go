package takeover

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// SuccessorListener accepts the connections of successors.
type SuccessorListener struct {
	listener *net.UnixListener
	mu       sync.Mutex
	busy     bool
}

// AcceptSuccessor starts to accept successors at path, one at a time, and returns; a file at path is replaced.
// onSuccessor is called for each one and returns the state to send and the handler of its messages.
func AcceptSuccessor(path string, listener syscall.Conn, onSuccessor func(*Peer) (state []byte, h Handler, err error)) (*SuccessorListener, error) {
	// The socket is created under another name and renamed: at every moment a successor finds a socket at path.
	temporary := path + ".new"
	os.Remove(temporary)
	address := &net.UnixAddr{Name: temporary, Net: "unix"}
	l, err := net.ListenUnix("unix", address)
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then, path may be a successor's socket
	err = errors.Join(os.Chmod(temporary, 0o600), os.Rename(temporary, path))
	if err != nil {
		l.Close()
		return nil, err
	}
	s := &SuccessorListener{listener: l}
	go s.serve(listener, onSuccessor)
	return s, nil
}

// Close stops waiting for successors. One that is connected stays connected.
func (s *SuccessorListener) Close() { s.listener.Close() }

// serve accepts successors until Close. It rejects one while another is connected, and those of other users.
func (s *SuccessorListener) serve(listener syscall.Conn, onSuccessor func(*Peer) ([]byte, Handler, error)) {
	for {
		conn, err := s.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(findTimeout / 100) // the process may be out of descriptors for a moment
			continue
		}
		s.mu.Lock()
		busy := s.busy
		s.busy = true
		s.mu.Unlock()
		if busy || sameUser(conn) != nil {
			conn.Close()
			if !busy {
				s.clearBusy()
			}
			continue
		}
		go func() {
			defer s.clearBusy()
			s.serveSuccessor(conn, listener, onSuccessor)
		}()
	}
}

func (s *SuccessorListener) clearBusy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
}

// serveSuccessor sends a successor the listener's descriptor and the state, and handles its messages until its connection
// ends. Run is called after an error too, because it calls PeerEnded.
func (s *SuccessorListener) serveSuccessor(conn *net.UnixConn, listener syscall.Conn, onSuccessor func(*Peer) ([]byte, Handler, error)) {
	p := newPeer(conn)
	// Locked until the state is sent: a ban that is made meanwhile waits for the lock and is sent after the state.
	p.mu.Lock()
	state, h, err := onSuccessor(p)
	if err == nil {
		conn.SetWriteDeadline(time.Now().Add(findTimeout))
		if err = sendListener(conn, listener); err == nil {
			err = p.out.Encode(message{Version: protocolVersion, State: state})
		}
	}
	p.mu.Unlock()
	if err != nil {
		conn.Close()
	}
	if h != nil {
		p.Run(h)
	}
}
