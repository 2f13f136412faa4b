// Package takeover lets a new process of a sidecar take over from the old one while callers are being served. The old
// process, the predecessor, sends its listening descriptor and its state over a Unix socket to the new one, the
// successor. Until the predecessor ends, each tells the other of operators' bans.
//
// The protocol: one byte that carries the listener's descriptor, then JSON objects, each with one message. Both
// processes have to run as the same user; others are rejected.
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
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// protocolVersion is the version of the protocol. A process that finds a predecessor with another version logs that and
// starts as if there were none.
const protocolVersion = 1

// Timeouts of the protocol: a new process has to be ready within seconds, and a predecessor that hangs must not use up
// that time.
const (
	findTimeout  = 2 * time.Second        // for the descriptor and the state
	stopTimeout  = time.Second            // for the predecessor's message that it has stopped accepting
	claimTimeout = 200 * time.Millisecond // for the other process's reply to the id of a request: a process may be paused for 150 ms
	replyTimeout = 400 * time.Millisecond // for the other process's reply to a ban: the operator waits 1 s at most
)

// message is one message of the protocol. Exactly one field is set, apart from Seq and On, and Version, which comes with
// State.
type message struct {
	Version       int             `json:"version,omitempty"` // of the protocol, with State
	State         json.RawMessage `json:"state,omitempty"`   // the predecessor's state
	StopAccepting bool            `json:"take,omitempty"`    // the successor is about to accept
	Stopped       bool            `json:"taken,omitempty"`   // the predecessor has stopped accepting
	Ban           string          `json:"ban,omitempty"`     // name of an endpoint to ban (On) or to unban, with Seq
	On            bool            `json:"on,omitempty"`
	Seq           int             `json:"seq,omitempty"`
	Applied       int             `json:"done,omitempty"`  // the Seq of a Ban that is now in effect, or of an ID that is remembered
	ID            uint64          `json:"id,omitempty"`    // hash of the id of a request that the sender has taken in, with Seq
	Known         bool            `json:"known,omitempty"` // with Applied: the ID was known already
	IDs           []uint64        `json:"ids,omitempty"`   // hashes of ids that the sender has taken in before
	Safe          bool            `json:"safe,omitempty"`  // with ID or IDs: the requests are safe to repeat
	Answer        json.RawMessage `json:"over,omitempty"`  // state of a long answer that is handed over; two descriptors come with it
}

// descriptorReader reads from a connection and collects the descriptors that come with its bytes.
type descriptorReader struct {
	conn *net.UnixConn
	fds  []int // received, and not yet taken by takeConns
}

// maxDescriptors limits the descriptors of one read.
const maxDescriptors = 4

// Read implements io.Reader.
func (r *descriptorReader) Read(b []byte) (int, error) {
	oob := make([]byte, unix.CmsgSpace(4*maxDescriptors))
	n, oobn, _, _, err := r.conn.ReadMsgUnix(b, oob)
	if err != nil {
		return 0, err // n is -1 then, which callers of a reader don't expect
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

// closeUnclaimed closes the descriptors that nobody has taken.
func (r *descriptorReader) closeUnclaimed() {
	for _, fd := range r.fds {
		unix.Close(fd)
	}
	r.fds = nil
}

// takeConns returns the next two descriptors as connections of a caller and an endpoint.
func (r *descriptorReader) takeConns() (a, b net.Conn, err error) {
	if len(r.fds) < 2 {
		return nil, nil, fmt.Errorf("received %d descriptors with a long answer, want 2", len(r.fds))
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

// SocketPath returns the path of the Unix socket through which a successor connects to its predecessor, in a directory
// that they share.
func SocketPath(dir, name, listen string) string {
	h := fnv.New64a()
	h.Write([]byte(name + "\x00" + listen))
	return filepath.Join(dir, fmt.Sprintf("heathgap-%016x.sock", h.Sum64()))
}

// Listen opens a TCP address in such a way that the other process of an upgrade may open it too. It serves where the
// descriptor itself can't be handed over.
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
	waiting map[int]chan bool // by the Seq of a Ban or an ID: receives whether it was known when its Applied message comes
	silent  atomic.Bool       // it has not answered the last claim of an ID in time
	stopped chan struct{}     // closed when the predecessor has stopped accepting
	ended   chan struct{}     // closed when the other process has ended
}

func newPeer(conn *net.UnixConn) *Peer {
	fds := &descriptorReader{conn: conn}
	return &Peer{
		conn: conn, reader: fds, in: json.NewDecoder(fds), out: json.NewEncoder(conn),
		waiting: map[int]chan bool{}, stopped: make(chan struct{}), ended: make(chan struct{}),
	}
}

// ErrNoPredecessor is the error of FindPredecessor if there is no predecessor.
var ErrNoPredecessor = errors.New("no predecessor")

// FindPredecessor connects to a predecessor. It returns the predecessor's listener, on which the caller must not accept
// before StopAccepting, and its state. The error is ErrNoPredecessor if there is no socket at path; any other error says
// what failed with the process that made the socket.
func FindPredecessor(path string) (p *Peer, listener net.Listener, state []byte, err error) {
	if _, err := os.Lstat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, nil, nil, ErrNoPredecessor
	}
	conn, err := (&net.Dialer{Timeout: findTimeout}).Dial("unix", path)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("%s: cannot connect to a predecessor there, the socket may be stale: %w", path, err)
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
		return nil, nil, nil, fmt.Errorf("%s: the predecessor sent no listener: %w", path, err)
	}
	p = newPeer(uc)
	var m message
	if err = p.in.Decode(&m); err == nil && m.Version != protocolVersion {
		err = fmt.Errorf("it has protocol version %d, and this process has %d", m.Version, protocolVersion)
	}
	if err != nil {
		listener.Close()
		return nil, nil, nil, fmt.Errorf("%s: the predecessor sent no usable state: %w", path, err)
	}
	uc.SetDeadline(time.Time{})
	return p, listener, m.State, nil
}

// sameUser returns an error unless the other process belongs to the same user.
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
		return fmt.Errorf("the other process belongs to user %d, and this one to user %d", cred.Uid, os.Getuid())
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

// Handler acts on the messages of the other process. Its methods are called one at a time.
type Handler interface {
	// ApplyBanChange bans an endpoint (on) or ends its ban. It returns when that is in effect.
	ApplyBanChange(name string, on bool)
	// RememberID remembers the id of a request that the other process has taken in, by its hash, and reports whether it was known. safe
	// says that the request is safe to repeat.
	RememberID(id uint64, safe bool) (known bool)
	// ResumeAnswer continues a long answer that the other process has begun to stream.
	ResumeAnswer(state []byte, caller, endpoint net.Conn)
	// StopAccepting stops accepting: the other process is about to accept.
	StopAccepting()
	// PeerEnded reports that the other process has ended; yielded says whether StopAccepting was called before.
	PeerEnded(yielded bool)
}

// Run handles the messages of the other process until that ends.
func (p *Peer) Run(h Handler) {
	yielded := false
	for {
		var m message
		if err := p.in.Decode(&m); err != nil {
			p.conn.Close()
			p.reader.closeUnclaimed()
			close(p.ended)
			h.PeerEnded(yielded)
			return
		}
		switch {
		case m.Ban != "":
			h.ApplyBanChange(m.Ban, m.On)
			p.send(message{Applied: m.Seq})
		case m.ID != 0:
			p.send(message{Applied: m.Seq, Known: h.RememberID(m.ID, m.Safe)}) //nolint:errcheck // the next read shows it
		case m.IDs != nil:
			for _, id := range m.IDs {
				h.RememberID(id, m.Safe)
			}
		case m.Answer != nil:
			if caller, endpoint, err := p.reader.takeConns(); err == nil {
				h.ResumeAnswer(m.Answer, caller, endpoint)
			}
		case m.StopAccepting && !yielded:
			yielded = true
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
				done <- m.Known
				delete(p.waiting, m.Applied)
			}
			p.mu.Unlock()
			p.silent.Store(false)
		}
	}
}

// send sends a message to the other process, within replyTimeout.
func (p *Peer) send(m message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	return p.out.Encode(m)
}

// StopAccepting asks the predecessor to stop accepting. It returns when the predecessor has stopped or has ended; after
// an error, it may still accept. Run must be running.
func (p *Peer) StopAccepting() error {
	// Guards against a predecessor that dies after it has sent its state: the message can't be sent any more, and need
	// not be. Run notices that the predecessor has ended.
	err := p.send(message{StopAccepting: true})
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.stopped:
	case <-p.ended:
	case <-timer.C:
		return cmp.Or(err, errors.New("the predecessor has not confirmed that it stopped accepting, and may go on accepting"))
	}
	return nil
}

// SendBan sends a ban by an operator, or its end, to the other process and waits until it is in effect there or the
// other process has ended. It returns an error if there is no reply in time.
func (p *Peer) SendBan(name string, on bool) error {
	_, answered := p.ask(message{Ban: name, On: on}, replyTimeout)
	if !answered {
		return errors.New("the other process of the upgrade does not answer; try again")
	}
	return nil
}

// ClaimID tells the other process of the id of a request, by its hash, and returns whether that knew it. safe says that the request is
// safe to repeat. If there is no reply in time it
// returns false, and so do further calls at once until a reply comes: a process that hangs takes no requests in, and asks before it
// does so again.
func (p *Peer) ClaimID(id uint64, safe bool) (known bool) {
	if p.silent.Load() {
		p.send(message{IDs: []uint64{id}, Safe: safe}) //nolint:errcheck // as it goes on, it reads what was sent
		return false
	}
	known, answered := p.ask(message{ID: id, Safe: safe}, claimTimeout)
	if !answered {
		p.silent.Store(true)
	}
	return known
}

// SendIDs tells the other process of ids that were taken in before, by their hashes. safe says that their requests are safe to repeat.
func (p *Peer) SendIDs(ids []uint64, safe bool) error { return p.send(message{IDs: ids, Safe: safe}) }

// ask sends a message and waits for the reply to it. It counts as answered if the other process has ended.
func (p *Peer) ask(m message, timeout time.Duration) (known, answered bool) {
	reply := make(chan bool, 1)
	p.mu.Lock()
	p.seq++
	m.Seq = p.seq
	p.waiting[m.Seq] = reply
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, m.Seq)
		p.mu.Unlock()
	}()
	if err := p.send(m); err != nil {
		return false, true // the other process has ended
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case known = <-reply:
	case <-p.ended:
	case <-timer.C:
		return false, false
	}
	return known, true
}

// HandOver hands a long answer over to the other process, with the connections of its caller and its endpoint.
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

// withFD calls f with a connection's descriptor, which stays open meanwhile.
func withFD(c syscall.Conn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	return errors.Join(err, failed)
}

// Close closes the connection to the other process.
func (p *Peer) Close() { p.conn.Close() }

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
