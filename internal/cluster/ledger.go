// Package cluster holds the state that the sidecars of a cluster agree on and the rules by which it changes: the members, the epoch,
// the version of the rules in effect, and how long each member may apply it. The package is pure: it has no clock, no I/O and no
// goroutines. Package voter replicates the state through raft; package member is a sidecar's part.
//
// Its three main types are Ledger, the replicated state; Lessor, what the raft leader keeps in memory to grant leases; and
// LeaseHolder, a member's side of its lease. LeaseRenewer drives a LeaseHolder: it finds the leader and renews the lease.
package cluster

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"heathgap/internal/clusterparams"
	"heathgap/internal/holdings"
	"heathgap/internal/versions"
)

// BootTime is a time on a machine's clock that keeps running while the machine is suspended (CLOCK_BOOTTIME). BootTimes of
// different processes are never compared.
type BootTime = time.Duration

// Params are the cluster parameters from the operator's file, which all processes of a cluster must share.
type Params = clusterparams.Params

// Member is a process that belongs to the cluster.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Token   uint64 `cbor:"2,keyasint"` // identifies one start of the process: two processes under one name have different tokens
	Zone    string `cbor:"3,keyasint,omitempty"`
	Address string `cbor:"4,keyasint"` // where peers connect to it
}

// State is the stage of a proposed version.
type State uint8

// The states of a version: Checking, Prepared and Active in this order, or Refused after Checking.
const (
	Checking State = iota + 1 // each member checks whether it can apply the version
	Prepared                  // each member applies only what both the active and the next version allow
	Active                    // in effect
	Refused                   // ended without ever having been active
)

// String returns the state's name as shown to people.
func (s State) String() string {
	return [...]string{"none", "checking", "prepared", "active", "refused"}[min(int(s), 4)]
}

// VersionRecord is a version with its state.
type VersionRecord struct {
	versions.Version
	ID     uint64 `cbor:"20,keyasint"` // of the proposal; a proposal that is sent twice counts once
	State  State  `cbor:"21,keyasint"`
	Reason string `cbor:"22,keyasint,omitempty"` // why it was refused
}

// maxRejectedProposals bounds the remembered ids of rejected proposals. It is meant to exceed the number of proposals of which copies
// may still be under way.
const maxRejectedProposals = 256

// MaxReplacedVoters bounds the remembered ids of replaced data directories. It is far above the number that ever reconnect.
const MaxReplacedVoters = 256

// maxHistory bounds the ended versions that the ledger keeps, for people and to recognize proposals that are sent again.
// With documents of 64 KiB they take at most 8 MiB.
const maxHistory = 128

// Ledger is the state that the voters replicate. Apply changes it, and package voter changes Voters and ReplacedVoters when raft's
// configuration changes; both in the order of the raft log, so that the same entries always lead to the same ledger.
type Ledger struct {
	Epoch   uint64            `cbor:"1,keyasint"` // incremented with each change of members
	Members map[string]Member `cbor:"2,keyasint"` // by name
	Active  VersionRecord     `cbor:"3,keyasint"` // number 0 before the first version
	Next    *VersionRecord    `cbor:"4,keyasint,omitempty"`
	// History holds versions that are no longer current, the newest last: refused, or formerly active.
	History    []VersionRecord `cbor:"5,keyasint,omitempty"`
	LastNumber uint64          `cbor:"6,keyasint"` // the highest version number assigned
	// Voters holds the ids of the data directories that take part in raft, by voter name.
	Voters map[string]uint64 `cbor:"7,keyasint"`
	// ReplacedVoters holds the ids of data directories that have been replaced by others, the newest last.
	ReplacedVoters []uint64 `cbor:"8,keyasint,omitempty"`
	// RejectedProposals holds the ids of rejected proposals, the newest last. It guards against a delayed copy of a proposal
	// that arrives after its author was told of the rejection and that would be accepted by then.
	RejectedProposals []uint64 `cbor:"9,keyasint,omitempty"`
	// JoinEpochs holds the epoch in which each member joined, by name. A member that was removed and joined again is another incarnation.
	JoinEpochs map[string]uint64 `cbor:"10,keyasint,omitempty"`
	// Placement assigns the replicas of the holdings' shards to members; nil if the cluster has no holdings.
	Placement *holdings.Placement `cbor:"11,keyasint,omitempty"`

	// history records recent changes, from which Delta is formed for members. Each voter has its own: it is neither replicated nor
	// encoded.
	history holdings.History
}

// NewLedger returns a ledger without members and versions.
func NewLedger() *Ledger {
	return &Ledger{Members: map[string]Member{}, JoinEpochs: map[string]uint64{}}
}

// Entry is one change that a leader proposes to raft. Exactly one of its parts is set: the changes of members (Join and Leave) or
// one of the other fields; Epoch goes with any of them.
type Entry struct {
	Join           []Member                   `cbor:"1,keyasint,omitempty"`
	Leave          []Member                   `cbor:"2,keyasint,omitempty"` // matched by name and token
	Propose        *Proposal                  `cbor:"3,keyasint,omitempty"`
	Prepare        uint64                     `cbor:"4,keyasint,omitempty"` // version number
	Activate       uint64                     `cbor:"5,keyasint,omitempty"`
	End            *ProposalEnd               `cbor:"6,keyasint,omitempty"`
	ReplicaChanges []holdings.PlacementChange `cbor:"8,keyasint,omitempty"`
	// Epoch is the epoch from whose members the leader derived this entry; 0 where the entry doesn't depend on the members.
	Epoch uint64 `cbor:"7,keyasint,omitempty"`
}

// Proposal asks for a new version.
type Proposal struct {
	ID     uint64            `cbor:"1,keyasint"`
	Parent uint64            `cbor:"2,keyasint"` // the version that the author saw as active
	Author string            `cbor:"3,keyasint,omitempty"`
	Note   string            `cbor:"4,keyasint,omitempty"`
	Doc    versions.Document `cbor:"5,keyasint"`
}

// ProposalEnd ends a proposal that a member refused.
type ProposalEnd struct {
	Number uint64 `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Apply applies one entry of the raft log. An entry that is no longer valid changes nothing, except that the id of a rejected proposal
// is remembered. The error tells its proposer why.
func (l *Ledger) Apply(e *Entry) error {
	switch {
	case len(e.Join) > 0 || len(e.Leave) > 0:
		return l.changeMembers(e.Join, e.Leave)
	case e.Propose != nil:
		return l.propose(e.Propose)
	case e.Epoch != l.Epoch:
		// Guards against a conclusion drawn from members that have changed since.
		return fmt.Errorf("epoch %d has passed, it is %d", e.Epoch, l.Epoch)
	case len(e.ReplicaChanges) > 0:
		if l.Placement == nil {
			l.Placement = &holdings.Placement{}
		}
		before := l.Placement.Number
		err := l.Placement.Apply(e.ReplicaChanges)
		l.history.RecordChanges(before, l.Placement.Number, e.ReplicaChanges)
		return err
	case e.Prepare > 0:
		return l.advanceNext(e.Prepare, Checking, Prepared)
	case e.Activate > 0:
		if err := l.advanceNext(e.Activate, Prepared, Active); err != nil {
			return err
		}
		if l.Active.Number > 0 {
			l.addToHistory(l.Active)
		}
		l.Active, l.Next = *l.Next, nil
	case e.End != nil:
		if l.Next == nil || l.Next.Number != e.End.Number || l.Next.State != Checking {
			return fmt.Errorf("version %d is not being checked", e.End.Number)
		}
		l.Next.State, l.Next.Reason = Refused, e.End.Reason
		l.addToHistory(*l.Next)
		l.Next = nil
	}
	return nil
}

// changeMembers removes and adds members. Members that are already gone, joins under a name that another process has, and joins beyond
// MaxMembers are skipped.
func (l *Ledger) changeMembers(joining, leaving []Member) error {
	changed := false
	names := make([]string, 0, len(joining)+len(leaving))
	for _, m := range slices.Concat(leaving, joining) {
		names = append(names, m.Name)
	}
	for _, m := range leaving {
		if in, there := l.Members[m.Name]; there && in.Token == m.Token {
			delete(l.Members, m.Name)
			delete(l.JoinEpochs, m.Name)
			changed = true
		}
	}
	for _, m := range joining {
		// Guards against a second process under one name: the first one must have left before.
		if in, there := l.Members[m.Name]; there && in.Token != m.Token || !there && len(l.Members) >= clusterparams.MaxMembers {
			continue
		}
		changed = changed || l.Members[m.Name] != m
		l.Members[m.Name] = m
		if _, stays := l.JoinEpochs[m.Name]; !stays {
			if l.JoinEpochs == nil { // decoded from a ledger that an older build wrote
				l.JoinEpochs = map[string]uint64{}
			}
			l.JoinEpochs[m.Name] = l.Epoch + 1
		}
	}
	if changed {
		l.Epoch++
		l.history.RecordMembers(l.Epoch-1, l.Epoch, names)
	}
	return nil
}

// propose handles a proposal, and remembers its id if it is rejected.
func (l *Ledger) propose(p *Proposal) error {
	switch {
	case l.Find(p.ID) != nil:
		return nil // sent again because the answer was lost
	case slices.Contains(l.RejectedProposals, p.ID):
		return errors.New("this proposal was turned down before; propose anew")
	}
	err := l.acceptProposal(p)
	if err != nil {
		l.RejectedProposals = append(l.RejectedProposals, p.ID)
		l.RejectedProposals = l.RejectedProposals[max(0, len(l.RejectedProposals)-maxRejectedProposals):]
	}
	return err
}

// acceptProposal makes a proposal the next version, if no other is in progress and it follows from the active version.
func (l *Ledger) acceptProposal(p *Proposal) error {
	switch {
	case l.Next != nil:
		return fmt.Errorf("version %d is under way (%v); propose again when it has ended", l.Next.Number, l.Next.State)
	case p.Parent != l.Active.Number:
		return fmt.Errorf("parent %d is not the active version, that is %d; look at it (versions, diff) and propose again",
			p.Parent, l.Active.Number)
	}
	v := versions.Version{Number: l.LastNumber + 1, Parent: p.Parent, Author: p.Author, Note: p.Note, Doc: p.Doc, Hash: p.Doc.Hash()}
	if err := v.Check(); err != nil {
		return err
	}
	if v.Hash == l.Active.Hash {
		return fmt.Errorf("nothing differs from version %d", l.Active.Number)
	}
	l.LastNumber++
	l.Next = &VersionRecord{Version: v, ID: p.ID, State: Checking}
	return nil
}

// advanceNext moves the next version from one state to another.
func (l *Ledger) advanceNext(number uint64, from, to State) error {
	if l.Next == nil || l.Next.Number != number || l.Next.State != from {
		return fmt.Errorf("version %d is not %v", number, from)
	}
	l.Next.State = to
	return nil
}

func (l *Ledger) addToHistory(r VersionRecord) {
	if len(l.History) >= maxHistory {
		l.History = slices.Delete(l.History, 0, len(l.History)-maxHistory+1)
	}
	l.History = append(l.History, r)
}

// VersionRecords returns all versions that the ledger keeps, the oldest first.
func (l *Ledger) VersionRecords() []VersionRecord {
	all := slices.Clone(l.History)
	if l.Active.Number > 0 {
		all = append(all, l.Active)
	}
	if l.Next != nil {
		all = append(all, *l.Next)
	}
	slices.SortFunc(all, func(a, b VersionRecord) int { return int(a.Number) - int(b.Number) })
	return all
}

// Find returns the version of a proposal, or nil if there is none or it is no longer kept.
func (l *Ledger) Find(id uint64) *VersionRecord {
	for _, r := range l.VersionRecords() {
		if r.ID == id {
			return &r
		}
	}
	return nil
}

// Membership returns the members in the form that package holdings uses, sorted by name.
func (l *Ledger) Membership() []holdings.Member {
	out := make([]holdings.Member, 0, len(l.Members))
	for _, name := range slices.Sorted(maps.Keys(l.Members)) {
		m := l.Members[name]
		out = append(out, holdings.Member{Incarnation: holdings.Incarnation{Name: name, JoinEpoch: l.JoinEpochs[name]}, Token: m.Token, Zone: m.Zone, Address: m.Address})
	}
	return out
}

// View returns the members and the placement as members receive them. It shares the placement, which Apply changes: encode the view
// before the next Apply.
func (l *Ledger) View() holdings.View {
	return holdings.View{Epoch: l.Epoch, Members: l.Membership(), Placement: l.Placement}
}

// Clone returns an independent copy, without the history of changes. Documents are never changed, so both share them.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.history = holdings.History{}
	c.Members, c.History, c.Voters = maps.Clone(l.Members), slices.Clone(l.History), maps.Clone(l.Voters)
	c.ReplacedVoters, c.RejectedProposals, c.JoinEpochs = slices.Clone(l.ReplacedVoters), slices.Clone(l.RejectedProposals), maps.Clone(l.JoinEpochs)
	if l.Placement != nil {
		c.Placement = l.Placement.Clone()
	}
	if l.Next != nil {
		next := *l.Next
		c.Next = &next
	}
	return &c
}
