package bench

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// revocationTimeout is the time within which a revoked key has to be refused.
	revocationTimeout = 5 * time.Second
	// shutdownTimeout bounds a graceful shutdown. The longest statement of the tests takes two seconds.
	shutdownTimeout = 15 * time.Second
)

// TestInstanceKilledInTransaction guards against a transaction that is not rolled back when its instance is killed, so
// that its writes remain or its row stays locked.
func TestInstanceKilledInTransaction(t *testing.T) {
	f := newFixture(t)
	other := mustDial(t, f.members[2].clientAddress, f.writeLogin(0))
	other.mustExec(t, putSQL("tin", "0"))
	c := mustDial(t, f.members[0].clientAddress, f.writeLogin(0))
	c.mustExec(t, "BEGIN")
	c.mustExec(t, addSQL("tin"))
	f.members[0].kill(t)
	_, err := c.exec("COMMIT")
	require.Equal(t, noResponse, outcomeOf(err), "the client's connection was closed: %v", err)
	requireValue(t, other, "tin", "0")
	other.mustExec(t, addSQL("tin"))
	requireValue(t, other, "tin", "1")
}

// TestInstanceKilledUnderLoad guards against writes that run twice when an instance is killed between a write and its
// response, and against effects on the clients of other instances.
func TestInstanceKilledUnderLoad(t *testing.T) {
	f := newFixture(t)
	affected := f.startLoad(0, f.members[0])
	others := f.startLoad(0, f.members[1:]...)
	affected.awaitMore(100)
	f.members[0].kill(t)
	others.awaitMore(200)
	affected.end()
	others.end()
	reader := mustDial(t, f.members[1].clientAddress, f.readLogin(0))
	requireOutcomesReported(t, others)
	require.Empty(t, others.counts()[unknown])
	requireCorrectOutcomes(t, reader, others)
	requireCorrectOutcomes(t, reader, affected)
}

// TestInstancePaused guards against an instance that acknowledges writes of a replaced primary or accepts a revoked key,
// because it was paused while the primary was replaced and the key revoked.
func TestInstancePaused(t *testing.T) {
	f := newFixture(t)
	paused, others := f.members[0], f.members[1:]
	affected := f.startLoad(0, paused)
	rest := f.startLoad(0, others...)
	revoked := mustDial(t, paused.clientAddress, f.writeLogin(1).withKey(f.secrets.spareKey))
	revoked.mustExec(t, putSQL("tin", "1"))
	affected.awaitMore(100)
	paused.pause(t)
	primary := f.awaitPrimary(0, nil)
	primary.partitionPeers(f)
	f.awaitPrimary(0, primary)
	r := f.apply(f.members[2], f.document(f.secrets.key), 0)
	require.Zero(t, r.code, r.errors)
	rest.awaitMore(200)
	paused.resume(t)
	t.Run("the revoked key is refused", func(t *testing.T) { requireKeyRevoked(t, revoked) })
	primary.healPeers(f)
	f.awaitConverged(0)
	affected.awaitMore(100)
	affected.end()
	rest.end()
	t.Run("outcomes are correct", func(t *testing.T) {
		t.Logf("outcomes: paused %v, others %v", affected.counts(), rest.counts())
		reader := mustDial(t, f.members[1].clientAddress, f.readLogin(0))
		for _, l := range []*load{affected, rest} {
			requireOutcomesReported(t, l)
			requireReadYourWrites(t, l)
			requireCorrectOutcomes(t, reader, l)
		}
	})
}

// TestGracefulShutdown guards against a graceful shutdown that aborts a statement or a transaction, or loses an outcome.
func TestGracefulShutdown(t *testing.T) {
	f := newFixture(t)
	m := f.members[0]
	l := f.startLoad(0, m)
	idle := mustDial(t, m.clientAddress, f.writeLogin(0))
	idle.mustExec(t, putSQL("tin", "1"))
	transaction := mustDial(t, m.clientAddress, f.writeLogin(0))
	transaction.mustExec(t, "BEGIN")
	transaction.mustExec(t, putSQL("order", "1"))
	slow := startStatement(mustDial(t, m.clientAddress, f.readLogin(0)), "SELECT pg_sleep(2)")
	l.awaitMore(50)
	m.terminate(t)
	eventually(t, shutdownTimeout, "the instance is no longer ready", func() bool {
		return statusCode(m.adminURL+"/ready") == http.StatusServiceUnavailable
	})
	t.Run("an open transaction completes", func(t *testing.T) {
		transaction.mustExec(t, putSQL("delivery", "1"))
		transaction.mustExec(t, "COMMIT")
		reader := mustDial(t, f.members[2].clientAddress, f.readLogin(0))
		requireValue(t, reader, "order", "1")
		requireValue(t, reader, "delivery", "1")
	})
	t.Run("an idle session gets an error", func(t *testing.T) {
		_, err := idle.exec(putSQL("tin", "2"))
		requireCode(t, "57P01", err)
	})
	t.Run("a running statement completes", func(t *testing.T) { require.NoError(t, slow.await()) })
	t.Run("the process exits with 0", func(t *testing.T) {
		eventually(t, shutdownTimeout, "the process exits", m.HasExited)
		require.Zero(t, m.Cmd.ProcessState.ExitCode())
	})
	l.end()
	t.Run("outcomes are correct", func(t *testing.T) {
		t.Logf("outcomes: %v", l.counts())
		requireOnlyDoneOrNotRun(t, l)
		requireCorrectOutcomes(t, mustDial(t, f.members[1].clientAddress, f.readLogin(0)), l)
	})
}

// TestKeyRevoked guards against a revoked key that keeps working on an open connection.
func TestKeyRevoked(t *testing.T) {
	f := newFixture(t)
	var revoked, valid []*client
	for _, m := range f.members {
		revoked = append(revoked, mustDial(t, m.clientAddress, f.writeLogin(0).withKey(f.secrets.spareKey)))
		valid = append(valid, mustDial(t, m.clientAddress, f.writeLogin(0)))
	}
	for _, c := range revoked {
		c.mustExec(t, putSQL("tin", "1"))
	}
	f.mustApply(f.document(f.secrets.key), 0)
	for _, c := range revoked {
		requireKeyRevoked(t, c)
	}
	for _, c := range valid {
		c.mustExec(t, putSQL("tin", "2"))
	}
}

// TestConcurrentEdits guards against an operator's change that silently overwrites another one.
func TestConcurrentEdits(t *testing.T) {
	f := newFixture(t)
	base := f.mustApply(f.document(), 0)
	var results [2]result
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() { results[i] = f.apply(f.members[2*i], f.document(), base) })
	}
	running.Wait()
	require.ElementsMatch(t, []int{0, 3}, []int{results[0].code, results[1].code}, "%+v", results)
}

// TestStoreResponseLost guards against a change that is reported as failed although it took effect, or that is made
// twice, because the store's response was lost.
func TestStoreResponseLost(t *testing.T) {
	f := newFixture(t)
	base := f.mustApply(f.document(), 0)
	f.storeSlow(20 * time.Millisecond)
	f.loseStoreResponses(1)
	require.Equal(t, base+1, f.mustApply(f.document(), base))
}

// pendingStatement is a statement that is running in the background.
type pendingStatement struct {
	client *client
	sql    string
	err    error
	done   chan struct{}
}

func startStatement(c *client, sql string) *pendingStatement {
	r := &pendingStatement{client: c, sql: sql, done: make(chan struct{})}
	go r.run()
	return r
}

func (r *pendingStatement) run() {
	defer close(r.done)
	_, r.err = r.client.exec(r.sql)
}

func (r *pendingStatement) await() error {
	<-r.done
	return r.err
}

// requireKeyRevoked requires that statements with a revoked key are refused within revocationTimeout.
func requireKeyRevoked(t testing.TB, c *client) {
	t.Helper()
	var err error
	eventually(t, revocationTimeout, "the revoked key is refused", func() bool {
		_, err = c.exec(putSQL("tin", "1"))
		return err != nil
	})
	requireCode(t, "28P01", err)
}

func requireOnlyDoneOrNotRun(t testing.TB, l *load) {
	t.Helper()
	for _, w := range l.writers {
		for _, a := range slices.Concat(w.increments, w.failedInserts) {
			require.Contains(t, []outcome{done, notRun}, a.outcome, "%s: %v", a.key, a.err)
		}
	}
}
