package document

import (
	"maps"
	"slices"
	"time"
)

// MaxStaleness is the maximum age of the last confirmation that there is no newer document. After that, this instance
// may have missed the withdrawal of a key, so it rejects requests that need a key.
const MaxStaleness = 10 * time.Second

// LocalCopy is an instance's copy of the document with the evidence of how stale it may be. Instants are those of the
// instance's own monotonic clock. A LocalCopy is immutable; its With methods return changed copies. The zero value has
// no document and belongs to an instance that started at instant zero.
type LocalCopy struct {
	index Index
	start time.Duration
	// confirmedAt is an instant at which no document newer than the current one had been committed, if hasConfirmation is
	// true.
	confirmedAt     time.Duration
	hasConfirmation bool
	attestations    map[string]time.Duration
	relay           bool
	relaySince      time.Duration
	ownDataCentre   string
	dataCentres     []string
	// dataCentreRemovedAt is the instant at which a data centre was removed from the list, if dataCentreRemoved is true.
	dataCentreRemovedAt time.Duration
	dataCentreRemoved   bool
}

// NewLocalCopy returns the empty copy of an instance that started at the given instant. Confirmations from before the
// start do not count: the instance may have had a newer document before it was restarted.
func NewLocalCopy(start time.Duration) LocalCopy { return LocalCopy{start: start} }

// Index returns the index of the current document.
func (c LocalCopy) Index() Index { return c.index }

// Document returns the current document.
func (c LocalCopy) Document() Document { return c.index.document }

// Revision returns the revision of the current document. Zero means that there is none.
func (c LocalCopy) Revision() Revision { return c.index.document.Revision }

// WithDocument replaces the current document if d is newer. A confirmation of the current document also holds for its
// successor, because it says that nothing newer had been committed at that instant.
func (c LocalCopy) WithDocument(d Document) LocalCopy {
	if !IsNewer(d, c.Document()) {
		return c
	}
	c.index = NewIndex(d)
	return c
}

// WithConfirmation records that revision r was the newest at the instant. It ignores every revision but the current
// one: a greater one has not been received yet, and a smaller one comes from a delayed response or from a store that
// lost updates.
func (c LocalCopy) WithConfirmation(r Revision, at time.Duration) LocalCopy {
	if r != c.Revision() || at < c.start || (c.hasConfirmation && at <= c.confirmedAt) {
		return c
	}
	c.confirmedAt, c.hasConfirmation = at, true
	return c
}

// WithAttestation records the attestation of a relay of the data centre that no revision greater than r was known there
// at the instant.
func (c LocalCopy) WithAttestation(dataCentre string, r Revision, at time.Duration) LocalCopy {
	previous, found := c.attestations[dataCentre]
	if r > c.Revision() || at < c.start || (found && at <= previous) {
		return c
	}
	attestations := make(map[string]time.Duration, len(c.attestations)+1)
	maps.Copy(attestations, c.attestations)
	attestations[dataCentre] = at
	c.attestations = attestations
	return c
}

// WithDataCentres sets the data centres whose attestations together confirm the document while the store is
// unavailable, as of the list of instances at now.
func (c LocalCopy) WithDataCentres(names []string, now time.Duration) LocalCopy {
	for _, name := range c.dataCentres {
		if !slices.Contains(names, name) {
			c.dataCentreRemovedAt, c.dataCentreRemoved = now, true
		}
	}
	c.dataCentres = names
	return c
}

// WithRelay records whether the instance is a relay of its data centre at the instant.
func (c LocalCopy) WithRelay(relay bool, dataCentre string, now time.Duration) LocalCopy {
	if relay && !c.relay {
		c.relaySince = now
	}
	c.relay, c.ownDataCentre = relay, dataCentre
	return c
}

// ConfirmedAt returns the latest instant at which, as far as is known at now, no newer document had been committed.
func (c LocalCopy) ConfirmedAt(now time.Duration) (time.Duration, bool) {
	attested, ok := c.attestedByAll(now)
	switch {
	case c.hasConfirmation && ok:
		return max(c.confirmedAt, attested), true
	case ok:
		return attested, true
	default:
		return c.confirmedAt, c.hasConfirmation
	}
}

// AgeAt returns the time since the document was last known to be the newest.
func (c LocalCopy) AgeAt(now time.Duration) (time.Duration, bool) {
	at, ok := c.ConfirmedAt(now)
	return now - at, ok
}

// IsFreshAt reports whether the document's age does not exceed MaxStaleness.
func (c LocalCopy) IsFreshAt(now time.Duration) bool {
	age, ok := c.AgeAt(now)
	return ok && age <= MaxStaleness
}

// AttestationsAt returns the instant of each data centre's latest attestation for the current revision, including the
// attestation of this instance.
func (c LocalCopy) AttestationsAt(now time.Duration) map[string]time.Duration {
	attestations := maps.Clone(c.attestations)
	if attestations == nil {
		attestations = make(map[string]time.Duration, 1)
	}
	if c.canAttest() {
		attestations[c.ownDataCentre] = now
	}
	return attestations
}

// canAttest reports whether the instance may attest for its data centre. A relay may do so only once its document was
// confirmed after it became a relay: a change before that may have been sent to the previous relays only.
func (c LocalCopy) canAttest() bool {
	return c.relay && c.hasConfirmation && c.confirmedAt >= c.relaySince && c.canUseAttestations()
}

// canUseAttestations reports whether attestations may confirm the document. After a data centre was removed from the
// list they may do so only once the document was confirmed again: the latest change may have been committed in the
// removed data centre and be known only to the store.
func (c LocalCopy) canUseAttestations() bool {
	return !c.dataCentreRemoved || (c.hasConfirmation && c.confirmedAt >= c.dataCentreRemovedAt)
}

// attestedByAll returns the earliest of the latest attestations of all data centres. A committed change is known to the
// relays of the data centre where it was committed, so no newer document was committed up to that instant.
func (c LocalCopy) attestedByAll(now time.Duration) (time.Duration, bool) {
	if len(c.dataCentres) == 0 || !c.canUseAttestations() {
		return 0, false
	}
	attestations := c.AttestationsAt(now)
	earliest := now
	for _, name := range c.dataCentres {
		at, found := attestations[name]
		if !found {
			return 0, false
		}
		earliest = min(earliest, at)
	}
	return earliest, true
}
