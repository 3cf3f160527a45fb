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

// flood keeps all keepers busy far above the limit, so that any share that counts twice shows as overshoot.
const flood = 400

// testFleet runs a scenario with an organisation of 100 statements a second and a burst of 100, and checks that no
// interval of it saw more.
func testFleet(t *testing.T, name string, n int, scenario func(t *testing.T, f *keepers)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			f := newKeepers(t, n, limited(1, 100, 100), allotment.ByDemand{})
			defer f.finish()
			scenario(t, f)
			requireNoOvershoot(t, f, nyanza, 100, 100)
		})
	})
}

// kill ends a keeper's exchange with the store for good, without giving anything back.
func (m *member) kill() { m.setCut(true) }

// setCut cuts a keeper off from the store or ends the cut.
func (m *member) setCut(isCut bool) {
	m.line.Change(func(f memory.Faults) memory.Faults { return f.WithDown(isCut) })
}

// requireAdmitted checks that about the whole rate is used from an instant on.
func requireAdmitted(t *testing.T, f *keepers, since time.Duration, atLeast float64) {
	t.Helper()
	elapsed := (f.clock.Now() - since).Seconds()
	require.GreaterOrEqual(t, float64(f.admittedSince(nyanza, since))/elapsed, atLeast, "statements a second")
}

// Guards against a share that is spent by two holders, or by nobody, after one of them fails.
func TestKeeperFailures(t *testing.T) {
	t.Parallel()
	testFleet(t, "a dead holder's share is taken after its lease", 3, func(t *testing.T, f *keepers) {
		f.load(12*time.Second, nyanza, flood, f.members...)
		f.members[0].kill()
		f.load(45*time.Second, nyanza, flood, f.members[1:]...)
		f.load(10*time.Second, nyanza, flood, f.members[1:]...)
		requireAdmitted(t, f, f.clock.Now()-10*time.Second, 95)
	})
	testFleet(t, "a cut-off holder falls back to its standing share", 3, func(t *testing.T, f *keepers) {
		f.load(12*time.Second, nyanza, flood, f.members...)
		f.members[0].kill()
		f.load(50*time.Second, nyanza, flood, f.members...)
		// The statements that still wait at the others are answered first.
		f.advance(time.Second)
		since := f.clock.Now()
		f.load(10*time.Second, nyanza, flood, f.members[0])
		requireAdmitted(t, f, since, 0.3)
		require.LessOrEqual(t, f.admittedSince(nyanza, since), 6)
	})
	testFleet(t, "a paused holder wakes without its share", 3, func(_ *testing.T, f *keepers) {
		f.load(12*time.Second, nyanza, flood, f.members...)
		f.members[0].timer.pause()
		f.load(45*time.Second, nyanza, flood, f.members[1:]...)
		// Its bucket has filled up meanwhile, by its own clock.
		f.members[0].timer.resume()
		for range 100 {
			f.send(f.members[0], nyanza)
		}
		f.load(20*time.Second, nyanza, flood, f.members...)
	})
	testFleet(t, "a holder is paused between check and use", 3, func(_ *testing.T, f *keepers) {
		f.load(25*time.Second, nyanza, flood, f.members...)
		// The clock is read in the lease, and the statement goes on after others have taken the share.
		for range 4 {
			trap := make(chan struct{})
			f.members[0].timer.pause()
			f.members[0].timer.setTrap(trap)
			f.send(f.members[0], nyanza)
			f.load(40*time.Second, nyanza, flood, f.members[1:]...)
			close(trap)
			f.advance(time.Millisecond)
			f.members[0].timer.resume()
			f.load(20*time.Second, nyanza, flood, f.members...)
		}
	})
	testFleet(t, "an instance is replaced", 3, func(t *testing.T, f *keepers) {
		f.load(12*time.Second, nyanza, flood, f.members...)
		f.members[0].stop()
		f.load(time.Second, nyanza, flood, f.members[1:]...)
		<-f.members[0].done
		fresh := f.join()
		since := f.clock.Now()
		f.load(10*time.Second, nyanza, flood, f.members[1], f.members[2], fresh)
		requireAdmitted(t, f, since, 90)
	})
	testFleet(t, "the store is down for ten minutes", 3, func(t *testing.T, f *keepers) {
		f.load(12*time.Second, nyanza, flood, f.members...)
		f.setStoreDown(true)
		since := f.clock.Now()
		f.load(18*time.Second, nyanza, flood, f.members...)
		requireAdmitted(t, f, since, 90)
		f.load(10*time.Minute, nyanza, 60, f.members...)
		f.setStoreDown(false)
		f.load(15*time.Second, nyanza, flood, f.members...)
		since = f.clock.Now()
		f.load(10*time.Second, nyanza, flood, f.members...)
		requireAdmitted(t, f, since, 90)
	})
	testFleet(t, "answers are lost", 3, func(t *testing.T, f *keepers) {
		for i := range 6 {
			f.members[i%3].line.Change(func(s memory.Faults) memory.Faults { return s.WithLostAnswers(memory.AllAnswers{}) })
			f.load(7*time.Second, nyanza, flood, f.members[i%3], f.members[(i+1)%3])
			f.members[i%3].line.Change(func(s memory.Faults) memory.Faults { return s.WithLostAnswers(nil) })
			f.load(4*time.Second, nyanza, flood, f.members[(i+2)%3])
		}
		since := f.clock.Now()
		f.load(10*time.Second, nyanza, flood, f.members...)
		requireAdmitted(t, f, since, 90)
	})
	testFleet(t, "updates take effect after their sender gave up", 3, func(_ *testing.T, f *keepers) {
		for i := range 12 {
			late := time.Duration(i%4+1) * 700 * time.Millisecond
			f.members[i%3].line.Change(func(s memory.Faults) memory.Faults { return s.WithLateUpdates(late) })
			f.load(5*time.Second, nyanza, flood, f.members[i%3], f.members[(i+1)%3])
			f.members[i%3].line.Change(func(s memory.Faults) memory.Faults { return s.WithLateUpdates(0) })
			f.load(2*time.Second, nyanza, flood, f.members[(i+1)%3])
		}
	})
	testFleet(t, "the store is slow", 3, func(_ *testing.T, f *keepers) {
		slow := (testRTT + 1500*time.Millisecond) / 2
		f.store.Change(func(s memory.Faults) memory.Faults { return s.WithLatency(slow, slow) })
		f.load(60*time.Second, nyanza, flood, f.members...)
	})
	testFleet(t, "two keepers claim at once", 2, func(t *testing.T, f *keepers) {
		f.send(f.members[0], nyanza)
		f.send(f.members[1], nyanza)
		f.advance(time.Second)
		require.Len(t, f.ledger(t, nyanza).Entries, 2)
		require.Zero(t, f.refused[nyanza])
		f.load(10*time.Second, nyanza, flood, f.members...)
	})
	testFleet(t, "a holder without traffic gives everything back", 2, func(t *testing.T, f *keepers) {
		f.load(5*time.Second, nyanza, 50, f.members[0])
		f.advance(2 * time.Minute)
		l := f.ledger(t, nyanza)
		require.Empty(t, l.Entries)
		require.Empty(t, l.Reservations)
		require.Equal(t, l.Limit.Total.Burst, l.Tokens)
		calls := f.store.Counts()
		f.advance(2 * time.Minute)
		require.Equal(t, calls.Reads+calls.Writes, f.store.Counts().Reads+f.store.Counts().Writes)
	})
}

// Guards against a statement that was checked in a lease and goes on after others have taken the share.
func TestKeeperInterruptedCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newKeepers(t, 1, limited(1, 1, 100), allotment.ByDemand{})
		defer f.finish()
		f.send(f.members[0], nyanza)
		f.advance(time.Second)
		require.Len(t, f.admitted[nyanza], 1)
		trap := make(chan struct{})
		f.members[0].timer.pause()
		f.members[0].timer.setTrap(trap)
		f.send(f.members[0], nyanza)
		f.advance(40 * time.Second)
		close(trap)
		f.advance(time.Second)
		require.Len(t, f.admitted[nyanza], 1)
		require.Equal(t, 1, f.refused[nyanza])
	})
}

// Guards against tokens that go back into the bucket while the update that gives them away is still on its way.
func TestKeeperLateGiveBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The rate is low, so that tokens that count twice are not hidden by what accrues.
		f := newKeepers(t, 2, limited(1, 1, 100), allotment.ByDemand{})
		defer f.finish()
		f.send(f.members[0], nyanza)
		f.advance(time.Second)
		f.members[0].line.Change(func(s memory.Faults) memory.Faults { return s.WithLateUpdates(2600 * time.Millisecond) })
		sendMany := func() {
			for range 100 {
				f.send(f.members[0], nyanza)
			}
		}
		f.load(150*time.Millisecond, nyanza, flood, f.members[1])
		// An update of the other keeper would keep the late one from taking effect.
		f.members[1].setCut(true)
		sendMany()
		f.advance(2300 * time.Millisecond)
		require.EqualValues(t, 1, leaseOf(t, f, "instance-00"))
		sendMany()
		f.advance(500 * time.Millisecond)
		require.EqualValues(t, 2, leaseOf(t, f, "instance-00"))
		f.members[1].setCut(false)
		f.load(4*time.Second, nyanza, flood, f.members[1])
		requireNoOvershoot(t, f, nyanza, 1, 100)
		require.Greater(t, len(f.admitted[nyanza]), 80)
	})
}

// leaseOf returns the lease number that the ledger has of a holder.
func leaseOf(t *testing.T, f *keepers, holder string) uint64 {
	t.Helper()
	e, ok := f.ledger(t, nyanza).Find(holder)
	require.True(t, ok)
	return e.Lease
}

// Guards against a limit that rises for one holder before it has fallen for the others.
func TestKeeperLimitFalls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newKeepers(t, 3, limited(1, 100, 100), allotment.ByDemand{})
		defer f.finish()
		f.load(12*time.Second, nyanza, flood, f.members...)
		requireNoOvershoot(t, f, nyanza, 100, 100)
		f.setDocument(limited(2, 20, 10))
		since := f.clock.Now()
		f.load(20*time.Second, nyanza, flood, f.members...)
		requireNoOvershootSince(t, f, since, 20, 10)
		f.setDocument(limited(3, 50, 50))
		f.load(20*time.Second, nyanza, flood, f.members...)
		requireNoOvershootSince(t, f, since, 50, 50)
		requireAdmitted(t, f, f.clock.Now()-10*time.Second, 45)
	})
	t.Run("the store is down", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newKeepers(t, 3, limited(1, 100, 100), allotment.ByDemand{})
			defer f.finish()
			f.load(12*time.Second, nyanza, flood, f.members...)
			f.setStoreDown(true)
			f.setDocument(limited(2, 20, 10))
			since := f.clock.Now()
			f.load(10*time.Second, nyanza, flood, f.members...)
			requireNoOvershootSince(t, f, since, 20, 10)
		})
	})
	t.Run("one holder learns of it late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newKeepers(t, 3, limited(1, 100, 100), allotment.ByDemand{})
			defer f.finish()
			f.load(12*time.Second, nyanza, flood, f.members...)
			f.members[0].SetDocument(limited(2, 20, 10))
			f.members[1].SetDocument(limited(2, 20, 10))
			f.load(11*time.Second, nyanza, flood, f.members...)
			since := f.clock.Now()
			f.load(20*time.Second, nyanza, flood, f.members...)
			requireNoOvershootSince(t, f, since, 20, 10)
		})
	})
}

// requireNoOvershootSince checks the intervals after an instant against a lower limit.
func requireNoOvershootSince(t *testing.T, f *keepers, since time.Duration, rate, burst float64) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var later []time.Duration
	for _, at := range f.admitted[nyanza] {
		if at > since {
			later = append(later, at)
		}
	}
	require.NotEmpty(t, later)
	require.LessOrEqual(t, overshoot(later, rate, burst), 1e-6, "statements above burst + rate × t")
}

func (f *keepers) setDocument(d document.Document) {
	f.doc = d
	for _, m := range f.members {
		m.SetDocument(d)
	}
}

func (p *pausableTimer) setTrap(trap chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trap = trap
}
