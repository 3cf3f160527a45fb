package spec_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

// Guards against instances that together exceed a rate limit.
func TestRateLedger(t *testing.T) {
	for _, bounds := range []spec.LedgerBounds{
		{Holders: 2, Ticks: 1, Updates: 2, Interruptions: 1},
		{Holders: 2, Ticks: 1, Updates: 2, LowerLimit: true},
		{Holders: 2, Ticks: 4, Updates: 2},
		{Holders: 3, Updates: 3},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewRateLedger(bounds, spec.LedgerFaults{}))
		})
	}
}

// Guards against instances that together exceed a connection limit because several of them use the same share.
func TestConnectionLedger(t *testing.T) {
	for _, bounds := range []spec.LedgerBounds{
		{Holders: 2, Ticks: 4, Updates: 2},
		{Holders: 2, Ticks: 4, Hours: 1, Updates: 2},
		{Holders: 2, Ticks: 1, Updates: 2, LowerLimit: true},
		{Holders: 3, Ticks: 1, Updates: 3},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewConnectionLedger(bounds, spec.LedgerFaults{}))
		})
	}
}

// Guards against invariants that are too weak: each disabled guard has to lead to a violation.
func TestLedgerGuards(t *testing.T) {
	rate, connections := spec.NewRateLedger, spec.NewConnectionLedger
	short := spec.LedgerBounds{Holders: 2, Updates: 2}
	lowered := spec.LedgerBounds{Holders: 2, Updates: 2, LowerLimit: true}
	for name, c := range map[string]struct {
		model  func(spec.LedgerBounds, spec.LedgerFaults) spec.State
		bounds spec.LedgerBounds
		faults spec.LedgerFaults
		want   string
	}{
		"ignore the version":          {connections, short, spec.LedgerFaults{IgnoreVersion: true}, "may use"},
		"ignore a lower limit":        {connections, lowered, spec.LedgerFaults{IgnoreLowerLimit: true}, "may use"},
		"grant under a stale limit":   {connections, lowered, spec.LedgerFaults{GrantStaleLimit: true}, "may use"},
		"keep tokens above the limit": {rate, spec.LedgerBounds{Holders: 2, Updates: 3, LowerLimit: true}, spec.LedgerFaults{KeepExcessTokens: true}, "exceeds the rate"},
		"return without withholding":  {connections, spec.LedgerBounds{Holders: 2, Updates: 3}, spec.LedgerFaults{ReturnWithoutWithholding: true}, "may use"},
	} {
		t.Run(name, func(t *testing.T) { requireViolates(t, c.model(c.bounds, c.faults), c.want) })
	}
}

// Guards against invariants that are too weak to detect a wrong reclaim of an expired lease. Because an expired lease is
// many events away from the initial state, the exploration starts shortly before it expires.
func TestExpiredLeaseGuards(t *testing.T) {
	const tick = "10 s pass"
	shared := []string{
		"h0 reads the ledger and sends an update for all connections", "the store accepts update 1 of h0",
		"h1 reads the ledger and sends an update for one connection", "the store accepts update 1 of h1",
		tick, tick, tick,
	}
	for name, c := range map[string]struct {
		faults spec.LedgerFaults
	}{
		"reclaim without margin":     {spec.LedgerFaults{ReclaimWithoutMargin: true}},
		"reclaim the fallback share": {spec.LedgerFaults{ReclaimFallback: true}},
	} {
		bounds := spec.LedgerBounds{Holders: 2, Ticks: 4, Updates: 4}
		t.Run(name+", fault enabled", func(t *testing.T) {
			requireViolates(t, follow(t, spec.NewConnectionLedger(bounds, c.faults), shared...), "may use")
		})
		t.Run(name+", fault disabled", func(t *testing.T) {
			requireHolds(t, follow(t, spec.NewConnectionLedger(bounds, spec.LedgerFaults{}), shared...))
		})
	}
}

// follow returns the state after a sequence of events.
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

// Guards against an invariant that can't detect too many open connections. A paused holder keeps its connections open
// after its lease has expired, so that only the limit of the database server bounds them.
func TestServerLimitGuard(t *testing.T) {
	const open, tick = "h0 opens a connection", "10 s pass"
	bounds := spec.LedgerBounds{Holders: 2, Ticks: 4, Updates: 3}
	initial := spec.NewConnectionLedger(bounds, spec.LedgerFaults{ExceedServerLimit: true})
	requireViolates(t, follow(t, initial,
		"h0 reads the ledger and sends an update for all connections", "the store accepts update 1 of h0", open, open,
		"h1 reads the ledger and sends an update for one connection", "the store accepts update 1 of h1", tick, tick, tick,
	), "connections open of")
}
