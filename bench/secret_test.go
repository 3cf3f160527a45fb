package bench

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNoSecretPrinted guards against a key, a password or the token secret in a log at debug level, in the metrics, in
// an error message to a client, or in the output of a command.
func TestNoSecretPrinted(t *testing.T) {
	f := newFixture(t)
	mistyped := rand.Text()
	var seen []string
	t.Run("clients", func(t *testing.T) { seen = append(seen, f.callWithSecrets(t, mistyped)...) })
	t.Run("operators", func(t *testing.T) { seen = append(seen, f.operateWithSecrets(t, mistyped)...) })
	t.Run("failures", func(t *testing.T) {
		primary := f.awaitPrimary(0, nil)
		primary.kill(t)
		f.awaitPrimary(0, primary)
		mustDial(t, f.members[0].clientAddress, f.writeLogin(0)).mustExec(t, putSQL("tin", "1"))
	})
	t.Run("pages", func(t *testing.T) {
		for _, m := range f.members {
			for _, path := range []string{"/metrics", "/ready", "/live", "/", "/debug/vars", "/debug/pprof/cmdline"} {
				seen = append(seen, get(t, m.adminURL+path))
			}
		}
	})
	f.members[0].terminate(t)
	eventually(t, shutdownTimeout, "the process exits", f.members[0].HasExited)
	s := f.secrets
	for _, secret := range []string{s.key, s.spareKey, s.rivalKey, s.operator, s.server, s.token, mistyped} {
		for i, text := range seen {
			require.NotContains(t, text, secret, "text %d", i)
		}
		f.requireNotInOutput(t, secret)
	}
}

// callWithSecrets makes connections that succeed and connections that are refused, and returns the error messages.
func (f *fixture) callWithSecrets(t testing.TB, mistyped string) []string {
	t.Helper()
	address := f.members[0].clientAddress
	c := mustDial(t, address, f.writeLogin(0))
	c.mustExec(t, putSQL("tin", "1"))
	token := c.token()
	require.NotEmpty(t, token)
	var seen []string
	for _, l := range []login{
		f.writeLogin(0).withKey(mistyped),
		f.writeLogin(0).withKey(f.secrets.rivalKey),
		f.writeLogin(0).withOrganisation("nobody"),
		f.writeLogin(0).withOrganisation("rival").withKey(f.secrets.rivalKey).withSession(token),
		f.writeLogin(0).withSession(token[:len(token)-1]),
	} {
		_, err := dial(address, l)
		require.Error(t, err)
		seen = append(seen, err.Error(), fmt.Sprintf("%+v", err))
	}
	f.mustApply(f.document(f.secrets.key), 0)
	f.mustApply(f.document(), 0)
	return seen
}

// operateWithSecrets runs commands that succeed and commands that are refused, and returns their output.
func (f *fixture) operateWithSecrets(t testing.TB, mistyped string) []string {
	t.Helper()
	plain := f.document()
	plain["organisations"].([]object)[0]["keys"] = []object{{"id": "plain", "sha256": f.secrets.key}}
	refused := f.apply(f.members[0], plain, 0)
	require.Equal(t, 2, refused.code, "a key in place of its hash: %+v", refused)
	instance := "RHUBARBWICK_INSTANCE=" + f.members[0].adminURL
	wrong := command(t, []string{"RHUBARBWICK_PASSWORD=" + mistyped, instance}, "document", "show")
	require.NotZero(t, wrong.code)
	shown := command(t, []string{"RHUBARBWICK_PASSWORD=" + f.secrets.operator, instance}, "document", "show")
	require.Zero(t, shown.code, shown.errors)
	path := filepath.Join(f.dir, "faulty.ini")
	faulty := strings.Replace(f.settings("kigali-1"), "policy = demand", "policy = wrong", 1)
	require.NoError(t, os.WriteFile(path, []byte(faulty), 0o600))
	served := command(t, nil, "serve", "--settings", path)
	require.Equal(t, 2, served.code, "%+v", served)
	var seen []string
	for _, r := range []result{refused, wrong, shown, served} {
		seen = append(seen, r.out, r.errors)
	}
	return seen
}

// requireNotInOutput requires that no process of the fixture has printed the text.
func (f *fixture) requireNotInOutput(t testing.TB, text string) {
	t.Helper()
	for _, form := range []string{"*.out", "*.log"} {
		paths, err := filepath.Glob(filepath.Join(f.dir, form))
		require.NoError(t, err)
		require.NotEmpty(t, paths)
		for _, path := range paths {
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			require.NotContains(t, string(data), text, "%s", filepath.Base(path))
		}
	}
}

func get(t testing.TB, url string) string {
	t.Helper()
	response, err := httpClient.Get(url)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.NotEqual(t, http.StatusInternalServerError, response.StatusCode)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}
