package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPrimaryFailure guards against a write that was acknowledged and is lost, that ran twice, or that ran although the
// caller was told otherwise, and against a caller without an outcome, while a primary fails under load.
func TestPrimaryFailure(t *testing.T) {
	t.Run("killed", func(t *testing.T) { checkPrimaryFailure(t, killPrimary) })
	t.Run("stopped and continued", func(t *testing.T) { checkPrimaryFailure(t, stopPrimary) })
	t.Run("cut from its replicas", func(t *testing.T) { checkPrimaryFailure(t, cutPrimary) })
	t.Run("frozen", func(t *testing.T) { checkPrimaryFailure(t, freezePrimary) })
	t.Run("killed while the store is down", func(t *testing.T) {
		checkPrimaryFailure(t, func(f *fleet, primary *server) (heal func()) {
			f.storeDown()
			killPrimary(f, primary)
			return f.storeUp
		})
	})
	t.Run("cut from its replicas while the store is down", func(t *testing.T) {
		checkPrimaryFailure(t, func(f *fleet, primary *server) (heal func()) {
			f.storeDown()
			healPeers := cutPrimary(f, primary)
			return func() { healPeers(); f.storeUp() }
		})
	})
}

// failure harms a primary and returns what ends the harm.
type failure func(f *fleet, primary *server) (heal func())

func killPrimary(f *fleet, primary *server) func() {
	primary.kill(f.t)
	return func() {}
}

func stopPrimary(f *fleet, primary *server) func() {
	primary.stop(f.t)
	return func() { primary.resume(f.t) }
}

func cutPrimary(f *fleet, primary *server) func() {
	primary.cutPeers(f)
	return func() { primary.healPeers(f) }
}

func freezePrimary(f *fleet, primary *server) func() {
	primary.freeze(f)
	return func() { primary.thaw(f) }
}

func checkPrimaryFailure(t *testing.T, fail failure) {
	f := newFleet(t)
	primary := f.awaitPrimary(0, nil)
	l := f.startLoad(0, f.members...)
	l.awaitMore(200)
	heal := fail(f, primary)
	f.awaitPrimary(0, primary)
	l.awaitMore(200)
	heal()
	f.awaitSettled(0)
	l.awaitMore(200)
	l.end()
	t.Logf("outcomes: %v", l.counts())
	requireStated(t, l)
	requireReadYourWrites(t, l)
	requireTrueOutcomes(t, mustDial(t, f.members[1].callers, f.reader(0)), l)
}

// cutTime is how long the cut from the callers lasts: three times the silence after which a primary is suspected.
const cutTime = 3 * time.Second

// TestPrimaryCutFromCallers guards against the replacement of a primary that only the instances cannot reach, and
// against reads that stop meanwhile although the replicas could serve them.
func TestPrimaryCutFromCallers(t *testing.T) {
	f := newFleet(t)
	primary := f.awaitPrimary(0, nil)
	before, _ := primary.standing()
	l := f.startLoad(0, f.members...)
	l.awaitMore(100)
	reader := mustDial(t, f.members[1].callers, f.reader(0))
	primary.cutCallers(f)
	end := timer.Now() + cutTime
	eventually(t, settleLimit, "the time of the cut", func() bool {
		reader.mustExec(t, getSQL("tin"))
		return timer.Now() > end
	})
	primary.healCallers(f)
	l.awaitMore(200)
	l.end()
	after, _ := primary.standing()
	require.Equal(t, before, after, "standing of the primary %s", primary.id)
	t.Logf("outcomes: %v", l.counts())
	requireStated(t, l)
	requireReadYourWrites(t, l)
	requireTrueOutcomes(t, reader, l)
}
