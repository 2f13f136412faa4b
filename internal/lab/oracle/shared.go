package oracle

import (
	"sync"
	"time"
)

// Shared is a book and a service that many goroutines use, with the run's clock.
type Shared struct {
	mu      sync.Mutex
	origin  time.Time
	checker *Checker
	service *Service
}

// NewShared guards a book and a service.
func NewShared(checker *Checker, service *Service) *Shared {
	return &Shared{origin: time.Now(), checker: checker, service: service}
}

// Now is the time on the run's clock.
func (s *Shared) Now() time.Duration { return time.Since(s.origin) }

// Began is when the run's clock was 0.
func (s *Shared) Began() time.Time { return s.origin }

// Do books something.
func (s *Shared) Do(record func(b *Checker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.checker)
}

// Ended adds what a client wanted.
func (s *Shared) Ended(r LogicalRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Ended(r)
}

// Service hands the sums out, for reading only.
func (s *Shared) Service(read func(*Service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.service)
}
