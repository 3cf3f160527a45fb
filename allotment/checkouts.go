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
func (c Checkouts) Total() int { return c.total }

// WithCheckout returns the checkouts after an organisation got a connection.
func (c Checkouts) WithCheckout(organisation string) Checkouts { return c.with(organisation, 1) }

// WithReturn returns the checkouts after an organisation returned a connection.
func (c Checkouts) WithReturn(organisation string) Checkouts {
	if c.held[organisation] == 0 {
		return c
	}
	return c.with(organisation, -1)
}

// WithLongHolders returns the checkouts after a periodic check, which found the organisations that have held one
// connection for at least the interval between two checks.
func (c Checkouts) WithLongHolders(organisations []string) Checkouts {
	if len(c.longHolders) == 0 && len(organisations) == 0 {
		return c
	}
	longHolders := make(map[string]int, len(c.longHolders)+len(organisations))
	for organisation, left := range c.longHolders {
		if left > 1 {
			longHolders[organisation] = left - 1
		}
	}
	for _, organisation := range organisations {
		longHolders[organisation] = longHolderChecks
	}
	c.longHolders = longHolders
	return c
}

// Admits reports whether an organisation may get another of the allowed connections. Long holders together get at most
// half of them, but at least one, because the connection of a running transaction cannot be revoked.
func (c Checkouts) Admits(organisation string, allowed int) bool {
	return c.longHolders[organisation] == 0 || c.heldByLong() < max(1, allowed/2)
}

// Demand returns how many connections the current holders and the waiters of a queue could use. While a long
// transaction runs, one more is requested for the others.
func (c Checkouts) Demand(q Queue) int {
	n := c.total + q.Len()
	if c.heldByLong() > 0 {
		return n + 1
	}
	return n
}

func (c Checkouts) heldByLong() int {
	n := 0
	for organisation := range c.longHolders {
		n += c.held[organisation]
	}
	return n
}

func (c Checkouts) with(organisation string, delta int) Checkouts {
	held := maps.Clone(c.held)
	if held == nil {
		held = make(map[string]int)
	}
	held[organisation] += delta
	if held[organisation] == 0 {
		delete(held, organisation)
	}
	c.total += delta
	c.held = held
	return c
}
