package decide

import "time"

// timerKind says what a timer wakes.
type timerKind uint8

const (
	timerRequest timerKind = iota // look at one request again
	timerWaiting                  // look at the waiting requests again
	timerList                     // ask for the endpoint list
)

// timer is one pending wake-up.
type timer struct {
	at      Time
	seq     uint64 // breaks ties in the order of setting
	kind    timerKind
	request RequestID
}

// timerQueue is a binary heap of timers, earliest first. It also keeps the one
// outside timer that the instance has asked for.
type timerQueue struct {
	heap  []timer
	seq   uint64
	armed Time // when the outside timer is due; 0 when none is
}

func (q *timerQueue) before(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

// set adds a timer.
func (q *timerQueue) set(at Time, kind timerKind, request RequestID) {
	q.seq++
	q.heap = append(q.heap, timer{at: at, seq: q.seq, kind: kind, request: request})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.before(i, parent) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// due removes and returns the earliest timer that is due at now.
func (q *timerQueue) due(now Time) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return timer{}, false
	}
	first := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap = q.heap[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && q.before(child+1, child) {
			child++
		}
		if !q.before(child, i) {
			break
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
	return first, true
}

// earlyBy is how much before its time an outside timer may come: clocks are coarser
// than the heap's times, and one taken for a stale one would leave nothing armed.
const earlyBy = time.Microsecond

// arm appends a SetTimer when the earliest timer is due before the outside
// timer that is already set.
func (q *timerQueue) arm(now Time, actions []Action) []Action {
	if q.armed > 0 && q.armed <= now+earlyBy {
		q.armed = 0
	}
	if len(q.heap) == 0 || (q.armed > 0 && q.armed <= q.heap[0].at) {
		return actions
	}
	q.armed = q.heap[0].at
	return append(actions, Action{Kind: SetTimer, After: q.armed - now})
}
