package holdings

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Figures of a store.
const (
	// mostQueued asks wait for one key: more than clients repeat a request in its time.
	mostQueued = 16
	// batchBytes of entries go to a peer at once, about, and fillEntries of a replica that is being filled: what is new does not
	// wait behind what is old.
	batchBytes  = 256 << 10
	fillEntries = 64
	// staleAfter their end backups keep entries: the primary's clock decides, and theirs may be faster.
	staleAfter = 10 * time.Second
	// unheardAfter no answer for so long others are told of it, above what a busy machine takes, and for unheardFor after the last
	// try: a replica that is given to somebody else is not asked any more.
	unheardAfter = time.Second
	unheardFor   = 10 * time.Second
	// sweepEvery is how often ended entries are looked for, a shard at a time.
	sweepEvery = 100 * time.Millisecond
)

// Store is one sidecar's part in the shards where it has a replica. It is to be called by one goroutine at a time.
//
// What must hold: a primary answers by an entry only when each replica of its shard, under the configuration of that moment, has said that it
// has it; a replica says yes to no configuration that is older than one that it has heard of.
type Store struct {
	me        Incarnation
	terms     Params
	most      int // entries of a shard
	placement *Placement
	members   map[Incarnation]Member
	leased    BootTime // until then this sidecar may act as a primary
	shards    [NumShards]*shard
	out       map[Incarnation]*outbox
	sweep     BootTime
	next      int    // the shard that is swept then
	alone     []item // entries that wait for nobody's word

	// Counts, from 0.
	Entries, Bytes int
}

// shard is what a sidecar has of one.
type shard struct {
	number int
	Shard  // as last heard of, from the ledger or from its primary
	held   map[Key]*held
	count  uint64 // of revisions, under the present configuration
	lost   uint64 // Lost as last heard of, and when: until a keep later an unknown key may have been held
	lostAt BootTime
	left   map[Incarnation]int // entries that replicas which are not ready still lack
}

// held is an entry with what its primary does about it.
type held struct {
	Entry
	since, changed BootTime
	under          uint64               // the configuration under which it was said last
	settled        uint64               // the configuration under which all replicas have it
	waits          map[Incarnation]bool // replicas whose word is missing
	then           []func()             // when it comes
	queue          []op
}

// op is an ask that waits its turn.
type op struct {
	ask   *Command
	reply func(Answer)
}

// outbox is what is to be said to another sidecar.
type outbox struct {
	items []item
	fill  []item
	busy  bool
	// failing is since when nothing was answered, 0 while things are, and failed when that was last so.
	failing, failed BootTime
}

// item is an entry that a replica is to have.
type item struct {
	shard  int
	config uint64 // that asks for it
	key    Key
	fill   bool
}

// Update is a primary's word to a replica.
type Update struct {
	Shard   int     `cbor:"1,keyasint"`
	Of      Shard   `cbor:"2,keyasint"`
	Entries []Entry `cbor:"3,keyasint"`

	items []item // what it answers, those too whose entries have ended
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
func NewStore(terms Params, most int) *Store {
	r := &Store{terms: terms, most: max(1, most/NumShards), members: map[Incarnation]Member{}, out: map[Incarnation]*outbox{}}
	for i := range r.shards {
		r.shards[i] = &shard{number: i, held: map[Key]*held{}}
	}
	return r
}

// ApplyView takes the ledger's placement and members, as a renewal brought them. me is this sidecar's present incarnation in the crew.
func (r *Store) ApplyView(now BootTime, me Incarnation, placement *Placement, members []Member) {
	moved := me != r.me
	r.me, r.placement = me, placement
	r.members = map[Incarnation]Member{}
	for _, m := range members {
		r.members[m.Incarnation] = m
	}
	for who := range r.out {
		if _, in := r.members[who]; !in {
			delete(r.out, who)
		}
	}
	for i := range placement.Shards {
		r.adopt(now, r.shards[i], placement.Shards[i], moved)
	}
}

// SetLease tells until when this sidecar may act as a primary.
func (r *Store) SetLease(until BootTime) { r.leased = until }

// adopt takes a shard's replicas, if they are later than those known.
func (r *Store) adopt(now BootTime, s *shard, of Shard, anew bool) {
	if of.Lost > s.lost {
		s.lost, s.lostAt = of.Lost, now
	}
	if of.Config < s.Config || of.Config == s.Config && !anew {
		return
	}
	s.Shard = Shard{of.Config, slices.Clone(of.Replicas), of.Lost}
	s.count, s.left = 0, nil
	if !r.primary(s) {
		r.release(s)
		if !r.sits(s) {
			r.forget(s)
		}
		return
	}
	s.left = map[Incarnation]int{}
	keys := r.sorted(s)
	for _, replica := range s.Replicas[1:] {
		if replica.Ready {
			continue
		}
		s.left[replica.Incarnation] = len(keys)
		for _, k := range keys {
			r.to(replica.Incarnation).fill = append(r.to(replica.Incarnation).fill, item{s.number, s.Config, k, true})
		}
	}
	for _, k := range keys { // what was on its way is said under the new configuration, to the new replicas
		if h := s.held[k]; h.waits != nil {
			r.copy(s, h)
		}
	}
}

// sits tells whether this process has a replica, be it of an earlier incarnation. Guards against one that comes into the crew anew, hears a placement
// from before its replicas follow, and drops what it held: it is placed again as one that has all (seed 22 of the model).
func (r *Store) sits(s *shard) bool {
	return slices.ContainsFunc(s.Replicas, func(replica Replica) bool {
		return replica.Incarnation == r.me || replica.Token == r.members[r.me].Token
	})
}

// sorted are a shard's keys, in one order with all runs.
func (r *Store) sorted(s *shard) []Key {
	return slices.SortedFunc(maps.Keys(s.held), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Text, b.Text))
	})
}

// release answers all that waits at a sidecar that is the primary no more.
func (r *Store) release(s *shard) {
	for _, k := range r.sorted(s) {
		h := s.held[k]
		queue := h.queue
		h.waits, h.then, h.queue = nil, nil, nil
		for _, o := range queue {
			o.reply(Answer{Kind: AnswerNotPrimary})
		}
	}
}

// forget drops what is held of a shard in which this sidecar has no replica any more.
func (r *Store) forget(s *shard) {
	for _, h := range s.held {
		r.Entries--
		r.Bytes -= h.size()
	}
	clear(s.held)
}

func (r *Store) primary(s *shard) bool {
	return len(s.Replicas) > 0 && s.Replicas[0].Incarnation == r.me
}

func (r *Store) to(who Incarnation) *outbox {
	if r.out[who] == nil {
		r.out[who] = &outbox{}
	}
	return r.out[who]
}

// Handle answers an owner: at once, or when all replicas have what the answer rests on. An owner whose ask gets no answer says it
// again.
func (r *Store) Handle(now BootTime, a *Command, reply func(Answer)) {
	s := r.shards[a.Key.Shard()]
	// Guards, with the owner, against a placement that is older than its incarnation: it would count as gone.
	if _, in := r.members[a.Owner]; !in || !r.primary(s) || now >= r.leased {
		reply(Answer{Kind: AnswerNotPrimary})
		return
	}
	defer r.settleAlone(now)
	h := s.held[a.Key]
	if h != nil && h.waits != nil {
		if len(h.queue) >= mostQueued {
			reply(Answer{Kind: AnswerFull})
			return
		}
		h.queue = append(h.queue, op{a, reply})
		return
	}
	r.answer(now, s, h, op{a, reply})
}

// answer answers by what is held, when all replicas have that.
func (r *Store) answer(now BootTime, s *shard, h *held, o op) {
	a := o.ask
	if len(s.Replicas) < r.terms.Copies {
		o.reply(Answer{Kind: AnswerTooFewReplicas})
		return
	}
	if h != nil && h.settled != s.Config {
		// Guards against an answer by what a primary before had told to this sidecar alone.
		h.queue = append(h.queue, o)
		r.copy(s, h)
		return
	}
	mine := h != nil && h.Owner == a.Owner && h.Claim == a.Claim
	switch {
	case h == nil || h.State == Free:
		r.first(now, s, h, o)
	case h.Fingerprint != a.Fingerprint:
		o.reply(Answer{Kind: AnswerMismatch})
	case h.State == Done && (a.Op == OpClaim || a.Op == OpReclaim || a.Op == OpFinish && mine):
		if a.Op == OpFinish {
			o.reply(Answer{Kind: AnswerOK})
			return
		}
		o.reply(Answer{Kind: AnswerFinished, Outcome: h.Outcome})
	case a.Op == OpClaim && mine && h.State == Claimed, a.Op == OpGiveUp && mine && h.State == Unknown, a.Op == OpReclaim && mine && h.State == Claimed:
		o.reply(Answer{Kind: AnswerOK, Rev: h.Rev}) // said again: its answer was lost
	case a.Op == OpClaim || a.Op == OpReclaim && a.Rev != h.Rev:
		kind := AnswerUnknown
		if r.runs(now, h) {
			kind = AnswerRunning
		}
		o.reply(Answer{Kind: kind, Rev: h.Rev, Age: now - h.since})
	case a.Op == OpReclaim:
		if r.runs(now, h) {
			o.reply(Answer{Kind: AnswerRunning})
			return
		}
		r.change(now, s, h, o, func(e *Entry) { e.State, e.Owner, e.Claim, e.Lifetime = Claimed, a.Owner, a.Claim, a.Lifetime })
	case !mine || h.State != Claimed:
		// Guards against an owner that was paused, and counted out meanwhile: its key may be another's now.
		o.reply(Answer{Kind: AnswerFenced})
	case a.Op == OpFinish:
		r.change(now, s, h, o, func(e *Entry) { e.State, e.Outcome = Done, a.Outcome })
	case a.Op == OpGiveUp:
		r.change(now, s, h, o, func(e *Entry) { e.State = Unknown })
	case a.Op == OpDrop:
		r.change(now, s, h, o, func(e *Entry) { e.State = Free })
	default:
		o.reply(Answer{Kind: AnswerFenced})
	}
}

// runs tells whether an owner may still act on its claim: it is in the crew, and the time that it named is not over.
func (r *Store) runs(now BootTime, h *held) bool {
	_, in := r.members[h.Owner]
	return in && h.State == Claimed && now < h.changed+h.Lifetime+AgeSlack
}

// first answers an ask for a key of which nothing is held.
func (r *Store) first(now BootTime, s *shard, h *held, o op) {
	a := o.ask
	if a.Op != OpClaim {
		kind := AnswerFenced
		if a.Op == OpDrop {
			kind = AnswerOK
		}
		o.reply(Answer{Kind: kind})
		return
	}
	if s.lost > 0 && now < s.lostAt+r.terms.Keep+staleAfter {
		o.reply(Answer{Kind: AnswerLost})
		return
	}
	if h == nil {
		if len(s.held) >= r.most {
			o.reply(Answer{Kind: AnswerFull})
			return
		}
		h = &held{Entry: Entry{Key: a.Key}}
		s.held[a.Key] = h
		r.Entries++
		r.Bytes += h.size()
	}
	h.since = now
	r.change(now, s, h, o, func(e *Entry) {
		e.State, e.Owner, e.Claim, e.Lifetime, e.Fingerprint, e.Outcome = Claimed, a.Owner, a.Claim, a.Lifetime, a.Fingerprint, nil
	})
}

// change changes an entry and answers yes when all replicas have it so.
func (r *Store) change(now BootTime, s *shard, h *held, o op, how func(e *Entry)) {
	r.Bytes -= h.size()
	how(&h.Entry)
	r.Bytes += h.size()
	s.count++
	h.Rev, h.changed, h.settled = Rev{s.Config, s.count}, now, 0
	rev := h.Rev
	h.then = append(h.then, func() { o.reply(Answer{Kind: AnswerOK, Rev: rev}) })
	r.copy(s, h)
}

// copy has all replicas told an entry.
func (r *Store) copy(s *shard, h *held) {
	h.under = s.Config
	h.waits = map[Incarnation]bool{}
	for _, replica := range s.Replicas[1:] {
		h.waits[replica.Incarnation] = true
		r.to(replica.Incarnation).items = append(r.to(replica.Incarnation).items, item{s.number, s.Config, h.Key, false})
	}
	if len(h.waits) == 0 {
		r.alone = append(r.alone, item{s.number, s.Config, h.Key, false})
	}
}

// settle books that all replicas have an entry, and goes on with what waited for that.
func (r *Store) settle(now BootTime, s *shard, h *held) {
	then, queue := h.then, h.queue
	h.settled, h.waits, h.then, h.queue = s.Config, nil, nil, nil
	for _, f := range then {
		f()
	}
	for i, o := range queue {
		if h.waits != nil { // the one before has changed it
			h.queue = append(h.queue, queue[i:]...)
			return
		}
		r.answer(now, s, h, o)
	}
}

// PendingPeers are the sidecars that there is something to say to, and nothing on its way to.
func (r *Store) PendingPeers() []Member {
	var out []Member
	for who, o := range r.out {
		if !o.busy && len(o.items)+len(o.fill) > 0 {
			out = append(out, r.members[who])
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// NextBatch is what to say to a sidecar now; nil for nothing. Its answer goes to Said before the next.
func (r *Store) NextBatch(now BootTime, to Incarnation) *Batch {
	o := r.out[to]
	if o == nil || o.busy {
		return nil
	}
	updates := map[int]*Update{}
	var order []int
	size := 0
	take := func(from []item, most int) []item {
		n, taken := 0, 0 // what nobody asks for any more does not count
		for ; n < len(from) && taken < most && size < batchBytes; n++ {
			it := from[n]
			s := r.shards[it.shard]
			h := s.held[it.key]
			if it.config != s.Config || !r.primary(s) || !it.fill && (h == nil || !h.waits[to]) {
				continue // what asked for it has passed
			}
			if updates[it.shard] == nil {
				updates[it.shard] = &Update{Shard: it.shard, Of: s.Shard}
				order = append(order, it.shard)
			}
			st := updates[it.shard]
			st.items = append(st.items, it)
			taken++
			if h == nil {
				continue // it has ended: nothing is lacking
			}
			e := h.Entry
			e.Age, e.SinceChange = now-h.since, now-h.changed
			st.Entries = append(st.Entries, e)
			size += e.size()
		}
		return from[n:]
	}
	o.items = take(o.items, len(o.items))
	o.fill = take(o.fill, fillEntries)
	if len(order) == 0 {
		return nil
	}
	b := &Batch{To: to}
	for _, i := range order {
		b.Updates = append(b.Updates, *updates[i])
	}
	o.busy = true
	return b
}

// BatchDone takes what came of a batch: its answer, nil for none. What was not heard is to be said again.
func (r *Store) BatchDone(now BootTime, to Incarnation, b *Batch, answer *BatchReply) {
	o := r.out[to]
	if o == nil {
		return // it is gone
	}
	o.busy = false
	if answer != nil {
		o.failing = 0
	} else if o.failed = now; o.failing == 0 {
		o.failing = max(1, now)
	}
	for i := range b.Updates {
		st := &b.Updates[i]
		s := r.shards[st.Shard]
		later, fenced := Shard{}, answer == nil
		if answer != nil {
			if later, fenced = answer.Later[st.Shard]; fenced {
				r.adopt(now, s, later, false)
			}
		}
		if s.Config != st.Of.Config || !r.primary(s) {
			continue // all that still counts has been put into the outbox anew
		}
		if fenced {
			for _, it := range st.items {
				o.put(it)
			}
			continue
		}
		for _, it := range st.items {
			if it.fill {
				s.left[to]--
			}
		}
		for _, e := range st.Entries {
			if h := s.held[e.Key]; h != nil && h.waits[to] && h.Rev == e.Rev && h.under == s.Config {
				if delete(h.waits, to); len(h.waits) == 0 {
					r.settle(now, s, h)
				}
			}
		}
	}
	r.settleAlone(now)
}

func (o *outbox) put(it item) {
	if it.fill {
		o.fill = append(o.fill, it)
		return
	}
	o.items = append(o.items, it)
}

// HandleBatch takes what a primary says.
//
// nil is no answer: the word was for another incarnation than the present one.
func (r *Store) HandleBatch(now BootTime, b *Batch) *BatchReply {
	if b.To != r.me {
		return nil
	}
	out := &BatchReply{}
	for i := range b.Updates {
		st := &b.Updates[i]
		if st.Shard < 0 || st.Shard >= NumShards {
			continue
		}
		s := r.shards[st.Shard]
		if st.Of.Config < s.Config {
			if out.Later == nil {
				out.Later = map[int]Shard{}
			}
			out.Later[st.Shard] = s.Shard
			continue
		}
		r.adopt(now, s, st.Of, false)
		for n := range st.Entries {
			r.keep(now, s, &st.Entries[n])
		}
	}
	return out
}

// keep takes one entry. The word of a later configuration stands, and the later one of a configuration.
func (r *Store) keep(now BootTime, s *shard, e *Entry) {
	h := s.held[e.Key]
	switch {
	case h == nil:
		h = &held{}
		s.held[e.Key] = h
		r.Entries++
	case s.Config == h.under && e.Rev.before(h.Rev):
		return // late word
	default:
		r.Bytes -= h.size()
	}
	since := now - e.Age
	if h.Rev == e.Rev {
		since = min(since, h.since) // the older of two ages: the way took time
	}
	h.Entry, h.under, h.settled = *e, s.Config, 0
	h.since, h.changed = since, now-e.SinceChange
	r.Bytes += h.size()
}

// CaughtUp are this sidecar's words on replicas that lack nothing any more.
func (r *Store) CaughtUp() []CaughtUp {
	var out []CaughtUp
	for _, s := range r.shards {
		if !r.primary(s) {
			continue
		}
		for _, replica := range s.Replicas[1:] {
			if left, fills := s.left[replica.Incarnation]; fills && left == 0 {
				out = append(out, CaughtUp{s.number, s.Config, replica.Incarnation})
			}
		}
	}
	return out
}

// Peek is what this sidecar has of a key, whatever replica it has: for people, nothing may rest on it.
func (r *Store) Peek(now BootTime, key Key) (e Entry, has bool) {
	h := r.shards[key.Shard()].held[key]
	if h == nil {
		return e, false
	}
	e = h.Entry
	e.Age, e.SinceChange = now-h.since, now-h.changed
	return e, true
}

// Unreachable are the sidecars that have not answered for a while, and lately: who gives them replicas can give those to others.
func (r *Store) Unreachable(now BootTime) []Incarnation {
	var out []Incarnation
	for who, o := range r.out {
		if o.failing > 0 && o.failed-o.failing >= unheardAfter && now-o.failed < unheardFor {
			out = append(out, who)
		}
	}
	slices.SortFunc(out, func(a, b Incarnation) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Tick ends entries whose time is over, and goes on with what waits for nobody.
func (r *Store) Tick(now BootTime) {
	r.settleAlone(now)
	if now < r.sweep {
		return
	}
	r.sweep = now + sweepEvery
	s := r.shards[r.next]
	r.next = (r.next + 1) % NumShards
	for k, h := range s.held { // in any order: each ends by itself
		end := h.changed + r.terms.Keep
		if !r.primary(s) {
			end += staleAfter
		} else if r.runs(now, h) || h.waits != nil {
			continue // its owner ends it
		}
		if now >= end {
			delete(s.held, k)
			r.Entries--
			r.Bytes -= h.size()
		}
	}
}

// settleAlone goes on with entries for which no replica's word is missing: those of a shard with one replica. Nobody else could tell a
// primary that was counted out that it is none any more: it looks at its lease.
func (r *Store) settleAlone(now BootTime) {
	for len(r.alone) > 0 && now < r.leased {
		it := r.alone[0]
		r.alone = r.alone[1:]
		s := r.shards[it.shard]
		if h := s.held[it.key]; h != nil && h.waits != nil && len(h.waits) == 0 && r.primary(s) {
			r.settle(now, s, h)
		}
	}
}
