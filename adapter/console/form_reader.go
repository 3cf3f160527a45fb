package console

import (
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
)

// maxServers limits the servers of a submitted group. The document allows fewer.
const maxServers = 64

// itemPathPrefix matches the part of a violation's path that identifies the item of the form.
var itemPathPrefix = regexp.MustCompile(`^(organisations|groups|routes)\[\d+\]\.(keys\[\d+\]\.)?`)

// formReader reads typed values from a submitted form and collects a violation for each value of the wrong type.
type formReader struct {
	values     url.Values
	violations []document.Violation
}

// parseEdit returns the edit of a submitted form. A granted key gets the hash. It is a violation to create an item with
// an existing name, so that a form for a new item never replaces an existing one.
func parseEdit(f form, values url.Values, d document.Document, hash organisation.KeyHash) (document.Edit, []document.Violation) {
	r := &formReader{values: values}
	edit := r.edit(f, d, hash)
	return edit, r.violations
}

func (r *formReader) edit(f form, d document.Document, hash organisation.KeyHash) document.Edit {
	switch f := f.(type) {
	case organisationForm:
		_, exists := d.FindOrganisation(r.text("name"))
		return document.PutOrganisation{Name: r.itemName(f.name, exists), Rate: r.number("rate"), Burst: r.number("burst")}
	case removeOrganisationForm:
		return document.RemoveOrganisation{Name: f.name}
	case grantKeyForm:
		return document.GrantKey{Organisation: f.organisation, Key: document.Key{ID: r.text("id"), SHA256: hash.String()}}
	case withdrawKeyForm:
		return document.WithdrawKey{Organisation: f.organisation, KeyID: f.key}
	case groupForm:
		_, exists := d.FindGroup(r.text("name"))
		return document.PutGroup{Group: r.group(r.itemName(f.name, exists))}
	case removeGroupForm:
		return document.RemoveGroup{Name: f.name}
	case routeForm:
		_, exists := d.FindRoute(r.text("name"))
		return document.PutRoute{Route: r.route(r.itemName(f.name, exists))}
	case removeRouteForm:
		return document.RemoveRoute{Name: f.name}
	case departingForm:
		return document.SetDeparting{Group: f.group, Server: f.server, Departing: f.departing}
	case maxFallbackHoldersForm:
		return document.SetMaxFallbackHolders{MaxFallbackHolders: r.integer("seats")}
	}
	return nil
}

func (r *formReader) text(name string) string { return strings.TrimSpace(r.values.Get(name)) }

func (r *formReader) checked(name string) bool { return r.values.Get(name) == checkedValue }

// itemName returns the name of the existing item, or that of the item to create.
func (r *formReader) itemName(existing string, exists bool) string {
	if existing != "" {
		return existing
	}
	name := r.text("name")
	if exists {
		r.addViolation("name", name, "a name that is not in use yet")
	}
	return name
}

// number reads a number. An empty field is zero, which the validation of the document accepts or rejects.
func (r *formReader) number(name string) float64 {
	value := r.text(name)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil {
		r.addViolation(name, value, "a number, such as 250 or 0.5")
	}
	return n
}

func (r *formReader) integer(name string) int {
	value := r.text(name)
	if value == "" {
		return 0
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		r.addViolation(name, value, "a whole number")
	}
	return n
}

func (r *formReader) group(name string) document.Group {
	g := document.Group{Name: name, Slots: strings.Fields(r.values.Get("slots")), ServingInstances: r.integer("serving_instances")}
	for i := range maxServers {
		prefix := serverPrefix(i)
		if r.text(prefix+"name") == "" {
			break
		}
		g.Servers = append(g.Servers, r.server(prefix))
	}
	return g
}

func serverPrefix(i int) string { return fmt.Sprintf("servers[%d].", i) }

// withoutEmptyServers returns the values without servers that have no name, and renumbers the others. The index in a
// violation's path then refers to the same server in the form as in the group.
func withoutEmptyServers(submitted url.Values) url.Values {
	compact := make(url.Values, len(submitted))
	for name, values := range submitted {
		if !strings.HasPrefix(name, "servers[") {
			compact[name] = values
		}
	}
	next := 0
	for i := range maxServers {
		if strings.TrimSpace(submitted.Get(serverPrefix(i)+"name")) == "" {
			continue
		}
		for _, key := range []string{"name", "address", "data_centre", "connections", "departing"} {
			compact[serverPrefix(next)+key] = submitted[serverPrefix(i)+key]
		}
		next++
	}
	return compact
}

func (r *formReader) server(prefix string) document.Server {
	return document.Server{
		Name:        r.text(prefix + "name"),
		Address:     r.text(prefix + "address"),
		DataCentre:  r.text(prefix + "data_centre"),
		Connections: r.integer(prefix + "connections"),
		Departing:   r.checked(prefix + "departing"),
	}
}

func (r *formReader) route(name string) document.Route {
	return document.Route{
		Name:          name,
		Group:         r.text("group"),
		Slot:          r.text("slot"),
		Kind:          document.Kind(r.text("kind")),
		AcceptedAgeMS: int64(r.integer("accepted_age_ms")),
		Idempotent:    r.checked("idempotent"),
		Open:          r.checked("open"),
		Rate:          r.number("rate"),
		Burst:         r.number("burst"),
	}
}

func (r *formReader) addViolation(path, value, allowed string) {
	r.violations = append(r.violations, document.Violation{Path: path, Value: strconv.Quote(value), Allowed: allowed})
}

// withSubmitted returns the form with the submitted values. A current value that differs is kept in InForce.
func (v formView) withSubmitted(values url.Values) formView {
	v.Fields = slices.Clone(v.Fields)
	for i, f := range v.Fields {
		if f.Type == "hidden" {
			continue
		}
		submitted := values.Get(f.Name)
		if f.Value != submitted {
			v.Fields[i].InForce = f.Value
		}
		v.Fields[i].Value = submitted
	}
	return v
}

// withoutCurrentValues returns the form without the current values, which are shown only after a conflict.
func (v formView) withoutCurrentValues() formView {
	v.Fields = slices.Clone(v.Fields)
	for i := range v.Fields {
		v.Fields[i].InForce = ""
	}
	return v
}

// withViolations returns the form with each violation at its field. Those of no field are shown above the form.
func (v formView) withViolations(violations []document.Violation) formView {
	v.Fields = slices.Clone(v.Fields)
	for _, violation := range violations {
		i := v.fieldIndex(violation.Path)
		if i < 0 {
			v.Problems = append(v.Problems, violation.String())
			continue
		}
		v.Fields[i].Fault = fmt.Sprintf("%s is given; allowed: %s", violation.Value, violation.Allowed)
	}
	return v
}

// fieldIndex returns the index of the field for the path of a violation, or -1. A path such as
// "groups[1].servers[0].address" ends with the name of the field; one such as "groups[1].slots[2]" leads to a part of
// the field.
func (v formView) fieldIndex(path string) int {
	switch path {
	case "key":
		path = "id"
	case "server", "group", "route":
		path = targetField
	}
	path = itemPathPrefix.ReplaceAllString(path, "")
	return slices.IndexFunc(v.Fields, func(f field) bool { return f.Name == path || strings.HasPrefix(path, f.Name+"[") })
}
