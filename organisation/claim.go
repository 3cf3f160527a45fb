package organisation

import "github.com/rhubarbwick/rhubarbwick/document"

// Claim is what a client presented to identify itself. It is one of KeyClaim and NamedClaim. A session keeps its claim,
// also on an open route, which needs none: the route may be closed and the key may change hands while the session is open.
// A claim holds no key, only its hash.
type Claim interface{ claim() }

// KeyClaim identifies a client by its key alone.
type KeyClaim struct{ KeyHash KeyHash }

// NamedClaim identifies a client by a key of the organisation that it names.
type NamedClaim struct {
	Organisation string
	KeyHash      KeyHash
}

func (KeyClaim) claim()   {}
func (NamedClaim) claim() {}

// HashOf returns the hash of the claim's key.
func HashOf(c Claim) KeyHash {
	switch c := c.(type) {
	case KeyClaim:
		return c.KeyHash
	case NamedClaim:
		return c.KeyHash
	default:
		return KeyHash{}
	}
}

// claimedKey returns the key of the claim and the name of the organisation that holds it.
func claimedKey(lookup Lookup, c Claim) (string, document.Key, bool) {
	name := ""
	switch c := c.(type) {
	case KeyClaim:
		o, _, _ := lookup.FindKey(c.KeyHash.String())
		name = o.Name
	case NamedClaim:
		name = c.Organisation
	}
	key, found := findKey(lookup, name, HashOf(c))
	return name, key, found
}
