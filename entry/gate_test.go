package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
)

var (
	keyed    = entry.Credentials{Organisation: "acme", Key: "key-1", Route: "orders", Token: "new"}
	withdraw = entry.EditRequest{Edit: document.WithdrawKey{Organisation: "acme", KeyID: "k1"}, Author: "ana"}
)

// Guards against a connection that goes on after its key was withdrawn or its route changed.
func TestGateOpenConnection(t *testing.T) {
	testDocumentFleet(t, "key withdrawn", 2, 2, func(t *testing.T, f *documentFixture) {
		gate, caller := f.admit("2b")
		_, err := f.apply("1a", withdraw)
		require.NoError(t, err)
		f.run(time.Second)
		_, err = gate.AuthorizeStatement(t.Context(), caller)
		requireErrorKind(t, port.KeyRefused, err)
	})
	testDocumentFleet(t, "key withdrawn while only another data centre reaches the store", 2, 3, func(t *testing.T, f *documentFixture) {
		gate, caller := f.admit("2b")
		f.storeDown(true, "2a", "2b", "2c")
		f.run(30 * time.Second)
		caller, err := gate.AuthorizeStatement(t.Context(), caller)
		require.NoError(t, err)
		_, err = f.apply("1a", withdraw)
		require.NoError(t, err)
		f.run(settleTime)
		_, err = gate.AuthorizeStatement(t.Context(), caller)
		requireErrorKind(t, port.KeyRefused, err)
	})
	testDocumentFleet(t, "key withdrawn behind a cut", 2, 3, func(t *testing.T, f *documentFixture) {
		gate, caller := f.admit("2b")
		f.storeDown(true, "2a", "2b", "2c")
		f.cut("dc1", "dc2", true)
		_, err := f.apply("1a", withdraw)
		require.NoError(t, err)
		f.run(document.MaxStaleness)
		_, err = gate.AuthorizeStatement(t.Context(), caller)
		requireErrorKind(t, port.NotFresh, err)
		_, err = gate.Authorize(t.Context(), keyed)
		requireErrorKind(t, port.NotFresh, err)
		open, err := gate.Authorize(t.Context(), entry.Credentials{Route: "menu"})
		require.NoError(t, err)
		_, err = gate.AuthorizeStatement(t.Context(), open)
		require.NoError(t, err)
	})
	testDocumentFleet(t, "another key under the same id", 1, 1, func(t *testing.T, f *documentFixture) {
		gate, caller := f.admit("1a")
		_, err := f.apply("1a", withdraw)
		require.NoError(t, err)
		_, err = f.apply("1a", entry.EditRequest{Author: "ana", Edit: document.GrantKey{
			Organisation: "acme", Key: document.Key{ID: "k1", SHA256: organisation.HashKey("key-2").String()},
		}})
		require.NoError(t, err)
		_, err = gate.AuthorizeStatement(t.Context(), caller)
		requireErrorKind(t, port.KeyRefused, err)
	})
	testDocumentFleet(t, "write route becomes a read route", 1, 1, func(t *testing.T, f *documentFixture) {
		gate, caller := f.admit("1a")
		require.False(t, caller.Read)
		_, err := f.apply("1a", entry.EditRequest{Author: "ana", Edit: document.PutRoute{
			Route: document.Route{Name: "orders", Group: "g", Slot: "s", Kind: document.Read},
		}})
		require.NoError(t, err)
		caller, err = gate.AuthorizeStatement(t.Context(), caller)
		require.NoError(t, err)
		require.True(t, caller.Read)
	})
}

// Guards against a session or a statement that counts for someone else.
func TestGateAdmits(t *testing.T) {
	testDocumentFleet(t, "keyed, open and read-only callers", 1, 1, func(t *testing.T, f *documentFixture) {
		var limit recordingLimit
		gate := f.instances["1a"].authorizer(&limit)
		caller, err := gate.Authorize(t.Context(), keyed)
		require.NoError(t, err)
		token := gate.Token(caller.Session)
		_, err = gate.AuthorizeStatement(t.Context(), caller)
		require.NoError(t, err)
		open, err := gate.Authorize(t.Context(), entry.Credentials{Organisation: "acme", Key: "key-1", Route: "menu"})
		require.NoError(t, err)
		require.Equal(t, document.OpenOrganisation, open.Organisation)
		_, known := open.Session.Floor("g")
		require.True(t, known)
		_, err = gate.AuthorizeStatement(t.Context(), open)
		require.NoError(t, err)
		require.Equal(t, []string{"rate/acme", "rate_open/menu"}, limit.taken)
		_, err = gate.Authorize(t.Context(), entry.Credentials{Route: "menu", Token: token})
		requireErrorKind(t, port.BadToken, err)
		readOnly := keyed
		readOnly.Token, readOnly.ReadOnly = token, true
		caller, err = gate.Authorize(t.Context(), readOnly)
		require.NoError(t, err)
		caller, err = gate.AuthorizeStatement(t.Context(), caller)
		require.NoError(t, err)
		require.True(t, caller.Read)
		_, err = gate.AuthorizeStatement(t.Context(), entry.Client{Organisation: "acme", Route: caller.Route})
		requireErrorKind(t, port.KeyRefused, err)
	})
}

// admit admits a caller with a key at the instance.
func (f *documentFixture) admit(name string) (*entry.DocumentAuthorizer, entry.Client) {
	gate := f.instances[name].authorizer(&recordingLimit{})
	caller, err := gate.Authorize(f.ctx, keyed)
	require.NoError(f.t, err)
	return gate, caller
}
