package spec_test

import (
	"fmt"
	"testing"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

// Guards against a session that does not read its own write at another instance.
func TestRoaming(t *testing.T) {
	for _, token := range []bool{true, false} {
		for _, bounds := range []spec.RoamingBounds{
			{Writes: 1, Promotions: 1, Reads: 1, Token: token},
			{Writes: 2, Promotions: 1, Reads: 1, Token: token},
			{Writes: 1, Promotions: 0, Reads: 2, Token: token, AcceptedAge: true},
		} {
			t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
				requireHolds(t, spec.NewRoaming(bounds, spec.RoamingFaults{}))
			})
		}
	}
}

// Guards against an invariant of roaming sessions that holds whatever the instances do.
func TestRoamingGuards(t *testing.T) {
	token := spec.RoamingBounds{Writes: 1, Promotions: 1, Reads: 1, Token: true}
	none := spec.RoamingBounds{Writes: 1, Reads: 2}
	for name, c := range map[string]struct {
		bounds spec.RoamingBounds
		faults spec.RoamingFaults
	}{
		"no floor for a write":          {token, spec.RoamingFaults{NoFloor: true}},
		"no token counts as no writes":  {none, spec.RoamingFaults{ZeroFloor: true}},
		"newest from earlier questions": {none, spec.RoamingFaults{NewestFromBefore: true}},
		"acknowledge alone":             {none, spec.RoamingFaults{AcknowledgeAlone: true}},
	} {
		t.Run(name, func(t *testing.T) { requireBreaks(t, spec.NewRoaming(c.bounds, c.faults), "does not contain") })
	}
}
