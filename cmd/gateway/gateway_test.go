package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/standin/objects"
)

// Guards against components that are connected wrongly: requests run end to end from a client to the servers.
func TestGatewayServes(t *testing.T) {
	f := newFixture(t)
	one, two := f.start("one"), f.start("two")
	t.Run("a write through one instance is read through the other", func(t *testing.T) {
		w := dial(t, one.clientAddress, "orders", testKey)
		require.Equal(t, "READY I -", w.line())
		requireProof(t, w.query("WRITE tin 7"))
		r := dial(t, two.clientAddress, "orders", testKey)
		r.line()
		requireRow(t, "7", r.query("READ tin"))
	})
	t.Run("a session reads its own write", func(t *testing.T) {
		c := dial(t, one.clientAddress, "stock", testKey)
		c.line()
		for _, value := range []string{"1", "2", "3", "4", "5"} {
			requireProof(t, c.query("WRITE own "+value))
			requireRow(t, value, c.query("READ own"))
		}
	})
	t.Run("a transaction commits as a whole", func(t *testing.T) {
		c := dial(t, one.clientAddress, "orders", testKey)
		c.line()
		requireSuccess(t, c.query("BEGIN"))
		requireProof(t, c.query("WRITE a 1"))
		requireRow(t, "1", c.query("READ a"))
		lines := c.query("COMMIT")
		requireProof(t, lines)
		require.True(t, strings.HasPrefix(lines[len(lines)-1], "READY I "))
	})
	t.Run("a transaction that is rolled back has no effect", func(t *testing.T) {
		c := dial(t, one.clientAddress, "orders", testKey)
		c.line()
		requireSuccess(t, c.query("BEGIN"))
		requireProof(t, c.query("WRITE b 1"))
		requireSuccess(t, c.query("ROLLBACK"))
		requireRow(t, "", c.query("READ b"))
	})
	t.Run("prepared statements of two sessions are separate", func(t *testing.T) {
		a, b := dial(t, one.clientAddress, "orders", testKey), dial(t, one.clientAddress, "orders", testKey)
		a.line()
		b.line()
		requireSuccess(t, a.query("PREPARE s WRITE q1"))
		requireSuccess(t, b.query("PREPARE s READ q2"))
		requireProof(t, a.query("EXECUTE s c 9"))
		requireRow(t, "9", b.query("EXECUTE s c"))
		requireSuccess(t, a.query("DEALLOCATE s"))
		requireError(t, "UNKNOWN", a.query("EXECUTE s c 9"))
	})
	t.Run("a malformed request is rejected and the session continues", func(t *testing.T) {
		c := dial(t, one.clientAddress, "orders", testKey)
		c.line()
		requireError(t, "MALFORMED", c.query("NONSENSE"))
		requireRow(t, "7", c.query("READ tin"))
	})
	t.Run("a line feed in the data is part of the data", func(t *testing.T) {
		// A server ran the text after the line feed as a second request.
		c := dial(t, one.clientAddress, "orders", testKey)
		c.line()
		for _, data := range []string{"1\nQUERY x WRITE lf 2", "3\r", "\n", "4\r\r5", "\n6\n"} {
			requireProof(t, c.query("WRITE lf "+data))
			requireRow(t, data, c.query("READ lf"))
		}
	})
	t.Run("metrics are served and contain no organisation", func(t *testing.T) {
		text := get(t, "http://"+one.metricsAddress+"/metrics")
		require.Contains(t, text, `rhubarbwick_gateway_requests_total{freshness="every_write",result="success"}`)
		require.Contains(t, text, "rhubarbwick_gateway_store_calls_total")
		require.NotContains(t, text, "clinic")
		require.NotContains(t, text, testKey)
	})
	t.Run("the log contains decisions and no key", func(t *testing.T) {
		require.NotContains(t, one.log.String(), testKey)
		require.Contains(t, one.log.String(), "request: answered")
	})
}

// Guards against clients that connect with a wrong key, and against withdrawn keys that still work.
func TestGatewayKeys(t *testing.T) {
	f := newFixture(t)
	g := f.start("one")
	t.Run("an unknown key", func(t *testing.T) {
		require.True(t, strings.HasPrefix(dial(t, g.clientAddress, "orders", "wrong").line(), "ERROR DENIED "))
	})
	t.Run("an unknown database", func(t *testing.T) {
		require.True(t, strings.HasPrefix(dial(t, g.clientAddress, "nowhere", testKey).line(), "ERROR NODATABASE "))
	})
	t.Run("a key that is withdrawn from a connected client", func(t *testing.T) {
		c := dial(t, g.clientAddress, "orders", testKey)
		c.line()
		requireProof(t, c.query("WRITE d 1"))
		f.setDocument(2, "another-key")
		require.Eventually(t, func() bool {
			return strings.HasPrefix(c.query("READ d")[0], "ERROR DENIED ")
		}, waitTimeout, 20*time.Millisecond)
	})
}

// Guards against a group that remains without a primary, and against a new primary that lacks an acknowledged write which
// a replica had received.
func TestGatewayReplacesDeadPrimary(t *testing.T) {
	f := newFixture(t)
	one, two := f.start("one"), f.start("two")
	c := dial(t, one.clientAddress, "orders", testKey)
	c.line()
	requireProof(t, c.query("WRITE e 1"))
	old := f.group.Servers()[0]
	require.True(t, old.IsPrimary())
	old.Stop()
	require.Eventually(t, func() bool {
		lines := c.query("WRITE e 2")
		return strings.HasPrefix(lines[len(lines)-2], "COMPLETE ")
	}, waitTimeout, 20*time.Millisecond, "%s%s", one.log, two.log)
	r := dial(t, two.clientAddress, "orders", testKey)
	r.line()
	require.Eventually(t, func() bool {
		lines := r.query("READ e")
		return lines[0] == "ROW 2"
	}, waitTimeout, 20*time.Millisecond)
}

// Guards against a departing primary that is not replaced before the server stops.
func TestGatewayReplacesDepartingPrimary(t *testing.T) {
	f := newFixture(t)
	g := f.start("one")
	c := dial(t, g.clientAddress, "orders", testKey)
	c.line()
	requireProof(t, c.query("WRITE f 1"))
	old := f.group.Servers()[0]
	f.platform.Store.Set("servers", old.ID, map[string]any{
		"service": groupName, "address": old.Address(), "zone": "kig-a", "slots": 3, "state": "draining",
		"database_role": "primary", "born": 1,
	})
	require.Eventually(t, func() bool { return !old.IsPrimary() }, waitTimeout, 20*time.Millisecond, "%s", g.log)
	require.Eventually(t, func() bool { return c.query("READ f")[0] == "ROW 1" }, waitTimeout, 20*time.Millisecond)
}

// Guards against a store outage that interrupts reads and writes, also beyond the lease of the primary.
func TestGatewayWithoutStore(t *testing.T) {
	for name, fault := range map[string]objects.Fault{"busy": objects.Busy, "silent": objects.Unresponsive} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			one := f.start("one")
			f.start("two")
			c := dial(t, one.clientAddress, "orders", testKey)
			c.line()
			requireProof(t, c.query("WRITE g 1"))
			f.platform.SetFault(fault)
			// A lease that is not extended would expire in this time.
			until := time.Now().Add(primacy.LeaseTTL + 2*time.Second)
			for time.Now().Before(until) {
				requireRow(t, "1", c.query("READ g"))
				requireProof(t, c.query("WRITE g 1"))
			}
			f.platform.SetFault(objects.NoFault)
		})
	}
}

// Guards against a planned stop that interrupts a transaction, or after which the instance remains ready for new clients.
func TestGatewayStops(t *testing.T) {
	f := newFixture(t)
	g := f.start("one")
	busy, idle := dial(t, g.clientAddress, "orders", testKey), dial(t, g.clientAddress, "orders", testKey)
	busy.line()
	idle.line()
	requireSuccess(t, busy.query("BEGIN"))
	requireProof(t, busy.query("WRITE h 1"))
	g.stop()
	require.Eventually(t, func() bool { return !isReady(g.readinessAddress) }, waitTimeout, 5*time.Millisecond)
	requireProof(t, busy.query("COMMIT"))
	_, err := idle.lines.ReadByte()
	require.Error(t, err)
	require.NoError(t, <-g.done)
	g.done <- nil
	record, found := f.platform.Store.Get("rhubarbwick", "instance.one")
	require.True(t, found, "the record remains until the cleaner removes it, so that a restarted instance can reuse it")
	require.Contains(t, string(record.Spec), `"stopped":true`)
}

// Guards against an instance that cannot start, reload, leave or stop while nobody reads its log: it ignored SIGTERM and was
// killed in the middle of requests.
func TestGatewayWithUnreadLog(t *testing.T) {
	f := newFixture(t)
	unread := newBlockedWriter(t)
	g := f.startWithLog("one", unread, &syncBuffer{})
	unread.waitUntilBlocked()
	c := dial(t, g.clientAddress, "orders", testKey)
	c.line()
	requireProof(t, c.query("WRITE a 1"))
	g.process.reload(g.process.settings)
	g.process.setIsolated(true)
	require.False(t, isReady(g.readinessAddress))
	g.process.setIsolated(false)
	require.True(t, isReady(g.readinessAddress))
	busy := dial(t, g.clientAddress, "orders", testKey)
	busy.line()
	requireSuccess(t, busy.query("BEGIN"))
	requireProof(t, busy.query("WRITE h 1"))
	g.stop()
	require.Eventually(t, func() bool { return !isReady(g.readinessAddress) }, waitTimeout, 5*time.Millisecond)
	requireProof(t, busy.query("COMMIT"))
	select {
	case err := <-g.done:
		require.NoError(t, err)
		g.done <- nil
	case <-time.After(waitTimeout):
		require.Fail(t, "the gateway did not stop")
	}
}

// Guards against a process that starts with a missing or incomplete settings file.
func TestGatewaySettings(t *testing.T) {
	t.Run("no file", func(t *testing.T) {
		err := run(t.Context(), &Options{SettingsPath: filepath.Join(t.TempDir(), "missing.conf")})
		require.Equal(t, port.Invalid, port.KindOf(err))
	})
	t.Run("invalid settings", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "settings.conf")
		require.NoError(t, os.WriteFile(path, []byte("node_name=one\nzone=\n"), 0o600))
		err := run(t.Context(), &Options{SettingsPath: path})
		require.Equal(t, port.Invalid, port.KindOf(err))
		require.ErrorContains(t, err, "zone")
		require.ErrorContains(t, err, "platform.address")
	})
}
