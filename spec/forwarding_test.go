package spec_test

import (
	"fmt"
	"testing"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

// Guards against a forwarded request that runs twice or whose outcome is reported wrongly when serving instances die,
// stop or are given up while they go on.
func TestForwarding(t *testing.T) {
	for _, bounds := range []spec.ForwardingBounds{
		{Alone: 2, Links: 3, Stops: 1},
		{Alone: 3, Links: 3, Stops: 1, Pipelined: true},
		{Alone: 1, Transaction: true, Links: 3, Stops: 1},
		{Alone: 1, Transaction: true, Links: 3, Stops: 1, Pipelined: true},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewForwarding(bounds, spec.ForwardingFaults{}))
		})
	}
}

// Guards against invariants of forwarded sessions that hold whatever the sender does.
func TestForwardingGuards(t *testing.T) {
	single := spec.ForwardingBounds{Alone: 1, Links: 2}
	transaction := spec.ForwardingBounds{Transaction: true, Links: 2}
	for name, c := range map[string]struct {
		bounds spec.ForwardingBounds
		faults spec.ForwardingFaults
		want   string
	}{
		"note after writing":       {single, spec.ForwardingFaults{NoteLate: true}, "ran 2 times"},
		"send open requests again": {single, spec.ForwardingFaults{ResendOpen: true}, "ran 2 times"},
		"move open transactions":   {transaction, spec.ForwardingFaults{MoveTransaction: true}, "was reported as done"},
		"report as not run":        {single, spec.ForwardingFaults{TellNotRun: true}, "was reported as not run"},
	} {
		t.Run(name, func(t *testing.T) { requireBreaks(t, spec.NewForwarding(c.bounds, c.faults), c.want) })
	}
}
