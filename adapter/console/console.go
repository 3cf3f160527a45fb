// Package console implements the operators' web console: HTML pages without scripts, whose forms edit the document.
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

	// maxFormBytes limits a submitted form. A group with 1,000 slots of maximum name length takes 64 KB.
	maxFormBytes = 256 << 10
	// propagationTimeout is how long a request waits for all listed instances to apply a change.
	propagationTimeout = 3 * time.Second
)

//go:embed page.html style.css
var staticFiles embed.FS

var pages = template.Must(template.ParseFS(staticFiles, "page.html"))

// Config configures a Console.
type Config struct {
	Follower *entry.Follower
	Editor   *entry.Editor
	Groups   *entry.GroupManager
	Survey   *entry.Survey
	Timer    port.Timer
	Wall     port.WallClock
	// PasswordSHA256 is the hexadecimal hash of the operators' password. If it is empty, sign-in is disabled.
	PasswordSHA256 string
	// Secret is the token secret that all instances share. The key of the session cookies is derived from it, so that a
	// sign-in at one instance is valid at all of them.
	Secret []byte
	Log    *zap.Logger
}

// Console is the HTTP handler of the web console. Use New; a zero Console answers every request with Not Found.
type Console struct {
	cfg         Config
	mux         *http.ServeMux
	cookies     cookieSigner
	signInSlots chan struct{}
}

// New returns a Console with the configuration.
func New(cfg Config) *Console {
	c := &Console{
		cfg:         cfg,
		mux:         http.NewServeMux(),
		cookies:     newCookieSigner(cfg.Secret, cfg.PasswordSHA256, cfg.Wall),
		signInSlots: make(chan struct{}, maxConcurrentSignIns),
	}
	c.mux.HandleFunc("GET "+Root+"style.css", c.style)
	c.mux.HandleFunc("GET "+Root+"sign-in", c.showSignIn)
	c.mux.HandleFunc("POST "+Root+"sign-in", c.signIn)
	c.mux.HandleFunc("POST "+Root+"sign-out", c.signOut)
	c.mux.HandleFunc("POST "+Root+"edit/{form}", c.requireSignIn(c.edit))
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
		c.mux.HandleFunc("GET "+Root+path, c.requireSignIn(func(w http.ResponseWriter, r *http.Request, sess session) {
			c.render(w, r, sess, show(r))
		}))
	}
	return c
}

// ServeHTTP implements http.Handler.
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
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	c.mux.ServeHTTP(w, r)
}

func (c *Console) style(w http.ResponseWriter, r *http.Request) {
	http.ServeFileFS(w, r, staticFiles, "style.css")
}

// render writes a page and sets the token of its forms, which is valid for the session only.
func (c *Console) render(w http.ResponseWriter, r *http.Request, sess session, p page) {
	p.Operator = sess.operator
	for i := range p.Sections {
		for j := range p.Sections[i].Forms {
			p.Sections[i].Forms[j].Token = c.cookies.formToken(sess)
		}
	}
	p.Token = c.cookies.formToken(sess)
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if p.Status != 0 {
		w.WriteHeader(p.Status)
	}
	if err := pages.ExecuteTemplate(w, "page", p); err != nil {
		c.cfg.Log.Named("console").Debug("cannot write page", zap.String("path", r.URL.Path), zap.Error(err))
	}
}

// newKey returns a random key for clients and its hash. Errors are ignored because crypto/rand.Read never returns one.
func newKey() (string, organisation.KeyHash) {
	var random [organisation.KeySize]byte
	_, _ = rand.Read(random[:])
	return organisation.NewKey(random)
}
