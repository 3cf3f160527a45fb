package serve

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// Guards against access without a sign-in or with a wrong password, and against forms submitted from other sites.
func TestConsoleSignIn(t *testing.T) {
	f := startFixture(t)
	b := newBrowser(t, "http://"+f.process.adminSocket.Addr().String())
	t.Run("pages redirect to the sign-in", func(t *testing.T) {
		for _, path := range []string{"", "organisations", "keys", "rates", "groups", "routes", "audit", "state"} {
			require.Contains(t, b.get(t, "/console/"+path).body, "<h1>Sign in</h1>")
		}
	})
	t.Run("wrong password", func(t *testing.T) {
		v := b.submit(t, b.get(t, "/console/sign-in").findForm(t, "sign-in", nil), map[string]string{"operator": "ana", "password": "guess"})
		require.Equal(t, http.StatusUnauthorized, v.status)
	})
	t.Run("sign-in without the page's token", func(t *testing.T) {
		v := b.submit(t, htmlForm{action: "/console/sign-in"}, map[string]string{"operator": "ana", "password": operatorPassword})
		require.Equal(t, http.StatusForbidden, v.status)
	})
	t.Run("cookie", func(t *testing.T) {
		signIn(t, b)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, b.base+"/console/sign-in", nil)
		require.NoError(t, err)
		res, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Len(t, res.Cookies(), 1)
		require.True(t, res.Cookies()[0].HttpOnly)
		require.Equal(t, http.SameSiteStrictMode, res.Cookies()[0].SameSite)
	})
	t.Run("form without its token", func(t *testing.T) {
		before := f.document()
		v := b.submit(t, b.get(t, "/console/rates").findForm(t, "edit/seats", nil), map[string]string{"form_token": "", "seats": "9"})
		require.Equal(t, http.StatusForbidden, v.status)
		requireUnchanged(t, f, before)
	})
	t.Run("sign out", func(t *testing.T) {
		b.submit(t, b.get(t, "/console/").findForm(t, "sign-out", nil), nil)
		require.Contains(t, b.get(t, "/console/").body, "<h1>Sign in</h1>")
	})
}

// Guards against forms that change other data than their fields, or lose data that has no field.
func TestConsoleEdits(t *testing.T) {
	f := startFixture(t)
	b := newBrowser(t, "http://"+f.process.adminSocket.Addr().String())
	signIn(t, b)
	t.Run("organisation", func(t *testing.T) {
		form := b.get(t, "/console/organisations").findForm(t, "edit/organisation", nil)
		requireAccepted(t, f, b.submit(t, form, map[string]string{"name": "pharmacy", "rate": "2.5", "burst": "10", "reason": "new partner"}))
		o, _ := f.document().FindOrganisation("pharmacy")
		require.Empty(t, o.Keys)
		require.Equal(t, []any{"pharmacy", 2.5, 10.0}, []any{o.Name, o.Rate, o.Burst})
		require.Equal(t, "ana", f.document().Change.Author)
		require.Equal(t, "new partner", f.document().Change.Summary)
	})
	t.Run("rate keeps the keys", func(t *testing.T) {
		form := b.get(t, "/console/rates").findForm(t, "edit/organisation", map[string]string{"target": "clinic"})
		requireAccepted(t, f, b.submit(t, form, map[string]string{"rate": "300"}))
		o, _ := f.document().FindOrganisation("clinic")
		require.Equal(t, document.Organisation{Name: "clinic", Rate: 300, Burst: 400, Keys: []document.Key{{ID: "first", SHA256: hashOf(clientKey)}}}, o)
	})
	t.Run("route", func(t *testing.T) {
		form := b.get(t, "/console/routes").findForm(t, "edit/route", nil)
		requireAccepted(t, f, b.submit(t, form, map[string]string{
			"name": "menu", "slot": "orders", "kind": "read", "accepted_age_ms": "1000", "open": "yes", "rate": "5", "burst": "6",
		}))
		r, _ := f.document().FindRoute("menu")
		require.Equal(t, document.Route{
			Name: "menu", Group: "core", Slot: "orders", Kind: document.Read, AcceptedAgeMS: 1000, Open: true, Rate: 5, Burst: 6,
		}, r)
		requireAccepted(t, f, b.submit(t, b.get(t, "/console/routes/menu").findForm(t, "edit/remove_route", nil), nil))
		_, found := f.document().FindRoute("menu")
		require.False(t, found)
	})
	t.Run("group", func(t *testing.T) {
		before, _ := f.document().FindGroup("core")
		requireAccepted(t, f, b.submit(t, b.get(t, "/console/groups/core").findForm(t, "edit/group", nil), nil))
		after, _ := f.document().FindGroup("core")
		require.Equal(t, before, after, "a form that is submitted unchanged has no effect")
		form := b.get(t, "/console/groups/core").findForm(t, "edit/departing", map[string]string{"target": "c"})
		requireAccepted(t, f, b.submit(t, form, nil))
		after, _ = f.document().FindGroup("core")
		require.True(t, after.Servers[2].Departing)
	})
	t.Run("audit trail", func(t *testing.T) {
		require.Contains(t, b.get(t, "/console/audit").body, "new partner")
	})
	t.Run("state", func(t *testing.T) {
		require.Contains(t, b.get(t, "/console/state").body, "instance-under-test")
	})
}

// Guards against a key that is displayed again, or that works after it was withdrawn.
func TestConsoleKeys(t *testing.T) {
	f := startFixture(t)
	b := newBrowser(t, "http://"+f.process.adminSocket.Addr().String())
	signIn(t, b)
	form := b.get(t, "/console/keys").findForm(t, "edit/grant_key", nil)
	granted := b.submit(t, form, map[string]string{"organisation": "clinic", "id": "autumn"})
	requireAccepted(t, f, granted)
	require.NotEmpty(t, granted.key)
	require.NoError(t, f.run(t, "orders", granted.key, "INSERT INTO kv (key, value) VALUES ('tin', '7')"))
	require.NotContains(t, b.get(t, "/console/keys").body, granted.key)
	withdraw := b.get(t, "/console/organisations/clinic").findForm(t, "edit/withdraw_key", map[string]string{"target": "autumn"})
	requireAccepted(t, f, b.submit(t, withdraw, nil))
	require.ErrorContains(t, f.run(t, "orders", granted.key, "SELECT value FROM kv WHERE key = 'tin'"), "28P01")
}

// Guards against violations that are not shown at their fields, and against edits that overwrite those of another
// operator.
func TestConsoleViolations(t *testing.T) {
	f := startFixture(t)
	b := newBrowser(t, "http://"+f.process.adminSocket.Addr().String())
	signIn(t, b)
	for name, c := range map[string]struct {
		page, form string
		values     map[string]string
		want       string
	}{
		"no number":      {"organisations", "organisation", map[string]string{"name": "x", "rate": "fast", "burst": "1"}, "&#34;fast&#34; is given; allowed: a number"},
		"range":          {"organisations", "organisation", map[string]string{"name": "x", "rate": "1", "burst": "0.5"}, "0.5 is given; allowed: 1 or more"},
		"name in use":    {"organisations", "organisation", map[string]string{"name": "clinic", "rate": "1", "burst": "1"}, "a name that is not in use yet"},
		"key in use":     {"keys", "grant_key", map[string]string{"organisation": "clinic", "id": "first"}, "an id that the organisation does not use yet"},
		"server address": {"groups/core", "group", map[string]string{"servers[1].address": "db.example:5432"}, "&#34;db.example:5432&#34; is given; allowed: an IP address and a port"},
		"slot":           {"routes/stock", "route", map[string]string{"slot": "nowhere"}, "a slot of group core"},
	} {
		t.Run(name, func(t *testing.T) {
			before := f.document()
			v := b.submit(t, b.get(t, "/console/"+c.page).findForm(t, "edit/"+c.form, nil), c.values)
			require.Equal(t, http.StatusUnprocessableEntity, v.status)
			require.Contains(t, v.body, c.want)
			require.Contains(t, v.body, `aria-invalid="true"`, "the violation is shown at its field")
			requireUnchanged(t, f, before)
		})
	}
	t.Run("conflict", func(t *testing.T) {
		form := b.get(t, "/console/rates").findForm(t, "edit/organisation", map[string]string{"target": "clinic"})
		requireAccepted(t, f, b.submit(t, form, map[string]string{"rate": "111", "reason": "was first"}))
		before := f.document()
		v := b.submit(t, form, map[string]string{"rate": "222"})
		require.Equal(t, http.StatusConflict, v.status)
		require.Contains(t, v.body, "was first")
		require.Contains(t, v.body, "Current value: 111")
		requireUnchanged(t, f, before)
	})
}

func signIn(t *testing.T, b *browser) {
	t.Helper()
	form := b.get(t, "/console/sign-in").findForm(t, "sign-in", nil)
	v := b.submit(t, form, map[string]string{"operator": "ana", "password": operatorPassword})
	require.Contains(t, v.body, "<h1>Overview</h1>")
}

func requireAccepted(t *testing.T, f *fixture, page htmlPage) {
	t.Helper()
	require.Equal(t, http.StatusOK, page.status, page.body)
	require.Contains(t, page.body, "1 of 1 listed instances have applied it")
	require.Equal(t, "ana", f.document().Change.Author)
}

func requireUnchanged(t *testing.T, f *fixture, before document.Document) {
	t.Helper()
	require.Equal(t, before.Revision, f.document().Revision)
}
