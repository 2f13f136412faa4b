package voter

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"heathgap/internal/cluster"
)

// Form: how keepers with empty folders become a crew, and how one with an empty folder comes into a crew that stands.
//
// Each draws an id when its folder is made. A keeper that has heard the ids of all keepers named in its file writes this
// set into its folder, where it does not change any more; it begins when every other one has said that it holds the same
// set, or one that holds it says that it has begun. So a folder that is lost on the way can't make two crews of one: its
// new id is in nobody's set, and the others wait until all start anew, or have begun without it.

// Announcement is what a keeper says of itself.
type Announcement struct {
	Name       string            `cbor:"1,keyasint"`
	ID         uint64            `cbor:"2,keyasint"`
	Set        map[string]uint64 `cbor:"3,keyasint,omitempty"`
	Begun      bool              `cbor:"4,keyasint,omitempty"`
	ParamsHash string            `cbor:"5,keyasint"`
	// What a keeper that starts with an older folder must know.
	Term uint64                      `cbor:"6,keyasint,omitempty"`
	End  logEnd                      `cbor:"7,keyasint"`
	Seen map[uint64]observedProgress `cbor:"8,keyasint,omitempty"`
}

// Announcement is what it says of itself.
func (c *Core) Announcement() Announcement {
	a := Announcement{Name: c.conf.Name, ID: c.store.identity.ID, Set: maps.Clone(c.store.identity.Set), Begun: c.node != nil && len(c.ledger.Voters) > 0,
		ParamsHash: c.conf.Params.Hash(), End: c.logEnd(), Seen: maps.Clone(c.observed)}
	if c.node != nil {
		a.Term = c.node.BasicStatus().HardState.GetTerm()
	}
	return a
}

// isCurrentVoter tells whether this keeper's own folder takes part in the agreement.
func (c *Core) isCurrentVoter() bool {
	return c.node != nil && c.ledger.Voters[c.conf.Name] == c.store.identity.ID
}

// announce asks the other keepers.
func (c *Core) announce() {
	for _, name := range slices.Sorted(maps.Keys(c.conf.Voters)) {
		if name != c.conf.Name {
			c.transport.Announce(name, c.Announcement())
		}
	}
}

// HandleAnnouncement takes another keeper's word.
func (c *Core) HandleAnnouncement(a Announcement) {
	if c.failure != nil || a.Name == c.conf.Name || c.conf.Voters[a.Name] == "" || a.ID == 0 {
		return
	}
	before, known := c.announcements[a.Name]
	if c.announcements[a.Name] = a; a.ParamsHash != c.conf.Params.Hash() {
		if !known || before.ParamsHash != a.ParamsHash {
			c.log.Error().Str("keeper", a.Name).Str("here", c.conf.Params.String()).Msg("its terms differ; start all with the same [crew]")
		}
		return
	}
	if c.startCheck != nil {
		c.failure = c.handleStartCheck(a)
		return
	}
	if c.node != nil && len(c.ledger.Voters) > 0 {
		c.dropLostLogEnd(a)
		c.replaceVoter(a)
		return
	}
	if c.node == nil {
		c.failure = c.tryForm()
	}
}

// tryForm takes the next step towards a crew, if there is one to take.
func (c *Core) tryForm() error {
	ownSet := c.store.identity.Set
	for _, w := range c.announcements {
		// Formed, or about to be, with a folder that is lost: this one is to replace it. Guards against a newcomer that
		// makes up a beginning of its own from who stands in for the first ones.
		if (w.Set != nil || w.Begun) && w.Set[c.conf.Name] != c.store.identity.ID {
			return nil
		}
	}
	if ownSet == nil {
		if len(c.announcements) < len(c.conf.Voters)-1 {
			return nil
		}
		set := map[string]uint64{c.conf.Name: c.store.identity.ID}
		for name, w := range c.announcements {
			set[name] = w.ID
		}
		for _, w := range c.announcements {
			if w.ParamsHash != c.conf.Params.Hash() || w.Set != nil && !maps.Equal(w.Set, set) {
				return nil
			}
		}
		if err := c.store.saveSet(set); err != nil {
			return fmt.Errorf("writing: %w", err)
		}
		ownSet = set
	}
	sameSet, begun := 0, false
	for _, w := range c.announcements {
		if maps.Equal(w.Set, ownSet) {
			sameSet++
			begun = begun || w.Begun
		}
	}
	if sameSet < len(ownSet)-1 && !begun {
		return nil
	}
	return c.bootstrap(ownSet)
}

// bootstrap writes the beginning that all keepers of a set have in common: a snapshot with an empty ledger.
func (c *Core) bootstrap(set map[string]uint64) error {
	ledger := cluster.NewLedger()
	ledger.Voters = maps.Clone(set)
	text, err := cbor.Marshal(ledger)
	if err != nil {
		return err
	}
	conf := &raftpb.ConfState{Voters: slices.Sorted(maps.Values(set))} // in one order with all
	first := uint64(1)
	snap := &raftpb.Snapshot{Data: text, Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &first, Term: &first}}
	if err := c.store.save(&raftpb.HardState{Term: &first, Commit: &first}, nil, snap, true); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	c.log.Info().Int("keepers", len(set)).Msg("the crew is formed")
	return c.startRaft()
}

// voterReplacement is the context of a change of keepers.
type voterReplacement struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
}

// replaceVoter has the leader put a keeper's new folder in the place of the one that it lost, one at a time, and only if the
// old one has not been heard of for an election's time: the same name started twice must not push out who serves.
func (c *Core) replaceVoter(a Announcement) {
	previousID, known := c.ledger.Voters[a.Name]
	if c.raftState != raft.StateLeader || !known || previousID == a.ID || a.Set != nil || c.changingVoters(0) || c.pendingMark != 0 || !c.appliedOwnTerm() {
		return
	}
	if p, ok := c.node.Status().Progress[previousID]; ok && p.RecentActive {
		c.log.Warn().Str("keeper", a.Name).Msg("a second process under this name has an empty folder; the first one serves, nothing is changed")
		return
	}
	encoded, err := cbor.Marshal(voterReplacement{a.Name, a.ID})
	if err != nil {
		return
	}
	add, remove := raftpb.ConfChangeAddNode, raftpb.ConfChangeRemoveNode
	err = c.node.ProposeConfChange(&raftpb.ConfChangeV2{Context: encoded, Changes: []*raftpb.ConfChangeSingle{
		{Type: &add, NodeId: &a.ID}, {Type: &remove, NodeId: &previousID},
	}})
	if err == nil {
		c.log.Info().Str("keeper", a.Name).Msg("a keeper comes back with an empty folder")
	}
}

// changingVoters tells whether a change of keepers is under way; with an id, whether that one is a part of it.
func (c *Core) changingVoters(id uint64) bool {
	if c.confState == nil {
		return false
	}
	for _, voters := range [][]uint64{c.confState.GetVoters(), c.confState.GetVotersOutgoing()} {
		for _, v := range voters {
			if id != 0 && v == id {
				return true
			}
		}
	}
	return id == 0 && len(c.confState.GetVotersOutgoing()) > 0
}

// applyConf takes a change of keepers that is agreed on.
func (c *Core) applyConf(e *raftpb.Entry) error {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return fmt.Errorf("%w: entry %d: %w", errDamaged, e.GetIndex(), err)
	}
	c.confState = c.node.ApplyConfChange(change)
	if len(change.GetContext()) == 0 {
		// The end of a joint change. Guards against a keeper that after a restart is still between the two, since how far the log
		// is agreed on is not synced, and can't do without folders that are lost (three keepers, seed 1473 of the simulation).
		return c.takeSnapshot()
	}
	var r voterReplacement
	if err := cbor.Unmarshal(change.GetContext(), &r); err != nil {
		return fmt.Errorf("%w: entry %d: %w", errDamaged, e.GetIndex(), err)
	}
	replaced := append(c.ledger.ReplacedVoters, c.ledger.Voters[r.Name])
	c.ledger.ReplacedVoters = replaced[max(0, len(replaced)-cluster.MaxReplacedVoters):]
	c.ledger.Voters[r.Name] = r.ID
	current := slices.Collect(maps.Values(c.ledger.Voters))
	maps.DeleteFunc(c.observed, func(id uint64, _ observedProgress) bool { return !slices.Contains(current, id) })
	maps.DeleteFunc(c.lastHeard, func(id uint64, _ time.Time) bool { return !slices.Contains(current, id) })
	c.log.Info().Str("keeper", r.Name).Msg("a keeper's folder was replaced")
	// Guards against a newcomer that never gets the log: raft gives it a snapshot, and turns down one whose members it is
	// not among.
	return c.takeSnapshot()
}
