package truth

import (
	"sync"
	"time"
)

// Shared is a book and a service that many goroutines use, with the run's clock.
type Shared struct {
	began   time.Time
	mu      sync.Mutex
	book    *Book
	service *Service
}

// Share guards a book and a service; the run begins now.
func Share(b *Book, s *Service) *Shared {
	return &Shared{began: time.Now(), book: b, service: s}
}

// Now is the time since the run began.
func (s *Shared) Now() time.Duration { return time.Since(s.began) }

// Began is when the run began.
func (s *Shared) Began() time.Time { return s.began }

// Do books something.
func (s *Shared) Do(entry func(b *Book)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry(s.book)
}

// Ended adds what a client wanted.
func (s *Shared) Ended(w Want) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Ended(w)
}

// Service hands the sums out, for reading only.
func (s *Shared) Service(read func(*Service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read(s.service)
}
