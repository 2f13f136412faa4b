package voter

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"heathgap/internal/cluster"
)

func openStore(t *testing.T, dir, cluster, name string) (*store, error) {
	t.Helper()
	disk, path, err := openDisk(dir)
	if err != nil {
		return nil, err
	}
	s, err := newStore(disk, path, cluster, name, NewID)
	if err != nil {
		disk.Close()
	}
	return s, err
}

// writeEntries writes n entries after the initial snapshot of a cluster, each with its own sync, and calls after for each.
func writeEntries(t *testing.T, s *store, n uint64, after func(i uint64)) {
	t.Helper()
	core := &Core{conf: Conf{Name: s.identity.Name}, store: s, ledger: cluster.NewLedger()}
	if err := core.bootstrap(map[string]uint64{s.identity.Name: s.identity.ID}); err != nil {
		t.Fatal(err)
	}
	for i := uint64(2); i < n+2; i++ {
		term := i / 10
		if err := s.save(&raftpb.HardState{Term: &term, Vote: &s.identity.ID, Commit: &i},
			[]*raftpb.Entry{{Index: &i, Term: &term, Data: bytes.Repeat([]byte{byte(i)}, 100)}}, nil, true); err != nil {
			t.Fatal(err)
		}
		if after != nil {
			after(i)
		}
	}
}

// raftState returns as a text everything with which raft would continue.
func raftState(t *testing.T, s *store) string {
	t.Helper()
	hard, conf, err := s.mem.InitialState()
	first, _ := s.mem.FirstIndex()
	last, _ := s.mem.LastIndex()
	text := fmt.Sprint(s.identity, hard.GetTerm(), hard.GetVote(), hard.GetCommit(), conf.GetVoters(), first, last, err)
	if last >= first {
		entries, err := s.mem.Entries(first, last+1, 1<<30)
		for _, e := range entries {
			text += fmt.Sprint(e.GetIndex(), e.GetTerm(), e.GetData())
		}
		text += fmt.Sprint(err)
	}
	return text
}

// What was saved before a process died is there afterwards, at every single step.
func TestStoreKeepsEachSave(t *testing.T) {
	dir, copies := t.TempDir(), t.TempDir()
	s, err := openStore(t, dir, "c", "k")
	if err != nil {
		t.Fatal(err)
	}
	want := map[uint64]string{}
	writeEntries(t, s, 60, func(i uint64) {
		want[i] = raftState(t, s)
		if err := os.CopyFS(filepath.Join(copies, fmt.Sprint(i)), os.DirFS(dir)); err != nil {
			t.Fatal(err)
		}
		if i == 40 {
			conf := &raftpb.ConfState{Voters: []uint64{s.identity.ID}}
			if err := s.compact(i, conf, []byte{0xa0}, 5); err != nil {
				t.Fatal(err)
			}
		}
	})
	s.close()
	for i, wantState := range want {
		reopened, err := openStore(t, filepath.Join(copies, fmt.Sprint(i)), "c", "k")
		if err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		// Entries that are kept in memory for followers that lag are not on disk once a snapshot covers them.
		if got := raftState(t, reopened); got != wantState && i <= 40 {
			t.Errorf("step %d:\n%s\nwant\n%s", i, got, wantState)
		}
		if last, _ := reopened.mem.LastIndex(); last != i {
			t.Errorf("step %d: the log ends at %d", i, last)
		}
		reopened.close()
	}
}

// A data directory that belongs to another voter, is damaged or is truncated is refused, or loads a state that it really had.
func TestStoreRefusesDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	s, err := openStore(t, dir, "c", "k")
	if err != nil {
		t.Fatal(err)
	}
	before := map[string]bool{}
	writeEntries(t, s, 20, func(uint64) { before[raftState(t, s)] = true })
	good := raftState(t, s)
	if _, err := openStore(t, dir, "c", "k"); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("the same folder twice: %v", err)
	}
	s.close()
	for _, owner := range [][2]string{{"c", "other"}, {"other", "k"}} {
		if _, err := openStore(t, dir, owner[0], owner[1]); err == nil || !strings.Contains(err.Error(), "belongs to") {
			t.Errorf("%v: %v", owner, err)
		}
	}
	text, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	refused, same := 0, 0
	try := func(what string, text []byte) {
		t.Helper()
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, fileName), text, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := openStore(t, dir, "c", "k")
		if err != nil {
			refused++
			if !strings.Contains(err.Error(), "move the folder away") {
				t.Errorf("%s: %v does not say what to do", what, err)
			}
			return
		}
		defer s.close()
		if got := raftState(t, s); got != good && !before[got] {
			t.Errorf("%s: loaded as a state that it never had:\n%s", what, got)
		}
		same++
	}
	for at := 0; at < len(text); at += 41 {
		torn := bytes.Clone(text)
		torn[at] ^= 0x40
		try(fmt.Sprintf("byte %d", at), torn)
	}
	for size := 4096; size < len(text); size += 4096 {
		try(fmt.Sprintf("cut at %d", size), text[:size])
	}
	if refused < 20 || same < 20 {
		t.Errorf("%d refused, %d loaded: too few of one kind, so it is not tested", refused, same)
	}
}

// Guards against intact values in a data directory that lacks others: a torn page head hid the identity, and the voter
// came back under a new id with the votes of the old one.
func TestStoreDetectsMissingValues(t *testing.T) {
	for _, missing := range [][2]string{{bucketMeta, keyIdentity}, {bucketRaft, keyHard}, {bucketRaft, keyLast}, {bucketRaft, keySnapshot},
		{bucketLog, indexKey(6)}, {bucketLog, indexKey(3)}} {
		dir := t.TempDir()
		s, err := openStore(t, dir, "c", "k")
		if err != nil {
			t.Fatal(err)
		}
		writeEntries(t, s, 4, nil)
		term, last := uint64(1), uint64(6) // written, but not committed yet
		if err := s.save(nil, []*raftpb.Entry{{Index: &last, Term: &term}}, nil, true); err != nil {
			t.Fatal(err)
		}
		if err := s.disk.Update(func(tx Tx) error { return tx.Delete(missing[0], missing[1]) }); err != nil {
			t.Fatal(err)
		}
		s.close()
		if _, err := openStore(t, dir, "c", "k"); !errors.Is(err, errDamaged) {
			t.Errorf("%q: %v", missing, err)
		}
	}
}

// Guards against refusing the data directory of a new voter that has learned of a term, and has neither snapshot nor log yet.
func TestStoreOfNewVoter(t *testing.T) {
	dir := t.TempDir()
	s, err := openStore(t, dir, "c", "k")
	if err != nil {
		t.Fatal(err)
	}
	term := uint64(7)
	if err := s.save(&raftpb.HardState{Term: &term}, nil, nil, true); err != nil {
		t.Fatal(err)
	}
	s.close()
	if s, err = openStore(t, dir, "c", "k"); err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if hard, _, err := s.mem.InitialState(); err != nil || hard.GetTerm() != term {
		t.Errorf("%v, %v", hard, err)
	}
}

// The format of a later build is reported as such, not as damage.
func TestStoreOfLaterFormat(t *testing.T) {
	dir := t.TempDir()
	s, err := openStore(t, dir, "c", "k")
	if err != nil {
		t.Fatal(err)
	}
	s.identity.Format = storeFormat + 1
	if err := s.disk.Update(s.putIdentity); err != nil {
		t.Fatal(err)
	}
	s.close()
	if _, err := openStore(t, dir, "c", "k"); err == nil || !strings.Contains(err.Error(), "of format 2") || errors.Is(err, errDamaged) {
		t.Error(err)
	}
}

// Guards against a voter that can't start any more: its snapshot was ahead of the last synced commit index, which raft does not
// accept.
func TestSnapshotBeyondSyncedCommit(t *testing.T) {
	dir := t.TempDir()
	s, err := openStore(t, dir, "c", "k")
	if err != nil {
		t.Fatal(err)
	}
	writeEntries(t, s, 5, nil)
	term, commit, last := uint64(1), uint64(6), uint64(12)
	for i := commit + 1; i <= last; i++ { // committed, but only the entries are synced
		if err := s.save(&raftpb.HardState{Term: &term, Commit: &commit}, []*raftpb.Entry{{Index: &i, Term: &term}}, nil, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.save(&raftpb.HardState{Term: &term, Commit: &last}, nil, nil, false); err != nil {
		t.Fatal(err)
	}
	ledger, err := cbor.Marshal(cluster.NewLedger())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.compact(10, &raftpb.ConfState{Voters: []uint64{s.identity.ID}}, ledger, 2); err != nil {
		t.Fatal(err)
	}
	s.close()
	if s, err = openStore(t, dir, "c", "k"); err != nil {
		t.Fatal(err)
	}
	defer s.close()
	core := &Core{conf: Conf{Name: "k"}, store: s, ledger: cluster.NewLedger()}
	if err := core.startRaft(); err != nil || core.applied != 10 {
		t.Errorf("applied %d, %v", core.applied, err)
	}
}
