package organisation

import (
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Lookup is what admission reads of the document in force. document.Document and document.Index implement it.
type Lookup interface {
	FindOrganisation(name string) (document.Organisation, bool)
	FindRoute(name string) (document.Route, bool)
}

// Credentials is what a caller presents.
type Credentials struct {
	Organisation string
	Key          string
	Route        string
}

// Admission is the outcome for a caller. It is one of Admitted and Refused.
type Admission interface{ decision() }

// Admitted lets the caller in for the organisation.
type Admitted struct {
	Organisation string
	// KeyID names the key that was presented; it is empty on an open route.
	KeyID string
	// KeyHash is the hash of that key. The next key of the same id is another key.
	KeyHash KeyHash
	Route   document.Route
}

// Refused sends the caller away. Kind is KeyRefused, UnknownRoute or NotFresh.
type Refused struct {
	Kind   port.Kind
	Reason string
}

func (Admitted) decision() {}
func (Refused) decision()  {}

// Err returns the refusal as an error of its kind.
func (r Refused) Err() error { return port.Failf(r.Kind, "%s", r.Reason) }

const (
	reasonNotFresh = "this instance cannot know which keys were withdrawn, because it hears neither the platform " +
		"nor the other data centres"
	reasonKey   = "the key is not one of the organisation's keys"
	reasonRoute = "the route does not exist"
)

// Admit decides about a caller at start-up. A caller learns whether a route exists only with a key. fresh reports
// whether the instance may still rely on the document.
func Admit(lookup Lookup, c Credentials, fresh bool) Admission {
	route, found := lookup.FindRoute(c.Route)
	if found && route.Open {
		return Admitted{Organisation: document.OpenOrganisation, Route: route}
	}
	if !fresh {
		return Refused{Kind: port.NotFresh, Reason: reasonNotFresh}
	}
	hash := HashKey(c.Key)
	key, ok := findKey(lookup, c.Organisation, func(k document.Key) bool { return matchesHash(k, hash) })
	if !ok {
		return Refused{Kind: port.KeyRefused, Reason: reasonKey}
	}
	if !found {
		return Refused{Kind: port.UnknownRoute, Reason: reasonRoute}
	}
	return Admitted{Organisation: c.Organisation, KeyID: key.ID, KeyHash: hash, Route: route}
}

// KeyLookup is what admission by key alone reads of the document in force. document.Index implements it.
type KeyLookup interface {
	Lookup
	FindKey(sha256 string) (document.Organisation, document.Key, bool)
}

// AdmitByKey decides about a caller that presents a key but names no organisation.
func AdmitByKey(lookup KeyLookup, route, key string, fresh bool) Admission {
	hash := HashKey(key)
	o, _, _ := lookup.FindKey(hash.String())
	return Admit(lookup, Credentials{Organisation: o.Name, Key: key, Route: route}, fresh)
}

// Recheck decides whether a caller that was admitted may run another statement.
func Recheck(lookup Lookup, a Admitted, fresh bool) Admission {
	route, found := lookup.FindRoute(a.Route.Name)
	if a.KeyID == "" {
		return reauthorizeOpen(a, route, found)
	}
	if !fresh {
		return Refused{Kind: port.NotFresh, Reason: reasonNotFresh}
	}
	hash := a.KeyHash
	_, ok := findKey(lookup, a.Organisation, func(k document.Key) bool { return k.ID == a.KeyID && matchesHash(k, hash) })
	if !ok {
		return Refused{Kind: port.KeyRefused, Reason: "the key was withdrawn"}
	}
	if !found {
		return Refused{Kind: port.UnknownRoute, Reason: reasonRoute}
	}
	a.Route = route
	return a
}

// reauthorizeOpen refuses a caller without a key as soon as its route is no longer open.
func reauthorizeOpen(a Admitted, route document.Route, found bool) Admission {
	if !found {
		return Refused{Kind: port.UnknownRoute, Reason: reasonRoute}
	}
	if !route.Open {
		return Refused{Kind: port.KeyRefused, Reason: "the route is no longer open without a key"}
	}
	a.Route = route
	return a
}

// findKey looks at every key of the organisation, so that the time taken does not tell which one fitted.
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
