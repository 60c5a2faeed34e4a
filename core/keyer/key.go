// Package keyer issues and verifies the keys that callers present. Only the ID and the digest of a key are stored.
package keyer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	prefix      = "smk"
	idBytes     = 10
	secretBytes = 20
	separator   = "_"
)

var alphabet = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Digest is the SHA-256 hash of the text of a key.
type Digest [sha256.Size]byte

// Key is a key in clear text. It is shown to the operator once and must not be logged or stored.
type Key struct {
	ID   string
	text string
}

// New returns a new key from random, which must be cryptographically secure.
func New(random io.Reader) (Key, error) {
	raw := make([]byte, idBytes+secretBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return Key{}, errors.Wrap(err, "generate key")
	}
	id := alphabet.EncodeToString(raw[:idBytes])
	secret := alphabet.EncodeToString(raw[idBytes:])
	return Key{ID: id, text: strings.Join([]string{prefix, id, secret}, separator)}, nil
}

// Parse parses the text of a key that the fleet issued. Its errors never contain the text.
func Parse(text string) (Key, error) {
	parts := strings.Split(text, separator)
	if len(parts) != 3 || parts[0] != prefix {
		return Key{}, errors.New("key does not have the form smk_ID_SECRET")
	}
	if len(parts[1]) != alphabet.EncodedLen(idBytes) || len(parts[2]) != alphabet.EncodedLen(secretBytes) {
		return Key{}, errors.New("ID or secret of key has the wrong length")
	}
	return Key{ID: parts[1], text: text}, nil
}

// externalPrefix is the prefix of the IDs of keys that were issued elsewhere.
const externalPrefix = "x"

// External returns the key for a text that was issued elsewhere. Its ID is derived from the digest of the text.
func External(text string) Key {
	digest := sha256.Sum256([]byte(text))
	return Key{ID: externalPrefix + alphabet.EncodeToString(digest[:idBytes]), text: text}
}

// Digest returns the digest under which the key is stored.
func (k Key) Digest() Digest {
	return sha256.Sum256([]byte(k.text))
}

// Reveal returns the key in clear text, to show it to the operator or to send it in an Authorization header.
func (k Key) Reveal() string {
	return k.text
}

// String returns the key without its secret, so that a logged key shows only its ID.
func (k Key) String() string {
	return prefix + separator + k.ID + separator + "hidden"
}

// Matches reports, in constant time, whether the key has the given digest.
func (k Key) Matches(digest Digest) bool {
	own := k.Digest()
	return subtle.ConstantTimeCompare(own[:], digest[:]) == 1
}
