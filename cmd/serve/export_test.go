package serve

import "testing"

// OperatorPassword is the operators' password of the fleet under test.
const OperatorPassword = operatorPassword

// StartFixture starts the fleet under test for the tests of the command line, and returns its operators' URL.
func StartFixture(t *testing.T) string {
	t.Helper()
	return "http://" + startFixture(t).process.adminSocket.Addr().String()
}
