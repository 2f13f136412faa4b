// Package cluster holds what the sidecars of a crew agree on, and by which rules: who is in, in which epoch, which version of
// the rules is acted on, and until when each may act on it. It is pure: no clock, no I/O, no goroutine. Its folders carry
// it out: keeper the agreement, member a sidecar's part.
//
// Three parts: Ledger is what the keepers' log says, the same everywhere; Granter is what their leader keeps in memory
// alone; Holder is a member's side.
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

// BootTime is a moment on a machine's clock that goes on while it is suspended (CLOCK_BOOTTIME). Moments of different
// processes are never compared.
type BootTime = time.Duration

// Params are those of the operator's file.
type Params = clusterparams.Params

// Member is a process that is in the crew.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Token   uint64 `cbor:"2,keyasint"` // of one start of the process: the same name twice is two tokens
	Zone    string `cbor:"3,keyasint,omitempty"`
	Address string `cbor:"4,keyasint"` // where peers reach it
}

// State is how far a proposed version has come.
type State uint8

// The states, in their order.
const (
	Checking State = iota + 1 // each member looks whether it can take it
	Prepared                  // each acts on what both neighbours allow
	Active                    // acted on
	Refused                   // ended; it was never acted on
)

// String is the word that people read.
func (s State) String() string {
	return [...]string{"none", "checking", "prepared", "active", "refused"}[min(int(s), 4)]
}

// VersionRecord is a version with its state.
type VersionRecord struct {
	versions.Version
	ID     uint64 `cbor:"20,keyasint"` // of the proposal: said twice, it counts once
	State  State  `cbor:"21,keyasint"`
	Reason string `cbor:"22,keyasint,omitempty"` // it was refused
}

// maxRejectedProposals bounds the proposals that are remembered as turned down: more than are on their way in a minute.
const maxRejectedProposals = 256

// MaxReplacedVoters bounds the replaced folders that are remembered: far more than are ever tried again.
const MaxReplacedVoters = 256

// maxHistory bounds the ended rounds that the ledger keeps, for people and for proposals
// that are said again; documents of 64 KiB make 8 MiB of it at most.
const maxHistory = 128

// Ledger is what the keepers agree on. It changes by Apply alone, in the order of their
// log, and is the same after the same entries.
type Ledger struct {
	Epoch   uint64            `cbor:"1,keyasint"` // rises with each change of members
	Members map[string]Member `cbor:"2,keyasint"` // by name
	Active  VersionRecord     `cbor:"3,keyasint"` // number 0 before the first version
	Next    *VersionRecord    `cbor:"4,keyasint,omitempty"`
	// History holds rounds that have ended, the newest last: refused, or active once.
	History    []VersionRecord `cbor:"5,keyasint,omitempty"`
	LastNumber uint64          `cbor:"6,keyasint"` // the highest number given
	// Voters are ids by names: of the folders that take part in the agreement.
	Voters map[string]uint64 `cbor:"7,keyasint"`
	// ReplacedVoters are ids of folders that others took the place of, the newest last.
	ReplacedVoters []uint64 `cbor:"8,keyasint,omitempty"`
	// RejectedProposals are ids of proposals that were turned down, the newest last. Guards against one whose author was told no, and
	// of which an earlier word, held up on its way, comes when it would count.
	RejectedProposals []uint64 `cbor:"9,keyasint,omitempty"`
	// JoinEpochs are the epochs in which members came in, by name: who was counted out and came in again is another incarnation.
	JoinEpochs map[string]uint64 `cbor:"10,keyasint,omitempty"`
	// Placement are the replicas in the shards of what sidecars hold for one another; nil where they hold nothing.
	Placement *holdings.Placement `cbor:"11,keyasint,omitempty"`

	// history is what Apply has changed lately, so that members can be told changes. It is each keeper's own: no part of what is
	// agreed on, nor of what is encoded.
	history holdings.History
}

// NewLedger returns that of a crew without members and versions.
func NewLedger() *Ledger {
	return &Ledger{Members: map[string]Member{}, JoinEpochs: map[string]uint64{}}
}

// Entry is one change that a leader proposes. One of its parts is set.
type Entry struct {
	Join           []Member                   `cbor:"1,keyasint,omitempty"`
	Leave          []Member                   `cbor:"2,keyasint,omitempty"` // by name and token
	Propose        *Proposal                  `cbor:"3,keyasint,omitempty"`
	Prepare        uint64                     `cbor:"4,keyasint,omitempty"` // number
	Activate       uint64                     `cbor:"5,keyasint,omitempty"`
	End            *ProposalEnd               `cbor:"6,keyasint,omitempty"`
	ReplicaChanges []holdings.PlacementChange `cbor:"8,keyasint,omitempty"`
	// Epoch under which the leader came to the conclusion; 0 where it rests on no members.
	Epoch uint64 `cbor:"7,keyasint,omitempty"`
}

// Proposal is a version that somebody asks for.
type Proposal struct {
	ID     uint64            `cbor:"1,keyasint"`
	Parent uint64            `cbor:"2,keyasint"` // what the author saw as active
	Author string            `cbor:"3,keyasint,omitempty"`
	Note   string            `cbor:"4,keyasint,omitempty"`
	Doc    versions.Document `cbor:"5,keyasint"`
}

// ProposalEnd is a proposal's end by refusal.
type ProposalEnd struct {
	Number uint64 `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Apply takes one entry of the log. An entry that does not fit any more changes nothing:
// its reason is for whoever proposed it.
func (l *Ledger) Apply(e *Entry) error {
	switch {
	case len(e.Join) > 0 || len(e.Leave) > 0:
		return l.changeMembers(e.Join, e.Leave)
	case e.Propose != nil:
		return l.propose(e.Propose)
	case e.Epoch != l.Epoch:
		// Guards against a conclusion about members that have changed since it was drawn.
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
		// Guards against a second process under one name: the first must be gone before.
		if in, there := l.Members[m.Name]; there && in.Token != m.Token || !there && len(l.Members) >= clusterparams.MaxMembers {
			continue
		}
		changed = changed || l.Members[m.Name] != m
		l.Members[m.Name] = m
		if _, stays := l.JoinEpochs[m.Name]; !stays {
			if l.JoinEpochs == nil { // a ledger that an older build wrote
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

func (l *Ledger) propose(p *Proposal) error {
	switch {
	case l.Find(p.ID) != nil:
		return nil // said again: its answer was lost
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

// VersionRecords are all rounds that are kept, the oldest first.
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

// Find returns the round of a proposal, nil if there is none or it is too long ago.
func (l *Ledger) Find(id uint64) *VersionRecord {
	for _, r := range l.VersionRecords() {
		if r.ID == id {
			return &r
		}
	}
	return nil
}

// Membership are the members as holdings know them, in one order.
func (l *Ledger) Membership() []holdings.Member {
	out := make([]holdings.Member, 0, len(l.Members))
	for _, name := range slices.Sorted(maps.Keys(l.Members)) {
		m := l.Members[name]
		out = append(out, holdings.Member{Incarnation: holdings.Incarnation{Name: name, JoinEpoch: l.JoinEpochs[name]}, Token: m.Token, Zone: m.Zone, Address: m.Address})
	}
	return out
}

// View is what members are told of it. It shares the placement, which Apply changes: encode it before that.
func (l *Ledger) View() holdings.View {
	return holdings.View{Epoch: l.Epoch, Members: l.Membership(), Placement: l.Placement}
}

// Clone returns a ledger that changes by itself, and knows of no change before. Documents are never changed, and shared.
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
