package consensus

import "fmt"

// memLog is the part of the log that follows the last compaction.
type memLog struct {
	// base and baseTerm are the last compacted entry.
	base, baseTerm uint64
	entries        []Entry
	// persisted is the last index that the driver has synced.
	persisted uint64
	commit    uint64
	// handed is the last index that was handed out to be applied.
	handed uint64
	bytes  int
}

func (l *memLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index; false if it isn't in the log.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *memLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries in [first, last].
func (l *memLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	lo, hi := first-l.base-1, last-l.base
	return l.entries[lo:hi:hi]
}

// batch returns entries from first on, of about maxBytes and at least one.
func (l *memLog) batch(first uint64, maxBytes int) []Entry {
	last, size := first-1, 0
	for last < l.last() && size < maxBytes {
		last++
		size += l.entries[last-l.base-1].size()
	}
	return l.slice(first, last)
}

func (l *memLog) append(es ...Entry) {
	l.entries = append(l.entries, es...)
	for i := range es {
		l.bytes += es[i].size()
	}
}

// truncate drops all entries after index.
func (l *memLog) truncate(index uint64) {
	if index < l.commit {
		panic(fmt.Sprintf("consensus: truncate to %d below commit %d", index, l.commit))
	}
	keep := index - l.base
	for i := range l.entries[keep:] {
		l.bytes -= l.entries[keep:][i].size()
	}
	// The capacity is cut so that slices handed out are never written to.
	l.entries = l.entries[:keep:keep]
	l.persisted = min(l.persisted, index)
}

// compact drops all entries up to index.
func (l *memLog) compact(index uint64) {
	if index <= l.base || index > l.handed {
		return
	}
	term, _ := l.term(index)
	rest := l.slice(index+1, l.last())
	l.entries = append([]Entry(nil), rest...)
	l.base, l.baseTerm = index, term
	l.bytes = 0
	for i := range l.entries {
		l.bytes += l.entries[i].size()
	}
}

// reset replaces the whole log by a snapshot.
func (l *memLog) reset(index, term uint64) {
	*l = memLog{base: index, baseTerm: term, persisted: index, commit: index, handed: index}
}

// entryOverhead is about what an entry costs besides its data, in bytes.
const entryOverhead = 48

func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// tailStart returns the index after which the applied entries take at most
// keepBytes.
func (l *memLog) tailStart(keepBytes int) uint64 {
	index := l.handed
	for index > l.base {
		keepBytes -= l.entries[index-l.base-1].size()
		if keepBytes < 0 {
			break
		}
		index--
	}
	return index
}
