package bench

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

const (
	// loadWriters is the number of writers, which are distributed over the instances.
	loadWriters = 8
	// keysPerQuery is the number of keys that the check of outcomes reads in one query.
	keysPerQuery = 100
	// linearizabilityTimeout bounds the search of porcupine, the linearizability checker.
	linearizabilityTimeout = 20 * time.Second
)

// increment is an increment of a counter, or the insertion of one, with its reported outcome.
type increment struct {
	key     string
	outcome outcome
	err     error
}

// registerOperation is a read or write of a writer's register.
type registerOperation struct {
	register, value string
	isRead          bool
	start, end      time.Duration
}

// writer increments counters through one instance until it is stopped. Each increment has its own counter, which was
// inserted as zero before, so that its value shows an increment that ran twice or ran although it was refused. Between
// increments the writer writes and reads a register.
type writer struct {
	name         string
	address      string
	login        login
	stop         *atomic.Bool
	acknowledged *atomic.Int64

	increments []increment
	// failedInserts are the insertions of counters that failed. These counters are not incremented.
	failedInserts []increment
	history       []registerOperation
	registerCount int
	conn          *client
}

// run writes until the load is stopped or the instance accepts no connection.
func (w *writer) run() {
	for n := 0; !w.stop.Load(); n++ {
		if !w.connect() {
			return
		}
		key := fmt.Sprintf("%s-%d", w.name, n)
		if _, err := w.conn.exec(putSQL(key, "0")); err != nil {
			w.failedInserts = append(w.failedInserts, increment{key: key, outcome: outcomeOf(err), err: err})
			continue
		}
		_, err := w.conn.exec(addSQL(key))
		w.increments = append(w.increments, increment{key: key, outcome: outcomeOf(err), err: err})
		if err == nil {
			w.acknowledged.Add(1)
		}
		if n%4 == 0 && err == nil {
			w.accessRegister(n)
		}
	}
}

// connect opens a connection when there is none. It returns false when the instance accepts no connection.
func (w *writer) connect() bool {
	if w.conn != nil && !w.conn.conn.IsClosed() {
		return true
	}
	conn, err := dial(w.address, w.login)
	w.conn = conn
	return err == nil
}

// accessRegister writes the register and reads it back. After a write with an unknown outcome it continues with a new
// register, because until the next write a read may return either value.
func (w *writer) accessRegister(n int) {
	register := fmt.Sprintf("%s-register-%d", w.name, w.registerCount)
	written := registerOperation{register: register, value: fmt.Sprint(n), start: timer.Now()}
	_, err := w.conn.exec(putSQL(register, written.value))
	written.end = timer.Now()
	switch outcomeOf(err) {
	case done:
		w.history = append(w.history, written)
	case notRun, discarded:
		return
	default:
		w.registerCount++
		return
	}
	read := registerOperation{register: register, isRead: true, start: timer.Now()}
	values, err := w.conn.exec(getSQL(register))
	read.end = timer.Now()
	if err != nil {
		return
	}
	read.value = strings.Join(values, ",")
	w.history = append(w.history, read)
}

// load is a set of writers.
type load struct {
	t            testing.TB
	writers      []*writer
	running      sync.WaitGroup
	stop         atomic.Bool
	acknowledged atomic.Int64
}

// startLoad starts writers on the given instances.
func (f *fixture) startLoad(g int, members ...*member) *load {
	l := &load{t: f.t}
	for i := range loadWriters {
		w := &writer{
			name: fmt.Sprintf("%s-writer-%d", members[i%len(members)].id, i), address: members[i%len(members)].clientAddress,
			login: f.writeLogin(g), stop: &l.stop, acknowledged: &l.acknowledged,
		}
		l.writers = append(l.writers, w)
		l.running.Go(w.run)
	}
	f.t.Cleanup(l.end)
	return l
}

// awaitMore waits until n further increments have been acknowledged.
func (l *load) awaitMore(n int64) {
	l.t.Helper()
	goal := l.acknowledged.Load() + n
	eventually(l.t, convergenceTimeout, fmt.Sprintf("%d further increments", n), func() bool { return l.acknowledged.Load() >= goal })
}

// end stops the writers after their current statement.
func (l *load) end() {
	l.stop.Store(true)
	l.running.Wait()
}

// counts returns the number of increments and failed insertions with each outcome.
func (l *load) counts() map[outcome]int {
	counts := make(map[outcome]int)
	for _, w := range l.writers {
		for _, inc := range slices.Concat(w.increments, w.failedInserts) {
			counts[inc.outcome]++
		}
	}
	return counts
}

// requireOutcomesReported requires that every request has a reported outcome.
func requireOutcomesReported(t testing.TB, l *load) {
	t.Helper()
	for _, w := range l.writers {
		for _, inc := range slices.Concat(w.increments, w.failedInserts) {
			require.NotEqual(t, noResponse, inc.outcome, "%s: %v", inc.key, inc.err)
		}
	}
}

// requireCorrectOutcomes reads every counter and requires the value that follows from the reported outcome: one when the
// increment is done, zero when it was not run or discarded, and zero or one when the outcome is unknown.
func requireCorrectOutcomes(t testing.TB, reader *client, l *load) {
	t.Helper()
	for _, w := range l.writers {
		requireNotInserted(t, reader, w.failedInserts)
		for first := 0; first < len(w.increments); first += keysPerQuery {
			requireCorrectBatch(t, reader, w.increments[first:min(first+keysPerQuery, len(w.increments))])
		}
	}
}

func requireCorrectBatch(t testing.TB, reader *client, increments []increment) {
	t.Helper()
	var query strings.Builder
	for _, inc := range increments {
		query.WriteString(getSQL(inc.key) + ";")
	}
	ctx := t.Context()
	results, err := reader.conn.Exec(ctx, query.String()).ReadAll()
	require.NoError(t, err)
	require.Len(t, results, len(increments))
	for i, inc := range increments {
		require.Len(t, results[i].Rows, 1, "the insertion of %s was acknowledged; error of its increment: %v", inc.key, inc.err)
		value := string(results[i].Rows[0][0])
		switch inc.outcome {
		case done:
			require.Equal(t, "1", value, "%s was acknowledged", inc.key)
		case notRun, discarded:
			require.Equal(t, "0", value, "%s was reported as %s: %v", inc.key, inc.outcome, inc.err)
		default:
			require.Contains(t, []string{"0", "1"}, value, "%s ran more than once: %v", inc.key, inc.err)
		}
	}
}

// requireNotInserted requires that no counter exists whose insertion was reported as not run or discarded.
func requireNotInserted(t testing.TB, reader *client, failedInserts []increment) {
	t.Helper()
	for _, inc := range failedInserts {
		if inc.outcome == notRun || inc.outcome == discarded {
			require.Empty(t, reader.mustExec(t, getSQL(inc.key)), "%s was reported as %s: %v", inc.key, inc.outcome, inc.err)
		}
	}
}

// registerModel is a register that is initially empty.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, op := range history {
			register := op.Input.(registerOperation).register
			parts[register] = append(parts[register], op)
		}
		var partitions [][]porcupine.Operation
		for _, part := range parts {
			partitions = append(partitions, part)
		}
		return partitions
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		op := input.(registerOperation)
		if op.isRead {
			return output.(string) == state.(string), state
		}
		return true, op.value
	},
}

// requireReadYourWrites checks the histories of the registers for linearizability. Only one session uses each register.
func requireReadYourWrites(t testing.TB, l *load) {
	t.Helper()
	var history []porcupine.Operation
	for i, w := range l.writers {
		for _, op := range w.history {
			history = append(history, porcupine.Operation{
				ClientId: i, Input: op, Call: int64(op.start), Output: op.value, Return: int64(op.end),
			})
		}
	}
	require.NotEmpty(t, history)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, history, linearizabilityTimeout))
}
