package allotment_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// Guards against long transactions that hold all connections of an instance, and a bound on short ones.
func TestLent(t *testing.T) {
	long := lentTo("big", "small").WithLongHolders([]string{"big"})
	t.Run("short transactions may hold all", func(t *testing.T) {
		requireAdmits(t, lentTo("big", "big"), 3, "big", "small")
	})
	t.Run("long ones hold half together", func(t *testing.T) {
		requireAdmits(t, long, 4, "big", "small")
		requireAdmits(t, long, 3, "small")
		requireAdmits(t, long.WithLongHolders([]string{"slow"}), 3, "small")
	})
	t.Run("one is always admitted", func(t *testing.T) {
		requireAdmits(t, long.WithReturn("big"), 1, "big", "small")
	})
	t.Run("short again after some checks", func(t *testing.T) {
		l := long
		for range 49 {
			l = l.WithLongHolders(nil)
		}
		requireAdmits(t, l, 3, "small")
		requireAdmits(t, l.WithLongHolders(nil), 3, "big", "small")
	})
	t.Run("demand keeps one beside a long one", func(t *testing.T) {
		require.Equal(t, 4, lentTo("big", "small").Demand(queueOf(t, 8, "big", "small")))
		require.Equal(t, 5, long.Demand(queueOf(t, 8, "big", "small")))
		require.Equal(t, 2, long.Total())
	})
	t.Run("return without a loan changes nothing", func(t *testing.T) {
		require.Equal(t, 2, long.WithReturn("other").Total())
	})
}

func lentTo(organisations ...string) allotment.Checkouts {
	var l allotment.Checkouts
	for _, organisation := range organisations {
		l = l.WithCheckout(organisation)
	}
	return l
}

// requireAdmits checks that big and small are admitted exactly if they are named.
func requireAdmits(t *testing.T, l allotment.Checkouts, allowed int, admitted ...string) {
	t.Helper()
	for _, organisation := range []string{"big", "small"} {
		require.Equal(t, slices.Contains(admitted, organisation), l.Admits(organisation, allowed), organisation)
	}
}
