package organisation

import (
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Rules is what admission reads of the document in force. document.Document and document.Index implement it.
type Rules interface {
	FindOrganisation(name string) (document.Organisation, bool)
	FindRoute(name string) (document.Route, bool)
}

// Credentials is what a caller presents.
type Credentials struct {
	Organisation string
	Key          string
	Route        string
}

// Decision is the outcome for a caller. It is one of Admitted and Refused.
type Decision interface{ admission() }

// Allowed lets the caller in for the organisation.
type Allowed struct {
	Organisation string
	// KeyID names the key that was presented; it is empty on an open route.
	KeyID string
	// KeyHash is the hash of that key. The next key of the same id is another key.
	KeyHash KeyHash
	Route   document.Route
}

// Denied sends the caller away. Kind is KeyRefused, UnknownRoute or NotFresh.
type Denied struct {
	Kind   port.Kind
	Reason string
}

func (Allowed) admission() {}
func (Denied) admission()  {}

// Err returns the refusal as an error of its kind.
func (r Denied) Err() error { return port.Errorf(r.Kind, "%s", r.Reason) }

const (
	reasonNotFresh = "this instance cannot know which keys were withdrawn, because it hears neither the platform " +
		"nor the other data centres"
	reasonKey   = "the key is not one of the organisation's keys"
	reasonRoute = "the route does not exist"
)

// Authorize decides about a caller at start-up. A caller learns whether a route exists only with a key. fresh reports
// whether the instance may still rely on the document.
func Authorize(rules Rules, c Credentials, fresh bool) Decision {
	route, found := rules.FindRoute(c.Route)
	if found && route.Open {
		return Allowed{Organisation: document.OpenOrganisation, Route: route}
	}
	if !fresh {
		return Denied{Kind: port.NotFresh, Reason: reasonNotFresh}
	}
	hash := HashKey(c.Key)
	key, ok := findKey(rules, c.Organisation, func(k document.Key) bool { return isHash(k, hash) })
	if !ok {
		return Denied{Kind: port.KeyRefused, Reason: reasonKey}
	}
	if !found {
		return Denied{Kind: port.UnknownRoute, Reason: reasonRoute}
	}
	return Allowed{Organisation: c.Organisation, KeyID: key.ID, KeyHash: hash, Route: route}
}

// KeyRules is what admission by key alone reads of the document in force. document.Index implements it.
type KeyRules interface {
	Rules
	FindKey(sha256 string) (document.Organisation, document.Key, bool)
}

// AuthorizeKey decides about a caller that presents a key but names no organisation.
func AuthorizeKey(rules KeyRules, route, key string, fresh bool) Decision {
	hash := HashKey(key)
	o, _, _ := rules.FindKey(hash.String())
	return Authorize(rules, Credentials{Organisation: o.Name, Key: key, Route: route}, fresh)
}

// Reauthorize decides whether a caller that was admitted may run another statement.
func Reauthorize(rules Rules, a Allowed, fresh bool) Decision {
	route, found := rules.FindRoute(a.Route.Name)
	if a.KeyID == "" {
		return recheckOpen(a, route, found)
	}
	if !fresh {
		return Denied{Kind: port.NotFresh, Reason: reasonNotFresh}
	}
	hash := a.KeyHash
	_, ok := findKey(rules, a.Organisation, func(k document.Key) bool { return k.ID == a.KeyID && isHash(k, hash) })
	if !ok {
		return Denied{Kind: port.KeyRefused, Reason: "the key was withdrawn"}
	}
	if !found {
		return Denied{Kind: port.UnknownRoute, Reason: reasonRoute}
	}
	a.Route = route
	return a
}

// recheckOpen refuses a caller without a key as soon as its route is no longer open.
func recheckOpen(a Allowed, route document.Route, found bool) Decision {
	if !found {
		return Denied{Kind: port.UnknownRoute, Reason: reasonRoute}
	}
	if !route.Open {
		return Denied{Kind: port.KeyRefused, Reason: "the route is no longer open without a key"}
	}
	a.Route = route
	return a
}

// findKey looks at every key of the organisation, so that the time taken does not tell which one fitted.
func findKey(rules Rules, name string, match func(document.Key) bool) (document.Key, bool) {
	o, _ := rules.FindOrganisation(name)
	var key document.Key
	found := false
	for _, k := range o.Keys {
		if match(k) {
			key, found = k, true
		}
	}
	return key, found
}

func isHash(k document.Key, hash KeyHash) bool {
	h, err := ParseKeyHash(k.SHA256)
	return err == nil && h.Equal(hash)
}
