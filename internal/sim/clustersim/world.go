// Package clustersim plays a crew in a world of its own, under one seed: the real cores of keepers (raft, ledger, leases,
// their folders' store) and the real seekers and holders of members, on virtual time, between models of the network, of
// clocks that differ and of disks. It has no goroutines: one step follows another, and the same seed takes the same steps.
// After each step it checks what must never be (run.go), in the end that what was told is there and that the crew is well.
//
// What it does not play: sockets, the wire, bbolt's file and the engine that acts on the rules. Real processes
// (heathlab crew) play those.
package clustersim

import (
	"container/heap"
	"crypto/rand"
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	mrand "math/rand/v2"
	"sync"
	"time"
)

// event is something that happens at a time.
type event struct {
	at   time.Duration
	seq  int // of those at one time
	what string
	who  string
	do   func()
}

// queue is a heap of events.
type queue []*event

// Len is heap.Interface's.
func (q queue) Len() int { return len(q) }

// Less is heap.Interface's.
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap is heap.Interface's.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is heap.Interface's.
func (q *queue) Push(e any) { *q = append(*q, e.(*event)) }

// Pop is heap.Interface's.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world is virtual time and what comes next.
type world struct {
	now       time.Duration
	queue     queue
	lastSeq   int
	steps     int
	rng       *mrand.Rand
	traceHash hash.Hash64
	trace     io.Writer // a line a step; nil for none
}

// schedule has something happen after a time.
func (w *world) schedule(d time.Duration, what, who string, do func()) {
	w.lastSeq++
	heap.Push(&w.queue, &event{w.now + max(0, d), w.lastSeq, what, who, do})
}

// step takes the next step; false when none is left up to a time.
func (w *world) step(until time.Duration) bool {
	if len(w.queue) == 0 || w.queue[0].at > until {
		w.now = until
		return false
	}
	e := heap.Pop(&w.queue).(*event)
	w.now = e.at
	w.steps++
	w.record(e.what, e.who)
	e.do()
	return true
}

// record books what happens, for the trace and its hash.
func (w *world) record(what, who string) {
	out := io.Writer(w.traceHash)
	if w.trace != nil {
		out = io.MultiWriter(w.traceHash, w.trace)
	}
	fmt.Fprintf(out, "%d %d %s %s\n", w.steps, w.now, what, who)
}

// randomDuration draws a time.
func (w *world) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(w.rng.Int64N(int64(maximum-minimum)+1))
}

// chance draws whether something happens.
func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// seededReader stands in for crypto/rand while a world runs: raft draws the times of its elections from there.
type seededReader struct{ source *mrand.ChaCha8 }

// Read is io.Reader's.
func (s seededReader) Read(b []byte) (int, error) { return s.source.Read(b) }

// randMutex world runs at a time in a process: its source of chance is the process's.
var randMutex sync.Mutex

// newSeededWorld puts a seed's chance in place, until the function that it returns is called.
func newSeededWorld(n uint64) (w *world, done func()) {
	randMutex.Lock()
	before := rand.Reader
	var key [32]byte
	copy(key[:], fmt.Sprintf("crew %d", n))
	rand.Reader = seededReader{mrand.NewChaCha8(key)}
	return &world{rng: mrand.New(mrand.NewPCG(n, 0x63726577)), traceHash: fnv.New64a()}, func() {
		rand.Reader = before
		randMutex.Unlock()
	}
}
