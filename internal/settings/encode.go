package settings

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// encodedEntry is one value of a tree as it is encoded.
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

// EncodeMsgpack writes the tree's values in order, so that equal trees have
// equal encodings.
func (t *Tree) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.Encode(t.entries())
}

// DecodeMsgpack replaces the tree's values.
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

// entries lists the values sorted by level, node and name.
func (t *Tree) entries() []encodedEntry {
	list := []encodedEntry{}
	for k, n := range t.nodes {
		for name, v := range n.Values {
			list = append(list, encodedEntry{k.level, k.name, name, v.Value, v.Revision})
		}
	}
	slices.SortFunc(list, func(a, b encodedEntry) int {
		return cmp.Or(
			cmp.Compare(depth[a.Level], depth[b.Level]),
			cmp.Compare(a.Node, b.Node),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return list
}

// depth orders the levels from the top down.
var depth = map[Level]int{
	LevelDefault:    0,
	LevelFleet:      1,
	LevelRegion:     2,
	LevelDataCentre: 3,
	LevelWorkspace:  4,
	LevelWorkload:   5,
}
