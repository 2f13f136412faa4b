package oracle

import (
	"sync"
	"time"
)

// Shared lets many goroutines use a Checker and a Service, and holds the run's clock.
type Shared struct {
	mu      sync.Mutex
	origin  time.Time
	checker *Checker
	service *Service
}

// NewShared returns a Shared for a checker and a service. The run's clock starts at 0.
func NewShared(c *Checker, s *Service) *Shared {
	return &Shared{origin: time.Now(), checker: c, service: s}
}

// Now returns the time on the run's clock.
func (s *Shared) Now() time.Duration { return time.Since(s.origin) }

// StartTime returns when the run's clock was 0.
func (s *Shared) StartTime() time.Time { return s.origin }

// Do calls record with the checker while it holds the lock.
func (s *Shared) Do(record func(c *Checker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.checker)
}

// Ended adds to the service a logical request whose outcome is known.
func (s *Shared) Ended(r LogicalRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Ended(r)
}

// Service calls read with the service while it holds the lock. read must not change it.
func (s *Shared) Service(read func(*Service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.service)
}
