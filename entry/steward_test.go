package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// testCoordinators runs a scenario with ten instances in each data centre and a limit of 400 statements a second, and checks
// that no interval saw more.
func testCoordinators(t *testing.T, name string, dataCentres int, scenario func(t *testing.T, f *limitCluster)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newLimitCluster(t, 0, organisationDocument(1, 400, 400), allotment.ByDemand{})
			f.useCoordinators, f.dataCentres, f.unresponsive = true, dataCentres, map[int]bool{}
			for range 10 * dataCentres {
				f.addMember()
			}
			defer f.stopAll()
			scenario(t, f)
			f.advance(3 * time.Second)
			requireNoOvershoot(t, f, rateLimitName, 400, 400)
		})
	})
}

// requireEntriesAtMost checks how many holders the ledger has.
func requireEntriesAtMost(t *testing.T, f *limitCluster, most int) []allotment.Entry {
	t.Helper()
	entries := f.ledger(t, rateLimitName).Entries
	require.LessOrEqual(t, len(entries), most)
	return entries
}

// Guards against batches that are spent twice or on top of a share that has moved, and against takers that are refused
// inside the limit or that hold entries of their own while their steward answers.
func TestCoordinatedRateLimit(t *testing.T) {
	testCoordinators(t, "below the limit nothing is refused", 2, func(t *testing.T, f *limitCluster) {
		f.load(20*time.Second, rateLimitName, 300, f.members...)
		require.Zero(t, f.refused[rateLimitName])
		requireEntriesAtMost(t, f, 2)
	})
	testCoordinators(t, "above the limit the rate is used", 2, func(t *testing.T, f *limitCluster) {
		f.load(20*time.Second, rateLimitName, 1600, f.members...)
		requireAdmitted(t, f, f.clock.Now()-10*time.Second, 360)
		requireEntriesAtMost(t, f, 2)
	})
	testCoordinators(t, "answers are lost", 1, func(_ *testing.T, f *limitCluster) {
		n := 0
		f.loseBatchAnswer = func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			n++
			return n%5 == 0
		}
		f.load(20*time.Second, rateLimitName, 1600, f.members...)
	})
	testCoordinators(t, "the steward dies and is reclaimed", 1, func(t *testing.T, f *limitCluster) {
		f.load(10*time.Second, rateLimitName, 1600, f.members...)
		steward, others := f.splitByLargestShare(t)
		steward.kill()
		f.unresponsive[f.memberIndex(t, requireEntriesAtMost(t, f, 1)[0].Holder)] = true
		f.load(45*time.Second, rateLimitName, 1600, others...)
		requireAdmitted(t, f, f.clock.Now()-5*time.Second, 300)
	})
	testCoordinators(t, "the limit falls", 1, func(t *testing.T, f *limitCluster) {
		f.load(10*time.Second, rateLimitName, 1600, f.members...)
		f.setDocument(organisationDocument(2, 40, 20))
		since := f.clock.Now() + allotment.BatchReservation
		f.load(10*time.Second, rateLimitName, 400, f.members...)
		requireNoOvershootSince(t, f, since, 40, 20)
	})
}
