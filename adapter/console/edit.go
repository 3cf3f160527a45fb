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

// edit applies a submitted form and shows the result.
func (c *Console) edit(w http.ResponseWriter, r *http.Request, sess session) {
	submitted := withoutEmptyServers(r.PostForm)
	f, ok := parseForm(r.PathValue("form"), submitted)
	if !ok {
		http.NotFound(w, r)
		return
	}
	key, hash := newKey()
	edit, violations := parseEdit(f, submitted, c.cfg.Follower.Document(), hash)
	base, err := strconv.ParseUint(r.PostFormValue(baseRevisionField), 10, 64)
	if err != nil {
		violations = append(violations, document.Violation{Path: baseRevisionField, Value: strconv.Quote(r.PostFormValue(baseRevisionField)), Allowed: "the revision of the form"})
	}
	if len(violations) > 0 {
		c.render(w, r, sess, c.invalidPage(f, submitted, violations))
		return
	}
	accepted, err := c.cfg.Editor.Apply(r.Context(), entry.EditRequest{
		Edit:         edit,
		BaseRevision: document.Revision(base),
		Author:       sess.operator,
		Summary:      r.PostFormValue(reasonField),
	})
	if err != nil && accepted.Revision == 0 {
		c.render(w, r, sess, c.errorPage(f, submitted, err))
		return
	}
	p := c.acceptedPage(r, accepted)
	if err != nil {
		p.Title, p.Problem = "The change is stored", "Instances without access to the platform may use the previous configuration: "+err.Error()
	}
	if _, granted := f.(grantKeyForm); granted {
		p.Secret = key
	}
	c.render(w, r, sess, p)
}

// errorPage returns the page for an edit that was rejected or whose outcome is unknown.
func (c *Console) errorPage(f form, submitted url.Values, err error) page {
	var violations entry.EditViolations
	switch kind := port.KindOf(err); {
	case kind == port.Invalid && errors.As(err, &violations):
		return c.invalidPage(f, submitted, violations)
	case kind == port.Conflict:
		return c.conflictPage(f, submitted, err)
	case errors.Is(err, entry.ErrNothingChanged):
		return page{
			Title: "Nothing was changed", Status: http.StatusServiceUnavailable,
			Problem: "The platform does not answer; nothing was changed, please try again later: " + err.Error(),
		}
	default:
		return page{
			Title: "The outcome is not certain", Status: http.StatusServiceUnavailable,
			Problem: "The change may have been applied: " + err.Error() + ". Check the audit trail before you try again.",
		}
	}
}

// invalidPage returns the submitted form with each violation shown at its field.
func (c *Console) invalidPage(f form, submitted url.Values, violations []document.Violation) page {
	v := newFormView(f, c.cfg.Follower.Document()).withSubmitted(submitted).withoutCurrentValues().withViolations(violations)
	v = v.withBase(submitted.Get(baseRevisionField))
	return page{
		Title: "Nothing was changed", Status: http.StatusUnprocessableEntity,
		Problem:  "Nothing was changed because some fields are invalid. They are marked below.",
		Sections: []section{{Forms: []formView{v}}},
	}
}

// conflictPage returns the submitted form with the values that another operator has changed in the meantime. Its base
// is the current revision, so submitting it again overwrites that change deliberately.
func (c *Console) conflictPage(f form, submitted url.Values, err error) page {
	v := newFormView(f, c.cfg.Follower.Document()).withSubmitted(submitted)
	return page{
		Title: "Conflicting change", Status: http.StatusConflict,
		Problem: "Nothing was changed, because someone else changed the configuration after you opened the form: " + err.Error(),
		Sections: []section{{
			Text:  "The form contains your values, and the current value below each that differs. Submit it again to apply yours.",
			Forms: []formView{v},
		}},
	}
}

// withBase returns the form with another base revision.
func (v formView) withBase(base string) formView {
	for i, f := range v.Fields {
		if f.Name == baseRevisionField {
			v.Fields[i].Value = base
		}
	}
	return v
}

// acceptedPage returns the page for an accepted edit, with the listed instances that have applied it.
func (c *Console) acceptedPage(r *http.Request, d document.Document) page {
	statuses := c.cfg.Survey.AwaitRevision(r.Context(), d.Revision, propagationTimeout)
	applied := 0
	rows := make([][]cell, 0, len(statuses))
	for _, s := range statuses {
		state := "not yet"
		switch {
		case s.Answered && s.Revision >= d.Revision:
			state = "applied"
			applied++
		case !s.Queried:
			state = "not queried"
		case !s.Answered:
			state = "does not answer"
		}
		rows = append(rows, textCells(s.Instance.Incarnation, s.Instance.DataCentre, state))
	}
	return page{
		Title: fmt.Sprintf("Revision %d was accepted", d.Revision),
		News: fmt.Sprintf("The change was accepted: %s. %d of %d listed instances have applied it; the others follow within seconds.",
			d.Change.Summary, applied, len(statuses)),
		Sections: []section{{Heading: "Instances", Head: []string{"Instance", "Data centre", "This change"}, Rows: rows}},
	}
}
