package bench

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// serverDrainTime is the time after which a departing server must not get new work.
	serverDrainTime = 5 * time.Second
	// serverDrainObservation is how long the server is observed after that.
	serverDrainObservation = 2 * time.Second
	// maxTransactionAttempts bounds the attempts to open a transaction that runs on a given server.
	maxTransactionAttempts = 64
)

// TestServerDrained guards against new work on a departing server, against transactions on it that are aborted, and
// against the loss of writes.
func TestServerDrained(t *testing.T) {
	f := newFixture(t)
	t.Run("replica", func(t *testing.T) {
		replica := f.replicas(0, f.awaitPrimary(0, nil))[0]
		d := f.startServerDrain(t, 0, replica, f.readLogin(0))
		d.requireNoNewWork(t)
		d.requireTransactionCompletes(t)
		d.requireCorrectOutcomes(t)
	})
	f.awaitStable(1)
	t.Run("primary", func(t *testing.T) {
		primary := f.awaitPrimary(1, nil)
		d := f.startServerDrain(t, 1, primary, f.writeLogin(1))
		f.awaitPrimary(1, primary)
		d.requireNoNewWork(t)
		d.requireTransactionOutcome(t)
		d.requireCorrectOutcomes(t)
	})
}

// serverDrain is a departing server under load.
type serverDrain struct {
	fixture *fixture
	group   int
	server  *server
	writes  *load
	reads   *readLoad
	// transaction is a client with a transaction that was open on the server when the server was marked as departing.
	transaction *client
}

// startServerDrain marks a server as departing while clients read and write and a transaction is open on it.
func (f *fixture) startServerDrain(t testing.TB, g int, s *server, l login) serverDrain {
	t.Helper()
	mustDial(t, f.members[0].clientAddress, f.writeLogin(g)).mustExec(t, putSQL("tin", "0"))
	d := serverDrain{fixture: f, group: g, server: s, transaction: f.openTransaction(t, s, l)}
	before := s.counters(t)
	d.writes, d.reads = f.startLoad(g, f.members...), f.startReads(t, g)
	t.Cleanup(d.writes.end)
	d.writes.awaitMore(100)
	eventually(t, convergenceTimeout, "the server has work", func() bool { return s.counters(t).Bindings > before.Bindings+10 })
	document := f.document()
	for _, listed := range document["groups"].([]object)[g]["servers"].([]object) {
		listed["departing"] = listed["name"] == s.id
	}
	f.mustApply(document, 0)
	return d
}

// requireNoNewWork requires that the server gets no connection and no statement after serverDrainTime.
func (d serverDrain) requireNoNewWork(t testing.TB) {
	t.Helper()
	waitFor(t, serverDrainTime)
	before := d.server.counters(t)
	waitFor(t, serverDrainObservation)
	d.writes.awaitMore(100)
	require.Equal(t, before, d.server.counters(t), "work on the departing server %s", d.server.name)
}

// requireTransactionCompletes requires that the transaction completes on the server on which it began.
func (d serverDrain) requireTransactionCompletes(t testing.TB) {
	t.Helper()
	before := d.server.counters(t)
	requireValue(t, d.transaction, "tin", "0")
	d.transaction.mustExec(t, "COMMIT")
	after := d.server.counters(t)
	require.Greater(t, after.Statements, before.Statements)
	require.Equal(t, before.Bindings, after.Bindings)
	require.Equal(t, before.Connections, after.Connections)
}

// requireTransactionOutcome requires that the reported outcome of the transaction is correct. The replacement of a
// departing primary does not wait for its open transactions.
func (d serverDrain) requireTransactionOutcome(t testing.TB) {
	t.Helper()
	_, err := d.transaction.exec(putSQL("order", "1") + "; COMMIT")
	reported := outcomeOf(err)
	require.Contains(t, []outcome{done, notRun, discarded}, reported, "%v", err)
	reader := mustDial(t, d.fixture.members[1].clientAddress, d.fixture.readLogin(d.group))
	require.Equal(t, reported == done, len(reader.mustExec(t, getSQL("order"))) == 1, "%v", err)
}

func (d serverDrain) requireCorrectOutcomes(t testing.TB) {
	t.Helper()
	d.writes.end()
	d.reads.end()
	t.Logf("outcomes: writes %v, reads %v", d.writes.counts(), d.reads.counts)
	require.Equal(t, d.reads.counts[done], sum(d.reads.counts), "reads: %v", d.reads.errs)
	requireOutcomesReported(t, d.writes)
	requireReadYourWrites(t, d.writes)
	requireCorrectOutcomes(t, mustDial(t, d.fixture.members[1].clientAddress, d.fixture.readLogin(d.group)), d.writes)
}

// openTransaction opens transactions until one runs on the server.
func (f *fixture) openTransaction(t testing.TB, s *server, l login) *client {
	t.Helper()
	for i := range maxTransactionAttempts {
		c := mustDial(t, f.members[i%len(f.members)].clientAddress, l)
		before := s.counters(t)
		c.mustExec(t, "BEGIN")
		requireValue(t, c, "tin", "0")
		if s.counters(t).Bindings > before.Bindings {
			return c
		}
		c.mustExec(t, "ROLLBACK")
	}
	require.FailNow(t, "no transaction ran on the server", "%s after %d attempts", s.name, maxTransactionAttempts)
	return nil
}

// counters are the counters of a server for client connections.
type counters struct {
	Connections int `json:"connections"`
	Bindings    int `json:"bindings"`
	Statements  int `json:"statements"`
}

func (s *server) counters(t testing.TB) counters {
	t.Helper()
	var c counters
	require.NoError(t, json.Unmarshal([]byte(get(t, s.adminURL+"/counters")), &c))
	return c
}

// waitFor waits for a duration while the load keeps running.
func waitFor(t testing.TB, d time.Duration) {
	t.Helper()
	end := timer.Now() + d
	eventually(t, d+convergenceTimeout, "the time has passed", func() bool { return timer.Now() >= end })
}

// readLoad is a set of clients that read continuously, one on each instance.
type readLoad struct {
	running sync.WaitGroup
	stop    atomic.Bool

	mu     sync.Mutex
	counts map[outcome]int
	errs   []error
}

func (f *fixture) startReads(t testing.TB, g int) *readLoad {
	t.Helper()
	l := &readLoad{counts: make(map[outcome]int)}
	for _, m := range f.members {
		c := mustDial(t, m.clientAddress, f.readLogin(g))
		l.running.Go(func() { l.run(c) })
	}
	t.Cleanup(l.end)
	return l
}

// run reads until the load is stopped or the connection is closed.
func (l *readLoad) run(c *client) {
	for !l.stop.Load() && !c.conn.IsClosed() {
		_, err := c.exec(getSQL("tin"))
		l.add(err)
	}
}

func (l *readLoad) add(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcomeOf(err)]++
	if err != nil {
		l.errs = append(l.errs, err)
	}
}

// end stops the clients after their current statement.
func (l *readLoad) end() {
	l.stop.Store(true)
	l.running.Wait()
}
