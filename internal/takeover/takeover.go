// Package takeover lets one process of a sidecar take the place of another under load:
// the old one offers its listening descriptor and what it knows on a Unix socket, and
// both tell each other of operators' calls until the old one ends.
//
// What is said, after one byte that carries the descriptor: JSON objects, each with one
// thing in it (message). Both processes are the same user's; others are turned away.
package takeover

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// protocolVersion is that of what is said. A process that speaks another says so and starts as
// if nobody had answered.
const protocolVersion = 1

// Times of the exchange: a new process has seconds to say that it serves, and a
// predecessor that hangs must not cost it those.
const (
	findTimeout  = 2 * time.Second        // for the descriptor and the state
	stopTimeout  = time.Second            // for the old one's word that it has stopped accepting
	replyTimeout = 400 * time.Millisecond // for the other's word on an operator's call, who waits 1 s at most
)

// message is one thing that is said. Exactly one field beside Seq and On is set.
type message struct {
	Version       int             `json:"version,omitempty"` // with State
	State         json.RawMessage `json:"state,omitempty"`   // what the old process knows
	StopAccepting bool            `json:"take,omitempty"`    // the new one is about to accept
	Stopped       bool            `json:"taken,omitempty"`   // the old one has stopped accepting
	Ban           string          `json:"ban,omitempty"`     // an endpoint's name, with On and Seq
	On            bool            `json:"on,omitempty"`
	Seq           int             `json:"seq,omitempty"`
	Applied       int             `json:"done,omitempty"` // the Seq of a Ban that binds now
	Answer        json.RawMessage `json:"over,omitempty"` // a long answer on its way; two descriptors come with it
}

// descriptorReader reads a connection and keeps the descriptors that come with its bytes.
type descriptorReader struct {
	conn *net.UnixConn
	fds  []int // that came and were not taken
}

// maxDescriptors bounds the descriptors of one read.
const maxDescriptors = 4

// Read is io.Reader's.
func (r *descriptorReader) Read(b []byte) (int, error) {
	oob := make([]byte, unix.CmsgSpace(4*maxDescriptors))
	n, oobn, _, _, err := r.conn.ReadMsgUnix(b, oob)
	if err != nil {
		return 0, err // n is -1 then, which no reader expects
	}
	if n == 0 && len(b) > 0 {
		err = io.EOF
	}
	controls, _ := unix.ParseSocketControlMessage(oob[:oobn])
	for i := range controls {
		fds, _ := unix.ParseUnixRights(&controls[i])
		r.fds = append(r.fds, fds...)
	}
	return n, err
}

// closeUnclaimed closes those that nobody has taken.
func (r *descriptorReader) closeUnclaimed() {
	for _, fd := range r.fds {
		unix.Close(fd)
	}
	r.fds = nil
}

// takeConns takes the next two descriptors as connections.
func (r *descriptorReader) takeConns() (a, b net.Conn, err error) {
	if len(r.fds) < 2 {
		return nil, nil, fmt.Errorf("%d descriptors came, not 2", len(r.fds))
	}
	files := [2]*os.File{os.NewFile(uintptr(r.fds[0]), "caller"), os.NewFile(uintptr(r.fds[1]), "endpoint")}
	r.fds = r.fds[2:]
	defer files[0].Close()
	defer files[1].Close()
	if a, err = net.FileConn(files[0]); err != nil {
		return nil, nil, err
	}
	if b, err = net.FileConn(files[1]); err != nil {
		a.Close()
		return nil, nil, err
	}
	return a, b, nil
}

// SocketPath is where the processes of one sidecar meet, in a folder that they share.
func SocketPath(dir, name, listen string) string {
	h := fnv.New64a()
	h.Write([]byte(name + "\x00" + listen))
	return filepath.Join(dir, fmt.Sprintf("heathgap-%016x.sock", h.Sum64()))
}

// Listen opens a TCP address that the other process of an upgrade may open too, where
// the descriptor itself can't be had.
func Listen(address string) (net.Listener, error) {
	conf := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.Join(err, failed)
	}}
	return conf.Listen(context.Background(), "tcp", address)
}

// Peer is the other process of an upgrade.
type Peer struct {
	conn   *net.UnixConn
	reader *descriptorReader
	in     *json.Decoder

	mu      sync.Mutex
	out     *json.Encoder
	seq     int
	waiting map[int]chan struct{} // for Done, by Seq
	stopped chan struct{}         // closed when the old one has stopped accepting
	ended   chan struct{}         // closed when the other has ended
}

func newPeer(conn *net.UnixConn) *Peer {
	fds := &descriptorReader{conn: conn}
	return &Peer{
		conn: conn, reader: fds, in: json.NewDecoder(fds), out: json.NewEncoder(conn),
		waiting: map[int]chan struct{}{}, stopped: make(chan struct{}), ended: make(chan struct{}),
	}
}

// ErrNoPredecessor says that no predecessor is there.
var ErrNoPredecessor = errors.New("no predecessor")

// FindPredecessor looks for a predecessor and returns it with its listener, on which nothing is
// to be accepted before Take, and its state. The error is ErrNone where nobody has
// listened there yet; any other tells what is wrong with who has.
func FindPredecessor(path string) (p *Peer, listener net.Listener, state []byte, err error) {
	if _, err := os.Lstat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, nil, nil, ErrNoPredecessor
	}
	conn, err := (&net.Dialer{Timeout: findTimeout}).Dial("unix", path)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("%s is stale: %w", path, err)
	}
	uc := conn.(*net.UnixConn)
	defer func() {
		if err != nil {
			uc.Close()
		}
	}()
	uc.SetDeadline(time.Now().Add(findTimeout))
	if err := sameUser(uc); err != nil {
		return nil, nil, nil, err
	}
	if listener, err = receiveListener(uc); err != nil {
		return nil, nil, nil, fmt.Errorf("%s: no descriptor: %w", path, err)
	}
	p = newPeer(uc)
	var m message
	if err = p.in.Decode(&m); err == nil && m.Version != protocolVersion {
		err = fmt.Errorf("it speaks version %d, and this is %d", m.Version, protocolVersion)
	}
	if err != nil {
		listener.Close()
		return nil, nil, nil, fmt.Errorf("%s: no state: %w", path, err)
	}
	uc.SetDeadline(time.Time{})
	return p, listener, m.State, nil
}

// sameUser turns away the processes of other users.
func sameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var cred *unix.Ucred
	var failed error
	err = raw.Control(func(fd uintptr) {
		cred, failed = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err = errors.Join(err, failed); err != nil {
		return err
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("the other process is user %d's, not %d's", cred.Uid, os.Getuid())
	}
	return nil
}

// receiveListener reads the byte that carries a listener's descriptor.
func receiveListener(conn *net.UnixConn) (net.Listener, error) {
	var b [1]byte
	oob := make([]byte, unix.CmsgSpace(4))
	n, oobn, _, _, err := conn.ReadMsgUnix(b[:], oob)
	if err != nil {
		return nil, err
	}
	controls, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil || n != 1 || len(controls) != 1 {
		return nil, fmt.Errorf("%d bytes with %d control messages: %w", n, len(controls), errors.Join(err, fs.ErrInvalid))
	}
	fds, err := unix.ParseUnixRights(&controls[0])
	if err != nil || len(fds) != 1 {
		return nil, fmt.Errorf("%d descriptors: %w", len(fds), errors.Join(err, fs.ErrInvalid))
	}
	file := os.NewFile(uintptr(fds[0]), "listener")
	defer file.Close()
	return net.FileListener(file)
}

// sendListener writes the byte that carries a listener's descriptor.
func sendListener(conn *net.UnixConn, listener syscall.Conn) error {
	return withFD(listener, func(fd int) error {
		_, _, err := conn.WriteMsgUnix([]byte{'L'}, unix.UnixRights(fd), nil)
		return err
	})
}

// Handler is what a process does when the other says something. Its methods are called
// one at a time.
type Handler interface {
	// AdoptBan takes over a ban by hand, or its end; it returns when that binds.
	AdoptBan(name string, on bool)
	// ResumeAnswer goes on with a long answer that the other has begun to pass on.
	ResumeAnswer(state []byte, caller, endpoint net.Conn)
	// StopAccepting stops accepting: the other is about to.
	StopAccepting()
	// PeerEnded says that the other has ended; yielded tells whether Yield was called.
	PeerEnded(yielded bool)
}

// Run hears what the other says until it ends.
func (p *Peer) Run(h Handler) {
	stopped := false
	for {
		var m message
		if err := p.in.Decode(&m); err != nil {
			p.conn.Close()
			p.reader.closeUnclaimed()
			close(p.ended)
			h.PeerEnded(stopped)
			return
		}
		switch {
		case m.Ban != "":
			h.AdoptBan(m.Ban, m.On)
			p.send(message{Applied: m.Seq})
		case m.Answer != nil:
			if caller, endpoint, err := p.reader.takeConns(); err == nil {
				h.ResumeAnswer(m.Answer, caller, endpoint)
			}
		case m.StopAccepting && !stopped:
			stopped = true
			h.StopAccepting()
			p.send(message{Stopped: true})
		case m.Stopped:
			select {
			case <-p.stopped:
			default:
				close(p.stopped)
			}
		case m.Applied > 0:
			p.mu.Lock()
			if done := p.waiting[m.Applied]; done != nil {
				close(done)
				delete(p.waiting, m.Applied)
			}
			p.mu.Unlock()
		}
	}
}

func (p *Peer) send(m message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	return p.out.Encode(m)
}

// StopAccepting has the predecessor stop accepting, and returns when it has, or has ended. On
// an error it may still accept. Run must be at work.
func (p *Peer) StopAccepting() error {
	// Guards against a predecessor that dies between its state and this word: that can't be said any more, and need not
	// be. Run notices that it has ended.
	err := p.send(message{StopAccepting: true})
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.stopped:
	case <-p.ended:
	case <-timer.C:
		return cmp.Or(err, errors.New("the predecessor goes on accepting"))
	}
	return nil
}

// SendBan tells the other of a ban by hand, or its end, and waits until that binds there,
// the other has ended, or it does not answer.
func (p *Peer) SendBan(name string, on bool) error {
	done := make(chan struct{})
	p.mu.Lock()
	p.seq++
	seq := p.seq
	p.waiting[seq] = done
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, seq)
		p.mu.Unlock()
	}()
	if err := p.send(message{Ban: name, On: on, Seq: seq}); err != nil {
		return nil // it has ended
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-p.ended:
	case <-timer.C:
		return errors.New("the other process of the upgrade does not answer; try again")
	}
	return nil
}

// HandOver hands a long answer on its way to the other.
func (p *Peer) HandOver(state []byte, caller, endpoint syscall.Conn) error {
	text, err := json.Marshal(message{Answer: state})
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	n := 0
	err = withFD(caller, func(a int) error {
		return withFD(endpoint, func(b int) (err error) {
			n, _, err = p.conn.WriteMsgUnix(text, unix.UnixRights(a, b), nil)
			return err
		})
	})
	if err == nil && n < len(text) {
		_, err = p.conn.Write(text[n:])
	}
	return err
}

// withFD calls f with a connection's descriptor, which is not closed meanwhile.
func withFD(c syscall.Conn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	return errors.Join(err, failed)
}

// Close ends the connection to the other.
func (p *Peer) Close() { p.conn.Close() }

// SuccessorListener is where a successor comes.
type SuccessorListener struct {
	listener *net.UnixListener
	mu       sync.Mutex
	busy     bool
}

// AcceptSuccessor waits for a successor at a path, one at a time; what stands there is replaced.
// enter is called for each, and returns what it is given.
func AcceptSuccessor(path string, listener syscall.Conn, onSuccessor func(*Peer) (state []byte, h Handler, err error)) (*SuccessorListener, error) {
	// Bound beside it and renamed: there is no moment without a way in for a successor.
	temporary := path + ".new"
	os.Remove(temporary)
	address := &net.UnixAddr{Name: temporary, Net: "unix"}
	l, err := net.ListenUnix("unix", address)
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // a successor's may stand there by then
	err = errors.Join(os.Chmod(temporary, 0o600), os.Rename(temporary, path))
	if err != nil {
		l.Close()
		return nil, err
	}
	s := &SuccessorListener{listener: l}
	go s.serve(listener, onSuccessor)
	return s, nil
}

// Close lets nobody in any more. A successor that has come stays.
func (s *SuccessorListener) Close() { s.listener.Close() }

func (s *SuccessorListener) serve(listener syscall.Conn, onSuccessor func(*Peer) ([]byte, Handler, error)) {
	for {
		conn, err := s.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(findTimeout / 100) // descriptors may run out for a moment
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

// serveSuccessor gives one successor what it needs, and hears it until it ends.
func (s *SuccessorListener) serveSuccessor(conn *net.UnixConn, listener syscall.Conn, onSuccessor func(*Peer) ([]byte, Handler, error)) {
	p := newPeer(conn)
	// Bans that come from here on are told to it, behind the state.
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
