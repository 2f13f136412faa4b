package pipeline

import (
	"strconv"
	"testing"

	"heathgap/internal/env"
	"heathgap/internal/state"
)

// peerIDs is another process that knows some ids.
type peerIDs map[uint64]bool

// ClaimID implements IDClaimer.
func (p peerIDs) ClaimID(id uint64) (known bool) {
	known = p[id]
	p[id] = true
	return known
}

// An id is new once, in both processes of an upgrade, until it is forgotten.
func TestRequestIDs(t *testing.T) {
	ids := newRequestIDs(state.NewClock(env.Real{}))
	if !ids.claim("a") || ids.claim("a") {
		t.Error("an id is not new exactly once")
	}
	ids.forget("a")
	if !ids.claim("a") {
		t.Error("a forgotten id is not new")
	}
	peer := peerIDs{hashOfID("theirs"): true}
	if known := ids.setPeer(peer); len(known) != 1 || known[0] != hashOfID("a") {
		t.Errorf("ids for the other process: %v", known)
	}
	if ids.claim("theirs") || !ids.claim("b") || !peer[hashOfID("b")] {
		t.Error("an id of the other process is new here, or it is not told of one")
	}
}

// Guards against memory that grows with the number of ids: only so many are remembered, the newest among them.
func TestRequestIDsAreBounded(t *testing.T) {
	ids := newRequestIDs(state.NewClock(env.Real{}))
	const many = 10 * idGenerationSize
	for i := range many {
		if !ids.claim(strconv.Itoa(i)) {
			t.Fatalf("%d is not new", i)
		}
	}
	if n := len(ids.current) + len(ids.previous); n > 2*idGenerationSize {
		t.Errorf("%d ids are remembered", n)
	}
	for i := many - idGenerationSize; i < many; i++ {
		if ids.claim(strconv.Itoa(i)) {
			t.Fatalf("%d, one of the newest, is forgotten", i)
		}
	}
}
