package codec

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// maxDepth bounds the arrays and maps within each other.
	maxDepth = 64
	// checkedBytes is the size from which data is checked for its depth. The decoder
	// recurses for each level, which the stack bears for shorter data.
	checkedBytes = 64 << 10
)

// ErrTooDeep is the error of arrays and maps that are nested too deeply.
var ErrTooDeep = errors.New("codec: arrays or maps are nested too deeply")

// ErrTooLong is the error of an array or a map that has more elements than there are
// bytes left.
var ErrTooLong = errors.New("codec: length is beyond the end of the data")

// Unmarshal decodes the msgpack in data into v. The library allocates the whole length
// that an array states, so that a damaged message of a few bytes could take all
// memory, and recurses into nested values that it skips, so that a long one could end the
// process. Unmarshal refuses lengths that the data can't hold, and deep nesting, first.
func Unmarshal(data []byte, v any) error {
	if err := checkLengths(data); err != nil {
		return err
	}
	if err := checkDepth(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}

// checkLengths returns ErrTooLong if an array or a map with a length of 32 bits has more
// elements than the data after it can hold. Shorter length fields are harmless. Data
// that is damaged in another way is left to the decoder.
func checkLengths(data []byte) error {
	if bytes.IndexByte(data, msgpcode.Array32) < 0 && bytes.IndexByte(data, msgpcode.Map32) < 0 {
		return nil
	}
	for len(data) > 0 {
		size, elements := header(data)
		if size == 0 || size > len(data) {
			return nil
		}
		data = data[size:]
		if elements > len(data) {
			return ErrTooLong
		}
	}
	return nil
}

// checkDepth returns ErrTooDeep if long data has arrays or maps that are nested deeper than
// maxDepth. Data that is damaged in another way is left to the decoder.
func checkDepth(data []byte) error {
	if len(data) < checkedBytes {
		return nil
	}
	// left holds, for each array or map that is open, how many values are left in it.
	left := make([]int, 0, maxDepth)
	for len(data) > 0 {
		size, elements := header(data)
		if size == 0 || size > len(data) {
			return nil
		}
		data = data[size:]
		for len(left) > 0 && left[len(left)-1] == 0 {
			left = left[:len(left)-1]
		}
		if len(left) > 0 {
			left[len(left)-1]--
		}
		if elements == 0 {
			continue
		}
		if len(left) == maxDepth {
			return ErrTooDeep
		}
		left = append(left, elements)
	}
	return nil
}

// header returns the size in bytes of the value at the start of data, and for an array
// or a map that of its header alone and the number of values that follow. The size is 0
// if the value is damaged.
func header(data []byte) (size, elements int) {
	code := data[0]
	switch {
	case code <= msgpcode.PosFixedNumHigh || code >= msgpcode.NegFixedNumLow:
		return 1, 0
	case code <= msgpcode.FixedMapHigh:
		return 1, 2 * int(code&msgpcode.FixedMapMask)
	case code <= msgpcode.FixedArrayHigh:
		return 1, int(code & msgpcode.FixedArrayMask)
	case code <= msgpcode.FixedStrHigh:
		return 1 + int(code&msgpcode.FixedStrMask), 0
	}
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 1, 0
	case msgpcode.Uint8, msgpcode.Int8:
		return 2, 0
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return 3, 0
	case msgpcode.FixExt2:
		return 4, 0
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5, 0
	case msgpcode.FixExt4:
		return 6, 0
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9, 0
	case msgpcode.FixExt8:
		return 10, 0
	case msgpcode.FixExt16:
		return 18, 0
	case msgpcode.Bin8, msgpcode.Str8:
		return lengthField(data, 1, 0), 0
	case msgpcode.Bin16, msgpcode.Str16:
		return lengthField(data, 2, 0), 0
	case msgpcode.Bin32, msgpcode.Str32:
		return lengthField(data, 4, 0), 0
	case msgpcode.Ext8:
		return lengthField(data, 1, 1), 0
	case msgpcode.Ext16:
		return lengthField(data, 2, 1), 0
	case msgpcode.Ext32:
		return lengthField(data, 4, 1), 0
	case msgpcode.Array16:
		return 3, length(data, 2)
	case msgpcode.Array32:
		return 5, length(data, 4)
	case msgpcode.Map16:
		return 3, 2 * length(data, 2)
	case msgpcode.Map32:
		return 5, 2 * length(data, 4)
	}
	return 0, 0
}

// lengthField returns the size of a value whose code is followed by a length of the
// given number of bytes, by extra bytes and by its content.
func lengthField(data []byte, bytes, extra int) int {
	return 1 + bytes + extra + length(data, bytes)
}

// length returns the length of the given number of bytes after the code, 0 if data ends
// before.
func length(data []byte, bytes int) int {
	if len(data) < 1+bytes {
		return 0
	}
	switch bytes {
	case 1:
		return int(data[1])
	case 2:
		return int(binary.BigEndian.Uint16(data[1:]))
	}
	return int(binary.BigEndian.Uint32(data[1:]))
}
