// Package organisation decides which callers are admitted, and for which organisation.
package organisation

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// KeySize is the number of random bytes in a key.
const KeySize = 32

// KeyHash is the SHA-256 of a key's text. Keys are random, so a plain hash cannot be guessed back.
type KeyHash [sha256.Size]byte

// NewKey returns the text of a key made from random bytes, and its hash.
func NewKey(random [KeySize]byte) (string, KeyHash) {
	key := base64.RawURLEncoding.EncodeToString(random[:])
	return key, HashKey(key)
}

// HashKey returns the hash of a key's text.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ParseKeyHash reads the hexadecimal form that the document holds.
func ParseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	if len(text) != hex.EncodedLen(len(h)) {
		return KeyHash{}, port.Errorf(port.Invalid, "key hash has %d characters instead of %d", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return KeyHash{}, port.Wrapf(err, port.Invalid, "key hash is not hexadecimal")
	}
	return h, nil
}

// String returns the hexadecimal form.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Equal compares in constant time.
func (h KeyHash) Equal(other KeyHash) bool { return subtle.ConstantTimeCompare(h[:], other[:]) == 1 }
