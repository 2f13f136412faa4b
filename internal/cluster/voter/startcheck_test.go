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

// startedVoter returns one of three voters that has just started with a data directory whose log ends at entry 5 of term 4; it has not
// voted in that term.
func startedVoter(t *testing.T) *Core {
	t.Helper()
	opened, err := Open(Conf{Cluster: "c", Name: "a", Voters: map[string]string{"a": "x:1", "b": "x:2", "c": "x:3"},
		Params: cluster.Params{Lease: time.Second}, DataDir: t.TempDir()}, env.Real{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	core := opened.core
	t.Cleanup(func() { core.store.close() })
	if err := core.bootstrap(map[string]uint64{"a": core.store.identity.ID, "b": 2, "c": 3}); err != nil {
		t.Fatal(err)
	}
	term := uint64(4)
	for i := uint64(2); i <= 5; i++ {
		if err := core.store.save(&raftpb.HardState{Term: &term, Commit: &i}, []*raftpb.Entry{{Index: &i, Term: &term}}, nil, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := core.Start(); err != nil || core.startCheck == nil {
		t.Fatalf("%v, start check %v", err, core.startCheck)
	}
	return core
}

func voteRequest(term, logTerm, index uint64) *raftpb.Message {
	from := uint64(2)
	return &raftpb.Message{Type: raftpb.MsgVote.Enum(), From: &from, Term: &term, LogTerm: &logTerm, Index: &index}
}

// Guards against a data directory that was set back to an earlier copy: in one of the lab's storms its voter voted a second time, and
// one term had two leaders.
func TestSetBackDataDirIsDetected(t *testing.T) {
	for name, seen := range map[string]observedProgress{"it held more": {Term: 4, Index: 9}, "it spoke in a later term": {Term: 5, Index: 5}} {
		core := startedVoter(t)
		core.HandleAnnouncement(Announcement{Name: "b", ID: 2, ParamsHash: core.conf.Params.Hash(), Observed: map[uint64]observedProgress{core.store.identity.ID: seen}})
		if core.failure == nil || !strings.Contains(core.failure.Error(), "set back to an earlier copy") {
			t.Errorf("%s: %v", name, core.failure)
		}
	}
	for name, seen := range map[string]observedProgress{"it is as it was": {Term: 4, Index: 5}, "what it held more of was overwritten since": {Term: 3, Index: 9}} {
		core := startedVoter(t)
		core.HandleAnnouncement(Announcement{Name: "b", ID: 2, ParamsHash: core.conf.Params.Hash(), Observed: map[uint64]observedProgress{core.store.identity.ID: seen}})
		if core.failure != nil {
			t.Errorf("%s: %v", name, core.failure)
		}
	}
}

// If no answer proves that the directory was set back, what the others report still restricts the voter: it does not vote in a term that
// they know of, nor for a candidate whose log lacks what they have, and does not stand for election while its own log lacks it.
func TestStartedVoterKeepsToReportedLogEnds(t *testing.T) {
	core := startedVoter(t)
	hash := core.conf.Params.Hash()
	core.HandleAnnouncement(Announcement{Name: "b", ID: 2, ParamsHash: hash, Term: 6, End: logEnd{4, 5}})
	if core.startCheckDone() {
		t.Fatal("the start check ends with one of two answers: the other voter may be the one that has this one's vote")
	}
	ask := voteRequest(7, 6, 8)
	ask.To = &core.store.identity.ID
	if err := core.HandleMessages("b", []*raftpb.Message{ask}); err != nil || core.node.BasicStatus().HardState.GetTerm() != 4 {
		t.Errorf("a candidate's request is processed during the start check: %v", err)
	}
	core.HandleAnnouncement(Announcement{Name: "c", ID: 3, ParamsHash: hash, Term: 5, End: logEnd{6, 8}})
	if !core.startCheckDone() {
		t.Fatal("both others have answered and the start check goes on")
	}
	if term := core.node.BasicStatus().HardState.GetTerm(); term != 6 {
		t.Errorf("term %d: messages of a leader of term 5 would be accepted", term)
	}
	for _, c := range []struct {
		m    *raftpb.Message
		want bool
	}{
		{voteRequest(6, 6, 8), false}, // it may have voted in that term
		{voteRequest(7, 6, 8), true},
		{voteRequest(7, 6, 7), false}, // lacks what c has
		{voteRequest(7, 4, 99), false},
		{voteRequest(5, 4, 5), true}, // raft rejects it and answers with the term, from which the candidate learns it
	} {
		if got := core.mayVote(c.m); got != c.want {
			t.Errorf("%v: %v", c.m, got)
		}
	}
	if core.maySend(voteRequest(7, 4, 5)) {
		t.Error("the voter requests votes with a log that lacks what c has")
	}
	// Guards against a voter that waits forever for a log end that was lost with its data directory.
	core.lastHeard[3] = core.clock.Now()
	back := Announcement{Name: "c", ID: 33, ParamsHash: hash}
	if core.HandleAnnouncement(back); !core.minLogEnd.before(logEnd{6, 9}) || core.minLogEnd.before(logEnd{6, 8}) {
		t.Errorf("log end required: %v, while c has sent messages a moment ago", core.minLogEnd)
	}
	delete(core.lastHeard, 3)
	if core.HandleAnnouncement(back); core.minLogEnd != (logEnd{4, 5}) {
		t.Errorf("log end required: %v, with c's data directory lost", core.minLogEnd)
	}
}

// With answers from too few others the voter waits, and then goes on with its data directory: one dead voter must not block another's restart.
func TestStartWithTooFewOthers(t *testing.T) {
	core := startedVoter(t)
	if core.startCheckDone() {
		t.Error("the start check does not wait")
	}
	core.startCheck.deadline = core.clock.Now()
	if !core.startCheckDone() || !core.mayVote(voteRequest(5, 4, 5)) {
		t.Error("the start check does not end at its deadline")
	}
}

// Guards against a voter that lags behind a replacement and refuses the new data directory: messages of a directory that it does not
// know are accepted, those of a replaced one are not.
func TestMessagesOfUnknownDataDirAreAccepted(t *testing.T) {
	core := startedVoter(t)
	core.startCheck = nil
	from, term, commit := uint64(99), uint64(7), uint64(0)
	m := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: &from, To: &core.store.identity.ID, Term: &term, Commit: &commit}
	if err := core.HandleMessages("b", []*raftpb.Message{m}); err != nil || core.node.BasicStatus().Lead != from {
		t.Errorf("a data directory that is not known yet: %v, leader %d", err, core.node.BasicStatus().Lead)
	}
	if core.voterName(from) != "b" {
		t.Error("the name of the unknown data directory's voter is not found")
	}
	core.ledger.ReplacedVoters = []uint64{from}
	if err := core.HandleMessages("b", []*raftpb.Message{m}); err == nil || !strings.Contains(err.Error(), "was replaced") {
		t.Errorf("a data directory that was replaced: %v", err)
	}
}
