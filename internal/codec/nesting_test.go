package codec

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// TestDeeplyNestedDataIsRefused guards against a process that ends when it reads a message
// or a file: the decoder skips a field that it doesn't know by recursion, for which
// millions of nested arrays take all memory.
func TestDeeplyNestedDataIsRefused(t *testing.T) {
	field := []byte{msgpcode.FixedMapLow | 1, msgpcode.FixedStrLow | 1, 'x'}
	nested := func(depth int) []byte {
		return append(append(bytes.Clone(field), bytes.Repeat([]byte{msgpcode.FixedArrayLow | 1}, depth)...), msgpcode.Nil)
	}
	var v sample
	qt.Check(t, Unmarshal(nested(maxDepth/2), &v), qt.IsNil)
	for _, depth := range []int{checkedBytes, 8 << 20} {
		qt.Check(t, Unmarshal(nested(depth), &v), qt.Equals, ErrTooDeep)
	}
	wide := append(bytes.Clone(field), msgpcode.Array32, 0, 2, 0, 0)
	wide = append(wide, bytes.Repeat([]byte{msgpcode.Nil}, 2<<16)...)
	qt.Check(t, Unmarshal(wide, &v), qt.IsNil, qt.Commentf("long and flat"))
}
