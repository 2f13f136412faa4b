package clusterparams

import "time"

// Holdings are the parameters of package holdings, the replicated records that sidecars hold for one another.
//
// Params.Hash prints this struct with %+v, and processes compare the hash: the names of the fields, their order and their types must not
// change.
type Holdings struct {
	Copies int           // replication factor: each entry is kept by so many sidecars of different zones; 0 disables holdings
	Keep   time.Duration // how long an entry is kept after its last change
	// LostAfter is how long a shard that has no ready replica left waits for one of them to come back before it starts empty.
	LostAfter time.Duration
}

// Limits of these parameters.
const (
	MaxCopies    = 5
	MinKeep      = time.Second
	MaxKeep      = 24 * time.Hour
	MinLostAfter = time.Second
	MaxLostAfter = time.Hour
)
