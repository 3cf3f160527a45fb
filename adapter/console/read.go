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

// maxServers bounds the servers that a form may carry. The document allows fewer.
const maxServers = 64

// itemPath is the part of a fault's path that leads to the form's item.
var itemPath = regexp.MustCompile(`^(organisations|groups|routes)\[\d+\]\.(keys\[\d+\]\.)?`)

// reader takes typed values from a sent form and collects the faults of those that are not of their type.
type reader struct {
	values url.Values
	faults []document.Violation
}

// readEdit returns the edit that the sent form asks for. hash is that of the key that a grant gives. Names that are
// taken are faults, so that a form for something new does not change what exists.
func readEdit(f form, v url.Values, d document.Document, hash organisation.KeyHash) (document.Edit, []document.Violation) {
	r := &reader{values: v}
	edit := r.edit(f, d, hash)
	return edit, r.faults
}

func (r *reader) edit(f form, d document.Document, hash organisation.KeyHash) document.Edit {
	switch f := f.(type) {
	case organisationForm:
		_, taken := d.FindOrganisation(r.text("name"))
		return document.PutOrganisation{Name: r.name(f.name, taken), Rate: r.number("rate"), Burst: r.number("burst")}
	case removeOrganisationForm:
		return document.RemoveOrganisation{Name: f.name}
	case grantForm:
		return document.GrantKey{Organisation: f.organisation, Key: document.Key{ID: r.text("id"), SHA256: hash.String()}}
	case withdrawForm:
		return document.WithdrawKey{Organisation: f.organisation, KeyID: f.key}
	case groupForm:
		_, taken := d.FindGroup(r.text("name"))
		return document.PutGroup{Group: r.group(r.name(f.name, taken))}
	case removeGroupForm:
		return document.RemoveGroup{Name: f.name}
	case routeForm:
		_, taken := d.FindRoute(r.text("name"))
		return document.PutRoute{Route: r.route(r.name(f.name, taken))}
	case removeRouteForm:
		return document.RemoveRoute{Name: f.name}
	case departingForm:
		return document.SetDeparting{Group: f.group, Server: f.server, Departing: f.departing}
	case seatsForm:
		return document.SetMaxFallbackHolders{MaxFallbackHolders: r.whole("seats")}
	}
	return nil
}

func (r *reader) text(name string) string { return strings.TrimSpace(r.values.Get(name)) }

func (r *reader) checked(name string) bool { return r.values.Get(name) == yes }

// name returns the name of the item that exists, or the new one.
func (r *reader) name(existing string, taken bool) string {
	if existing != "" {
		return existing
	}
	name := r.text("name")
	if taken {
		r.fault("name", name, "a name that is not in use yet")
	}
	return name
}

// number reads a number. An empty field is zero, about which the document's own rules decide.
func (r *reader) number(name string) float64 {
	given := r.text(name)
	if given == "" {
		return 0
	}
	n, err := strconv.ParseFloat(given, 64)
	if err != nil {
		r.fault(name, given, "a number, such as 250 or 0.5")
	}
	return n
}

func (r *reader) whole(name string) int {
	given := r.text(name)
	if given == "" {
		return 0
	}
	n, err := strconv.Atoi(given)
	if err != nil {
		r.fault(name, given, "a whole number")
	}
	return n
}

func (r *reader) group(name string) document.Group {
	g := document.Group{Name: name, Slots: strings.Fields(r.values.Get("slots")), ServingInstances: r.whole("serving_instances")}
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

// withoutEmptyServers moves the servers of a sent form up over those without a name, so that a fault's path leads to
// the same server in the form as in the group.
func withoutEmptyServers(sent url.Values) url.Values {
	compact := make(url.Values, len(sent))
	for name, values := range sent {
		if !strings.HasPrefix(name, "servers[") {
			compact[name] = values
		}
	}
	next := 0
	for i := range maxServers {
		if strings.TrimSpace(sent.Get(serverPrefix(i)+"name")) == "" {
			continue
		}
		for _, key := range []string{"name", "address", "data_centre", "connections", "departing"} {
			compact[serverPrefix(next)+key] = sent[serverPrefix(i)+key]
		}
		next++
	}
	return compact
}

func (r *reader) server(prefix string) document.Server {
	return document.Server{
		Name:        r.text(prefix + "name"),
		Address:     r.text(prefix + "address"),
		DataCentre:  r.text(prefix + "data_centre"),
		Connections: r.whole(prefix + "connections"),
		Departing:   r.checked(prefix + "departing"),
	}
}

func (r *reader) route(name string) document.Route {
	return document.Route{
		Name:          name,
		Group:         r.text("group"),
		Slot:          r.text("slot"),
		Kind:          document.Kind(r.text("kind")),
		AcceptedAgeMS: int64(r.whole("accepted_age_ms")),
		Idempotent:    r.checked("idempotent"),
		Open:          r.checked("open"),
		Rate:          r.number("rate"),
		Burst:         r.number("burst"),
	}
}

func (r *reader) fault(path, given, allowed string) {
	r.faults = append(r.faults, document.Violation{Path: path, Value: strconv.Quote(given), Allowed: allowed})
}

// withSent returns the form with the values that the operator sent.
func (v formView) withSent(values url.Values) formView {
	v.Fields = slices.Clone(v.Fields)
	for i, f := range v.Fields {
		if f.Type == "hidden" {
			continue
		}
		sent := values.Get(f.Name)
		if f.Value != sent {
			v.Fields[i].InForce = f.Value
		}
		v.Fields[i].Value = sent
	}
	return v
}

// withoutInForce returns the form without the values in force, which matter only after a lost race.
func (v formView) withoutInForce() formView {
	v.Fields = slices.Clone(v.Fields)
	for i := range v.Fields {
		v.Fields[i].InForce = ""
	}
	return v
}

// withFaults returns the form with each fault at its field. A fault of no field is shown above the form.
func (v formView) withFaults(faults []document.Violation) formView {
	v.Fields = slices.Clone(v.Fields)
	for _, fault := range faults {
		i := v.fieldOf(fault.Path)
		if i < 0 {
			v.Problems = append(v.Problems, fault.String())
			continue
		}
		v.Fields[i].Fault = fmt.Sprintf("%s is given; allowed: %s", fault.Value, fault.Allowed)
	}
	return v
}

// fieldOf returns the index of the field that a fault's path leads to, or -1. A path such as
// "groups[1].servers[0].address" ends with the name of the field; one such as "groups[1].slots[2]" leads into it.
func (v formView) fieldOf(path string) int {
	switch path {
	case "key":
		path = "id"
	case "server", "group", "route":
		path = targetField
	}
	path = itemPath.ReplaceAllString(path, "")
	return slices.IndexFunc(v.Fields, func(f field) bool { return f.Name == path || strings.HasPrefix(path, f.Name+"[") })
}
