package serve

import "testing"

// OperatorPassword is the operators' password of the fixture.
const OperatorPassword = operatorPassword

// StartFixture starts a fixture for tests of the command line, and returns the URL of its admin listener.
func StartFixture(t *testing.T) string {
	t.Helper()
	return "http://" + startFixture(t).process.adminSocket.Addr().String()
}
