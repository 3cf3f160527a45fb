package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/standin/memory"
)

// setStoreSilent begins or ends an outage of the store in which calls wait for their context to end.
func (f *groupFixture) setStoreSilent(isSilent bool) {
	f.storeConn.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithUnresponsive(isSilent) })
}

func (f *groupFixture) loseStoreAnswers(loss memory.ResponseLoss) {
	f.storeConn.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithLostResponses(loss) })
}

// requireAnnounced fails the test unless the store names the last primary.
func (f *groupFixture) requireAnnounced() {
	f.t.Helper()
	last := f.lastTerm()
	f.withLock(func() {
		status, err := entry.ParseGroupStatus(f.store.Object(entry.StatusObject(testGroup)).Data)
		require.NoError(f.t, err)
		require.Equal(f.t, last, status.Term)
		require.Equal(f.t, f.primaries[last], status.Primary)
	})
}

// Guards against a term that falls in the store, and against a promoter that uses a term that only others saw.
func TestStatusObjectNeverFalls(t *testing.T) {
	inFakeCluster(t, 1, 3, func(ctx context.Context, cl *fakeCluster) {
		f := newGroupFixture(ctx, cl, 3)
		name := entry.StatusObject(testGroup)
		data := []byte(`{"group":"formula-core","term":50,"primary":"gone","address":"gone"}`)
		// The store is down at first, so that the promoter announces before it has read the object.
		f.store.SetObject(port.Object{Name: name, Version: 1, Data: data})
		f.setStoreSilent(true)
		f.run(time.Second)
		f.setStoreSilent(false)
		f.run(4 * time.Second)
		require.Equal(t, data, f.store.Object(name).Data)
		f.kill("s0")
		f.run(5 * time.Second)
		require.GreaterOrEqual(t, f.lastTerm(), group.Term(51))
		f.requireAnnounced()
	})
}
