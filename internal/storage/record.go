package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
)

// A file is a sequence of records, each synced before the next is written, so
// that a crash can tear the last one only. A record is a header of headBytes,
// a payload and zeros up to a multiple of headBytes; a header thus never
// crosses a sector, which the disk writes whole or not at all.
const (
	headBytes   = 32
	sectorBytes = 512
	recordMagic = 0x4b515731
	// maxCopyBytes is the payload that is copied to be written in one call.
	maxCopyBytes = 64 << 10
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// head is a record's header.
type head struct {
	size       uint32
	sequence   uint64
	generation uint64
	sum        uint32
}

func padded(n int) int { return (n + headBytes - 1) / headBytes * headBytes }

// encodeHead returns a record's header.
func encodeHead(generation, sequence uint64, payload []byte) []byte {
	b := make([]byte, headBytes)
	binary.BigEndian.PutUint32(b[0:], recordMagic)
	binary.BigEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.BigEndian.PutUint64(b[8:], sequence)
	binary.BigEndian.PutUint64(b[16:], generation)
	binary.BigEndian.PutUint32(b[24:], crc32.Checksum(payload, crcTable))
	binary.BigEndian.PutUint32(b[28:], crc32.Checksum(b[:28], crcTable))
	return b
}

// writeRecord appends a record to w. A small one takes one call of Write; the
// payload of a large one is not copied.
func writeRecord(w io.Writer, generation, sequence uint64, payload []byte) error {
	head := encodeHead(generation, sequence, payload)
	zeros := make([]byte, padded(len(payload))-len(payload))
	if len(payload) <= maxCopyBytes {
		_, err := w.Write(slices.Concat(head, payload, zeros))
		return err
	}
	for _, part := range [][]byte{head, payload, zeros} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

func decodeHead(b []byte) (head, bool) {
	if len(b) < headBytes || binary.BigEndian.Uint32(b) != recordMagic {
		return head{}, false
	}
	if binary.BigEndian.Uint32(b[28:]) != crc32.Checksum(b[:28], crcTable) {
		return head{}, false
	}
	return head{
		size:       binary.BigEndian.Uint32(b[4:]),
		sequence:   binary.BigEndian.Uint64(b[8:]),
		generation: binary.BigEndian.Uint64(b[16:]),
		sum:        binary.BigEndian.Uint32(b[24:]),
	}, true
}

// scan calls fn for each record of a file and returns where the last whole one
// ends. What follows it is a torn write, which nobody relied on, or else a
// CorruptError.
func scan(file string, data []byte, generation uint64, fn func(payload []byte) error) (int, error) {
	at := 0
	for sequence := uint64(0); at < len(data); sequence++ {
		payload, whole := wholeRecord(data[at:], generation, sequence)
		if !whole {
			if why := notTorn(data, at, generation, sequence); why != "" {
				return 0, &CorruptError{file, at, why}
			}
			return at, nil
		}
		if err := fn(payload); err != nil {
			return 0, &CorruptError{file, at, err.Error()}
		}
		at += headBytes + padded(len(payload))
	}
	return at, nil
}

func wholeRecord(data []byte, generation, sequence uint64) ([]byte, bool) {
	h, ok := decodeHead(data)
	if !ok || h.generation != generation || h.sequence != sequence {
		return nil, false
	}
	end := headBytes + padded(int(h.size))
	if end > len(data) {
		return nil, false
	}
	payload := data[headBytes : headBytes+int(h.size)]
	return payload, crc32.Checksum(payload, crcTable) == h.sum
}

// notTorn says why a bad record can't be the torn last write; "" if it can.
// A torn write lacks its end or whole sectors, which then read as zeros.
func notTorn(file []byte, offset int, generation, sequence uint64) string {
	data := file[offset:]
	if laterRecord(data, generation, sequence) {
		return fmt.Sprintf("record %d is bad and a later one follows", sequence)
	}
	if len(data) < headBytes || allZero(data[:headBytes]) {
		return ""
	}
	h, ok := decodeHead(data)
	switch {
	case !ok:
		return fmt.Sprintf("header of record %d is bad", sequence)
	case h.generation != generation || h.sequence != sequence:
		return fmt.Sprintf("record %d of generation %d in place of %d of %d", h.sequence, h.generation, sequence, generation)
	case headBytes+padded(int(h.size)) > len(data):
		return ""
	case !hasZeroSector(data[:headBytes+padded(int(h.size))], offset):
		return fmt.Sprintf("checksum of record %d is wrong", sequence)
	}
	return ""
}

func laterRecord(data []byte, generation, sequence uint64) bool {
	for at := headBytes; at+headBytes <= len(data); at += headBytes {
		h, ok := decodeHead(data[at:])
		if ok && h.generation == generation && h.sequence > sequence {
			return true
		}
	}
	return false
}

func allZero(b []byte) bool { return len(bytes.Trim(b, "\x00")) == 0 }

// hasZeroSector reports whether a record that starts at offset within its file
// lacks a sector, as an interrupted write leaves it.
func hasZeroSector(record []byte, offset int) bool {
	for len(record) > 0 {
		n := min(sectorBytes-offset%sectorBytes, len(record))
		if allZero(record[:n]) {
			return true
		}
		record, offset = record[n:], offset+n
	}
	return false
}
