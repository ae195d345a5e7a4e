package fleet

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"slices"
	"strings"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// keyPrefix starts the text form of a key: kq_<id>_<secret>.
	keyPrefix = "kq_"
	// keyIDBytes is the length of the random part of a key's id.
	keyIDBytes = 8
	// secretBytes is the length of a key's random secret.
	secretBytes = 32
	// maxKeyBytes bounds the text form.
	maxKeyBytes = 160
)

// NewKey mints a key. Its text is shown once and never kept.
func NewKey() (id model.KeyID, text string, hash [32]byte) {
	var idBytes [keyIDBytes]byte
	var secret [secretBytes]byte
	// rand.Read never fails: it ends the process if the system has no randomness.
	rand.Read(idBytes[:])
	rand.Read(secret[:])
	id = model.KeyID(hex.EncodeToString(idBytes[:]))
	encoded := hex.EncodeToString(secret[:])
	return id, keyPrefix + string(id) + "_" + encoded, sha256.Sum256([]byte(encoded))
}

// ParseKey takes a key's text apart; the hash is that of its secret.
func ParseKey(text string) (id model.KeyID, hash [32]byte, ok bool) {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok || len(text) > maxKeyBytes {
		return "", hash, false
	}
	name, secret, ok := strings.Cut(rest, "_")
	if !ok || secret == "" || !validKeyID(model.KeyID(name)) {
		return "", hash, false
	}
	return model.KeyID(name), sha256.Sum256([]byte(secret)), true
}

// validKeyID allows small letters, digits and dashes, at most 32.
func validKeyID(id model.KeyID) bool {
	if id == "" || len(id) > maxKeyIDBytes {
		return false
	}
	for _, c := range string(id) {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-') {
			return false
		}
	}
	return true
}

const maxKeyIDBytes = 32

// Authenticate returns the workspace of a key's text. The secret is compared in
// constant time; a missing, malformed, unknown, wrong or withdrawn key all get
// the same refusal.
func Authenticate(view *api.EntryView, text string) (model.Workspace, *verdict.Refusal) {
	workspace, _, refusal := AuthenticateKey(view, text)
	return workspace, refusal
}

// AuthenticateKey is Authenticate that also returns the key's id.
func AuthenticateKey(view *api.EntryView, text string) (model.Workspace, model.KeyID, *verdict.Refusal) {
	id, hash, ok := ParseKey(text)
	if !ok {
		return model.Workspace{}, "", badKey()
	}
	stored := findKey(view, id)
	equal := subtle.ConstantTimeCompare(stored.Hash[:], hash[:]) == 1
	if !equal || stored.Withdrawn {
		return model.Workspace{}, "", badKey()
	}
	workspace, refusal := workspaceOf(view, stored.Workspace)
	return workspace, id, refusal
}

// findKey returns a withdrawn key for an id that is not known, so that both
// take the same way.
func findKey(view *api.EntryView, id model.KeyID) model.Key {
	i, found := slices.BinarySearchFunc(view.Keys, id, func(k model.Key, id model.KeyID) int { return cmp.Compare(k.ID, id) })
	if !found {
		return model.Key{Withdrawn: true}
	}
	return view.Keys[i]
}

func workspaceOf(view *api.EntryView, id model.WorkspaceID) (model.Workspace, *verdict.Refusal) {
	i, found := slices.BinarySearchFunc(view.Workspaces, id, func(t model.Workspace, id model.WorkspaceID) int { return cmp.Compare(t.ID, id) })
	if !found {
		return model.Workspace{}, verdict.Refuse(verdict.ReasonUnknownWorkspace, "workspace %q is not declared", id)
	}
	return view.Workspaces[i], nil
}

func badKey() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonBadKey, "the key is missing, wrong or withdrawn")
}

// HashText and ParseHash write and read a key's hash in JSON.
func HashText(hash [32]byte) string { return base64.StdEncoding.EncodeToString(hash[:]) }

// ParseHash reads what HashText wrote.
func ParseHash(text string) (hash [32]byte, ok bool) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(b) != len(hash) {
		return hash, false
	}
	return [32]byte(b), true
}
