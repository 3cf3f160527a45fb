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

// forwardingFixture is a fixture whose first group has one serving instance in each data centre.
type forwardingFixture struct {
	*fixture
	// forwarder forwards to localServing while that is running, and otherwise to remoteServing. other does not serve the
	// group either.
	forwarder, localServing, remoteServing, other *member
}

func newForwardingFixture(t testing.TB) *forwardingFixture {
	t.Helper()
	f := &forwardingFixture{fixture: newFixture(t)}
	f.mustApply(f.withServingInstances(f.document(), len(dataCentres)/2), 0)
	var listed []instance.Instance
	for _, m := range f.members {
		listed = append(listed, instance.Instance{
			Incarnation: m.id, Address: m.peerAddress, DataCentre: m.dataCentre, State: instance.Live,
		})
	}
	serving := instance.NewList(listed...).Serving(instance.Service{
		Group: groupName(0), Number: len(dataCentres) / 2, DataCentres: dataCentres,
	})
	for _, m := range f.members {
		serves := m.id == serving[0].Incarnation || m.id == serving[1].Incarnation
		switch {
		case serves && m.dataCentre == dataCentres[0]:
			f.localServing = m
		case serves:
			f.remoteServing = m
		case m.dataCentre == dataCentres[0]:
			f.forwarder = m
		default:
			f.other = m
		}
	}
	eventually(t, convergenceTimeout, "clients are forwarded", func() bool {
		c, err := dial(f.forwarder.clientAddress, f.readLogin(0))
		require.NoError(t, err)
		defer c.close()
		return f.localServing.receivedClients(t) > 0
	})
	return f
}

// withServingInstances sets the number of serving instances of the first group in a document.
func (f *fixture) withServingInstances(document object, number int) object {
	document["groups"].([]object)[0]["serving_instances"] = number
	return document
}

// metric returns the value of one of the instance's metrics.
func (m *member) metric(t testing.TB, name string) float64 {
	t.Helper()
	found := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindStringSubmatch(get(t, m.adminURL+"/metrics"))
	require.NotNil(t, found, "metric %s of %s", name, m.id)
	value, err := strconv.ParseFloat(found[1], 64)
	require.NoError(t, err)
	return value
}

func (m *member) receivedClients(t testing.TB) float64 {
	return m.metric(t, "rhubarbwick_received_callers")
}

// TestForwardedClient guards against a forwarded client that is served differently from a direct one, and against
// instances that use connections to servers of groups that they do not serve.
func TestForwardedClient(t *testing.T) {
	f := newForwardingFixture(t)
	t.Run("writes and reads", func(t *testing.T) {
		c := mustDial(t, f.forwarder.clientAddress, f.writeLogin(0))
		c.mustExec(t, putSQL("tin", "1"))
		requireValue(t, mustDial(t, f.other.clientAddress, f.readLogin(0).withSession(c.token())), "tin", "1")
		require.Positive(t, f.localServing.receivedClients(t))
	})
	t.Run("responses larger than the buffers", func(t *testing.T) {
		c := mustDial(t, f.forwarder.clientAddress, f.writeLogin(0))
		value := strings.Repeat("x", 100_000)
		c.mustExec(t, putSQL("long", value))
		requireValue(t, c, "long", value)
	})
	t.Run("cancel", func(t *testing.T) {
		c := mustDial(t, f.forwarder.clientAddress, f.readLogin(0))
		// In a transaction the statement does not wait for a connection; otherwise the cancel request could end the wait.
		c.mustExec(t, "BEGIN")
		slow := startStatement(c, "SELECT pg_sleep(30)")
		eventually(t, convergenceTimeout, "the statement is cancelled", func() bool {
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
	t.Run("only serving instances are in the connection ledgers", func(t *testing.T) {
		eventually(t, convergenceTimeout, "the ledger contains only the serving instances", func() bool {
			ledger := get(t, f.storeURL+"/objects/ledger/connections/"+groupName(0)+"/a")
			return strings.Contains(ledger, f.localServing.id) && strings.Contains(ledger, f.remoteServing.id) &&
				!strings.Contains(ledger, f.forwarder.id) && !strings.Contains(ledger, f.other.id)
		})
	})
	t.Run("the operator's explanation names the serving instance", func(t *testing.T) {
		env := []string{"RHUBARBWICK_PASSWORD=" + f.secrets.operator, "RHUBARBWICK_INSTANCE=" + f.forwarder.adminURL}
		r := command(t, env, "session", "explain", "--organisation", "clinic", "--route", routeName("read", 0))
		require.Contains(t, r.out, "forwards the caller to instance "+f.localServing.id+", or else to one of 1 more", r.errors)
	})
	t.Run("a revoked key is refused", func(t *testing.T) {
		revoked := mustDial(t, f.forwarder.clientAddress, f.writeLogin(0).withKey(f.secrets.spareKey))
		revoked.mustExec(t, putSQL("tin", "2"))
		f.mustApply(f.withServingInstances(f.document(f.secrets.key), len(dataCentres)/2), 0)
		requireKeyRevoked(t, revoked)
	})
}

// TestServingInstanceLost guards against clients that lose more than their pending request or open transaction when the
// serving instance crashes, and against wrong outcomes.
func TestServingInstanceLost(t *testing.T) {
	f := newForwardingFixture(t)
	idle := mustDial(t, f.forwarder.clientAddress, f.writeLogin(0))
	idle.mustExec(t, putSQL("tin", "1"))
	fresh := mustDial(t, f.forwarder.clientAddress, f.readLogin(0))
	inTransaction := mustDial(t, f.forwarder.clientAddress, f.writeLogin(0))
	inTransaction.mustExec(t, "BEGIN")
	inTransaction.mustExec(t, putSQL("tin", "2"))
	inRequest := mustDial(t, f.forwarder.clientAddress, f.readLogin(0))
	eventually(t, convergenceTimeout, "the clients are forwarded", func() bool { return f.localServing.receivedClients(t) >= 4 })
	slow := f.localServing.startSlowStatement(t, inRequest)
	f.localServing.kill(t)
	t.Run("the outcome of the pending request is unknown", func(t *testing.T) { requireCode(t, "08007", slow.await()) })
	t.Run("the transaction is rolled back", func(t *testing.T) {
		_, err := inTransaction.exec("COMMIT")
		requireCode(t, "57P01", err)
	})
	t.Run("idle sessions move", func(t *testing.T) {
		requireValue(t, idle, "tin", "1")
		requireValue(t, fresh, "tin", "1")
		require.Positive(t, f.remoteServing.receivedClients(t))
	})
	slow = f.remoteServing.startSlowStatement(t, fresh)
	f.remoteServing.pause(t)
	t.Run("the outcome of a request on a paused instance is unknown", func(t *testing.T) { requireCode(t, "08007", slow.await()) })
	t.Run("the instance serves its clients itself when no serving instance responds", func(t *testing.T) {
		requireValue(t, idle, "tin", "1")
		idle.mustExec(t, putSQL("tin", "3"))
		requireValue(t, mustDial(t, f.forwarder.clientAddress, f.readLogin(0)), "tin", "3")
	})
	f.remoteServing.resume(t)
	require.GreaterOrEqual(t, f.forwarder.metric(t, "rhubarbwick_forward_moves_total"), 3.0)
}

// servedReads returns the number of reads that an instance has sent to servers.
func (m *member) servedReads(t testing.TB) float64 {
	t.Helper()
	return m.metric(t, `rhubarbwick_reads_total{served_by="primary"}`) +
		m.metric(t, `rhubarbwick_reads_total{served_by="replica"}`)
}

// startSlowStatement starts a statement that is longer than the test and waits until the serving instance runs it.
func (m *member) startSlowStatement(t testing.TB, c *client) *pendingStatement {
	t.Helper()
	before := m.servedReads(t)
	slow := startStatement(c, "SELECT pg_sleep(30)")
	eventually(t, convergenceTimeout, "the statement runs", func() bool { return m.servedReads(t) > before })
	return slow
}

// TestForwardedGracefulShutdown guards against a graceful shutdown of the forwarding or the serving instance that aborts
// a request of a forwarded client.
func TestForwardedGracefulShutdown(t *testing.T) {
	f := newForwardingFixture(t)
	l := f.startLoad(0, f.forwarder)
	idle := mustDial(t, f.forwarder.clientAddress, f.writeLogin(0))
	idle.mustExec(t, putSQL("tin", "1"))
	transaction := mustDial(t, f.forwarder.clientAddress, f.writeLogin(0))
	transaction.mustExec(t, "BEGIN")
	transaction.mustExec(t, putSQL("order", "1"))
	l.awaitMore(50)
	f.localServing.terminate(t)
	eventually(t, shutdownTimeout, "the serving instance is no longer ready", func() bool { return statusCode(f.localServing.adminURL+"/ready") != 200 })
	t.Run("a transaction completes", func(t *testing.T) {
		transaction.mustExec(t, "COMMIT")
		eventually(t, shutdownTimeout, "the serving instance ends", f.localServing.HasExited)
		require.Zero(t, f.localServing.Cmd.ProcessState.ExitCode())
	})
	t.Run("sessions move", func(t *testing.T) {
		requireValue(t, idle, "tin", "1")
		transaction.mustExec(t, "BEGIN")
	})
	l.awaitMore(50)
	f.forwarder.terminate(t)
	eventually(t, shutdownTimeout, "the instance is no longer ready", func() bool { return statusCode(f.forwarder.adminURL+"/ready") != 200 })
	t.Run("idle sessions get an error and transactions complete", func(t *testing.T) {
		_, err := idle.exec(getSQL("tin"))
		requireCode(t, "57P01", err)
		transaction.mustExec(t, "COMMIT")
		eventually(t, shutdownTimeout, "the instance ends", f.forwarder.HasExited)
		require.Zero(t, f.forwarder.Cmd.ProcessState.ExitCode())
	})
	l.end()
	t.Logf("outcomes: %v", l.counts())
	requireOnlyDoneOrNotRun(t, l)
	requireCorrectOutcomes(t, mustDial(t, f.other.clientAddress, f.readLogin(0)), l)
}

// BenchmarkForwarding measures latency, throughput, CPU time and memory of forwarded clients, compared with clients that
// connect to the serving instance directly. The variants alternate within one run.
//
//	go test ./bench -run '^$' -bench Forwarding -benchtime 1x
func BenchmarkForwarding(b *testing.B) {
	f := newForwardingFixture(b)
	writer := mustDial(b, f.localServing.clientAddress, f.writeLogin(0))
	writer.mustExec(b, putSQL("tin", "1"))
	variants := func() []*variant {
		read := func(address string) func(int) func() error {
			return func(int) func() error {
				c := mustDial(b, address, f.readLogin(0).withSession(writer.token()))
				return func() error { _, err := c.exec(getSQL("tin")); return err }
			}
		}
		return []*variant{
			{name: "serving instance", dial: read(f.localServing.clientAddress)},
			{name: "forwarded", dial: read(f.forwarder.clientAddress)},
		}
	}
	for _, clients := range []int{1, 16} {
		b.Run(fmt.Sprintf("reads-%d", clients), func(b *testing.B) { compare(b, clients, variants()) })
	}
	f.measureCPU(b, variants())
	f.measureMemory(b)
}

// measureCPU prints the CPU time that a statement of each variant takes on both instances.
func (f *forwardingFixture) measureCPU(b *testing.B, variants []*variant) {
	const statements = 20_000
	table(func(out io.Writer) {
		_, _ = fmt.Fprintln(out, "variant\tstatements\tforwarding instance µs\tserving instance µs")
		for range rounds {
			for _, v := range variants {
				call := v.dial(0)
				forwarderBefore, servingBefore := f.forwarder.cpu(b), f.localServing.cpu(b)
				for range statements {
					require.NoError(b, call())
				}
				_, _ = fmt.Fprintf(out, "%s\t%d\t%.1f\t%.1f\n", v.name, statements,
					(f.forwarder.cpu(b)-forwarderBefore)*1e6/statements, (f.localServing.cpu(b)-servingBefore)*1e6/statements)
			}
		}
	})
}

func (m *member) cpu(t testing.TB) float64 { return m.metric(t, "process_cpu_seconds_total") }

// measureMemory prints the resident memory that an idle forwarded client takes on both instances.
func (f *forwardingFixture) measureMemory(b *testing.B) {
	const clients = 1000
	resident := func(m *member) float64 { return m.metric(b, "process_resident_memory_bytes") }
	forwarderBefore, servingBefore := resident(f.forwarder), resident(f.localServing)
	for range clients {
		mustDial(b, f.forwarder.clientAddress, f.readLogin(0))
	}
	eventually(b, time.Minute, "the clients are forwarded", func() bool { return f.localServing.receivedClients(b) >= clients })
	table(func(out io.Writer) {
		_, _ = fmt.Fprintln(out, "idle forwarded clients\tforwarding instance KiB each\tserving instance KiB each")
		_, _ = fmt.Fprintf(out, "%d\t%.1f\t%.1f\n", clients,
			(resident(f.forwarder)-forwarderBefore)/clients/1024, (resident(f.localServing)-servingBefore)/clients/1024)
	})
}
