package voter

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"

	"heathgap/internal/cluster"
	"heathgap/internal/env"
)

// started is a keeper of three that has just started with a folder whose log ends at entry 5 of term 4; it has not voted
// in that term.
func started(t *testing.T) *Core {
	t.Helper()
	opened, err := Open(Conf{Cluster: "c", Name: "a", Voters: map[string]string{"a": "x:1", "b": "x:2", "c": "x:3"},
		Params: cluster.Params{Lease: time.Second}, DataDir: t.TempDir()}, env.Real{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	k := opened.core
	t.Cleanup(func() { k.store.close() })
	if err := k.bootstrap(map[string]uint64{"a": k.store.identity.ID, "b": 2, "c": 3}); err != nil {
		t.Fatal(err)
	}
	term := uint64(4)
	for i := uint64(2); i <= 5; i++ {
		if err := k.store.save(&raftpb.HardState{Term: &term, Commit: &i}, []*raftpb.Entry{{Index: &i, Term: &term}}, nil, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(); err != nil || k.startCheck == nil {
		t.Fatalf("%v, clearing %v", err, k.startCheck)
	}
	return k
}

func vote(term, logTerm, index uint64) *raftpb.Message {
	from := uint64(2)
	return &raftpb.Message{Type: raftpb.MsgVote.Enum(), From: &from, Term: &term, LogTerm: &logTerm, Index: &index}
}

// Guards against a folder that was set back to an earlier copy: two leaders of one term came of one in a storm, since it
// voted a second time.
func TestFolderSetBackIsFound(t *testing.T) {
	for name, seen := range map[string]observedProgress{"it held more": {Term: 4, Index: 9}, "it spoke in a later term": {Term: 5, Index: 5}} {
		k := started(t)
		k.HandleAnnouncement(Announcement{Name: "b", ID: 2, ParamsHash: k.conf.Params.Hash(), Seen: map[uint64]observedProgress{k.store.identity.ID: seen}})
		if k.failure == nil || !strings.Contains(k.failure.Error(), "set back to an earlier copy") {
			t.Errorf("%s: %v", name, k.failure)
		}
	}
	for name, seen := range map[string]observedProgress{"it is as it was": {Term: 4, Index: 5}, "what it held more of was overwritten since": {Term: 3, Index: 9}} {
		k := started(t)
		k.HandleAnnouncement(Announcement{Name: "b", ID: 2, ParamsHash: k.conf.Params.Hash(), Seen: map[uint64]observedProgress{k.store.identity.ID: seen}})
		if k.failure != nil {
			t.Errorf("%s: %v", name, k.failure)
		}
	}
}

// Where nobody proves it, what the others know still bounds what the keeper does: it votes in no term that they have heard
// of, for nobody whose log lacks what they have, and does not stand while its own does.
func TestStartedKeeperIsBoundByTheOthers(t *testing.T) {
	k := started(t)
	hash := k.conf.Params.Hash()
	k.HandleAnnouncement(Announcement{Name: "b", ID: 2, ParamsHash: hash, Term: 6, End: logEnd{4, 5}})
	if k.startCheckDone() {
		t.Fatal("one of two others is not enough: that other may be the one that a vote was not given to")
	}
	ask := vote(7, 6, 8)
	ask.To = &k.store.identity.ID
	if err := k.HandleMessages("b", []*raftpb.Message{ask}); err != nil || k.node.BasicStatus().HardState.GetTerm() != 4 {
		t.Errorf("it heeds a candidate before it takes part: %v", err)
	}
	k.HandleAnnouncement(Announcement{Name: "c", ID: 3, ParamsHash: hash, Term: 5, End: logEnd{6, 8}})
	if !k.startCheckDone() {
		t.Fatal("it has heard both others and takes no part")
	}
	if term := k.node.BasicStatus().HardState.GetTerm(); term != 6 {
		t.Errorf("term %d: word of a leader of term 5 would be taken", term)
	}
	for _, c := range []struct {
		m    *raftpb.Message
		want bool
	}{
		{vote(6, 6, 8), false}, // it may have voted in that term
		{vote(7, 6, 8), true},
		{vote(7, 6, 7), false}, // lacks what c has
		{vote(7, 4, 99), false},
		{vote(5, 4, 5), true}, // raft refuses it, and tells the term: who stands learns it
	} {
		if got := k.mayVote(c.m); got != c.want {
			t.Errorf("%v: %v", c.m, got)
		}
	}
	if k.maySend(vote(7, 4, 5)) {
		t.Error("it asks for votes with a log that lacks what c has")
	}
	// Guards against a keeper that waits for good for the end of a log that went with its folder.
	k.lastHeard[3] = k.clock.Now()
	back := Announcement{Name: "c", ID: 33, ParamsHash: hash}
	if k.HandleAnnouncement(back); !k.minLogEnd.before(logEnd{6, 9}) || k.minLogEnd.before(logEnd{6, 8}) {
		t.Errorf("bound by %v while c was heard of a moment ago", k.minLogEnd)
	}
	delete(k.lastHeard, 3)
	if k.HandleAnnouncement(back); k.minLogEnd != (logEnd{4, 5}) {
		t.Errorf("bound by %v with c's folder lost", k.minLogEnd)
	}
}

// With too few others it waits, and then goes on by its folder: one dead keeper does not stop another's restart.
func TestStartWithTooFewOthers(t *testing.T) {
	k := started(t)
	if k.startCheckDone() {
		t.Error("it does not wait")
	}
	k.startCheck.deadline = k.clock.Now()
	if !k.startCheckDone() || !k.mayVote(vote(5, 4, 5)) {
		t.Error("it waits for ever")
	}
}

// Guards against a keeper that lags behind a change of folders and refuses the new one's word: a folder that it does not
// know is heard, one that was replaced is not.
func TestUnknownFolderIsHeard(t *testing.T) {
	k := started(t)
	k.startCheck = nil
	from, term, commit := uint64(99), uint64(7), uint64(0)
	m := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: &from, To: &k.store.identity.ID, Term: &term, Commit: &commit}
	if err := k.HandleMessages("b", []*raftpb.Message{m}); err != nil || k.node.BasicStatus().Lead != from {
		t.Errorf("a folder that is not known yet: %v, leader %d", err, k.node.BasicStatus().Lead)
	}
	if k.voterName(from) != "b" {
		t.Error("it can't be answered")
	}
	k.ledger.ReplacedVoters = []uint64{from}
	if err := k.HandleMessages("b", []*raftpb.Message{m}); err == nil || !strings.Contains(err.Error(), "was replaced") {
		t.Errorf("a folder that was replaced: %v", err)
	}
}
