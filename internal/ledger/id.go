package ledger

import (
	"strconv"
	"strings"

	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// maxIDBytes is the maximum length of a request id.
	maxIDBytes = 128
	// mintBase is the number base of the mint time in an id.
	mintBase = 36
	// partsAfterDC is the number of dash-separated parts after the data centre,
	// whose name may contain dashes.
	partsAfterDC = 3
)

// ID is a parsed request id. Its text form is
// "<dc>-<generation>-<mint millis, base 36>-<random>".
type ID struct {
	// DC is the data centre whose group keeps the request's record.
	DC model.DCID
	// Generation is the generation of that group when the id was minted.
	Generation uint64
	// MintMillis is the group time, in milliseconds, when the id was minted.
	MintMillis int64
	// Random distinguishes ids minted in the same millisecond.
	Random string
}

// String returns the text form of the id.
func (id ID) String() string {
	return string(id.DC) + "-" + strconv.FormatUint(id.Generation, 10) +
		"-" + strconv.FormatInt(id.MintMillis, mintBase) + "-" + id.Random
}

// Mint returns a new id. random must not repeat within a millisecond, except with
// negligible probability, and must not contain a dash.
func Mint(dc model.DCID, generation uint64, groupMillis int64, random string) model.RequestID {
	return model.RequestID(ID{dc, generation, groupMillis, random}.String())
}

// Parse parses a request id. It accepts only the canonical text that String
// returns, so that a request has exactly one id. Its error is a NotRun refusal.
func Parse(text model.RequestID) (ID, error) {
	if len(text) > maxIDBytes {
		return ID{}, verdict.Refuse(verdict.ReasonBadRequest, "request id has %d bytes, at most %d are allowed", len(text), maxIDBytes)
	}
	parts := strings.Split(string(text), "-")
	if len(parts) <= partsAfterDC {
		return ID{}, badID(text)
	}
	tail := parts[len(parts)-partsAfterDC:]
	generation, err := strconv.ParseUint(tail[0], 10, 64)
	if err != nil {
		return ID{}, badID(text)
	}
	mint, err := strconv.ParseInt(tail[1], mintBase, 64)
	if err != nil {
		return ID{}, badID(text)
	}
	dc := strings.Join(parts[:len(parts)-partsAfterDC], "-")
	id := ID{model.DCID(dc), generation, mint, tail[2]}
	if id.DC == "" || id.Random == "" || mint < 0 || id.String() != string(text) {
		return ID{}, badID(text)
	}
	return id, nil
}

// badID returns the refusal of a malformed request id.
func badID(text model.RequestID) error {
	return verdict.Refuse(verdict.ReasonBadRequest, "%q is not a request id of this system", string(text))
}
