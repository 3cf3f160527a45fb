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
	// departLimit is the time after which a departing server gets no new work.
	departLimit = 5 * time.Second
	// departWatch is how long the server is watched after that.
	departWatch = 2 * time.Second
	// openAttempts bounds the search for a transaction that runs at a given server.
	openAttempts = 64
)

// TestServerDeparts guards against new work at a server that is to leave, against transactions there that are cut, and
// against writes that are lost with it.
func TestServerDeparts(t *testing.T) {
	f := newFleet(t)
	t.Run("replica", func(t *testing.T) {
		replica := f.replicas(0, f.awaitPrimary(0, nil))[0]
		d := f.startDeparture(t, 0, replica, f.reader(0))
		d.requireNoNewWork(t)
		d.requireFinished(t)
		d.requireTrueOutcomes(t)
	})
	f.awaitStable(1)
	t.Run("primary", func(t *testing.T) {
		primary := f.awaitPrimary(1, nil)
		d := f.startDeparture(t, 1, primary, f.writer(1))
		f.awaitPrimary(1, primary)
		d.requireNoNewWork(t)
		d.requireTold(t)
		d.requireTrueOutcomes(t)
	})
}

// departure is a server that departs under load.
type departure struct {
	fleet  *fleet
	group  int
	server *server
	writes *load
	reads  *readLoad
	// open is a transaction that ran at the server when it was marked.
	open *caller
}

// startDeparture marks a server as departing while callers read and write and a transaction runs there.
func (f *fleet) startDeparture(t testing.TB, g int, s *server, l login) departure {
	t.Helper()
	mustDial(t, f.members[0].callers, f.writer(g)).mustExec(t, putSQL("tin", "0"))
	d := departure{fleet: f, group: g, server: s, open: f.openTransaction(t, s, l)}
	before := s.counters(t)
	d.writes, d.reads = f.startLoad(g, f.members...), f.startReads(t, g)
	t.Cleanup(d.writes.end)
	d.writes.awaitMore(100)
	eventually(t, settleLimit, "the server has work", func() bool { return s.counters(t).Bindings > before.Bindings+10 })
	document := f.document()
	for _, listed := range document["groups"].([]object)[g]["servers"].([]object) {
		listed["departing"] = listed["name"] == s.id
	}
	f.mustApply(document, 0)
	return d
}

// requireNoNewWork requires that no connection and no statement begins at the server once the limit has passed.
func (d departure) requireNoNewWork(t testing.TB) {
	t.Helper()
	awaitTime(t, departLimit)
	before := d.server.counters(t)
	awaitTime(t, departWatch)
	d.writes.awaitMore(100)
	require.Equal(t, before, d.server.counters(t), "work at the departing server %s", d.server.name)
}

// requireFinished requires that the transaction can be finished, at the server where it began.
func (d departure) requireFinished(t testing.TB) {
	t.Helper()
	before := d.server.counters(t)
	requireValue(t, d.open, "tin", "0")
	d.open.mustExec(t, "COMMIT")
	after := d.server.counters(t)
	require.Greater(t, after.Statements, before.Statements)
	require.Equal(t, before.Bindings, after.Bindings)
	require.Equal(t, before.Connections, after.Connections)
}

// requireTold requires that the transaction's outcome is true. A departing primary is replaced without waiting for its
// open transactions.
func (d departure) requireTold(t testing.TB) {
	t.Helper()
	_, err := d.open.exec(putSQL("order", "1") + "; COMMIT")
	told := outcomeOf(err)
	require.Contains(t, []outcome{done, notRun, discarded}, told, "%v", err)
	reader := mustDial(t, d.fleet.members[1].callers, d.fleet.reader(d.group))
	require.Equal(t, told == done, len(reader.mustExec(t, getSQL("order"))) == 1, "%v", err)
}

func (d departure) requireTrueOutcomes(t testing.TB) {
	t.Helper()
	d.writes.end()
	d.reads.end()
	t.Logf("outcomes: writes %v, reads %v", d.writes.counts(), d.reads.counts)
	require.Equal(t, d.reads.counts[done], sum(d.reads.counts), "reads: %v", d.reads.errs)
	requireStated(t, d.writes)
	requireReadYourWrites(t, d.writes)
	requireTrueOutcomes(t, mustDial(t, d.fleet.members[1].callers, d.fleet.reader(d.group)), d.writes)
}

// openTransaction opens transactions until one runs at the server.
func (f *fleet) openTransaction(t testing.TB, s *server, l login) *caller {
	t.Helper()
	for i := range openAttempts {
		c := mustDial(t, f.members[i%len(f.members)].callers, l)
		before := s.counters(t)
		c.mustExec(t, "BEGIN")
		requireValue(t, c, "tin", "0")
		if s.counters(t).Bindings > before.Bindings {
			return c
		}
		c.mustExec(t, "ROLLBACK")
	}
	require.FailNow(t, "no transaction ran at the server", "%s after %d attempts", s.name, openAttempts)
	return nil
}

// counters is what a server counted of the connections of callers.
type counters struct {
	Connections int `json:"connections"`
	Bindings    int `json:"bindings"`
	Statements  int `json:"statements"`
}

func (s *server) counters(t testing.TB) counters {
	t.Helper()
	var c counters
	require.NoError(t, json.Unmarshal([]byte(get(t, s.admin+"/counters")), &c))
	return c
}

// awaitTime waits while the load runs.
func awaitTime(t testing.TB, d time.Duration) {
	t.Helper()
	end := timer.Now() + d
	eventually(t, d+settleLimit, "the time has passed", func() bool { return timer.Now() >= end })
}

// readLoad is a set of callers that read all the time, one at each instance.
type readLoad struct {
	running sync.WaitGroup
	stop    atomic.Bool

	mu     sync.Mutex
	counts map[outcome]int
	errs   []error
}

func (f *fleet) startReads(t testing.TB, g int) *readLoad {
	t.Helper()
	l := &readLoad{counts: make(map[outcome]int)}
	for _, m := range f.members {
		c := mustDial(t, m.callers, f.reader(g))
		l.running.Go(func() { l.run(c) })
	}
	t.Cleanup(l.end)
	return l
}

// run reads until the load is stopped or the connection has ended.
func (l *readLoad) run(c *caller) {
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

// end stops the callers after their current statement.
func (l *readLoad) end() {
	l.stop.Store(true)
	l.running.Wait()
}
