package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
)

// Guards against refusals within a small limit because the statements arrive at many instances, and against refusals of
// all statements or overshoot when the home does not answer.
func TestHomeRateLimit(t *testing.T) {
	run := func(name string, homes bool, unresponsive int, check func(t *testing.T, refused, admissible int, over float64)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				doc := document.Document{Revision: 1, MaxFallbackHolders: 32}.
					WithOrganisation(document.Organisation{Name: "small", Rate: 20, Burst: 20})
				c := newLimitCluster(t, 16, doc, allotment.ByDemand{})
				defer c.stopAll()
				c.useHomes, c.unresponsive = homes, map[int]bool{}
				for i := range unresponsive {
					c.unresponsive[i] = true
				}
				bucket := referenceBucket{rate: 20, burst: 20, tokens: 20}
				c.advance(testStep)
				for n := range 200 {
					c.sendCounted(c.members[n*7%16], "rate/small", bucket.take(c.clock.Now()))
					c.advance(64 * time.Millisecond)
				}
				c.advance(2 * time.Second)
				check(t, c.wronglyRefused["rate/small"], c.admissible["rate/small"], overshoot(c.admitted["rate/small"], 20, 20))
			})
		})
	}
	run("home answers", true, 0, func(t *testing.T, refused, admissible int, over float64) {
		require.Equal(t, 200, admissible)
		require.Zero(t, refused)
		require.LessOrEqual(t, over, 1e-6)
	})
	run("no home answers", true, 16, func(t *testing.T, refused, admissible int, over float64) {
		t.Logf("%d of %d refused", refused, admissible)
		require.Less(t, refused, admissible)
		require.LessOrEqual(t, over, 1e-6)
	})
}
