package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
)

// A file is a sequence of records. Each record is synced before the next one is
// written, so a crash can tear only the last one. A record consists of a header
// of headerBytes, a payload and zeros up to a multiple of headerBytes. A header
// therefore never crosses a sector boundary, and the disk writes a sector either
// completely or not at all.
const (
	headerBytes = 32
	sectorBytes = 512
	recordMagic = 0x4b515731
	// maxCopyBytes is the largest payload that is copied, so that the record is
	// written in one call.
	maxCopyBytes = 64 << 10
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// recordHeader is the decoded header of a record.
type recordHeader struct {
	// size is the length of the payload in bytes.
	size       uint32
	sequence   uint64
	generation uint64
	// checksum is the CRC-32C of the payload.
	checksum uint32
}

// padded returns n rounded up to a multiple of headerBytes.
func padded(n int) int { return (n + headerBytes - 1) / headerBytes * headerBytes }

// encodeHeader returns the header of a record with the given payload. The last
// four bytes are the checksum of the header itself.
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

// writeRecord writes a record to w: in one call of Write if the payload has at
// most maxCopyBytes, otherwise in three calls without copying the payload.
func writeRecord(w io.Writer, generation, sequence uint64, payload []byte) error {
	header := encodeHeader(generation, sequence, payload)
	zeros := make([]byte, padded(len(payload))-len(payload))
	if len(payload) <= maxCopyBytes {
		_, err := w.Write(slices.Concat(header, payload, zeros))
		return err
	}
	for _, part := range [][]byte{header, payload, zeros} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// decodeHeader decodes the header at the start of b; false if there is no valid
// one.
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
		checksum:   binary.BigEndian.Uint32(b[24:]),
	}, true
}

// scanRecords calls fn with the payload of each valid record of a file and returns
// the offset at which the last one ends. The bytes after it may be the record of a
// torn write: that write was never acknowledged, so it may be dropped. Anything
// else that is not a valid record gives a CorruptError.
func scanRecords(file string, data []byte, generation uint64, fn func(payload []byte) error) (int, error) {
	at := 0
	for sequence := uint64(0); at < len(data); sequence++ {
		payload, ok := decodeRecord(data[at:], generation, sequence)
		if !ok {
			if reason := corruptionReason(data, at, generation, sequence); reason != "" {
				return 0, &CorruptError{file, at, reason}
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

// decodeRecord returns the payload of the record at the start of data; false if
// the record is incomplete, damaged or not the expected one.
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

// corruptionReason returns why the invalid record at offset can't be the result of
// a torn write, or "" if it can. After a torn write the end of the record is
// missing, or some of its sectors were not written and contain zeros; no valid
// record follows it.
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

// hasLaterRecord reports whether data contains the header of a record of the
// generation with a higher sequence number, after the first header.
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

// hasZeroSector reports whether a sector of a record is all zeros, as after a torn
// write that did not reach this sector. The record starts at offset in its file.
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
