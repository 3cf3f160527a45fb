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

// testLargestHolderDies kills the holder with the greatest share some time after its load began, lets the others go on or
// begin, and requires that none of their statements is refused: together they want less than what the others hold and
// what the pool keeps.
func testLargestHolderDies(t *testing.T, name string, doc document.Document, before time.Duration, first int) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newLimitCluster(t, 4, doc, allotment.ByDemand{})
			defer f.stopAll()
			f.load(before, rateLimitName, 200, f.members[:first]...)
			greediest, others := f.splitByLargestShare(t)
			greediest.kill()
			f.load(40*time.Second, rateLimitName, 150, others...)
			require.Zero(t, f.refused[rateLimitName])
		})
	})
}

// splitByLargestShare returns the keeper with the greatest share of the rate, and the others.
func (f *limitCluster) splitByLargestShare(t *testing.T) (*member, []*member) {
	t.Helper()
	entries := f.ledger(t, rateLimitName).Entries
	require.NotEmpty(t, entries)
	greatest := slices.MaxFunc(entries, func(a, b allotment.Entry) int { return int(a.Share.Rate - b.Share.Rate) })
	others := slices.Clone(f.members)
	i := f.memberIndex(t, greatest.Holder)
	return f.members[i], slices.Delete(others, i, i+1)
}

// Guards against one holder whose death leaves the others without rate until its lease is reclaimed.
func TestLargestHolderDies(t *testing.T) {
	large := organisationDocument(1, 1e6, 1e6)
	testLargestHolderDies(t, "before another holder came", large, 5*time.Second, 1)
	testLargestHolderDies(t, "just after all began", large, 300*time.Millisecond, 4)
	testLargestHolderDies(t, "after all went on for long", large, 25*time.Second, 4)
	testLargestHolderDies(t, "of a limit that is half used", organisationDocument(1, 400, 400), 25*time.Second, 4)
}
