// Package console serves the operators' forms as plain HTML. A form yields one edit of the one checked document.
package console

import (
	"crypto/rand"
	"embed"
	"html/template"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// Root is the path under which the console is mounted.
	Root = "/console/"

	// maxForm bounds a form in bytes. A group of 1,000 slots with the longest names takes 64 KB.
	maxForm = 256 << 10
	// spreadLimit is how long a page waits until a change is in force at every listed instance.
	spreadLimit = 3 * time.Second
)

//go:embed page.html style.css
var files embed.FS

var pages = template.Must(template.ParseFS(files, "page.html"))

// Config is what a Console needs.
type Config struct {
	Follower *entry.Follower
	Editor   *entry.Editor
	Groups   *entry.GroupManager
	Survey   *entry.Survey
	Timer    port.Timer
	Wall     port.WallClock
	// PasswordSHA256 is the hexadecimal hash of the operators' password. When it is empty nobody can sign in.
	PasswordSHA256 string
	// Secret is the fleet's token secret. The console derives its own key from it, so that any instance accepts the
	// sign-in of another.
	Secret []byte
	Log    *zap.Logger
}

// Console answers browsers. Use New; a zero Console has no pages.
type Console struct {
	cfg      Config
	mux      *http.ServeMux
	sessions sessions
	attempts chan struct{}
}

// New returns a console.
func New(cfg Config) *Console {
	c := &Console{
		cfg:      cfg,
		mux:      http.NewServeMux(),
		sessions: newSessions(cfg.Secret, cfg.PasswordSHA256, cfg.Wall),
		attempts: make(chan struct{}, maxAttempts),
	}
	c.mux.HandleFunc("GET "+Root+"style.css", c.style)
	c.mux.HandleFunc("GET "+Root+"sign-in", c.showSignIn)
	c.mux.HandleFunc("POST "+Root+"sign-in", c.signIn)
	c.mux.HandleFunc("POST "+Root+"sign-out", c.signOut)
	c.mux.HandleFunc("POST "+Root+"edit/{form}", c.signedIn(c.edit))
	for path, show := range map[string]func(*http.Request) page{
		"{$}":                  c.overview,
		"organisations":        c.organisations,
		"organisations/{name}": c.organisation,
		"keys":                 c.keys,
		"rates":                c.rates,
		"groups":               c.groups,
		"groups/{name}":        c.group,
		"routes":               c.routes,
		"routes/{name}":        c.route,
		"audit":                c.audit,
		"state":                c.state,
	} {
		c.mux.HandleFunc("GET "+Root+path, c.signedIn(func(w http.ResponseWriter, r *http.Request, who session) {
			c.render(w, r, who, show(r))
		}))
	}
	return c
}

// ServeHTTP answers one request.
func (c *Console) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.mux == nil {
		http.NotFound(w, r)
		return
	}
	h := w.Header()
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Referrer-Policy", "no-referrer")
	h.Set("Cache-Control", "no-store")
	r.Body = http.MaxBytesReader(w, r.Body, maxForm)
	c.mux.ServeHTTP(w, r)
}

func (c *Console) style(w http.ResponseWriter, r *http.Request) {
	http.ServeFileFS(w, r, files, "style.css")
}

// render writes a page. The form token belongs to the session of the request.
func (c *Console) render(w http.ResponseWriter, r *http.Request, who session, p page) {
	p.Operator = who.operator
	for i := range p.Sections {
		for j := range p.Sections[i].Forms {
			p.Sections[i].Forms[j].Token = c.sessions.formToken(who)
		}
	}
	p.Token = c.sessions.formToken(who)
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if p.Status != 0 {
		w.WriteHeader(p.Status)
	}
	if err := pages.ExecuteTemplate(w, "page", p); err != nil {
		c.cfg.Log.Named("console").Debug("page was not taken", zap.String("path", r.URL.Path), zap.Error(err))
	}
}

// newKey draws a caller's key. crypto/rand does not fail.
func newKey() (string, organisation.KeyHash) {
	var random [organisation.KeySize]byte
	_, _ = rand.Read(random[:])
	return organisation.NewKey(random)
}
