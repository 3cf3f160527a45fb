package console

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// edit takes a sent form, has it applied, and tells the outcome.
func (c *Console) edit(w http.ResponseWriter, r *http.Request, who session) {
	sent := withoutEmptyServers(r.PostForm)
	f, ok := formOf(r.PathValue("form"), sent)
	if !ok {
		http.NotFound(w, r)
		return
	}
	key, hash := newKey()
	edit, faults := readEdit(f, sent, c.cfg.Follower.Document(), hash)
	base, err := strconv.ParseUint(r.PostFormValue(baseField), 10, 64)
	if err != nil {
		faults = append(faults, document.Violation{Path: baseField, Value: strconv.Quote(r.PostFormValue(baseField)), Allowed: "the revision of the form"})
	}
	if len(faults) > 0 {
		c.render(w, r, who, c.faulty(f, sent, faults))
		return
	}
	accepted, err := c.cfg.Editor.Apply(r.Context(), entry.EditRequest{
		Edit:         edit,
		BaseRevision: document.Revision(base),
		Author:       who.operator,
		Summary:      r.PostFormValue(reasonField),
	})
	if err != nil && accepted.Revision == 0 {
		c.render(w, r, who, c.failed(f, sent, err))
		return
	}
	p := c.accepted(r, accepted)
	if err != nil {
		p.Title, p.Problem = "The change is stored", "Not every instance can be sure of it yet: "+err.Error()
	}
	if _, granted := f.(grantForm); granted {
		p.Secret = key
	}
	c.render(w, r, who, p)
}

// failed returns the page of an edit that was not accepted, or of which that is not known.
func (c *Console) failed(f form, sent url.Values, err error) page {
	var faults entry.EditViolations
	switch kind := port.KindOf(err); {
	case kind == port.Invalid && errors.As(err, &faults):
		return c.faulty(f, sent, faults)
	case kind == port.Conflict:
		return c.lost(f, sent, err)
	case errors.Is(err, entry.ErrNothingChanged):
		return page{
			Title: "Nothing was changed", Status: http.StatusServiceUnavailable,
			Problem: "The platform does not answer; nothing was changed, please try again later: " + err.Error(),
		}
	default:
		return page{
			Title: "The outcome is not certain", Status: http.StatusServiceUnavailable,
			Problem: "The change may or may not be in force: " + err.Error() + ". Look for it in the audit trail before you try again.",
		}
	}
}

// faulty shows each fault at its field, with the values that the operator sent.
func (c *Console) faulty(f form, sent url.Values, faults []document.Violation) page {
	v := viewOf(f, c.cfg.Follower.Document()).withSent(sent).withoutInForce().withFaults(faults)
	v = v.withBase(sent.Get(baseField))
	return page{
		Title: "Nothing was changed", Status: http.StatusUnprocessableEntity,
		Problem:  "Nothing was changed, because some fields are not possible. They are marked below.",
		Sections: []section{{Forms: []formView{v}}},
	}
}

// lost shows what another operator changed. The form is made from the newest revision, so sending it again is a
// decision about what is in force now.
func (c *Console) lost(f form, sent url.Values, err error) page {
	v := viewOf(f, c.cfg.Follower.Document()).withSent(sent)
	return page{
		Title: "Someone else was faster", Status: http.StatusConflict,
		Problem: "Nothing was changed, because someone else changed the configuration after you opened the form: " + err.Error(),
		Sections: []section{{
			Text:  "Your values are below, with what is in force now beside those that differ. Send the form again to put yours in force.",
			Forms: []formView{v},
		}},
	}
}

// withBase returns the form as one that was made from the revision.
func (v formView) withBase(base string) formView {
	for i, f := range v.Fields {
		if f.Name == baseField {
			v.Fields[i].Value = base
		}
	}
	return v
}

// accepted tells what changed and at which listed instances it is in force.
func (c *Console) accepted(r *http.Request, d document.Document) page {
	standings := c.cfg.Survey.AwaitRevision(r.Context(), d.Revision, spreadLimit)
	inForce := 0
	rows := make([][]cell, 0, len(standings))
	for _, s := range standings {
		state := "not yet"
		switch {
		case s.Answered && s.Revision >= d.Revision:
			state = "in force"
			inForce++
		case !s.Queried:
			state = "not asked"
		case !s.Answered:
			state = "does not answer"
		}
		rows = append(rows, text(s.Instance.Incarnation, s.Instance.DataCentre, state))
	}
	return page{
		Title: fmt.Sprintf("Revision %d is in force", d.Revision),
		News: fmt.Sprintf("The change is accepted: %s. It is in force at %d of %d listed instances; the others follow within seconds.",
			d.Change.Summary, inForce, len(standings)),
		Sections: []section{{Heading: "Instances", Head: []string{"Instance", "Data centre", "This change"}, Rows: rows}},
	}
}
