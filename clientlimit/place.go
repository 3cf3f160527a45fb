package clientlimit

import (
	"container/list"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// Place is the place of one client and what the client holds. A nil Place has no limits. It is safe for concurrent use.
type Place struct {
	guard   *Guard
	address string
	evict   func()

	// The following fields are protected by the guard's lock. element is set until the client has presented a key, or has
	// lost its place before.
	element         *list.Element
	key             string
	seated          bool
	isLoan          bool
	state, messages int64
}

// Seat gives the client a place under its key. It fails with kind NoConnection if the key or the address has its share of
// the places.
func (p *Place) Seat(key string) error {
	if p == nil {
		return nil
	}
	g := p.guard
	g.mu.Lock()
	allowed := p.element != nil && g.seats.allows(key, 1, keyFactor) && g.addresses.allows(p.address, 1, addressFactor)
	if allowed {
		g.leaveStarting(p)
		g.seats.add(key, 1)
		g.addresses.add(p.address, 1)
		p.key, p.seated = key, true
	}
	g.mu.Unlock()
	if allowed {
		return nil
	}
	g.Report(Places)
	return port.Errorf(port.NoConnection, "too many clients of this key or address are connected to the instance")
}

// TakeMessage takes n bytes for a message. It reports false if there are none for this client, or if it has not presented
// a key. Running work may also use the reserve.
func (p *Place) TakeMessage(n int64, isRunning bool) bool {
	if p == nil {
		return true
	}
	g := p.guard
	g.mu.Lock()
	allowed := (p.seated || p.isLoan) && (g.messages.allows(p.key, n, keyFactor) ||
		isRunning && g.messages.share.Used+n <= g.plan.Messages+g.plan.Reserve)
	if allowed {
		g.messages.add(p.key, n)
		p.messages += n
	}
	g.mu.Unlock()
	if !allowed {
		g.Report(MessageMemory)
	}
	return allowed
}

// GiveMessage gives back n bytes.
func (p *Place) GiveMessage(n int64) {
	if p == nil || n == 0 {
		return
	}
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	// Close may have given back everything.
	n = min(n, p.messages)
	p.guard.messages.add(p.key, -n)
	p.messages -= n
}

// SetState sets the size of the client's session state. It fails with kind Busy if there is no memory for it; the size is
// then unchanged.
func (p *Place) SetState(size int) error {
	if p == nil {
		return nil
	}
	g, n := p.guard, int64(max(size-UncountedState, 0))
	g.mu.Lock()
	allowed := n <= p.state || g.state.allows(p.key, n-p.state, keyFactor)
	if allowed {
		g.state.add(p.key, n-p.state)
		p.state = n
	}
	g.mu.Unlock()
	if allowed {
		return nil
	}
	g.Report(StateMemory)
	return port.Errorf(port.Busy, "the memory for session values and prepared statements is used up")
}

// Report records that the client has reached a limit.
func (p *Place) Report(limit Limit) {
	if p != nil {
		p.guard.Report(limit)
	}
}

// Close gives back everything that the client holds. It may be called more than once.
func (p *Place) Close() {
	if p == nil {
		return
	}
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.element != nil {
		g.leaveStarting(p)
	}
	if p.seated {
		g.seats.add(p.key, -1)
		g.addresses.add(p.address, -1)
		p.seated = false
	}
	g.state.add(p.key, -p.state)
	g.messages.add(p.key, -p.messages)
	p.state, p.messages, p.isLoan = 0, 0, false
}

// HoldMessage records n bytes of an answer that exists already. GiveMessage gives them back. It reports whether the
// clients now hold more than all messages may have, so that slow readers have to be given less time.
func (p *Place) HoldMessage(n int64) (isOver bool) {
	if p == nil {
		return false
	}
	g := p.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.messages.add(p.key, n)
	p.messages += n
	return g.messages.share.Used > g.plan.Messages+g.plan.Reserve
}

// OpenLoan returns a place for the requests that another instance sends for clients of the organisation. It takes no seat;
// only the memory of its messages is limited. Close must be called at the end.
func (g *Guard) OpenLoan(organisation string) *Place {
	if g == nil {
		return nil
	}
	return &Place{guard: g, key: "loan/" + organisation, isLoan: true}
}
