package organisation

import (
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Lookup looks up organisations, keys and routes in the current document. document.Index implements it.
type Lookup interface {
	FindOrganisation(name string) (document.Organisation, bool)
	FindRoute(name string) (document.Route, bool)
	FindKey(sha256 string) (document.Organisation, document.Key, bool)
}

// Credentials are the credentials of a client and the route that it connects to.
type Credentials struct {
	Organisation string
	Key          string
	Route        string
}

// Decision is the result of an authorization. It is one of Allowed and Denied.
type Decision interface{ decision() }

// Allowed authorizes the client to act for the organisation on the route.
type Allowed struct {
	Organisation string
	// KeyID is the ID of the key by which the client was authorized. It is empty on an open route.
	KeyID string
	// Claim is what the client presented, whether or not the route needs it.
	Claim Claim
	Route document.Route
}

// Denied rejects the client. Kind is KeyRefused, UnknownRoute or NotFresh.
type Denied struct {
	Kind   port.Kind
	Reason string
}

func (Allowed) decision() {}
func (Denied) decision()  {}

// Err returns the denial as an error of its kind.
func (d Denied) Err() error { return port.Errorf(d.Kind, "%s", d.Reason) }

const (
	reasonStaleDocument = "this instance cannot tell which keys were withdrawn, because it can reach neither the platform " +
		"nor the other data centres"
	reasonKey       = "the key does not belong to the organisation"
	reasonRoute     = "the route does not exist"
	reasonWithdrawn = "the key was withdrawn"
	reasonClosed    = "the route is no longer open without a key"
)

// Authorize authorizes a client at start-up. A client without a valid key cannot find out which routes exist. fresh
// says whether the document is fresh enough to rely on its keys.
func Authorize(lookup Lookup, c Credentials, fresh bool) Decision {
	return authorize(lookup, NamedClaim{Organisation: c.Organisation, KeyHash: HashKey(c.Key)}, c.Route, fresh)
}

// AuthorizeKey authorizes a client by its key alone.
func AuthorizeKey(lookup Lookup, route, key string, fresh bool) Decision {
	return authorize(lookup, KeyClaim{KeyHash: HashKey(key)}, route, fresh)
}

func authorize(lookup Lookup, c Claim, routeName string, fresh bool) Decision {
	route, found := lookup.FindRoute(routeName)
	if found && route.Open {
		return Allowed{Organisation: document.OpenOrganisation, Claim: c, Route: route}
	}
	if !fresh {
		return Denied{Kind: port.NotFresh, Reason: reasonStaleDocument}
	}
	name, key, ok := claimedKey(lookup, c)
	if !ok {
		return Denied{Kind: port.KeyRefused, Reason: reasonKey}
	}
	if !found {
		return Denied{Kind: port.UnknownRoute, Reason: reasonRoute}
	}
	return Allowed{Organisation: name, KeyID: key.ID, Claim: c, Route: route}
}

// Reauthorize checks whether an authorized client may run another statement outside a transaction, given the current
// document. A client that may not go on as before is decided anew by what it presented: its route may have been closed or opened,
// and its key may have moved to another organisation.
func Reauthorize(lookup Lookup, a Allowed, fresh bool) Decision {
	route, found := lookup.FindRoute(a.Route.Name)
	switch refusal := ReauthorizeKey(lookup, a, fresh).(type) {
	case Denied:
		if refusal.Kind != port.KeyRefused {
			return refusal
		}
		return decideAnew(lookup, a, fresh, refusal)
	default:
		if !found {
			return Denied{Kind: port.UnknownRoute, Reason: reasonRoute}
		}
		if a.KeyID == "" && !route.Open {
			return decideAnew(lookup, a, fresh, Denied{Kind: port.KeyRefused, Reason: reasonClosed})
		}
		a.Route = route
		return a
	}
}

// decideAnew decides as for a new client with the same claim. refusal is returned if its key is refused.
func decideAnew(lookup Lookup, a Allowed, fresh bool, refusal Denied) Decision {
	d := authorize(lookup, a.Claim, a.Route.Name, fresh)
	if denied, ok := d.(Denied); ok && denied.Kind == port.KeyRefused {
		return refusal
	}
	return d
}

// ReauthorizeKey checks whether the key of an authorized client is still valid for its organisation, given the current
// document. Inside a transaction nothing else is checked: a change to a route applies from the next transaction on.
func ReauthorizeKey(lookup Lookup, a Allowed, fresh bool) Decision {
	if a.KeyID == "" {
		return a
	}
	if !fresh {
		return Denied{Kind: port.NotFresh, Reason: reasonStaleDocument}
	}
	key, found := findKey(lookup, a.Organisation, HashOf(a.Claim))
	if !found {
		return Denied{Kind: port.KeyRefused, Reason: reasonWithdrawn}
	}
	a.KeyID = key.ID
	return a
}

// findKey returns the organisation's key with the hash. It compares all keys, so that its run time does not reveal which one
// matched.
func findKey(lookup Lookup, name string, hash KeyHash) (document.Key, bool) {
	o, _ := lookup.FindOrganisation(name)
	var key document.Key
	found := false
	for _, k := range o.Keys {
		if matchesHash(k, hash) {
			key, found = k, true
		}
	}
	return key, found
}

func matchesHash(k document.Key, hash KeyHash) bool {
	h, err := ParseKeyHash(k.SHA256)
	return err == nil && h.Equal(hash)
}
