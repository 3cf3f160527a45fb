package spec_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

// Guards against a rate that all instances together exceed.
func TestRateLedger(t *testing.T) {
	for _, bounds := range []spec.LedgerBounds{
		{Holders: 2, Ticks: 1, Updates: 2, Checks: 1},
		{Holders: 2, Ticks: 1, Updates: 2, Fall: true},
		{Holders: 2, Ticks: 4, Updates: 2},
		{Holders: 3, Updates: 3},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewRateLedger(bounds, spec.LedgerFaults{}))
		})
	}
}

// Guards against connections that several instances believe to be theirs.
func TestConnectionLedger(t *testing.T) {
	for _, bounds := range []spec.LedgerBounds{
		{Holders: 2, Ticks: 4, Updates: 2},
		{Holders: 2, Ticks: 4, Silences: 1, Updates: 2},
		{Holders: 2, Ticks: 1, Updates: 2, Fall: true},
		{Holders: 3, Ticks: 1, Updates: 3},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewConnectionLedger(bounds, spec.LedgerFaults{}))
		})
	}
}

// Guards against invariants of the ledger that hold whatever its holders do.
func TestLedgerGuards(t *testing.T) {
	rate, connections := spec.NewRateLedger, spec.NewConnectionLedger
	short := spec.LedgerBounds{Holders: 2, Updates: 2}
	fall := spec.LedgerBounds{Holders: 2, Updates: 2, Fall: true}
	for name, c := range map[string]struct {
		model  func(spec.LedgerBounds, spec.LedgerFaults) spec.State
		bounds spec.LedgerBounds
		faults spec.LedgerFaults
		want   string
	}{
		"ignore the version":         {connections, short, spec.LedgerFaults{IgnoreVersion: true}, "may use"},
		"ignore a lower limit":       {connections, fall, spec.LedgerFaults{IgnoreFall: true}, "may use"},
		"grant under an older limit": {connections, fall, spec.LedgerFaults{GrantOldLimit: true}, "may use"},
		"keep the tokens of a fall":  {rate, spec.LedgerBounds{Holders: 2, Updates: 3, Fall: true}, spec.LedgerFaults{KeepCutTokens: true}, "above the rate"},
		"give without withholding":   {connections, spec.LedgerBounds{Holders: 2, Updates: 3}, spec.LedgerFaults{GiveWithoutWithholding: true}, "may use"},
	} {
		t.Run(name, func(t *testing.T) { requireBreaks(t, c.model(c.bounds, c.faults), c.want) })
	}
}

// Guards against invariants of lapsed leases that hold whatever the holders do. A lapse is far from the initial state,
// so the exploration starts where it is near.
func TestLapseGuards(t *testing.T) {
	const tick = "10 s pass"
	shared := []string{
		"h0 reads the ledger and sends an update for all connections", "the store takes update 1 of h0",
		"h1 reads the ledger and sends an update for one connection", "the store takes update 1 of h1",
		tick, tick, tick,
	}
	for name, c := range map[string]struct {
		faults spec.LedgerFaults
	}{
		"reclaim without margin":     {spec.LedgerFaults{ReclaimWithoutMargin: true}},
		"reclaim the standing share": {spec.LedgerFaults{ReclaimStanding: true}},
	} {
		bounds := spec.LedgerBounds{Holders: 2, Ticks: 4, Updates: 4}
		t.Run(name+" is taken out", func(t *testing.T) {
			requireBreaks(t, follow(t, spec.NewConnectionLedger(bounds, c.faults), shared...), "may use")
		})
		t.Run(name+" is in place", func(t *testing.T) {
			requireHolds(t, follow(t, spec.NewConnectionLedger(bounds, spec.LedgerFaults{}), shared...))
		})
	}
}

// follow returns the state after the events.
func follow(t *testing.T, s spec.State, events ...string) spec.State {
	t.Helper()
	for _, event := range events {
		steps := s.Next()
		i := slices.IndexFunc(steps, func(step spec.Step) bool { return step.Event == event })
		require.GreaterOrEqual(t, i, 0, "event %q is not possible", event)
		s = steps[i].State
	}
	return s
}

// Guards against a bound on open connections that holds whatever the database server does: a paused holder keeps its
// connections after its lease.
func TestServerBoundGuard(t *testing.T) {
	const open, tick = "h0 opens a connection", "10 s pass"
	bounds := spec.LedgerBounds{Holders: 2, Ticks: 4, Updates: 3}
	initial := spec.NewConnectionLedger(bounds, spec.LedgerFaults{OpenAboveBound: true})
	requireBreaks(t, follow(t, initial,
		"h0 reads the ledger and sends an update for all connections", "the store takes update 1 of h0", open, open,
		"h1 reads the ledger and sends an update for one connection", "the store takes update 1 of h1", tick, tick, tick,
	), "connections open of")
}
