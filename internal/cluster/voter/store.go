package voter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"iter"
	"runtime/debug"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"github.com/fxamacker/cbor/v2"
)

// The data directory of a voter holds one file, crew.db, a bbolt database. Each value consists of a CRC-32C (Castagnoli, big endian)
// of key and content, and the content:
//
//	bucket meta   "identity"  CBOR of Identity
//	bucket raft   "hard"      raftpb.HardState: term, vote, commit
//	              "snapshot"  raftpb.Snapshot; its data is CBOR of the ledger
//	              "last"      index of the log's last entry, 8 bytes big endian
//	bucket log    index, 8 bytes big endian: raftpb.Entry
//
// The checksums detect damaged values; "last" and the check of the buckets detect missing ones.
//
// Every transaction is synced before any message that relies on it is sent. If the last transaction was torn, bbolt detects it
// by the checksum of its two meta pages and continues from the one before.
const (
	fileName    = "crew.db"
	storeFormat = 1
	lockTimeout = 500 * time.Millisecond // how long to wait if another process has locked the file

	bucketMeta, bucketRaft, bucketLog = "meta", "raft", "log"
	keyIdentity, keyHard, keySnapshot = "identity", "hard", "snapshot"
	keyLast                           = "last"
)

var (
	buckets    = []string{bucketMeta, bucketRaft, bucketLog}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Identity says to which voter of which cluster a data directory belongs.
type Identity struct {
	Format  int    `cbor:"1,keyasint"`
	Cluster string `cbor:"2,keyasint"`
	Name    string `cbor:"3,keyasint"`
	// ID is drawn at random when the data directory is created: a voter that has lost its directory must not come back under the old
	// id, because it may have voted under it.
	ID uint64 `cbor:"4,keyasint"`
	// FormingSet holds the ids, by name, of the voters that formed the cluster. Once saved it does not change.
	FormingSet map[string]uint64 `cbor:"5,keyasint,omitempty"`
}

// store is a voter's data directory.
type store struct {
	disk     Disk
	path     string // for messages
	identity Identity
	mem      *raft.MemoryStorage // what raft reads; always written after disk
}

// errDamaged means that stored or received data is damaged, and it is unknown which of it is correct. It prevents a start and stops a
// running voter.
var errDamaged = errors.New("damaged")

// damagedRemedy ends the error message about a data directory that can't be used.
const damagedRemedy = "end this process, move the folder away and start again: the keeper comes back empty, under a new id"

// Disk stores a voter's values in buckets: a bbolt file in a process, a model in the simulation. When Update returns nil, everything
// that its function has put is durable; after an error it is unknown what is.
type Disk interface {
	Update(do func(Tx) error) error
	View(do func(Tx) error) error
	Close() error
}

// Tx is a transaction on a Disk. The values it returns are valid only within it and must not be changed.
type Tx interface {
	Get(bucket, key string) []byte // nil if there is none
	Put(bucket, key string, value []byte) error
	Delete(bucket, key string) error
	// From iterates over a bucket's values in the order of their keys, starting at key. Nothing may be written meanwhile.
	From(bucket, key string) iter.Seq2[string, []byte]
}

// newStore loads what a disk holds, or initializes an empty one. newID returns the id of a new data directory.
func newStore(disk Disk, path, cluster, name string, newID func() uint64) (*store, error) {
	s := &store{disk: disk, path: path, mem: raft.NewMemoryStorage()}
	if err := recoverPanics(func() error { return s.load(cluster, name, newID) }); err != nil {
		return nil, fmt.Errorf("%s: %w; %s", path, err, damagedRemedy)
	}
	return s, nil
}

// recoverPanics turns panics into errors: bbolt panics on impossible pages, and reading a truncated file that is mapped faults.
func recoverPanics(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	return do()
}

func (s *store) load(cluster, name string, newID func() uint64) error {
	err := s.disk.Update(func(tx Tx) error {
		content, err := get(tx, bucketMeta, keyIdentity)
		if err != nil {
			return err
		}
		if content == nil {
			// Guards against a new id next to the votes and entries of an old one whose identity was lost.
			if !hasNoRaftData(tx) {
				return fmt.Errorf("%w: votes or entries, and no identity that says whose they are", errDamaged)
			}
			s.identity = Identity{Format: storeFormat, Cluster: cluster, Name: name, ID: newID()}
			return s.putIdentity(tx)
		}
		if err := cbor.Unmarshal(content, &s.identity); err != nil {
			return fmt.Errorf("%w: identity: %w", errDamaged, err)
		}
		switch {
		case s.identity.Format != storeFormat:
			return fmt.Errorf("of format %d; this build reads %d", s.identity.Format, storeFormat)
		case s.identity.Cluster != cluster || s.identity.Name != name:
			return fmt.Errorf("belongs to %q of the crew %q, not to %q of %q", s.identity.Name, s.identity.Cluster, name, cluster)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return s.disk.View(s.loadRaft)
}

// putIdentity writes the identity in a transaction.
func (s *store) putIdentity(tx Tx) error {
	encoded, err := cbor.Marshal(s.identity)
	if err != nil {
		return err
	}
	return put(tx, bucketMeta, keyIdentity, encoded)
}

// loadRaft loads the snapshot, term, vote and log into mem, from which raft reads them.
func (s *store) loadRaft(tx Tx) error {
	content, err := get(tx, bucketRaft, keySnapshot)
	if err != nil {
		return err
	}
	snap := &raftpb.Snapshot{}
	if content != nil { // without a snapshot the cluster isn't formed yet, or this data directory is new in it
		if err := proto.Unmarshal(content, snap); err != nil {
			return fmt.Errorf("%w: snapshot: %w", errDamaged, err)
		}
		if err := s.mem.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	hasSnap := content != nil
	if content, err = get(tx, bucketRaft, keyHard); err != nil {
		return err
	}
	if content == nil {
		if hasSnap || !hasNoRaftData(tx) {
			return fmt.Errorf("%w: entries without term and vote", errDamaged)
		}
		return nil
	}
	hard := &raftpb.HardState{}
	if err := proto.Unmarshal(content, hard); err != nil {
		return fmt.Errorf("%w: term and vote: %w", errDamaged, err)
	}
	// The commit index is not always synced, so the snapshot may be ahead of it.
	if index := snap.GetMetadata().GetIndex(); hard.GetCommit() < index {
		hard.Commit = &index
	}
	if err := s.mem.SetHardState(hard); err != nil {
		return err
	}
	next := snap.GetMetadata().GetIndex() + 1
	var entries []*raftpb.Entry
	for key, value := range tx.From(bucketLog, indexKey(next)) {
		content, err := verifyValue(key, value)
		if err != nil {
			return err
		}
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(content, e); err != nil || e.GetIndex() != next {
			return fmt.Errorf("%w: entry %d of the log", errDamaged, next)
		}
		entries = append(entries, e)
		next++
	}
	if hard.GetCommit() >= next {
		return fmt.Errorf("%w: %d entries are committed, and the log here ends at entry %d", errDamaged, hard.GetCommit(), next-1)
	}
	if content, err = get(tx, bucketRaft, keyLast); err != nil {
		return err
	}
	// A voter that is new in an existing cluster may have learned of a term and of nothing else yet.
	if newcomer := content == nil && next == 1; !newcomer && (len(content) != 8 || binary.BigEndian.Uint64(content) != next-1) {
		return fmt.Errorf("%w: the log ends at entry %d, which is not the last entry that was written", errDamaged, next-1)
	}
	return s.mem.Append(entries)
}

// hasNoRaftData reports whether a disk holds nothing of raft: no snapshot, term, vote or entries.
func hasNoRaftData(tx Tx) bool {
	for _, bucket := range []string{bucketRaft, bucketLog} {
		for range tx.From(bucket, "") {
			return false
		}
	}
	return true
}

// saveSet saves the ids of the voters that form the cluster.
func (s *store) saveSet(set map[string]uint64) error {
	s.identity.FormingSet = set
	return s.disk.Update(s.putIdentity)
}

// save makes durable what raft wants saved before its messages are sent, and then lets raft read it. If sync is false, only the commit
// index has changed, which a restarted voter learns from the others.
func (s *store) save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot, sync bool) error {
	hasSnap := !raft.IsEmptySnap(snap)
	if !sync && len(entries) == 0 && !hasSnap {
		return s.mem.SetHardState(hard)
	}
	err := s.disk.Update(func(tx Tx) error {
		last := uint64(0)
		if hasSnap { // it replaces the whole log
			if err := putProto(tx, bucketRaft, keySnapshot, snap); err != nil {
				return err
			}
			if err := deleteEntries(tx, 0, ^uint64(0)); err != nil {
				return err
			}
			last = snap.GetMetadata().GetIndex()
		}
		if !raft.IsEmptyHardState(hard) {
			if err := putProto(tx, bucketRaft, keyHard, hard); err != nil {
				return err
			}
		}
		if len(entries) > 0 { // entries after the new ones are from an older term
			last = entries[len(entries)-1].GetIndex()
			if err := deleteEntries(tx, last+1, ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if err := putProto(tx, bucketLog, indexKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		if last == 0 {
			return nil
		}
		return put(tx, bucketRaft, keyLast, []byte(indexKey(last)))
	})
	if err != nil {
		return err
	}
	if hasSnap {
		if err := s.mem.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if !raft.IsEmptyHardState(hard) {
		if err := s.mem.SetHardState(hard); err != nil {
			return err
		}
	}
	return s.mem.Append(entries)
}

// compact replaces the log up to an index by a snapshot. The last keep of these entries stay in memory for followers that lag.
func (s *store) compact(index uint64, conf *raftpb.ConfState, ledger []byte, keep uint64) error {
	snap, err := s.mem.CreateSnapshot(index, conf, ledger)
	if err != nil {
		return err
	}
	err = s.disk.Update(func(tx Tx) error {
		if err := putProto(tx, bucketRaft, keySnapshot, snap); err != nil {
			return err
		}
		return deleteEntries(tx, 0, index+1)
	})
	if err != nil || index <= keep {
		return err
	}
	if err := s.mem.Compact(index - keep); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// deleteEntries deletes the log entries from index from up to, but not including, index to.
func deleteEntries(tx Tx, from, to uint64) error {
	var keys []string
	for key := range tx.From(bucketLog, indexKey(from)) {
		if key >= indexKey(to) {
			break
		}
		keys = append(keys, key)
	}
	for _, key := range keys {
		if err := tx.Delete(bucketLog, key); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) string { return string(binary.BigEndian.AppendUint64(nil, index)) }

func putProto(tx Tx, bucket, key string, m proto.Message) error {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(tx, bucket, key, encoded)
}

// put stores a value together with its checksum.
func put(tx Tx, bucket, key string, content []byte) error {
	sealed := binary.BigEndian.AppendUint32(nil, checksum(key, content))
	return tx.Put(bucket, key, append(sealed, content...))
}

// get returns a value, nil if there is none.
func get(tx Tx, bucket, key string) ([]byte, error) {
	value := tx.Get(bucket, key)
	if value == nil {
		return nil, nil
	}
	return verifyValue(key, value)
}

func checksum(key string, content []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte(key), castagnoli), castagnoli, content)
}

// verifyValue checks a stored value's checksum and returns a copy of its content.
func verifyValue(key string, value []byte) ([]byte, error) {
	if len(value) < 4 || binary.BigEndian.Uint32(value) != checksum(key, value[4:]) {
		return nil, fmt.Errorf("%w: the checksum of %q does not match its content", errDamaged, key)
	}
	return append([]byte(nil), value[4:]...), nil
}

func (s *store) close() error { return s.disk.Close() }
