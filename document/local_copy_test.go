package document_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// Guards against a revision or a confirmation that decreases when messages arrive in any order.
func TestLocalCopyNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		current := document.NewLocalCopy(0).WithDataCentres([]string{"dc1", "dc2"}, 0)
		for range rapid.IntRange(1, 40).Draw(rt, "messages") {
			revision := document.Revision(rapid.IntRange(0, 5).Draw(rt, "revision"))
			at := time.Duration(rapid.IntRange(-5, 50).Draw(rt, "at")) * time.Second
			next := current
			switch rapid.IntRange(0, 2).Draw(rt, "message") {
			case 0:
				next = current.WithDocument(document.Document{Revision: revision, MaxFallbackHolders: int(revision)})
			case 1:
				next = current.WithConfirmation(revision, at)
			default:
				next = current.WithAttestation(rapid.SampledFrom([]string{"dc1", "dc2"}).Draw(rt, "centre"), revision, at)
			}
			before, known := current.ConfirmedAt(time.Minute)
			after, still := next.ConfirmedAt(time.Minute)
			require.GreaterOrEqual(rt, next.Revision(), current.Revision())
			require.Equal(rt, int(next.Revision()), next.Document().MaxFallbackHolders)
			require.False(rt, known && (!still || after < before), "the confirmed instant decreased")
			current = next
		}
	})
}

// Guards against a document that counts as fresh although a newer one may have been committed.
func TestLocalCopyFreshness(t *testing.T) {
	const now = time.Minute
	base := document.NewLocalCopy(10 * time.Second).WithDocument(document.Document{Revision: 3})
	twoDataCentres := base.WithDataCentres([]string{"dc1", "dc2"}, 0)
	for name, c := range map[string]struct {
		localCopy document.LocalCopy
		want      bool
	}{
		"never confirmed":                    {base, false},
		"confirmed":                          {base.WithConfirmation(3, now-document.MaxStaleness), true},
		"confirmed too long ago":             {base.WithConfirmation(3, now-document.MaxStaleness-1), false},
		"newer revision confirmed":           {base.WithConfirmation(4, now), false},
		"older revision confirmed":           {base.WithConfirmation(2, now), false},
		"confirmed before the start":         {document.NewLocalCopy(now+1).WithDocument(document.Document{Revision: 3}).WithConfirmation(3, now), false},
		"successor of a confirmed one":       {base.WithConfirmation(3, now).WithDocument(document.Document{Revision: 4}), true},
		"all data centres attest":            {twoDataCentres.WithAttestation("dc1", 3, now).WithAttestation("dc2", 2, now), true},
		"one attestation missing":            {twoDataCentres.WithAttestation("dc1", 3, now), false},
		"one attestation too old":            {twoDataCentres.WithAttestation("dc1", 3, now).WithAttestation("dc2", 3, 40*time.Second), false},
		"one attests a newer revision":       {twoDataCentres.WithAttestation("dc1", 3, now).WithAttestation("dc2", 4, now), false},
		"own attestation of a relay":         {twoDataCentres.WithRelay(true, "dc2", 20*time.Second).WithConfirmation(3, 21*time.Second).WithAttestation("dc1", 3, now), true},
		"relay without a confirmation since": {twoDataCentres.WithConfirmation(3, 21*time.Second).WithRelay(true, "dc2", 22*time.Second).WithAttestation("dc1", 3, now), false},
		"a data centre was removed":          {twoDataCentres.WithAttestation("dc1", 3, now).WithAttestation("dc2", 3, now).WithDataCentres([]string{"dc1"}, 30*time.Second), false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.localCopy.IsFreshAt(now)) })
	}
}
