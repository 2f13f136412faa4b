package takeover

import (
	"cmp"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

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

// Close closes the connection to the other process.
func (p *Peer) Close() { p.conn.Close() }
