package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// testStewards runs a scenario with ten instances in each data centre and a limit of 400 statements a second, and checks
// that no interval saw more.
func testStewards(t *testing.T, name string, dataCentres int, scenario func(t *testing.T, f *keepers)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newKeepers(t, 0, limited(1, 400, 400), allotment.ByDemand{})
			f.useStewards, f.dataCentres, f.silent = true, dataCentres, map[int]bool{}
			for range 10 * dataCentres {
				f.join()
			}
			defer f.finish()
			scenario(t, f)
			f.advance(3 * time.Second)
			requireNoOvershoot(t, f, nyanza, 400, 400)
		})
	})
}

// requireEntries checks how many holders the ledger has.
func requireEntries(t *testing.T, f *keepers, most int) []allotment.Entry {
	t.Helper()
	entries := f.ledger(t, nyanza).Entries
	require.LessOrEqual(t, len(entries), most)
	return entries
}

// Guards against batches that are spent twice or on top of a share that has moved, and against takers that are refused
// inside the limit or that hold entries of their own while their steward answers.
func TestStewards(t *testing.T) {
	testStewards(t, "below the limit nothing is refused", 2, func(t *testing.T, f *keepers) {
		f.load(20*time.Second, nyanza, 300, f.members...)
		require.Zero(t, f.refused[nyanza])
		requireEntries(t, f, 2)
	})
	testStewards(t, "above the limit the rate is used", 2, func(t *testing.T, f *keepers) {
		f.load(20*time.Second, nyanza, 1600, f.members...)
		requireAdmitted(t, f, f.clock.Now()-10*time.Second, 360)
		requireEntries(t, f, 2)
	})
	testStewards(t, "answers are lost", 1, func(_ *testing.T, f *keepers) {
		n := 0
		f.loseBatches = func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			n++
			return n%5 == 0
		}
		f.load(20*time.Second, nyanza, 1600, f.members...)
	})
	testStewards(t, "the steward dies and is reclaimed", 1, func(t *testing.T, f *keepers) {
		f.load(10*time.Second, nyanza, 1600, f.members...)
		steward, others := f.split(t)
		steward.kill()
		f.silent[f.index(t, requireEntries(t, f, 1)[0].Holder)] = true
		f.load(45*time.Second, nyanza, 1600, others...)
		requireAdmitted(t, f, f.clock.Now()-5*time.Second, 300)
	})
	testStewards(t, "the limit falls", 1, func(t *testing.T, f *keepers) {
		f.load(10*time.Second, nyanza, 1600, f.members...)
		f.setDocument(limited(2, 40, 20))
		since := f.clock.Now() + allotment.BatchReservation
		f.load(10*time.Second, nyanza, 400, f.members...)
		requireNoOvershootSince(t, f, since, 40, 20)
	})
}
