package spec

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// LedgerBounds limits the exploration of the ledger model. A holder that is paused, dead or cut off is one that takes
// no step, and a store that is down is one that takes no update, so neither has a bound of its own.
type LedgerBounds struct {
	// Holders is the number of instances. One that takes its first step late replaces one that died.
	Holders int
	// Ticks is the number of short times that pass.
	Ticks int
	// Silences is the number of times of an hour that pass.
	Silences int
	// Updates is the number of updates that all holders together send to the store.
	Updates int
	// Checks is the number of statements that are interrupted between the reading of the clock and the check.
	Checks int
	// Fall makes the limit fall to half.
	Fall bool
}

// LedgerFaults takes guards out of the store and of the holders, to show that the invariants need them.
type LedgerFaults struct {
	// IgnoreVersion lets the store take an update that was built on another version.
	IgnoreVersion bool
	// ReclaimWithoutMargin takes a share back after the time of a lease by the observer's own clock.
	ReclaimWithoutMargin bool
	// ReclaimStanding reserves no seat for a holder whose share is taken back.
	ReclaimStanding bool
	// GiveWithoutWithholding leaves the holder its share until the update that gives it back is answered.
	GiveWithoutWithholding bool
	// IgnoreFall keeps the share of a holder that has learned of a lower limit.
	IgnoreFall bool
	// GrantOldLimit grants a share under the limit of an update that was sent before the limit fell.
	GrantOldLimit bool
	// KeepCutTokens returns the tokens that a lower limit cut off with the next answer.
	KeepCutTokens bool
	// OpenAboveBound lets the database server take more connections than its bound.
	OpenAboveBound bool
}

// Times of the ledger model. The clocks of two holders run at speeds that differ by less than the 10 % that the
// reclaim allows for, so that the third tick lies between the ends of a lease by the two clocks.
const (
	slowTick    = 9900 * time.Millisecond
	fastTick    = 10800 * time.Millisecond
	slowSilence = 3300 * time.Second
	fastSilence = 3600 * time.Second
	// maxCheckTime is the time from which the limiter refuses a statement, because its check took too long.
	maxCheckTime = time.Second
)

// ledgerAttempt is an update whose outcome the holder does not know.
type ledgerAttempt struct {
	version uint64
	sent    time.Duration
	ledger  allotment.Ledger
	entry   allotment.Entry
	taken   allotment.Statements
	given   allotment.Statements
}

// ledgerHolder is an instance. Its fields are those of the product's account and limiter.
type ledgerHolder struct {
	holding   allotment.Holding
	sightings allotment.LeaseObservations
	lease     uint64
	held      bool
	attempts  []ledgerAttempt
	withheld  allotment.Statements
	// limit is the limit that the holder knows, granted the one under which it got or lowered its share.
	limit   allotment.Limit
	granted allotment.Limit
	// checking is true while a statement is between the reading of the clock at checked and its check.
	checking bool
	checked  time.Duration
	open     int
	// ceiling is the number of connections that is due, which may be less than the share.
	ceiling int
}

// allowed returns the connections that the holder may have at an instant of its clock.
func (h ledgerHolder) allowed(now time.Duration) int {
	return min(h.holding.At(now).MaxConnections(), h.ceiling)
}

// ledgerMessage is an update on its way to the store.
type ledgerMessage struct {
	holder  int
	attempt ledgerAttempt
}

// ledgerState is one ledger in the store and its holders.
type ledgerState struct {
	bounds   LedgerBounds
	faults   LedgerFaults
	before   allotment.Limit
	after    allotment.Limit
	ledger   allotment.Ledger
	version  uint64
	holders  []ledgerHolder
	messages []ledgerMessage
	ticks    int
	silences int
	updates  int
	checks   int
	// allowance is the number of statements that may be admitted now, counted apart from the product.
	allowance int64
	broken    string
}

// NewRateLedger returns the initial state of a ledger of a rate: nobody has a share.
func NewRateLedger(bounds LedgerBounds, faults LedgerFaults) State {
	const burst = 4
	total := allotment.Amount{Rate: allotment.Statement / 10, Burst: burst * allotment.Statement}
	return newLedger(bounds, faults, total)
}

// NewConnectionLedger returns the initial state of a ledger of connections: nobody has a share.
func NewConnectionLedger(bounds LedgerBounds, faults LedgerFaults) State {
	const connections = 2
	return newLedger(bounds, faults, allotment.Amount{Connections: connections})
}

func newLedger(bounds LedgerBounds, faults LedgerFaults, total allotment.Amount) State {
	half := allotment.Amount{Rate: total.Rate / 2, Burst: total.Burst / 2, Connections: total.Connections / 2}
	s := ledgerState{
		bounds: bounds, faults: faults, allowance: int64(total.Burst),
		before: allotment.Limit{Name: "limit", Total: total, MaxFallbackHolders: 1, Revision: 1},
		after:  allotment.Limit{Name: "limit", Total: half, MaxFallbackHolders: 1, Revision: 2},
	}
	for range bounds.Holders {
		s.holders = append(s.holders, ledgerHolder{limit: s.before})
	}
	return s
}

func holderName(i int) string { return fmt.Sprintf("h%d", i) }

// now is the instant by the holder's own clock. The first holder's clock is slow.
func (s ledgerState) now(holder int) time.Duration {
	if holder == 0 {
		return time.Duration(s.ticks)*slowTick + time.Duration(s.silences)*slowSilence
	}
	return time.Duration(s.ticks)*fastTick + time.Duration(s.silences)*fastSilence
}

func (s ledgerState) countsConnections() bool { return s.before.Total.Connections > 0 }

// Key identifies the state.
func (s ledgerState) Key() string {
	messages := make([]string, len(s.messages))
	for i, m := range s.messages {
		messages[i] = fmt.Sprint(m)
	}
	slices.Sort(messages)
	return fmt.Sprint(s.ledger, s.version, s.holders, messages, s.ticks, s.silences, s.updates, s.checks, s.allowance,
		s.broken)
}

// Violation describes the broken invariant.
func (s ledgerState) Violation() string {
	if s.broken != "" {
		return s.broken
	}
	total := s.totalInForce()
	allowed, open := 0, 0
	for i, h := range s.holders {
		allowed += h.allowed(s.now(i))
		open += h.open
	}
	if allowed > int(total.Connections) {
		return fmt.Sprintf("holders may use %d connections of %d", allowed, total.Connections)
	}
	if open > int(s.before.Total.Connections) {
		return fmt.Sprintf("holders have %d connections open of %d", open, s.before.Total.Connections)
	}
	return ""
}

// totalInForce is the lower total as soon as every holder knows it.
func (s ledgerState) totalInForce() allotment.Amount {
	for _, h := range s.holders {
		if h.limit.Revision < s.after.Revision {
			return s.before.Total
		}
	}
	return s.after.Total
}

// Next returns the states after one event.
func (s ledgerState) Next() []Step {
	steps := s.times()
	for i := range s.holders {
		steps = append(steps, s.syncs(i)...)
		steps = append(steps, s.statements(i)...)
		steps = append(steps, s.connections(i)...)
		steps = append(steps, s.falls(i)...)
	}
	return append(steps, s.deliveries()...)
}

// clone copies what the steps change in place.
func (s ledgerState) clone() ledgerState {
	s.holders = slices.Clone(s.holders)
	s.messages = slices.Clone(s.messages)
	return s
}

// times lets time pass.
func (s ledgerState) times() []Step {
	var steps []Step
	if s.ticks < s.bounds.Ticks {
		n := s.clone()
		n.ticks++
		n.allow(fastTick)
		steps = append(steps, Step{"10 s pass", n})
	}
	if s.silences < s.bounds.Silences {
		n := s.clone()
		n.silences++
		n.allow(fastSilence)
		steps = append(steps, Step{"an hour passes", n})
	}
	return steps
}

// allow adds what the rate brings in a time, up to the burst.
func (s *ledgerState) allow(d time.Duration) {
	total := s.totalInForce()
	s.allowance = min(int64(total.Burst), s.allowance+int64(total.Rate)*d.Milliseconds()/time.Second.Milliseconds())
}

// statements lets a holder check a statement, at once or with an interruption after it has read its clock.
func (s ledgerState) statements(i int) []Step {
	if s.countsConnections() {
		return nil
	}
	var steps []Step
	h := s.holders[i]
	if h.checking {
		n := s.clone()
		n.holders[i].checking = false
		n.admit(i, h.checked)
		return append(steps, Step{fmt.Sprintf("%s ends the check it began at %s", holderName(i), h.checked), n})
	}
	if s.checks < s.bounds.Checks && h.held {
		n := s.clone()
		n.checks++
		n.holders[i].checking, n.holders[i].checked = true, s.now(i)
		steps = append(steps, Step{holderName(i) + " is interrupted after it has read its clock", n})
	}
	if _, ok := h.holding.Take(s.now(i)); ok {
		n := s.clone()
		n.admit(i, s.now(i))
		steps = append(steps, Step{holderName(i) + " admits a statement", n})
	}
	return steps
}

// admit checks a statement with the instant that the holder has read, and refuses it when that took too long. A
// statement counts at the check: the instant of the clock when it is in time, and the present one when it is late.
func (s *ledgerState) admit(i int, checked time.Duration) {
	holding, ok := s.holders[i].holding.Take(checked)
	s.holders[i].holding = holding
	if !ok || s.now(i)-checked >= maxCheckTime {
		return
	}
	s.allowance -= int64(allotment.Statement)
	if s.allowance < 0 {
		s.broken = fmt.Sprintf("statement of %s is above the rate and burst", holderName(i))
	}
}

// connections lets a holder open a connection as far as it is allowed to, or close one. A connection stays open when
// the share falls, because a transaction may run on it or the holder may be paused.
func (s ledgerState) connections(i int) []Step {
	var steps []Step
	open := 0
	for _, h := range s.holders {
		open += h.open
	}
	room := open < int(s.before.Total.Connections) || s.faults.OpenAboveBound
	if s.holders[i].open < s.holders[i].allowed(s.now(i)) && room {
		n := s.clone()
		n.holders[i].open++
		steps = append(steps, Step{holderName(i) + " opens a connection", n})
	}
	if s.holders[i].open > 0 {
		n := s.clone()
		n.holders[i].open--
		steps = append(steps, Step{holderName(i) + " closes a connection", n})
	}
	return steps
}

// falls lets a holder learn of the lower limit.
func (s ledgerState) falls(i int) []Step {
	if !s.bounds.Fall || s.holders[i].limit.Revision >= s.after.Revision {
		return nil
	}
	n := s.clone()
	h := &n.holders[i]
	h.limit = s.after
	if !s.faults.IgnoreFall {
		h.shrink(s.now(i), s.after, s.faults.KeepCutTokens)
	}
	n.allow(0)
	return []Step{{holderName(i) + " learns of the lower limit", n}}
}

// shrink is what the product's limiter does with a lower limit. The tokens that it cuts off count as spent.
func (h *ledgerHolder) shrink(now time.Duration, limit allotment.Limit, keepTokens bool) {
	holding, tokens := h.holding.WithLimitAtMost(now, h.granted.Total, limit.Total)
	h.holding, h.withheld = holding, h.withheld+tokens
	if !keepTokens && !limit.Total.Covers(h.granted.Total) {
		h.withheld = 0
	}
	h.granted = limit
}

// deliveries lets the store take an update, whose answer is heard or lost. An update that is built on an older version
// can no longer take effect, and its answer tells the holder nothing.
func (s ledgerState) deliveries() []Step {
	var steps []Step
	for k, m := range s.messages {
		n := s.clone()
		n.messages = slices.Delete(n.messages, k, k+1)
		n.store(m.attempt.ledger)
		event := fmt.Sprintf("the store takes update %d of %s", m.attempt.entry.Lease, holderName(m.holder))
		steps = append(steps, Step{event + ", its answer is lost", n})
		heard := n.clone()
		h := &heard.holders[m.holder]
		h.sightings = h.sightings.WithLedger(s.now(m.holder), m.attempt.ledger)
		heard.confirm(m.holder, m.attempt)
		steps = append(steps, Step{event, heard})
	}
	return steps
}

// store puts a ledger in the place of the stored one.
func (s *ledgerState) store(l allotment.Ledger) {
	held, most := l.Allocated(), l.Limit.Total.Max(s.ledger.Allocated())
	if !most.Covers(held) {
		s.broken = fmt.Sprintf("entries and seats hold %v of %v", held, most)
	}
	if !l.IsOvercommitted() && held.Plus(l.Free()) != l.Limit.Total {
		s.broken = fmt.Sprintf("entries, seats and pool are %v of %v", held.Plus(l.Free()), l.Limit.Total)
	}
	if err := l.Check(); err != nil {
		s.broken = err.Error()
	}
	s.ledger = l
	s.version++
	if !s.faults.IgnoreVersion {
		s.messages = nil
	}
}
