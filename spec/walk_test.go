package spec_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

const (
	// walkLength is more than the depth of any exploration.
	walkLength = 60
	walkSeed   = "20261204"
	walkChecks = "60"
)

// Guards against faults that need more events than the explorations have room for. The walks are random with a fixed
// seed.
func TestWalks(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", walkSeed))
	require.NoError(t, flag.Set("rapid.checks", walkChecks))
	for name, initial := range map[string]spec.State{
		"failover": spec.NewFailover(spec.FailoverBounds{Promoters: 2, Attempts: 3, Writes: 4}, spec.FailoverFaults{}),
		"rate": spec.NewRateLedger(
			spec.LedgerBounds{Holders: 3, Ticks: 12, Silences: 2, Updates: 16, Checks: 4, Fall: true}, spec.LedgerFaults{}),
		"connections": spec.NewConnectionLedger(
			spec.LedgerBounds{Holders: 3, Ticks: 12, Silences: 2, Updates: 16, Fall: true}, spec.LedgerFaults{}),
		"roaming": spec.NewRoaming(
			spec.RoamingBounds{Writes: 4, Promotions: 3, Reads: 4, Token: true}, spec.RoamingFaults{}),
		"roaming without a token": spec.NewRoaming(
			spec.RoamingBounds{Writes: 4, Promotions: 3, Reads: 4}, spec.RoamingFaults{}),
		"configuration": spec.NewConfiguration(
			spec.ConfigurationBounds{Changes: 4, Ticks: 8, Reports: 16, Restarts: 2}, spec.ConfigurationFaults{}),
		"forwarding": spec.NewForwarding(
			spec.ForwardingBounds{Alone: 5, Transaction: true, Pipelined: true, Links: 6, Stops: 3}, spec.ForwardingFaults{}),
		"sections": spec.NewSections(
			spec.SectionBounds{Changes: 6, Collections: 3, Reads: 6, Lost: 2}, spec.SectionFaults{}),
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { requireWalkHolds(t, initial) })
		})
	}
}

// requireWalkHolds takes random steps and requires that each state keeps the invariants.
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
