// Package organisation authenticates clients by the keys of their organisations and authorizes them for routes.
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

// KeyHash is the SHA-256 hash of a key's text. An unsalted hash is sufficient, because keys are random.
type KeyHash [sha256.Size]byte

// NewKey returns the text of a key made from the random bytes, and its hash.
func NewKey(random [KeySize]byte) (string, KeyHash) {
	key := base64.RawURLEncoding.EncodeToString(random[:])
	return key, HashKey(key)
}

// HashKey returns the SHA-256 hash of a key's text.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ParseKeyHash parses the hexadecimal form of a hash, as it stands in the document.
func ParseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	if len(text) != hex.EncodedLen(len(h)) {
		return KeyHash{}, port.Errorf(port.Invalid, "key hash has %d characters, want %d", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return KeyHash{}, port.Wrapf(err, port.Invalid, "key hash is not hexadecimal")
	}
	return h, nil
}

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Equal compares the hashes in constant time.
func (h KeyHash) Equal(other KeyHash) bool { return subtle.ConstantTimeCompare(h[:], other[:]) == 1 }
