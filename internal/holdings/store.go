package holdings

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits and times of a store.
const (
	// maxQueued bounds the commands that wait for one key; further ones are answered with AnswerFull. Clients repeat a request fewer
	// times than that within its deadline.
	maxQueued = 16
	// batchBytes is the approximate size of the entries in one batch. catchUpEntries bounds the entries per batch that serve to
	// catch up a replica, so that new changes do not wait behind old entries.
	batchBytes     = 256 << 10
	catchUpEntries = 64
	// backupGrace is how much longer than the primary a backup keeps an entry: the primary's clock decides when an entry expires, and
	// a backup's clock may run faster.
	backupGrace = 10 * time.Second
	// unreachableAfter is how long a peer must have failed to answer before it is reported as unreachable; it is longer than a
	// busy machine takes to answer. The report ends unreachableFor after the last failed batch: once the replica has been given
	// to another member, no more batches are sent to this peer.
	unreachableAfter = time.Second
	unreachableFor   = 10 * time.Second
	// sweepInterval is how often expired entries are removed, from one shard at a time.
	sweepInterval = 100 * time.Millisecond
)

// Store holds one sidecar's replicas. For the shards of which this sidecar is the primary, it also executes the owners' commands and
// replicates the changes to the other replicas. It is not safe for concurrent use.
//
// Invariants: a primary answers from an entry only after each replica of the shard's present configuration has acknowledged that entry.
// A replica never acknowledges an update of an older configuration than the latest one that it knows.
type Store struct {
	me         Incarnation
	params     Params
	limits     Limits
	placement  *Placement
	members    map[Incarnation]Member
	leaseEnd   BootTime // until then this sidecar may act as a primary
	shards     [NumShards]*shard
	outboxes   map[Incarnation]*outbox
	nextSweep  BootTime
	sweepShard int          // the shard that the next sweep takes
	singleCopy []outboxItem // changed entries of shards whose only replica is this one: they wait for no acknowledgement

	// Entries is the number of entries in all shards, Bytes their approximate size in messages, and Memory what they may take of the
	// process's memory at most, in bytes.
	Entries, Bytes int
	Memory         int64
}

// shard is a sidecar's state of one shard.
type shard struct {
	number      int
	Shard       // the latest configuration received, from the ledger or from the shard's primary
	entries     map[Key]*trackedEntry
	revCount    uint64              // number of changes under the present configuration
	knownLost   uint64              // the highest Lost received
	lostAt      BootTime            // when knownLost rose last; until Keep and backupGrace later, a key without an entry may have lost it
	catchUpLeft map[Incarnation]int // on a primary: how many entries each replica that catches up still lacks
}

// trackedEntry is an entry with the state of its replication.
type trackedEntry struct {
	Entry
	claimedAt, changedAt BootTime             // when the key was claimed first, and when the entry changed last
	lastConfig           uint64               // the configuration under which it was last sent or received
	replicatedConfig     uint64               // the configuration under which all replicas acknowledged it; 0 if they have not
	unacked              map[Incarnation]bool // replicas that have not acknowledged it; nil when no replication is under way
	onReplicated         []func()             // called when all replicas have acknowledged it
	queue                []pendingCommand     // commands for this key that wait until then
	reserved             bool                 // room is kept for the outcome of its claim
}

// NewStore returns an empty store. Claims keep to its limits, and reserve what their outcome may take; a shard has
// its part of MaxEntries (at least one). Entries that a primary sends are stored regardless of the limits.
func NewStore(params Params, limits Limits) *Store {
	st := &Store{params: params, limits: limits, members: map[Incarnation]Member{}, outboxes: map[Incarnation]*outbox{}}
	for i := range st.shards {
		st.shards[i] = &shard{number: i, entries: map[Key]*trackedEntry{}}
	}
	return st
}

// ApplyView takes over the ledger's placement and members, as the answer to a renewal brought them. me is this sidecar's present
// incarnation in the cluster.
func (st *Store) ApplyView(now BootTime, me Incarnation, placement *Placement, members []Member) {
	rejoined := me != st.me
	st.me, st.placement = me, placement
	st.members = map[Incarnation]Member{}
	for _, m := range members {
		st.members[m.Incarnation] = m
	}
	for peer := range st.outboxes {
		if _, isMember := st.members[peer]; !isMember {
			delete(st.outboxes, peer)
		}
	}
	for i := range placement.Shards {
		st.adoptShard(now, st.shards[i], placement.Shards[i], rejoined)
	}
}

// SetLease sets until when this sidecar may act as a primary.
func (st *Store) SetLease(until BootTime) { st.leaseEnd = until }

// adoptShard takes over a shard's received configuration if it is later than the known one, or if this sidecar has rejoined the cluster
// and the configuration is not older. A primary then queues all its entries for the replicas that are not ready. A sidecar that is not
// the shard's primary rejects the commands that wait.
func (st *Store) adoptShard(now BootTime, s *shard, received Shard, rejoined bool) {
	if received.Lost > s.knownLost {
		s.knownLost, s.lostAt = received.Lost, now
	}
	if received.Config < s.Config || received.Config == s.Config && !rejoined {
		return
	}
	s.Shard = Shard{received.Config, slices.Clone(received.Replicas), received.Lost}
	s.revCount, s.catchUpLeft = 0, nil
	if !st.isPrimary(s) {
		st.rejectWaiting(s)
		if !st.hasReplica(s) {
			st.dropEntries(s)
		}
		return
	}
	s.catchUpLeft = map[Incarnation]int{}
	keys := st.sortedKeys(s)
	for _, replica := range s.Replicas[1:] {
		if replica.Ready {
			continue
		}
		s.catchUpLeft[replica.Incarnation] = len(keys)
		for _, k := range keys {
			st.outboxFor(replica.Incarnation).catchUp = append(st.outboxFor(replica.Incarnation).catchUp, outboxItem{s.number, s.Config, k, true})
		}
	}
	for _, k := range keys { // changes in flight are sent again under the new configuration, to the new replicas
		if t := s.entries[k]; t.unacked != nil {
			st.replicate(s, t)
		}
	}
}

// hasReplica reports whether this process has a replica in a shard, also under an earlier incarnation of itself. This guards against
// a process that rejoins the cluster, receives a placement that does not name its new incarnation yet, and drops its entries: the next
// placement would still count its replica as ready (seed 22 of the model test found that).
func (st *Store) hasReplica(s *shard) bool {
	return slices.ContainsFunc(s.Replicas, func(replica Replica) bool {
		return replica.Incarnation == st.me || replica.Token == st.members[st.me].Token
	})
}

// sortedKeys returns a shard's keys in an order that does not differ between runs.
func (st *Store) sortedKeys(s *shard) []Key {
	return slices.SortedFunc(maps.Keys(s.entries), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Text, b.Text))
	})
}

// rejectWaiting ends a shard's replications on a sidecar that is not its primary and answers the queued commands with AnswerNotPrimary.
// Commands whose change was being replicated get no answer: their owners repeat them.
func (st *Store) rejectWaiting(s *shard) {
	for _, k := range st.sortedKeys(s) {
		t := s.entries[k]
		queue := t.queue
		t.unacked, t.onReplicated, t.queue = nil, nil, nil
		for _, p := range queue {
			p.reply(Answer{Kind: AnswerNotPrimary})
		}
	}
}

// dropEntries removes all entries of a shard in which this sidecar has no replica any more.
func (st *Store) dropEntries(s *shard) {
	for _, t := range s.entries {
		st.Entries--
		st.account(t, -1)
	}
	s.entries = map[Key]*trackedEntry{} // a cleared map keeps its memory
}

// isPrimary reports whether this incarnation of the sidecar is the shard's primary.
func (st *Store) isPrimary(s *shard) bool {
	return len(s.Replicas) > 0 && s.Replicas[0].Incarnation == st.me
}

// Peek returns this sidecar's entry of a key, as a primary or as a backup. The entry may be outdated: it is for people, and no decision
// may be based on it.
func (st *Store) Peek(now BootTime, key Key) (e Entry, found bool) {
	t := st.shards[key.Shard()].entries[key]
	if t == nil {
		return e, false
	}
	e = t.Entry
	e.Age, e.SinceChange = now-t.claimedAt, now-t.changedAt
	return e, true
}

// Tick removes expired entries, from one shard each sweepInterval, and completes changes that need no acknowledgement.
func (st *Store) Tick(now BootTime) {
	st.completeSingleCopy(now)
	if now < st.nextSweep {
		return
	}
	st.nextSweep = now + sweepInterval
	s := st.shards[st.sweepShard]
	st.sweepShard = (st.sweepShard + 1) % NumShards
	for k, t := range s.entries { // in any order: entries expire independently of one another
		st.endReservation(now, t)
		end := t.changedAt + st.params.Keep
		if !st.isPrimary(s) {
			end += backupGrace
		} else if st.ownerActive(now, t) || t.unacked != nil {
			continue // in use: its owner may still act on it, or its replication is under way
		}
		if now >= end {
			delete(s.entries, k)
			st.Entries--
			st.account(t, -1)
		}
	}
}
