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

// overload is a load in statements per second far above the limit, so that a share counted twice shows as overshoot.
const overload = 400

// testFailure runs a scenario with a limit of 100 statements per second and a burst of 100, and requires that no interval
// exceeds it.
func testFailure(t *testing.T, name string, n int, scenario func(t *testing.T, c *limitCluster)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			c := newLimitCluster(t, n, organisationDocument(1, 100, 100), allotment.ByDemand{})
			defer c.stopAll()
			scenario(t, c)
			requireNoOvershoot(t, c, rateLimitName, 100, 100)
		})
	})
}

// kill cuts the member off from the store, so that it neither renews nor returns its share.
func (m *member) kill() { m.setCutOff(true) }

// setCutOff cuts the member off from the store, or reconnects it.
func (m *member) setCutOff(isCutOff bool) {
	m.conn.UpdateFaults(func(f memory.Faults) memory.Faults { return f.WithDown(isCutOff) })
}

// requireAdmitted requires a mean rate of admitted statements since an instant.
func requireAdmitted(t *testing.T, c *limitCluster, since time.Duration, atLeast float64) {
	t.Helper()
	elapsed := (c.clock.Now() - since).Seconds()
	require.GreaterOrEqual(t, float64(c.admittedSince(rateLimitName, since))/elapsed, atLeast, "statements per second")
}

// Guards against a share that two holders spend, or none, after one of them fails: statements exceed the limit, or part of
// the rate stays unused.
func TestLimitFailures(t *testing.T) {
	t.Parallel()
	testFailure(t, "share of a dead holder is reclaimed after its lease", 3, func(t *testing.T, c *limitCluster) {
		c.load(12*time.Second, rateLimitName, overload, c.members...)
		c.members[0].kill()
		c.load(45*time.Second, rateLimitName, overload, c.members[1:]...)
		c.load(10*time.Second, rateLimitName, overload, c.members[1:]...)
		requireAdmitted(t, c, c.clock.Now()-10*time.Second, 95)
	})
	testFailure(t, "holder cut off from the store keeps its fallback share", 3, func(t *testing.T, c *limitCluster) {
		c.load(12*time.Second, rateLimitName, overload, c.members...)
		c.members[0].kill()
		c.load(50*time.Second, rateLimitName, overload, c.members...)
		// Lets the statements that still wait at the other members complete.
		c.advance(time.Second)
		since := c.clock.Now()
		c.load(10*time.Second, rateLimitName, overload, c.members[0])
		requireAdmitted(t, c, since, 0.3)
		require.LessOrEqual(t, c.admittedSince(rateLimitName, since), 6)
	})
	testFailure(t, "paused holder resumes without its share", 3, func(_ *testing.T, c *limitCluster) {
		c.load(12*time.Second, rateLimitName, overload, c.members...)
		c.members[0].timer.pause()
		c.load(45*time.Second, rateLimitName, overload, c.members[1:]...)
		// By its own clock its bucket has filled up meanwhile.
		c.members[0].timer.resume()
		for range 100 {
			c.send(c.members[0], rateLimitName)
		}
		c.load(20*time.Second, rateLimitName, overload, c.members...)
	})
	testFailure(t, "holder is paused between check and use", 3, func(_ *testing.T, c *limitCluster) {
		c.load(25*time.Second, rateLimitName, overload, c.members...)
		// The clock is read within the lease, and the statement continues after others have taken over the share.
		for range 4 {
			unblock := make(chan struct{})
			c.members[0].timer.pause()
			c.members[0].timer.blockNextNow(unblock)
			c.send(c.members[0], rateLimitName)
			c.load(40*time.Second, rateLimitName, overload, c.members[1:]...)
			close(unblock)
			c.advance(time.Millisecond)
			c.members[0].timer.resume()
			c.load(20*time.Second, rateLimitName, overload, c.members...)
		}
	})
	testFailure(t, "instance is replaced", 3, func(t *testing.T, c *limitCluster) {
		c.load(12*time.Second, rateLimitName, overload, c.members...)
		c.members[0].stop()
		c.load(time.Second, rateLimitName, overload, c.members[1:]...)
		<-c.members[0].done
		replacement := c.addMember()
		since := c.clock.Now()
		c.load(10*time.Second, rateLimitName, overload, c.members[1], c.members[2], replacement)
		requireAdmitted(t, c, since, 90)
	})
	testFailure(t, "store is down for ten minutes", 3, func(t *testing.T, c *limitCluster) {
		c.load(12*time.Second, rateLimitName, overload, c.members...)
		c.setStoreDown(true)
		since := c.clock.Now()
		c.load(18*time.Second, rateLimitName, overload, c.members...)
		requireAdmitted(t, c, since, 90)
		c.load(10*time.Minute, rateLimitName, 60, c.members...)
		c.setStoreDown(false)
		c.load(15*time.Second, rateLimitName, overload, c.members...)
		since = c.clock.Now()
		c.load(10*time.Second, rateLimitName, overload, c.members...)
		requireAdmitted(t, c, since, 90)
	})
	testFailure(t, "answers are lost", 3, func(t *testing.T, c *limitCluster) {
		for i := range 6 {
			c.members[i%3].conn.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithLostResponses(memory.AllResponses{}) })
			c.load(7*time.Second, rateLimitName, overload, c.members[i%3], c.members[(i+1)%3])
			c.members[i%3].conn.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithLostResponses(nil) })
			c.load(4*time.Second, rateLimitName, overload, c.members[(i+2)%3])
		}
		since := c.clock.Now()
		c.load(10*time.Second, rateLimitName, overload, c.members...)
		requireAdmitted(t, c, since, 90)
	})
	testFailure(t, "updates are committed after their time-out", 3, func(_ *testing.T, c *limitCluster) {
		for i := range 12 {
			late := time.Duration(i%4+1) * 700 * time.Millisecond
			c.members[i%3].conn.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithDelayedUpdates(late) })
			c.load(5*time.Second, rateLimitName, overload, c.members[i%3], c.members[(i+1)%3])
			c.members[i%3].conn.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithDelayedUpdates(0) })
			c.load(2*time.Second, rateLimitName, overload, c.members[(i+1)%3])
		}
	})
	testFailure(t, "store is slow", 3, func(_ *testing.T, c *limitCluster) {
		slow := (testRTT + 1500*time.Millisecond) / 2
		c.store.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithLatency(slow, slow) })
		c.load(60*time.Second, rateLimitName, overload, c.members...)
	})
	testFailure(t, "two holders register at once", 2, func(t *testing.T, c *limitCluster) {
		c.send(c.members[0], rateLimitName)
		c.send(c.members[1], rateLimitName)
		c.advance(time.Second)
		require.Len(t, c.ledger(t, rateLimitName).Entries, 2)
		require.Zero(t, c.refused[rateLimitName])
		c.load(10*time.Second, rateLimitName, overload, c.members...)
	})
	testFailure(t, "idle holder returns its share", 2, func(t *testing.T, c *limitCluster) {
		c.load(5*time.Second, rateLimitName, 50, c.members[0])
		c.advance(2 * time.Minute)
		l := c.ledger(t, rateLimitName)
		require.Empty(t, l.Entries)
		require.Empty(t, l.Reservations)
		require.Equal(t, l.Limit.Total.Burst, l.Tokens)
		calls := c.store.Counters()
		c.advance(2 * time.Minute)
		require.Equal(t, calls.Reads+calls.Writes, c.store.Counters().Reads+c.store.Counters().Writes)
	})
}

// Guards against a statement that is admitted although the process was paused after the check, while the lease ended and
// another holder may have taken over the share.
func TestInterruptedCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLimitCluster(t, 1, organisationDocument(1, 1, 100), allotment.ByDemand{})
		defer c.stopAll()
		c.send(c.members[0], rateLimitName)
		c.advance(time.Second)
		require.Len(t, c.admitted[rateLimitName], 1)
		unblock := make(chan struct{})
		c.members[0].timer.pause()
		c.members[0].timer.blockNextNow(unblock)
		c.send(c.members[0], rateLimitName)
		c.advance(40 * time.Second)
		close(unblock)
		c.advance(time.Second)
		require.Len(t, c.admitted[rateLimitName], 1)
		require.Equal(t, 1, c.refused[rateLimitName])
	})
}

// Guards against tokens that are put back into the bucket after a time-out although the store may yet commit the update that
// returns them to the pool.
func TestLateGiveBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A low rate, so that accrued tokens do not hide tokens counted twice.
		c := newLimitCluster(t, 2, organisationDocument(1, 1, 100), allotment.ByDemand{})
		defer c.stopAll()
		c.send(c.members[0], rateLimitName)
		c.advance(time.Second)
		c.members[0].conn.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithDelayedUpdates(2600 * time.Millisecond) })
		sendMany := func() {
			for range 100 {
				c.send(c.members[0], rateLimitName)
			}
		}
		c.load(150*time.Millisecond, rateLimitName, overload, c.members[1])
		// An update by the other member would conflict with the late one.
		c.members[1].setCutOff(true)
		sendMany()
		c.advance(2300 * time.Millisecond)
		require.EqualValues(t, 1, leaseOf(t, c, "instance-00"))
		sendMany()
		c.advance(500 * time.Millisecond)
		require.EqualValues(t, 2, leaseOf(t, c, "instance-00"))
		c.members[1].setCutOff(false)
		c.load(4*time.Second, rateLimitName, overload, c.members[1])
		requireNoOvershoot(t, c, rateLimitName, 1, 100)
		require.Greater(t, len(c.admitted[rateLimitName]), 80)
	})
}

// leaseOf returns a holder's lease number in the ledger.
func leaseOf(t *testing.T, c *limitCluster, holder string) uint64 {
	t.Helper()
	e, ok := c.ledger(t, rateLimitName).Find(holder)
	require.True(t, ok)
	return e.Lease
}

// Guards against overshoot when the limit changes: a holder keeps spending under a limit that was lowered, or gets a greater
// share before the others have reduced theirs.
func TestLimitLowered(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newLimitCluster(t, 3, organisationDocument(1, 100, 100), allotment.ByDemand{})
		defer c.stopAll()
		c.load(12*time.Second, rateLimitName, overload, c.members...)
		requireNoOvershoot(t, c, rateLimitName, 100, 100)
		c.setDocument(organisationDocument(2, 20, 10))
		since := c.clock.Now()
		c.load(20*time.Second, rateLimitName, overload, c.members...)
		requireNoOvershootSince(t, c, since, 20, 10)
		c.setDocument(organisationDocument(3, 50, 50))
		c.load(20*time.Second, rateLimitName, overload, c.members...)
		requireNoOvershootSince(t, c, since, 50, 50)
		requireAdmitted(t, c, c.clock.Now()-10*time.Second, 45)
	})
	t.Run("store is down", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newLimitCluster(t, 3, organisationDocument(1, 100, 100), allotment.ByDemand{})
			defer c.stopAll()
			c.load(12*time.Second, rateLimitName, overload, c.members...)
			c.setStoreDown(true)
			c.setDocument(organisationDocument(2, 20, 10))
			since := c.clock.Now()
			c.load(10*time.Second, rateLimitName, overload, c.members...)
			requireNoOvershootSince(t, c, since, 20, 10)
		})
	})
	t.Run("one holder gets the document late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newLimitCluster(t, 3, organisationDocument(1, 100, 100), allotment.ByDemand{})
			defer c.stopAll()
			c.load(12*time.Second, rateLimitName, overload, c.members...)
			c.members[0].SetDocument(organisationDocument(2, 20, 10))
			c.members[1].SetDocument(organisationDocument(2, 20, 10))
			c.load(11*time.Second, rateLimitName, overload, c.members...)
			since := c.clock.Now()
			c.load(20*time.Second, rateLimitName, overload, c.members...)
			requireNoOvershootSince(t, c, since, 20, 10)
		})
	})
}

// requireNoOvershootSince requires that no interval after an instant exceeds a limit.
func requireNoOvershootSince(t *testing.T, c *limitCluster, since time.Duration, rate, burst float64) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	var later []time.Duration
	for _, at := range c.admitted[rateLimitName] {
		if at > since {
			later = append(later, at)
		}
	}
	require.NotEmpty(t, later)
	require.LessOrEqual(t, overshoot(later, rate, burst), 1e-6, "statements above burst + rate × t")
}

func (c *limitCluster) setDocument(d document.Document) {
	c.document = d
	for _, m := range c.members {
		m.SetDocument(d)
	}
}

func (p *pausableTimer) blockNextNow(until chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockNow = until
}
