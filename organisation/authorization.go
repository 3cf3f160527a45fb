package organisation

import (
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Lookup looks up organisations and routes in the current document. document.Document and document.Index implement it.
type Lookup interface {
	FindOrganisation(name string) (document.Organisation, bool)
	FindRoute(name string) (document.Route, bool)
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
	// KeyID is the ID of the client's key. It is empty on an open route.
	KeyID string
	// KeyHash is the hash of that key. It is needed because a later key may have the same ID.
	KeyHash KeyHash
	Route   document.Route
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
)

// Authorize authorizes a client at start-up. A client without a valid key cannot find out which routes exist. fresh
// says whether the document is fresh enough to rely on its keys.
func Authorize(lookup Lookup, c Credentials, fresh bool) Decision {
	route, found := lookup.FindRoute(c.Route)
	if found && route.Open {
		return Allowed{Organisation: document.OpenOrganisation, Route: route}
	}
	if !fresh {
		return Denied{Kind: port.NotFresh, Reason: reasonStaleDocument}
	}
	hash := HashKey(c.Key)
	key, ok := findKey(lookup, c.Organisation, func(k document.Key) bool { return matchesHash(k, hash) })
	if !ok {
		return Denied{Kind: port.KeyRefused, Reason: reasonKey}
	}
	if !found {
		return Denied{Kind: port.UnknownRoute, Reason: reasonRoute}
	}
	return Allowed{Organisation: c.Organisation, KeyID: key.ID, KeyHash: hash, Route: route}
}

// KeyLookup is a Lookup that also finds the organisation of a key. document.Index implements it.
type KeyLookup interface {
	Lookup
	FindKey(sha256 string) (document.Organisation, document.Key, bool)
}

// AuthorizeKey authorizes a client by its key alone.
func AuthorizeKey(lookup KeyLookup, route, key string, fresh bool) Decision {
	hash := HashKey(key)
	o, _, _ := lookup.FindKey(hash.String())
	return Authorize(lookup, Credentials{Organisation: o.Name, Key: key, Route: route}, fresh)
}

// Reauthorize checks whether an authorized client may run another statement outside a transaction, given the current
// document.
func Reauthorize(lookup Lookup, a Allowed, fresh bool) Decision {
	route, found := lookup.FindRoute(a.Route.Name)
	if a.KeyID == "" {
		return reauthorizeOpen(a, route, found)
	}
	if denied, isDenied := ReauthorizeKey(lookup, a, fresh).(Denied); isDenied {
		return denied
	}
	if !found {
		return Denied{Kind: port.UnknownRoute, Reason: reasonRoute}
	}
	a.Route = route
	return a
}

// ReauthorizeKey checks whether the key of an authorized client is still valid, given the current document. Inside a
// transaction nothing else is checked: a change to a route applies from the next transaction on.
func ReauthorizeKey(lookup Lookup, a Allowed, fresh bool) Decision {
	if a.KeyID == "" {
		return a
	}
	if !fresh {
		return Denied{Kind: port.NotFresh, Reason: reasonStaleDocument}
	}
	hash := a.KeyHash
	_, ok := findKey(lookup, a.Organisation, func(k document.Key) bool { return k.ID == a.KeyID && matchesHash(k, hash) })
	if !ok {
		return Denied{Kind: port.KeyRefused, Reason: reasonWithdrawn}
	}
	return a
}

// reauthorizeOpen checks a client without a key: its route must exist and still be open.
func reauthorizeOpen(a Allowed, route document.Route, found bool) Decision {
	if !found {
		return Denied{Kind: port.UnknownRoute, Reason: reasonRoute}
	}
	if !route.Open {
		return Denied{Kind: port.KeyRefused, Reason: "the route is no longer open without a key"}
	}
	a.Route = route
	return a
}

// findKey compares all keys of the organisation, so that its run time does not reveal which one matched.
func findKey(lookup Lookup, name string, match func(document.Key) bool) (document.Key, bool) {
	o, _ := lookup.FindOrganisation(name)
	var key document.Key
	found := false
	for _, k := range o.Keys {
		if match(k) {
			key, found = k, true
		}
	}
	return key, found
}

func matchesHash(k document.Key, hash KeyHash) bool {
	h, err := ParseKeyHash(k.SHA256)
	return err == nil && h.Equal(hash)
}
