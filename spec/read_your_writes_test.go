package spec_test

import (
	"fmt"
	"testing"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

// Guards against a session that does not read its own writes on another instance.
func TestReadYourWrites(t *testing.T) {
	for _, hasToken := range []bool{true, false} {
		for _, bounds := range []spec.ReadYourWritesBounds{
			{Writes: 1, Promotions: 1, Reads: 1, Token: hasToken},
			{Writes: 2, Promotions: 1, Reads: 1, Token: hasToken},
			{Writes: 1, Promotions: 0, Reads: 2, Token: hasToken, AcceptedAge: true},
		} {
			t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
				requireHolds(t, spec.NewReadYourWrites(bounds, spec.ReadYourWritesFaults{}))
			})
		}
	}
}

// Guards against an invariant that is too weak: each disabled guard has to lead to a violation.
func TestReadYourWritesGuards(t *testing.T) {
	token := spec.ReadYourWritesBounds{Writes: 1, Promotions: 1, Reads: 1, Token: true}
	none := spec.ReadYourWritesBounds{Writes: 1, Reads: 2}
	for name, c := range map[string]struct {
		bounds spec.ReadYourWritesBounds
		faults spec.ReadYourWritesFaults
	}{
		"no floor for a write":         {token, spec.ReadYourWritesFaults{NoFloor: true}},
		"no token counts as no writes": {none, spec.ReadYourWritesFaults{AssumeNoWrites: true}},
		"stale read position":          {none, spec.ReadYourWritesFaults{StaleReadPosition: true}},
		"acknowledge without replicas": {none, spec.ReadYourWritesFaults{AcknowledgeWithoutReplicas: true}},
	} {
		t.Run(name, func(t *testing.T) { requireViolates(t, spec.NewReadYourWrites(c.bounds, c.faults), "does not contain") })
	}
}
