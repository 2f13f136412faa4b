package clusterparams

import "time"

// Holdings are the terms of what sidecars hold for one another.
type Holdings struct {
	Copies int           // sidecars, in as many zones; 0 for no holdings
	Keep   time.Duration // how long an entry is kept after its last change
	// LostAfter is how long a shard waits for one of its ready seats when all are gone, before it begins empty.
	LostAfter time.Duration
}

// Bounds of those terms.
const (
	MaxCopies    = 5
	MinKeep      = time.Second
	MaxKeep      = 24 * time.Hour
	MinLostAfter = time.Second
	MaxLostAfter = time.Hour
)
