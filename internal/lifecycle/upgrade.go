package lifecycle

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"heathgap/internal/httpwire"
	"heathgap/internal/metrics"
	"heathgap/internal/takeover"
)

// An upgrade replaces the process of a sidecar by a new one while callers are served. Both processes together count as
// one sidecar, also for the limits: while both run, each keeps to half of them.

// upgradeProcesses is the number of processes that share the limits during an upgrade.
const upgradeProcesses = 2

// upgrade is the state of a process with regard to upgrades.
type upgrade struct {
	path        string         // of the Unix socket; empty for no upgrades
	predecessor *takeover.Peer // nil without one
	replaced    atomic.Bool    // a successor accepts callers
	stopping    atomic.Bool    // the signal to stop has come

	mu         sync.Mutex
	peers      []*takeover.Peer            // those that are running: predecessor, successor
	successors *takeover.SuccessorListener // accepts a successor; nil if none can come
}

// listen returns the listener for callers: the predecessor's own if there is one.
func (s *Sidecar) listen(socket string) (net.Listener, error) {
	if s.upgrade.path = socket; socket == "" {
		return s.env.Listen(s.conf.Listen)
	}
	peer, listener, state, err := takeover.FindPredecessor(socket)
	if err == nil {
		err = s.engine.ImportHandover(state)
	}
	switch {
	case err == nil:
		s.upgrade.predecessor = peer
		s.addPeer(peer)
		s.log.Info().Msg("a predecessor serves")
		return listener, nil
	case !errors.Is(err, takeover.ErrNoPredecessor):
		s.log.Warn().Err(err).Msg("no predecessor, starting without one")
	}
	if peer != nil {
		peer.Close()
		listener.Close()
	}
	return takeover.Listen(s.conf.Listen)
}

// addPeer adds a process to those that share the limits.
func (s *Sidecar) addPeer(peer *takeover.Peer) {
	u := &s.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peers = append(u.peers, peer)
}

// removePeer removes a process that has ended. Without any other, this process has the limits alone again.
func (s *Sidecar) removePeer(peer *takeover.Peer) {
	u := &s.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peers = slices.DeleteFunc(u.peers, func(p *takeover.Peer) bool { return p == peer })
	if len(u.peers) == 0 {
		s.engine.SetIDPeer(nil)
		s.limits.divide(s, 1)
	}
}

// replacePredecessor takes over from the predecessor, if there is one. When it returns, the predecessor has stopped
// accepting or does not answer. Guards against a predecessor that hangs, which would leave nobody to serve: if it
// recovers, it stops accepting, and until then both accept.
func (s *Sidecar) replacePredecessor() {
	peer := s.upgrade.predecessor
	if peer == nil {
		return
	}
	s.limits.divide(s, upgradeProcesses)
	s.engine.SetIDPeer(peer)
	go peer.Run(predecessorHandler{s, peer})
	if err := peer.StopAccepting(); err != nil {
		s.log.Warn().Err(err).Msg("the predecessor does not confirm that it stops accepting; both processes accept connections")
	}
}

// predecessorHandler handles the messages of a predecessor.
type predecessorHandler struct {
	*Sidecar
	peer *takeover.Peer
}

// StopAccepting does nothing: a predecessor never asks for it.
func (predecessorHandler) StopAccepting() {}

// PeerEnded implements takeover.Handler.
func (s predecessorHandler) PeerEnded(bool) {
	s.log.Info().Msg("the predecessor has ended")
	s.removePeer(s.peer)
}

// awaitSuccessor lets a successor connect.
func (s *Sidecar) awaitSuccessor(socket string, listener net.Listener) {
	l, ok := listener.(syscall.Conn)
	if socket == "" || !ok {
		return
	}
	successors, err := takeover.AcceptSuccessor(socket, l, func(peer *takeover.Peer) ([]byte, takeover.Handler, error) {
		s.addPeer(peer)
		s.log.Info().Msg("a successor has come")
		state, err := s.engine.ExportHandover()
		return state, successorHandler{s, peer, listener}, err
	})
	if err != nil {
		// Guards against a directory in which no socket can be created: the sidecar serves, and its successor listens on
		// the same address beside it instead.
		s.log.Warn().Err(err).Msg("cannot create the socket that a successor connects to")
		return
	}
	s.upgrade.mu.Lock()
	defer s.upgrade.mu.Unlock()
	if s.upgrade.successors != nil {
		s.upgrade.successors.Close()
	}
	s.upgrade.successors = successors
}

// successorHandler handles the messages of a successor.
type successorHandler struct {
	*Sidecar
	peer     *takeover.Peer
	listener net.Listener
}

// RememberID implements takeover.Handler.
func (s *Sidecar) RememberID(id uint64, safe bool) (known bool) { return s.engine.RememberID(id, safe) }

// StopAccepting stops accepting. Requests on open connections are served, each answer closes its connection, and this
// process keeps to its part of the limits from now on. It also returns free memory to the system.
func (s successorHandler) StopAccepting() {
	// The successor takes requests in once this returns: it has to know the ids of those that came before.
	ids := s.engine.SetIDPeer(s.peer)
	if err := errors.Join(s.peer.SendIDs(ids.Once, false), s.peer.SendIDs(ids.Safe, true)); err != nil {
		s.log.Warn().Err(err).Msg("can't tell the successor which requests came before")
	}
	s.upgrade.replaced.Store(true)
	s.callers.Pause()
	s.engine.Drain(true)
	s.limits.divide(s.Sidecar, upgradeProcesses)
	s.log.Info().Msg("a successor serves")
	go debug.FreeOSMemory() // in a goroutine, because it runs a whole garbage collection
}

// PeerEnded resumes accepting if the successor has ended and this process is not stopping.
func (s successorHandler) PeerEnded(yielded bool) {
	s.removePeer(s.peer)
	if !yielded || s.upgrade.stopping.Load() {
		return
	}
	s.log.Warn().Msg("the successor has ended, serving again")
	s.upgrade.replaced.Store(false)
	s.engine.Drain(false)
	s.callers.Resume()
	s.awaitSuccessor(s.upgrade.path, s.listener)
}

// ResumeAnswer implements takeover.Handler.
func (s *Sidecar) ResumeAnswer(state []byte, caller, endpoint net.Conn) {
	var handover httpwire.AnswerHandover
	if err := json.Unmarshal(state, &handover); err != nil {
		s.log.Warn().Err(err).Msg("cannot continue a long answer of the other process: malformed state")
		caller.Close()
		endpoint.Close()
		return
	}
	s.engine.ResumeAnswer(&handover, caller, endpoint)
}

// handOverAnswers hands the long answers that are still being streamed over to the successor, if there is one.
func (s *Sidecar) handOverAnswers() {
	if !s.upgrade.replaced.Load() {
		return
	}
	s.upgrade.mu.Lock()
	defer s.upgrade.mu.Unlock()
	if n := len(s.upgrade.peers); n > 0 {
		s.engine.HandOverAnswers(s.upgrade.peers[n-1].HandOver)
	}
}

// ApplyBanChange implements takeover.Handler.
func (s *Sidecar) ApplyBanChange(name string, on bool) {
	if err := s.engine.ApplyBanChange(name, on); err != nil {
		s.log.Warn().Err(err).Msg("can't take over a ban, or its end, from the other process of the upgrade")
	}
}

// Ready implements console.Operations.
func (s *Sidecar) Ready() bool { return s.engine.Ready() }

// Metrics implements console.Operations.
func (s *Sidecar) Metrics() []byte {
	text := s.engine.Metrics()
	usage := readMemoryUsage()
	text = metrics.Append(text, "memory_kb", usage.Resident>>10, metrics.Gauge)
	text = metrics.Append(text, "memory_peak_kb", usage.Peak>>10, metrics.Gauge)
	if s.cluster != nil {
		text = s.cluster.Metrics(text)
	}
	return text
}

// Disable bans an endpoint, here and in the other process of an upgrade.
func (s *Sidecar) Disable(name string) error { return s.setBan(name, true, s.engine.Disable) }

// Enable ends a ban, here and in the other process of an upgrade.
func (s *Sidecar) Enable(name string) error { return s.setBan(name, false, s.engine.Enable) }

// setBan bans an endpoint or ends its ban: by apply in this process, and by a message in the other.
func (s *Sidecar) setBan(name string, on bool, apply func(string) error) error {
	if err := apply(name); err != nil {
		return err
	}
	s.upgrade.mu.Lock()
	peers := slices.Clone(s.upgrade.peers)
	s.upgrade.mu.Unlock()
	for _, peer := range peers {
		if err := peer.SendBan(name, on); err != nil {
			return err
		}
	}
	return nil
}

// close disconnects from the other processes and removes the socket, unless it is a successor's.
func (u *upgrade) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.successors != nil {
		u.successors.Close()
		if !u.replaced.Load() { // otherwise the path holds a successor's socket
			os.Remove(u.path)
		}
	}
	for _, p := range u.peers {
		p.Close()
	}
}
