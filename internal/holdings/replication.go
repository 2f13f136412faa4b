package holdings

import (
	"cmp"
	"slices"
)

// outbox holds what is to be sent to another sidecar.
type outbox struct {
	items   []outboxItem // changes
	catchUp []outboxItem // entries for replicas that are not ready
	busy    bool         // a batch is in flight
	// failingSince is when the first batch of the present series of failures failed, 0 if the last batch was answered. lastFailure
	// is when a batch failed last.
	failingSince, lastFailure BootTime
	// room is as in the sidecar's last BatchReply, less what the changes since then take; without bounded it has told none.
	room    int64
	bounded bool
	toldAt  BootTime
	askRoom bool // the next batch is sent even if it is empty
}

// outboxItem names an entry that is to be sent to a replica.
type outboxItem struct {
	shard   int
	config  uint64 // the configuration under which it was queued
	key     Key
	catchUp bool // it serves to catch up a replica that is not ready
}

// Update carries entries of one shard from its primary to a replica.
type Update struct {
	Shard   int     `cbor:"1,keyasint"`
	State   Shard   `cbor:"2,keyasint"` // the shard's configuration as the primary knows it
	Entries []Entry `cbor:"3,keyasint"`

	items []outboxItem // the items that this update covers, including those whose entries have expired; not sent
}

// Batch holds the updates that are sent to a sidecar in one message.
type Batch struct {
	To      Incarnation `cbor:"2,keyasint"` // a batch for a former incarnation of the receiver is not taken
	Updates []Update    `cbor:"1,keyasint"`
}

// BatchReply is the answer to a batch. It lists the shards of which the receiver knows a later configuration, with that configuration;
// their updates were not taken. It acknowledges all other updates.
type BatchReply struct {
	Later map[int]Shard `cbor:"1,keyasint,omitempty"`
	// Room is how many bytes more the entries of the receiver may take. Without Bounded, as from older builds, it has no meaning.
	Room    int64 `cbor:"2,keyasint,omitempty"`
	Bounded bool  `cbor:"3,keyasint,omitempty"`
}

// outboxFor returns the outbox of a peer. It creates it if there is none.
func (st *Store) outboxFor(peer Incarnation) *outbox {
	if st.outboxes[peer] == nil {
		st.outboxes[peer] = &outbox{}
	}
	return st.outboxes[peer]
}

// replicate queues an entry for all other replicas of its shard.
func (st *Store) replicate(s *shard, t *trackedEntry) {
	t.lastConfig = s.Config
	t.unacked = map[Incarnation]bool{}
	for _, replica := range s.Replicas[1:] {
		t.unacked[replica.Incarnation] = true
		st.outboxFor(replica.Incarnation).items = append(st.outboxFor(replica.Incarnation).items, outboxItem{s.number, s.Config, t.Key, false})
	}
	if len(t.unacked) == 0 {
		st.singleCopy = append(st.singleCopy, outboxItem{s.number, s.Config, t.Key, false})
	}
}

// completeReplication notes that all replicas have an entry, answers the commands that waited for that, and executes the queued ones until
// one of them changes the entry.
func (st *Store) completeReplication(now BootTime, s *shard, t *trackedEntry) {
	callbacks, queue := t.onReplicated, t.queue
	t.replicatedConfig, t.unacked, t.onReplicated, t.queue = s.Config, nil, nil, nil
	for _, f := range callbacks {
		f()
	}
	for i, p := range queue {
		if t.unacked != nil { // the command before has changed the entry
			t.queue = append(t.queue, queue[i:]...)
			return
		}
		st.execute(now, s, t, p)
	}
}

// PendingPeers returns the sidecars, sorted by name, for which entries are queued and to which no batch is in flight. A sidecar that is not
// among the known members yet, because another sidecar sent the configuration that names it, comes as a zero Member; NextBatch returns
// nil for that.
func (st *Store) PendingPeers() []Member {
	var out []Member
	for peer, box := range st.outboxes {
		if !box.busy && (len(box.items)+len(box.catchUp) > 0 || box.askRoom) {
			out = append(out, st.members[peer])
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// NextBatch returns the next batch for a sidecar; nil if there is nothing to send, or a batch is in flight. The batch counts as in flight
// until BatchDone is called with its answer.
func (st *Store) NextBatch(now BootTime, to Incarnation) *Batch {
	box := st.outboxes[to]
	if box == nil || box.busy {
		return nil
	}
	updates := map[int]*Update{}
	var order []int
	size := 0
	take := func(from []outboxItem, limit int) []outboxItem {
		n, taken := 0, 0 // taken leaves out items that are obsolete
		for ; n < len(from) && taken < limit && size < batchBytes; n++ {
			item := from[n]
			s := st.shards[item.shard]
			t := s.entries[item.key]
			if item.config != s.Config || !st.isPrimary(s) || !item.catchUp && (t == nil || !t.unacked[to]) {
				continue // obsolete: the configuration has changed, or the replica has acknowledged the entry
			}
			if updates[item.shard] == nil {
				updates[item.shard] = &Update{Shard: item.shard, State: s.Shard}
				order = append(order, item.shard)
			}
			u := updates[item.shard]
			u.items = append(u.items, item)
			taken++
			if t == nil {
				continue // the entry has expired, and need not be sent
			}
			e := t.Entry
			e.Age, e.SinceChange = now-t.claimedAt, now-t.changedAt
			u.Entries = append(u.Entries, e)
			size += e.size()
		}
		return from[n:]
	}
	box.items = take(box.items, len(box.items))
	box.catchUp = take(box.catchUp, catchUpEntries)
	if len(order) == 0 && !box.askRoom {
		return nil
	}
	box.askRoom = false
	b := &Batch{To: to}
	for _, i := range order {
		b.Updates = append(b.Updates, *updates[i])
	}
	box.busy = true
	return b
}

// BatchDone takes the answer to a batch, nil if there was none. Updates that were not acknowledged are queued again, unless their
// configuration has changed.
func (st *Store) BatchDone(now BootTime, to Incarnation, b *Batch, answer *BatchReply) {
	box := st.outboxes[to]
	if box == nil {
		return // the sidecar has been removed from the cluster
	}
	box.busy = false
	if answer != nil {
		box.failingSince = 0
		box.noteRoom(now, answer)
	} else if box.lastFailure = now; box.failingSince == 0 {
		box.failingSince = max(1, now)
	}
	for i := range b.Updates {
		u := &b.Updates[i]
		s := st.shards[u.Shard]
		later, rejected := Shard{}, answer == nil
		if answer != nil {
			if later, rejected = answer.Later[u.Shard]; rejected {
				st.adoptShard(now, s, later, false)
			}
		}
		if s.Config != u.State.Config || !st.isPrimary(s) {
			continue // adoptShard has queued all that still counts
		}
		if rejected {
			for _, item := range u.items {
				box.add(item)
			}
			continue
		}
		for _, item := range u.items {
			if item.catchUp {
				s.catchUpLeft[to]--
			}
		}
		for _, e := range u.Entries {
			if t := s.entries[e.Key]; t != nil && t.unacked[to] && t.Rev == e.Rev && t.lastConfig == s.Config {
				if delete(t.unacked, to); len(t.unacked) == 0 {
					st.completeReplication(now, s, t)
				}
			}
		}
	}
	st.completeSingleCopy(now)
}

// add queues an item again.
func (o *outbox) add(item outboxItem) {
	if item.catchUp {
		o.catchUp = append(o.catchUp, item)
		return
	}
	o.items = append(o.items, item)
}

// HandleBatch takes a primary's batch and returns the reply. It returns nil, and takes nothing, if the batch is for another incarnation
// than this sidecar's present one.
func (st *Store) HandleBatch(now BootTime, b *Batch) *BatchReply {
	if b.To != st.me {
		return nil
	}
	reply := &BatchReply{}
	defer func() { reply.Room, reply.Bounded = st.room() }()
	for i := range b.Updates {
		u := &b.Updates[i]
		if u.Shard < 0 || u.Shard >= NumShards {
			continue
		}
		s := st.shards[u.Shard]
		if u.State.Config < s.Config {
			if reply.Later == nil {
				reply.Later = map[int]Shard{}
			}
			reply.Later[u.Shard] = s.Shard
			continue
		}
		st.adoptShard(now, s, u.State, false)
		for n := range u.Entries {
			st.storeEntry(now, s, &u.Entries[n])
		}
	}
	return reply
}

// storeEntry stores an entry that a primary has sent. An entry sent under a later configuration replaces the stored one; under the same
// configuration, the entry with the later revision wins.
func (st *Store) storeEntry(now BootTime, s *shard, e *Entry) {
	t := s.entries[e.Key]
	switch {
	case t == nil:
		t = &trackedEntry{}
		s.entries[e.Key] = t
		st.Entries++
	case s.Config == t.lastConfig && e.Rev.before(t.Rev):
		return // stale message
	default:
		st.account(t, -1)
		e.Key = t.Key // the texts are the same; those of the message need not be kept
	}
	claimedAt := now - e.Age
	if t.Rev == e.Rev {
		claimedAt = min(claimedAt, t.claimedAt) // of two ages, the greater one: the message took time on its way
	}
	t.Entry, t.lastConfig, t.replicatedConfig, t.reserved = *e, s.Config, 0, e.State == Claimed
	t.claimedAt, t.changedAt = claimedAt, now-e.SinceChange
	st.account(t, 1)
}

// CaughtUp returns, for the shards of which this sidecar is the primary, the replicas that have caught up: they have acknowledged
// every entry.
func (st *Store) CaughtUp() []CaughtUp {
	var out []CaughtUp
	for _, s := range st.shards {
		if !st.isPrimary(s) {
			continue
		}
		for _, replica := range s.Replicas[1:] {
			if left, catchingUp := s.catchUpLeft[replica.Incarnation]; catchingUp && left == 0 {
				out = append(out, CaughtUp{s.number, s.Config, replica.Incarnation})
			}
		}
	}
	return out
}

// Unreachable returns the sidecars, sorted by name, to which batches have failed over a time of at least unreachableAfter, with none answered
// in between and the last one within the last unreachableFor, so that their replicas can be given to others.
func (st *Store) Unreachable(now BootTime) []Incarnation {
	var out []Incarnation
	for peer, box := range st.outboxes {
		if box.failingSince > 0 && box.lastFailure-box.failingSince >= unreachableAfter && now-box.lastFailure < unreachableFor {
			out = append(out, peer)
		}
	}
	slices.SortFunc(out, func(a, b Incarnation) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// completeSingleCopy completes changes that need no acknowledgement: those of shards whose only replica is this one. It does so only
// while this sidecar has its lease: without other replicas, nobody would tell a primary that was removed from the cluster that it is no
// longer the primary.
func (st *Store) completeSingleCopy(now BootTime) {
	for len(st.singleCopy) > 0 && now < st.leaseEnd {
		item := st.singleCopy[0]
		st.singleCopy = st.singleCopy[1:]
		s := st.shards[item.shard]
		if t := s.entries[item.key]; t != nil && t.unacked != nil && len(t.unacked) == 0 && st.isPrimary(s) {
			st.completeReplication(now, s, t)
		}
	}
}
