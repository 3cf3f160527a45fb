package serve

import (
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// browser requests pages and submits forms like a browser without scripts.
type browser struct {
	base   string
	client *http.Client
}

// htmlPage is the response to a request.
type htmlPage struct {
	status int
	body   string
	forms  []htmlForm
	// key is the new key that the page displays.
	key string
}

// htmlForm is a form with the initial values of its fields.
type htmlForm struct {
	action string
	values url.Values
}

func newBrowser(t *testing.T, base string) *browser {
	t.Helper()
	jar, err := cookiejar.New(nil)
	require.NoError(t, err)
	return &browser{base: base, client: &http.Client{Jar: jar}}
}

func (b *browser) get(t *testing.T, path string) htmlPage {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, b.base+path, nil)
	require.NoError(t, err)
	return b.do(t, req)
}

// submit submits a form with some of its values changed.
func (b *browser) submit(t *testing.T, form htmlForm, changes map[string]string) htmlPage {
	t.Helper()
	values := url.Values{}
	for name, value := range form.values {
		values[name] = value
	}
	for name, value := range changes {
		values.Set(name, value)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.base+form.action, strings.NewReader(values.Encode()))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	return b.do(t, req)
}

func (b *browser) do(t *testing.T, req *http.Request) htmlPage {
	t.Helper()
	res, err := b.client.Do(req)
	require.NoError(t, err)
	defer func() { require.NoError(t, res.Body.Close()) }()
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	page := htmlPage{status: res.StatusCode, body: string(data)}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/html") {
		page.parseForms(t)
	}
	return page
}

// findForm returns the first form of the page with the action and the values.
func (p htmlPage) findForm(t *testing.T, action string, values map[string]string) htmlForm {
	t.Helper()
	for _, s := range p.forms {
		matches := s.action == "/console/"+action
		for name, value := range values {
			matches = matches && s.values.Get(name) == value
		}
		if matches {
			return s
		}
	}
	require.Failf(t, "form is missing", "%s %v in %s", action, values, p.body)
	return htmlForm{}
}

// parseForms collects the forms of the page.
func (p *htmlPage) parseForms(t *testing.T) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(p.body))
	decoder.Strict = false
	decoder.AutoClose = xml.HTMLAutoClose
	decoder.Entity = xml.HTMLEntity
	var selectName, optionText string
	var inOption, inKey bool
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err, p.body)
		switch e := token.(type) {
		case xml.StartElement:
			a := attributes(e)
			switch e.Name.Local {
			case "form":
				p.forms = append(p.forms, htmlForm{action: a["action"], values: url.Values{}})
			case "input":
				_, checked := a["checked"]
				if a["type"] != "checkbox" || checked {
					p.forms[len(p.forms)-1].values.Set(a["name"], a["value"])
				}
			case "select":
				selectName, optionText = a["name"], ""
			case "option":
				_, selected := a["selected"]
				inOption = selected || optionText == ""
			case "code":
				inKey = a["id"] == "key"
			}
		case xml.CharData:
			if inOption {
				optionText = string(e)
				p.forms[len(p.forms)-1].values.Set(selectName, optionText)
			}
			if inKey {
				p.key = string(e)
			}
			inOption, inKey = false, false
		}
	}
}

func attributes(e xml.StartElement) map[string]string {
	values := make(map[string]string, len(e.Attr))
	for _, a := range e.Attr {
		values[a.Name.Local] = a.Value
	}
	return values
}
