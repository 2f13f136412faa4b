package pipeline

import (
	"bytes"
	"encoding/json"
	"strconv"
	"testing"

	"github.com/rs/zerolog"

	"heathgap/decide"
	"heathgap/internal/env"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// peerIDs is another process that knows some ids.
type peerIDs map[uint64]bool

// ClaimID implements IDClaimer.
func (p peerIDs) ClaimID(id uint64, _ bool) (known bool) {
	known = p[id]
	p[id] = true
	return known
}

// isKnown claims an id and reports whether it was known.
func isKnown(ids *requestIDs, id string) bool {
	_, known := ids.claim(id, false)
	return known
}

// An id is new once, in both processes of an upgrade.
func TestRequestIDs(t *testing.T) {
	ids := newRequestIDs(state.NewClock(env.Real{}))
	if isKnown(ids, "a") || !isKnown(ids, "a") {
		t.Error("an id is not new exactly once")
	}
	peer := peerIDs{hashOfID("theirs"): true}
	if known := ids.setPeer(peer).Once; len(known) != 1 || known[0] != hashOfID("a") {
		t.Errorf("ids for the other process: %v", known)
	}
	if !isKnown(ids, "theirs") || isKnown(ids, "b") || !peer[hashOfID("b")] {
		t.Error("an id of the other process is new here, or it is not told of one")
	}
}

// Guards against memory that grows with the number of ids: only so many are remembered, the newest among them.
func TestRequestIDsAreBounded(t *testing.T) {
	ids := newRequestIDs(state.NewClock(env.Real{}))
	const many = 10 * idGenerationSize
	for i := range many {
		if isKnown(ids, strconv.Itoa(i)) {
			t.Fatalf("%d is not new", i)
		}
	}
	if n := len(ids.once.hashes()); n > 2*idGenerationSize {
		t.Errorf("%d ids are remembered", n)
	}
	for i := many - idGenerationSize; i < many; i++ {
		if !isKnown(ids, strconv.Itoa(i)) {
			t.Fatalf("%d, one of the newest, is forgotten", i)
		}
	}
}

// Guards against ids of requests that may not run twice and that many safe ones push out.
func TestSafeIDsDoNotPushOutOthers(t *testing.T) {
	ids := newRequestIDs(state.NewClock(env.Real{}))
	ids.claim("once", false)
	for i := range 10 * idGenerationSize {
		ids.claim(strconv.Itoa(i), true)
	}
	if !isKnown(ids, "once") {
		t.Error("its id is new again")
	}
	if n := len(ids.safe.hashes()); n > 2*idGenerationSize {
		t.Errorf("%d safe ids are remembered", n)
	}
}

// Guards against an id that is used again and nobody can tell why its request was rejected, or that it was not: there is a line that
// tells what became of the request before.
func TestUsedIDsAreLogged(t *testing.T) {
	var log bytes.Buffer
	e := newTestEngine(t)
	e.log = zerolog.New(&log)
	e.conf.Classes = map[string]decide.Class{"burn": {Name: "burn", Effect: decide.Unsafe}}
	until := e.clock.Now() + decideSecond
	for _, end := range []struct {
		verdict httpwire.Verdict
		former  string
	}{{httpwire.Served, "answered"}, {httpwire.Abandoned, "caller_left"}, {0, "open"}} {
		message := &httpwire.Request{ID: end.former, Class: "burn"}
		if !e.claimID(message) {
			t.Fatalf("%s: the id is not new", end.former)
		}
		if end.former != "open" {
			r := e.requests.Add(message, until, make(chan httpwire.Answer, 1))
			attempt := e.requests.Begin(r, nil, e.clock.Now(), until) // it is out
			attempt.StartWrite()
			e.relay(r, httpwire.Answer{Verdict: end.verdict})
		}
		log.Reset()
		if e.claimID(&httpwire.Request{ID: end.former, Class: "burn"}) {
			t.Errorf("%s: the id is new again", end.former)
		}
		var line struct {
			Message, Request, Class, Former string
		}
		if err := json.Unmarshal(log.Bytes(), &line); err != nil {
			t.Fatalf("%s: %q, %v", end.former, log.String(), err)
		}
		if line.Message != "id used again" || line.Request != end.former || line.Class != "burn" || line.Former != end.former {
			t.Errorf("%s: %+v", end.former, line)
		}
	}
	if n := e.snapshot().UsedIDs; n != 3 {
		t.Errorf("%d used ids are counted, want 3", n)
	}
}
