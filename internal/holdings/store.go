package holdings

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Figures of a store.
const (
	// maxQueued asks wait for one key: more than clients repeat a request in its time.
	maxQueued = 16
	// batchBytes of entries go to a peer at once, about, and fillEntries of a replica that is being filled: what is new does not
	// wait behind what is old.
	batchBytes     = 256 << 10
	catchUpEntries = 64
	// backupGrace their end backups keep entries: the primary's clock decides, and theirs may be faster.
	backupGrace = 10 * time.Second
	// unreachableAfter no answer for so long others are told of it, above what a busy machine takes, and for unheardFor after the last
	// try: a replica that is given to somebody else is not asked any more.
	unreachableAfter = time.Second
	unreachableFor   = 10 * time.Second
	// sweepInterval is how often ended entries are looked for, a shard at a time.
	sweepInterval = 100 * time.Millisecond
)

// Store is one sidecar's part in the shards where it has a replica. It is to be called by one goroutine at a time.
//
// What must hold: a primary answers by an entry only when each replica of its shard, under the configuration of that moment, has said that it
// has it; a replica says yes to no configuration that is older than one that it has heard of.
type Store struct {
	me          Incarnation
	params      Params
	maxPerShard int // entries of a shard
	placement   *Placement
	members     map[Incarnation]Member
	leaseEnd    BootTime // until then this sidecar may act as a primary
	shards      [NumShards]*shard
	outboxes    map[Incarnation]*outbox
	nextSweep   BootTime
	sweepShard  int          // the shard that is swept then
	singleCopy  []outboxItem // entries that wait for nobody's word

	// Counts, from 0.
	Entries, Bytes int
}

// shard is what a sidecar has of one.
type shard struct {
	number      int
	Shard       // as last heard of, from the ledger or from its primary
	entries     map[Key]*trackedEntry
	revCount    uint64 // of revisions, under the present configuration
	knownLost   uint64 // Lost as last heard of, and when: until a keep later an unknown key may have been held
	lostAt      BootTime
	catchUpLeft map[Incarnation]int // entries that replicas which are not ready still lack
}

// trackedEntry is an entry with what its primary does about it.
type trackedEntry struct {
	Entry
	claimedAt, changedAt BootTime
	lastConfig           uint64               // the configuration under which it was said last
	replicatedConfig     uint64               // the configuration under which all replicas have it
	unacked              map[Incarnation]bool // replicas whose word is missing
	onReplicated         []func()             // when it comes
	queue                []pendingCommand
}

// pendingCommand is an ask that waits its turn.
type pendingCommand struct {
	command *Command
	reply   func(Answer)
}

// outbox is what is to be said to another sidecar.
type outbox struct {
	items   []outboxItem
	catchUp []outboxItem
	busy    bool
	// failingSince is since when nothing was answered, 0 while things are, and failed when that was last so.
	failingSince, lastFailure BootTime
}

// outboxItem is an entry that a replica is to have.
type outboxItem struct {
	shard   int
	config  uint64 // that asks for it
	key     Key
	catchUp bool
}

// Update is a primary's word to a replica.
type Update struct {
	Shard   int     `cbor:"1,keyasint"`
	Of      Shard   `cbor:"2,keyasint"`
	Entries []Entry `cbor:"3,keyasint"`

	items []outboxItem // what it answers, those too whose entries have ended
}

// Batch is what is said to a sidecar at once.
type Batch struct {
	To      Incarnation `cbor:"2,keyasint"` // a word for an incarnation that is over is for nobody
	Updates []Update    `cbor:"1,keyasint"`
}

// BatchReply is its answer: shards of which it has heard a later configuration. All else it has.
type BatchReply struct {
	Later map[int]Shard `cbor:"1,keyasint,omitempty"`
}

// NewStore returns one that knows nothing. most bounds its entries.
func NewStore(params Params, maxEntries int) *Store {
	st := &Store{params: params, maxPerShard: max(1, maxEntries/NumShards), members: map[Incarnation]Member{}, outboxes: map[Incarnation]*outbox{}}
	for i := range st.shards {
		st.shards[i] = &shard{number: i, entries: map[Key]*trackedEntry{}}
	}
	return st
}

// ApplyView takes the ledger's placement and members, as a renewal brought them. me is this sidecar's present incarnation in the crew.
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

// SetLease tells until when this sidecar may act as a primary.
func (st *Store) SetLease(until BootTime) { st.leaseEnd = until }

// adoptShard takes a shard's replicas, if they are later than those known.
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
	for _, k := range keys { // what was on its way is said under the new configuration, to the new replicas
		if t := s.entries[k]; t.unacked != nil {
			st.replicate(s, t)
		}
	}
}

// hasReplica tells whether this process has a replica, be it of an earlier incarnation. Guards against one that comes into the crew anew, hears a placement
// from before its replicas follow, and drops what it held: it is placed again as one that has all (seed 22 of the model).
func (st *Store) hasReplica(s *shard) bool {
	return slices.ContainsFunc(s.Replicas, func(replica Replica) bool {
		return replica.Incarnation == st.me || replica.Token == st.members[st.me].Token
	})
}

// sortedKeys are a shard's keys, in one order with all runs.
func (st *Store) sortedKeys(s *shard) []Key {
	return slices.SortedFunc(maps.Keys(s.entries), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Text, b.Text))
	})
}

// rejectWaiting answers all that waits at a sidecar that is the primary no more.
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

// dropEntries drops what is held of a shard in which this sidecar has no replica any more.
func (st *Store) dropEntries(s *shard) {
	for _, t := range s.entries {
		st.Entries--
		st.Bytes -= t.size()
	}
	clear(s.entries)
}

func (st *Store) isPrimary(s *shard) bool {
	return len(s.Replicas) > 0 && s.Replicas[0].Incarnation == st.me
}

func (st *Store) outboxFor(peer Incarnation) *outbox {
	if st.outboxes[peer] == nil {
		st.outboxes[peer] = &outbox{}
	}
	return st.outboxes[peer]
}

// Handle answers an owner: at once, or when all replicas have what the answer rests on. An owner whose ask gets no answer says it
// again.
func (st *Store) Handle(now BootTime, c *Command, reply func(Answer)) {
	s := st.shards[c.Key.Shard()]
	// Guards, with the owner, against a placement that is older than its incarnation: it would count as gone.
	if _, isMember := st.members[c.Owner]; !isMember || !st.isPrimary(s) || now >= st.leaseEnd {
		reply(Answer{Kind: AnswerNotPrimary})
		return
	}
	defer st.completeSingleCopy(now)
	t := s.entries[c.Key]
	if t != nil && t.unacked != nil {
		if len(t.queue) >= maxQueued {
			reply(Answer{Kind: AnswerFull})
			return
		}
		t.queue = append(t.queue, pendingCommand{c, reply})
		return
	}
	st.execute(now, s, t, pendingCommand{c, reply})
}

// execute answers by what is held, when all replicas have that.
func (st *Store) execute(now BootTime, s *shard, t *trackedEntry, p pendingCommand) {
	c := p.command
	if len(s.Replicas) < st.params.Copies {
		p.reply(Answer{Kind: AnswerTooFewReplicas})
		return
	}
	if t != nil && t.replicatedConfig != s.Config {
		// Guards against an answer by what a primary before had told to this sidecar alone.
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
		p.reply(Answer{Kind: AnswerOK, Rev: t.Rev}) // said again: its answer was lost
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
		st.changeEntry(now, s, t, p, func(e *Entry) { e.State, e.Owner, e.Claim, e.Lifetime = Claimed, c.Owner, c.Claim, c.Lifetime })
	case !ownClaim || t.State != Claimed:
		// Guards against an owner that was paused, and counted out meanwhile: its key may be another's now.
		p.reply(Answer{Kind: AnswerFenced})
	case c.Op == OpFinish:
		st.changeEntry(now, s, t, p, func(e *Entry) { e.State, e.Outcome = Done, c.Outcome })
	case c.Op == OpGiveUp:
		st.changeEntry(now, s, t, p, func(e *Entry) { e.State = Unknown })
	case c.Op == OpDrop:
		st.changeEntry(now, s, t, p, func(e *Entry) { e.State = Free })
	default:
		p.reply(Answer{Kind: AnswerFenced})
	}
}

// ownerActive tells whether an owner may still act on its claim: it is in the crew, and the time that it named is not over.
func (st *Store) ownerActive(now BootTime, t *trackedEntry) bool {
	_, isMember := st.members[t.Owner]
	return isMember && t.State == Claimed && now < t.changedAt+t.Lifetime+AgeSlack
}

// executeNew answers an ask for a key of which nothing is held.
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
	if t == nil {
		if len(s.entries) >= st.maxPerShard {
			p.reply(Answer{Kind: AnswerFull})
			return
		}
		t = &trackedEntry{Entry: Entry{Key: c.Key}}
		s.entries[c.Key] = t
		st.Entries++
		st.Bytes += t.size()
	}
	t.claimedAt = now
	st.changeEntry(now, s, t, p, func(e *Entry) {
		e.State, e.Owner, e.Claim, e.Lifetime, e.Fingerprint, e.Outcome = Claimed, c.Owner, c.Claim, c.Lifetime, c.Fingerprint, nil
	})
}

// changeEntry changes an entry and answers yes when all replicas have it so.
func (st *Store) changeEntry(now BootTime, s *shard, t *trackedEntry, p pendingCommand, edit func(e *Entry)) {
	st.Bytes -= t.size()
	edit(&t.Entry)
	st.Bytes += t.size()
	s.revCount++
	t.Rev, t.changedAt, t.replicatedConfig = Rev{s.Config, s.revCount}, now, 0
	rev := t.Rev
	t.onReplicated = append(t.onReplicated, func() { p.reply(Answer{Kind: AnswerOK, Rev: rev}) })
	st.replicate(s, t)
}

// replicate has all replicas told an entry.
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

// completeReplication books that all replicas have an entry, and goes on with what waited for that.
func (st *Store) completeReplication(now BootTime, s *shard, t *trackedEntry) {
	callbacks, queue := t.onReplicated, t.queue
	t.replicatedConfig, t.unacked, t.onReplicated, t.queue = s.Config, nil, nil, nil
	for _, f := range callbacks {
		f()
	}
	for i, p := range queue {
		if t.unacked != nil { // the one before has changed it
			t.queue = append(t.queue, queue[i:]...)
			return
		}
		st.execute(now, s, t, p)
	}
}

// PendingPeers are the sidecars that there is something to say to, and nothing on its way to.
func (st *Store) PendingPeers() []Member {
	var out []Member
	for peer, box := range st.outboxes {
		if !box.busy && len(box.items)+len(box.catchUp) > 0 {
			out = append(out, st.members[peer])
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// NextBatch is what to say to a sidecar now; nil for nothing. Its answer goes to Said before the next.
func (st *Store) NextBatch(now BootTime, to Incarnation) *Batch {
	box := st.outboxes[to]
	if box == nil || box.busy {
		return nil
	}
	updates := map[int]*Update{}
	var order []int
	size := 0
	take := func(from []outboxItem, limit int) []outboxItem {
		n, taken := 0, 0 // what nobody asks for any more does not count
		for ; n < len(from) && taken < limit && size < batchBytes; n++ {
			item := from[n]
			s := st.shards[item.shard]
			t := s.entries[item.key]
			if item.config != s.Config || !st.isPrimary(s) || !item.catchUp && (t == nil || !t.unacked[to]) {
				continue // what asked for it has passed
			}
			if updates[item.shard] == nil {
				updates[item.shard] = &Update{Shard: item.shard, Of: s.Shard}
				order = append(order, item.shard)
			}
			u := updates[item.shard]
			u.items = append(u.items, item)
			taken++
			if t == nil {
				continue // it has ended: nothing is lacking
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
	if len(order) == 0 {
		return nil
	}
	b := &Batch{To: to}
	for _, i := range order {
		b.Updates = append(b.Updates, *updates[i])
	}
	box.busy = true
	return b
}

// BatchDone takes what came of a batch: its answer, nil for none. What was not heard is to be said again.
func (st *Store) BatchDone(now BootTime, to Incarnation, b *Batch, answer *BatchReply) {
	box := st.outboxes[to]
	if box == nil {
		return // it is gone
	}
	box.busy = false
	if answer != nil {
		box.failingSince = 0
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
		if s.Config != u.Of.Config || !st.isPrimary(s) {
			continue // all that still counts has been put into the outbox anew
		}
		if rejected {
			for _, item := range u.items {
				box.put(item)
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

func (o *outbox) put(item outboxItem) {
	if item.catchUp {
		o.catchUp = append(o.catchUp, item)
		return
	}
	o.items = append(o.items, item)
}

// HandleBatch takes what a primary says.
//
// nil is no answer: the word was for another incarnation than the present one.
func (st *Store) HandleBatch(now BootTime, b *Batch) *BatchReply {
	if b.To != st.me {
		return nil
	}
	reply := &BatchReply{}
	for i := range b.Updates {
		u := &b.Updates[i]
		if u.Shard < 0 || u.Shard >= NumShards {
			continue
		}
		s := st.shards[u.Shard]
		if u.Of.Config < s.Config {
			if reply.Later == nil {
				reply.Later = map[int]Shard{}
			}
			reply.Later[u.Shard] = s.Shard
			continue
		}
		st.adoptShard(now, s, u.Of, false)
		for n := range u.Entries {
			st.storeEntry(now, s, &u.Entries[n])
		}
	}
	return reply
}

// storeEntry takes one entry. The word of a later configuration stands, and the later one of a configuration.
func (st *Store) storeEntry(now BootTime, s *shard, e *Entry) {
	t := s.entries[e.Key]
	switch {
	case t == nil:
		t = &trackedEntry{}
		s.entries[e.Key] = t
		st.Entries++
	case s.Config == t.lastConfig && e.Rev.before(t.Rev):
		return // late word
	default:
		st.Bytes -= t.size()
	}
	claimedAt := now - e.Age
	if t.Rev == e.Rev {
		claimedAt = min(claimedAt, t.claimedAt) // the older of two ages: the way took time
	}
	t.Entry, t.lastConfig, t.replicatedConfig = *e, s.Config, 0
	t.claimedAt, t.changedAt = claimedAt, now-e.SinceChange
	st.Bytes += t.size()
}

// CaughtUp are this sidecar's words on replicas that lack nothing any more.
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

// Peek is what this sidecar has of a key, whatever replica it has: for people, nothing may rest on it.
func (st *Store) Peek(now BootTime, key Key) (e Entry, found bool) {
	t := st.shards[key.Shard()].entries[key]
	if t == nil {
		return e, false
	}
	e = t.Entry
	e.Age, e.SinceChange = now-t.claimedAt, now-t.changedAt
	return e, true
}

// Unreachable are the sidecars that have not answered for a while, and lately: who gives them replicas can give those to others.
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

// Tick ends entries whose time is over, and goes on with what waits for nobody.
func (st *Store) Tick(now BootTime) {
	st.completeSingleCopy(now)
	if now < st.nextSweep {
		return
	}
	st.nextSweep = now + sweepInterval
	s := st.shards[st.sweepShard]
	st.sweepShard = (st.sweepShard + 1) % NumShards
	for k, t := range s.entries { // in any order: each ends by itself
		end := t.changedAt + st.params.Keep
		if !st.isPrimary(s) {
			end += backupGrace
		} else if st.ownerActive(now, t) || t.unacked != nil {
			continue // its owner ends it
		}
		if now >= end {
			delete(s.entries, k)
			st.Entries--
			st.Bytes -= t.size()
		}
	}
}

// completeSingleCopy goes on with entries for which no replica's word is missing: those of a shard with one replica. Nobody else could tell a
// primary that was counted out that it is none any more: it looks at its lease.
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
