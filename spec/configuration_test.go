package spec_test

import (
	"fmt"
	"testing"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

// Guards against an instance that goes back to an older revision, a lost change, and a revoked key that is still served.
func TestConfiguration(t *testing.T) {
	for _, bounds := range []spec.ConfigurationBounds{
		{Changes: 1, Ticks: 3, Queries: 2},
		{Changes: 2, Ticks: 1, Queries: 1, Restarts: 1},
		{Changes: 1, Ticks: 4, Queries: 2},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewConfiguration(bounds, spec.ConfigurationFaults{}))
		})
	}
}

// Guards against invariants that are too weak: each disabled guard has to lead to a violation.
func TestConfigurationGuards(t *testing.T) {
	race := spec.ConfigurationBounds{Changes: 2}
	crossed := spec.ConfigurationBounds{Changes: 1, Queries: 2}
	late := spec.ConfigurationBounds{Changes: 1, Ticks: 4, Queries: 1}
	for name, c := range map[string]struct {
		bounds spec.ConfigurationBounds
		faults spec.ConfigurationFaults
		want   string
	}{
		"ignore the version":             {race, spec.ConfigurationFaults{IgnoreVersion: true}, "was stored after"},
		"install any document":           {crossed, spec.ConfigurationFaults{InstallAny: true}, "was installed after"},
		"acknowledge without a response": {race, spec.ConfigurationFaults{AcknowledgeUnstored: true}, "was acknowledged"},
		"acknowledge before the relays":  {late, spec.ConfigurationFaults{AcknowledgeBeforeRelays: true}, "serves the revoked key"},
		"serve a stale document":         {late, spec.ConfigurationFaults{ServeStale: true}, "serves the revoked key"},
		"attestation of one data centre": {late, spec.ConfigurationFaults{SingleAttestation: true}, "serves the revoked key"},
	} {
		t.Run(name, func(t *testing.T) { requireViolates(t, spec.NewConfiguration(c.bounds, c.faults), c.want) })
	}
}
