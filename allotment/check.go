package allotment

import (
	"errors"
	"fmt"
)

// ErrInvalid is wrapped by the errors of Check.
var ErrInvalid = errors.New("invalid ledger")

// maxTotal bounds a rate, a burst and a number of connections, so that sums stay in range.
const maxTotal = 1 << 52

// Check returns an error if the ledger is not one that edits can produce. Allocating more than the limit allows is
// valid, because the limit may have been lowered.
func (l Ledger) Check() error {
	if err := l.Limit.check(); err != nil {
		return err
	}
	seen := make(map[string]bool, len(l.Entries)+len(l.Reservations))
	for i, e := range l.Entries {
		if i > 0 && l.Entries[i-1].Holder >= e.Holder {
			return fmt.Errorf("%w: entries are not sorted by holder", ErrInvalid)
		}
		if err := e.check(); err != nil {
			return err
		}
		seen[e.Holder] = true
	}
	for _, r := range l.Reservations {
		if r.Holder == "" || seen[r.Holder] {
			return fmt.Errorf("%w: reservation of holder %q has no holder or is a duplicate", ErrInvalid, r.Holder)
		}
		if !r.Share.isValid() {
			return fmt.Errorf("%w: reservation of holder %q has the invalid share %v", ErrInvalid, r.Holder, r.Share)
		}
		seen[r.Holder] = true
	}
	if l.Taken < 0 {
		return fmt.Errorf("%w: number of tokens taken from the pool is %d", ErrInvalid, l.Taken)
	}
	if l.Tokens < 0 || l.Tokens > l.Free().Burst {
		return fmt.Errorf("%w: pool has %d tokens and a free burst of %d", ErrInvalid, l.Tokens, l.Free().Burst)
	}
	return nil
}

func (l Limit) check() error {
	if l.Name == "" {
		return fmt.Errorf("%w: limit has no name", ErrInvalid)
	}
	if !l.Total.isValid() {
		return fmt.Errorf("%w: limit %q has the invalid total %v", ErrInvalid, l.Name, l.Total)
	}
	if l.MaxFallbackHolders < 0 {
		return fmt.Errorf("%w: limit %q has the invalid number %d of fallback holders", ErrInvalid, l.Name, l.MaxFallbackHolders)
	}
	return nil
}

func (e Entry) check() error {
	if e.Holder == "" {
		return fmt.Errorf("%w: entry has no holder", ErrInvalid)
	}
	if !e.Share.isValid() || !e.Wanted.isValid() || e.Fallback.isNegative() {
		return fmt.Errorf("%w: entry of holder %q has an amount out of range", ErrInvalid, e.Holder)
	}
	if !e.Share.Covers(e.Fallback) {
		return fmt.Errorf("%w: holder %q has a fallback share above its share", ErrInvalid, e.Holder)
	}
	return nil
}

func (a Amount) isValid() bool {
	return !a.isNegative() && a.Rate <= maxTotal && a.Burst <= maxTotal && a.Connections <= maxTotal
}
