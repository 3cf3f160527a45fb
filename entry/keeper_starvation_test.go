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

// testGreediest kills the holder with the greatest share some time after its load began, lets the others go on or
// begin, and requires that none of their statements is refused: together they want less than what the others hold and
// what the pool keeps.
func testGreediest(t *testing.T, name string, doc document.Document, before time.Duration, first int) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newKeepers(t, 4, doc, allotment.ByDemand{})
			defer f.finish()
			f.load(before, nyanza, 200, f.members[:first]...)
			greediest, others := f.split(t)
			greediest.kill()
			f.load(40*time.Second, nyanza, 150, others...)
			require.Zero(t, f.refused[nyanza])
		})
	})
}

// split returns the keeper with the greatest share of the rate, and the others.
func (f *keepers) split(t *testing.T) (*member, []*member) {
	t.Helper()
	entries := f.ledger(t, nyanza).Entries
	require.NotEmpty(t, entries)
	greatest := slices.MaxFunc(entries, func(a, b allotment.Entry) int { return int(a.Share.Rate - b.Share.Rate) })
	others := slices.Clone(f.members)
	i := f.index(t, greatest.Holder)
	return f.members[i], slices.Delete(others, i, i+1)
}

// Guards against one holder whose death leaves the others without rate until its lease is reclaimed.
func TestKeeperGreediestDies(t *testing.T) {
	large := limited(1, 1e6, 1e6)
	testGreediest(t, "before another holder came", large, 5*time.Second, 1)
	testGreediest(t, "just after all began", large, 300*time.Millisecond, 4)
	testGreediest(t, "after all went on for long", large, 25*time.Second, 4)
	testGreediest(t, "of a limit that is half used", limited(1, 400, 400), 25*time.Second, 4)
}
