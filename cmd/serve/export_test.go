package serve

import "testing"

// OperatorSecret is the operators' password of the fleet under test.
const OperatorSecret = operatorSecret

// StartFleet starts the fleet under test for the tests of the command line, and returns its operators' URL.
func StartFleet(t *testing.T) string {
	t.Helper()
	return "http://" + startFleet(t).process.operator.Addr().String()
}
