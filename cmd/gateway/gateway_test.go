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

// Guards against a path from a caller to the servers that breaks anywhere between the platform's settings and the answer.
func TestGatewayServes(t *testing.T) {
	f := newFleet(t)
	one, two := f.start("one"), f.start("two")
	t.Run("a write through one instance is read through the other", func(t *testing.T) {
		w := dial(t, one.callers, "orders", testKey)
		require.Equal(t, "READY I -", w.line())
		requireProof(t, w.query("WRITE tin 7"))
		r := dial(t, two.callers, "orders", testKey)
		r.line()
		requireRow(t, "7", r.query("READ tin"))
	})
	t.Run("a session reads its own write", func(t *testing.T) {
		c := dial(t, one.callers, "stock", testKey)
		c.line()
		for _, value := range []string{"1", "2", "3", "4", "5"} {
			requireProof(t, c.query("WRITE own "+value))
			requireRow(t, value, c.query("READ own"))
		}
	})
	t.Run("a transaction commits as a whole", func(t *testing.T) {
		c := dial(t, one.callers, "orders", testKey)
		c.line()
		requireSuccess(t, c.query("BEGIN"))
		requireProof(t, c.query("WRITE a 1"))
		requireRow(t, "1", c.query("READ a"))
		lines := c.query("COMMIT")
		requireProof(t, lines)
		require.True(t, strings.HasPrefix(lines[len(lines)-1], "READY I "))
	})
	t.Run("a rolled back transaction leaves nothing", func(t *testing.T) {
		c := dial(t, one.callers, "orders", testKey)
		c.line()
		requireSuccess(t, c.query("BEGIN"))
		requireProof(t, c.query("WRITE b 1"))
		requireSuccess(t, c.query("ROLLBACK"))
		requireRow(t, "", c.query("READ b"))
	})
	t.Run("prepared names of two sessions do not meet", func(t *testing.T) {
		a, b := dial(t, one.callers, "orders", testKey), dial(t, one.callers, "orders", testKey)
		a.line()
		b.line()
		requireSuccess(t, a.query("PREPARE s WRITE q1"))
		requireSuccess(t, b.query("PREPARE s READ q2"))
		requireProof(t, a.query("EXECUTE s c 9"))
		requireRow(t, "9", b.query("EXECUTE s c"))
		requireSuccess(t, a.query("DEALLOCATE s"))
		requireError(t, "UNKNOWN", a.query("EXECUTE s c 9"))
	})
	t.Run("garbage is refused and the session goes on", func(t *testing.T) {
		c := dial(t, one.callers, "orders", testKey)
		c.line()
		requireError(t, "MALFORMED", c.query("NONSENSE"))
		requireRow(t, "7", c.query("READ tin"))
	})
	t.Run("metrics are served and name no organisation", func(t *testing.T) {
		text := get(t, "http://"+one.metrics+"/metrics")
		require.Contains(t, text, `rhubarbwick_gateway_requests_total{freshness="every_write",result="success"}`)
		require.Contains(t, text, "rhubarbwick_gateway_store_calls_total")
		require.NotContains(t, text, "clinic")
		require.NotContains(t, text, testKey)
	})
	t.Run("the log is bounded to decisions and holds no key", func(t *testing.T) {
		require.NotContains(t, one.out.String(), testKey)
		require.Contains(t, one.out.String(), "request: answered")
	})
}

// Guards against callers that get in with a wrong key, and against withdrawn keys that still work.
func TestGatewayKeys(t *testing.T) {
	f := newFleet(t)
	g := f.start("one")
	t.Run("an unknown key", func(t *testing.T) {
		require.True(t, strings.HasPrefix(dial(t, g.callers, "orders", "wrong").line(), "ERROR DENIED "))
	})
	t.Run("an unknown database", func(t *testing.T) {
		require.True(t, strings.HasPrefix(dial(t, g.callers, "nowhere", testKey).line(), "ERROR NODATABASE "))
	})
	t.Run("a key that is withdrawn from a connected caller", func(t *testing.T) {
		c := dial(t, g.callers, "orders", testKey)
		c.line()
		requireProof(t, c.query("WRITE d 1"))
		f.setDocument(2, "another-key")
		require.Eventually(t, func() bool {
			return strings.HasPrefix(c.query("READ d")[0], "ERROR DENIED ")
		}, patience, 20*time.Millisecond)
	})
}

// Guards against a group that stays without a primary, and against a confirmed write that the successor lacks although it
// had received it.
func TestGatewayReplacesDeadPrimary(t *testing.T) {
	f := newFleet(t)
	one, two := f.start("one"), f.start("two")
	c := dial(t, one.callers, "orders", testKey)
	c.line()
	requireProof(t, c.query("WRITE e 1"))
	old := f.group.Servers()[0]
	require.True(t, old.IsPrimary())
	old.Stop()
	require.Eventually(t, func() bool {
		lines := c.query("WRITE e 2")
		return strings.HasPrefix(lines[len(lines)-2], "COMPLETE ")
	}, patience, 20*time.Millisecond, "%s%s", one.out, two.out)
	r := dial(t, two.callers, "orders", testKey)
	r.line()
	require.Eventually(t, func() bool {
		lines := r.query("READ e")
		return lines[0] == "ROW 2"
	}, patience, 20*time.Millisecond)
}

// Guards against a departing primary that is used until it ends.
func TestGatewayReplacesDepartingPrimary(t *testing.T) {
	f := newFleet(t)
	g := f.start("one")
	c := dial(t, g.callers, "orders", testKey)
	c.line()
	requireProof(t, c.query("WRITE f 1"))
	old := f.group.Servers()[0]
	f.platform.Store.Set("servers", old.ID, map[string]any{
		"service": groupName, "address": old.Address(), "zone": "kig-a", "slots": 3, "state": "draining",
		"database_role": "primary", "born": 1,
	})
	require.Eventually(t, func() bool { return !old.IsPrimary() }, patience, 20*time.Millisecond, "%s", g.out)
	require.Eventually(t, func() bool { return c.query("READ f")[0] == "ROW 1" }, patience, 20*time.Millisecond)
}

// Guards against an outage of the store that stops what does not need it.
func TestGatewayWithoutStore(t *testing.T) {
	for name, fault := range map[string]objects.Fault{"busy": objects.Busy, "silent": objects.Unresponsive} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			one := f.start("one")
			f.start("two")
			c := dial(t, one.callers, "orders", testKey)
			c.line()
			requireProof(t, c.query("WRITE g 1"))
			f.platform.SetFault(fault)
			// Longer than a lease without extension.
			until := time.Now().Add(primacy.LeaseTTL + 2*time.Second)
			for time.Now().Before(until) {
				requireRow(t, "1", c.query("READ g"))
				requireProof(t, c.query("WRITE g 1"))
			}
			f.platform.SetFault(objects.NoFault)
		})
	}
}

// Guards against a planned stop that cuts a transaction or keeps the platform sending callers.
func TestGatewayStops(t *testing.T) {
	f := newFleet(t)
	g := f.start("one")
	busy, idle := dial(t, g.callers, "orders", testKey), dial(t, g.callers, "orders", testKey)
	busy.line()
	idle.line()
	requireSuccess(t, busy.query("BEGIN"))
	requireProof(t, busy.query("WRITE h 1"))
	g.stop()
	require.Eventually(t, func() bool { return !isReady(g.ready) }, patience, 5*time.Millisecond)
	requireProof(t, busy.query("COMMIT"))
	_, err := idle.lines.ReadByte()
	require.Error(t, err)
	require.NoError(t, <-g.ended)
	g.ended <- nil
	record, found := f.platform.Store.Get("rhubarbwick", "instance.one")
	require.True(t, found, "the record stays until the cleaner removes it, so that a restart keeps its place")
	require.Contains(t, string(record.Spec), `"stopped":true`)
}

// Guards against a process that starts with half of its settings.
func TestGatewaySettings(t *testing.T) {
	t.Run("no file", func(t *testing.T) {
		err := run(t.Context(), &Options{Path: filepath.Join(t.TempDir(), "missing.conf")})
		require.Equal(t, port.Invalid, port.KindOf(err))
	})
	t.Run("faults", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "settings.conf")
		require.NoError(t, os.WriteFile(path, []byte("node_name=one\nzone=\n"), 0o600))
		err := run(t.Context(), &Options{Path: path})
		require.Equal(t, port.Invalid, port.KindOf(err))
		require.ErrorContains(t, err, "zone")
		require.ErrorContains(t, err, "platform.address")
	})
}
