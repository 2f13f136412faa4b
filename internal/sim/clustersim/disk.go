package clustersim

import (
	"errors"
	"iter"
	"maps"
	"slices"
	"strings"

	"heathgap/internal/cluster/voter"
)

// table is a bucket of a disk: values sorted by key.
type table struct {
	keys   []string
	values map[string][]byte
}

// put sets the value of a key.
func (t *table) put(key string, value []byte) {
	if _, found := t.values[key]; !found {
		i, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, i, key)
	}
	t.values[key] = value
}

// remove deletes a key, if it exists.
func (t *table) remove(key string) {
	if i, found := slices.BinarySearch(t.keys, key); found {
		t.keys = slices.Delete(t.keys, i, i+1)
		delete(t.values, key)
	}
}

// DiskFault is a fault of one write to a disk.
type DiskFault string

// The faults of a write.
const (
	ErrorBefore DiskFault = "an error, and nothing is written"
	ErrorAfter  DiskFault = "an error, and all is written"
	KillBefore  DiskFault = "the process dies, and nothing is written"
	KillAfter   DiskFault = "the process dies, and all is written"
)

var diskFaults = []DiskFault{ErrorBefore, ErrorAfter, KillBefore, KillAfter}

// errDisk is the error of a write that fails.
var errDisk = errors.New("no space left on device")

// disk is the content of one data directory. It outlives the process that writes to it.
type disk struct {
	buckets  map[string]*table
	writes   int // number of writes so far
	faultAt  int // number of the write that gets the fault; 0 for none
	fault    DiskFault
	faultHit bool // the fault has happened
	killed   bool // the last write killed the process; the caller resets it
	// acksEarly injects a bug: writes are acknowledged before they are durable, and a kill undoes the last of them.
	acksEarly bool
	unsynced  []func() // undo functions of the last writes, if acksEarly
}

var _ voter.Disk = (*disk)(nil)

// newDisk returns an empty data directory.
func newDisk() *disk { return &disk{buckets: map[string]*table{}} }

// copy returns a data directory with the same content.
func (d *disk) copy() *disk {
	c := newDisk()
	for name, t := range d.buckets {
		c.buckets[name] = &table{slices.Clone(t.keys), maps.Clone(t.values)}
	}
	return c
}

// tableFor returns a bucket, which it creates if necessary.
func (d *disk) tableFor(bucket string) *table {
	if d.buckets[bucket] == nil {
		d.buckets[bucket] = &table{values: map[string][]byte{}}
	}
	return d.buckets[bucket]
}

// View implements voter.Disk.
func (d *disk) View(do func(voter.Tx) error) error { return do(&transaction{disk: d}) }

// maxUnsynced is how many writes a kill undoes at most if acksEarly is set.
const maxUnsynced = 3

// Update implements voter.Disk. It panics where a fault kills the process; the panic ends the core's call.
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

// Close implements voter.Disk.
func (d *disk) Close() error { return nil }

// loseUnsynced undoes the writes that were acknowledged and are not durable.
func (d *disk) loseUnsynced() {
	for _, rollback := range slices.Backward(d.unsynced) {
		rollback()
	}
	d.unsynced = nil
}

// transaction implements voter.Tx and can be rolled back.
type transaction struct {
	disk *disk
	undo []func()
}

// rollback undoes all writes of the transaction.
func (t *transaction) rollback() {
	for _, undo := range slices.Backward(t.undo) {
		undo()
	}
	t.undo = nil
}

// recordUndo remembers the present value of a key for rollback.
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

// Get implements voter.Tx.
func (t *transaction) Get(bucket, key string) []byte { return t.disk.tableFor(bucket).values[key] }

// Put implements voter.Tx.
func (t *transaction) Put(bucket, key string, value []byte) error {
	t.recordUndo(bucket, key)
	t.disk.tableFor(bucket).put(key, value)
	return nil
}

// Delete implements voter.Tx.
func (t *transaction) Delete(bucket, key string) error {
	t.recordUndo(bucket, key)
	t.disk.tableFor(bucket).remove(key)
	return nil
}

// From implements voter.Tx.
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
