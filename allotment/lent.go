package allotment

import "maps"

// longChecks is how many checks an organisation counts as long after its last long transaction was seen. It has to
// cover the time until its next transaction is seen as long; with checks every 200 ms it is 10 s.
const longChecks = 50

// Checkouts counts the connections of one instance to one server that organisations hold, and knows which organisations
// run long transactions. A Lent is never changed in place. The zero value holds none.
type Checkouts struct {
	total int
	held  map[string]int
	// long holds the checks that are left for each organisation that counts as long.
	long map[string]int
}

// Total returns the number of connections that are held.
func (l Checkouts) Total() int { return l.total }

// WithCheckout returns the value after an organisation was given a connection.
func (l Checkouts) WithCheckout(organisation string) Checkouts { return l.with(organisation, 1) }

// WithReturn returns the value after an organisation has returned a connection.
func (l Checkouts) WithReturn(organisation string) Checkouts {
	if l.held[organisation] == 0 {
		return l
	}
	return l.with(organisation, -1)
}

// WithLongHolders returns the value after a regular look at the connections. seen are the organisations that have held one
// connection for at least the time between two looks.
func (l Checkouts) WithLongHolders(seen []string) Checkouts {
	if len(l.long) == 0 && len(seen) == 0 {
		return l
	}
	long := make(map[string]int, len(l.long)+len(seen))
	for organisation, left := range l.long {
		if left > 1 {
			long[organisation] = left - 1
		}
	}
	for _, organisation := range seen {
		long[organisation] = longChecks
	}
	l.long = long
	return l
}

// Admits reports whether an organisation may be given another of the allowed connections. Organisations with long
// transactions hold at most half of them together, and at least one, because the connection of a running transaction
// cannot be taken back.
func (l Checkouts) Admits(organisation string, allowed int) bool {
	return l.long[organisation] == 0 || l.longHeld() < max(1, allowed/2)
}

// Demand returns how many connections the holders and the waiters of a queue could use. Beside a long transaction one
// more is kept for the others.
func (l Checkouts) Demand(q Queue) int {
	n := l.total + q.Len()
	if l.longHeld() > 0 {
		return n + 1
	}
	return n
}

func (l Checkouts) longHeld() int {
	n := 0
	for organisation := range l.long {
		n += l.held[organisation]
	}
	return n
}

func (l Checkouts) with(organisation string, change int) Checkouts {
	held := maps.Clone(l.held)
	if held == nil {
		held = make(map[string]int)
	}
	held[organisation] += change
	if held[organisation] == 0 {
		delete(held, organisation)
	}
	l.total += change
	l.held = held
	return l
}
