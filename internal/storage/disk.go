package storage

import (
	"errors"
	"fmt"
	"strings"
	"syscall"

	"kumquatwing/internal/consensus"
)

// Disk is a Store in one folder. The files of each generation are a log, whose
// first record contains the state at the start of the generation, and a snapshot
// if that state has snapshot data. Compact writes the files of the next
// generation, makes them durable and then removes those of the previous one.
// Append costs one sync, and one write unless the batch is large (see
// maxCopyBytes).
type Disk struct {
	fs FS
	// log is the log file of the current generation; nil in an empty store.
	log File
	// generation is the current generation; 0 in an empty store.
	generation uint64
	// sequence is the number of records in log.
	sequence uint64
	id       consensus.ID
	// st is the state for the next call of State.
	st    consensus.State
	syncs uint64
	// failed is the error that all writes return after an earlier one has failed.
	failed error
}

var _ Store = (*Disk)(nil)

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

func logName(generation uint64) string { return fmt.Sprintf("%s%016x", logPrefix, generation) }

func snapshotName(generation uint64) string {
	return fmt.Sprintf("%s%016x", snapshotPrefix, generation)
}

// firstRecord is the payload of the first record of a log file. The encoder
// writes the names of its fields.
type firstRecord struct {
	ID consensus.ID
	// Snapshot is stored without its Data. HasData reports whether the snapshot
	// file of the generation contains the Data.
	Snapshot consensus.Snapshot
	HasData  bool
	Batch    batch
}

// batch is the payload of every further record: the arguments of one call of
// Append. The encoder writes the names of its fields.
type batch struct {
	Hard    consensus.HardState
	Entries []consensus.Entry
}

// Open loads the store in fs. Disk.Close closes fs; if Open fails, the caller
// must close it.
func Open(fs FS) (*Disk, error) {
	d := &Disk{fs: fs}
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	if err := d.selectGeneration(names); err != nil {
		return nil, err
	}
	if d.generation == 0 {
		return d, nil
	}
	if err := d.load(); err != nil {
		return nil, err
	}
	d.removeOtherGenerations(names)
	return d, nil
}

// OpenDir loads the store in the folder at path.
func OpenDir(path string) (*Disk, error) {
	fs, err := OpenDirFS(path)
	if err != nil {
		return nil, err
	}
	d, err := Open(fs)
	if err != nil {
		fs.Close()
		return nil, err
	}
	return d, nil
}

// selectGeneration sets the generation to load: the newest one whose log file has
// its final name. Files with the suffix tempSuffix are from an interrupted
// compaction.
func (d *Disk) selectGeneration(names []string) error {
	snapshots := 0
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if strings.HasPrefix(name, snapshotPrefix) {
			snapshots++
		}
		var g uint64
		if _, err := fmt.Sscanf(name, logPrefix+"%x", &g); err == nil {
			d.generation = max(d.generation, g)
		}
	}
	if d.generation == 0 && snapshots > 0 {
		return &CorruptError{logPrefix + "*", 0, "there is a snapshot and no log"}
	}
	return nil
}

// load reads the files of the selected generation and opens its log for
// appending.
func (d *Disk) load() error {
	name := logName(d.generation)
	data, err := d.fs.ReadFile(name)
	if err != nil {
		return err
	}
	hasData := false
	end, err := scanRecords(name, data, d.generation, func(payload []byte) error {
		d.sequence++
		if d.sequence > 1 {
			return d.replay(payload)
		}
		var s firstRecord
		if err := consensus.Decode(payload, &s); err != nil {
			return err
		}
		d.id, d.st.Snapshot, hasData = s.ID, s.Snapshot, s.HasData
		return d.apply(s.Batch)
	})
	if err != nil {
		return err
	}
	if d.sequence == 0 {
		return &CorruptError{name, 0, "the first record is bad"}
	}
	if hasData {
		if err := d.loadSnapshot(); err != nil {
			return err
		}
	}
	return d.openForAppend(name, end, len(data))
}

// replay applies the payload of a record that is not the first of its file.
func (d *Disk) replay(payload []byte) error {
	var b batch
	if err := consensus.Decode(payload, &b); err != nil {
		return err
	}
	return d.apply(b)
}

// apply adds a batch to the state that is being loaded. The entries replace those
// from the index of the first one on.
func (d *Disk) apply(b batch) error {
	d.st.HardState = b.Hard
	if len(b.Entries) == 0 {
		return nil
	}
	first, next := b.Entries[0].Index, d.st.Snapshot.Index+uint64(len(d.st.Entries))+1
	if first <= d.st.Snapshot.Index || first > next {
		return fmt.Errorf("entry %d doesn't follow entry %d", first, next-1)
	}
	keep := first - d.st.Snapshot.Index - 1
	d.st.Entries = append(d.st.Entries[:keep], b.Entries...)
	return nil
}

// loadSnapshot reads the snapshot file. It was written and synced before the log
// file got its final name, so a missing or damaged one is reported as corruption.
func (d *Disk) loadSnapshot() error {
	name := snapshotName(d.generation)
	data, err := d.fs.ReadFile(name)
	if err != nil {
		return &CorruptError{name, 0, err.Error()}
	}
	payload, ok := decodeRecord(data, d.generation, 0)
	if !ok {
		return &CorruptError{name, 0, "the snapshot's checksum or header is wrong"}
	}
	d.st.Snapshot.Data = payload
	return nil
}

// openForAppend opens the log for appending and truncates it to end, which removes
// a torn record. It syncs the log and the folder, since an earlier process may
// have ended between its last write and the sync.
func (d *Disk) openForAppend(name string, end, size int) error {
	f, err := d.fs.Open(name)
	if err != nil {
		return err
	}
	d.log = f
	if end != size {
		if err := f.Truncate(int64(end)); err != nil {
			return err
		}
	}
	if err := d.sync(f); err != nil {
		return err
	}
	d.syncs++
	return d.fs.SyncDir()
}

// sync syncs f and counts the call.
func (d *Disk) sync(f File) error {
	d.syncs++
	return f.Sync()
}

// removeOtherGenerations removes the log and snapshot files in names that don't
// belong to the current generation. Errors are ignored: the next call tries
// again.
func (d *Disk) removeOtherGenerations(names []string) {
	for _, name := range names {
		if name != logName(d.generation) && name != snapshotName(d.generation) && isStoreFile(name) {
			_ = d.fs.Remove(name)
		}
	}
}

// isStoreFile reports whether name is a log or snapshot file, also a temporary
// one.
func isStoreFile(name string) bool {
	return strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
}

// Identity implements Store.
func (d *Disk) Identity() consensus.ID { return d.id }

// State implements Store.
func (d *Disk) State() consensus.State {
	st := d.st
	d.st = consensus.State{}
	return st
}

// Init implements Store.
func (d *Disk) Init(id consensus.ID, st consensus.State) error {
	if d.id != consensus.None {
		return ErrNotEmpty
	}
	d.id = id
	if err := d.Compact(st); err != nil {
		d.id = consensus.None
		return err
	}
	d.st = st
	return nil
}

// Append implements Store.
func (d *Disk) Append(h consensus.HardState, es []consensus.Entry) error {
	if d.id == consensus.None {
		return ErrEmpty
	}
	if d.failed != nil {
		return d.failed
	}
	err := d.write(d.log, batch{h, es}, d.generation, d.sequence)
	d.sequence++
	return d.recordFailure(err)
}

// recordFailure makes all further writes fail if err is not nil, and returns err.
func (d *Disk) recordFailure(err error) error {
	if err != nil {
		d.failed = fmt.Errorf("storage: an earlier write failed: %w", err)
	}
	return err
}

// write appends the encoding of v to f as one record and syncs f.
func (d *Disk) write(f File, v any, generation, sequence uint64) error {
	payload, err := consensus.Encode(v)
	if err != nil {
		return err
	}
	return d.writePayload(f, payload, generation, sequence)
}

// writePayload appends payload to f as one record and syncs f.
func (d *Disk) writePayload(f File, payload []byte, generation, sequence uint64) error {
	if err := writeRecord(f, generation, sequence, payload); err != nil {
		return err
	}
	return d.sync(f)
}

// Compact implements Store.
func (d *Disk) Compact(st consensus.State) error {
	if d.id == consensus.None {
		return ErrEmpty
	}
	if d.failed != nil {
		return d.failed
	}
	err := d.compact(st)
	if postponed := new(PostponedError); errors.As(err, &postponed) {
		return err
	}
	return d.recordFailure(err)
}

// compact writes the next generation with the state st and switches to it. The
// rename of the log file, once the folder is synced, makes the new generation the
// one that Open loads.
func (d *Disk) compact(st consensus.State) error {
	next := d.generation + 1
	if err := d.writeSnapshot(next, st.Snapshot.Data); err != nil {
		return err
	}
	log, err := d.writeLog(next, st)
	if err != nil {
		return err
	}
	d.syncs++
	if err := d.fs.SyncDir(); err != nil {
		return errors.Join(err, log.Close())
	}
	if d.log != nil {
		d.log.Close()
	}
	d.log, d.generation, d.sequence = log, next, 1
	names, err := d.fs.List()
	if err == nil {
		d.removeOtherGenerations(names)
	}
	return nil
}

// writeSnapshot writes and syncs the snapshot file of a generation; without data
// there is none.
func (d *Disk) writeSnapshot(generation uint64, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	f, err := d.create(snapshotName(generation))
	if err != nil {
		return err
	}
	return errors.Join(d.writePayload(f, data, generation, 0), f.Close())
}

// writeLog creates the log file of a generation with the state st as its first
// record. The file has its temporary name until that record is synced.
func (d *Disk) writeLog(generation uint64, st consensus.State) (File, error) {
	s := firstRecord{
		ID:       d.id,
		Snapshot: st.Snapshot,
		HasData:  len(st.Snapshot.Data) > 0,
		Batch:    batch{st.HardState, st.Entries},
	}
	s.Snapshot.Data = nil
	name := logName(generation)
	f, err := d.create(name + tempSuffix)
	if err != nil {
		return nil, err
	}
	if err := d.write(f, s, generation, 0); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, d.fs.Rename(name+tempSuffix, name)
}

// create creates a file of the next generation. It returns a PostponedError if the
// process has no descriptor left: the files of the present generation are not
// touched before those of the next one are written.
func (d *Disk) create(name string) (File, error) {
	f, err := d.fs.Create(name)
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return nil, &PostponedError{err}
	}
	return f, err
}

// Durable implements Store.
func (d *Disk) Durable() bool { return true }

// Syncs implements Store.
func (d *Disk) Syncs() uint64 { return d.syncs }

// Close implements Store.
func (d *Disk) Close() error {
	var err error
	if d.log != nil {
		err = d.log.Close()
	}
	return errors.Join(err, d.fs.Close())
}
