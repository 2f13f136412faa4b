package decide

import "time"

// timerKind says what is done when a timer is due.
type timerKind uint8

const (
	timerRequest timerKind = iota // check one request's deadline
	timerWaiting                  // check the waiting and the queued requests
	timerList                     // ask discovery for the endpoint list
)

// timer is one pending timer.
type timer struct {
	at      Time
	seq     uint64 // orders timers of the same time by when they were set
	kind    timerKind
	request RequestID
}

// timerQueue is a binary heap of timers, earliest first. It also keeps when the one external timer is due
// that the instance has asked for with SetTimer.
type timerQueue struct {
	heap  []timer
	seq   uint64
	armed Time // when the external timer is due; 0 when none is set
}

// before reports whether timer i is due before timer j.
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

// due removes and returns the earliest timer if it is due at now.
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

// timerTolerance is how much too early the external timer may come, because clocks are coarser than the
// heap's times. An event that comes so shortly before the external timer is due is taken for that timer:
// otherwise arm would go on counting on a timer that has come already, and set no new one.
const timerTolerance = time.Microsecond

// arm appends a SetTimer for the earliest timer, unless an external timer is set that is due no later. An
// external timer whose time has come counts as no longer set.
func (q *timerQueue) arm(now Time, actions []Action) []Action {
	if q.armed > 0 && q.armed <= now+timerTolerance {
		q.armed = 0
	}
	if len(q.heap) == 0 || (q.armed > 0 && q.armed <= q.heap[0].at) {
		return actions
	}
	q.armed = q.heap[0].at
	return append(actions, Action{Kind: SetTimer, After: q.armed - now})
}
