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

// pendingCommand is a command with the function that takes its answer.
type pendingCommand struct {
	command *Command
	reply   func(Answer)
}

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

// outboxFor returns the outbox of a peer. It creates it if there is none.
func (st *Store) outboxFor(peer Incarnation) *outbox {
	if st.outboxes[peer] == nil {
		st.outboxes[peer] = &outbox{}
	}
	return st.outboxes[peer]
}

// Handle executes an owner's command as the primary of its shard. It calls reply at once, or when all replicas have acknowledged the entry
// that the answer is based on. It may never call reply; an owner whose command gets no answer sends it again.
func (st *Store) Handle(now BootTime, c *Command, reply func(Answer)) {
	s := st.shards[c.Key.Shard()]
	// An owner that is not among the known members is rejected too: this sidecar's view may be older than the owner's incarnation, and
	// the owner would count as removed from the cluster.
	if _, isMember := st.members[c.Owner]; !isMember || !st.isPrimary(s) || now >= st.leaseEnd {
		reply(Answer{Kind: AnswerNotPrimary})
		return
	}
	defer st.completeSingleCopy(now)
	t := s.entries[c.Key]
	if t != nil && t.unacked != nil {
		if t.replaceQueued(c, reply) {
			return
		}
		if len(t.queue) >= maxQueued {
			reply(Answer{Kind: AnswerFull})
			return
		}
		t.queue = append(t.queue, pendingCommand{c, reply})
		return
	}
	st.execute(now, s, t, pendingCommand{c, reply})
}

// replaceQueued replaces a command that waits for the key by the same one, if its owner has sent it again, and reports whether it did. The
// owner no longer waits for the answer to the first. Guards against outcomes that are kept once for each time that they were sent.
func (t *trackedEntry) replaceQueued(c *Command, reply func(Answer)) bool {
	for i := range t.queue {
		if q := t.queue[i].command; q.Op == c.Op && q.Owner == c.Owner && q.Claim == c.Claim && q.Rev == c.Rev && q.Fingerprint == c.Fingerprint {
			t.queue[i] = pendingCommand{c, reply}
			return true
		}
	}
	return false
}

// execute executes a command according to the entry of its key; t is nil if there is none. If the entry has not been acknowledged by all
// replicas of the present configuration, execute replicates it first and queues the command.
func (st *Store) execute(now BootTime, s *shard, t *trackedEntry, p pendingCommand) {
	c := p.command
	if len(s.Replicas) < st.params.Copies {
		p.reply(Answer{Kind: AnswerTooFewReplicas})
		return
	}
	if t != nil && t.replicatedConfig != s.Config {
		// This guards against an answer that is based on an entry which a former primary sent to this sidecar alone.
		t.queue = append(t.queue, p)
		st.replicate(s, t)
		return
	}
	ownClaim := t != nil && t.Owner == c.Owner && t.Claim == c.Claim
	switch {
	case t == nil || t.State == Free:
		st.executeNew(now, s, t, p)
	case t.Fingerprint != c.Fingerprint:
		p.reply(Answer{Kind: AnswerMismatch})
	case t.State == Done && (c.Op == OpClaim || c.Op == OpReclaim || c.Op == OpFinish && ownClaim):
		if c.Op == OpFinish {
			p.reply(Answer{Kind: AnswerOK})
			return
		}
		p.reply(Answer{Kind: AnswerFinished, Outcome: t.Outcome})
	case c.Op == OpClaim && ownClaim && t.State == Claimed, c.Op == OpGiveUp && ownClaim && t.State == Unknown, c.Op == OpReclaim && ownClaim && t.State == Claimed:
		p.reply(Answer{Kind: AnswerOK, Rev: t.Rev}) // a repeated command: its first answer was lost
	case c.Op == OpClaim || c.Op == OpReclaim && c.Rev != t.Rev:
		kind := AnswerUnknown
		if st.ownerActive(now, t) {
			kind = AnswerRunning
		}
		p.reply(Answer{Kind: kind, Rev: t.Rev, Age: now - t.claimedAt})
	case c.Op == OpReclaim:
		if st.ownerActive(now, t) {
			p.reply(Answer{Kind: AnswerRunning})
			return
		}
		st.changeIfRoom(now, s, t, p, func(e *Entry) { e.State, e.Owner, e.Claim, e.Lifetime = Claimed, c.Owner, c.Claim, c.Lifetime })
	case !ownClaim || t.State != Claimed:
		// This guards against an owner that was paused and meanwhile removed from the cluster: another owner may have the key now.
		p.reply(Answer{Kind: AnswerFenced})
	case c.Op == OpFinish:
		st.changeIfRoom(now, s, t, p, func(e *Entry) { e.State, e.Outcome = Done, c.Outcome })
	case c.Op == OpGiveUp:
		st.changeEntry(now, s, t, p, func(e *Entry) { e.State = Unknown })
	case c.Op == OpDrop:
		st.changeEntry(now, s, t, p, func(e *Entry) { e.State = Free })
	default:
		p.reply(Answer{Kind: AnswerFenced})
	}
}

// ownerActive reports whether an entry's owner may still act on its claim: the owner is in the cluster, and the lifetime of its claim is
// not over.
func (st *Store) ownerActive(now BootTime, t *trackedEntry) bool {
	_, isMember := st.members[t.Owner]
	return isMember && t.State == Claimed && now < t.changedAt+t.Lifetime+AgeSlack
}

// executeNew executes a command for a key that has no entry (t is nil) or a free one. A claim creates the entry.
func (st *Store) executeNew(now BootTime, s *shard, t *trackedEntry, p pendingCommand) {
	c := p.command
	if c.Op != OpClaim {
		kind := AnswerFenced
		if c.Op == OpDrop {
			kind = AnswerOK
		}
		p.reply(Answer{Kind: kind})
		return
	}
	if s.knownLost > 0 && now < s.lostAt+st.params.Keep+backupGrace {
		p.reply(Answer{Kind: AnswerLost})
		return
	}
	claimed := Entry{Key: c.Key, State: Claimed, Owner: c.Owner, Claim: c.Claim, Lifetime: c.Lifetime, Fingerprint: c.Fingerprint}
	more := claimed.memory(true, st.limits.MaxBody)
	if t != nil {
		more -= t.memory(t.reserved, st.limits.MaxBody)
	}
	if t == nil && len(s.entries) >= max(1, st.limits.MaxEntries/NumShards) || !st.hasRoom(now, s, more) {
		p.reply(Answer{Kind: AnswerFull})
		return
	}
	if t == nil {
		t = &trackedEntry{Entry: Entry{Key: c.Key}}
		s.entries[c.Key] = t
		st.Entries++
		st.account(t, 1)
		st.useRoom(s, t.memory(t.reserved, st.limits.MaxBody))
	}
	t.claimedAt = now
	st.changeEntry(now, s, t, p, func(e *Entry) {
		claimed.Key, claimed.Rev = e.Key, e.Rev
		*e = claimed
	})
}

// changeIfRoom is changeEntry, unless the shard has no room for the changed entry: then the answer is AnswerFull.
func (st *Store) changeIfRoom(now BootTime, s *shard, t *trackedEntry, p pendingCommand, edit func(e *Entry)) {
	changed := t.Entry
	edit(&changed)
	if !st.hasRoom(now, s, changed.memory(changed.State == Claimed, st.limits.MaxBody)-t.memory(t.reserved, st.limits.MaxBody)) {
		p.reply(Answer{Kind: AnswerFull})
		return
	}
	st.changeEntry(now, s, t, p, edit)
}

// changeEntry changes an entry and replicates it. The command is answered with AnswerOK when all replicas have acknowledged the change.
func (st *Store) changeEntry(now BootTime, s *shard, t *trackedEntry, p pendingCommand, edit func(e *Entry)) {
	before := st.Memory
	st.account(t, -1)
	edit(&t.Entry)
	t.reserved = t.State == Claimed
	st.account(t, 1)
	st.useRoom(s, st.Memory-before)
	s.revCount++
	t.Rev, t.changedAt, t.replicatedConfig = Rev{s.Config, s.revCount}, now, 0
	rev := t.Rev
	t.onReplicated = append(t.onReplicated, func() { p.reply(Answer{Kind: AnswerOK, Rev: rev}) })
	st.replicate(s, t)
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
