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

// browser fills in forms as a browser without scripts does.
type browser struct {
	base   string
	client *http.Client
}

// htmlPage is a page that the browser shows.
type htmlPage struct {
	status int
	body   string
	forms  []htmlForm
	// key is a new key that the page shows.
	key string
}

// htmlForm is a form with the values that the page gives its fields.
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

// submit sends a form with some of its values changed.
func (b *browser) submit(t *testing.T, s htmlForm, changes map[string]string) htmlPage {
	t.Helper()
	values := url.Values{}
	for name, given := range s.values {
		values[name] = given
	}
	for name, value := range changes {
		values.Set(name, value)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.base+s.action, strings.NewReader(values.Encode()))
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
	v := htmlPage{status: res.StatusCode, body: string(data)}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/html") {
		v.parseForms(t)
	}
	return v
}

// findForm returns the page's form with the action and the values.
func (v htmlPage) findForm(t *testing.T, action string, values map[string]string) htmlForm {
	t.Helper()
	for _, s := range v.forms {
		fits := s.action == "/console/"+action
		for name, value := range values {
			fits = fits && s.values.Get(name) == value
		}
		if fits {
			return s
		}
	}
	require.Failf(t, "form is missing", "%s %v in %s", action, values, v.body)
	return htmlForm{}
}

// parseForms collects the forms of the page.
func (v *htmlPage) parseForms(t *testing.T) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(v.body))
	decoder.Strict = false
	decoder.AutoClose = xml.HTMLAutoClose
	decoder.Entity = xml.HTMLEntity
	var selecting, chosen string
	var inOption, inKey bool
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err, v.body)
		switch e := token.(type) {
		case xml.StartElement:
			a := attributes(e)
			switch e.Name.Local {
			case "form":
				v.forms = append(v.forms, htmlForm{action: a["action"], values: url.Values{}})
			case "input":
				_, checked := a["checked"]
				if a["type"] != "checkbox" || checked {
					v.forms[len(v.forms)-1].values.Set(a["name"], a["value"])
				}
			case "select":
				selecting, chosen = a["name"], ""
			case "option":
				_, selected := a["selected"]
				inOption = selected || chosen == ""
			case "code":
				inKey = a["id"] == "key"
			}
		case xml.CharData:
			if inOption {
				chosen = string(e)
				v.forms[len(v.forms)-1].values.Set(selecting, chosen)
			}
			if inKey {
				v.key = string(e)
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
