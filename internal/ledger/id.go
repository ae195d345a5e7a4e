package ledger

import (
	"strconv"
	"strings"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// maxIDBytes bounds the text of a request id.
	maxIDBytes = 128
	// mintBase is the base in which an id's time is written.
	mintBase = 36
	// idParts is the number of parts after the data centre's name.
	idParts = 3
)

// ID is a request id taken apart. Its text is
// "<dc>-<generation>-<mint millis, base 36>-<random>".
type ID struct {
	// DC is the data centre whose group keeps the record.
	DC model.DCID
	// Generation is that group's generation when the id was minted.
	Generation uint64
	// MintMillis is that group's clock when the id was minted.
	MintMillis int64
	// Random tells ids of one millisecond apart.
	Random string
}

// String returns the id's text.
func (id ID) String() string {
	return string(id.DC) + "-" + strconv.FormatUint(id.Generation, 10) +
		"-" + strconv.FormatInt(id.MintMillis, mintBase) + "-" + id.Random
}

// Mint returns a new id; random must be unique enough within a millisecond and
// hold no dash.
func Mint(dc model.DCID, generation uint64, groupMillis int64, random string) model.RequestID {
	return model.RequestID(ID{dc, generation, groupMillis, random}.String())
}

// Parse takes an id apart. Only the text that String returns is accepted, so
// that one request has one spelling. Its error is a NotRun refusal.
func Parse(text model.RequestID) (ID, error) {
	if len(text) > maxIDBytes {
		return ID{}, verdict.Refuse(verdict.ReasonBadRequest, "request id has %d bytes, at most %d are allowed", len(text), maxIDBytes)
	}
	parts := strings.Split(string(text), "-")
	if len(parts) <= idParts {
		return ID{}, badID(text)
	}
	tail := parts[len(parts)-idParts:]
	generation, err := strconv.ParseUint(tail[0], 10, 64)
	if err != nil {
		return ID{}, badID(text)
	}
	mint, err := strconv.ParseInt(tail[1], mintBase, 64)
	if err != nil {
		return ID{}, badID(text)
	}
	dc := strings.Join(parts[:len(parts)-idParts], "-")
	id := ID{model.DCID(dc), generation, mint, tail[2]}
	if id.DC == "" || id.Random == "" || mint < 0 || id.String() != string(text) {
		return ID{}, badID(text)
	}
	return id, nil
}

func badID(text model.RequestID) error {
	return verdict.Refuse(verdict.ReasonBadRequest, "%q is not a request id of this system", string(text))
}
