package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/standin/memory"
)

// overload keeps all keepers busy far above the limit, so that any share that counts twice shows as overshoot.
const overload = 400

// testFailure runs a scenario with an organisation of 100 statements a second and a burst of 100, and checks that no
// interval of it saw more.
func testFailure(t *testing.T, name string, n int, scenario func(t *testing.T, f *limitCluster)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			f := newLimitCluster(t, n, organisationDocument(1, 100, 100), allotment.ByDemand{})
			defer f.stopAll()
			scenario(t, f)
			requireNoOvershoot(t, f, rateLimitName, 100, 100)
		})
	})
}

// kill ends a keeper's exchange with the store for good, without giving anything back.
func (m *member) kill() { m.setCutOff(true) }

// setCutOff cuts a keeper off from the store or ends the cut.
func (m *member) setCutOff(isCut bool) {
	m.line.Change(func(f memory.Faults) memory.Faults { return f.WithDown(isCut) })
}

// requireAdmitted checks that about the whole rate is used from an instant on.
func requireAdmitted(t *testing.T, f *limitCluster, since time.Duration, atLeast float64) {
	t.Helper()
	elapsed := (f.clock.Now() - since).Seconds()
	require.GreaterOrEqual(t, float64(f.admittedSince(rateLimitName, since))/elapsed, atLeast, "statements a second")
}

// Guards against a share that is spent by two holders, or by nobody, after one of them fails.
func TestLimitFailures(t *testing.T) {
	t.Parallel()
	testFailure(t, "a dead holder's share is taken after its lease", 3, func(t *testing.T, f *limitCluster) {
		f.load(12*time.Second, rateLimitName, overload, f.members...)
		f.members[0].kill()
		f.load(45*time.Second, rateLimitName, overload, f.members[1:]...)
		f.load(10*time.Second, rateLimitName, overload, f.members[1:]...)
		requireAdmitted(t, f, f.clock.Now()-10*time.Second, 95)
	})
	testFailure(t, "a cut-off holder falls back to its standing share", 3, func(t *testing.T, f *limitCluster) {
		f.load(12*time.Second, rateLimitName, overload, f.members...)
		f.members[0].kill()
		f.load(50*time.Second, rateLimitName, overload, f.members...)
		// The statements that still wait at the others are answered first.
		f.advance(time.Second)
		since := f.clock.Now()
		f.load(10*time.Second, rateLimitName, overload, f.members[0])
		requireAdmitted(t, f, since, 0.3)
		require.LessOrEqual(t, f.admittedSince(rateLimitName, since), 6)
	})
	testFailure(t, "a paused holder wakes without its share", 3, func(_ *testing.T, f *limitCluster) {
		f.load(12*time.Second, rateLimitName, overload, f.members...)
		f.members[0].timer.pause()
		f.load(45*time.Second, rateLimitName, overload, f.members[1:]...)
		// Its bucket has filled up meanwhile, by its own clock.
		f.members[0].timer.resume()
		for range 100 {
			f.send(f.members[0], rateLimitName)
		}
		f.load(20*time.Second, rateLimitName, overload, f.members...)
	})
	testFailure(t, "a holder is paused between check and use", 3, func(_ *testing.T, f *limitCluster) {
		f.load(25*time.Second, rateLimitName, overload, f.members...)
		// The clock is read in the lease, and the statement goes on after others have taken the share.
		for range 4 {
			trap := make(chan struct{})
			f.members[0].timer.pause()
			f.members[0].timer.blockNextNow(trap)
			f.send(f.members[0], rateLimitName)
			f.load(40*time.Second, rateLimitName, overload, f.members[1:]...)
			close(trap)
			f.advance(time.Millisecond)
			f.members[0].timer.resume()
			f.load(20*time.Second, rateLimitName, overload, f.members...)
		}
	})
	testFailure(t, "an instance is replaced", 3, func(t *testing.T, f *limitCluster) {
		f.load(12*time.Second, rateLimitName, overload, f.members...)
		f.members[0].stop()
		f.load(time.Second, rateLimitName, overload, f.members[1:]...)
		<-f.members[0].done
		fresh := f.addMember()
		since := f.clock.Now()
		f.load(10*time.Second, rateLimitName, overload, f.members[1], f.members[2], fresh)
		requireAdmitted(t, f, since, 90)
	})
	testFailure(t, "the store is down for ten minutes", 3, func(t *testing.T, f *limitCluster) {
		f.load(12*time.Second, rateLimitName, overload, f.members...)
		f.setStoreDown(true)
		since := f.clock.Now()
		f.load(18*time.Second, rateLimitName, overload, f.members...)
		requireAdmitted(t, f, since, 90)
		f.load(10*time.Minute, rateLimitName, 60, f.members...)
		f.setStoreDown(false)
		f.load(15*time.Second, rateLimitName, overload, f.members...)
		since = f.clock.Now()
		f.load(10*time.Second, rateLimitName, overload, f.members...)
		requireAdmitted(t, f, since, 90)
	})
	testFailure(t, "answers are lost", 3, func(t *testing.T, f *limitCluster) {
		for i := range 6 {
			f.members[i%3].line.Change(func(s memory.Faults) memory.Faults { return s.WithLostAnswers(memory.AllAnswers{}) })
			f.load(7*time.Second, rateLimitName, overload, f.members[i%3], f.members[(i+1)%3])
			f.members[i%3].line.Change(func(s memory.Faults) memory.Faults { return s.WithLostAnswers(nil) })
			f.load(4*time.Second, rateLimitName, overload, f.members[(i+2)%3])
		}
		since := f.clock.Now()
		f.load(10*time.Second, rateLimitName, overload, f.members...)
		requireAdmitted(t, f, since, 90)
	})
	testFailure(t, "updates take effect after their sender gave up", 3, func(_ *testing.T, f *limitCluster) {
		for i := range 12 {
			late := time.Duration(i%4+1) * 700 * time.Millisecond
			f.members[i%3].line.Change(func(s memory.Faults) memory.Faults { return s.WithLateUpdates(late) })
			f.load(5*time.Second, rateLimitName, overload, f.members[i%3], f.members[(i+1)%3])
			f.members[i%3].line.Change(func(s memory.Faults) memory.Faults { return s.WithLateUpdates(0) })
			f.load(2*time.Second, rateLimitName, overload, f.members[(i+1)%3])
		}
	})
	testFailure(t, "the store is slow", 3, func(_ *testing.T, f *limitCluster) {
		slow := (testRTT + 1500*time.Millisecond) / 2
		f.store.Change(func(s memory.Faults) memory.Faults { return s.WithLatency(slow, slow) })
		f.load(60*time.Second, rateLimitName, overload, f.members...)
	})
	testFailure(t, "two keepers claim at once", 2, func(t *testing.T, f *limitCluster) {
		f.send(f.members[0], rateLimitName)
		f.send(f.members[1], rateLimitName)
		f.advance(time.Second)
		require.Len(t, f.ledger(t, rateLimitName).Entries, 2)
		require.Zero(t, f.refused[rateLimitName])
		f.load(10*time.Second, rateLimitName, overload, f.members...)
	})
	testFailure(t, "a holder without traffic gives everything back", 2, func(t *testing.T, f *limitCluster) {
		f.load(5*time.Second, rateLimitName, 50, f.members[0])
		f.advance(2 * time.Minute)
		l := f.ledger(t, rateLimitName)
		require.Empty(t, l.Entries)
		require.Empty(t, l.Reservations)
		require.Equal(t, l.Limit.Total.Burst, l.Tokens)
		calls := f.store.Counts()
		f.advance(2 * time.Minute)
		require.Equal(t, calls.Reads+calls.Writes, f.store.Counts().Reads+f.store.Counts().Writes)
	})
}

// Guards against a statement that was checked in a lease and goes on after others have taken the share.
func TestInterruptedCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitCluster(t, 1, organisationDocument(1, 1, 100), allotment.ByDemand{})
		defer f.stopAll()
		f.send(f.members[0], rateLimitName)
		f.advance(time.Second)
		require.Len(t, f.admitted[rateLimitName], 1)
		trap := make(chan struct{})
		f.members[0].timer.pause()
		f.members[0].timer.blockNextNow(trap)
		f.send(f.members[0], rateLimitName)
		f.advance(40 * time.Second)
		close(trap)
		f.advance(time.Second)
		require.Len(t, f.admitted[rateLimitName], 1)
		require.Equal(t, 1, f.refused[rateLimitName])
	})
}

// Guards against tokens that go back into the bucket while the update that gives them away is still on its way.
func TestLateGiveBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The rate is low, so that tokens that count twice are not hidden by what accrues.
		f := newLimitCluster(t, 2, organisationDocument(1, 1, 100), allotment.ByDemand{})
		defer f.stopAll()
		f.send(f.members[0], rateLimitName)
		f.advance(time.Second)
		f.members[0].line.Change(func(s memory.Faults) memory.Faults { return s.WithLateUpdates(2600 * time.Millisecond) })
		sendMany := func() {
			for range 100 {
				f.send(f.members[0], rateLimitName)
			}
		}
		f.load(150*time.Millisecond, rateLimitName, overload, f.members[1])
		// An update of the other keeper would keep the late one from taking effect.
		f.members[1].setCutOff(true)
		sendMany()
		f.advance(2300 * time.Millisecond)
		require.EqualValues(t, 1, leaseOf(t, f, "instance-00"))
		sendMany()
		f.advance(500 * time.Millisecond)
		require.EqualValues(t, 2, leaseOf(t, f, "instance-00"))
		f.members[1].setCutOff(false)
		f.load(4*time.Second, rateLimitName, overload, f.members[1])
		requireNoOvershoot(t, f, rateLimitName, 1, 100)
		require.Greater(t, len(f.admitted[rateLimitName]), 80)
	})
}

// leaseOf returns the lease number that the ledger has of a holder.
func leaseOf(t *testing.T, f *limitCluster, holder string) uint64 {
	t.Helper()
	e, ok := f.ledger(t, rateLimitName).Find(holder)
	require.True(t, ok)
	return e.Lease
}

// Guards against a limit that rises for one holder before it has fallen for the others.
func TestLimitLowered(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newLimitCluster(t, 3, organisationDocument(1, 100, 100), allotment.ByDemand{})
		defer f.stopAll()
		f.load(12*time.Second, rateLimitName, overload, f.members...)
		requireNoOvershoot(t, f, rateLimitName, 100, 100)
		f.setDocument(organisationDocument(2, 20, 10))
		since := f.clock.Now()
		f.load(20*time.Second, rateLimitName, overload, f.members...)
		requireNoOvershootSince(t, f, since, 20, 10)
		f.setDocument(organisationDocument(3, 50, 50))
		f.load(20*time.Second, rateLimitName, overload, f.members...)
		requireNoOvershootSince(t, f, since, 50, 50)
		requireAdmitted(t, f, f.clock.Now()-10*time.Second, 45)
	})
	t.Run("the store is down", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newLimitCluster(t, 3, organisationDocument(1, 100, 100), allotment.ByDemand{})
			defer f.stopAll()
			f.load(12*time.Second, rateLimitName, overload, f.members...)
			f.setStoreDown(true)
			f.setDocument(organisationDocument(2, 20, 10))
			since := f.clock.Now()
			f.load(10*time.Second, rateLimitName, overload, f.members...)
			requireNoOvershootSince(t, f, since, 20, 10)
		})
	})
	t.Run("one holder learns of it late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newLimitCluster(t, 3, organisationDocument(1, 100, 100), allotment.ByDemand{})
			defer f.stopAll()
			f.load(12*time.Second, rateLimitName, overload, f.members...)
			f.members[0].SetDocument(organisationDocument(2, 20, 10))
			f.members[1].SetDocument(organisationDocument(2, 20, 10))
			f.load(11*time.Second, rateLimitName, overload, f.members...)
			since := f.clock.Now()
			f.load(20*time.Second, rateLimitName, overload, f.members...)
			requireNoOvershootSince(t, f, since, 20, 10)
		})
	})
}

// requireNoOvershootSince checks the intervals after an instant against a lower limit.
func requireNoOvershootSince(t *testing.T, f *limitCluster, since time.Duration, rate, burst float64) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var later []time.Duration
	for _, at := range f.admitted[rateLimitName] {
		if at > since {
			later = append(later, at)
		}
	}
	require.NotEmpty(t, later)
	require.LessOrEqual(t, overshoot(later, rate, burst), 1e-6, "statements above burst + rate × t")
}

func (f *limitCluster) setDocument(d document.Document) {
	f.doc = d
	for _, m := range f.members {
		m.SetDocument(d)
	}
}

func (p *pausableTimer) blockNextNow(trap chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockNow = trap
}
