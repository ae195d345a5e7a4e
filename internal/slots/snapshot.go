package slots

import (
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/model"
)

// snapshot is the encoded form of the table, with sorted lists.
type snapshot struct {
	Generation uint64          `msgpack:"g"`
	Term       uint64          `msgpack:"t"`
	Changes    uint64          `msgpack:"c"`
	Open       bool            `msgpack:"o"`
	Servers    []Server        `msgpack:"s"`
	Holders    []holderHolding `msgpack:"h"`
}

type holderHolding struct {
	Holder   Holder    `msgpack:"h"`
	Holdings []Holding `msgpack:"l"`
}

// Snapshot encodes the whole table.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Generation: s.generation, Term: s.term, Changes: s.changes, Open: s.open, Servers: s.Servers()}
	for _, h := range s.Holders() {
		snap.Holders = append(snap.Holders, holderHolding{h, s.Holdings(h)})
	}
	return msgpack.Marshal(&snap)
}

// Restore replaces the whole table.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := msgpack.Unmarshal(data, &snap); err != nil {
		return err
	}
	fresh := NewState(snap.Generation)
	fresh.term = snap.Term
	fresh.changes = snap.Changes
	fresh.open = snap.Open
	for i := range snap.Servers {
		fresh.servers[snap.Servers[i].ID] = &snap.Servers[i]
	}
	for _, hh := range snap.Holders {
		fresh.holdings[hh.Holder] = map[model.ServerID]*Holding{}
		for i := range hh.Holdings {
			h := &hh.Holdings[i]
			fresh.holdings[hh.Holder][h.Server] = h
			fresh.held[h.Server] += h.Slots
		}
	}
	*s = *fresh
	return nil
}
