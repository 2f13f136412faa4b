package clustersim

import (
	"errors"
	"iter"
	"maps"
	"slices"
	"strings"

	"heathgap/internal/cluster/voter"
)

// table holds values in the order of their keys.
type table struct {
	keys   []string
	values map[string][]byte
}

func (t *table) put(key string, value []byte) {
	if _, found := t.values[key]; !found {
		i, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, i, key)
	}
	t.values[key] = value
}

func (t *table) remove(key string) {
	if i, found := slices.BinarySearch(t.keys, key); found {
		t.keys = slices.Delete(t.keys, i, i+1)
		delete(t.values, key)
	}
}

// DiskFault is what befalls one write of a disk.
type DiskFault string

// The troubles.
const (
	ErrorBefore DiskFault = "an error, and nothing is written"
	ErrorAfter  DiskFault = "an error, and all is written"
	KillBefore  DiskFault = "the process dies, and nothing is written"
	KillAfter   DiskFault = "the process dies, and all is written"
)

var diskFaults = []DiskFault{ErrorBefore, ErrorAfter, KillBefore, KillAfter}

// errDisk is what a disk that fails says.
var errDisk = errors.New("no space left on device")

// disk is one folder: what is written outlives its process.
type disk struct {
	buckets  map[string]*table
	writes   int       // so far
	faultAt  int       // the number of the write that trouble befalls; 0 for none
	fault    DiskFault // that
	faultHit bool      // it has come
	killed   bool      // its process died of that just now
	// acksEarly plants a bug: a yes is given before the write is durable, and a kill takes the last ones away.
	acksEarly bool
	unsynced  []func()
}

var _ voter.Disk = (*disk)(nil)

func newDisk() *disk { return &disk{buckets: map[string]*table{}} }

// copy returns a folder with the same content.
func (d *disk) copy() *disk {
	c := newDisk()
	for name, t := range d.buckets {
		c.buckets[name] = &table{slices.Clone(t.keys), maps.Clone(t.values)}
	}
	return c
}

func (d *disk) tableFor(bucket string) *table {
	if d.buckets[bucket] == nil {
		d.buckets[bucket] = &table{values: map[string][]byte{}}
	}
	return d.buckets[bucket]
}

// View is keeper.Disk's.
func (d *disk) View(do func(voter.Tx) error) error { return do(&transaction{disk: d}) }

// maxUnsynced writes are lost with a disk that lies.
const maxUnsynced = 3

// Update is keeper.Disk's.
func (d *disk) Update(do func(voter.Tx) error) error {
	tx := &transaction{disk: d}
	if err := do(tx); err != nil {
		tx.rollback()
		return err
	}
	d.writes++
	fault := DiskFault("")
	if d.writes == d.faultAt {
		fault, d.faultHit = d.fault, true
	}
	switch fault {
	case ErrorBefore:
		tx.rollback()
		return errDisk
	case ErrorAfter:
		return errDisk
	case KillBefore:
		tx.rollback()
		d.killed = true
		panic("the process died before a write")
	case KillAfter:
		d.killed = true
		panic("the process died after a write")
	}
	if d.acksEarly {
		if d.unsynced = append(d.unsynced, tx.rollback); len(d.unsynced) > maxUnsynced {
			d.unsynced = d.unsynced[1:]
		}
	}
	return nil
}

// Close is keeper.Disk's.
func (d *disk) Close() error { return nil }

// loseUnsynced takes away what a disk that lies had said yes to.
func (d *disk) loseUnsynced() {
	for _, rollback := range slices.Backward(d.unsynced) {
		rollback()
	}
	d.unsynced = nil
}

// transaction is a keeper.Tx; it knows its way back.
type transaction struct {
	disk *disk
	undo []func()
}

func (t *transaction) rollback() {
	for _, undo := range slices.Backward(t.undo) {
		undo()
	}
	t.undo = nil
}

func (t *transaction) recordUndo(bucket, key string) {
	old, existed := t.disk.tableFor(bucket).values[key]
	t.undo = append(t.undo, func() {
		if existed {
			t.disk.tableFor(bucket).put(key, old)
		} else {
			t.disk.tableFor(bucket).remove(key)
		}
	})
}

// Get is keeper.Tx's.
func (t *transaction) Get(bucket, key string) []byte { return t.disk.tableFor(bucket).values[key] }

// Put is keeper.Tx's.
func (t *transaction) Put(bucket, key string, value []byte) error {
	t.recordUndo(bucket, key)
	t.disk.tableFor(bucket).put(key, value)
	return nil
}

// Delete is keeper.Tx's.
func (t *transaction) Delete(bucket, key string) error {
	t.recordUndo(bucket, key)
	t.disk.tableFor(bucket).remove(key)
	return nil
}

// From is keeper.Tx's.
func (t *transaction) From(bucket, key string) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		b := t.disk.tableFor(bucket)
		from, _ := slices.BinarySearchFunc(b.keys, key, strings.Compare)
		for _, k := range b.keys[from:] {
			if !yield(k, b.values[k]) {
				return
			}
		}
	}
}
