package consensus

import "fmt"

// memLog is the part of the log after the last compaction, in memory.
type memLog struct {
	// base and baseTerm are the index and term of the last compacted entry.
	base, baseTerm uint64
	entries        []Entry
	// persisted is the last index that the driver has synced to its store.
	persisted uint64
	commit    uint64
	// delivered is the last index that was passed to the driver to be applied.
	delivered uint64
	// bytes is the approximate memory used by entries.
	bytes int
}

func (l *memLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and false if the log has no such
// entry.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// matches reports whether the log has an entry with this index and term.
func (l *memLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries with indexes first to last, both included.
func (l *memLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	lo, hi := first-l.base-1, last-l.base
	return l.entries[lo:hi:hi]
}

// batch returns at least one entry from first on, and more until their size
// reaches maxBytes.
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

// truncate removes all entries after index.
func (l *memLog) truncate(index uint64) {
	if index < l.commit {
		panic(fmt.Sprintf("consensus: truncate to %d below commit %d", index, l.commit))
	}
	keep := index - l.base
	for i := range l.entries[keep:] {
		l.bytes -= l.entries[keep:][i].size()
	}
	// The capacity is limited so that later appends don't overwrite slices that
	// were returned before.
	l.entries = l.entries[:keep:keep]
	l.persisted = min(l.persisted, index)
}

// compact removes all entries up to index. It does nothing if these are not all
// delivered.
func (l *memLog) compact(index uint64) {
	if index <= l.base || index > l.delivered {
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

// reset replaces the whole log by a snapshot at index.
func (l *memLog) reset(index, term uint64) {
	*l = memLog{base: index, baseTerm: term, persisted: index, commit: index, delivered: index}
}

// entryOverhead is the approximate memory used by an entry besides its data, in
// bytes.
const entryOverhead = 48

func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// compactionIndex returns the index up to which the log can be compacted so that
// the delivered entries after it take at most keepBytes.
func (l *memLog) compactionIndex(keepBytes int) uint64 {
	index := l.delivered
	for index > l.base {
		keepBytes -= l.entries[index-l.base-1].size()
		if keepBytes < 0 {
			break
		}
		index--
	}
	return index
}
