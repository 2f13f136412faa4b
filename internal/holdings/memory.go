package holdings

import (
	"fmt"
	"time"
)

// Limits are the bounds of a store.
type Limits struct {
	MaxEntries int   // entries for which claims may be made
	MaxMemory  int64 // bytes of the process's memory that entries may take; 0 for no bound
	MaxBody    int   // bytes of an outcome's body: a claim reserves room for that
}

// What an entry takes of the process's memory beside its texts and its body, in bytes. A Go map has up to twice as many slots as entries.
const (
	entryMemory   = 256 + 2*64 // the trackedEntry, and its slots in the shard's map
	outcomeMemory = 64 + 16    // the Outcome
	claimMemory   = 640        // while a key is claimed: its replication, the items for other sidecars, commands that wait
)

// Go allocates memory in size classes, which waste less than a fifth of an object, and in pages beyond the largest of them.
const (
	allocationWaste = 5 // one part in so many
	smallAllocation = 16
	largestClass    = 32 << 10
	pageSize        = 8 << 10
)

// allocated returns at most how many bytes Go allocates for a text or slice of a length.
func allocated(length int) int {
	switch {
	case length == 0:
		return 0
	case length > largestClass:
		return (length + pageSize - 1) / pageSize * pageSize
	}
	return length + length/allocationWaste + smallAllocation
}

// memory returns at most how much of the process's memory an entry takes, in bytes. With reserved, that includes room for an outcome with a
// body of maxBody bytes.
func (e *Entry) memory(reserved bool, maxBody int) int64 {
	n := entryMemory + allocated(len(e.Key.Class)) + allocated(len(e.Key.Tenant)) + allocated(len(e.Key.Text)) + allocated(len(e.Owner.Name))
	if reserved {
		n += claimMemory + outcomeMemory + 2*allocated(MaxName) + allocated(maxBody)
	}
	if o := e.Outcome; o != nil {
		n += outcomeMemory + allocated(len(o.Type)) + allocated(len(o.Encoding)) + allocated(cap(o.Body))
	}
	return int64(n)
}

// minClaims is for how many claims at a time there must be room at least.
const minClaims = 64

// MinMemory returns the least that Limits.MaxMemory may be: there is room for a few keys of the greatest length, with their outcomes.
func MinMemory(maxBody int) int64 {
	longest := string(make([]byte, MaxName))
	e := Entry{Key: Key{Class: longest, Tenant: longest, Text: longest}, Owner: Incarnation{Name: longest}}
	return e.memory(true, maxBody) * minClaims
}

// Check returns an error if the limits leave no room for claims.
func (l Limits) Check() error {
	if least := MinMemory(l.MaxBody); l.MaxMemory > 0 && l.MaxMemory < least {
		return fmt.Errorf("%d bytes; allowed: at least %d, so that there is room for %d answers of %d bytes", l.MaxMemory, least, minClaims, l.MaxBody)
	}
	return nil
}

// room returns how many bytes more claims may make the entries of all shards take here; below 0 if they take too much already. Where
// there is no bound, bounded is false.
func (st *Store) room() (bytes int64, bounded bool) {
	return int64(float64(st.limits.MaxMemory)*st.claimShare()) - st.Memory, st.limits.MaxMemory > 0
}

// claimShare returns the part of the memory that claims may fill: the rest is for the replicas that this sidecar gets when Copies-1 others
// are lost. A sidecar that holds all shards gets no more.
func (st *Store) claimShare() float64 {
	share := func(members int) float64 { return min(1, float64(st.params.Copies)/float64(max(1, members))) }
	members := len(st.members)
	return share(members) / share(members-(st.params.Copies-1))
}

// roomInterval is how old what a sidecar has told of its room must be before it is asked anew.
const roomInterval = 200 * time.Millisecond

// hasRoom reports whether a claim or an outcome may make an entry of a shard take so many bytes more, here and, as far as they have told, on
// the sidecars that have the shard's other replicas: none of them may drop an entry. A sidecar without room is asked anew: nothing else is
// sent to it while all claims are rejected.
func (st *Store) hasRoom(now BootTime, s *shard, more int64) bool {
	if more <= 0 {
		return true
	}
	if room, bounded := st.room(); bounded && room < more {
		return false
	}
	for _, replica := range s.Replicas {
		if box := st.outboxes[replica.Incarnation]; box != nil && box.bounded && box.room < more {
			box.askRoom = now >= box.toldAt+roomInterval
			return false
		}
	}
	return true
}

// useRoom notes that the replicas of a shard will take so many bytes more, or less, until they tell their room anew.
func (st *Store) useRoom(s *shard, more int64) {
	for _, replica := range s.Replicas {
		if box := st.outboxes[replica.Incarnation]; box != nil {
			box.room -= more
		}
	}
}

// noteRoom notes what a sidecar has told of its room. It does not know of the changes that are still queued for it.
func (o *outbox) noteRoom(now BootTime, reply *BatchReply) {
	room := reply.Room
	if o.bounded && len(o.items) > 0 {
		room = min(room, o.room)
	}
	o.room, o.bounded, o.toldAt = room, reply.Bounded, now
}

// account adds an entry to what the store counts, or takes it off (sign -1). Each change of an entry is between two calls.
func (st *Store) account(t *trackedEntry, sign int) {
	st.Memory += int64(sign) * t.memory(t.reserved, st.limits.MaxBody)
	st.Bytes += sign * t.size()
}

// endReservation gives back what an entry has reserved for its outcome once its claim has ended without one.
func (st *Store) endReservation(now BootTime, t *trackedEntry) {
	if t.reserved && now >= t.changedAt+t.Lifetime+AgeSlack {
		st.account(t, -1)
		t.reserved = false
		st.account(t, 1)
	}
}
