package control

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// TestCorruptStoreComesBackUnderNewIdentity changes a byte in the log of the fleet
// group's member. On the next start the process must rename the data folder and use
// a new identity instead of voting under the old one.
func TestCorruptStoreComesBackUnderNewIdentity(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	cfg := Config{
		VM: "vm1", DC: "dc1", WireAddr: "127.0.77.1:7201", HTTPAddr: "127.0.77.1:7200", DataDir: dir,
	}
	first, err := New(cfg, zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	first.close()
	flipByteOfLog(t, filepath.Join(dir, fleetGroupName))
	second, err := New(cfg, zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	defer second.close()
	qt.Assert(t, second.id, qt.Not(qt.Equals), first.id)
	renamed, err := filepath.Glob(dir + ".corrupt-*")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, renamed, qt.HasLen, 1)
}

// flipByteOfLog inverts the byte in the middle of the largest file of a store.
func flipByteOfLog(t *testing.T, dir string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	qt.Assert(t, err, qt.IsNil)
	var path string
	var size int64
	for _, e := range entries {
		info, err := e.Info()
		qt.Assert(t, err, qt.IsNil)
		if info.Size() > size {
			path, size = filepath.Join(dir, e.Name()), info.Size()
		}
	}
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	data[len(data)/2] ^= 0xff
	qt.Assert(t, os.WriteFile(path, data, 0o644), qt.IsNil)
}
