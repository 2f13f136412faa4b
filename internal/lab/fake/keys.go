package fake

import (
	"sync"
	"time"
)

// KeyMemory remembers the keys that the endpoints of an effect group have received. Within the window after a key was
// first seen, a request with that key has no effect of its own.
type KeyMemory struct {
	window time.Duration
	mu     sync.Mutex
	seen   map[string]*keyRun
	order  []*keyRun // in the order in which they were first seen
}

// keyRun is a key with the run that had its effect.
type keyRun struct {
	key      string
	lastByte time.Duration // when the last byte of that run's request was received
	done     chan struct{} // closed when that run has ended, or its endpoint has died
	once     sync.Once
}

// NewKeyMemory returns an empty memory.
func NewKeyMemory(window time.Duration) *KeyMemory {
	return &KeyMemory{window: window, seen: map[string]*keyRun{}}
}

// Observe records a received key. It returns the run that the request repeats, or nil and a new run, which the endpoint
// must finish or forget.
func (k *KeyMemory) Observe(now time.Duration, key string) (first, own *keyRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.order) > 0 && now-k.order[0].lastByte > k.window {
		if old := k.order[0]; k.seen[old.key] == old {
			delete(k.seen, old.key)
		}
		k.order = k.order[1:]
	}
	if first = k.seen[key]; first != nil && now-first.lastByte <= k.window {
		return first, nil
	}
	own = &keyRun{key: key, lastByte: now, done: make(chan struct{})}
	k.seen[key] = own
	k.order = append(k.order, own)
	return nil, own
}

// Forget removes a run whose request was rejected in the end.
func (k *KeyMemory) Forget(own *keyRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen[own.key] == own {
		delete(k.seen, own.key)
	}
	own.finish()
}

// finish wakes the requests that wait for the run. The run may be nil.
func (s *keyRun) finish() {
	if s != nil {
		s.once.Do(func() { close(s.done) })
	}
}
