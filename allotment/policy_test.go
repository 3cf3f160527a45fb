package allotment_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// Guards against a holder that stays short of connections because its demand in the ledger is outdated.
func TestUnderstatesDemand(t *testing.T) {
	ledger := apply(t, allotment.Ledger{},
		allotment.SetLimit{Limit: allotment.Limit{Name: "connections/core/s1", Total: connections(8), MaxFallbackHolders: 4}},
		allotment.Register{Holder: "a"}, allotment.Register{Holder: "b"},
		allotment.SetWanted{Holder: "a", Wanted: connections(8)}, allotment.SetWanted{Holder: "b", Wanted: connections(1)},
		allotment.Take{Holder: "a", Ask: connections(7)}, allotment.Take{Holder: "b", Ask: connections(1)},
	)
	require.True(t, ledger.UnderstatesDemand("b", connections(3)))
	require.False(t, ledger.UnderstatesDemand("b", connections(1)), "has what it wants")
	require.False(t, ledger.UnderstatesDemand("a", connections(8)), "has more than its fair share")
	require.False(t, ledger.UnderstatesDemand("c", connections(8)), "has no entry")
	updated := apply(t, ledger, allotment.SetWanted{Holder: "b", Wanted: connections(3)})
	require.False(t, updated.UnderstatesDemand("b", connections(3)), "the ledger contains the demand")
}

func connections(n int64) allotment.Amount { return allotment.Amount{Connections: n} }
