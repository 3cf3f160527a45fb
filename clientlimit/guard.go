package clientlimit

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// Limit names a limit in metrics and in the log.
type Limit string

// The limits.
const (
	Places          Limit = "places"
	StartingPlaces  Limit = "starting"
	SessionState    Limit = "session_state"
	StateMemory     Limit = "state_memory"
	MessageMemory   Limit = "message_memory"
	MessageTime     Limit = "message_time"
	WriteTime       Limit = "write_time"
	IdleTransaction Limit = "idle_transaction"
	HTTPClients     Limit = "http_clients"
)

// All returns all limits.
func All() []Limit {
	return []Limit{
		Places, StartingPlaces, SessionState, StateMemory, MessageMemory, MessageTime, WriteTime, IdleTransaction, HTTPClients,
	}
}

// logPeriod is the shortest time between two log lines about one limit.
const logPeriod = 10 * time.Second

// Guard holds the places and the memory that the clients of a process have. It is safe for concurrent use.
type Guard struct {
	plan    Plan
	timer   port.Timer
	log     func(limit Limit, total uint64)
	reached map[Limit]*reachedLimit

	mu sync.Mutex
	// starting contains the places of clients without a key, the oldest first. startingAt is their number by address.
	starting   *list.List
	startingAt map[string]int
	// Seats and state are counted by key, seats also by address, and messages by key.
	seats, addresses, state, messages ledger
}

// reachedLimit counts how often a limit was reached.
type reachedLimit struct {
	total    atomic.Uint64
	loggedAt atomic.Int64
}

// NewGuard returns a guard without clients. log is called at most once in logPeriod for each limit; it may be nil.
func NewGuard(p Plan, timer port.Timer, log func(limit Limit, total uint64)) *Guard {
	if log == nil {
		log = func(Limit, uint64) {}
	}
	g := &Guard{
		plan: p, timer: timer, log: log, reached: make(map[Limit]*reachedLimit), starting: list.New(),
		startingAt: make(map[string]int), seats: newLedger(p.seats()), addresses: newLedger(p.seats()),
		state: newLedger(p.State), messages: newLedger(p.Messages),
	}
	for _, limit := range All() {
		g.reached[limit] = &reachedLimit{}
		g.reached[limit].loggedAt.Store(-int64(logPeriod))
	}
	return g
}

// Report records that a client has reached a limit, and logs it unless that was just done.
func (g *Guard) Report(limit Limit) {
	if g == nil {
		return
	}
	r := g.reached[limit]
	total, now := r.total.Add(1), int64(g.timer.Now())
	if last := r.loggedAt.Load(); now-last >= int64(logPeriod) && r.loggedAt.CompareAndSwap(last, now) {
		g.log(limit, total)
	}
}

// Total returns how often a limit was reached.
func (g *Guard) Total(limit Limit) uint64 { return g.reached[limit].total.Load() }

// MessageBytes and StateBytes return the memory that messages and session state have now, Clients the number of clients
// with a key.
func (g *Guard) MessageBytes() int64 { return g.used(&g.messages) }

// StateBytes is described at MessageBytes.
func (g *Guard) StateBytes() int64 { return g.used(&g.state) }

// Clients is described at MessageBytes.
func (g *Guard) Clients() int64 { return g.used(&g.seats) }

func (g *Guard) used(l *ledger) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return l.share.Used
}

// Open returns a place for a client that has not presented a key yet, or nil if all places have been taken by clients
// with keys. If there is no free place, the oldest client without a key of the address with most of them loses its place:
// evict is called for it, which must not block. Close must be called at the end.
func (g *Guard) Open(address string, evict func()) *Place {
	g.mu.Lock()
	var evicted *Place
	if int64(g.starting.Len())+g.seats.share.Used >= int64(g.plan.Places) {
		evicted = g.removeStarting()
		if evicted == nil {
			g.mu.Unlock()
			g.Report(Places)
			return nil
		}
	}
	p := &Place{guard: g, address: address, evict: evict}
	p.element = g.starting.PushBack(p)
	g.startingAt[address]++
	g.mu.Unlock()
	if evicted != nil {
		g.Report(StartingPlaces)
		evicted.evict()
	}
	return p
}

// removeStarting removes the oldest client of the address with most clients without a key. It returns nil if there is no
// such client.
func (g *Guard) removeStarting() *Place {
	most := 0
	for _, n := range g.startingAt {
		most = max(most, n)
	}
	for e := g.starting.Front(); e != nil; e = e.Next() {
		if p := e.Value.(*Place); g.startingAt[p.address] == most {
			g.leaveStarting(p)
			return p
		}
	}
	return nil
}

// leaveStarting removes a place from those of clients without a key.
func (g *Guard) leaveStarting(p *Place) {
	g.starting.Remove(p.element)
	p.element = nil
	if g.startingAt[p.address]--; g.startingAt[p.address] == 0 {
		delete(g.startingAt, p.address)
	}
}
