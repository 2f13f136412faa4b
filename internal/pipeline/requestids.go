package pipeline

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"

	"heathgap/decide"
	"heathgap/internal/httpwire"
	"heathgap/internal/state"
)

// An id names one request: callers give each a new one, of whatever class it is and however the one before has ended. An id that comes
// again is rejected: its effect could happen twice, and an answer to it could be that of the other request.

// Bounds on the ids that are remembered.
const (
	idGenerationTime = 10 * decideSecond // an id is remembered for one to two of these after it came
	idGenerationSize = 8192              // unless more than that many came within one
)

// decideSecond is a second of the module's time.
const decideSecond = decide.Time(1e9)

// IDClaimer is the other process of an upgrade, which remembers ids too.
type IDClaimer interface {
	// ClaimID tells the other process of the id of a request, which may be safe to repeat, and returns whether that knew it. Without an
	// answer in time it returns false.
	ClaimID(id uint64, safe bool) (known bool)
}

// idState says what became of the request that came with an id.
type idState uint8

// The states of a request that an id was used for.
const (
	idOpen      idState = iota // it has no final answer yet
	idAnswered                 // its caller was given the final answer
	idLeft                     // its caller disconnected before its answer
	idEnded                    // one of both, and an attempt of it is out
	idElsewhere                // it came to the other process of an upgrade
)

// idStateNames are the names of the states in log lines.
var idStateNames = [...]string{
	idOpen: "open", idAnswered: "answered", idLeft: "caller_left", idEnded: "ended", idElsewhere: "other_process",
}

// String implements fmt.Stringer.
func (s idState) String() string { return idStateNames[s] }

// usedID is what is remembered of the request that came with an id.
type usedID struct {
	came  decide.Time // 0 if that is not known
	state idState
}

// idMemory remembers what ids were used for, by their hashes. It is not safe for concurrent use.
type idMemory struct {
	current  map[uint64]usedID
	previous map[uint64]usedID
	began    decide.Time // of the current generation
}

// newIDMemory returns an empty memory.
func newIDMemory(now decide.Time) idMemory { return idMemory{current: map[uint64]usedID{}, began: now} }

// lookUp returns what is remembered of a hash.
func (m *idMemory) lookUp(hash uint64) (used usedID, known bool) {
	if used, known = m.current[hash]; !known {
		used, known = m.previous[hash]
	}
	return used, known
}

// put remembers a hash, among the newest ones.
func (m *idMemory) put(hash uint64, used usedID, now decide.Time) {
	if now-m.began >= idGenerationTime || len(m.current) >= idGenerationSize {
		m.previous, m.current, m.began = m.current, map[uint64]usedID{}, now
	}
	m.current[hash] = used
}

// setState records what has become of the request with a hash, if that is remembered.
func (m *idMemory) setState(hash uint64, now idState) {
	for _, generation := range []map[uint64]usedID{m.current, m.previous} {
		if used, known := generation[hash]; known {
			used.state = now
			generation[hash] = used
		}
	}
}

// hashes returns what is remembered.
func (m *idMemory) hashes() []uint64 {
	return slices.AppendSeq(slices.Collect(maps.Keys(m.previous)), maps.Keys(m.current))
}

// requestIDs remembers the ids of requests, by their hashes. It is safe for concurrent use.
type requestIDs struct {
	clock state.Clock

	mu       sync.Mutex
	once     idMemory   // of requests that may not run twice
	safe     idMemory   // of requests that are safe to repeat: there may be many, and they must not push out the others
	peer     IDClaimer  // nil without another process
	logLimit logLimiter // of lines on ids that are used again
}

// newRequestIDs returns an empty memory.
func newRequestIDs(clock state.Clock) *requestIDs {
	now := clock.Now()
	return &requestIDs{clock: clock, once: newIDMemory(now), safe: newIDMemory(now)}
}

// hashOfID returns the hash of an id; both processes of an upgrade use the same.
func hashOfID(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id)) //nolint:errcheck // it never fails
	return h.Sum64()
}

// memoryOf returns the memory for ids of requests that are safe to repeat, or of others.
func (r *requestIDs) memoryOf(safe bool) *idMemory {
	if safe {
		return &r.safe
	}
	return &r.once
}

// claim remembers the id of a request, which may be safe to repeat, here and in the other process of an upgrade. It reports whether the
// id was known to one of them and, if so, what became of the request that it was used for.
func (r *requestIDs) claim(id string, safe bool) (former usedID, known bool) {
	hash := hashOfID(id)
	peer, former, known := r.add(hash, safe, idOpen)
	if known || peer == nil || !peer.ClaimID(hash, safe) {
		return former, known
	}
	return usedID{state: idElsewhere}, true
}

// add remembers the hash of a request that is in a state, and reports whether it was known here, as that of a request of any class.
func (r *requestIDs) add(hash uint64, safe bool, begins idState) (peer IDClaimer, former usedID, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, memory := range []*idMemory{&r.once, &r.safe} {
		if former, known = memory.lookUp(hash); known {
			memory.put(hash, former, now)
			return r.peer, former, true
		}
	}
	r.memoryOf(safe).put(hash, usedID{came: now, state: begins}, now)
	return r.peer, usedID{}, false
}

// setState records what has become of the request with an id, if that is remembered.
func (r *requestIDs) setState(id string, now idState) {
	hash := hashOfID(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.once.setState(hash, now)
	r.safe.setState(hash, now)
}

// allowLine reports whether a log line on an id that is used again may be written and, if so, how many were not since the last one.
func (r *requestIDs) allowLine() (suppressed int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logLimit.allow(r.clock.Now())
}

// RememberedIDs are the hashes of the ids that a process remembers.
type RememberedIDs struct {
	Once []uint64 // of requests that may not run twice
	Safe []uint64 // of requests that are safe to repeat
}

// setPeer sets the other process of an upgrade, nil for none, and returns what is remembered here: from then on each new id is claimed
// there too.
func (r *requestIDs) setPeer(peer IDClaimer) RememberedIDs {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peer = peer
	return RememberedIDs{Once: r.once.hashes(), Safe: r.safe.hashes()}
}

// SetIDPeer makes ids be claimed in the other process of an upgrade too, or with nil in none, and returns those that are remembered here.
func (e *Engine) SetIDPeer(peer IDClaimer) RememberedIDs { return e.ids.setPeer(peer) }

// RememberID remembers an id that the other process of an upgrade has taken in, by its hash, and reports whether it was known here. safe
// says that its request is safe to repeat.
func (e *Engine) RememberID(hash uint64, safe bool) (known bool) {
	_, _, known = e.ids.add(hash, safe, idElsewhere)
	return known
}

// errKnownID is the problem of a request whose id is that of another one.
const errKnownID = "id: that of another request"

// claimID claims the id of a request, and reports whether it is new. The time that this takes, while another process has to be asked, is a
// part of the request's.
func (e *Engine) claimID(message *httpwire.Request) bool {
	safe := e.classInEffect(message.Class).Effect == decide.Safe
	began := e.clock.Now()
	former, known := e.ids.claim(message.ID, safe)
	message.Remaining = max(0, message.Remaining-(e.clock.Now()-began))
	if known {
		e.noteUsedID(message, former)
	}
	return !known
}

// noteUsedID counts a request that is rejected since its id was used before, and writes its line.
func (e *Engine) noteUsedID(message *httpwire.Request, former usedID) {
	e.metrics.UsedIDs.Add(1)
	if suppressed, ok := e.ids.allowLine(); ok {
		line := e.log.Info().Str("request", message.ID).Str("class", message.Class).Stringer("former", former.state)
		if former.came > 0 {
			line.Int64("former_came_ms_ago", (e.clock.Now() - former.came).Milliseconds())
		}
		line.Int("suppressed", suppressed).Msg("id used again")
	}
}

// noteEnd records for the id of a request how that has ended.
func (e *Engine) noteEnd(message *httpwire.Request, verdict httpwire.Verdict) {
	if verdict == httpwire.Abandoned {
		e.ids.setState(message.ID, idLeft)
		return
	}
	e.ids.setState(message.ID, idAnswered)
}

// stateOf returns the state of a request that is still known.
func stateOf(r *state.Request) idState {
	if r.Done {
		return idEnded
	}
	return idOpen
}
