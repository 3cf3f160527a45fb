package spec_test

import (
	"fmt"
	"testing"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

// Guards against a forwarded request that runs twice or whose outcome is reported wrongly when serving instances crash,
// shut down, or lose their connection and keep running.
func TestForwarding(t *testing.T) {
	for _, bounds := range []spec.ForwardingBounds{
		{Autocommit: 2, Connections: 3, Shutdowns: 1},
		{Autocommit: 3, Connections: 3, Shutdowns: 1, Pipelined: true},
		{Autocommit: 1, Transaction: true, Connections: 3, Shutdowns: 1},
		{Autocommit: 1, Transaction: true, Connections: 3, Shutdowns: 1, Pipelined: true},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewForwarding(bounds, spec.ForwardingFaults{}))
		})
	}
}

// Guards against invariants that are too weak: each disabled guard has to lead to a violation.
func TestForwardingGuards(t *testing.T) {
	single := spec.ForwardingBounds{Autocommit: 1, Connections: 2}
	transaction := spec.ForwardingBounds{Transaction: true, Connections: 2}
	for name, c := range map[string]struct {
		bounds spec.ForwardingBounds
		faults spec.ForwardingFaults
		want   string
	}{
		"record after writing":        {single, spec.ForwardingFaults{RecordLate: true}, "ran 2 times"},
		"send pending requests again": {single, spec.ForwardingFaults{ResendPending: true}, "ran 2 times"},
		"move open transactions":      {transaction, spec.ForwardingFaults{MoveTransaction: true}, "was reported as done"},
		"report as not run":           {single, spec.ForwardingFaults{ReportNotRun: true}, "was reported as not run"},
	} {
		t.Run(name, func(t *testing.T) { requireViolates(t, spec.NewForwarding(c.bounds, c.faults), c.want) })
	}
}
