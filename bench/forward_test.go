package bench

import (
	"context"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/instance"
)

// forwardFleet is a fleet in which the first group has one serving instance in each data centre.
type forwardFleet struct {
	*fleet
	// sender forwards to near while it lives, and to far otherwise. other does not serve either.
	sender, near, far, other *member
}

func newForwardFleet(t testing.TB) *forwardFleet {
	t.Helper()
	f := &forwardFleet{fleet: newFleet(t)}
	f.mustApply(f.served(f.document(), len(dataCentres)/2), 0)
	var listed []instance.Instance
	for _, m := range f.members {
		listed = append(listed, instance.Instance{
			Incarnation: m.id, Address: m.peers, DataCentre: m.dataCentre, State: instance.Live,
		})
	}
	serving := instance.NewList(listed...).Serving(instance.Service{
		Group: groupName(0), Number: len(dataCentres) / 2, DataCentres: dataCentres,
	})
	for _, m := range f.members {
		serves := m.id == serving[0].Incarnation || m.id == serving[1].Incarnation
		switch {
		case serves && m.dataCentre == dataCentres[0]:
			f.near = m
		case serves:
			f.far = m
		case m.dataCentre == dataCentres[0]:
			f.sender = m
		default:
			f.other = m
		}
	}
	eventually(t, settleLimit, "callers are forwarded", func() bool {
		c, err := dial(f.sender.callers, f.reader(0))
		require.NoError(t, err)
		defer c.close()
		return f.near.received(t) > 0
	})
	return f
}

// served gives the first group a number of serving instances.
func (f *fleet) served(document object, number int) object {
	document["groups"].([]object)[0]["serving_instances"] = number
	return document
}

// metric returns the value of a series.
func (m *member) metric(t testing.TB, name string) float64 {
	t.Helper()
	found := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindStringSubmatch(get(t, m.operators+"/metrics"))
	require.NotNil(t, found, "metric %s of %s", name, m.id)
	value, err := strconv.ParseFloat(found[1], 64)
	require.NoError(t, err)
	return value
}

func (m *member) received(t testing.TB) float64 { return m.metric(t, "rhubarbwick_received_callers") }

// TestForwardedCaller guards against a forwarded caller that is served otherwise than a direct one, and against
// connections that instances hold to servers of groups that they do not serve.
func TestForwardedCaller(t *testing.T) {
	f := newForwardFleet(t)
	t.Run("writes and reads", func(t *testing.T) {
		c := mustDial(t, f.sender.callers, f.writer(0))
		c.mustExec(t, putSQL("tin", "1"))
		requireValue(t, mustDial(t, f.other.callers, f.reader(0).withSession(c.token())), "tin", "1")
		require.Positive(t, f.near.received(t))
	})
	t.Run("answers that exceed the buffers", func(t *testing.T) {
		c := mustDial(t, f.sender.callers, f.writer(0))
		value := strings.Repeat("x", 100_000)
		c.mustExec(t, putSQL("long", value))
		requireValue(t, c, "long", value)
	})
	t.Run("cancel", func(t *testing.T) {
		c := mustDial(t, f.sender.callers, f.reader(0))
		// In a transaction the statement does not wait for a connection, where a cancel request would end the wait.
		c.mustExec(t, "BEGIN")
		slow := startStatement(c, "SELECT pg_sleep(30)")
		eventually(t, settleLimit, "the statement is cancelled", func() bool {
			require.NoError(t, c.conn.CancelRequest(context.Background()))
			select {
			case <-slow.done:
				return true
			default:
				return false
			}
		})
		requireCode(t, "57014", slow.await())
		c.mustExec(t, "ROLLBACK")
	})
	t.Run("only serving instances are in the ledgers of connections", func(t *testing.T) {
		eventually(t, settleLimit, "the ledger names the serving instances only", func() bool {
			ledger := get(t, f.store+"/objects/ledger/connections/"+groupName(0)+"/a")
			return strings.Contains(ledger, f.near.id) && strings.Contains(ledger, f.far.id) &&
				!strings.Contains(ledger, f.sender.id) && !strings.Contains(ledger, f.other.id)
		})
	})
	t.Run("an operator is told", func(t *testing.T) {
		env := []string{"RHUBARBWICK_PASSWORD=" + f.secrets.operator, "RHUBARBWICK_INSTANCE=" + f.sender.operators}
		r := command(t, env, "session", "explain", "--organisation", "clinic", "--route", routeName("read", 0))
		require.Contains(t, r.out, "forwards the caller to instance "+f.near.id+", or else to one of 1 more", r.errors)
	})
	t.Run("a withdrawn key stops", func(t *testing.T) {
		withdrawn := mustDial(t, f.sender.callers, f.writer(0).withKey(f.secrets.spareKey))
		withdrawn.mustExec(t, putSQL("tin", "2"))
		f.mustApply(f.served(f.document(f.secrets.key), len(dataCentres)/2), 0)
		requireKeyStops(t, withdrawn)
	})
}

// TestServingInstanceLost guards against callers that lose more than what was open when their serving instance died, and
// against an outcome that is not true.
func TestServingInstanceLost(t *testing.T) {
	f := newForwardFleet(t)
	idle := mustDial(t, f.sender.callers, f.writer(0))
	idle.mustExec(t, putSQL("tin", "1"))
	fresh := mustDial(t, f.sender.callers, f.reader(0))
	inTransaction := mustDial(t, f.sender.callers, f.writer(0))
	inTransaction.mustExec(t, "BEGIN")
	inTransaction.mustExec(t, putSQL("tin", "2"))
	inRequest := mustDial(t, f.sender.callers, f.reader(0))
	eventually(t, settleLimit, "the callers are forwarded", func() bool { return f.near.received(t) >= 4 })
	slow := f.near.startSlow(t, inRequest)
	f.near.kill(t)
	t.Run("the open request is unknown", func(t *testing.T) { requireCode(t, "08007", slow.await()) })
	t.Run("the transaction is rolled back", func(t *testing.T) {
		_, err := inTransaction.exec("COMMIT")
		requireCode(t, "57P01", err)
	})
	t.Run("idle sessions move", func(t *testing.T) {
		requireValue(t, idle, "tin", "1")
		requireValue(t, fresh, "tin", "1")
		require.Positive(t, f.far.received(t))
	})
	slow = f.far.startSlow(t, fresh)
	f.far.stop(t)
	t.Run("a request at a paused instance is unknown", func(t *testing.T) { requireCode(t, "08007", slow.await()) })
	t.Run("the instance serves its callers itself when no other one answers", func(t *testing.T) {
		requireValue(t, idle, "tin", "1")
		idle.mustExec(t, putSQL("tin", "3"))
		requireValue(t, mustDial(t, f.sender.callers, f.reader(0)), "tin", "3")
	})
	f.far.resume(t)
	require.GreaterOrEqual(t, f.sender.metric(t, "rhubarbwick_forward_moves_total"), 3.0)
}

// placedReads returns how many reads an instance has placed on servers.
func (m *member) placedReads(t testing.TB) float64 {
	t.Helper()
	return m.metric(t, `rhubarbwick_reads_total{served_by="primary"}`) +
		m.metric(t, `rhubarbwick_reads_total{served_by="replica"}`)
}

// startSlow starts a statement that does not end by itself and waits until the serving instance has it.
func (m *member) startSlow(t testing.TB, c *caller) *running {
	t.Helper()
	before := m.placedReads(t)
	slow := startStatement(c, "SELECT pg_sleep(30)")
	eventually(t, settleLimit, "the statement runs", func() bool { return m.placedReads(t) > before })
	return slow
}

// TestForwardedPlannedStop guards against a planned stop of either side that cuts a request of a forwarded caller.
func TestForwardedPlannedStop(t *testing.T) {
	f := newForwardFleet(t)
	l := f.startLoad(0, f.sender)
	idle := mustDial(t, f.sender.callers, f.writer(0))
	idle.mustExec(t, putSQL("tin", "1"))
	transaction := mustDial(t, f.sender.callers, f.writer(0))
	transaction.mustExec(t, "BEGIN")
	transaction.mustExec(t, putSQL("order", "1"))
	l.awaitMore(50)
	f.near.terminate(t)
	eventually(t, drainLimit, "the serving instance is not ready any more", func() bool { return status(f.near.operators+"/ready") != 200 })
	t.Run("a transaction is finished", func(t *testing.T) {
		transaction.mustExec(t, "COMMIT")
		eventually(t, drainLimit, "the serving instance ends", f.near.hasEnded)
		require.Zero(t, f.near.cmd.ProcessState.ExitCode())
	})
	t.Run("sessions move", func(t *testing.T) {
		requireValue(t, idle, "tin", "1")
		transaction.mustExec(t, "BEGIN")
	})
	l.awaitMore(50)
	f.sender.terminate(t)
	eventually(t, drainLimit, "the instance is not ready any more", func() bool { return status(f.sender.operators+"/ready") != 200 })
	t.Run("idle sessions are told and transactions finish", func(t *testing.T) {
		_, err := idle.exec(getSQL("tin"))
		requireCode(t, "57P01", err)
		transaction.mustExec(t, "COMMIT")
		eventually(t, drainLimit, "the instance ends", f.sender.hasEnded)
		require.Zero(t, f.sender.cmd.ProcessState.ExitCode())
	})
	l.end()
	t.Logf("outcomes: %v", l.counts())
	requireOnlyDoneOrNotRun(t, l)
	requireTrueOutcomes(t, mustDial(t, f.other.callers, f.reader(0)), l)
}

// BenchmarkForwarding measures latency, statements per second, processor time and memory of a forwarded caller beside
// one that connects to the same serving instance. The ways alternate within one run.
//
//	go test ./bench -run '^$' -bench Forwarding -benchtime 1x
func BenchmarkForwarding(b *testing.B) {
	f := newForwardFleet(b)
	writer := mustDial(b, f.near.callers, f.writer(0))
	writer.mustExec(b, putSQL("tin", "1"))
	ways := func() []*way {
		read := func(address string) func(int) func() error {
			return func(int) func() error {
				c := mustDial(b, address, f.reader(0).withSession(writer.token()))
				return func() error { _, err := c.exec(getSQL("tin")); return err }
			}
		}
		return []*way{
			{name: "serving instance", dial: read(f.near.callers)},
			{name: "forwarded", dial: read(f.sender.callers)},
		}
	}
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("reads-%d", callers), func(b *testing.B) { compare(b, callers, ways()) })
	}
	f.measureCPU(b, ways())
	f.measureMemory(b)
}

// measureCPU prints the processor time of both instances for each statement of a way.
func (f *forwardFleet) measureCPU(b *testing.B, ways []*way) {
	const statements = 20_000
	table(func(out io.Writer) {
		_, _ = fmt.Fprintln(out, "way\tstatements\tsending instance µs\tserving instance µs")
		for range rounds {
			for _, w := range ways {
				call := w.dial(0)
				sender, near := f.sender.cpu(b), f.near.cpu(b)
				for range statements {
					require.NoError(b, call())
				}
				_, _ = fmt.Fprintf(out, "%s\t%d\t%.1f\t%.1f\n", w.name, statements,
					(f.sender.cpu(b)-sender)*1e6/statements, (f.near.cpu(b)-near)*1e6/statements)
			}
		}
	})
}

func (m *member) cpu(t testing.TB) float64 { return m.metric(t, "process_cpu_seconds_total") }

// measureMemory prints the resident memory that idle forwarded callers add to both instances.
func (f *forwardFleet) measureMemory(b *testing.B) {
	const callers = 1000
	resident := func(m *member) float64 { return m.metric(b, "process_resident_memory_bytes") }
	sender, near := resident(f.sender), resident(f.near)
	for range callers {
		mustDial(b, f.sender.callers, f.reader(0))
	}
	eventually(b, time.Minute, "the callers are forwarded", func() bool { return f.near.received(b) >= callers })
	table(func(out io.Writer) {
		_, _ = fmt.Fprintln(out, "idle forwarded callers\tsending instance KiB each\tserving instance KiB each")
		_, _ = fmt.Fprintf(out, "%d\t%.1f\t%.1f\n", callers,
			(resident(f.sender)-sender)/callers/1024, (resident(f.near)-near)/callers/1024)
	})
}
