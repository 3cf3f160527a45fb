package allotment

import (
	"errors"
	"fmt"
	"time"
)

// Errors of edits that do not apply to the ledger.
var (
	ErrNoEntry      = errors.New("holder has no entry in the ledger")
	ErrRenewed      = errors.New("lease number has changed")
	ErrExceedsShare = errors.New("holder returns more than its share")
	ErrStaleLimit   = errors.New("limit is not of a newer revision")
	ErrStaleEpoch   = errors.New("pool has changed since it was read")
	ErrUnknownEdit  = errors.New("unknown edit")
)

// Edit is one change of a ledger.
type Edit interface{ edit() }

// Register adds an entry for a holder. Its share is empty, or the fallback share that is reserved for the holder.
type Register struct{ Holder string }

// Renew increases the holder's lease number and updates its fallback share.
type Renew struct {
	Holder string
	// Lease is greater than in any update that the holder has sent, so that the stored number tells which of several
	// unanswered updates took effect.
	Lease uint64
}

// SetWanted stores the amount that the holder could use, including its share.
type SetWanted struct {
	Holder string
	Wanted Amount
}

// Return returns a part of a share to the pool, with the unspent tokens that belong to it.
type Return struct {
	Holder string
	Share  Amount
	Tokens Statements
}

// Take moves up to Ask from the pool to the holder, and up to Tokens of the pool's tokens, limited by the holder's
// burst.
type Take struct {
	Holder string
	Ask    Amount
	Tokens Statements
}

// Deregister returns the holder's share to the pool and removes its entry or its reservation.
type Deregister struct {
	Holder string
	Tokens Statements
}

// Reclaim returns the share of a holder with an expired lease to the pool, except for its fallback share, which becomes
// a reservation. The holder's tokens count as spent.
type Reclaim struct {
	Holder string
	// Lease is the number that was observed unchanged for ReclaimAfter.
	Lease uint64
}

// Release returns a reservation to the pool whose holder has not updated the ledger for ReleaseAfter. Its tokens count
// as spent.
type Release struct {
	Holder string
	Lease  uint64
}

// Refill adds the tokens that have accrued in the pool at its free rate since the holder read the ledger. Tokens, Taken
// and Epoch are the values that it read, Elapsed is the time since then.
type Refill struct {
	Epoch   uint64
	Tokens  Statements
	Taken   Statements
	Elapsed time.Duration
}

// SetLimit puts the limit of a newer document into force.
type SetLimit struct{ Limit Limit }

func (Register) edit()   {}
func (Renew) edit()      {}
func (SetWanted) edit()  {}
func (Return) edit()     {}
func (Take) edit()       {}
func (Deregister) edit() {}
func (Reclaim) edit()    {}
func (Release) edit()    {}
func (Refill) edit()     {}
func (SetLimit) edit()   {}

// Grant is what an edit moved to the holder that made it.
type Grant struct {
	Share  Amount
	Tokens Statements
}

// Apply returns the ledger after the edit, and what the holder received.
func (l Ledger) Apply(edit Edit) (Ledger, Grant, error) {
	next, grant, err := l.apply(edit)
	if err != nil {
		return l, Grant{}, err
	}
	if next.Free() != l.Free() {
		next.Epoch++
	}
	return next, grant, nil
}

func (l Ledger) apply(edit Edit) (Ledger, Grant, error) {
	switch e := edit.(type) {
	case Register:
		return l.register(e), Grant{}, nil
	case Renew:
		return l.renew(e)
	case SetWanted:
		return l.setWanted(e)
	case Return:
		return l.giveBack(e)
	case Take:
		return l.take(e)
	case Deregister:
		return l.deregister(e)
	case Reclaim:
		return l.reclaim(e)
	case Release:
		return l.release(e)
	case Refill:
		return l.refill(e)
	case SetLimit:
		return l.setLimit(e)
	default:
		return l, Grant{}, fmt.Errorf("%w: %T", ErrUnknownEdit, edit)
	}
}

func (l Ledger) register(r Register) Ledger {
	if _, ok := l.Find(r.Holder); ok {
		return l
	}
	entry := Entry{Holder: r.Holder}
	if reservation, ok := l.FindReservation(r.Holder); ok {
		entry.Share, entry.Fallback, entry.Lease = reservation.Share, reservation.Share, reservation.Lease
		l = l.withoutReservation(r.Holder)
	}
	return l.withEntry(entry)
}

func (l Ledger) renew(r Renew) (Ledger, Grant, error) {
	entry, ok := l.Find(r.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	entry.Lease = max(entry.Lease+1, r.Lease)
	entry.Fallback = l.fallbackFor(entry)
	return l.withEntry(entry), Grant{}, nil
}

// fallbackFor returns the part of the entry's share that stays reserved after the lease expires. MaxFallbackHolders
// bounds how many holders have one, so that at most fallbackPercent of the total is ever reserved.
func (l Ledger) fallbackFor(e Entry) Amount {
	if e.Fallback.IsZero() && l.fallbackHolders() >= l.Limit.MaxFallbackHolders {
		return Amount{}
	}
	return l.Limit.FallbackShare().Min(e.Share)
}

func (l Ledger) setWanted(w SetWanted) (Ledger, Grant, error) {
	entry, ok := l.Find(w.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	entry.Wanted = w.Wanted.Min(l.Limit.Total).Max(Amount{})
	return l.withEntry(entry), Grant{}, nil
}

func (l Ledger) giveBack(r Return) (Ledger, Grant, error) {
	entry, ok := l.Find(r.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	if r.Share.isNegative() || !entry.Share.Covers(r.Share) {
		return l, Grant{}, ErrExceedsShare
	}
	entry.Share = entry.Share.Minus(r.Share)
	entry.Fallback = entry.Fallback.Min(entry.Share)
	return l.withEntry(entry).withTokens(min(r.Tokens, r.Share.Burst)), Grant{}, nil
}

func (l Ledger) take(t Take) (Ledger, Grant, error) {
	entry, ok := l.Find(t.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	share := t.Ask.Max(Amount{}).Min(l.Free())
	entry.Share = entry.Share.Plus(share)
	tokens := min(l.Tokens, max(t.Tokens, 0), entry.Share.Burst)
	// The tokens that stay in the pool must not exceed the remaining free burst.
	tokens = max(tokens, l.Tokens-max(l.Free().Burst-share.Burst, 0))
	l.Tokens -= tokens
	l.Taken += tokens
	return l.withEntry(entry), Grant{Share: share, Tokens: tokens}, nil
}

func (l Ledger) deregister(e Deregister) (Ledger, Grant, error) {
	entry, ok := l.Find(e.Holder)
	if !ok {
		return l.withoutReservation(e.Holder), Grant{}, nil
	}
	return l.withoutEntry(e.Holder).withTokens(min(e.Tokens, entry.Share.Burst)), Grant{}, nil
}

func (l Ledger) reclaim(r Reclaim) (Ledger, Grant, error) {
	entry, ok := l.Find(r.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	if entry.Lease != r.Lease {
		return l, Grant{}, ErrRenewed
	}
	l = l.withoutEntry(r.Holder)
	if entry.Fallback.IsZero() {
		return l, Grant{}, nil
	}
	return l.withReservation(Reservation{Holder: entry.Holder, Share: entry.Fallback, Lease: entry.Lease}), Grant{}, nil
}

func (l Ledger) release(r Release) (Ledger, Grant, error) {
	reservation, ok := l.FindReservation(r.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	if reservation.Lease != r.Lease {
		return l, Grant{}, ErrRenewed
	}
	return l.withoutReservation(r.Holder), Grant{}, nil
}

func (l Ledger) refill(f Refill) (Ledger, Grant, error) {
	if f.Epoch != l.Epoch {
		return l, Grant{}, ErrStaleEpoch
	}
	l.Tokens = max(l.Tokens, l.refilledTokens(f))
	return l, Grant{}, nil
}

// refilledTokens returns the lower bound on the tokens that a bucket with the free rate and burst has now, given that
// it had f.Tokens at the observation. In the worst case all that was taken since then was taken just now, after the
// bucket had overflowed.
func (l Ledger) refilledTokens(f Refill) Statements {
	free := l.Free()
	full := min(free.Burst, f.Tokens+accrued(free.Rate, max(f.Elapsed, 0)))
	return full - (l.Taken - f.Taken)
}

func (l Ledger) setLimit(s SetLimit) (Ledger, Grant, error) {
	if l.Limit.Name != "" && s.Limit.Revision <= l.Limit.Revision {
		return l, Grant{}, ErrStaleLimit
	}
	// A new ledger starts with a full pool, because nothing has been spent from it.
	if l.Limit.Name == "" {
		l.Tokens = s.Limit.Total.Burst
	}
	l.Limit = s.Limit
	return l.withTokens(0), Grant{}, nil
}
