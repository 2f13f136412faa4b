package lifecycle

import (
	"runtime/debug"
	"sync"
)

// lowerLimit is the part, in quarters, of its connections and of its memory for bodies that a process keeps while its memory is
// near the limit.
const lowerLimit = 3

// limits holds what divides the configured limits of a process.
type limits struct {
	mu         sync.Mutex
	shares     int  // processes that share the limits; 0 before the first division stands for 1
	memoryHigh bool // the memory of this process is near its limit
}

// divide sets how many processes share the limits.
func (l *limits) divide(s *Sidecar, shares int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares = shares
	s.engine.SetShare(shares)
	debug.SetMemoryLimit(s.conf.CollectorBytes / int64(shares))
	l.apply(s)
}

// setMemoryHigh sets whether the memory of this process is near its limit.
func (l *limits) setMemoryHigh(s *Sidecar, high bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memoryHigh = high
	l.apply(s)
}

// apply sets the limits on callers' connections and on the memory of bodies; l.mu is held.
func (l *limits) apply(s *Sidecar) {
	conns, bodies := s.conf.CallerConns/max(1, l.shares), s.conf.BodyBytes/int64(max(1, l.shares))
	if l.memoryHigh {
		conns, bodies = conns*lowerLimit/4, bodies*lowerLimit/4
	}
	s.callers.SetLimit(max(1, conns))
	s.bodyMemory.Resize(bodies)
}
