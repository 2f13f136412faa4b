package pipeline

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"

	"heathgap/decide"
	"heathgap/internal/state"
)

// An id names one request: callers give each a new one. An id that comes again while its request is open, or after its request may
// have run, is rejected, since its effect could happen twice.

// Bounds on the ids that are remembered.
const (
	idGenerationTime = 10 * decideSecond // an id is remembered for one to two of these after it came
	idGenerationSize = 8192              // unless more than that many came within one
)

// decideSecond is a second of the module's time.
const decideSecond = decide.Time(1e9)

// IDClaimer is the other process of an upgrade, which remembers ids too.
type IDClaimer interface {
	// ClaimID tells the other process of an id, and returns whether that knew it. Without an answer in time it returns false.
	ClaimID(id uint64) (known bool)
}

// requestIDs remembers the ids of requests, by their hashes. It is safe for concurrent use.
type requestIDs struct {
	clock state.Clock

	mu       sync.Mutex
	current  map[uint64]struct{}
	previous map[uint64]struct{}
	began    decide.Time // of the current generation
	peer     IDClaimer   // nil without another process
}

// newRequestIDs returns an empty memory.
func newRequestIDs(clock state.Clock) *requestIDs {
	return &requestIDs{clock: clock, current: map[uint64]struct{}{}, began: clock.Now()}
}

// hashOfID returns the hash of an id; both processes of an upgrade use the same.
func hashOfID(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) //nolint:errcheck // it never fails
	return h.Sum64()
}

// claim remembers an id, here and in the other process of an upgrade, and reports whether it is new to both.
func (r *requestIDs) claim(id string) bool {
	hash := hashOfID(id)
	peer, added := r.add(hash)
	return added && (peer == nil || !peer.ClaimID(hash))
}

// add remembers a hash, and reports whether it is new here.
func (r *requestIDs) add(hash uint64) (peer IDClaimer, added bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.clock.Now(); now-r.began >= idGenerationTime || len(r.current) >= idGenerationSize {
		r.previous, r.current, r.began = r.current, map[uint64]struct{}{}, now
	}
	_, inCurrent := r.current[hash]
	_, inPrevious := r.previous[hash]
	r.current[hash] = struct{}{}
	return r.peer, !inCurrent && !inPrevious
}

// forget makes an id new again: its request can't have run.
func (r *requestIDs) forget(id string) {
	hash := hashOfID(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.current, hash)
	delete(r.previous, hash)
}

// setPeer sets the other process of an upgrade, nil for none, and returns what is remembered here: from then on each new id is claimed
// there too.
func (r *requestIDs) setPeer(peer IDClaimer) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peer = peer
	return slices.AppendSeq(slices.Collect(maps.Keys(r.previous)), maps.Keys(r.current))
}

// SetIDPeer makes ids be claimed in the other process of an upgrade too, or with nil in none, and returns the hashes of those that are
// remembered here.
func (e *Engine) SetIDPeer(peer IDClaimer) []uint64 { return e.ids.setPeer(peer) }

// RememberID remembers an id that the other process of an upgrade has taken in, by its hash, and reports whether it was known here.
func (e *Engine) RememberID(hash uint64) (known bool) {
	_, added := e.ids.add(hash)
	return !added
}
