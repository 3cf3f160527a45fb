package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/group"
)

func inMaintenance(names ...string) dispatch.Maintenance {
	return dispatch.Maintenance{}.WithDataCentres(names, time.Second)
}

// Guards against a statement that is sent to a server in maintenance, and against one that waits for such a server.
func TestChooseInMaintenance(t *testing.T) {
	p, near, far := server("p", "a"), server("near", "a"), server("far", "b")
	all := []dispatch.Candidate{free(p), free(near), free(far)}
	reader := dispatch.NeedReader{AcceptedAge: time.Second}
	choose := func(need dispatch.Need, m dispatch.Maintenance) dispatch.Choice {
		in := routingContext()
		in.Maintenance = m
		return dispatch.Choose(need, all, in)
	}
	t.Run("a read goes to another data centre", func(t *testing.T) {
		requireServer(t, "far", at(5), choose(reader, inMaintenance("a")))
		requireServer(t, "near", at(5), choose(reader, inMaintenance("b")))
	})
	t.Run("a write is refused while the primary is there", func(t *testing.T) {
		require.Equal(t, dispatch.InMaintenance{}, choose(dispatch.NeedPrimary{}, inMaintenance("a")))
		requireServer(t, "p", group.Position{}, choose(dispatch.NeedPrimary{}, inMaintenance("b")))
	})
	t.Run("a loan is refused", func(t *testing.T) {
		in := routingContext()
		in.Maintenance = inMaintenance("b")
		require.Equal(t, dispatch.InMaintenance{}, dispatch.Choose(dispatch.NeedServer{Name: "far"}, []dispatch.Candidate{free(far)}, in))
	})
	t.Run("everything is refused with all data centres in maintenance", func(t *testing.T) {
		require.Equal(t, dispatch.InMaintenance{}, choose(reader, inMaintenance("a", "b")))
		require.Equal(t, dispatch.InMaintenance{}, choose(reader, dispatch.UnknownMaintenance()))
	})
	t.Run("an unknown data centre changes nothing", func(t *testing.T) {
		requireServer(t, "near", at(5), choose(reader, inMaintenance("z")))
	})
}

// Guards against a transaction that goes on for too long at a server in maintenance, or that gets more time with each
// list.
func TestCheckSend(t *testing.T) {
	m := inMaintenance("a")
	end := time.Second + dispatch.TransactionGrace
	t.Run("elsewhere", func(t *testing.T) { requireSend(t, dispatch.MaySend{}, m, "b", false, end) })
	t.Run("outside a transaction", func(t *testing.T) { requireSend(t, dispatch.RunElsewhere{}, m, "a", false, time.Second) })
	t.Run("in a transaction with time left", func(t *testing.T) { requireSend(t, dispatch.MaySend{}, m, "a", true, end-1) })
	t.Run("in a transaction without time left", func(t *testing.T) { requireSend(t, dispatch.EndTransaction{}, m, "a", true, end) })
	t.Run("a later list gives no more time", func(t *testing.T) {
		requireSend(t, dispatch.EndTransaction{}, m.WithDataCentres([]string{"b", "a"}, end), "a", true, end)
	})
	t.Run("a second maintenance does", func(t *testing.T) {
		again := m.WithDataCentres(nil, end).WithDataCentres([]string{"a"}, end)
		requireSend(t, dispatch.MaySend{}, again, "a", true, end)
	})
}

func requireSend(t *testing.T, want dispatch.SendDecision, m dispatch.Maintenance, dataCentre string, inTransaction bool, now time.Duration) {
	t.Helper()
	require.Equal(t, want, dispatch.CheckSend(m, dataCentre, inTransaction, now))
}
