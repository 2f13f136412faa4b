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
	"heathgap/internal/takeover"
)

// Upgrade: one process of a sidecar takes the place of another under load. The rules
// see one sidecar, and so do the limits: while both live, each keeps to half of them.

// upgradeProcesses share the limits during an upgrade.
const upgradeProcesses = 2

// upgrade is a process's part in one.
type upgrade struct {
	path        string         // where the processes meet; empty for nowhere
	predecessor *takeover.Peer // the predecessor; nil without one
	replaced    atomic.Bool    // a successor accepts callers
	stopping    atomic.Bool    // the platform has said so

	mu         sync.Mutex
	peers      []*takeover.Peer            // that live: predecessor, successor
	successors *takeover.SuccessorListener // for a successor; nil when there is none
}

// listen returns where callers connect: a predecessor's own listener if there is one.
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

// addPeer counts the other process in.
func (s *Sidecar) addPeer(peer *takeover.Peer) {
	u := &s.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peers = append(u.peers, peer)
}

// removePeer counts it out. The limits are this process's alone again.
func (s *Sidecar) removePeer(peer *takeover.Peer) {
	u := &s.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peers = slices.DeleteFunc(u.peers, func(p *takeover.Peer) bool { return p == peer })
	if len(u.peers) == 0 {
		s.divideLimits(1)
	}
}

// divideLimits keeps this process to a part of the limits.
func (s *Sidecar) divideLimits(shares int) {
	s.callers.SetLimit(s.conf.CallerConns / shares)
	s.engine.SetConnShare(shares)
	debug.SetMemoryLimit(s.conf.HeapBytes / int64(shares))
}

// replacePredecessor takes the predecessor's place, if there is one: when it returns, that has
// stopped accepting, or does not answer. Guards against a predecessor that hangs, for
// which nobody would serve: it stops when it goes on, and until then both accept.
func (s *Sidecar) replacePredecessor() {
	peer := s.upgrade.predecessor
	if peer == nil {
		return
	}
	s.divideLimits(upgradeProcesses)
	go peer.Run(predecessorHandler{s, peer})
	if err := peer.StopAccepting(); err != nil {
		s.log.Warn().Err(err).Msg("the predecessor does not answer, serving beside it")
	}
}

// predecessorHandler is what this process does for its predecessor.
type predecessorHandler struct {
	*Sidecar
	peer *takeover.Peer
}

// StopAccepting is nothing that a predecessor asks for.
func (predecessorHandler) StopAccepting() {}

// PeerEnded is takeover.Handler's.
func (s predecessorHandler) PeerEnded(bool) {
	s.log.Info().Msg("the predecessor has ended")
	s.removePeer(s.peer)
}

// awaitSuccessor lets a successor come.
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
		// Guards against a folder that takes no socket: the sidecar serves, and its
		// successor shares its address instead.
		s.log.Warn().Err(err).Msg("no way in for a successor")
		return
	}
	s.upgrade.mu.Lock()
	defer s.upgrade.mu.Unlock()
	if s.upgrade.successors != nil {
		s.upgrade.successors.Close()
	}
	s.upgrade.successors = successors
}

// successorHandler is what this process does for its successor.
type successorHandler struct {
	*Sidecar
	peer     *takeover.Peer
	listener net.Listener
}

// StopAccepting stops accepting. What stands on the connections that there are is served, and
// each answer is the last on its connection.
func (s successorHandler) StopAccepting() {
	s.upgrade.replaced.Store(true)
	s.callers.Pause()
	s.engine.Drain(true)
	s.divideLimits(upgradeProcesses)
	s.log.Info().Msg("a successor serves")
	go debug.FreeOSMemory()
}

// PeerEnded goes on as before if the successor has ended and this process is not to stop.
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

// ResumeAnswer is takeover.Handler's.
func (s *Sidecar) ResumeAnswer(state []byte, caller, endpoint net.Conn) {
	var handover httpwire.AnswerHandover
	if err := json.Unmarshal(state, &handover); err != nil {
		s.log.Warn().Err(err).Msg("a long answer of the other process")
		caller.Close()
		endpoint.Close()
		return
	}
	s.engine.ResumeAnswer(&handover, caller, endpoint)
}

// handOverAnswers gives the long answers that are still on their way to the successor, if
// there is one.
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

// AdoptBan is takeover.Handler's.
func (s *Sidecar) AdoptBan(name string, on bool) {
	if err := s.engine.AdoptBan(name, on); err != nil {
		s.log.Warn().Err(err).Msg("a ban of the other process")
	}
}

// Ready is console.Operations'.
func (s *Sidecar) Ready() bool { return s.engine.Ready() }

// Metrics is console.Operations'.
func (s *Sidecar) Metrics() []byte {
	text := s.engine.Metrics()
	if s.cluster != nil {
		text = s.cluster.Metrics(text)
	}
	return text
}

// Disable bans an endpoint here and in the other process of an upgrade.
func (s *Sidecar) Disable(name string) error { return s.setBan(name, true, s.engine.Disable) }

// Enable ends a ban in both.
func (s *Sidecar) Enable(name string) error { return s.setBan(name, false, s.engine.Enable) }

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

// close leaves the other process to itself.
func (u *upgrade) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.successors != nil {
		u.successors.Close()
		if !u.replaced.Load() { // else a successor's stands there
			os.Remove(u.path)
		}
	}
	for _, p := range u.peers {
		p.Close()
	}
}
