// Package takeover lets a new process of a sidecar take over from the old one while callers are being served. The old
// process, the predecessor, sends its listening descriptor and its state over a Unix socket to the new one, the
// successor. Until the predecessor ends, each tells the other of operators' bans.
//
// The protocol: one byte that carries the listener's descriptor, then JSON objects, each with one message. Both
// processes have to run as the same user; others are rejected.
package takeover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"net"
	"os"
	"path/filepath"
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
