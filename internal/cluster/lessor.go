package cluster

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"heathgap/internal/clusterparams"
	"heathgap/internal/holdings"
)

// Renewal is what a member asks the leader for: a lease, again and again.
type Renewal struct {
	Member
	ParamsHash string `cbor:"10,keyasint"` // Terms.Hash
	Epoch      uint64 `cbor:"11,keyasint"` // as the member knows it
	// Checked is the number of the proposal that it has looked at, and Refusal why it can't take it.
	Checked uint64 `cbor:"12,keyasint,omitempty"`
	Refusal string `cbor:"13,keyasint,omitempty"`
	// Prepared is the number of the proposal that it acts on together with the active version.
	Prepared uint64 `cbor:"14,keyasint,omitempty"`
	// HasActive and HasNext are the versions whose documents it has: they are not sent again.
	HasActive uint64 `cbor:"15,keyasint,omitempty"`
	HasNext   uint64 `cbor:"16,keyasint,omitempty"`
	Leaving   bool   `cbor:"17,keyasint,omitempty"` // the process ends: its name is free
	LastEcho  Echo   `cbor:"18,keyasint"`           // of the newest answer that came
	// HasPlacement is the number of the placement that it has, and HasMembership the epoch of the members that it knows. Filled
	// are its words on replicas that lack nothing any more.
	HasPlacement  uint64              `cbor:"19,keyasint,omitempty"`
	HasMembership uint64              `cbor:"20,keyasint,omitempty"`
	CaughtUp      []holdings.CaughtUp `cbor:"21,keyasint,omitempty"`
	// Decommissioning says that it will leave when its replicas have been given to others, and Unheard are those that it does not reach.
	Decommissioning bool                   `cbor:"22,keyasint,omitempty"`
	Unreachable     []holdings.Incarnation `cbor:"23,keyasint,omitempty"`
	// Takes is the form in which it takes changes, formDelta; 0 for none, as a build says that is older than they are.
	Takes uint64 `cbor:"24,keyasint,omitempty"`
}

// deltaFormat is the form of changes that this build says and takes: what is in a Delta, and what its checksum goes over. Another
// number is another form, and who takes that is told the whole.
const deltaFormat = 1

// Echo is what a member says back so that the leader knows that it hears: which leader answered, and when by its clock.
type Echo struct {
	Term uint64   `cbor:"1,keyasint,omitempty"`
	At   BootTime `cbor:"2,keyasint,omitempty"`
}

// Grant is the leader's answer.
type Grant struct {
	// Granted tells whether the member holds a lease, from before it asked. What else is told binds no leader, but who has
	// no lease keeps the bans that it hears of: a process that has just started does not send to what was banned before.
	Granted  bool   `cbor:"1,keyasint"`
	Reason   string `cbor:"2,keyasint,omitempty"` // if not
	RetryNow bool   `cbor:"3,keyasint,omitempty"` // if not: asking again at once, with what is told here, may do
	Epoch    uint64 `cbor:"4,keyasint"`
	// Active and Next are told without their documents where the member has them.
	Active VersionRecord  `cbor:"5,keyasint"`
	Next   *VersionRecord `cbor:"6,keyasint,omitempty"`
	Echo   Echo           `cbor:"7,keyasint"` // to be said back
	// Placement (holdings.Placement) and Membership (a list of holdings.Member) are told whole, where the member has others and
	// takes no changes; Delta (holdings.Delta) where it does. They stand here as encoded: many are told the same.
	Placement  cbor.RawMessage `cbor:"8,keyasint,omitempty"`
	Membership cbor.RawMessage `cbor:"9,keyasint,omitempty"`
	Delta      cbor.RawMessage `cbor:"10,keyasint,omitempty"`
}

// memberState is what a granter knows of a member, in memory alone.
type memberState struct {
	token       uint64
	leaseEnd    BootTime // its lease may be acted on until then
	checked     uint64
	refusal     string
	prepared    uint64
	epoch       uint64   // under which the three above were said
	noEchoSince BootTime // since when no answer of ours has been said back; 0 for not
}

// noEchoPart of a lease is how long a member that says no answer back goes on being granted it: four of its questions.
const noEchoPart = 2

// Lessor is the leader's side of the leases. It lives for one term of a leader; a new
// one knows nothing of leases given before, and takes each for held for their whole time.
type Lessor struct {
	params  Params
	term    uint64
	states  map[string]*memberState
	joining map[string]Member // asked to come in, and are not in the ledger yet
	leaving map[string]Member // said that they leave

	// What follows spares a leader the look at each member with each renewal: at 3,000 members that look was most of its work.
	recheck         bool                              // something was said since the last look that may make an entry due
	recheckAt       BootTime                          // no lease that was known then ends before
	checkedStage    ledgerStage                       // the ledger then
	caughtUp        map[string][]holdings.CaughtUp    // as each member said last
	unreachable     map[string][]holdings.Incarnation // likewise
	decommissioning map[string]bool                   // likewise
	plannedFor      viewVersion                       // for which replicas were planned last
	deadSince       map[int]BootTime                  // since when no ready replica of a shard is in the crew
	encoded         encodedView                       // what members are told of the ledger's present state
	waitingFor      string                            // a member whose word the round under way waited for then
}

// viewVersion is what replicas follow from.
type viewVersion struct{ epoch, placement uint64 }

// ledgerStage is how far a ledger is, of what makes entries due.
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

// NewLessor returns that of a leader that has just come to lead, in a term.
func NewLessor(params Params, term uint64) *Lessor {
	return &Lessor{params: params, term: term, states: map[string]*memberState{}, joining: map[string]Member{}, leaving: map[string]Member{}, recheck: true,
		caughtUp: map[string][]holdings.CaughtUp{}, unreachable: map[string][]holdings.Incarnation{}, decommissioning: map[string]bool{}, deadSince: map[int]BootTime{}}
}

// stateOf returns what is known of a member of the ledger. One that is met for the first time may have been granted a lease a
// moment ago, by a leader before, or has just come in.
func (le *Lessor) stateOf(now BootTime, m Member) *memberState {
	s := le.states[m.Name]
	if s == nil || s.token != m.Token {
		s = &memberState{token: m.Token, leaseEnd: now + le.params.LessorWait()}
		le.states[m.Name] = s
	}
	return s
}

// Renew answers a renewal. The caller has made sure, after the renewal came, that a
// majority still takes it for the leader and that the ledger is up to date; it calls
// Told when the answer has been handed to the network.
func (le *Lessor) Renew(now BootTime, l *Ledger, r *Renewal) Grant {
	grant := Grant{Epoch: l.Epoch, Active: l.Active, Echo: Echo{le.term, now}}
	if l.Next != nil {
		next := *l.Next // a grant is on its way while the ledger goes on
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
	// Guards against a lease for a member whose end is on its way through the log: it would act on it when others have gone on
	// without it (seed 277 of the crew's simulation). Who has been late so long comes in anew.
	if leaving, isLeaving := le.leaving[r.Name]; s.leaseEnd <= now || isLeaving && leaving.Token == r.Token {
		return refuse(true, "%q is being counted out", r.Name)
	}
	// Guards against a member that is heard and hears nothing: it acts on no lease, and would hold up each version for as long as
	// its questions come.
	switch {
	case le.receivesAnswers(now, r):
		s.noEchoSince = 0
	case s.noEchoSince == 0:
		s.noEchoSince = max(1, now)
	case now-s.noEchoSince > le.params.Lease/noEchoPart:
		return refuse(true, "%q has said back no answer for %v: it does not seem to hear", r.Name, now-s.noEchoSince)
	}
	// What it says counts under the present epoch alone; the lease rests on who it is. Guards against members that are
	// refused, and counted out, because others come and go: at 300 that raised the epoch faster than renewals could name it,
	// and went on by itself (seed 2001 of the crew's simulation with 300 members).
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

// receivesAnswers tells whether a member has said back an answer of this leader that is not older than a lease.
func (le *Lessor) receivesAnswers(now BootTime, r *Renewal) bool {
	return r.LastEcho.Term == le.term && now-r.LastEcho.At <= le.params.Lease
}

// maxEncodedDeltas bounds the states that changes are kept for: members lag by one or two of them, and after a cut by some more. What
// is not kept is encoded for each.
const maxEncodedDeltas = 16

// encodedView are what members are told of one state of a ledger, encoded once for all of them.
type encodedView struct {
	version               viewVersion
	view                  holdings.View
	checksum              uint64                          // of it
	membership, placement cbor.RawMessage                 // whole, for those that take no changes; nil until one asks
	deltas                map[viewVersion]cbor.RawMessage // by what they start from
}

// addView tells a member what it lacks of members and placement.
func (le *Lessor) addView(grant *Grant, l *Ledger, r *Renewal) {
	if at := (viewVersion{l.Epoch, l.Placement.Number}); le.encoded.version != at {
		le.encoded = encodedView{version: at, view: l.View(), deltas: map[viewVersion]cbor.RawMessage{}}
		le.encoded.checksum = le.encoded.view.Checksum()
	}
	t := &le.encoded
	if r.Takes != deltaFormat {
		if t.membership == nil {
			t.membership, t.placement = mustEncode(t.view.Members), mustEncode(t.view.Placement)
		}
		grant.Membership, grant.Placement = t.membership, t.placement
		return
	}
	from := viewVersion{r.HasMembership, r.HasPlacement}
	encoded, found := t.deltas[from]
	if !found {
		encoded = mustEncode(l.history.Delta(from.epoch, from.placement, &t.view, t.checksum))
		if len(t.deltas) < maxEncodedDeltas {
			t.deltas[from] = encoded
		}
	}
	grant.Delta = encoded
}

// mustEncode encodes a value of the program's own types.
func mustEncode(value any) cbor.RawMessage {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // it has nothing that can't be encoded
	}
	return encoded
}

// AnswerSent counts a lease from the moment after its answer went: now is read then. (The holder counts from before it
// asked, so that counting from Renew on would do; an answer's time on its way is a margin more.)
func (le *Lessor) AnswerSent(now BootTime, r *Renewal) {
	if s := le.states[r.Name]; s != nil && s.token == r.Token && s.leaseEnd > now {
		s.leaseEnd = max(s.leaseEnd, now+le.params.LessorWait())
	}
}

// Due returns the entries that the leader has to propose now. It is called when none is on its way.
func (le *Lessor) Due(now BootTime, l *Ledger) []Entry {
	if at := stageOf(l); le.recheck || now >= le.recheckAt || at != le.checkedStage {
		due := le.findDue(now, l)
		le.recheck, le.checkedStage = len(due) > 0, at // what is due stays so until it is agreed on
		return due
	}
	return nil
}

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
	clear(le.joining) // proposed once; who is not in then asks again
	maps.DeleteFunc(le.leaving, func(name string, m Member) bool { return l.Members[name].Token != m.Token })
	isGone := func(name string) bool { return l.Members[name].Token == 0 }
	maps.DeleteFunc(le.caughtUp, func(name string, _ []holdings.CaughtUp) bool { return isGone(name) })
	maps.DeleteFunc(le.unreachable, func(name string, _ []holdings.Incarnation) bool { return isGone(name) })
	maps.DeleteFunc(le.decommissioning, func(name string, _ bool) bool { return isGone(name) })
	maps.DeleteFunc(le.states, func(name string, s *memberState) bool { return l.Members[name].Token != s.token })
	if len(change.Leave) > 0 || len(change.Join) > 0 {
		return append(due, change) // the rest waits for the new epoch
	}
	if e, ok := le.proposalEntry(now, l); ok {
		due = append(due, e)
	}
	if e, ok := le.placementEntry(now, l); ok {
		due = append(due, e)
	}
	return due
}

// placementEntry tells which replicas follow from who is in the crew, and from what primaries have said.
func (le *Lessor) placementEntry(now BootTime, l *Ledger) (Entry, bool) {
	if le.params.Holdings.Copies == 0 {
		return Entry{}, false
	}
	placement := l.Placement
	if placement == nil {
		placement = &holdings.Placement{}
	}
	waitOver := false // a shard has waited for long enough
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
		Members: l.Membership(), Copies: le.params.Holdings.Copies, CaughtUp: caughtUp, Leaving: le.decommissioningMembers(l), Unreachable: le.unreachablePairs(l),
		Lost: func(shard int) bool {
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

// proposalEntry tells whether the proposal under way may go on: when each member has said so, in
// this epoch. Who says nothing is counted out when its lease has surely ended.
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

// decommissioningMembers are the members that will go when their replicas have been given to others.
func (le *Lessor) decommissioningMembers(l *Ledger) map[holdings.Incarnation]bool {
	out := map[holdings.Incarnation]bool{}
	for name, leaving := range le.decommissioning {
		if leaving {
			out[holdings.Incarnation{Name: name, JoinEpoch: l.JoinEpochs[name]}] = true
		}
	}
	return out
}

// unreachablePairs are the pairs of members of which the first does not reach the second.
func (le *Lessor) unreachablePairs(l *Ledger) map[[2]holdings.Incarnation]bool {
	out := map[[2]holdings.Incarnation]bool{}
	for name, list := range le.unreachable {
		for _, peer := range list {
			out[[2]holdings.Incarnation{{Name: name, JoinEpoch: l.JoinEpochs[name]}, peer}] = true
		}
	}
	return out
}

// LeaseEnd is when a member's lease has surely ended, for people.
func (le *Lessor) LeaseEnd(now BootTime, l *Ledger, name string) BootTime {
	return le.stateOf(now, l.Members[name]).leaseEnd
}
