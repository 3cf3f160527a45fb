package allotment

import (
	"errors"
	"fmt"
	"time"
)

// Errors of an edit that does not fit the ledger.
var (
	ErrNoEntry      = errors.New("holder has no entry in the ledger")
	ErrRenewed      = errors.New("lease number has changed")
	ErrExceedsShare = errors.New("holder gives back more than its share")
	ErrStaleLimit   = errors.New("limit is of an older revision")
	ErrStaleEpoch   = errors.New("pool has changed since it was seen")
	ErrUnknownEdit  = errors.New("unknown edit")
)

// Edit is one change of a ledger.
type Edit interface{ edit() }

// Register enters a holder with an empty share, or with its standing share when a seat is reserved for it.
type Register struct{ Holder string }

// Renew raises the holder's lease number and brings its standing share up to date.
type Renew struct {
	Holder string
	// Lease is greater than that of any update that the holder has sent, so that a number tells which of several
	// updates without an answer took effect.
	Lease uint64
}

// SetWanted states what the holder could use, its share included.
type SetWanted struct {
	Holder string
	Wanted Amount
}

// Return returns a part of a share to the pool, with the unspent tokens that go with it.
type Return struct {
	Holder string
	Share  Amount
	Tokens Statements
}

// Take moves up to Ask from the pool to the holder, and up to Tokens of the pool's tokens as far as the holder's burst
// has room for them.
type Take struct {
	Holder string
	Ask    Amount
	Tokens Statements
}

// Deregister returns everything that the holder has, its seat included.
type Deregister struct {
	Holder string
	Tokens Statements
}

// Reclaim returns the share of a holder whose lease has lapsed, but for its standing share. Its tokens count as spent.
type Reclaim struct {
	Holder string
	// Lease is the number that was seen unchanged for ReclaimAfter.
	Lease uint64
}

// Release returns the standing share of a holder that has been silent for VacateAfter. Its tokens count as spent.
type Release struct {
	Holder string
	Lease  uint64
}

// Refill adds the tokens that the pool's free rate has brought since the holder saw the pool. Tokens, Taken and Epoch are
// what it saw, Elapsed is the time since.
type Refill struct {
	Epoch   uint64
	Tokens  Statements
	Taken   Statements
	Elapsed time.Duration
}

// SetLimit puts the limit of a newer document in force.
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

// Grant is what an edit moved to the holder who made it.
type Grant struct {
	Share  Amount
	Tokens Statements
}

// Apply returns the ledger after the edit, and what the holder got.
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
		return l.claim(e), Grant{}, nil
	case Renew:
		return l.renew(e)
	case SetWanted:
		return l.want(e)
	case Return:
		return l.giveBack(e)
	case Take:
		return l.take(e)
	case Deregister:
		return l.leave(e)
	case Reclaim:
		return l.reclaim(e)
	case Release:
		return l.vacate(e)
	case Refill:
		return l.fill(e)
	case SetLimit:
		return l.relimit(e)
	default:
		return l, Grant{}, fmt.Errorf("%w: %T", ErrUnknownEdit, edit)
	}
}

func (l Ledger) claim(c Register) Ledger {
	if _, ok := l.Find(c.Holder); ok {
		return l
	}
	entry := Entry{Holder: c.Holder}
	if seat, ok := l.FindReservation(c.Holder); ok {
		entry.Share, entry.Fallback, entry.Lease = seat.Share, seat.Share, seat.Lease
		l = l.withoutSeat(c.Holder)
	}
	return l.withEntry(entry)
}

func (l Ledger) renew(r Renew) (Ledger, Grant, error) {
	entry, ok := l.Find(r.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	entry.Lease = max(entry.Lease+1, r.Lease)
	entry.Fallback = l.standingFor(entry)
	return l.withEntry(entry), Grant{}, nil
}

// standingFor returns the part of the entry's share that is reserved after a lapse. The number of seats bounds how
// many holders have one, so that at most standingPercent of the total is ever reserved.
func (l Ledger) standingFor(e Entry) Amount {
	if e.Fallback.IsZero() && l.seated() >= l.Limit.MaxFallbackHolders {
		return Amount{}
	}
	return l.Limit.FallbackShare().Min(e.Share)
}

func (l Ledger) want(w SetWanted) (Ledger, Grant, error) {
	entry, ok := l.Find(w.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	entry.Wanted = w.Wanted.Min(l.Limit.Total).Max(Amount{})
	return l.withEntry(entry), Grant{}, nil
}

func (l Ledger) giveBack(g Return) (Ledger, Grant, error) {
	entry, ok := l.Find(g.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	if g.Share.isNegative() || !entry.Share.Covers(g.Share) {
		return l, Grant{}, ErrExceedsShare
	}
	entry.Share = entry.Share.Minus(g.Share)
	entry.Fallback = entry.Fallback.Min(entry.Share)
	return l.withEntry(entry).withTokens(min(g.Tokens, g.Share.Burst)), Grant{}, nil
}

func (l Ledger) take(t Take) (Ledger, Grant, error) {
	entry, ok := l.Find(t.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	share := t.Ask.Max(Amount{}).Min(l.Free())
	entry.Share = entry.Share.Plus(share)
	tokens := min(l.Tokens, max(t.Tokens, 0), entry.Share.Burst)
	// What stays has to fit the free burst that is left.
	tokens = max(tokens, l.Tokens-max(l.Free().Burst-share.Burst, 0))
	l.Tokens -= tokens
	l.Taken += tokens
	return l.withEntry(entry), Grant{Share: share, Tokens: tokens}, nil
}

func (l Ledger) leave(e Deregister) (Ledger, Grant, error) {
	entry, ok := l.Find(e.Holder)
	if !ok {
		return l.withoutSeat(e.Holder), Grant{}, nil
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
	return l.withSeat(Reservation{Holder: entry.Holder, Share: entry.Fallback, Lease: entry.Lease}), Grant{}, nil
}

func (l Ledger) vacate(v Release) (Ledger, Grant, error) {
	seat, ok := l.FindReservation(v.Holder)
	if !ok {
		return l, Grant{}, ErrNoEntry
	}
	if seat.Lease != v.Lease {
		return l, Grant{}, ErrRenewed
	}
	return l.withoutSeat(v.Holder), Grant{}, nil
}

func (l Ledger) fill(f Refill) (Ledger, Grant, error) {
	if f.Epoch != l.Epoch {
		return l, Grant{}, ErrStaleEpoch
	}
	l.Tokens = max(l.Tokens, l.level(f))
	return l, Grant{}, nil
}

// level returns the least number of tokens that a bucket of the free rate and burst has now, if it had f.Tokens then.
// It is least when everything was taken just now, after the bucket had overflowed.
func (l Ledger) level(f Refill) Statements {
	free := l.Free()
	full := min(free.Burst, f.Tokens+accrued(free.Rate, max(f.Elapsed, 0)))
	return full - (l.Taken - f.Taken)
}

func (l Ledger) relimit(r SetLimit) (Ledger, Grant, error) {
	if l.Limit.Name != "" && r.Limit.Revision <= l.Limit.Revision {
		return l, Grant{}, ErrStaleLimit
	}
	// A new ledger starts with a full pool: nobody has spent anything from it.
	if l.Limit.Name == "" {
		l.Tokens = r.Limit.Total.Burst
	}
	l.Limit = r.Limit
	return l.withTokens(0), Grant{}, nil
}
