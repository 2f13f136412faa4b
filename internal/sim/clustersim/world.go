// Package clustersim simulates whole clusters under one seed: the real voter cores (raft, ledger, leases, storage in their data
// directories) and the real lease holders and renewers of the members, on virtual time, with models of the network, of clocks that
// run at different rates and of disks. It has no goroutines: steps follow one another, and the same seed takes the same steps.
// After each step a run checks the rules listed in run.go. At its end it checks that each version whose number was reported still
// exists, and that the cluster settles.
//
// It does not simulate sockets, the encoding of frames, bbolt's file and the engine that applies the rules. Runs of real processes
// (heathlab crew) cover those.
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

// event is an action that is due at a virtual time.
type event struct {
	at   time.Duration
	seq  int    // orders events that are due at the same time
	what string // the kind of event, for the trace
	who  string // the process or the direction, for the trace
	do   func()
}

// queue is a heap of events, the earliest first.
type queue []*event

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(e any) { *q = append(*q, e.(*event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world holds the virtual time and the events to come.
type world struct {
	now       time.Duration // since the start of the run
	queue     queue
	lastSeq   int
	steps     int
	rng       *mrand.Rand
	traceHash hash.Hash64
	trace     io.Writer // one line per step; nil for none
}

// schedule adds an event that is due after d.
func (w *world) schedule(d time.Duration, what, who string, do func()) {
	w.lastSeq++
	heap.Push(&w.queue, &event{w.now + max(0, d), w.lastSeq, what, who, do})
}

// step runs the next event. It returns false if none is due by until; the time is until then.
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

// record writes a line on what happens to the trace and its hash.
func (w *world) record(what, who string) {
	out := io.Writer(w.traceHash)
	if w.trace != nil {
		out = io.MultiWriter(w.traceHash, w.trace)
	}
	fmt.Fprintf(out, "%d %d %s %s\n", w.steps, w.now, what, who)
}

// randomDuration returns a time from minimum to maximum.
func (w *world) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(w.rng.Int64N(int64(maximum-minimum)+1))
}

// chance returns true with probability p.
func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// seededReader replaces crypto/rand while a world runs: raft draws its election timeouts from there.
type seededReader struct{ source *mrand.ChaCha8 }

// Read implements io.Reader.
func (s seededReader) Read(b []byte) (int, error) { return s.source.Read(b) }

// randMutex is held while a world runs: it replaces crypto/rand.Reader, which the whole process shares.
var randMutex sync.Mutex

// newSeededWorld returns a world and makes crypto/rand follow from the seed until the caller calls done.
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
