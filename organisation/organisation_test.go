package organisation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Guards against a caller that runs for another organisation, with another key, or with one that may be withdrawn.
func TestAdmit(t *testing.T) {
	acme, acmeHash := organisation.NewKey([organisation.KeySize]byte{1})
	bolt, boltHash := organisation.NewKey([organisation.KeySize]byte{2})
	d := rules(acmeHash, boltHash)
	for name, c := range map[string]struct {
		organisation, key, route string
		fresh                    bool
		want                     organisation.Decision
	}{
		"own key":             {"acme", acme, "w", true, organisation.Allowed{Organisation: "acme", KeyID: "k1", KeyHash: acmeHash, Route: d.Routes[0]}},
		"other's key":         {"acme", bolt, "w", true, refused(port.KeyRefused)},
		"no key":              {"acme", "", "w", true, refused(port.KeyRefused)},
		"hash as key":         {"acme", acmeHash.String(), "w", true, refused(port.KeyRefused)},
		"unknown caller":      {"nobody", acme, "w", true, refused(port.KeyRefused)},
		"unknown route":       {"acme", acme, "x", true, refused(port.UnknownRoute)},
		"probe for routes":    {"acme", "", "x", true, refused(port.KeyRefused)},
		"not fresh":           {"acme", acme, "w", false, refused(port.NotFresh)},
		"open route":          {"nobody", "", "menu", false, organisation.Allowed{Organisation: "open", Route: d.Routes[1]}},
		"open route with key": {"acme", acme, "menu", true, organisation.Allowed{Organisation: "open", Route: d.Routes[1]}},
	} {
		t.Run(name, func(t *testing.T) {
			got := organisation.Authorize(d, organisation.Credentials{Organisation: c.organisation, Key: c.key, Route: c.route}, c.fresh)
			requireAdmission(t, c.want, got)
		})
	}
}

// Guards against an open connection that goes on after its key, its route or the freshness is gone.
func TestRecheck(t *testing.T) {
	key, hash := organisation.NewKey([organisation.KeySize]byte{1})
	_, other := organisation.NewKey([organisation.KeySize]byte{3})
	d := rules(hash, organisation.KeyHash{})
	keyed, _ := organisation.Authorize(d, organisation.Credentials{Organisation: "acme", Key: key, Route: "w"}, true).(organisation.Allowed)
	open, _ := organisation.Authorize(d, organisation.Credentials{Route: "menu"}, true).(organisation.Allowed)
	closed := d.WithRoute(document.Route{Name: "menu", Group: "g", Slot: "s", Kind: document.Read})
	for name, c := range map[string]struct {
		rules organisation.Rules
		a     organisation.Allowed
		fresh bool
		want  organisation.Decision
	}{
		"unchanged":              {document.NewIndex(d), keyed, true, keyed},
		"withdrawn":              {rules(organisation.KeyHash{}, hash), keyed, true, refused(port.KeyRefused)},
		"other key, same id":     {rules(other, hash), keyed, true, refused(port.KeyRefused)},
		"route removed":          {document.Document{Organisations: d.Organisations}, keyed, true, refused(port.UnknownRoute)},
		"not fresh":              {d, keyed, false, refused(port.NotFresh)},
		"open route, not fresh":  {d, open, false, open},
		"route no longer open":   {closed, open, true, refused(port.KeyRefused)},
		"open route was removed": {document.Document{}, open, true, refused(port.UnknownRoute)},
	} {
		t.Run(name, func(t *testing.T) { requireAdmission(t, c.want, organisation.Reauthorize(c.rules, c.a, c.fresh)) })
	}
}

func rules(acme, bolt organisation.KeyHash) document.Document {
	return document.Document{
		Organisations: []document.Organisation{
			{Name: "acme", Keys: []document.Key{{ID: "k1", SHA256: acme.String()}}},
			{Name: "bolt", Keys: []document.Key{{ID: "k1", SHA256: bolt.String()}}},
		},
		Routes: []document.Route{
			{Name: "w", Group: "g", Slot: "s", Kind: document.Write},
			{Name: "menu", Group: "g", Slot: "s", Kind: document.Read, Open: true},
		},
	}
}

func refused(kind port.Kind) organisation.Decision { return organisation.Denied{Kind: kind} }

func requireAdmission(t *testing.T, want, got organisation.Decision) {
	t.Helper()
	if r, ok := got.(organisation.Denied); ok {
		require.NotEmpty(t, r.Reason)
		require.Equal(t, r.Kind, port.KindOf(r.Err()))
		got = organisation.Denied{Kind: r.Kind}
	}
	require.Equal(t, want, got)
}
