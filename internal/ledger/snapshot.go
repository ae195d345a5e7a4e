package ledger

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/model"
)

// snapshot is the encoded form of the table. Its lists are sorted, so that
// equal states have equal encodings.
type snapshot struct {
	DC         model.DCID `msgpack:"d"`
	Generation uint64     `msgpack:"g"`
	NowMillis  int64      `msgpack:"n"`
	Records    []*record  `msgpack:"r"`
	Floors     []floor    `msgpack:"f"`
}

type floor struct {
	Queue      model.QueueName `msgpack:"q"`
	MintMillis int64           `msgpack:"m"`
}

// Snapshot encodes the whole table.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{DC: s.dc, Generation: s.generation, NowMillis: s.now}
	for _, r := range s.records {
		snap.Records = append(snap.Records, r)
	}
	slices.SortFunc(snap.Records, func(a, b *record) int { return cmp.Compare(a.ID, b.ID) })
	for q, mint := range s.floors {
		snap.Floors = append(snap.Floors, floor{q, mint})
	}
	slices.SortFunc(snap.Floors, func(a, b floor) int { return cmp.Compare(a.Queue, b.Queue) })
	return msgpack.Marshal(&snap)
}

// Restore replaces the whole table; its limits stay.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := msgpack.Unmarshal(data, &snap); err != nil {
		return err
	}
	fresh := New(snap.DC, snap.Generation, s.limits)
	fresh.now = snap.NowMillis
	for _, r := range snap.Records {
		fresh.add(r)
		if r.Answer != nil {
			fresh.answerBytes += len(r.Answer.Body)
		}
	}
	for _, f := range snap.Floors {
		fresh.floors[f.Queue] = f.MintMillis
	}
	*s = *fresh
	return nil
}
