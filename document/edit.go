package document

import (
	"fmt"
	"slices"
	"strings"
)

// Edit is one change that an operator asks for. It is one of PutOrganisation, RemoveOrganisation, GrantKey,
// WithdrawKey, PutGroup, RemoveGroup, PutRoute, RemoveRoute, SetDeparting, SetSeats and Replace.
type Edit interface{ edit() }

// PutOrganisation adds an organisation or changes its limits. Its keys change only through GrantKey and WithdrawKey,
// so that a form that was opened earlier cannot bring a withdrawn key back.
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

// SetDeparting says whether a server gets new work.
type SetDeparting struct {
	Group     string
	Server    string
	Departing bool
}

// SetMaxFallbackHolders sets the number of instances for which standing shares are kept.
type SetMaxFallbackHolders struct{ MaxFallbackHolders int }

// Replace puts everything that the given document states in the place of the current one. Its revision, change and
// history are ignored.
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

// WithEdit returns the next revision of the document, or the faults that forbid it. The change's identity and author
// must be set; its revision is set here, and its summary when it has none.
func (d Document) WithEdit(e Edit, c Change) (Document, []Violation) {
	if faults := c.check(); len(faults) > 0 {
		return Document{}, faults
	}
	next, faults := d.apply(e)
	if len(faults) > 0 {
		return Document{}, faults
	}
	if next.MaxFallbackHolders == 0 && d.Revision == 0 {
		next.MaxFallbackHolders = DefaultMaxFallbackHolders
	}
	if c.Summary == "" {
		c.Summary = summary(Diff(d, next))
	}
	next = next.withChange(d, c).inOrder()
	if faults := next.Validate(); len(faults) > 0 {
		return Document{}, faults
	}
	if _, faults := Encode(next); len(faults) > 0 {
		return Document{}, faults
	}
	return next, nil
}

// IsNewer reports whether next may take the place of current. Only a greater revision does.
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

// withChange numbers the document as the one after previous and adds the change to previous's history.
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
		return Document{}, []Violation{missing("organisation", name)}
	}
	d.Organisations = without(d.Organisations, func(o Organisation) bool { return o.Name == name })
	return d, nil
}

func (d Document) withKey(e GrantKey) (Document, []Violation) {
	o, found := d.FindOrganisation(e.Organisation)
	if !found {
		return Document{}, []Violation{missing("organisation", e.Organisation)}
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
		return Document{}, []Violation{missing("organisation", e.Organisation)}
	}
	isKey := func(k Key) bool { return k.ID == e.KeyID }
	if !slices.ContainsFunc(o.Keys, isKey) {
		return Document{}, []Violation{missing("key", e.KeyID)}
	}
	o.Keys = without(o.Keys, isKey)
	return d.WithOrganisation(o), nil
}

func (d Document) withoutGroup(name string) (Document, []Violation) {
	if _, found := d.FindGroup(name); !found {
		return Document{}, []Violation{missing("group", name)}
	}
	d.Groups = without(d.Groups, func(g Group) bool { return g.Name == name })
	return d, nil
}

func (d Document) withoutRoute(name string) (Document, []Violation) {
	if _, found := d.FindRoute(name); !found {
		return Document{}, []Violation{missing("route", name)}
	}
	d.Routes = without(d.Routes, func(r Route) bool { return r.Name == name })
	return d, nil
}

func (d Document) withDeparting(e SetDeparting) (Document, []Violation) {
	g, found := d.FindGroup(e.Group)
	if !found {
		return Document{}, []Violation{missing("group", e.Group)}
	}
	s, found := g.FindServer(e.Server)
	if !found {
		return Document{}, []Violation{missing("server", e.Server)}
	}
	s.Departing = e.Departing
	g.Servers = withItem(g.Servers, s, func(other Server) bool { return other.Name == s.Name })
	return d.WithGroup(g), nil
}

func (c Change) check() []Violation {
	var faults []Violation
	if c.ID == "" {
		faults = append(faults, Violation{"change.id", quote(c.ID), "a random identity"})
	}
	if strings.TrimSpace(c.Author) == "" {
		faults = append(faults, Violation{"change.author", quote(c.Author), "the name of the operator"})
	}
	return faults
}

func missing(kind, name string) Violation {
	return Violation{kind, quote(name), "the name of one that exists"}
}

func without[T any](items []T, match func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(items), match)
}
