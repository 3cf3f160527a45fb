package immutable_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/immutable"
)

// Guards against entries that are lost or changed, also in earlier versions of a map.
func TestMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions, wants := []immutable.Map[int]{{}}, []map[string]int{{}}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.IntRange(0, len(versions)-1).Draw(t, "version")
			key := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key"))
			next, want := versions[from], maps.Clone(wants[from])
			if rapid.Bool().Draw(t, "adds") {
				next, want[key] = next.With(key, i), i
			} else {
				next = next.Without(key)
				delete(want, key)
			}
			versions, wants = append(versions, next), append(wants, want)
		}
		for i, m := range versions {
			require.Equal(t, wants[i], maps.Collect(m.All()))
			require.Equal(t, len(wants[i]), m.Len())
			for key, want := range wants[i] {
				got, found := m.Get(key)
				require.True(t, found)
				require.Equal(t, want, got)
			}
		}
	})
}

// Guards against a change that copies the whole map: a client with n names then costs n squared.
func TestMapSharesEntries(t *testing.T) {
	var m immutable.Map[int]
	for i := range 10_000 {
		m = m.With(fmt.Sprint(i), i)
	}
	require.Less(t, testing.AllocsPerRun(10, func() { m.With("new", 1) }), 100.0)
}
