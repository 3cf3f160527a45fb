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
	// loadWriters is the number of writers, spread over the instances.
	loadWriters = 8
	// keysPerQuery is how many keys the check reads in one query.
	keysPerQuery = 100
	// judgeLimit bounds porcupine's search.
	judgeLimit = 20 * time.Second
)

// addition is one addition to a counter of its own, with what the caller was told about it.
type addition struct {
	key     string
	outcome outcome
	err     error
}

// access is one access of a writer to its register.
type access struct {
	register, value string
	isRead          bool
	from, to        time.Duration
}

// writer adds to counters through one instance until it is stopped. Each addition has a counter of its own, which was
// written as zero before, so that an addition that ran twice, or ran although it was refused, shows in its value. Between additions the writer
// writes and reads a register.
type writer struct {
	name    string
	address string
	login   login
	stop    *atomic.Bool
	added   *atomic.Int64

	additions []addition
	// refused are the writes of a zero that did not succeed; their counters have no additions.
	refused   []addition
	history   []access
	registers int
	conn      *caller
}

// run is the writer's loop.
func (w *writer) run() {
	for n := 0; !w.stop.Load(); n++ {
		if !w.connect() {
			return
		}
		key := fmt.Sprintf("%s-%d", w.name, n)
		if _, err := w.conn.exec(putSQL(key, "0")); err != nil {
			w.refused = append(w.refused, addition{key: key, outcome: outcomeOf(err), err: err})
			continue
		}
		_, err := w.conn.exec(addSQL(key))
		w.additions = append(w.additions, addition{key: key, outcome: outcomeOf(err), err: err})
		if err == nil {
			w.added.Add(1)
		}
		if n%4 == 0 && err == nil {
			w.accessRegister(n)
		}
	}
}

// connect opens a connection when there is none. It reports false when the instance takes no callers any more.
func (w *writer) connect() bool {
	if w.conn != nil && !w.conn.conn.IsClosed() {
		return true
	}
	conn, err := dial(w.address, w.login)
	w.conn = conn
	return err == nil
}

// accessRegister writes the register and reads it back. A register is left after a write whose outcome is unknown,
// because nothing is promised about it until it is written again.
func (w *writer) accessRegister(n int) {
	register := fmt.Sprintf("%s-register-%d", w.name, w.registers)
	written := access{register: register, value: fmt.Sprint(n), from: timer.Now()}
	_, err := w.conn.exec(putSQL(register, written.value))
	written.to = timer.Now()
	switch outcomeOf(err) {
	case done:
		w.history = append(w.history, written)
	case notRun, discarded:
		return
	default:
		w.registers++
		return
	}
	read := access{register: register, isRead: true, from: timer.Now()}
	values, err := w.conn.exec(getSQL(register))
	read.to = timer.Now()
	if err != nil {
		return
	}
	read.value = strings.Join(values, ",")
	w.history = append(w.history, read)
}

// load is a set of writers.
type load struct {
	t       testing.TB
	writers []*writer
	running sync.WaitGroup
	stop    atomic.Bool
	added   atomic.Int64
}

// startLoad starts writers at the given instances.
func (f *fleet) startLoad(g int, members ...*member) *load {
	l := &load{t: f.t}
	for i := range loadWriters {
		w := &writer{
			name: fmt.Sprintf("%s-writer-%d", members[i%len(members)].id, i), address: members[i%len(members)].callers,
			login: f.writer(g), stop: &l.stop, added: &l.added,
		}
		l.writers = append(l.writers, w)
		l.running.Go(w.run)
	}
	f.t.Cleanup(l.end)
	return l
}

// awaitMore waits until the writers have had n further additions acknowledged.
func (l *load) awaitMore(n int64) {
	l.t.Helper()
	goal := l.added.Load() + n
	eventually(l.t, settleLimit, fmt.Sprintf("%d further additions", n), func() bool { return l.added.Load() >= goal })
}

// end stops the writers after their current statement.
func (l *load) end() {
	l.stop.Store(true)
	l.running.Wait()
}

// counts returns how many additions had each outcome.
func (l *load) counts() map[outcome]int {
	counts := make(map[outcome]int)
	for _, w := range l.writers {
		for _, a := range slices.Concat(w.additions, w.refused) {
			counts[a.outcome]++
		}
	}
	return counts
}

// requireStated requires that every caller was told an outcome.
func requireStated(t testing.TB, l *load) {
	t.Helper()
	for _, w := range l.writers {
		for _, a := range slices.Concat(w.additions, w.refused) {
			require.NotEqual(t, unstated, a.outcome, "%s: %v", a.key, a.err)
		}
	}
}

// requireTrueOutcomes reads every counter and requires the value that the caller was told: one when the addition is
// done, zero when it was not run or discarded, and at most one when it is unknown.
func requireTrueOutcomes(t testing.TB, reader *caller, l *load) {
	t.Helper()
	for _, w := range l.writers {
		requireAbsent(t, reader, w.refused)
		for first := 0; first < len(w.additions); first += keysPerQuery {
			requireTrueBatch(t, reader, w.additions[first:min(first+keysPerQuery, len(w.additions))])
		}
	}
}

func requireTrueBatch(t testing.TB, reader *caller, additions []addition) {
	t.Helper()
	var query strings.Builder
	for _, a := range additions {
		query.WriteString(getSQL(a.key) + ";")
	}
	ctx := t.Context()
	results, err := reader.conn.Exec(ctx, query.String()).ReadAll()
	require.NoError(t, err)
	require.Len(t, results, len(additions))
	for i, a := range additions {
		require.Len(t, results[i].Rows, 1, "the zero of %s was acknowledged; its addition: %v", a.key, a.err)
		value := string(results[i].Rows[0][0])
		switch a.outcome {
		case done:
			require.Equal(t, "1", value, "%s was acknowledged", a.key)
		case notRun, discarded:
			require.Equal(t, "0", value, "%s was reported as %s: %v", a.key, a.outcome, a.err)
		default:
			require.Contains(t, []string{"0", "1"}, value, "%s ran more than once: %v", a.key, a.err)
		}
	}
}

// requireAbsent requires that no counter exists whose zero was reported as not run or discarded.
func requireAbsent(t testing.TB, reader *caller, refused []addition) {
	t.Helper()
	for _, a := range refused {
		if a.outcome == notRun || a.outcome == discarded {
			require.Empty(t, reader.mustExec(t, getSQL(a.key)), "%s was reported as %s: %v", a.key, a.outcome, a.err)
		}
	}
}

// registerModel is a register that is empty at first.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, op := range history {
			register := op.Input.(access).register
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
		a := input.(access)
		if a.isRead {
			return output.(string) == state.(string), state
		}
		return true, a.value
	},
}

// requireReadYourWrites judges the histories of the registers, each of which one session wrote and read.
func requireReadYourWrites(t testing.TB, l *load) {
	t.Helper()
	var history []porcupine.Operation
	for i, w := range l.writers {
		for _, a := range w.history {
			history = append(history, porcupine.Operation{
				ClientId: i, Input: a, Call: int64(a.from), Output: a.value, Return: int64(a.to),
			})
		}
	}
	require.NotEmpty(t, history)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, history, judgeLimit))
}
