package document

import (
	"fmt"
	"slices"
	"strings"
)

// Edit is one change that an operator asks for. It is one of PutOrganisation, RemoveOrganisation, GrantKey,
// WithdrawKey, PutGroup, RemoveGroup, PutRoute, RemoveRoute, SetDeparting, SetMaxFallbackHolders and Replace.
type Edit interface{ edit() }

// PutOrganisation adds an organisation or changes its limits. Keys change only through GrantKey and WithdrawKey, so
// that submitting an outdated form cannot restore a withdrawn key.
type PutOrganisation struct {
	Name  string
	Rate  float64
	Burst float64
}

// RemoveOrganisation removes an organisation and its keys.
type RemoveOrganisation struct{ Name string }

// GrantKey adds a key to an organisation.
type GrantKey struct {
	Organisation string
	Key          Key
}

// WithdrawKey removes a key from an organisation.
type WithdrawKey struct {
	Organisation string
	KeyID        string
}

// PutGroup adds a group or replaces it.
type PutGroup struct{ Group Group }

// RemoveGroup removes a group that no route uses.
type RemoveGroup struct{ Name string }

// PutRoute adds a route or replaces it.
type PutRoute struct{ Route Route }

// RemoveRoute removes a route.
type RemoveRoute struct{ Name string }

// SetDeparting starts or stops draining a server.
type SetDeparting struct {
	Group     string
	Server    string
	Departing bool
}

// SetMaxFallbackHolders sets the number of instances for which fallback shares are reserved.
type SetMaxFallbackHolders struct{ MaxFallbackHolders int }

// Replace replaces the content of the current document with that of the given one, whose revision, change and history
// are ignored.
type Replace struct{ Document Document }

func (PutOrganisation) edit()       {}
func (RemoveOrganisation) edit()    {}
func (GrantKey) edit()              {}
func (WithdrawKey) edit()           {}
func (PutGroup) edit()              {}
func (RemoveGroup) edit()           {}
func (PutRoute) edit()              {}
func (RemoveRoute) edit()           {}
func (SetDeparting) edit()          {}
func (SetMaxFallbackHolders) edit() {}
func (Replace) edit()               {}

// WithEdit returns the next revision of the document, or the violations if the edit is invalid. The change's ID and
// author must be set. Its revision is set here, and its summary if it is empty.
func (d Document) WithEdit(e Edit, c Change) (Document, []Violation) {
	if violations := c.validate(); len(violations) > 0 {
		return Document{}, violations
	}
	next, violations := d.apply(e)
	if len(violations) > 0 {
		return Document{}, violations
	}
	if next.MaxFallbackHolders == 0 && d.Revision == 0 {
		next.MaxFallbackHolders = DefaultMaxFallbackHolders
	}
	if c.Summary == "" {
		c.Summary = summarize(Diff(d, next))
	}
	next = next.withChange(d, c).sorted()
	if violations := next.Validate(); len(violations) > 0 {
		return Document{}, violations
	}
	if _, violations := Encode(next); len(violations) > 0 {
		return Document{}, violations
	}
	return next, nil
}

// IsNewer reports whether next has a greater revision than current. Only then may it replace current.
func IsNewer(next, current Document) bool { return next.Revision > current.Revision }

func (d Document) apply(e Edit) (Document, []Violation) {
	switch e := e.(type) {
	case PutOrganisation:
		o, _ := d.FindOrganisation(e.Name)
		o.Name, o.Rate, o.Burst = e.Name, e.Rate, e.Burst
		return d.WithOrganisation(o), nil
	case RemoveOrganisation:
		return d.withoutOrganisation(e.Name)
	case GrantKey:
		return d.withKey(e)
	case WithdrawKey:
		return d.withoutKey(e)
	case PutGroup:
		return d.WithGroup(e.Group), nil
	case RemoveGroup:
		return d.withoutGroup(e.Name)
	case PutRoute:
		return d.WithRoute(e.Route), nil
	case RemoveRoute:
		return d.withoutRoute(e.Name)
	case SetDeparting:
		return d.withDeparting(e)
	case SetMaxFallbackHolders:
		d.MaxFallbackHolders = e.MaxFallbackHolders
		return d, nil
	case Replace:
		return e.Document, nil
	default:
		return Document{}, []Violation{{"edit", fmt.Sprintf("%T", e), "one of the known edits"}}
	}
}

// withChange sets the revision that follows previous, the change, and previous's history with the change added.
func (d Document) withChange(previous Document, c Change) Document {
	c.Revision = previous.Revision + 1
	d.Revision = c.Revision
	d.Change = c
	history := append(slices.Clone(previous.History), c)
	d.History = history[max(0, len(history)-MaxHistory):]
	return d
}

func (d Document) withoutOrganisation(name string) (Document, []Violation) {
	if _, found := d.FindOrganisation(name); !found {
		return Document{}, []Violation{notFound("organisation", name)}
	}
	d.Organisations = without(d.Organisations, func(o Organisation) bool { return o.Name == name })
	return d, nil
}

func (d Document) withKey(e GrantKey) (Document, []Violation) {
	o, found := d.FindOrganisation(e.Organisation)
	if !found {
		return Document{}, []Violation{notFound("organisation", e.Organisation)}
	}
	if slices.ContainsFunc(o.Keys, func(k Key) bool { return k.ID == e.Key.ID }) {
		return Document{}, []Violation{{"key", quote(e.Key.ID), "an id that the organisation does not use yet"}}
	}
	o.Keys = append(slices.Clone(o.Keys), e.Key)
	return d.WithOrganisation(o), nil
}

func (d Document) withoutKey(e WithdrawKey) (Document, []Violation) {
	o, found := d.FindOrganisation(e.Organisation)
	if !found {
		return Document{}, []Violation{notFound("organisation", e.Organisation)}
	}
	isKey := func(k Key) bool { return k.ID == e.KeyID }
	if !slices.ContainsFunc(o.Keys, isKey) {
		return Document{}, []Violation{notFound("key", e.KeyID)}
	}
	o.Keys = without(o.Keys, isKey)
	return d.WithOrganisation(o), nil
}

func (d Document) withoutGroup(name string) (Document, []Violation) {
	if _, found := d.FindGroup(name); !found {
		return Document{}, []Violation{notFound("group", name)}
	}
	d.Groups = without(d.Groups, func(g Group) bool { return g.Name == name })
	return d, nil
}

func (d Document) withoutRoute(name string) (Document, []Violation) {
	if _, found := d.FindRoute(name); !found {
		return Document{}, []Violation{notFound("route", name)}
	}
	d.Routes = without(d.Routes, func(r Route) bool { return r.Name == name })
	return d, nil
}

func (d Document) withDeparting(e SetDeparting) (Document, []Violation) {
	g, found := d.FindGroup(e.Group)
	if !found {
		return Document{}, []Violation{notFound("group", e.Group)}
	}
	s, found := g.FindServer(e.Server)
	if !found {
		return Document{}, []Violation{notFound("server", e.Server)}
	}
	s.Departing = e.Departing
	g.Servers = upsert(g.Servers, s, func(other Server) bool { return other.Name == s.Name })
	return d.WithGroup(g), nil
}

func (c Change) validate() []Violation {
	var violations []Violation
	if c.ID == "" {
		violations = append(violations, Violation{"change.id", quote(c.ID), "a random ID"})
	}
	if strings.TrimSpace(c.Author) == "" {
		violations = append(violations, Violation{"change.author", quote(c.Author), "the name of the operator"})
	}
	return violations
}

func notFound(kind, name string) Violation {
	return Violation{kind, quote(name), "the name of one that exists"}
}

func without[T any](items []T, match func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(items), match)
}
