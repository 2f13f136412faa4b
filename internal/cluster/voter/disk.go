package voter

import (
	"errors"
	"fmt"
	"iter"
	"os"
	"path/filepath"
	"slices"

	"go.etcd.io/bbolt"
	bbolterr "go.etcd.io/bbolt/errors"
)

// boltDisk implements Disk on a bbolt file.
type boltDisk struct{ db *bbolt.DB }

// openDisk opens the data directory dir and its file, and creates them if they don't exist.
func openDisk(dir string) (disk boltDisk, path string, err error) {
	path = filepath.Join(dir, fileName)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return disk, path, fmt.Errorf("crew.data: %w", err)
	}
	err = recoverPanics(func() (err error) {
		if disk.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout}); err != nil {
			return err
		}
		return disk.db.Update(makeBuckets)
	})
	switch {
	case err == nil:
		return disk, path, syncDir(dir)
	case errors.Is(err, bbolterr.ErrTimeout):
		return disk, path, fmt.Errorf("%s: another process uses it; end that first, or give this one a folder of its own", path)
	}
	if disk.db != nil {
		disk.db.Close()
	}
	return disk, path, fmt.Errorf("%s: %w: %w; %s", path, errDamaged, err, damagedRemedy)
}

// makeBuckets creates the buckets of a new file. It refuses a file with unknown or missing buckets as damaged.
func makeBuckets(tx *bbolt.Tx) error {
	known, total := 0, 0
	err := tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
		if total++; slices.Contains(buckets, string(name)) {
			known++
		}
		return nil
	})
	switch {
	case err != nil:
		return err
	case total > 0 && (known != len(buckets) || total > known):
		return fmt.Errorf("%d of the file's %d buckets are known; expected exactly the %d known ones", known, total, len(buckets))
	case total > 0:
		return nil
	}
	for _, b := range buckets {
		if _, err := tx.CreateBucket([]byte(b)); err != nil {
			return err
		}
	}
	return nil
}

// syncDir makes the creation of files in a directory durable.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Update implements Disk.
func (d boltDisk) Update(do func(Tx) error) error {
	return d.db.Update(func(tx *bbolt.Tx) error { return do(boltTx{tx}) })
}

// View implements Disk.
func (d boltDisk) View(do func(Tx) error) error {
	return d.db.View(func(tx *bbolt.Tx) error { return do(boltTx{tx}) })
}

// Close implements Disk.
func (d boltDisk) Close() error { return d.db.Close() }

// boltTx implements Tx on a bbolt transaction.
type boltTx struct{ tx *bbolt.Tx }

func (t boltTx) bucketNamed(bucket string) *bbolt.Bucket { return t.tx.Bucket([]byte(bucket)) }

// Get implements Tx.
func (t boltTx) Get(bucket, key string) []byte { return t.bucketNamed(bucket).Get([]byte(key)) }

// Put implements Tx.
func (t boltTx) Put(bucket, key string, value []byte) error {
	return t.bucketNamed(bucket).Put([]byte(key), value)
}

// Delete implements Tx.
func (t boltTx) Delete(bucket, key string) error { return t.bucketNamed(bucket).Delete([]byte(key)) }

// From implements Tx.
func (t boltTx) From(bucket, key string) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		c := t.bucketNamed(bucket).Cursor()
		for k, v := c.Seek([]byte(key)); k != nil && yield(string(k), v); k, v = c.Next() {
		}
	}
}
