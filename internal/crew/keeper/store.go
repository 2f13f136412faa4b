package keeper

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bbolterr "go.etcd.io/bbolt/errors"
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
//	bucket log    index, 8 bytes big endian: raftpb.Entry
//
// Every transaction is synced before anything that rests on it is said. bbolt finds a torn
// last transaction by the checksum of its two meta pages and goes on from the one before.
const (
	fileName    = "crew.db"
	storeFormat = 1
	lockTime    = 500 * time.Millisecond // another process has the folder
)

var (
	bucketMeta, bucketRaft, bucketLog = []byte("meta"), []byte("raft"), []byte("log")
	keyIdentity, keyHard, keySnapshot = []byte("identity"), []byte("hard"), []byte("snapshot")
	castagnoli                        = crc32.MakeTable(crc32.Castagnoli)
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
	db   *bbolt.DB
	path string
	who  Identity
	mem  *raft.MemoryStorage // what raft reads; always written after db
}

// errDamaged ends the start: which of the data is true can't be known.
var errDamaged = errors.New("damaged")

// openStore opens or makes a folder. fresh draws the id of a new one.
func openStore(dir, crewName, name string, fresh func() uint64) (*store, error) {
	path := filepath.Join(dir, fileName)
	remedy := "end this process, move the folder away and start again: the keeper comes back empty, under a new id"
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("crew.data: %w", err)
	}
	db, err := openDB(path)
	switch {
	case errors.Is(err, bbolterr.ErrTimeout):
		return nil, fmt.Errorf("%s: another process uses it; end that first, or give this one a folder of its own", path)
	case err != nil:
		return nil, fmt.Errorf("%s: %w: %w; %s", path, errDamaged, err, remedy)
	}
	s := &store{db: db, path: path, mem: raft.NewMemoryStorage()}
	if err = guard(func() error { return s.load(crewName, name, fresh) }); err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w; %s", path, err, remedy)
	}
	return s, syncFolder(dir)
}

func openDB(path string) (db *bbolt.DB, err error) {
	err = guard(func() (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTime})
		return err
	})
	return db, err
}

// guard turns bbolt's panics over pages that can't be, and faults of memory that a cut file no longer backs, into errors.
func guard(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	return do()
}

// syncFolder makes the names in a folder durable.
func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (s *store) load(crewName, name string, fresh func() uint64) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{bucketMeta, bucketRaft, bucketLog} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		text, err := get(tx, bucketMeta, keyIdentity)
		if err != nil {
			return err
		}
		if text == nil {
			s.who = Identity{Format: storeFormat, Crew: crewName, Name: name, ID: fresh()}
			return s.putIdentity(tx)
		}
		if err := cbor.Unmarshal(text, &s.who); err != nil {
			return fmt.Errorf("%w: identity: %w", errDamaged, err)
		}
		switch {
		case s.who.Format != storeFormat:
			return fmt.Errorf("of format %d; this build reads %d", s.who.Format, storeFormat)
		case s.who.Crew != crewName || s.who.Name != name:
			return fmt.Errorf("belongs to %q of the crew %q, not to %q of %q", s.who.Name, s.who.Crew, name, crewName)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return s.db.View(s.loadRaft)
}

func (s *store) putIdentity(tx *bbolt.Tx) error {
	text, err := cbor.Marshal(s.who)
	if err != nil {
		return err
	}
	return put(tx, bucketMeta, keyIdentity, text)
}

// loadRaft fills what raft reads.
func (s *store) loadRaft(tx *bbolt.Tx) error {
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
		if hasSnap {
			return fmt.Errorf("%w: a snapshot without term and vote", errDamaged)
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
	c := tx.Bucket(bucketLog).Cursor()
	for key, value := c.Seek(indexKey(next)); key != nil; key, value = c.Next() {
		text, err := unseal(key, value)
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
	return s.mem.Append(entries)
}

// form books the set by which the crew is formed.
func (s *store) form(set map[string]uint64) error {
	s.who.Set = set
	return s.db.Update(s.putIdentity)
}

// save makes durable what raft wants saved before its messages go, and then lets raft read it. Without sync only how far
// the log is agreed on has changed, which a restart learns anew.
func (s *store) save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot, sync bool) error {
	hasSnap := !raft.IsEmptySnap(snap)
	if !sync && len(entries) == 0 && !hasSnap {
		return s.mem.SetHardState(hard)
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		log := tx.Bucket(bucketLog)
		if hasSnap {
			if err := putProto(tx, bucketRaft, keySnapshot, snap); err != nil {
				return err
			}
			if err := cut(log, 0, snap.GetMetadata().GetIndex()+1); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(hard) {
			if err := putProto(tx, bucketRaft, keyHard, hard); err != nil {
				return err
			}
		}
		if len(entries) > 0 { // what a later leader overwrites goes
			if err := cut(log, entries[len(entries)-1].GetIndex()+1, ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if err := putProto(tx, bucketLog, indexKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
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
	err = s.db.Update(func(tx *bbolt.Tx) error {
		if err := putProto(tx, bucketRaft, keySnapshot, snap); err != nil {
			return err
		}
		return cut(tx.Bucket(bucketLog), 0, index+1)
	})
	if err != nil || index <= keep {
		return err
	}
	if err := s.mem.Compact(index - keep); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// cut deletes the entries from one index up to, but not including, another.
func cut(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for key, _ := c.Seek(indexKey(from)); key != nil && binary.BigEndian.Uint64(key) < to; key, _ = c.Seek(indexKey(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func putProto(tx *bbolt.Tx, bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(tx, bucket, key, text)
}

func put(tx *bbolt.Tx, bucket, key, text []byte) error {
	sealed := binary.BigEndian.AppendUint32(nil, sumOf(key, text))
	return tx.Bucket(bucket).Put(key, append(sealed, text...))
}

// get returns a value, nil where there is none.
func get(tx *bbolt.Tx, bucket, key []byte) ([]byte, error) {
	value := tx.Bucket(bucket).Get(key)
	if value == nil {
		return nil, nil
	}
	return unseal(key, value)
}

func sumOf(key, text []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, text)
}

func unseal(key, value []byte) ([]byte, error) {
	if len(value) < 4 || binary.BigEndian.Uint32(value) != sumOf(key, value[4:]) {
		return nil, fmt.Errorf("%w: the checksum of %q does not fit", errDamaged, key)
	}
	return append([]byte(nil), value[4:]...), nil
}

func (s *store) close() error { return s.db.Close() }
