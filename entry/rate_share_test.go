package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
)

const rateLimitName = "rate/nyanza"

// organisationDocument returns a document with one organisation.
func organisationDocument(revision int, rate, burst float64) document.Document {
	d := document.Document{Revision: document.Revision(revision), MaxFallbackHolders: 32}
	return d.WithOrganisation(document.Organisation{Name: "nyanza", Rate: rate, Burst: burst})
}

// Guards against a fleet that, without any failure, admits more than the limit or refuses statements within it.
func TestRateShares(t *testing.T) {
	t.Run("one instance gets the whole limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newLimitCluster(t, 3, organisationDocument(1, 100, 100), allotment.ByDemand{})
			defer c.stopAll()
			c.load(20*time.Second, rateLimitName, 90, c.members[0])
			require.Zero(t, c.refused[rateLimitName])
			requireNoOvershoot(t, c, rateLimitName, 100, 100)
		})
	})
	t.Run("all instances together stay within the limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newLimitCluster(t, 4, organisationDocument(1, 100, 100), allotment.ByDemand{})
			defer c.stopAll()
			c.load(30*time.Second, rateLimitName, 400, c.members...)
			requireNoOvershoot(t, c, rateLimitName, 100, 100)
			require.Greater(t, c.admittedSince(rateLimitName, 10*time.Second), 1800)
		})
	})
}
