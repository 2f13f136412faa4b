package httpwire

import "sync/atomic"

// MemoryBudget limits the memory that bodies take together. A nil budget has no limit. It is safe for concurrent use.
type MemoryBudget struct {
	total     atomic.Int64
	available atomic.Int64
}

// NewMemoryBudget returns a budget of the given number of bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	m := &MemoryBudget{}
	m.total.Store(bytes)
	m.available.Store(bytes)
	return m
}

// Resize sets how many bytes the budget has in all. If more are reserved, none is available until enough of them are released.
func (m *MemoryBudget) Resize(bytes int64) { m.available.Add(bytes - m.total.Swap(bytes)) }

// Take reserves bytes and reports whether that many were available.
func (m *MemoryBudget) Take(bytes int) bool {
	if m == nil || bytes <= 0 || m.available.Add(-int64(bytes)) >= 0 {
		return true
	}
	m.Release(bytes)
	return false
}

// Available returns the number of unreserved bytes.
func (m *MemoryBudget) Available() int64 { return m.available.Load() }

// Release returns reserved bytes to the budget.
func (m *MemoryBudget) Release(bytes int) {
	if m != nil {
		m.available.Add(int64(bytes))
	}
}

// Reservation is the part of a budget that one body takes. A nil Reservation has none. It is safe for concurrent use.
type Reservation struct {
	budget *MemoryBudget
	bytes  atomic.Int64
}

// Grow reserves more bytes and reports whether they were available.
func (r *Reservation) Grow(bytes int) bool {
	if !r.budget.Take(bytes) {
		return false
	}
	r.bytes.Add(int64(bytes))
	return true
}

// scarce reports whether more than half of the budget is reserved.
func (r *Reservation) scarce() bool {
	return r != nil && r.budget != nil && r.budget.Available() < r.budget.total.Load()/2
}

// Bytes returns how many bytes are reserved.
func (r *Reservation) Bytes() int {
	if r == nil {
		return 0
	}
	return int(r.bytes.Load())
}

// Shrink releases all but the given number of bytes; a smaller reservation stays as it is.
func (r *Reservation) Shrink(to int) {
	for r != nil {
		now := r.bytes.Load()
		if now <= int64(to) {
			return
		}
		if r.bytes.CompareAndSwap(now, int64(to)) {
			r.budget.Release(int(now) - to)
			return
		}
	}
}

// Release releases all bytes. Further calls have no effect.
func (r *Reservation) Release() { r.Shrink(0) }
