package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// testCoordinators runs a scenario with ten instances in each data centre and a limit of 400 statements per second, and
// requires that no interval exceeds it.
func testCoordinators(t *testing.T, name string, dataCentres int, scenario func(t *testing.T, c *limitCluster)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newLimitCluster(t, 0, organisationDocument(1, 400, 400), allotment.ByDemand{})
			c.useCoordinators, c.dataCentres, c.unresponsive = true, dataCentres, map[int]bool{}
			for range 10 * dataCentres {
				c.addMember()
			}
			defer c.stopAll()
			scenario(t, c)
			c.advance(3 * time.Second)
			requireNoOvershoot(t, c, rateLimitName, 400, 400)
		})
	})
}

// requireEntriesAtMost bounds the number of holders in the ledger, and returns their entries.
func requireEntriesAtMost(t *testing.T, c *limitCluster, limit int) []allotment.Entry {
	t.Helper()
	entries := c.ledger(t, rateLimitName).Entries
	require.LessOrEqual(t, len(entries), limit)
	return entries
}

// Guards against batches that are spent twice or in addition to a share that has been reclaimed, and against borrowers that
// refuse statements within the limit or register as holders while their coordinator answers.
func TestCoordinatedRateLimit(t *testing.T) {
	testCoordinators(t, "no refusals below the limit", 2, func(t *testing.T, c *limitCluster) {
		c.load(20*time.Second, rateLimitName, 300, c.members...)
		require.Zero(t, c.refused[rateLimitName])
		requireEntriesAtMost(t, c, 2)
	})
	testCoordinators(t, "whole rate is used above the limit", 2, func(t *testing.T, c *limitCluster) {
		c.load(20*time.Second, rateLimitName, 1600, c.members...)
		requireAdmitted(t, c, c.clock.Now()-10*time.Second, 360)
		requireEntriesAtMost(t, c, 2)
	})
	testCoordinators(t, "answers are lost", 1, func(_ *testing.T, c *limitCluster) {
		n := 0
		c.loseBatchAnswer = func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			n++
			return n%5 == 0
		}
		c.load(20*time.Second, rateLimitName, 1600, c.members...)
	})
	testCoordinators(t, "coordinator dies and its share is reclaimed", 1, func(t *testing.T, c *limitCluster) {
		c.load(10*time.Second, rateLimitName, 1600, c.members...)
		coordinator, others := c.splitByLargestShare(t)
		coordinator.kill()
		c.unresponsive[c.memberIndex(t, requireEntriesAtMost(t, c, 1)[0].Holder)] = true
		c.load(45*time.Second, rateLimitName, 1600, others...)
		requireAdmitted(t, c, c.clock.Now()-5*time.Second, 300)
	})
	testCoordinators(t, "limit is lowered", 1, func(t *testing.T, c *limitCluster) {
		c.load(10*time.Second, rateLimitName, 1600, c.members...)
		c.setDocument(organisationDocument(2, 40, 20))
		since := c.clock.Now() + allotment.BatchReservation
		c.load(10*time.Second, rateLimitName, 400, c.members...)
		requireNoOvershootSince(t, c, since, 40, 20)
	})
}
