package state

import (
	"container/heap"

	"heathgap/decide"
)

// Timeouts are the attempts that are out, the one that times out first in front.
type Timeouts struct{ byTimeout attemptHeap }

// Add takes in an attempt.
func (t *Timeouts) Add(a *Attempt) { heap.Push(&t.byTimeout, a) }

// Remove forgets an attempt that has its outcome; one that is not there is
// passed over.
func (t *Timeouts) Remove(a *Attempt) {
	if a.heapPosition > 0 {
		heap.Remove(&t.byTimeout, a.heapPosition-1)
	}
}

// Next is when the first attempt times out; 0 if none is out.
func (t *Timeouts) Next() decide.Time {
	if len(t.byTimeout) == 0 {
		return 0
	}
	return t.byTimeout[0].TimeoutAt
}

// Due removes and returns an attempt whose time is up, or nil.
func (t *Timeouts) Due(now decide.Time) *Attempt {
	if len(t.byTimeout) == 0 || t.byTimeout[0].TimeoutAt > now {
		return nil
	}
	return heap.Pop(&t.byTimeout).(*Attempt)
}

// attemptHeap orders attempts by their time-outs; each knows its place, from 1.
type attemptHeap []*Attempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(i, j int) bool { return h[i].TimeoutAt < h[j].TimeoutAt }
func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition, h[j].heapPosition = i+1, j+1
}

// Push is heap.Interface's.
func (h *attemptHeap) Push(x any) {
	a := x.(*Attempt)
	*h = append(*h, a)
	a.heapPosition = len(*h)
}

// Pop is heap.Interface's.
func (h *attemptHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.heapPosition = 0
	return a
}

// Len is how many attempts are out.
func (t *Timeouts) Len() int { return len(t.byTimeout) }
