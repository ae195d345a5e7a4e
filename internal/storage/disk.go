package storage

import (
	"errors"
	"fmt"
	"strings"

	"kumquatwing/internal/consensus"
)

// Disk is a Store in one folder. Each generation has a log file, whose first
// record holds all that it starts from, and a snapshot file if there is one. A
// compaction writes the next generation, makes it durable and then removes the
// former one. A call of Append costs one write and one sync.
type Disk struct {
	fs         FS
	log        File
	generation uint64
	sequence   uint64
	id         consensus.ID
	st         consensus.State
	syncs      uint64
	failed     error
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

// firstRecord is the first record of a log file.
type firstRecord struct {
	ID consensus.ID
	// Snapshot has no Data; HasData says that the snapshot file has it.
	Snapshot consensus.Snapshot
	HasData  bool
	Batch    batch
}

// batch is every further record.
type batch struct {
	Hard    consensus.HardState
	Entries []consensus.Entry
}

// Open loads the store in fs, which it closes at the end.
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

// selectGeneration finds the generation to load.
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

func (d *Disk) replay(payload []byte) error {
	var b batch
	if err := consensus.Decode(payload, &b); err != nil {
		return err
	}
	return d.apply(b)
}

func (d *Disk) apply(b batch) error {
	d.st.Hard = b.Hard
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

func (d *Disk) loadSnapshot() error {
	name := snapshotName(d.generation)
	data, err := d.fs.ReadFile(name)
	if err != nil {
		return &CorruptError{name, 0, err.Error()}
	}
	payload, whole := decodeRecord(data, d.generation, 0)
	if !whole {
		return &CorruptError{name, 0, "the snapshot's checksum or header is wrong"}
	}
	d.st.Snapshot.Data = payload
	return nil
}

// openForAppend cuts a torn record off and opens the log to append. It syncs what was
// read: an earlier process may have ended between its write and its sync.
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

func (d *Disk) sync(f File) error {
	d.syncs++
	return f.Sync()
}

// removeOtherGenerations removes files of other generations. A failure leaves them to
// the next call.
func (d *Disk) removeOtherGenerations(names []string) {
	for _, name := range names {
		if name != logName(d.generation) && name != snapshotName(d.generation) && isStoreFile(name) {
			_ = d.fs.Remove(name)
		}
	}
}

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

// Begin implements Store.
func (d *Disk) Begin(id consensus.ID, st consensus.State) error {
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

// recordFailure makes an error final.
func (d *Disk) recordFailure(err error) error {
	if err != nil {
		d.failed = fmt.Errorf("storage: an earlier write failed: %w", err)
	}
	return err
}

// write appends v as one record and syncs it.
func (d *Disk) write(f File, v any, generation, sequence uint64) error {
	payload, err := consensus.Encode(v)
	if err != nil {
		return err
	}
	return d.writePayload(f, payload, generation, sequence)
}

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
	return d.recordFailure(d.compact(st))
}

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

func (d *Disk) writeSnapshot(generation uint64, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	f, err := d.fs.Create(snapshotName(generation))
	if err != nil {
		return err
	}
	return errors.Join(d.writePayload(f, data, generation, 0), f.Close())
}

func (d *Disk) writeLog(generation uint64, st consensus.State) (File, error) {
	s := firstRecord{
		ID:       d.id,
		Snapshot: st.Snapshot,
		HasData:  len(st.Snapshot.Data) > 0,
		Batch:    batch{st.Hard, st.Entries},
	}
	s.Snapshot.Data = nil
	name := logName(generation)
	f, err := d.fs.Create(name + tempSuffix)
	if err != nil {
		return nil, err
	}
	if err := d.write(f, s, generation, 0); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, d.fs.Rename(name+tempSuffix, name)
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
