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
	// keyIDBytes is the number of random bytes of a key's id.
	keyIDBytes = 8
	// secretBytes is the number of random bytes of a key's secret.
	secretBytes = 32
	// maxKeyTextBytes bounds the length of a key's text form.
	maxKeyTextBytes = 160
)

// NewKey generates a key. Its text contains the secret and must be shown to the
// caller once and never stored; hash is the hash of the secret.
func NewKey() (id model.KeyID, text string, hash [32]byte) {
	var idBytes [keyIDBytes]byte
	var secret [secretBytes]byte
	// rand.Read never returns an error: it crashes the process if the system's
	// random source fails.
	rand.Read(idBytes[:])
	rand.Read(secret[:])
	id = model.KeyID(hex.EncodeToString(idBytes[:]))
	encoded := hex.EncodeToString(secret[:])
	return id, keyPrefix + string(id) + "_" + encoded, sha256.Sum256([]byte(encoded))
}

// ParseKey returns the id and the hash of the secret of a key's text form.
func ParseKey(text string) (id model.KeyID, hash [32]byte, ok bool) {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok || len(text) > maxKeyTextBytes {
		return "", hash, false
	}
	idText, secret, ok := strings.Cut(rest, "_")
	if !ok || secret == "" || !validKeyID(model.KeyID(idText)) {
		return "", hash, false
	}
	return model.KeyID(idText), sha256.Sum256([]byte(secret)), true
}

// validKeyID allows 1 to maxKeyIDBytes lower-case letters, digits and dashes.
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

// Authenticate returns the workspace of a key given in its text form. The secret is
// compared in constant time. A missing, malformed, unknown, wrong or revoked
// key gets the same refusal in each case.
func Authenticate(view *api.EntryView, text string) (model.Workspace, *verdict.Refusal) {
	workspace, _, refusal := AuthenticateKey(view, text)
	return workspace, refusal
}

// AuthenticateKey is like Authenticate and also returns the key's id.
func AuthenticateKey(view *api.EntryView, text string) (model.Workspace, model.KeyID, *verdict.Refusal) {
	id, hash, ok := ParseKey(text)
	if !ok {
		return model.Workspace{}, "", badKey()
	}
	stored := findKey(view, id)
	equal := subtle.ConstantTimeCompare(stored.Hash[:], hash[:]) == 1
	if !equal || stored.Revoked {
		return model.Workspace{}, "", badKey()
	}
	workspace, refusal := workspaceOf(view, stored.Workspace)
	return workspace, id, refusal
}

// findKey returns the key with the given id. For an unknown id it returns a
// revoked key, so that unknown and revoked keys take the same code path.
func findKey(view *api.EntryView, id model.KeyID) model.Key {
	i, found := slices.BinarySearchFunc(view.Keys, id, func(k model.Key, id model.KeyID) int { return cmp.Compare(k.ID, id) })
	if !found {
		return model.Key{Revoked: true}
	}
	return view.Keys[i]
}

func workspaceOf(view *api.EntryView, id model.WorkspaceID) (model.Workspace, *verdict.Refusal) {
	i, found := slices.BinarySearchFunc(view.Workspaces, id, func(w model.Workspace, id model.WorkspaceID) int { return cmp.Compare(w.ID, id) })
	if !found {
		return model.Workspace{}, verdict.Refuse(verdict.ReasonUnknownWorkspace, "workspace %q is not declared", id)
	}
	return view.Workspaces[i], nil
}

func badKey() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonBadKey, "the key is missing, wrong or withdrawn")
}

// HashText returns the text form of a key's hash that JSON uses: base64.
func HashText(hash [32]byte) string { return base64.StdEncoding.EncodeToString(hash[:]) }

// ParseHash parses the text form that HashText returns.
func ParseHash(text string) (hash [32]byte, ok bool) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(b) != len(hash) {
		return hash, false
	}
	return [32]byte(b), true
}
