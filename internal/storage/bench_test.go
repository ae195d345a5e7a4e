package storage_test

import (
	"encoding/binary"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.etcd.io/bbolt"

	"kumquatwing/internal/consensus"
	"kumquatwing/internal/storage"
)

// batchEntries is the number of entries that the benchmarks write with one sync.
const batchEntries = 8

func BenchmarkDiskAppend(b *testing.B) {
	d, err := storage.OpenDir(b.TempDir())
	qt.Assert(b, err, qt.IsNil)
	defer d.Close()
	qt.Assert(b, d.Init(7, consensus.State{}), qt.IsNil)
	before, next := d.Syncs(), uint64(1)
	for b.Loop() {
		es := entries(next, next+batchEntries-1, 1)
		qt.Assert(b, d.Append(consensus.HardState{Term: 1}, es), qt.IsNil)
		next += batchEntries
	}
	b.ReportMetric(float64(d.Syncs()-before)/float64(b.N), "syncs/op")
}

// BenchmarkBboltAppend writes the same batches to a B+ tree on disk (bbolt), for
// comparison with BenchmarkDiskAppend.
func BenchmarkBboltAppend(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o644, nil)
	qt.Assert(b, err, qt.IsNil)
	defer db.Close()
	next := uint64(1)
	for b.Loop() {
		es := entries(next, next+batchEntries-1, 1)
		err := db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte("log"))
			if err != nil {
				return err
			}
			for i := range es {
				data, err := consensus.Encode(es[i])
				if err != nil {
					return err
				}
				if err := bucket.Put(binary.BigEndian.AppendUint64(nil, es[i].Index), data); err != nil {
					return err
				}
			}
			return nil
		})
		qt.Assert(b, err, qt.IsNil)
		next += batchEntries
	}
}
