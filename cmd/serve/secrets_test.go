package serve

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/operator"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
)

// Guards against keys, passwords and the token secret in logs, metrics, console pages and errors, and against metrics
// that do not count requests.
func TestSecretsAndMetrics(t *testing.T) {
	f := startFixture(t)
	base := "http://" + f.process.adminSocket.Addr().String()
	b := newBrowser(t, base)
	signIn(t, b)
	granted := b.submit(t, b.get(t, "/console/keys").findForm(t, "edit/grant_key", nil), map[string]string{"organisation": "clinic", "id": "autumn"})
	requireAccepted(t, f, granted)
	texts := f.runRequests(t, granted.key)
	for _, path := range []string{
		"/console/", "/console/organisations", "/console/organisations/clinic", "/console/keys", "/console/rates", "/console/groups",
		"/console/groups/core", "/console/routes", "/console/routes/stock", "/console/audit", "/console/state", "/metrics", "/ready", "/live",
	} {
		v := b.get(t, path)
		require.Equal(t, 200, v.status, path)
		texts[path] = v.body
	}
	texts["logs"] = f.logs.String()
	require.NotEmpty(t, texts["logs"])
	for source, text := range texts {
		t.Run("secrets in "+source, func(t *testing.T) { requireNoSecret(t, text, granted.key) })
	}
	for _, line := range []string{
		`rhubarbwick_requests_total{outcome="done"} 3`,
		`rhubarbwick_reads_total{served_by="replica"} 1`,
		`rhubarbwick_refusals_total{kind="key_refused",stage="start_up"} 1`,
		`rhubarbwick_refusals_total{kind="unknown_route",stage="start_up"} 1`,
		`rhubarbwick_organisation_requests_total{organisation="clinic",result="ok"} 3`,
		`rhubarbwick_document_revision 2`,
		`rhubarbwick_group_term{group="core"} `,
		`rhubarbwick_group_has_primary{group="core"} 1`,
		`rhubarbwick_server_connections{group="core",server="`,
		`rhubarbwick_store_calls_total{call="put",result="ok"}`,
		`rhubarbwick_document_age_seconds `,
		`rhubarbwick_placing_callers 0`,
	} {
		t.Run("metrics contain "+line, func(t *testing.T) { require.Contains(t, texts["/metrics"], line) })
	}
	t.Run("a removed organisation is removed from the metrics", func(t *testing.T) {
		_, err := f.operator.Edit(t.Context(), entry.EditRequest{Edit: document.RemoveOrganisation{Name: "clinic"}, Author: "test"})
		require.NoError(t, err)
		require.NotContains(t, b.get(t, "/metrics").body, `organisation="clinic"`)
	})
}

// runRequests runs requests that succeed and requests that fail, and returns the texts of the errors.
func (f *fixture) runRequests(t *testing.T, granted string) map[string]string {
	t.Helper()
	require.NoError(t, f.run(t, "orders", clientKey, "INSERT INTO kv (key, value) VALUES ('tin', '7')"))
	require.NoError(t, f.run(t, "orders", granted, "INSERT INTO kv (key, value) VALUES ('jar', '8')"))
	require.NoError(t, f.run(t, "stock", clientKey, "SELECT value FROM kv WHERE key = 'tin'"))
	texts := make(map[string]string)
	for name, err := range map[string]error{
		"the error of a wrong key":      f.run(t, "orders", unknownKey, "SELECT 1"),
		"the error of a missing route":  f.run(t, "nowhere", clientKey, "SELECT 1"),
		"the error of a wrong password": wrongPasswordError(t, f),
	} {
		require.Error(t, err)
		texts[name] = err.Error()
	}
	return texts
}

func wrongPasswordError(t *testing.T, f *fixture) error {
	t.Helper()
	client := operator.NewClient("http://"+f.process.adminSocket.Addr().String(), unknownKey)
	_, err := client.Show(t.Context())
	return err
}

func requireNoSecret(t *testing.T, text string, granted string) {
	t.Helper()
	for _, secret := range []string{clientKey, unknownKey, operatorPassword, serverPassword, tokenSecret, granted} {
		require.NotEmpty(t, secret)
		require.NotContains(t, text, secret)
	}
}
