package allotment_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// Guards against a holder that stays short of connections because the ledger says that it wants no more.
func TestUnderstates(t *testing.T) {
	ledger := apply(t, allotment.Ledger{},
		allotment.SetLimit{Limit: allotment.Limit{Name: "connections/core/s1", Total: units(8), MaxFallbackHolders: 4}},
		allotment.Register{Holder: "a"}, allotment.Register{Holder: "b"},
		allotment.SetWanted{Holder: "a", Wanted: units(8)}, allotment.SetWanted{Holder: "b", Wanted: units(1)},
		allotment.Take{Holder: "a", Ask: units(7)}, allotment.Take{Holder: "b", Ask: units(1)},
	)
	require.True(t, ledger.UnderstatesDemand("b", units(3)))
	require.False(t, ledger.UnderstatesDemand("b", units(1)), "has what it wants")
	require.False(t, ledger.UnderstatesDemand("a", units(8)), "has more than its part")
	require.False(t, ledger.UnderstatesDemand("c", units(8)), "has no entry")
	said := apply(t, ledger, allotment.SetWanted{Holder: "b", Wanted: units(3)})
	require.False(t, said.UnderstatesDemand("b", units(3)), "the ledger has the wish")
}

func units(n int64) allotment.Amount { return allotment.Amount{Connections: n} }
