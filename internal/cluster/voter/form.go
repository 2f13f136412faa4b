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

// How voters with empty data directories form a cluster, and how one with an empty data directory joins a cluster that exists.
//
// Each data directory gets a random id when it is created. A voter that has the ids of all voters named in its configuration saves
// this set of ids in its data directory, where it does not change any more. The voter starts raft when every other voter has
// announced the same set, or when one of those that hold it has announced that it has started. So a data directory that is lost
// meanwhile can't lead to two clusters: its new id is in nobody's set, and the others wait until all of them start anew, or have
// started without it.

// Announcement is what a voter reports of itself to the others.
type Announcement struct {
	Name       string            `cbor:"1,keyasint"`
	ID         uint64            `cbor:"2,keyasint"`
	FormingSet map[string]uint64 `cbor:"3,keyasint,omitempty"`
	Begun      bool              `cbor:"4,keyasint,omitempty"`
	ParamsHash string            `cbor:"5,keyasint"`
	// Needed by a voter that starts with an existing data directory: see startcheck.go.
	Term     uint64                      `cbor:"6,keyasint,omitempty"`
	End      logEnd                      `cbor:"7,keyasint"`
	Observed map[uint64]observedProgress `cbor:"8,keyasint,omitempty"`
}

// Announcement returns this voter's announcement.
func (c *Core) Announcement() Announcement {
	a := Announcement{Name: c.conf.Name, ID: c.store.identity.ID, FormingSet: maps.Clone(c.store.identity.FormingSet), Begun: c.node != nil && len(c.ledger.Voters) > 0,
		ParamsHash: c.conf.Params.Hash(), End: c.logEnd(), Observed: maps.Clone(c.observed)}
	if c.node != nil {
		a.Term = c.node.BasicStatus().HardState.GetTerm()
	}
	return a
}

// isCurrentVoter reports whether the ledger lists this voter with its present data directory.
func (c *Core) isCurrentVoter() bool {
	return c.node != nil && c.ledger.Voters[c.conf.Name] == c.store.identity.ID
}

// announce sends this voter's announcement to the other voters.
func (c *Core) announce() {
	for _, name := range slices.Sorted(maps.Keys(c.conf.Voters)) {
		if name != c.conf.Name {
			c.transport.Announce(name, c.Announcement())
		}
	}
}

// HandleAnnouncement processes another voter's announcement.
func (c *Core) HandleAnnouncement(a Announcement) {
	if c.failure != nil || a.Name == c.conf.Name || c.conf.Voters[a.Name] == "" || a.ID == 0 {
		return
	}
	previous, known := c.announcements[a.Name]
	if c.announcements[a.Name] = a; a.ParamsHash != c.conf.Params.Hash() {
		if !known || previous.ParamsHash != a.ParamsHash {
			c.log.Error().Str("keeper", a.Name).Str("here", c.conf.Params.String()).Msg("the terms of another keeper differ from those of this one; start all with the same [crew] and [holdings]")
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

// tryForm takes the next step of forming a cluster, if the announcements allow one.
func (c *Core) tryForm() error {
	ownSet := c.store.identity.FormingSet
	for _, other := range c.announcements {
		// The cluster is formed, or about to be, with a data directory of this voter that was lost: this one must replace it. Guards
		// against a new voter that forms a second cluster with voters that have replaced the first ones.
		if (other.FormingSet != nil || other.Begun) && other.FormingSet[c.conf.Name] != c.store.identity.ID {
			return nil
		}
	}
	if ownSet == nil {
		if len(c.announcements) < len(c.conf.Voters)-1 {
			return nil
		}
		set := map[string]uint64{c.conf.Name: c.store.identity.ID}
		for name, other := range c.announcements {
			set[name] = other.ID
		}
		for _, other := range c.announcements {
			if other.ParamsHash != c.conf.Params.Hash() || other.FormingSet != nil && !maps.Equal(other.FormingSet, set) {
				return nil
			}
		}
		if err := c.store.saveSet(set); err != nil {
			return fmt.Errorf("writing: %w", err)
		}
		ownSet = set
	}
	sameSet, begun := 0, false
	for _, other := range c.announcements {
		if maps.Equal(other.FormingSet, ownSet) {
			sameSet++
			begun = begun || other.Begun
		}
	}
	if sameSet < len(ownSet)-1 && !begun {
		return nil
	}
	return c.bootstrap(ownSet)
}

// bootstrap saves the initial state and starts raft. The state is a snapshot, at index and term 1, of a ledger that holds only the voters;
// it is the same for all voters of the set.
func (c *Core) bootstrap(set map[string]uint64) error {
	ledger := cluster.NewLedger()
	ledger.Voters = maps.Clone(set)
	encoded, err := cbor.Marshal(ledger)
	if err != nil {
		return err
	}
	conf := &raftpb.ConfState{Voters: slices.Sorted(maps.Values(set))} // sorted, so that it is the same for all voters
	first := uint64(1)
	snap := &raftpb.Snapshot{Data: encoded, Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &first, Term: &first}}
	if err := c.store.save(&raftpb.HardState{Term: &first, Commit: &first}, nil, snap, true); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	c.log.Info().Int("keepers", len(set)).Msg("the crew is formed")
	return c.startRaft()
}

// voterReplacement is the context of a raft configuration change: the voter and the id of its new data directory.
type voterReplacement struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
}

// replaceVoter, on the leader, proposes to replace a voter's lost data directory by its new one. It does so for one voter at a time, and
// only if the old directory has been silent for an election timeout: a second process under the same name must not replace the
// first one while that one is running.
func (c *Core) replaceVoter(a Announcement) {
	previousID, known := c.ledger.Voters[a.Name]
	if c.raftState != raft.StateLeader || !known || previousID == a.ID || a.FormingSet != nil || c.changingVoters(0) || c.pendingMark != 0 || !c.appliedOwnTerm() {
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

// changingVoters reports, for id 0, whether a replacement of voters is in progress, and otherwise whether the id is part of raft's
// configuration, the old or the new one.
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

// applyConf applies a committed change of raft's configuration.
func (c *Core) applyConf(e *raftpb.Entry) error {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return fmt.Errorf("%w: entry %d: %w", errDamaged, e.GetIndex(), err)
	}
	c.confState = c.node.ApplyConfChange(change)
	if len(change.GetContext()) == 0 {
		// This entry ends a joint change. The snapshot guards against a voter that, after a restart, is still within the change, because the
		// commit index is not synced, and that then needs lost data directories for a majority (three voters, seed 1473 of the simulation).
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
	// Guards against a new voter that never gets the log: the leader sends it a snapshot, and raft rejects a snapshot whose
	// configuration does not contain the receiver.
	return c.takeSnapshot()
}
