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

// maxAuditChanges limits the changes on the audit page.
const maxAuditChanges = 100

func (c *Console) overview(*http.Request) page {
	d := c.cfg.Follower.Document()
	return page{Title: "Overview", Sections: []section{{
		Text: c.documentStatus(),
		Head: []string{"What", "How many"},
		Rows: [][]cell{
			{{Text: "Organisations", Link: Root + "organisations"}, {Text: strconv.Itoa(len(d.Organisations))}},
			{{Text: "Groups", Link: Root + "groups"}, {Text: strconv.Itoa(len(d.Groups))}},
			{{Text: "Routes", Link: Root + "routes"}, {Text: strconv.Itoa(len(d.Routes))}},
		},
	}}}
}

func (c *Console) documentStatus() string {
	d := c.cfg.Follower.Document()
	if d.Revision == 0 {
		return "This instance has no document yet."
	}
	age, known := c.cfg.Follower.Staleness()
	if !known {
		return fmt.Sprintf("This instance has revision %d, which is not yet confirmed as the newest.", d.Revision)
	}
	return fmt.Sprintf("This instance has revision %d, which was confirmed as the newest %s ago.", d.Revision, age.Round(time.Millisecond))
}

func (c *Console) organisations(*http.Request) page {
	d := c.cfg.Follower.Document()
	rows := make([][]cell, 0, len(d.Organisations))
	for _, o := range d.Organisations {
		rows = append(rows, []cell{
			{Text: o.Name, Link: Root + "organisations/" + o.Name},
			{Text: formatNumber(o.Rate)},
			{Text: formatNumber(o.Burst)},
			{Text: strconv.Itoa(len(o.Keys))},
		})
	}
	return page{Title: "Organisations", Sections: []section{
		{Head: []string{"Organisation", "Rate (statements/s)", "Burst (statements)", "Keys"}, Rows: rows},
		{Heading: "New organisation", Forms: []formView{newFormView(organisationForm{}, d)}},
	}}
}

func (c *Console) organisation(r *http.Request) page {
	d := c.cfg.Follower.Document()
	o, found := d.FindOrganisation(r.PathValue("name"))
	if !found {
		return notFoundPage("organisation")
	}
	keys := section{Heading: "Keys", Forms: []formView{newFormView(grantKeyForm{o.Name}, d)}}
	for _, k := range o.Keys {
		keys.Forms = append(keys.Forms, newFormView(withdrawKeyForm{o.Name, k.ID}, d))
	}
	return page{Title: "Organisation " + o.Name, Sections: []section{
		{Heading: "Rate", Forms: []formView{newFormView(organisationForm{o.Name}, d)}},
		keys,
		{Heading: "Remove", Forms: []formView{newFormView(removeOrganisationForm{o.Name}, d)}},
	}}
}

func (c *Console) keys(*http.Request) page {
	d := c.cfg.Follower.Document()
	list := section{
		Text: "Only a hash of each key is stored, so a key can be withdrawn but not displayed again.",
		Head: []string{"Organisation", "Key"},
	}
	for _, o := range d.Organisations {
		for _, k := range o.Keys {
			list.Rows = append(list.Rows, []cell{{Text: o.Name, Link: Root + "organisations/" + o.Name}, {Text: k.ID}})
			list.Forms = append(list.Forms, newFormView(withdrawKeyForm{o.Name, k.ID}, d))
		}
	}
	return page{Title: "Keys", Sections: []section{
		{Heading: "Grant", Forms: []formView{newFormView(grantKeyForm{}, d)}}, list,
	}}
}

func (c *Console) rates(*http.Request) page {
	d := c.cfg.Follower.Document()
	sections := make([]section, 0, len(d.Organisations)+1)
	for _, o := range d.Organisations {
		sections = append(sections, section{Heading: o.Name, Forms: []formView{newFormView(organisationForm{o.Name}, d)}})
	}
	return page{Title: "Rates", Sections: append(sections, section{
		Heading: "Seats", Forms: []formView{newFormView(maxFallbackHoldersForm{}, d)},
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
		{Heading: "New group", Forms: []formView{newFormView(groupForm{}, d)}},
	}}
}

func (c *Console) group(r *http.Request) page {
	d := c.cfg.Follower.Document()
	g, found := d.FindGroup(r.PathValue("name"))
	if !found {
		return notFoundPage("group")
	}
	departing := section{Heading: "Departing servers", Text: "A departing server gets no new work after a few seconds."}
	for _, s := range g.Servers {
		departing.Forms = append(departing.Forms, newFormView(departingForm{g.Name, s.Name, !s.Departing}, d))
	}
	return page{Title: "Group " + g.Name, Sections: []section{
		groupSection(c.cfg.Groups.Overview(r.Context(), g)),
		departing,
		{Heading: "Change", Forms: []formView{newFormView(groupForm{g.Name}, d)}},
		{Heading: "Remove", Forms: []formView{newFormView(removeGroupForm{g.Name}, d)}},
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
		{Heading: "New route", Forms: []formView{newFormView(routeForm{}, d)}},
	}}
}

func (c *Console) route(r *http.Request) page {
	d := c.cfg.Follower.Document()
	route, found := d.FindRoute(r.PathValue("name"))
	if !found {
		return notFoundPage("route")
	}
	return page{Title: "Route " + route.Name, Sections: []section{
		{Heading: "Change", Forms: []formView{newFormView(routeForm{route.Name}, d)}},
		{Heading: "Remove", Forms: []formView{newFormView(removeRouteForm{route.Name}, d)}},
	}}
}

func (c *Console) audit(r *http.Request) page {
	changes, err := c.cfg.Editor.Changes(r.Context(), maxAuditChanges)
	p := page{Title: "Audit trail"}
	if err != nil {
		p.Problem = "The platform is not available, so earlier changes are missing: " + err.Error()
	}
	rows := make([][]cell, 0, len(changes))
	for _, change := range changes {
		rows = append(rows, textCells(revisionText(change.Revision), change.At.Format(time.RFC3339), change.Author, change.Summary))
	}
	p.Sections = []section{{Head: []string{"Revision", "At", "Who", "What"}, Rows: rows}}
	return p
}

func (c *Console) state(r *http.Request) page {
	instances := section{
		Heading: "Instances", Text: c.documentStatus(),
		Head: []string{"Instance", "Address", "Data centre", "State", "Revision"},
	}
	for _, s := range c.cfg.Survey.Statuses(r.Context()) {
		revision := "does not answer"
		if s.Answered {
			revision = revisionText(s.Revision)
		}
		instances.Rows = append(instances.Rows,
			textCells(s.Instance.Incarnation, s.Instance.Address, s.Instance.DataCentre, string(s.Instance.State), revision))
	}
	p := page{Title: "State", Sections: []section{instances}}
	for _, o := range c.cfg.Groups.Overviews(c.cfg.Follower.Document()) {
		p.Sections = append(p.Sections, groupSection(o))
	}
	return p
}

// groupSection returns the section with the state of a group as this instance sees it.
func groupSection(o entry.GroupOverview) section {
	s := section{
		Heading: "Group " + o.Group,
		Head:    []string{"Server", "Data centre", "Role", "Term", "Entries behind", "Age of data", "Last asked"},
	}
	switch {
	case !o.Monitored:
		s.Text = "This instance does not monitor the group, so its state is unknown."
	case o.Primary == "":
		s.Text = "No primary is known; writes wait until there is one."
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
		return textCells(s.Server.Name, s.Server.DataCentre, unknown, unknown, unknown, unknown, "never answered")
	}
	lag, age := unknown, unknown
	if s.LagKnown {
		lag = strconv.FormatUint(s.Lag, 10)
	}
	if s.AgeKnown {
		age = s.Age.Round(time.Millisecond).String()
	}
	return textCells(s.Server.Name, s.Server.DataCentre, string(s.Role), strconv.FormatUint(uint64(s.Term), 10),
		lag, age, s.TimeSinceAnswer.Round(time.Millisecond).String()+" ago")
}

func revisionText(r document.Revision) string { return strconv.FormatUint(uint64(r), 10) }

func notFoundPage(kind string) page {
	return page{Title: "Not found", Status: http.StatusNotFound, Problem: "The document of this instance contains no " + kind + " with this name."}
}
