package codec

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// nested has values of every kind that the project's messages have.
type nested struct {
	Names   []string          `msgpack:"n"`
	Floats  []float64         `msgpack:"f"`
	Bytes   []byte            `msgpack:"b"`
	ByName  map[string]nested `msgpack:"m"`
	Numbers []int64           `msgpack:"i"`
}

// TestLengthsBeyondTheData checks that a length that the data can't hold is refused
// before anything is allocated for it, and that whole messages with long arrays, and
// with bytes that look like their headers, are decoded.
func TestLengthsBeyondTheData(t *testing.T) {
	for _, damaged := range []string{
		"\x81\xa1n\xdd\xb0000", "\x81\xa1f\xdd\xff\xff\xff\xff", "\x81\xa1m\xdf\xff\xff\xff\xff", "\x82\xa1b\xc4\x02\xdd\xdd\xa1n\xdd\x7f000\xa1x",
	} {
		qt.Check(t, Unmarshal([]byte(damaged), &nested{}), qt.ErrorIs, ErrTooLong, qt.Commentf("%x", damaged))
	}
	whole := nested{
		Names: strings.Split(strings.Repeat("x\xdd,", 70_000), ","), Floats: []float64{1.5, -2}, Bytes: []byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0xdf},
		Numbers: make([]int64, 70_000), ByName: map[string]nested{strings.Repeat("k", 300): {Numbers: []int64{1 << 40, -1 << 40, 300, -300, 7}}},
	}
	data, err := Marshal(&whole)
	qt.Assert(t, err, qt.IsNil)
	var decoded nested
	qt.Assert(t, Unmarshal(data, &decoded), qt.IsNil)
	qt.Check(t, decoded, qt.DeepEquals, whole)
}

// FuzzUnmarshal checks that no data makes the decoder panic or take much memory.
func FuzzUnmarshal(f *testing.F) {
	data, err := Marshal(&nested{Names: []string{"a"}, Floats: []float64{1}, Bytes: []byte("b"), ByName: map[string]nested{"c": {}}, Numbers: []int64{-1}})
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var v nested
		_ = Unmarshal(data, &v)
	})
}
