package cluster

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"heathgap/internal/clusterparams"
	"heathgap/internal/holdings"
)

// Renewal is a member's request for a lease, repeated with each heartbeat.
type Renewal struct {
	Member
	ParamsHash string `cbor:"10,keyasint"` // Params.Hash
	Epoch      uint64 `cbor:"11,keyasint"` // as the member knows it
	// Checked is the number of the proposal that the member has checked, and Refusal is why it can't apply it (empty if it can).
	Checked uint64 `cbor:"12,keyasint,omitempty"`
	Refusal string `cbor:"13,keyasint,omitempty"`
	// Prepared is the number of the proposal that the member applies together with the active version.
	Prepared uint64 `cbor:"14,keyasint,omitempty"`
	// HasActive and HasNext are the versions whose documents the member has; the leader doesn't send these again.
	HasActive uint64 `cbor:"15,keyasint,omitempty"`
	HasNext   uint64 `cbor:"16,keyasint,omitempty"`
	Leaving   bool   `cbor:"17,keyasint,omitempty"` // the process ends: its name becomes free
	LastEcho  Echo   `cbor:"18,keyasint"`           // of the newest answer that the member received
	// HasPlacement is the number of the placement that the member has, and HasMembership the epoch of its list of members. CaughtUp
	// lists replicas that have every entry of their shard.
	HasPlacement  uint64              `cbor:"19,keyasint,omitempty"`
	HasMembership uint64              `cbor:"20,keyasint,omitempty"`
	CaughtUp      []holdings.CaughtUp `cbor:"21,keyasint,omitempty"`
	// Decommissioning means that the member will leave once its replicas are elsewhere; Unreachable lists the peers that it can't reach.
	Decommissioning bool                   `cbor:"22,keyasint,omitempty"`
	Unreachable     []holdings.Incarnation `cbor:"23,keyasint,omitempty"`
	// DeltaFormat is the format of deltas that the member accepts, deltaFormat; 0 for none, as sent by builds that predate deltas.
	DeltaFormat uint64 `cbor:"24,keyasint,omitempty"`
}

// deltaFormat is the format of deltas that this build sends and accepts: the fields of a holdings.Delta and what its checksum covers.
// A member that accepts another format gets the full view.
const deltaFormat = 1

// Echo is sent back by a member, so that the leader knows that its answers arrive: the term of the leader that answered, and when
// it answered by its own clock.
type Echo struct {
	Term uint64   `cbor:"1,keyasint,omitempty"`
	At   BootTime `cbor:"2,keyasint,omitempty"`
}

// Grant is the leader's answer to a renewal.
type Grant struct {
	// Granted means that the member holds a lease, counted from before it sent the request. Without a lease the member still takes
	// over Epoch, Active and Next, so that it applies their bans: a process that has just started must not send to an endpoint that
	// was banned before.
	Granted  bool   `cbor:"1,keyasint"`
	Reason   string `cbor:"2,keyasint,omitempty"` // why no lease was granted
	RetryNow bool   `cbor:"3,keyasint,omitempty"` // no lease was granted, but a retry at once with what this answer reports may succeed
	Epoch    uint64 `cbor:"4,keyasint"`
	// Active and Next come without their documents if the member has these.
	Active VersionRecord  `cbor:"5,keyasint"`
	Next   *VersionRecord `cbor:"6,keyasint,omitempty"`
	Echo   Echo           `cbor:"7,keyasint"` // for the member to send back
	// Placement (holdings.Placement) and Membership (a list of holdings.Member) are sent in full if the member's are out of date and it
	// accepts no deltas; Delta (holdings.Delta) if it does. They are kept encoded because many members get the same bytes.
	Placement  cbor.RawMessage `cbor:"8,keyasint,omitempty"`
	Membership cbor.RawMessage `cbor:"9,keyasint,omitempty"`
	Delta      cbor.RawMessage `cbor:"10,keyasint,omitempty"`
}

// memberState is what a lessor knows of a member. It is in memory only.
type memberState struct {
	token       uint64
	leaseEnd    BootTime // the lease may be applied until then
	checked     uint64
	refusal     string
	prepared    uint64
	epoch       uint64   // under which the three fields above were reported
	noEchoSince BootTime // since when the member has sent back no echo of this leader; 0 if it does
}

// noEchoPart is the part of a lease (a half, four renewals) for which a member that sends back no echo is still granted leases.
const noEchoPart = 2

// Lessor is the leader's side of the leases. It exists for one term of a leader. A new lessor knows nothing of leases granted
// before and assumes that each member holds one for the full time.
type Lessor struct {
	params  Params
	term    uint64
	states  map[string]*memberState
	joining map[string]Member // have requested to join and are not in the ledger yet
	leaving map[string]Member // have announced that their process ends

	// Of the following fields, the reports and deadSince are what replicas are planned from. The others spare the leader repeated work:
	// a check of every member with each renewal, which was most of its work at 3,000 members, and the planning and encoding of an
	// unchanged state.
	recheck         bool                              // something was reported since the last check that may make an entry due
	recheckAt       BootTime                          // when the next lease ends or the next shard counts as lost, as known at the last check
	checkedStage    ledgerStage                       // of the ledger at the last check
	caughtUp        map[string][]holdings.CaughtUp    // as last reported by each member
	unreachable     map[string][]holdings.Incarnation // as last reported by each member
	decommissioning map[string]bool                   // as last reported by each member
	plannedFor      viewVersion                       // the state for which the last plan had no changes; zero once a member has reported something new
	deadSince       map[int]BootTime                  // since when no member has a ready replica, by shard
	encoded         encodedView                       // what members receive of the ledger's current state
	waitingFor      string                            // a member whose report on the current proposal was missing at the last check
}

// viewVersion identifies the members and the placement: what the plan of replicas and the encoded view follow from.
type viewVersion struct{ epoch, placement uint64 }

// ledgerStage is the part of a ledger's state that decides which entries are due.
type ledgerStage struct {
	epoch, active, next uint64
	state               State
}

func stageOf(l *Ledger) ledgerStage {
	s := ledgerStage{epoch: l.Epoch, active: l.Active.Number}
	if l.Next != nil {
		s.next, s.state = l.Next.Number, l.Next.State
	}
	return s
}

// NewLessor returns the lessor of a leader that was just elected in the given term.
func NewLessor(params Params, term uint64) *Lessor {
	return &Lessor{params: params, term: term, states: map[string]*memberState{}, joining: map[string]Member{}, leaving: map[string]Member{}, recheck: true,
		caughtUp: map[string][]holdings.CaughtUp{}, unreachable: map[string][]holdings.Incarnation{}, decommissioning: map[string]bool{}, deadSince: map[int]BootTime{}}
}

// stateOf returns the state of a member of the ledger. A member that is seen for the first time has just joined, or may have been granted
// a lease a moment ago by an earlier leader.
func (le *Lessor) stateOf(now BootTime, m Member) *memberState {
	s := le.states[m.Name]
	if s == nil || s.token != m.Token {
		s = &memberState{token: m.Token, leaseEnd: now + le.params.LessorWait()}
		le.states[m.Name] = s
	}
	return s
}

// Renew answers a renewal. After the renewal arrived, the caller must have confirmed that a majority still accepts it as the leader
// and that the ledger is up to date. It calls AnswerSent when the answer has been handed to the network.
func (le *Lessor) Renew(now BootTime, l *Ledger, r *Renewal) Grant {
	grant := Grant{Epoch: l.Epoch, Active: l.Active, Echo: Echo{le.term, now}}
	if l.Next != nil {
		next := *l.Next // copied because the ledger may change before the grant is encoded
		grant.Next = &next
	}
	refuse := func(retryNow bool, format string, args ...any) Grant {
		grant.Reason, grant.RetryNow = fmt.Sprintf(format, args...), retryNow
		return grant
	}
	member, known := l.Members[r.Name]
	switch {
	case r.Name == "" || r.Token == 0 || len(r.Name) > 256:
		return refuse(false, "name: %d bytes, token %d; allowed: a name of 1 to 256 bytes and a token", len(r.Name), r.Token)
	case r.ParamsHash != le.params.Hash():
		grant.Active, grant.Next = VersionRecord{}, nil
		return refuse(false, "terms differ: the crew has %v; start this process with the same [crew]", le.params)
	case known && member.Token != r.Token:
		if le.stateOf(now, member).leaseEnd > now {
			return refuse(false, "name %q is another process's, whose lease may hold for %v more; give this one a name of its own, or end the other",
				r.Name, le.stateOf(now, member).leaseEnd-now)
		}
		return refuse(true, "name %q: the process before is being counted out", r.Name)
	case r.Leaving:
		if known {
			le.leaving[r.Name] = member
			le.recheck = true
		}
		return refuse(false, "left")
	case !known && len(l.Members) >= clusterparams.MaxMembers:
		return refuse(false, "the crew is full: %d members", clusterparams.MaxMembers)
	case (!known || member != r.Member) && !le.receivesAnswers(now, r):
		return refuse(true, "say back what is told here")
	case !known || member != r.Member:
		if len(le.joining) < clusterparams.MaxMembers {
			le.joining[r.Name] = r.Member
			le.recheck = true
		}
		return refuse(true, "%q is coming in", r.Name)
	}
	s := le.stateOf(now, member)
	// Guards against a lease for a member whose removal may already be proposed: it would apply its lease after the others have
	// continued without it (seed 277 of the cluster simulation). A member that is this late joins again.
	if leaving, isLeaving := le.leaving[r.Name]; s.leaseEnd <= now || isLeaving && leaving.Token == r.Token {
		return refuse(true, "%q is being counted out", r.Name)
	}
	// Guards against a member that does not receive answers but whose renewals arrive: it applies no lease, and would delay each version
	// for as long as its renewals come.
	switch {
	case le.receivesAnswers(now, r):
		s.noEchoSince = 0
	case s.noEchoSince == 0:
		s.noEchoSince = max(1, now)
	case now-s.noEchoSince > le.params.Lease/noEchoPart:
		return refuse(true, "%q has said back no answer for %v: it does not seem to hear", r.Name, now-s.noEchoSince)
	}
	// Reports count only under the current epoch, but the lease is granted for any epoch. Guards against members that are refused and
	// removed because others join and leave: with 300 members that raised the epoch faster than renewals could name it, and the
	// removals caused further ones (seed 2001 of the cluster simulation with 300 members).
	if r.Epoch == l.Epoch {
		le.recheck = le.recheck || l.Next != nil && (r.Refusal != "" || r.Name == le.waitingFor)
		s.checked, s.refusal, s.prepared, s.epoch = r.Checked, r.Refusal, r.Prepared, r.Epoch
	}
	s.leaseEnd = max(s.leaseEnd, now+le.params.LessorWait())
	grant.Granted = true
	if l.Placement != nil && (r.HasPlacement != l.Placement.Number || r.HasMembership != l.Epoch) {
		le.addView(&grant, l, r)
	}
	if len(r.CaughtUp) > 0 && len(r.CaughtUp) <= holdings.NumShards*clusterparams.MaxCopies && !slices.Equal(le.caughtUp[r.Name], r.CaughtUp) {
		le.caughtUp[r.Name], le.recheck, le.plannedFor = r.CaughtUp, true, viewVersion{}
	}
	if r.Decommissioning != le.decommissioning[r.Name] || len(r.Unreachable) <= clusterparams.MaxMembers && !slices.Equal(le.unreachable[r.Name], r.Unreachable) {
		le.decommissioning[r.Name], le.unreachable[r.Name], le.recheck, le.plannedFor = r.Decommissioning, r.Unreachable, true, viewVersion{}
	}
	if grant.Active.Number == r.HasActive {
		grant.Active.Doc.Classes, grant.Active.Doc.Banned = nil, nil
	}
	if grant.Next != nil && grant.Next.Number == r.HasNext {
		grant.Next.Doc.Classes, grant.Next.Doc.Banned = nil, nil
	}
	return grant
}

// receivesAnswers reports whether a member has sent back an echo of this leader that is not older than a lease.
func (le *Lessor) receivesAnswers(now BootTime, r *Renewal) bool {
	return r.LastEcho.Term == le.term && now-r.LastEcho.At <= le.params.Lease
}

// maxEncodedDeltas bounds the starting points for which an encoded delta is kept: members lag by one or two states, and after a
// network partition by a few more. Any further delta is encoded anew for each request.
const maxEncodedDeltas = 16

// encodedView is what members receive of one state of a ledger, encoded once for all of them.
type encodedView struct {
	version               viewVersion
	view                  holdings.View
	checksum              uint64                          // of view
	membership, placement cbor.RawMessage                 // in full, for members that accept no deltas; nil until one requests it
	deltas                map[viewVersion]cbor.RawMessage // by the state from which they lead to this one
}

// addView adds to a grant what the member lacks of the members and the placement.
func (le *Lessor) addView(grant *Grant, l *Ledger, r *Renewal) {
	if at := (viewVersion{l.Epoch, l.Placement.Number}); le.encoded.version != at {
		le.encoded = encodedView{version: at, view: l.View(), deltas: map[viewVersion]cbor.RawMessage{}}
		le.encoded.checksum = le.encoded.view.Checksum()
	}
	cached := &le.encoded
	if r.DeltaFormat != deltaFormat {
		if cached.membership == nil {
			cached.membership, cached.placement = mustEncode(cached.view.Members), mustEncode(cached.view.Placement)
		}
		grant.Membership, grant.Placement = cached.membership, cached.placement
		return
	}
	from := viewVersion{r.HasMembership, r.HasPlacement}
	encoded, found := cached.deltas[from]
	if !found {
		encoded = mustEncode(l.history.Delta(from.epoch, from.placement, &cached.view, cached.checksum))
		if len(cached.deltas) < maxEncodedDeltas {
			cached.deltas[from] = encoded
		}
	}
	grant.Delta = encoded
}

// mustEncode encodes a value of the program's own types.
func mustEncode(value any) cbor.RawMessage {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // these types have nothing that can't be encoded
	}
	return encoded
}

// AnswerSent extends a lease to count from now, a moment after its answer was sent. (Counting from Renew would suffice, since the
// holder counts from before its request; the time to send the answer is an additional margin.)
func (le *Lessor) AnswerSent(now BootTime, r *Renewal) {
	if s := le.states[r.Name]; s != nil && s.token == r.Token && s.leaseEnd > now {
		s.leaseEnd = max(s.leaseEnd, now+le.params.LessorWait())
	}
}

// Due returns the entries that the leader should propose now. It is called only while none of its entries is in flight.
func (le *Lessor) Due(now BootTime, l *Ledger) []Entry {
	if at := stageOf(l); le.recheck || now >= le.recheckAt || at != le.checkedStage {
		due := le.findDue(now, l)
		le.recheck, le.checkedStage = len(due) > 0, at // what is due stays due until it is committed
		return due
	}
	return nil
}

// findDue checks all members, the proposal in progress and the placement for entries that are due.
func (le *Lessor) findDue(now BootTime, l *Ledger) []Entry {
	var due []Entry
	le.recheckAt = now + le.params.LessorWait()
	var change Entry
	for _, name := range slices.Sorted(maps.Keys(l.Members)) {
		m := l.Members[name]
		until := le.stateOf(now, m).leaseEnd
		if leaving, isLeaving := le.leaving[name]; isLeaving && leaving.Token == m.Token || until <= now {
			change.Leave = append(change.Leave, m)
		}
		le.recheckAt = min(le.recheckAt, until)
	}
	for _, name := range slices.Sorted(maps.Keys(le.joining)) {
		m := le.joining[name]
		if member, known := l.Members[name]; known && (member == m || member.Token != m.Token) {
			continue
		}
		change.Join = append(change.Join, m)
	}
	clear(le.joining) // proposed once; a member that did not get in sends another renewal
	maps.DeleteFunc(le.leaving, func(name string, m Member) bool { return l.Members[name].Token != m.Token })
	isGone := func(name string) bool { return l.Members[name].Token == 0 }
	maps.DeleteFunc(le.caughtUp, func(name string, _ []holdings.CaughtUp) bool { return isGone(name) })
	maps.DeleteFunc(le.unreachable, func(name string, _ []holdings.Incarnation) bool { return isGone(name) })
	maps.DeleteFunc(le.decommissioning, func(name string, _ bool) bool { return isGone(name) })
	maps.DeleteFunc(le.states, func(name string, s *memberState) bool { return l.Members[name].Token != s.token })
	if len(change.Leave) > 0 || len(change.Join) > 0 {
		return append(due, change) // everything else waits for the new epoch
	}
	if e, ok := le.proposalEntry(now, l); ok {
		due = append(due, e)
	}
	if e, ok := le.placementEntry(now, l); ok {
		due = append(due, e)
	}
	return due
}

// placementEntry returns the entry that changes replicas, if one follows from the members, from what they have reported, and from how long
// shards have had no ready replica.
func (le *Lessor) placementEntry(now BootTime, l *Ledger) (Entry, bool) {
	if le.params.Holdings.Copies == 0 {
		return Entry{}, false
	}
	placement := l.Placement
	if placement == nil {
		placement = &holdings.Placement{}
	}
	waitOver := false // some shard has been without a ready replica for LostAfter
	for i := range placement.Shards {
		if !placement.Shards[i].Dead(func(incarnation holdings.Incarnation, token uint64) bool {
			return l.Members[incarnation.Name].Token == token
		}) {
			delete(le.deadSince, i)
			continue
		}
		if le.deadSince[i] == 0 {
			le.deadSince[i] = max(1, now)
		}
		end := le.deadSince[i] + le.params.Holdings.LostAfter
		if waitOver = waitOver || now >= end; now < end {
			le.recheckAt = min(le.recheckAt, end)
		}
	}
	if at := (viewVersion{l.Epoch, placement.Number}); at == le.plannedFor && !waitOver {
		return Entry{}, false
	}
	var caughtUp []holdings.CaughtUp
	for _, name := range slices.Sorted(maps.Keys(le.caughtUp)) {
		caughtUp = append(caughtUp, le.caughtUp[name]...)
	}
	changes := placement.Plan(&holdings.PlacementInput{
		Members: l.Membership(), Copies: le.params.Holdings.Copies, CaughtUp: caughtUp, Decommissioning: le.decommissioningMembers(l), Unreachable: le.unreachablePairs(l),
		CountsAsLost: func(shard int) bool {
			since, dead := le.deadSince[shard]
			return dead && now >= since+le.params.Holdings.LostAfter
		},
	})
	if len(changes) == 0 {
		le.plannedFor = viewVersion{l.Epoch, placement.Number}
		return Entry{}, false
	}
	return Entry{ReplicaChanges: changes, Epoch: l.Epoch}, true
}

// proposalEntry returns the entry that moves the current proposal on, if one is due: each member must have reported under the current
// epoch. A member that does not report is removed from the cluster once its lease has certainly ended.
func (le *Lessor) proposalEntry(now BootTime, l *Ledger) (Entry, bool) {
	if l.Next == nil {
		return Entry{}, false
	}
	number := l.Next.Number
	le.waitingFor = ""
	for _, name := range slices.Sorted(maps.Keys(l.Members)) {
		s := le.stateOf(now, l.Members[name])
		current := s.epoch == l.Epoch
		if l.Next.State == Checking && current && s.checked == number && s.refusal != "" {
			return Entry{End: &ProposalEnd{number, fmt.Sprintf("%s refuses: %s", name, s.refusal)}, Epoch: l.Epoch}, true
		}
		done := s.checked
		if l.Next.State == Prepared {
			done = s.prepared
		}
		if le.waitingFor == "" && (!current || done != number) {
			le.waitingFor = name
		}
	}
	switch {
	case le.waitingFor != "":
		return Entry{}, false
	case l.Next.State == Checking:
		return Entry{Prepare: number, Epoch: l.Epoch}, true
	}
	return Entry{Activate: number, Epoch: l.Epoch}, true
}

// decommissioningMembers returns the members that leave once their replicas are elsewhere.
func (le *Lessor) decommissioningMembers(l *Ledger) map[holdings.Incarnation]bool {
	out := map[holdings.Incarnation]bool{}
	for name, decommissioning := range le.decommissioning {
		if decommissioning {
			out[holdings.Incarnation{Name: name, JoinEpoch: l.JoinEpochs[name]}] = true
		}
	}
	return out
}

// unreachablePairs returns the pairs of members of which the first can't reach the second.
func (le *Lessor) unreachablePairs(l *Ledger) map[[2]holdings.Incarnation]bool {
	out := map[[2]holdings.Incarnation]bool{}
	for name, list := range le.unreachable {
		for _, peer := range list {
			out[[2]holdings.Incarnation{{Name: name, JoinEpoch: l.JoinEpochs[name]}, peer}] = true
		}
	}
	return out
}

// LeaseEnd returns when a member's lease has certainly ended, for display.
func (le *Lessor) LeaseEnd(now BootTime, l *Ledger, name string) BootTime {
	return le.stateOf(now, l.Members[name]).leaseEnd
}
