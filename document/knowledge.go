package document

import (
	"maps"
	"slices"
	"time"
)

// MaxStaleness is how old the last confirmation of the document may be. Beyond it a key may have been withdrawn
// without this instance knowing, so keyed requests are refused.
const MaxStaleness = 10 * time.Second

// LocalCopy is what an instance knows of the document in force: the document and since when it may be out of date.
// Instants are those of the instance's own monotonic clock. A Knowledge is never changed in place; the zero value
// knows no document, and belongs to an instance that started at instant zero.
type LocalCopy struct {
	index Index
	start time.Duration
	// confirmed is an instant at which no newer document was accepted.
	confirmed     time.Duration
	everConfirmed bool
	vouched       map[string]time.Duration
	relay         bool
	relaySince    time.Duration
	ownDataCentre string
	dataCentres   []string
	// shrunk is the instant at which a data centre left the list, if hasShrunk is true.
	shrunk    time.Duration
	hasShrunk bool
}

// NewLocalCopy returns the knowledge of an instance that started at the instant. Confirmations from before the start
// do not count: the instance may have known a newer document before it was restarted.
func NewLocalCopy(start time.Duration) LocalCopy { return LocalCopy{start: start} }

// Index returns the document in force, indexed.
func (k LocalCopy) Index() Index { return k.index }

// Document returns the document in force.
func (k LocalCopy) Document() Document { return k.index.document }

// Revision returns the revision in force; zero means that no document is known.
func (k LocalCopy) Revision() Revision { return k.index.document.Revision }

// WithDocument returns the knowledge with the document in force if it succeeds the current one, and unchanged if not.
// A confirmation of the current one holds for its successor as well: nothing newer than the current one was accepted
// by then.
func (k LocalCopy) WithDocument(d Document) LocalCopy {
	if !IsNewer(d, k.Document()) {
		return k
	}
	k.index = NewIndex(d)
	return k
}

// WithConfirmation returns the knowledge after it was confirmed that revision r was the newest at the instant. A
// revision other than the one in force confirms nothing: a greater one is not in force here yet, and a smaller one
// comes from a late answer or from a store that lost updates.
func (k LocalCopy) WithConfirmation(r Revision, at time.Duration) LocalCopy {
	if r != k.Revision() || at < k.start || (k.everConfirmed && at <= k.confirmed) {
		return k
	}
	k.confirmed, k.everConfirmed = at, true
	return k
}

// WithAttestation returns the knowledge after a relay of the data centre vouched that no revision greater than r was known
// there at the instant.
func (k LocalCopy) WithAttestation(dataCentre string, r Revision, at time.Duration) LocalCopy {
	known, found := k.vouched[dataCentre]
	if r > k.Revision() || at < k.start || (found && at <= known) {
		return k
	}
	vouched := make(map[string]time.Duration, len(k.vouched)+1)
	maps.Copy(vouched, k.vouched)
	vouched[dataCentre] = at
	k.vouched = vouched
	return k
}

// WithDataCentres returns the knowledge with the data centres that have to vouch for each other while the store is
// down, as the list says at the instant.
func (k LocalCopy) WithDataCentres(names []string, now time.Duration) LocalCopy {
	for _, name := range k.dataCentres {
		if !slices.Contains(names, name) {
			k.shrunk, k.hasShrunk = now, true
		}
	}
	k.dataCentres = names
	return k
}

// WithRelay returns the knowledge of an instance that is, or is no longer, a relay of the data centre at the instant.
func (k LocalCopy) WithRelay(relay bool, dataCentre string, now time.Duration) LocalCopy {
	if relay && !k.relay {
		k.relaySince = now
	}
	k.relay, k.ownDataCentre = relay, dataCentre
	return k
}

// ConfirmedAt returns the latest instant at which no newer document was accepted, as far as is known at now.
func (k LocalCopy) ConfirmedAt(now time.Duration) (time.Duration, bool) {
	vouched, ok := k.vouchedAt(now)
	switch {
	case k.everConfirmed && ok:
		return max(k.confirmed, vouched), true
	case ok:
		return vouched, true
	default:
		return k.confirmed, k.everConfirmed
	}
}

// AgeAt returns how long ago the document was last known to be the newest.
func (k LocalCopy) AgeAt(now time.Duration) (time.Duration, bool) {
	at, ok := k.ConfirmedAt(now)
	return now - at, ok
}

// IsFreshAt reports whether the instance may rely on the document at now.
func (k LocalCopy) IsFreshAt(now time.Duration) bool {
	age, ok := k.AgeAt(now)
	return ok && age <= MaxStaleness
}

// AttestationsAt returns for each data centre the instant at which it vouched for the revision in force, this instance's
// own vouch included.
func (k LocalCopy) AttestationsAt(now time.Duration) map[string]time.Duration {
	vouches := maps.Clone(k.vouched)
	if vouches == nil {
		vouches = make(map[string]time.Duration, 1)
	}
	if k.mayVouch() {
		vouches[k.ownDataCentre] = now
	}
	return vouches
}

// mayVouch reports whether the instance may vouch for its data centre. A relay may do so only after its document was
// confirmed since it became a relay: before that, a change may have been offered to its predecessors alone.
func (k LocalCopy) mayVouch() bool {
	return k.relay && k.everConfirmed && k.confirmed >= k.relaySince && k.mayRely()
}

// mayRely reports whether vouches count. After a data centre left the list they count only once the document was
// confirmed: the last change may have been accepted there and be known nowhere else but in the store.
func (k LocalCopy) mayRely() bool {
	return !k.hasShrunk || (k.everConfirmed && k.confirmed >= k.shrunk)
}

// vouchedAt returns the earliest of the vouches of all data centres. An accepted change is known to the relays of the
// data centre where it was accepted, so none was accepted before that instant.
func (k LocalCopy) vouchedAt(now time.Duration) (time.Duration, bool) {
	if len(k.dataCentres) == 0 || !k.mayRely() {
		return 0, false
	}
	vouches := k.AttestationsAt(now)
	earliest := now
	for _, name := range k.dataCentres {
		at, found := vouches[name]
		if !found {
			return 0, false
		}
		earliest = min(earliest, at)
	}
	return earliest, true
}
