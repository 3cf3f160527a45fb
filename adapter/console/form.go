package console

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// form is one of organisationForm, removeOrganisationForm, grantForm, withdrawForm, groupForm, removeGroupForm,
// routeForm, removeRouteForm, departingForm and seatsForm. An empty name stands for something new.
type form interface{ form() }

type organisationForm struct{ name string }

type removeOrganisationForm struct{ name string }

type grantForm struct{ organisation string }

type withdrawForm struct{ organisation, key string }

type groupForm struct{ name string }

type removeGroupForm struct{ name string }

type routeForm struct{ name string }

type removeRouteForm struct{ name string }

type departingForm struct {
	group, server string
	departing     bool
}

type seatsForm struct{}

func (organisationForm) form()       {}
func (removeOrganisationForm) form() {}
func (grantForm) form()              {}
func (withdrawForm) form()           {}
func (groupForm) form()              {}
func (removeGroupForm) form()        {}
func (routeForm) form()              {}
func (removeRouteForm) form()        {}
func (departingForm) form()          {}
func (seatsForm) form()              {}

// The fields that tell which item a form changes.
const (
	targetField       = "target"
	targetOwnerField  = "target_owner"
	departingField    = "departing"
	yes               = "yes"
	organisationField = "organisation"
)

// formOf returns the form of the name that a browser sent, and false when there is none.
func formOf(name string, v url.Values) (form, bool) {
	target, owner := v.Get(targetField), v.Get(targetOwnerField)
	switch name {
	case "organisation":
		return organisationForm{target}, true
	case "remove_organisation":
		return removeOrganisationForm{target}, true
	case "grant_key":
		return grantForm{v.Get(organisationField)}, true
	case "withdraw_key":
		return withdrawForm{owner, target}, true
	case "group":
		return groupForm{target}, true
	case "remove_group":
		return removeGroupForm{target}, true
	case "route":
		return routeForm{target}, true
	case "remove_route":
		return removeRouteForm{target}, true
	case "departing":
		return departingForm{owner, target, v.Get(departingField) == yes}, true
	case "seats":
		return seatsForm{}, true
	}
	return nil, false
}

// viewOf returns the form with the values that are in force in the document.
func viewOf(f form, d document.Document) formView {
	v := describe(f, d)
	v.Action = Root + "edit/" + v.Action
	v.Fields = append(v.Fields,
		hidden(baseField, strconv.FormatUint(uint64(d.Revision), 10)),
		field{Name: reasonField, Label: "Reason", Type: "text", Help: "What other operators read in the audit trail; without one it lists what changed."})
	return v
}

// describe returns the form without the fields that every form has. Its action is the form's name.
func describe(f form, d document.Document) formView {
	switch f := f.(type) {
	case organisationForm:
		return formView{Action: "organisation", Submit: "Save organisation", Fields: organisationFields(f.name, d)}
	case removeOrganisationForm:
		return formView{
			Action: "remove_organisation", Submit: "Remove organisation " + f.name + " and its keys",
			Fields: []field{hidden(targetField, f.name)},
		}
	case grantForm:
		return formView{Action: "grant_key", Submit: "Grant a new key", Fields: grantFields(f.organisation, d)}
	case withdrawForm:
		return formView{
			Action: "withdraw_key", Submit: "Withdraw key " + f.key + " of " + f.organisation,
			Fields: []field{hidden(targetOwnerField, f.organisation), hidden(targetField, f.key)},
		}
	case groupForm:
		return formView{Action: "group", Submit: "Save group", Fields: groupFields(f.name, d)}
	case removeGroupForm:
		return formView{Action: "remove_group", Submit: "Remove group " + f.name, Fields: []field{hidden(targetField, f.name)}}
	case routeForm:
		return formView{Action: "route", Submit: "Save route", Fields: routeFields(f.name, d)}
	case removeRouteForm:
		return formView{Action: "remove_route", Submit: "Remove route " + f.name, Fields: []field{hidden(targetField, f.name)}}
	case departingForm:
		return departingView(f)
	case seatsForm:
		return formView{Action: "seats", Submit: "Save seats", Fields: []field{number("seats", "Seats", float64(d.MaxFallbackHolders),
			"The number of proxy machines that may go on serving a small part of each rate while the platform is down.")}}
	}
	return formView{}
}

func departingView(f departingForm) formView {
	value, submit := "no", "Give server "+f.server+" new work again"
	if f.departing {
		value, submit = yes, "Give server "+f.server+" no new work"
	}
	return formView{Action: "departing", Submit: submit, Fields: []field{
		hidden(targetOwnerField, f.group), hidden(targetField, f.server), hidden(departingField, value),
	}}
}

func hidden(name, value string) field { return field{Name: name, Type: "hidden", Value: value} }

func number(name, label string, value float64, help string) field {
	return field{Name: name, Label: label, Type: "number", Value: numberText(value), Help: help}
}

func numberText(value float64) string {
	if value == 0 {
		return ""
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}

func check(name, label string, value bool, help string) field {
	f := field{Name: name, Label: label, Type: "checkbox", Help: help}
	if value {
		f.Value = yes
	}
	return f
}

// nameFields returns the field of a new item's name, or the fixed name of one that exists.
func nameFields(name, help string) []field {
	if name != "" {
		return []field{hidden(targetField, name)}
	}
	return []field{{Name: "name", Label: "Name", Type: "text", Help: help}}
}

func organisationFields(name string, d document.Document) []field {
	o, _ := d.FindOrganisation(name)
	return append(nameFields(name, "Callers give it as their database user."),
		number("rate", "Rate (statements a second)", o.Rate,
			"How many requests a second this business may send on average, counted over all proxy machines together."),
		number("burst", "Burst (statements)", o.Burst,
			"How many requests may come at once after a quiet moment before further ones are refused."))
}

func grantFields(owner string, d document.Document) []field {
	names := make([]string, 0, len(d.Organisations))
	for _, o := range d.Organisations {
		names = append(names, o.Name)
	}
	return []field{
		{
			Name: organisationField, Label: "Organisation", Type: "select", Value: owner, Options: names,
			Help: "The business whose data the key opens.",
		},
		{
			Name: "id", Label: "Name of the key", Type: "text",
			Help: "A name that tells this key from others when one has to be withdrawn; it is not secret.",
		},
	}
}

func groupFields(name string, d document.Document) []field {
	g, _ := d.FindGroup(name)
	fields := append(nameFields(name, "Routes name the group; it cannot be renamed later."), field{
		Name: "slots", Label: "Slots", Type: "text", Value: strings.Join(g.Slots, " "),
		Help: "The names of the databases on these servers, separated by spaces.",
	})
	fields = append(fields, number("serving_instances", "Serving instances", float64(g.ServingInstances),
		"How many proxy machines hold connections to these servers; the others pass their callers on. Empty means 16."))
	servers := slices.Clone(g.Servers)
	for len(servers) < len(g.Servers)+1 || len(servers) < 3 {
		servers = append(servers, document.Server{})
	}
	for i, s := range servers {
		fields = append(fields, serverFields(serverPrefix(i), i+1, s)...)
	}
	return fields
}

func serverFields(prefix string, n int, s document.Server) []field {
	label := func(text string) string { return fmt.Sprintf("Server %d: %s", n, text) }
	return []field{
		{Name: prefix + "name", Label: label("name"), Type: "text", Value: s.Name, Help: "The server's own name in its group; leave it empty for no server."},
		{Name: prefix + "address", Label: label("address"), Type: "text", Value: s.Address, Help: "The IP address and port at which the proxies reach it, such as 10.1.0.5:5432."},
		{Name: prefix + "data_centre", Label: label("data centre"), Type: "text", Value: s.DataCentre, Help: "Where the server stands; reads prefer servers nearby."},
		number(prefix+"connections", label("connections"), float64(s.Connections), "How many connections all proxy machines together may hold to it."),
		check(prefix+"departing", label("departing"), s.Departing, "A departing server gets no new work, so that it can be taken away."),
	}
}

func routeFields(name string, d document.Document) []field {
	r, _ := d.FindRoute(name)
	groups := make([]string, 0, len(d.Groups))
	for _, g := range d.Groups {
		groups = append(groups, g.Name)
	}
	return append(nameFields(name, "Callers give it as their database name."),
		field{Name: "group", Label: "Group", Type: "select", Value: r.Group, Options: groups, Help: "The servers that hold the route's data."},
		field{Name: "slot", Label: "Slot", Type: "text", Value: r.Slot, Help: "The database on those servers, which must be one of the group's slots."},
		field{
			Name: "kind", Label: "Kind", Type: "select", Value: string(r.Kind), Options: []string{string(document.Read), string(document.Write)},
			Help: "Requests on a read route cannot change anything.",
		},
		number("accepted_age_ms", "Accepted age (ms)", float64(r.AcceptedAgeMS),
			"How old, in thousandths of a second, the data that a read shows may be; empty accepts no age."),
		check("idempotent", "Idempotent", r.Idempotent, "Tick it only if running a request twice does no harm."),
		check("open", "Open to all", r.Open, "An open route needs no key, so everybody can read it."),
		number("rate", "Rate (statements a second)", r.Rate, "Only for an open route: how many requests a second all callers together may send."),
		number("burst", "Burst (statements)", r.Burst, "Only for an open route: how many requests may come at once."))
}
