package console

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
)

// auditLength is the number of changes that the audit page shows.
const auditLength = 100

func (c *Console) overview(*http.Request) page {
	d := c.cfg.Follower.Document()
	return page{Title: "Overview", Sections: []section{{
		Text: c.confirmed(),
		Head: []string{"What", "How many"},
		Rows: [][]cell{
			{{Text: "Organisations", Link: Root + "organisations"}, {Text: strconv.Itoa(len(d.Organisations))}},
			{{Text: "Groups", Link: Root + "groups"}, {Text: strconv.Itoa(len(d.Groups))}},
			{{Text: "Routes", Link: Root + "routes"}, {Text: strconv.Itoa(len(d.Routes))}},
		},
	}}}
}

func (c *Console) confirmed() string {
	d := c.cfg.Follower.Document()
	if d.Revision == 0 {
		return "This instance has no document yet."
	}
	age, known := c.cfg.Follower.Staleness()
	if !known {
		return fmt.Sprintf("Revision %d is in force here; it was not yet confirmed to be the newest.", d.Revision)
	}
	return fmt.Sprintf("Revision %d is in force here; %s ago it was known to be the newest.", d.Revision, age.Round(time.Millisecond))
}

func (c *Console) organisations(*http.Request) page {
	d := c.cfg.Follower.Document()
	rows := make([][]cell, 0, len(d.Organisations))
	for _, o := range d.Organisations {
		rows = append(rows, []cell{
			{Text: o.Name, Link: Root + "organisations/" + o.Name},
			{Text: numberText(o.Rate)},
			{Text: numberText(o.Burst)},
			{Text: strconv.Itoa(len(o.Keys))},
		})
	}
	return page{Title: "Organisations", Sections: []section{
		{Head: []string{"Organisation", "Rate (statements/s)", "Burst (statements)", "Keys"}, Rows: rows},
		{Heading: "New organisation", Forms: []formView{viewOf(organisationForm{}, d)}},
	}}
}

func (c *Console) organisation(r *http.Request) page {
	d := c.cfg.Follower.Document()
	o, found := d.FindOrganisation(r.PathValue("name"))
	if !found {
		return missing("organisation")
	}
	keys := section{Heading: "Keys", Forms: []formView{viewOf(grantForm{o.Name}, d)}}
	for _, k := range o.Keys {
		keys.Forms = append(keys.Forms, viewOf(withdrawForm{o.Name, k.ID}, d))
	}
	return page{Title: "Organisation " + o.Name, Sections: []section{
		{Heading: "Rate", Forms: []formView{viewOf(organisationForm{o.Name}, d)}},
		keys,
		{Heading: "Remove", Forms: []formView{viewOf(removeOrganisationForm{o.Name}, d)}},
	}}
}

func (c *Console) keys(*http.Request) page {
	d := c.cfg.Follower.Document()
	list := section{
		Text: "Only a hash of each key is kept, so a key can be withdrawn but not shown again.",
		Head: []string{"Organisation", "Key"},
	}
	for _, o := range d.Organisations {
		for _, k := range o.Keys {
			list.Rows = append(list.Rows, []cell{{Text: o.Name, Link: Root + "organisations/" + o.Name}, {Text: k.ID}})
			list.Forms = append(list.Forms, viewOf(withdrawForm{o.Name, k.ID}, d))
		}
	}
	return page{Title: "Keys", Sections: []section{
		{Heading: "Grant", Forms: []formView{viewOf(grantForm{}, d)}}, list,
	}}
}

func (c *Console) rates(*http.Request) page {
	d := c.cfg.Follower.Document()
	sections := make([]section, 0, len(d.Organisations)+1)
	for _, o := range d.Organisations {
		sections = append(sections, section{Heading: o.Name, Forms: []formView{viewOf(organisationForm{o.Name}, d)}})
	}
	return page{Title: "Rates", Sections: append(sections, section{
		Heading: "Seats", Forms: []formView{viewOf(seatsForm{}, d)},
	})}
}

func (c *Console) groups(*http.Request) page {
	d := c.cfg.Follower.Document()
	rows := make([][]cell, 0, len(d.Groups))
	for _, g := range d.Groups {
		rows = append(rows, []cell{
			{Text: g.Name, Link: Root + "groups/" + g.Name}, {Text: strings.Join(g.Slots, " ")}, {Text: strconv.Itoa(len(g.Servers))},
		})
	}
	return page{Title: "Groups", Sections: []section{
		{Head: []string{"Group", "Slots", "Servers"}, Rows: rows},
		{Heading: "New group", Forms: []formView{viewOf(groupForm{}, d)}},
	}}
}

func (c *Console) group(r *http.Request) page {
	d := c.cfg.Follower.Document()
	g, found := d.FindGroup(r.PathValue("name"))
	if !found {
		return missing("group")
	}
	departing := section{Heading: "Departing servers", Text: "A departing server gets no new work after a few seconds."}
	for _, s := range g.Servers {
		departing.Forms = append(departing.Forms, viewOf(departingForm{g.Name, s.Name, !s.Departing}, d))
	}
	return page{Title: "Group " + g.Name, Sections: []section{
		groupState(c.cfg.Groups.Overview(r.Context(), g)),
		departing,
		{Heading: "Change", Forms: []formView{viewOf(groupForm{g.Name}, d)}},
		{Heading: "Remove", Forms: []formView{viewOf(removeGroupForm{g.Name}, d)}},
	}}
}

func (c *Console) routes(*http.Request) page {
	d := c.cfg.Follower.Document()
	rows := make([][]cell, 0, len(d.Routes))
	for _, r := range d.Routes {
		rows = append(rows, []cell{
			{Text: r.Name, Link: Root + "routes/" + r.Name},
			{Text: r.Group},
			{Text: r.Slot},
			{Text: string(r.Kind)},
			{Text: r.AcceptedAge().String()},
		})
	}
	return page{Title: "Routes", Sections: []section{
		{Head: []string{"Route", "Group", "Slot", "Kind", "Accepted age"}, Rows: rows},
		{Heading: "New route", Forms: []formView{viewOf(routeForm{}, d)}},
	}}
}

func (c *Console) route(r *http.Request) page {
	d := c.cfg.Follower.Document()
	route, found := d.FindRoute(r.PathValue("name"))
	if !found {
		return missing("route")
	}
	return page{Title: "Route " + route.Name, Sections: []section{
		{Heading: "Change", Forms: []formView{viewOf(routeForm{route.Name}, d)}},
		{Heading: "Remove", Forms: []formView{viewOf(removeRouteForm{route.Name}, d)}},
	}}
}

func (c *Console) audit(r *http.Request) page {
	changes, err := c.cfg.Editor.Changes(r.Context(), auditLength)
	p := page{Title: "Audit trail"}
	if err != nil {
		p.Problem = "The platform does not answer, so earlier changes are missing here: " + err.Error()
	}
	rows := make([][]cell, 0, len(changes))
	for _, change := range changes {
		rows = append(rows, text(revisionText(change.Revision), change.At.Format(time.RFC3339), change.Author, change.Summary))
	}
	p.Sections = []section{{Head: []string{"Revision", "At", "Who", "What"}, Rows: rows}}
	return p
}

func (c *Console) state(r *http.Request) page {
	instances := section{
		Heading: "Instances", Text: c.confirmed(),
		Head: []string{"Instance", "Address", "Data centre", "State", "Revision"},
	}
	for _, s := range c.cfg.Survey.Statuses(r.Context()) {
		revision := "does not answer"
		if s.Answered {
			revision = revisionText(s.Revision)
		}
		instances.Rows = append(instances.Rows,
			text(s.Instance.Incarnation, s.Instance.Address, s.Instance.DataCentre, string(s.Instance.State), revision))
	}
	p := page{Title: "State", Sections: []section{instances}}
	for _, o := range c.cfg.Groups.Overviews(c.cfg.Follower.Document()) {
		p.Sections = append(p.Sections, groupState(o))
	}
	return p
}

// groupState is the part of a page that tells what this instance sees of a group.
func groupState(o entry.GroupOverview) section {
	s := section{
		Heading: "Group " + o.Group,
		Head:    []string{"Server", "Data centre", "Role", "Term", "Entries behind", "Age of data", "Last asked"},
	}
	switch {
	case !o.Monitored:
		s.Text = "This instance does not use the group, so it does not know its state."
	case o.Primary == "":
		s.Text = "This instance sees no primary; writes wait until there is one."
	default:
		s.Text = fmt.Sprintf("Server %s is the primary of term %d.", o.Primary, o.Term)
	}
	for _, server := range o.Servers {
		s.Rows = append(s.Rows, serverRow(server))
	}
	return s
}

func serverRow(s entry.ServerOverview) []cell {
	const unknown = "unknown"
	if !s.Answered {
		return text(s.Server.Name, s.Server.DataCentre, unknown, unknown, unknown, unknown, "never answered")
	}
	lag, age := unknown, unknown
	if s.LagKnown {
		lag = strconv.FormatUint(s.Lag, 10)
	}
	if s.AgeKnown {
		age = s.Age.Round(time.Millisecond).String()
	}
	return text(s.Server.Name, s.Server.DataCentre, string(s.Role), strconv.FormatUint(uint64(s.Term), 10),
		lag, age, s.TimeSinceAnswer.Round(time.Millisecond).String()+" ago")
}

func revisionText(r document.Revision) string { return strconv.FormatUint(uint64(r), 10) }

func missing(kind string) page {
	return page{Title: "Not found", Status: http.StatusNotFound, Problem: "There is no " + kind + " of this name in the document in force here."}
}
