package slots

import (
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/codec"
	"kumquatwing/internal/model"
)

// snapshot is the encoded form of State. Its lists are sorted, so that equal
// states have equal encodings.
type snapshot struct {
	Generation    uint64         `msgpack:"g"`
	Term          uint64         `msgpack:"t"`
	Changes       uint64         `msgpack:"c"`
	GrantsAllowed bool           `msgpack:"o"`
	Servers       []Server       `msgpack:"s"`
	Holders       []holderGrants `msgpack:"h"`
}

// holderGrants is the encoded form of a holder's grants.
type holderGrants struct {
	Holder Holder  `msgpack:"h"`
	Grants []Grant `msgpack:"l"`
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Generation: s.generation, Term: s.term, Changes: s.changes, GrantsAllowed: s.grantsAllowed, Servers: s.Servers()}
	for _, h := range s.Holders() {
		snap.Holders = append(snap.Holders, holderGrants{h, s.Grants(h)})
	}
	return msgpack.Marshal(&snap)
}

// Restore replaces the whole state by that of a snapshot.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := codec.Unmarshal(data, &snap); err != nil {
		return err
	}
	fresh := NewState(snap.Generation)
	fresh.term = snap.Term
	fresh.changes = snap.Changes
	fresh.grantsAllowed = snap.GrantsAllowed
	for i := range snap.Servers {
		fresh.servers[snap.Servers[i].ID] = &snap.Servers[i]
	}
	for _, h := range snap.Holders {
		fresh.grants[h.Holder] = map[model.ServerID]*Grant{}
		for i := range h.Grants {
			g := &h.Grants[i]
			fresh.grants[h.Holder][g.Server] = g
			fresh.granted[g.Server] += g.Slots
		}
	}
	*s = *fresh
	return nil
}
