package allotment

import (
	"errors"
	"fmt"
)

// ErrInvalid is wrapped by the errors of Check.
var ErrInvalid = errors.New("invalid ledger")

// maxTotal bounds a rate, a burst and a number of connections, so that sums stay in range.
const maxTotal = 1 << 52

// Check reports whether the ledger is one that edits can produce. That more is held than the limit allows is no
// fault: the limit may have fallen.
func (l Ledger) Check() error {
	if err := l.Limit.check(); err != nil {
		return err
	}
	seen := make(map[string]bool, len(l.Entries)+len(l.Reservations))
	for i, e := range l.Entries {
		if i > 0 && l.Entries[i-1].Holder >= e.Holder {
			return fmt.Errorf("%w: entries are not in order of holders", ErrInvalid)
		}
		if err := e.check(); err != nil {
			return err
		}
		seen[e.Holder] = true
	}
	for _, s := range l.Reservations {
		if s.Holder == "" || seen[s.Holder] {
			return fmt.Errorf("%w: seat of holder %q is empty or second", ErrInvalid, s.Holder)
		}
		if !s.Share.isValid() {
			return fmt.Errorf("%w: seat of holder %q reserves %v", ErrInvalid, s.Holder, s.Share)
		}
		seen[s.Holder] = true
	}
	if l.Taken < 0 {
		return fmt.Errorf("%w: %d tokens were taken from the pool", ErrInvalid, l.Taken)
	}
	if l.Tokens < 0 || l.Tokens > l.Free().Burst {
		return fmt.Errorf("%w: %d tokens in a pool with a burst of %d", ErrInvalid, l.Tokens, l.Free().Burst)
	}
	return nil
}

func (l Limit) check() error {
	if l.Name == "" {
		return fmt.Errorf("%w: limit has no name", ErrInvalid)
	}
	if !l.Total.isValid() {
		return fmt.Errorf("%w: limit %q has total %v", ErrInvalid, l.Name, l.Total)
	}
	if l.MaxFallbackHolders < 0 {
		return fmt.Errorf("%w: limit %q has %d seats", ErrInvalid, l.Name, l.MaxFallbackHolders)
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
		return fmt.Errorf("%w: holder %q has a standing share above its share", ErrInvalid, e.Holder)
	}
	return nil
}

func (a Amount) isValid() bool {
	return !a.isNegative() && a.Rate <= maxTotal && a.Burst <= maxTotal && a.Connections <= maxTotal
}
