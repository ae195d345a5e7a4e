package settings

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// encodedEntry is the encoding of one value of a tree.
type encodedEntry struct {
	Level    Level  `msgpack:"l"`
	Node     string `msgpack:"o"`
	Name     Name   `msgpack:"n"`
	Value    Value  `msgpack:"v"`
	Revision uint64 `msgpack:"r"`
}

var (
	_ msgpack.CustomEncoder = (*Tree)(nil)
	_ msgpack.CustomDecoder = (*Tree)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder. The values are sorted, so that
// equal trees have equal encodings.
func (t *Tree) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.Encode(t.entries())
}

// DecodeMsgpack implements msgpack.CustomDecoder. It replaces all values of the
// tree.
func (t *Tree) DecodeMsgpack(d *msgpack.Decoder) error {
	var entries []encodedEntry
	if err := d.Decode(&entries); err != nil {
		return err
	}
	t.nodes = map[nodeKey]*node{}
	for _, e := range entries {
		t.Set(e.Level, e.Node, e.Name, e.Value, e.Revision)
	}
	return nil
}

// entries lists the tree's values, sorted by level, node and name.
func (t *Tree) entries() []encodedEntry {
	list := []encodedEntry{}
	for k, n := range t.nodes {
		for name, v := range n.Values {
			list = append(list, encodedEntry{k.level, k.name, name, v.Value, v.Revision})
		}
	}
	slices.SortFunc(list, func(a, b encodedEntry) int {
		return cmp.Or(
			cmp.Compare(levelDepth[a.Level], levelDepth[b.Level]),
			cmp.Compare(a.Node, b.Node),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return list
}

// levelDepth orders the levels from the top of the tree (fleet) down. The
// default comes before all of them: every level overrides it.
var levelDepth = map[Level]int{
	LevelDefault:    0,
	LevelFleet:      1,
	LevelRegion:     2,
	LevelDataCentre: 3,
	LevelWorkspace:  4,
	LevelWorkload:   5,
}
