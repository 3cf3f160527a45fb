package bench

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordingBytes limits the recording of one server. A run records less than 1 MB.
const recordingBytes = 16 << 20

// TestNoServerReceivesKey guards against a client's key, or its hash in any encoding, being sent to a database server.
func TestNoServerReceivesKey(t *testing.T) {
	f := newFixture(t)
	for _, s := range f.servers() {
		f.postAdmin(s.adminURL + "/record?bytes=" + strconv.Itoa(recordingBytes))
	}
	mistyped := rand.Text()
	address := f.members[0].clientAddress
	t.Run("start-up with a wrong key", func(t *testing.T) {
		requireRefused(t, address, f.writeLogin(0).withKey(mistyped), "28P01")
		requireRefused(t, address, f.writeLogin(0).withKey(f.secrets.rivalKey), "28P01")
	})
	writer := mustDial(t, address, f.writeLogin(0))
	t.Run("write", func(t *testing.T) { writer.mustExec(t, putSQL("tin", "recorded-value")) })
	t.Run("read", func(t *testing.T) {
		for _, m := range f.members {
			requireValue(t, mustDial(t, m.clientAddress, f.readLogin(0)), "tin", "recorded-value")
		}
	})
	t.Run("reconnect with a session", func(t *testing.T) {
		for _, m := range f.members {
			requireValue(t, mustDial(t, m.clientAddress, f.readLogin(0).withSession(writer.token())), "tin", "recorded-value")
		}
	})
	t.Run("other keys", func(t *testing.T) {
		mustDial(t, address, f.writeLogin(1).withKey(f.secrets.spareKey)).mustExec(t, putSQL("tin", "1"))
		rival := f.writeLogin(1).withOrganisation("rival").withKey(f.secrets.rivalKey)
		mustDial(t, address, rival).mustExec(t, putSQL("tin", "1"))
	})
	t.Run("cancel", func(t *testing.T) { f.requireCancelled(t, mustDial(t, address, f.readLogin(0))) })
	t.Run("failover", func(t *testing.T) {
		primary := f.awaitPrimary(0, nil)
		primary.partitionPeers(f)
		f.awaitPrimary(0, primary)
		writer.mustExec(t, putSQL("tin", "after-failover"))
		primary.healPeers(f)
		f.awaitConverged(0)
		mustDial(t, address, f.writeLogin(0)).mustExec(t, putSQL("tin", "after-reconnect"))
	})
	recorded := f.recordings()
	for _, text := range []string{"recorded-value", "after-failover", "after-reconnect", "pg_sleep", f.secrets.server} {
		require.True(t, bytes.Contains(recorded, []byte(text)), "%q was recorded", text)
	}
	for _, key := range []string{f.secrets.key, f.secrets.spareKey, f.secrets.rivalKey, mistyped} {
		requireNoKey(t, recorded, key)
	}
}

func (f *fixture) servers() []*server {
	var all []*server
	for _, servers := range f.groups {
		all = append(all, servers...)
	}
	return all
}

// recordings returns the bytes that the servers have received since their recordings were started.
func (f *fixture) recordings() []byte {
	f.t.Helper()
	var all []byte
	for _, s := range f.servers() {
		response, err := httpClient.Get(s.adminURL + "/recording")
		require.NoError(f.t, err)
		recorded, err := io.ReadAll(response.Body)
		require.NoError(f.t, response.Body.Close())
		require.NoError(f.t, err)
		require.Equal(f.t, http.StatusOK, response.StatusCode, "%s: %s", s.name, recorded)
		require.NotEmpty(f.t, recorded, s.name)
		all = append(all, recorded...)
		all = append(all, '\n')
	}
	return all
}

// requireNoKey requires that the recording contains neither the key nor its hash.
func requireNoKey(t testing.TB, recorded []byte, key string) {
	t.Helper()
	sum := sha256.Sum256([]byte(key))
	inHex := hex.EncodeToString(sum[:])
	for form, text := range map[string]string{
		"key":                   key,
		"key in hexadecimal":    hex.EncodeToString([]byte(key)),
		"raw hash":              string(sum[:]),
		"hash in hexadecimal":   inHex,
		"hash in upper case":    strings.ToUpper(inHex),
		"hash in base64":        base64.StdEncoding.EncodeToString(sum[:]),
		"hash in base64 of URL": base64.RawURLEncoding.EncodeToString(sum[:]),
	} {
		require.Equal(t, -1, bytes.Index(recorded, []byte(text)), "a server received the %s", form)
	}
}

// requireCancelled requires that a cancel request cancels a statement that is running on a server.
func (f *fixture) requireCancelled(t testing.TB, c *client) {
	t.Helper()
	slow := startStatement(c, "SELECT pg_sleep(30)")
	eventually(t, statementTimeout, "a server has received the statement", func() bool {
		return bytes.Contains(f.recordings(), []byte("pg_sleep"))
	})
	eventually(t, statementTimeout, "the statement is cancelled", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), httpTimeout)
		defer cancel()
		require.NoError(t, c.conn.CancelRequest(ctx))
		return slow.hasEnded()
	})
	requireCode(t, "57014", slow.await())
}

func (r *pendingStatement) hasEnded() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}
