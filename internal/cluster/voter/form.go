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
	Term uint64          `cbor:"6,keyasint,omitempty"`
	End  logEnd          `cbor:"7,keyasint"`
	Seen map[uint64]past `cbor:"8,keyasint,omitempty"`
}

// Announcement is what it says of itself.
func (k *Core) Announcement() Announcement {
	w := Announcement{Name: k.conf.Name, ID: k.store.who.ID, Set: maps.Clone(k.store.who.Set), Begun: k.node != nil && len(k.ledger.Voters) > 0,
		ParamsHash: k.conf.Params.Hash(), End: k.logEnd(), Seen: maps.Clone(k.seen)}
	if k.node != nil {
		w.Term = k.node.BasicStatus().HardState.GetTerm()
	}
	return w
}

// settled tells whether this keeper's own folder takes part in the agreement.
func (k *Core) settled() bool {
	return k.node != nil && k.ledger.Voters[k.conf.Name] == k.store.who.ID
}

// askToForm asks the other keepers.
func (k *Core) askToForm() {
	for _, name := range slices.Sorted(maps.Keys(k.conf.Voters)) {
		if name != k.conf.Name {
			k.ways.Announce(name, k.Announcement())
		}
	}
}

// HandleAnnouncement takes another keeper's word.
func (k *Core) HandleAnnouncement(w Announcement) {
	if k.fail != nil || w.Name == k.conf.Name || k.conf.Voters[w.Name] == "" || w.ID == 0 {
		return
	}
	before, known := k.heard[w.Name]
	if k.heard[w.Name] = w; w.ParamsHash != k.conf.Params.Hash() {
		if !known || before.ParamsHash != w.ParamsHash {
			k.log.Error().Str("keeper", w.Name).Str("here", k.conf.Params.String()).Msg("its terms differ; start all with the same [crew]")
		}
		return
	}
	if k.clearing != nil {
		k.fail = k.hearClearing(w)
		return
	}
	if k.node != nil && len(k.ledger.Voters) > 0 {
		k.unbind(w)
		k.replace(w)
		return
	}
	if k.node == nil {
		k.fail = k.form()
	}
}

// form takes the next step towards a crew, if there is one to take.
func (k *Core) form() error {
	mine := k.store.who.Set
	for _, w := range k.heard {
		// Formed, or about to be, with a folder that is lost: this one is to replace it. Guards against a newcomer that
		// makes up a beginning of its own from who stands in for the first ones.
		if (w.Set != nil || w.Begun) && w.Set[k.conf.Name] != k.store.who.ID {
			return nil
		}
	}
	if mine == nil {
		if len(k.heard) < len(k.conf.Voters)-1 {
			return nil
		}
		set := map[string]uint64{k.conf.Name: k.store.who.ID}
		for name, w := range k.heard {
			set[name] = w.ID
		}
		for _, w := range k.heard {
			if w.ParamsHash != k.conf.Params.Hash() || w.Set != nil && !maps.Equal(w.Set, set) {
				return nil
			}
		}
		if err := k.store.form(set); err != nil {
			return fmt.Errorf("writing: %w", err)
		}
		mine = set
	}
	alike, begun := 0, false
	for _, w := range k.heard {
		if maps.Equal(w.Set, mine) {
			alike++
			begun = begun || w.Begun
		}
	}
	if alike < len(mine)-1 && !begun {
		return nil
	}
	return k.found(mine)
}

// found writes the beginning that all keepers of a set have in common: a snapshot with an empty ledger.
func (k *Core) found(set map[string]uint64) error {
	ledger := cluster.NewLedger()
	ledger.Voters = maps.Clone(set)
	text, err := cbor.Marshal(ledger)
	if err != nil {
		return err
	}
	conf := &raftpb.ConfState{Voters: slices.Sorted(maps.Values(set))} // in one order with all
	first := uint64(1)
	snap := &raftpb.Snapshot{Data: text, Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &first, Term: &first}}
	if err := k.store.save(&raftpb.HardState{Term: &first, Commit: &first}, nil, snap, true); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	k.log.Info().Int("keepers", len(set)).Msg("the crew is formed")
	return k.begin()
}

// replacement is the context of a change of keepers.
type replacement struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
}

// replace has the leader put a keeper's new folder in the place of the one that it lost, one at a time, and only if the
// old one has not been heard of for an election's time: the same name started twice must not push out who serves.
func (k *Core) replace(w Announcement) {
	old, there := k.ledger.Voters[w.Name]
	if k.state != raft.StateLeader || !there || old == w.ID || w.Set != nil || k.changing(0) || k.mark != 0 || !k.caughtUp() {
		return
	}
	if p, ok := k.node.Status().Progress[old]; ok && p.RecentActive {
		k.log.Warn().Str("keeper", w.Name).Msg("a second process under this name has an empty folder; the first one serves, nothing is changed")
		return
	}
	context, err := cbor.Marshal(replacement{w.Name, w.ID})
	if err != nil {
		return
	}
	add, remove := raftpb.ConfChangeAddNode, raftpb.ConfChangeRemoveNode
	err = k.node.ProposeConfChange(&raftpb.ConfChangeV2{Context: context, Changes: []*raftpb.ConfChangeSingle{
		{Type: &add, NodeId: &w.ID}, {Type: &remove, NodeId: &old},
	}})
	if err == nil {
		k.log.Info().Str("keeper", w.Name).Msg("a keeper comes back with an empty folder")
	}
}

// changing tells whether a change of keepers is under way; with an id, whether that one is a part of it.
func (k *Core) changing(id uint64) bool {
	if k.conf3 == nil {
		return false
	}
	for _, voters := range [][]uint64{k.conf3.GetVoters(), k.conf3.GetVotersOutgoing()} {
		for _, v := range voters {
			if id != 0 && v == id {
				return true
			}
		}
	}
	return id == 0 && len(k.conf3.GetVotersOutgoing()) > 0
}

// applyConf takes a change of keepers that is agreed on.
func (k *Core) applyConf(e *raftpb.Entry) error {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return fmt.Errorf("%w: entry %d: %w", errDamaged, e.GetIndex(), err)
	}
	k.conf3 = k.node.ApplyConfChange(change)
	if len(change.GetContext()) == 0 {
		// The end of a joint change. Guards against a keeper that after a restart is still between the two, since how far the log
		// is agreed on is not synced, and can't do without folders that are lost (three keepers, seed 1473 of the simulation).
		return k.snapshot()
	}
	var r replacement
	if err := cbor.Unmarshal(change.GetContext(), &r); err != nil {
		return fmt.Errorf("%w: entry %d: %w", errDamaged, e.GetIndex(), err)
	}
	former := append(k.ledger.ReplacedVoters, k.ledger.Voters[r.Name])
	k.ledger.ReplacedVoters = former[max(0, len(former)-cluster.MaxReplacedVoters):]
	k.ledger.Voters[r.Name] = r.ID
	in := slices.Collect(maps.Values(k.ledger.Voters))
	maps.DeleteFunc(k.seen, func(id uint64, _ past) bool { return !slices.Contains(in, id) })
	maps.DeleteFunc(k.spoke, func(id uint64, _ time.Time) bool { return !slices.Contains(in, id) })
	k.log.Info().Str("keeper", r.Name).Msg("a keeper's folder was replaced")
	// Guards against a newcomer that never gets the log: raft gives it a snapshot, and turns down one whose members it is
	// not among.
	return k.snapshot()
}
