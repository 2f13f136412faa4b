package state

import (
	"container/heap"

	"heathgap/decide"
)

// Timeouts holds the attempts in flight, ordered by when they time out.
type Timeouts struct{ byTimeout attemptHeap }

// Add adds an attempt.
func (t *Timeouts) Add(a *Attempt) { heap.Push(&t.byTimeout, a) }

// Remove removes an attempt that is settled. It does nothing if the attempt is not there.
func (t *Timeouts) Remove(a *Attempt) {
	if a.heapPosition > 0 {
		heap.Remove(&t.byTimeout, a.heapPosition-1)
	}
}

// Next returns when the next attempt times out; 0 if none is in flight.
func (t *Timeouts) Next() decide.Time {
	if len(t.byTimeout) == 0 {
		return 0
	}
	return t.byTimeout[0].TimeoutAt
}

// Due removes and returns an attempt whose timeout has passed, or nil if there is none.
func (t *Timeouts) Due(now decide.Time) *Attempt {
	if len(t.byTimeout) == 0 || t.byTimeout[0].TimeoutAt > now {
		return nil
	}
	return heap.Pop(&t.byTimeout).(*Attempt)
}

// attemptHeap orders attempts by their timeouts. Each attempt holds its position, counted from 1.
type attemptHeap []*Attempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(i, j int) bool { return h[i].TimeoutAt < h[j].TimeoutAt }
func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition, h[j].heapPosition = i+1, j+1
}

// Push implements heap.Interface.
func (h *attemptHeap) Push(x any) {
	a := x.(*Attempt)
	*h = append(*h, a)
	a.heapPosition = len(*h)
}

// Pop implements heap.Interface.
func (h *attemptHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.heapPosition = 0
	return a
}

// Len returns how many attempts are in flight.
func (t *Timeouts) Len() int { return len(t.byTimeout) }
