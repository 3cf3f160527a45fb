package entry_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
)

// testLargestHolderDies loads the first members, kills the holder with the greatest share, and requires that the others then
// refuse no statement: their demand is less than their own shares and what the pool retains.
func testLargestHolderDies(t *testing.T, name string, doc document.Document, loadTime time.Duration, loaded int) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newLimitCluster(t, 4, doc, allotment.ByDemand{})
			defer c.stopAll()
			c.load(loadTime, rateLimitName, 200, c.members[:loaded]...)
			largest, others := c.splitByLargestShare(t)
			largest.kill()
			c.load(40*time.Second, rateLimitName, 150, others...)
			require.Zero(t, c.refused[rateLimitName])
		})
	})
}

// splitByLargestShare returns the member with the greatest share of the rate, and the others.
func (c *limitCluster) splitByLargestShare(t *testing.T) (*member, []*member) {
	t.Helper()
	entries := c.ledger(t, rateLimitName).Entries
	require.NotEmpty(t, entries)
	greatest := slices.MaxFunc(entries, func(a, b allotment.Entry) int { return int(a.Share.Rate - b.Share.Rate) })
	others := slices.Clone(c.members)
	i := c.memberIndex(t, greatest.Holder)
	return c.members[i], slices.Delete(others, i, i+1)
}

// Guards against one holder that takes so much of the limit that its death leaves the others without rate until its lease
// is reclaimed.
func TestLargestHolderDies(t *testing.T) {
	large := organisationDocument(1, 1e6, 1e6)
	testLargestHolderDies(t, "before another holder registers", large, 5*time.Second, 1)
	testLargestHolderDies(t, "just after all start", large, 300*time.Millisecond, 4)
	testLargestHolderDies(t, "after a long time with all", large, 25*time.Second, 4)
	testLargestHolderDies(t, "half of the limit is used", organisationDocument(1, 400, 400), 25*time.Second, 4)
}
