package spec_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

const (
	// walkLength is greater than the depth of every exploration.
	walkLength = 60
	walkSeed   = "20261204"
	walkChecks = "60"
)

// Guards against violations that need more events than the exhaustive explorations can cover. The walks are random with
// a fixed seed.
func TestWalks(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", walkSeed))
	require.NoError(t, flag.Set("rapid.checks", walkChecks))
	for name, initial := range map[string]spec.State{
		"failover": spec.NewFailover(spec.FailoverBounds{Promoters: 2, Attempts: 3, Writes: 4}, spec.FailoverFaults{}),
		"rate": spec.NewRateLedger(
			spec.LedgerBounds{Holders: 3, Ticks: 12, Hours: 2, Updates: 16, Interruptions: 4, LowerLimit: true}, spec.LedgerFaults{}),
		"connections": spec.NewConnectionLedger(
			spec.LedgerBounds{Holders: 3, Ticks: 12, Hours: 2, Updates: 16, LowerLimit: true}, spec.LedgerFaults{}),
		"read your writes": spec.NewReadYourWrites(
			spec.ReadYourWritesBounds{Writes: 4, Promotions: 3, Reads: 4, Token: true}, spec.ReadYourWritesFaults{}),
		"read your writes without a token": spec.NewReadYourWrites(
			spec.ReadYourWritesBounds{Writes: 4, Promotions: 3, Reads: 4}, spec.ReadYourWritesFaults{}),
		"configuration": spec.NewConfiguration(
			spec.ConfigurationBounds{Changes: 4, Ticks: 8, Queries: 16, Restarts: 2}, spec.ConfigurationFaults{}),
		"forwarding": spec.NewForwarding(
			spec.ForwardingBounds{Autocommit: 5, Transaction: true, Pipelined: true, Connections: 6, Shutdowns: 3}, spec.ForwardingFaults{}),
		"switchover": spec.NewSwitchover(
			spec.SwitchoverBounds{Writes: 4, Maintenances: 5, PromoterFailures: 3}, spec.SwitchoverFaults{}),
		"sections": spec.NewSections(
			spec.SectionBounds{Changes: 6, GCRuns: 3, Reads: 6, LostResponses: 2}, spec.SectionFaults{}),
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { requireWalkHolds(t, initial) })
		})
	}
}

// requireWalkHolds takes random steps and requires that the invariants hold in each state.
func requireWalkHolds(t *rapid.T, s spec.State) {
	for range walkLength {
		require.Empty(t, s.Violation())
		steps := s.Next()
		if len(steps) == 0 {
			return
		}
		step := steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]
		t.Log(step.Event)
		s = step.State
	}
}
