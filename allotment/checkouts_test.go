package allotment_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// Guards against long transactions that occupy all connections of an instance, and against limiting short ones.
func TestCheckouts(t *testing.T) {
	withLongHolder := checkoutsOf("big", "small").WithLongHolders([]string{"big"})
	t.Run("short transactions may hold all", func(t *testing.T) {
		requireAdmits(t, checkoutsOf("big", "big"), 3, "big", "small")
	})
	t.Run("long holders together may hold half", func(t *testing.T) {
		requireAdmits(t, withLongHolder, 4, "big", "small")
		requireAdmits(t, withLongHolder, 3, "small")
		requireAdmits(t, withLongHolder.WithLongHolders([]string{"slow"}), 3, "small")
	})
	t.Run("one long holder is always admitted", func(t *testing.T) {
		requireAdmits(t, withLongHolder.WithReturn("big"), 1, "big", "small")
	})
	t.Run("an organisation is no long holder after 50 checks", func(t *testing.T) {
		l := withLongHolder
		for range 49 {
			l = l.WithLongHolders(nil)
		}
		requireAdmits(t, l, 3, "small")
		requireAdmits(t, l.WithLongHolders(nil), 3, "big", "small")
	})
	t.Run("demand includes one more connection beside a long holder", func(t *testing.T) {
		require.Equal(t, 4, checkoutsOf("big", "small").Demand(queueOf(t, 8, "big", "small")))
		require.Equal(t, 5, withLongHolder.Demand(queueOf(t, 8, "big", "small")))
		require.Equal(t, 2, withLongHolder.Total())
	})
	t.Run("a return without a checkout changes nothing", func(t *testing.T) {
		require.Equal(t, 2, withLongHolder.WithReturn("other").Total())
	})
}

func checkoutsOf(organisations ...string) allotment.Checkouts {
	var l allotment.Checkouts
	for _, organisation := range organisations {
		l = l.WithCheckout(organisation)
	}
	return l
}

// requireAdmits checks that of big and small exactly the named organisations are admitted.
func requireAdmits(t *testing.T, l allotment.Checkouts, allowed int, admitted ...string) {
	t.Helper()
	for _, organisation := range []string{"big", "small"} {
		require.Equal(t, slices.Contains(admitted, organisation), l.Admits(organisation, allowed), organisation)
	}
}
