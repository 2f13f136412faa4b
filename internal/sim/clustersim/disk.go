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
	if _, there := t.values[key]; !there {
		i, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, i, key)
	}
	t.values[key] = value
}

func (t *table) remove(key string) {
	if i, there := slices.BinarySearch(t.keys, key); there {
		t.keys = slices.Delete(t.keys, i, i+1)
		delete(t.values, key)
	}
}

// Trouble is what befalls one write of a disk.
type Trouble string

// The troubles.
const (
	ErrorBefore Trouble = "an error, and nothing is written"
	ErrorAfter  Trouble = "an error, and all is written"
	KillBefore  Trouble = "the process dies, and nothing is written"
	KillAfter   Trouble = "the process dies, and all is written"
)

var troubles = []Trouble{ErrorBefore, ErrorAfter, KillBefore, KillAfter}

// errDisk is what a disk that fails says.
var errDisk = errors.New("no space left on device")

// disk is one folder: what is written outlives its process.
type disk struct {
	buckets map[string]*table
	writes  int     // so far
	fails   int     // the number of the write that trouble befalls; 0 for none
	trouble Trouble // that
	met     bool    // it has come
	killed  bool    // its process died of that just now
	// lies plants a bug: a yes is given before the write is durable, and a kill takes the last ones away.
	lies     bool
	unsynced []func()
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

func (d *disk) of(bucket string) *table {
	if d.buckets[bucket] == nil {
		d.buckets[bucket] = &table{values: map[string][]byte{}}
	}
	return d.buckets[bucket]
}

// View is keeper.Disk's.
func (d *disk) View(do func(voter.Tx) error) error { return do(&transaction{disk: d}) }

// mostUnsynced writes are lost with a disk that lies.
const mostUnsynced = 3

// Update is keeper.Disk's.
func (d *disk) Update(do func(voter.Tx) error) error {
	tx := &transaction{disk: d}
	if err := do(tx); err != nil {
		tx.back()
		return err
	}
	d.writes++
	trouble := Trouble("")
	if d.writes == d.fails {
		trouble, d.met = d.trouble, true
	}
	switch trouble {
	case ErrorBefore:
		tx.back()
		return errDisk
	case ErrorAfter:
		return errDisk
	case KillBefore:
		tx.back()
		d.killed = true
		panic("the process died before a write")
	case KillAfter:
		d.killed = true
		panic("the process died after a write")
	}
	if d.lies {
		if d.unsynced = append(d.unsynced, tx.back); len(d.unsynced) > mostUnsynced {
			d.unsynced = d.unsynced[1:]
		}
	}
	return nil
}

// Close is keeper.Disk's.
func (d *disk) Close() error { return nil }

// die takes away what a disk that lies had said yes to.
func (d *disk) die() {
	for _, back := range slices.Backward(d.unsynced) {
		back()
	}
	d.unsynced = nil
}

// transaction is a keeper.Tx; it knows its way back.
type transaction struct {
	disk *disk
	undo []func()
}

func (t *transaction) back() {
	for _, undo := range slices.Backward(t.undo) {
		undo()
	}
	t.undo = nil
}

func (t *transaction) before(bucket, key string) {
	old, there := t.disk.of(bucket).values[key]
	t.undo = append(t.undo, func() {
		if there {
			t.disk.of(bucket).put(key, old)
		} else {
			t.disk.of(bucket).remove(key)
		}
	})
}

// Get is keeper.Tx's.
func (t *transaction) Get(bucket, key string) []byte { return t.disk.of(bucket).values[key] }

// Put is keeper.Tx's.
func (t *transaction) Put(bucket, key string, value []byte) error {
	t.before(bucket, key)
	t.disk.of(bucket).put(key, value)
	return nil
}

// Delete is keeper.Tx's.
func (t *transaction) Delete(bucket, key string) error {
	t.before(bucket, key)
	t.disk.of(bucket).remove(key)
	return nil
}

// From is keeper.Tx's.
func (t *transaction) From(bucket, key string) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		b := t.disk.of(bucket)
		from, _ := slices.BinarySearchFunc(b.keys, key, strings.Compare)
		for _, k := range b.keys[from:] {
			if !yield(k, b.values[k]) {
				return
			}
		}
	}
}
