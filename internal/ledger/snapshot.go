package ledger

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/codec"
	"kumquatwing/internal/model"
)

// snapshot is the encoded form of State. Its lists are sorted, so that equal
// states have equal encodings.
type snapshot struct {
	DC            model.DCID    `msgpack:"d"`
	Generation    uint64        `msgpack:"g"`
	NowMillis     int64         `msgpack:"n"`
	Records       []*record     `msgpack:"r"`
	NewestExpired []expiredMint `msgpack:"f"`
}

// expiredMint is the encoded form of an entry of State.newestExpired.
type expiredMint struct {
	Queue      model.QueueName `msgpack:"q"`
	MintMillis int64           `msgpack:"m"`
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{DC: s.dc, Generation: s.generation, NowMillis: s.now}
	for _, r := range s.records {
		snap.Records = append(snap.Records, r)
	}
	slices.SortFunc(snap.Records, func(a, b *record) int { return cmp.Compare(a.ID, b.ID) })
	for q, mint := range s.newestExpired {
		snap.NewestExpired = append(snap.NewestExpired, expiredMint{q, mint})
	}
	slices.SortFunc(snap.NewestExpired, func(a, b expiredMint) int { return cmp.Compare(a.Queue, b.Queue) })
	return msgpack.Marshal(&snap)
}

// Restore replaces the whole state by that of a snapshot and keeps the limits.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := codec.Unmarshal(data, &snap); err != nil {
		return err
	}
	fresh := New(snap.DC, snap.Generation, s.limits)
	fresh.now = snap.NowMillis
	for _, r := range snap.Records {
		fresh.insert(r)
		if r.Answer != nil {
			fresh.answerBytes += len(r.Answer.Body)
		}
	}
	for _, f := range snap.NewestExpired {
		fresh.newestExpired[f.Queue] = f.MintMillis
	}
	*s = *fresh
	return nil
}
