package console

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// form is one of organisationForm, removeOrganisationForm, grantKeyForm, withdrawKeyForm, groupForm, removeGroupForm,
// routeForm, removeRouteForm, departingForm and maxFallbackHoldersForm. With an empty name it creates an item.
type form interface{ form() }

type organisationForm struct{ name string }

type removeOrganisationForm struct{ name string }

type grantKeyForm struct{ organisation string }

type withdrawKeyForm struct{ organisation, key string }

type groupForm struct{ name string }

type removeGroupForm struct{ name string }

type routeForm struct{ name string }

type removeRouteForm struct{ name string }

type departingForm struct {
	group, server string
	departing     bool
}

type maxFallbackHoldersForm struct{}

func (organisationForm) form()       {}
func (removeOrganisationForm) form() {}
func (grantKeyForm) form()           {}
func (withdrawKeyForm) form()        {}
func (groupForm) form()              {}
func (removeGroupForm) form()        {}
func (routeForm) form()              {}
func (removeRouteForm) form()        {}
func (departingForm) form()          {}
func (maxFallbackHoldersForm) form() {}

// Fields that identify the item that a form edits, and the value of a checked checkbox.
const (
	targetField       = "target"
	targetParentField = "target_owner"
	departingField    = "departing"
	checkedValue      = "yes"
	organisationField = "organisation"
)

// parseForm returns the form with the name for the submitted item, and false if there is no such form.
func parseForm(name string, values url.Values) (form, bool) {
	target, owner := values.Get(targetField), values.Get(targetParentField)
	switch name {
	case "organisation":
		return organisationForm{target}, true
	case "remove_organisation":
		return removeOrganisationForm{target}, true
	case "grant_key":
		return grantKeyForm{values.Get(organisationField)}, true
	case "withdraw_key":
		return withdrawKeyForm{owner, target}, true
	case "group":
		return groupForm{target}, true
	case "remove_group":
		return removeGroupForm{target}, true
	case "route":
		return routeForm{target}, true
	case "remove_route":
		return removeRouteForm{target}, true
	case "departing":
		return departingForm{owner, target, values.Get(departingField) == checkedValue}, true
	case "seats":
		return maxFallbackHoldersForm{}, true
	}
	return nil, false
}

// newFormView returns the form with the values of the document.
func newFormView(f form, d document.Document) formView {
	v := editFormView(f, d)
	v.Action = Root + "edit/" + v.Action
	v.Fields = append(v.Fields,
		hiddenField(baseRevisionField, strconv.FormatUint(uint64(d.Revision), 10)),
		field{Name: reasonField, Label: "Reason", Type: "text", Help: "It is recorded in the audit trail. If empty, the trail lists what changed."})
	return v
}

// editFormView returns the form without the fields that all forms have. Its action is the name of the form.
func editFormView(f form, d document.Document) formView {
	switch f := f.(type) {
	case organisationForm:
		return formView{Action: "organisation", Submit: "Save organisation", Fields: organisationFields(f.name, d)}
	case removeOrganisationForm:
		return formView{
			Action: "remove_organisation", Submit: "Remove organisation " + f.name + " and its keys",
			Fields: []field{hiddenField(targetField, f.name)},
		}
	case grantKeyForm:
		return formView{Action: "grant_key", Submit: "Grant a new key", Fields: grantKeyFields(f.organisation, d)}
	case withdrawKeyForm:
		return formView{
			Action: "withdraw_key", Submit: "Withdraw key " + f.key + " of " + f.organisation,
			Fields: []field{hiddenField(targetParentField, f.organisation), hiddenField(targetField, f.key)},
		}
	case groupForm:
		return formView{Action: "group", Submit: "Save group", Fields: groupFields(f.name, d)}
	case removeGroupForm:
		return formView{Action: "remove_group", Submit: "Remove group " + f.name, Fields: []field{hiddenField(targetField, f.name)}}
	case routeForm:
		return formView{Action: "route", Submit: "Save route", Fields: routeFields(f.name, d)}
	case removeRouteForm:
		return formView{Action: "remove_route", Submit: "Remove route " + f.name, Fields: []field{hiddenField(targetField, f.name)}}
	case departingForm:
		return departingFormView(f)
	case maxFallbackHoldersForm:
		return formView{Action: "seats", Submit: "Save seats", Fields: []field{numberField("seats", "Seats", float64(d.MaxFallbackHolders),
			"The number of proxy instances that keep a small share of each rate while the platform is unavailable.")}}
	}
	return formView{}
}

func departingFormView(f departingForm) formView {
	value, submit := "no", "Give server "+f.server+" new work again"
	if f.departing {
		value, submit = checkedValue, "Give server "+f.server+" no new work"
	}
	return formView{Action: "departing", Submit: submit, Fields: []field{
		hiddenField(targetParentField, f.group), hiddenField(targetField, f.server), hiddenField(departingField, value),
	}}
}

func hiddenField(name, value string) field { return field{Name: name, Type: "hidden", Value: value} }

func numberField(name, label string, value float64, help string) field {
	return field{Name: name, Label: label, Type: "number", Value: formatNumber(value), Help: help}
}

func formatNumber(value float64) string {
	if value == 0 {
		return ""
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}

func checkboxField(name, label string, value bool, help string) field {
	f := field{Name: name, Label: label, Type: "checkbox", Help: help}
	if value {
		f.Value = checkedValue
	}
	return f
}

// nameFields returns the input field for the name of a new item, or a hidden field with the name of an existing one.
func nameFields(name, help string) []field {
	if name != "" {
		return []field{hiddenField(targetField, name)}
	}
	return []field{{Name: "name", Label: "Name", Type: "text", Help: help}}
}

func organisationFields(name string, d document.Document) []field {
	o, _ := d.FindOrganisation(name)
	return append(nameFields(name, "Clients use it as their database user."),
		numberField("rate", "Rate (statements a second)", o.Rate,
			"The average number of statements that the organisation may send each second, over all proxy instances."),
		numberField("burst", "Burst (statements)", o.Burst,
			"The number of statements that may be sent at once after an idle time before further ones are rejected."))
}

func grantKeyFields(owner string, d document.Document) []field {
	names := make([]string, 0, len(d.Organisations))
	for _, o := range d.Organisations {
		names = append(names, o.Name)
	}
	return []field{
		{
			Name: organisationField, Label: "Organisation", Type: "select", Value: owner, Options: names,
			Help: "The organisation whose data the key gives access to.",
		},
		{
			Name: "id", Label: "Name of the key", Type: "text",
			Help: "It identifies the key when you withdraw it later, and is not secret.",
		},
	}
}

func groupFields(name string, d document.Document) []field {
	g, _ := d.FindGroup(name)
	fields := append(nameFields(name, "Routes refer to the group by this name, which cannot be changed later."), field{
		Name: "slots", Label: "Slots", Type: "text", Value: strings.Join(g.Slots, " "),
		Help: "The names of the databases on these servers, separated by spaces.",
	})
	fields = append(fields, numberField("serving_instances", "Serving instances", float64(g.ServingInstances),
		"The number of proxy instances that connect to these servers; the others forward their clients. Empty means 16."))
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
		{Name: prefix + "name", Label: label("name"), Type: "text", Value: s.Name, Help: "A name that is unique in the group; leave it empty for no server."},
		{Name: prefix + "address", Label: label("address"), Type: "text", Value: s.Address, Help: "The IP address and port that the proxy instances connect to, such as 10.1.0.5:5432."},
		{Name: prefix + "data_centre", Label: label("data centre"), Type: "text", Value: s.DataCentre, Help: "The location of the server; reads prefer nearby servers."},
		numberField(prefix+"connections", label("connections"), float64(s.Connections), "The maximum number of connections of all proxy instances together."),
		checkboxField(prefix+"departing", label("departing"), s.Departing, "A departing server gets no new work, so that it can be removed."),
	}
}

func routeFields(name string, d document.Document) []field {
	r, _ := d.FindRoute(name)
	groups := make([]string, 0, len(d.Groups))
	for _, g := range d.Groups {
		groups = append(groups, g.Name)
	}
	return append(nameFields(name, "Clients use it as their database name."),
		field{Name: "group", Label: "Group", Type: "select", Value: r.Group, Options: groups, Help: "The group of servers that store the data of the route."},
		field{Name: "slot", Label: "Slot", Type: "text", Value: r.Slot, Help: "The database on those servers, which must be one of the group's slots."},
		field{
			Name: "kind", Label: "Kind", Type: "select", Value: string(r.Kind), Options: []string{string(document.Read), string(document.Write)},
			Help: "Statements on a read route cannot change data.",
		},
		numberField("accepted_age_ms", "Accepted age (ms)", float64(r.AcceptedAgeMS),
			"The maximum age, in milliseconds, of the data that a read returns; empty means no age is accepted."),
		checkboxField("idempotent", "Idempotent", r.Idempotent, "Select this only if a statement may run twice without harm."),
		checkboxField("open", "Open to all", r.Open, "An open route requires no key, so anyone can read it."),
		numberField("rate", "Rate (statements a second)", r.Rate, "Only for an open route: the average number of statements that all clients together may send each second."),
		numberField("burst", "Burst (statements)", r.Burst, "Only for an open route: the number of statements that may be sent at once."))
}
