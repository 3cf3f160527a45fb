package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPrimaryFailure guards against an acknowledged write that is lost, a write that runs twice or runs although it was
// reported as not run, and a request without an outcome, when a primary fails under load.
func TestPrimaryFailure(t *testing.T) {
	t.Run("killed", func(t *testing.T) { checkPrimaryFailure(t, killPrimary) })
	t.Run("paused and resumed", func(t *testing.T) { checkPrimaryFailure(t, pausePrimary) })
	t.Run("partitioned from its replicas", func(t *testing.T) { checkPrimaryFailure(t, partitionPrimary) })
	t.Run("frozen", func(t *testing.T) { checkPrimaryFailure(t, freezePrimary) })
	t.Run("killed while the store is down", func(t *testing.T) {
		checkPrimaryFailure(t, func(f *fixture, primary *server) (heal func()) {
			f.storeDown()
			killPrimary(f, primary)
			return f.storeUp
		})
	})
	t.Run("partitioned from its replicas while the store is down", func(t *testing.T) {
		checkPrimaryFailure(t, func(f *fixture, primary *server) (heal func()) {
			f.storeDown()
			healPeers := partitionPrimary(f, primary)
			return func() { healPeers(); f.storeUp() }
		})
	})
}

// fault injects a fault into a primary and returns the function that removes it.
type fault func(f *fixture, primary *server) (heal func())

func killPrimary(f *fixture, primary *server) func() {
	primary.kill(f.t)
	return func() {}
}

func pausePrimary(f *fixture, primary *server) func() {
	primary.pause(f.t)
	return func() { primary.resume(f.t) }
}

func partitionPrimary(f *fixture, primary *server) func() {
	primary.partitionPeers(f)
	return func() { primary.healPeers(f) }
}

func freezePrimary(f *fixture, primary *server) func() {
	primary.freeze(f)
	return func() { primary.thaw(f) }
}

func checkPrimaryFailure(t *testing.T, fail fault) {
	f := newFixture(t)
	primary := f.awaitPrimary(0, nil)
	l := f.startLoad(0, f.members...)
	l.awaitMore(200)
	heal := fail(f, primary)
	f.awaitPrimary(0, primary)
	l.awaitMore(200)
	heal()
	f.awaitConverged(0)
	l.awaitMore(200)
	l.end()
	t.Logf("outcomes: %v", l.counts())
	requireOutcomesReported(t, l)
	requireReadYourWrites(t, l)
	requireCorrectOutcomes(t, mustDial(t, f.members[1].clientAddress, f.readLogin(0)), l)
}

// partitionTime is the duration of the partition. It is three times the time-out after which a primary is suspected.
const partitionTime = 3 * time.Second

// TestPrimaryPartitionedFromClients guards against the replacement of a primary that only the instances can't reach, and
// against reads that fail meanwhile although the replicas could serve them.
func TestPrimaryPartitionedFromClients(t *testing.T) {
	f := newFixture(t)
	primary := f.awaitPrimary(0, nil)
	before, _ := primary.status()
	l := f.startLoad(0, f.members...)
	l.awaitMore(100)
	reader := mustDial(t, f.members[1].clientAddress, f.readLogin(0))
	primary.partitionClients(f)
	end := timer.Now() + partitionTime
	eventually(t, convergenceTimeout, "the end of the partition", func() bool {
		reader.mustExec(t, getSQL("tin"))
		return timer.Now() > end
	})
	primary.healClients(f)
	l.awaitMore(200)
	l.end()
	after, _ := primary.status()
	require.Equal(t, before, after, "status of the primary %s", primary.id)
	t.Logf("outcomes: %v", l.counts())
	requireOutcomesReported(t, l)
	requireReadYourWrites(t, l)
	requireCorrectOutcomes(t, reader, l)
}
