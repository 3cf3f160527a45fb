package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
)

// Guards against a small organisation that is refused inside its limit because its statements arrive everywhere, and
// against one that is refused or admitted too much because its home does not answer.
func TestHomes(t *testing.T) {
	run := func(name string, homes bool, silent int, check func(t *testing.T, refused, inside int, over float64)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				doc := document.Document{Revision: 1, MaxFallbackHolders: 32}.
					WithOrganisation(document.Organisation{Name: "small", Rate: 20, Burst: 20})
				f := newKeepers(t, 16, doc, allotment.ByDemand{})
				defer f.finish()
				f.useHomes, f.silent = homes, map[int]bool{}
				for i := range silent {
					f.silent[i] = true
				}
				one := reference{rate: 20, burst: 20, tokens: 20}
				f.advance(testStep)
				for n := range 200 {
					f.sendInside(f.members[n*7%16], "rate/small", one.take(f.clock.Now()))
					f.advance(64 * time.Millisecond)
				}
				f.advance(2 * time.Second)
				check(t, f.wrong["rate/small"], f.inside["rate/small"], overshoot(f.admitted["rate/small"], 20, 20))
			})
		})
	}
	run("by its home", true, 0, func(t *testing.T, refused, inside int, over float64) {
		require.Equal(t, 200, inside)
		require.Zero(t, refused)
		require.LessOrEqual(t, over, 1e-6)
	})
	run("no home answers", true, 16, func(t *testing.T, refused, inside int, over float64) {
		t.Logf("%d of %d refused", refused, inside)
		require.Less(t, refused, inside)
		require.LessOrEqual(t, over, 1e-6)
	})
}
