package allotment

import "maps"

// longHolderChecks is for how many checks an organisation counts as a long holder after its last long transaction was
// detected. It has to cover the time until the next one is detected; with checks every 200 ms it is 10 s.
const longHolderChecks = 50

// Checkouts counts the connections from one instance to one server that are checked out by each organisation, and
// records which organisations run long transactions. A Checkouts is immutable; the zero value has none.
type Checkouts struct {
	total int
	held  map[string]int
	// longHolders maps each organisation that counts as a long holder to the number of remaining checks.
	longHolders map[string]int
}

// Total returns the number of connections that are checked out.
func (l Checkouts) Total() int { return l.total }

// WithCheckout returns the checkouts after an organisation got a connection.
func (l Checkouts) WithCheckout(organisation string) Checkouts { return l.with(organisation, 1) }

// WithReturn returns the checkouts after an organisation returned a connection.
func (l Checkouts) WithReturn(organisation string) Checkouts {
	if l.held[organisation] == 0 {
		return l
	}
	return l.with(organisation, -1)
}

// WithLongHolders returns the checkouts after a periodic check, which found the organisations that have held one
// connection for at least the interval between two checks.
func (l Checkouts) WithLongHolders(organisations []string) Checkouts {
	if len(l.longHolders) == 0 && len(organisations) == 0 {
		return l
	}
	longHolders := make(map[string]int, len(l.longHolders)+len(organisations))
	for organisation, left := range l.longHolders {
		if left > 1 {
			longHolders[organisation] = left - 1
		}
	}
	for _, organisation := range organisations {
		longHolders[organisation] = longHolderChecks
	}
	l.longHolders = longHolders
	return l
}

// Admits reports whether an organisation may get another of the allowed connections. Long holders together get at most
// half of them, but at least one, because the connection of a running transaction cannot be revoked.
func (l Checkouts) Admits(organisation string, allowed int) bool {
	return l.longHolders[organisation] == 0 || l.heldByLong() < max(1, allowed/2)
}

// Demand returns how many connections the current holders and the waiters of a queue could use. While a long
// transaction runs, one more is requested for the others.
func (l Checkouts) Demand(q Queue) int {
	n := l.total + q.Len()
	if l.heldByLong() > 0 {
		return n + 1
	}
	return n
}

func (l Checkouts) heldByLong() int {
	n := 0
	for organisation := range l.longHolders {
		n += l.held[organisation]
	}
	return n
}

func (l Checkouts) with(organisation string, delta int) Checkouts {
	held := maps.Clone(l.held)
	if held == nil {
		held = make(map[string]int)
	}
	held[organisation] += delta
	if held[organisation] == 0 {
		delete(held, organisation)
	}
	l.total += delta
	l.held = held
	return l
}
