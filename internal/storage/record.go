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
// that a crash can tear the last one only. A record is a header of headerBytes,
// a payload and zeros up to a multiple of headerBytes; a header thus never
// crosses a sector, which the disk writes whole or not at all.
const (
	headerBytes   = 32
	sectorBytes = 512
	recordMagic = 0x4b515731
	// maxCopyBytes is the payload that is copied to be written in one call.
	maxCopyBytes = 64 << 10
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// recordHeader is a record's header.
type recordHeader struct {
	size       uint32
	sequence   uint64
	generation uint64
	checksum        uint32
}

func padded(n int) int { return (n + headerBytes - 1) / headerBytes * headerBytes }

// encodeHeader returns a record's header.
func encodeHeader(generation, sequence uint64, payload []byte) []byte {
	b := make([]byte, headerBytes)
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
	head := encodeHeader(generation, sequence, payload)
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

func decodeHeader(b []byte) (recordHeader, bool) {
	if len(b) < headerBytes || binary.BigEndian.Uint32(b) != recordMagic {
		return recordHeader{}, false
	}
	if binary.BigEndian.Uint32(b[28:]) != crc32.Checksum(b[:28], crcTable) {
		return recordHeader{}, false
	}
	return recordHeader{
		size:       binary.BigEndian.Uint32(b[4:]),
		sequence:   binary.BigEndian.Uint64(b[8:]),
		generation: binary.BigEndian.Uint64(b[16:]),
		checksum:        binary.BigEndian.Uint32(b[24:]),
	}, true
}

// scanRecords calls fn for each record of a file and returns where the last whole one
// ends. What follows it is a torn write, which nobody relied on, or else a
// CorruptError.
func scanRecords(file string, data []byte, generation uint64, fn func(payload []byte) error) (int, error) {
	at := 0
	for sequence := uint64(0); at < len(data); sequence++ {
		payload, whole := decodeRecord(data[at:], generation, sequence)
		if !whole {
			if why := corruptionReason(data, at, generation, sequence); why != "" {
				return 0, &CorruptError{file, at, why}
			}
			return at, nil
		}
		if err := fn(payload); err != nil {
			return 0, &CorruptError{file, at, err.Error()}
		}
		at += headerBytes + padded(len(payload))
	}
	return at, nil
}

func decodeRecord(data []byte, generation, sequence uint64) ([]byte, bool) {
	h, ok := decodeHeader(data)
	if !ok || h.generation != generation || h.sequence != sequence {
		return nil, false
	}
	end := headerBytes + padded(int(h.size))
	if end > len(data) {
		return nil, false
	}
	payload := data[headerBytes : headerBytes+int(h.size)]
	return payload, crc32.Checksum(payload, crcTable) == h.checksum
}

// corruptionReason says why a bad record can't be the torn last write; "" if it can.
// A torn write lacks its end or whole sectors, which then read as zeros.
func corruptionReason(file []byte, offset int, generation, sequence uint64) string {
	data := file[offset:]
	if hasLaterRecord(data, generation, sequence) {
		return fmt.Sprintf("record %d is bad and a later one follows", sequence)
	}
	if len(data) < headerBytes || allZero(data[:headerBytes]) {
		return ""
	}
	h, ok := decodeHeader(data)
	switch {
	case !ok:
		return fmt.Sprintf("header of record %d is bad", sequence)
	case h.generation != generation || h.sequence != sequence:
		return fmt.Sprintf("record %d of generation %d in place of %d of %d", h.sequence, h.generation, sequence, generation)
	case headerBytes+padded(int(h.size)) > len(data):
		return ""
	case !hasZeroSector(data[:headerBytes+padded(int(h.size))], offset):
		return fmt.Sprintf("checksum of record %d is wrong", sequence)
	}
	return ""
}

func hasLaterRecord(data []byte, generation, sequence uint64) bool {
	for at := headerBytes; at+headerBytes <= len(data); at += headerBytes {
		h, ok := decodeHeader(data[at:])
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
