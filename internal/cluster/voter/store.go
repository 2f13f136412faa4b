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

// The data folder of a keeper holds one file, crew.db, a bbolt database. Each value is a
// CRC-32C (Castagnoli, big endian) of key and content, and the content:
//
//	bucket meta   "identity"  CBOR of Identity
//	bucket raft   "hard"      raftpb.HardState: term, vote, commit
//	              "snapshot"  raftpb.Snapshot; its data is CBOR of the ledger
//	              "last"      index of the log's last entry, 8 bytes big endian
//	bucket log    index, 8 bytes big endian: raftpb.Entry
//
// Sums find a value that was torn, "last" and the check for buckets find those that are no longer listed.
//
// Every transaction is synced before anything that rests on it is said. bbolt finds a torn
// last transaction by the checksum of its two meta pages and goes on from the one before.
const (
	fileName    = "crew.db"
	storeFormat = 1
	lockTimeout = 500 * time.Millisecond // another process has the folder

	bucketMeta, bucketRaft, bucketLog = "meta", "raft", "log"
	keyIdentity, keyHard, keySnapshot = "identity", "hard", "snapshot"
	keyLast                           = "last"
)

var (
	buckets    = []string{bucketMeta, bucketRaft, bucketLog}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Identity is whose folder it is.
type Identity struct {
	Format int    `cbor:"1,keyasint"`
	Crew   string `cbor:"2,keyasint"`
	Name   string `cbor:"3,keyasint"`
	// ID is drawn when a folder is made: a keeper that has lost its folder does not come back under the old one, under
	// which it may have voted.
	ID uint64 `cbor:"4,keyasint"`
	// Set is by which keepers the crew was formed, ids by names; once it stands here it does not change.
	Set map[string]uint64 `cbor:"5,keyasint,omitempty"`
}

// store is a keeper's folder.
type store struct {
	disk     Disk
	path     string // for people
	identity Identity
	mem      *raft.MemoryStorage // what raft reads; always written after db
}

// errDamaged ends the start: which of the data is true can't be known.
var errDamaged = errors.New("damaged")

// damagedRemedy ends the line of a folder that is refused.
const damagedRemedy = "end this process, move the folder away and start again: the keeper comes back empty, under a new id"

// Disk keeps a keeper's values, in buckets: bbolt's file in a process, a model in the simulation. What the function of
// Update has put is durable, the whole of it, when that returns nil; after an error nobody knows.
type Disk interface {
	Update(do func(Tx) error) error
	View(do func(Tx) error) error
	Close() error
}

// Tx is one transaction on a Disk. What it returns is valid within it, and not to be changed.
type Tx interface {
	Get(bucket, key string) []byte // nil where there is none
	Put(bucket, key string, value []byte) error
	Delete(bucket, key string) error
	// From goes through a bucket's values in the order of their keys, from one key on, while nothing is written.
	From(bucket, key string) iter.Seq2[string, []byte]
}

// newStore reads or begins what a disk holds. fresh draws the id of a new folder.
func newStore(disk Disk, path, cluster, name string, newID func() uint64) (*store, error) {
	s := &store{disk: disk, path: path, mem: raft.NewMemoryStorage()}
	if err := recoverPanics(func() error { return s.load(cluster, name, newID) }); err != nil {
		return nil, fmt.Errorf("%s: %w; %s", path, err, damagedRemedy)
	}
	return s, nil
}

// recoverPanics turns bbolt's panics over pages that can't be, and faults of memory that a cut file no longer backs, into errors.
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
		text, err := get(tx, bucketMeta, keyIdentity)
		if err != nil {
			return err
		}
		if text == nil {
			// Guards against a new id beside the votes and entries of the one that is torn away.
			if !hasNoRaftData(tx) {
				return fmt.Errorf("%w: votes or entries, and nothing says whose", errDamaged)
			}
			s.identity = Identity{Format: storeFormat, Crew: cluster, Name: name, ID: newID()}
			return s.putIdentity(tx)
		}
		if err := cbor.Unmarshal(text, &s.identity); err != nil {
			return fmt.Errorf("%w: identity: %w", errDamaged, err)
		}
		switch {
		case s.identity.Format != storeFormat:
			return fmt.Errorf("of format %d; this build reads %d", s.identity.Format, storeFormat)
		case s.identity.Crew != cluster || s.identity.Name != name:
			return fmt.Errorf("belongs to %q of the crew %q, not to %q of %q", s.identity.Name, s.identity.Crew, name, cluster)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return s.disk.View(s.loadRaft)
}

func (s *store) putIdentity(tx Tx) error {
	text, err := cbor.Marshal(s.identity)
	if err != nil {
		return err
	}
	return put(tx, bucketMeta, keyIdentity, text)
}

// loadRaft fills what raft reads.
func (s *store) loadRaft(tx Tx) error {
	text, err := get(tx, bucketRaft, keySnapshot)
	if err != nil {
		return err
	}
	snap := &raftpb.Snapshot{}
	if text != nil { // none: there is no crew yet, or this folder is new in one
		if err := proto.Unmarshal(text, snap); err != nil {
			return fmt.Errorf("%w: snapshot: %w", errDamaged, err)
		}
		if err := s.mem.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	hasSnap := text != nil
	if text, err = get(tx, bucketRaft, keyHard); err != nil {
		return err
	}
	if text == nil {
		if hasSnap || !hasNoRaftData(tx) {
			return fmt.Errorf("%w: entries without term and vote", errDamaged)
		}
		return nil
	}
	hard := &raftpb.HardState{}
	if err := proto.Unmarshal(text, hard); err != nil {
		return fmt.Errorf("%w: term and vote: %w", errDamaged, err)
	}
	// How far the log is agreed on is not synced by itself: a snapshot says more.
	if index := snap.GetMetadata().GetIndex(); hard.GetCommit() < index {
		hard.Commit = &index
	}
	if err := s.mem.SetHardState(hard); err != nil {
		return err
	}
	next := snap.GetMetadata().GetIndex() + 1
	var entries []*raftpb.Entry
	for key, value := range tx.From(bucketLog, indexKey(next)) {
		text, err := verifyValue(key, value)
		if err != nil {
			return err
		}
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil || e.GetIndex() != next {
			return fmt.Errorf("%w: entry %d of the log", errDamaged, next)
		}
		entries = append(entries, e)
		next++
	}
	if hard.GetCommit() >= next {
		return fmt.Errorf("%w: %d entries are agreed on and %d stand here", errDamaged, hard.GetCommit(), next-1)
	}
	if text, err = get(tx, bucketRaft, keyLast); err != nil {
		return err
	}
	// A newcomer to a crew that stands may have heard of a term, and of nothing else yet.
	if newcomer := text == nil && next == 1; !newcomer && (len(text) != 8 || binary.BigEndian.Uint64(text) != next-1) {
		return fmt.Errorf("%w: the log ends at entry %d, and more was written", errDamaged, next-1)
	}
	return s.mem.Append(entries)
}

// hasNoRaftData tells whether nothing of raft's stands on a disk.
func hasNoRaftData(tx Tx) bool {
	for _, bucket := range []string{bucketRaft, bucketLog} {
		for range tx.From(bucket, "") {
			return false
		}
	}
	return true
}

// saveSet books the set by which the crew is formed.
func (s *store) saveSet(set map[string]uint64) error {
	s.identity.Set = set
	return s.disk.Update(s.putIdentity)
}

// save makes durable what raft wants saved before its messages go, and then lets raft read it. Without sync only how far
// the log is agreed on has changed, which a restart learns anew.
func (s *store) save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot, sync bool) error {
	hasSnap := !raft.IsEmptySnap(snap)
	if !sync && len(entries) == 0 && !hasSnap {
		return s.mem.SetHardState(hard)
	}
	err := s.disk.Update(func(tx Tx) error {
		last := uint64(0)
		if hasSnap { // it takes the place of the whole log, as raft has it
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
		if len(entries) > 0 { // what a later leader overwrites goes
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

// compact puts a snapshot in the place of the log up to an index, of which some entries stay for followers that lag.
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

// deleteEntries deletes the entries from one index up to, but not including, another.
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
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(tx, bucket, key, text)
}

func put(tx Tx, bucket, key string, text []byte) error {
	sealed := binary.BigEndian.AppendUint32(nil, checksum(key, text))
	return tx.Put(bucket, key, append(sealed, text...))
}

// get returns a value, nil where there is none.
func get(tx Tx, bucket, key string) ([]byte, error) {
	value := tx.Get(bucket, key)
	if value == nil {
		return nil, nil
	}
	return verifyValue(key, value)
}

func checksum(key string, text []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte(key), castagnoli), castagnoli, text)
}

func verifyValue(key string, value []byte) ([]byte, error) {
	if len(value) < 4 || binary.BigEndian.Uint32(value) != checksum(key, value[4:]) {
		return nil, fmt.Errorf("%w: the checksum of %q does not fit", errDamaged, key)
	}
	return append([]byte(nil), value[4:]...), nil
}

func (s *store) close() error { return s.disk.Close() }
