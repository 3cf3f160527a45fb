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
	// withdrawLimit is the longest time for which a withdrawn key may go on working.
	withdrawLimit = 5 * time.Second
	// drainLimit bounds a planned stop in the tests. The longest statement takes two seconds.
	drainLimit = 15 * time.Second
)

// TestInstanceKilledInTransaction guards against the writes of a transaction whose instance died: they must neither
// stay nor keep others from the row.
func TestInstanceKilledInTransaction(t *testing.T) {
	f := newFleet(t)
	other := mustDial(t, f.members[2].callers, f.writer(0))
	other.mustExec(t, putSQL("tin", "0"))
	c := mustDial(t, f.members[0].callers, f.writer(0))
	c.mustExec(t, "BEGIN")
	c.mustExec(t, addSQL("tin"))
	f.members[0].kill(t)
	_, err := c.exec("COMMIT")
	require.Equal(t, unstated, outcomeOf(err), "the caller's connection has ended: %v", err)
	requireValue(t, other, "tin", "0")
	other.mustExec(t, addSQL("tin"))
	requireValue(t, other, "tin", "1")
}

// TestInstanceKilledUnderLoad guards against writes of an instance that was killed between a write and its answer:
// they may be lost or kept, but not doubled, and the other instances' callers notice nothing.
func TestInstanceKilledUnderLoad(t *testing.T) {
	f := newFleet(t)
	struck := f.startLoad(0, f.members[0])
	others := f.startLoad(0, f.members[1:]...)
	struck.awaitMore(100)
	f.members[0].kill(t)
	others.awaitMore(200)
	struck.end()
	others.end()
	reader := mustDial(t, f.members[1].callers, f.reader(0))
	requireStated(t, others)
	require.Empty(t, others.counts()[unknown])
	requireTrueOutcomes(t, reader, others)
	requireTrueOutcomes(t, reader, struck)
}

// TestInstancePaused guards against an instance that wakes after the primary was replaced and a key was withdrawn: it
// must acknowledge nothing of the old primary, and must not go on with the key.
func TestInstancePaused(t *testing.T) {
	f := newFleet(t)
	paused, others := f.members[0], f.members[1:]
	struck := f.startLoad(0, paused)
	rest := f.startLoad(0, others...)
	withdrawn := mustDial(t, paused.callers, f.writer(1).withKey(f.secrets.spareKey))
	withdrawn.mustExec(t, putSQL("tin", "1"))
	struck.awaitMore(100)
	paused.stop(t)
	primary := f.awaitPrimary(0, nil)
	primary.cutPeers(f)
	f.awaitPrimary(0, primary)
	r := f.apply(f.members[2], f.document(f.secrets.key), 0)
	require.Zero(t, r.code, r.errors)
	rest.awaitMore(200)
	paused.resume(t)
	t.Run("the withdrawn key stops", func(t *testing.T) { requireKeyStops(t, withdrawn) })
	primary.healPeers(f)
	f.awaitSettled(0)
	struck.awaitMore(100)
	struck.end()
	rest.end()
	t.Run("outcomes are true", func(t *testing.T) {
		t.Logf("outcomes: paused %v, others %v", struck.counts(), rest.counts())
		reader := mustDial(t, f.members[1].callers, f.reader(0))
		for _, l := range []*load{struck, rest} {
			requireStated(t, l)
			requireReadYourWrites(t, l)
			requireTrueOutcomes(t, reader, l)
		}
	})
}

// TestPlannedStop guards against a planned stop that cuts a statement or a transaction, or loses its outcome.
func TestPlannedStop(t *testing.T) {
	f := newFleet(t)
	m := f.members[0]
	l := f.startLoad(0, m)
	idle := mustDial(t, m.callers, f.writer(0))
	idle.mustExec(t, putSQL("tin", "1"))
	transaction := mustDial(t, m.callers, f.writer(0))
	transaction.mustExec(t, "BEGIN")
	transaction.mustExec(t, putSQL("order", "1"))
	slow := startStatement(mustDial(t, m.callers, f.reader(0)), "SELECT pg_sleep(2)")
	l.awaitMore(50)
	m.terminate(t)
	eventually(t, drainLimit, "the instance is not ready any more", func() bool {
		return status(m.operators+"/ready") == http.StatusServiceUnavailable
	})
	t.Run("a running transaction is finished", func(t *testing.T) {
		transaction.mustExec(t, putSQL("delivery", "1"))
		transaction.mustExec(t, "COMMIT")
		reader := mustDial(t, f.members[2].callers, f.reader(0))
		requireValue(t, reader, "order", "1")
		requireValue(t, reader, "delivery", "1")
	})
	t.Run("an idle session is told", func(t *testing.T) {
		_, err := idle.exec(putSQL("tin", "2"))
		requireCode(t, "57P01", err)
	})
	t.Run("a running statement is finished", func(t *testing.T) { require.NoError(t, slow.await()) })
	t.Run("the process ends with 0", func(t *testing.T) {
		eventually(t, drainLimit, "the process ends", m.hasEnded)
		require.Zero(t, m.cmd.ProcessState.ExitCode())
	})
	l.end()
	t.Run("outcomes are true", func(t *testing.T) {
		t.Logf("outcomes: %v", l.counts())
		requireOnlyDoneOrNotRun(t, l)
		requireTrueOutcomes(t, mustDial(t, f.members[1].callers, f.reader(0)), l)
	})
}

// TestKeyWithdrawn guards against a withdrawn key that goes on working on an open connection.
func TestKeyWithdrawn(t *testing.T) {
	f := newFleet(t)
	var withdrawn, kept []*caller
	for _, m := range f.members {
		withdrawn = append(withdrawn, mustDial(t, m.callers, f.writer(0).withKey(f.secrets.spareKey)))
		kept = append(kept, mustDial(t, m.callers, f.writer(0)))
	}
	for _, c := range withdrawn {
		c.mustExec(t, putSQL("tin", "1"))
	}
	f.mustApply(f.document(f.secrets.key), 0)
	for _, c := range withdrawn {
		requireKeyStops(t, c)
	}
	for _, c := range kept {
		c.mustExec(t, putSQL("tin", "2"))
	}
}

// TestOperatorsRace guards against one operator's change that silently overwrites another's.
func TestOperatorsRace(t *testing.T) {
	f := newFleet(t)
	base := f.mustApply(f.document(), 0)
	var results [2]result
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() { results[i] = f.apply(f.members[2*i], f.document(), base) })
	}
	running.Wait()
	require.ElementsMatch(t, []int{0, 3}, []int{results[0].code, results[1].code}, "%+v", results)
}

// TestStoreAnswerLost guards against a change that is reported as failed although it took effect, or made twice,
// because the store's answer was lost.
func TestStoreAnswerLost(t *testing.T) {
	f := newFleet(t)
	base := f.mustApply(f.document(), 0)
	f.storeSlow(20 * time.Millisecond)
	f.loseAnswers(1)
	require.Equal(t, base+1, f.mustApply(f.document(), base))
}

// running is a statement in flight.
type running struct {
	caller *caller
	sql    string
	err    error
	done   chan struct{}
}

func startStatement(c *caller, sql string) *running {
	r := &running{caller: c, sql: sql, done: make(chan struct{})}
	go r.run()
	return r
}

func (r *running) run() {
	defer close(r.done)
	_, r.err = r.caller.exec(r.sql)
}

func (r *running) await() error {
	<-r.done
	return r.err
}

// requireKeyStops requires that statements with a withdrawn key are refused within the limit.
func requireKeyStops(t testing.TB, c *caller) {
	t.Helper()
	var err error
	eventually(t, withdrawLimit, "the withdrawn key is refused", func() bool {
		_, err = c.exec(putSQL("tin", "1"))
		return err != nil
	})
	requireCode(t, "28P01", err)
}

func requireOnlyDoneOrNotRun(t testing.TB, l *load) {
	t.Helper()
	for _, w := range l.writers {
		for _, a := range slices.Concat(w.additions, w.refused) {
			require.Contains(t, []outcome{done, notRun}, a.outcome, "%s: %v", a.key, a.err)
		}
	}
}
