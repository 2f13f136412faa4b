package fake

import (
	"sync"
	"time"
)

// KeyMemory is the memory of keys that a group of endpoints shares: within the window
// after a key was first seen, a request under it has no effect of its own.
type KeyMemory struct {
	window time.Duration
	mu     sync.Mutex
	seen   map[string]*keyRun
	order  []*keyRun // the oldest first
}

// keyRun is a key and the run that it stands for.
type keyRun struct {
	key      string
	lastByte time.Duration // the first run's last byte
	done     chan struct{} // closed when that run has ended, or died with its endpoint
	once     sync.Once
}

// NewKeyMemory returns an empty memory.
func NewKeyMemory(window time.Duration) *KeyMemory {
	return &KeyMemory{window: window, seen: map[string]*keyRun{}}
}

// Observe takes a key that has come. It returns the run that it repeats, or nil and
// a run of its own, to be ended by its endpoint.
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

// Forget takes back a run that was turned away after all.
func (k *KeyMemory) Forget(own *keyRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen[own.key] == own {
		delete(k.seen, own.key)
	}
	own.finish()
}

// finish tells those that wait for the run. A nil run is none.
func (s *keyRun) finish() {
	if s != nil {
		s.once.Do(func() { close(s.done) })
	}
}
