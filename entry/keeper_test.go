package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
)

const nyanza = "rate/nyanza"

// limited is a document with one organisation.
func limited(revision int, rate, burst float64) document.Document {
	d := document.Document{Revision: document.Revision(revision), MaxFallbackHolders: 32}
	return d.WithOrganisation(document.Organisation{Name: "nyanza", Rate: rate, Burst: burst})
}

// Guards against a keepers that admits more than the limit, or refuses what is within it, while nothing fails.
func TestKeeperShares(t *testing.T) {
	t.Run("one keeper gets the whole limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newKeepers(t, 3, limited(1, 100, 100), allotment.ByDemand{})
			defer f.finish()
			f.load(20*time.Second, nyanza, 90, f.members[0])
			require.Zero(t, f.refused[nyanza])
			requireNoOvershoot(t, f, nyanza, 100, 100)
		})
	})
	t.Run("all keepers together stay within the limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newKeepers(t, 4, limited(1, 100, 100), allotment.ByDemand{})
			defer f.finish()
			f.load(30*time.Second, nyanza, 400, f.members...)
			requireNoOvershoot(t, f, nyanza, 100, 100)
			require.Greater(t, f.admittedSince(nyanza, 10*time.Second), 1800)
		})
	})
}
