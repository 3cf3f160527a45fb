package spec

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// LedgerBounds limits the exploration of the ledger model. A holder that is paused, crashed or partitioned is modelled
// as one without further steps, and a store that is down as one that accepts no update, so neither has a bound.
type LedgerBounds struct {
	// Holders is the number of instances. One whose first step comes late models the replacement of a crashed one.
	Holders int
	// Ticks is the number of times that about 10 s pass.
	Ticks int
	// Hours is the number of times that about an hour passes.
	Hours int
	// Updates is the total number of updates that the holders send to the store.
	Updates int
	// Interruptions is the number of statements whose check is interrupted after it has read the clock.
	Interruptions int
	// LowerLimit halves the limit.
	LowerLimit bool
}

// LedgerFaults disables guards of the store and of the holders, to show that the invariants depend on them.
type LedgerFaults struct {
	// IgnoreVersion lets the store accept an update that is based on an outdated version.
	IgnoreVersion bool
	// ReclaimWithoutMargin reclaims a share once the lease has expired by the observer's own clock.
	ReclaimWithoutMargin bool
	// ReclaimFallback leaves no reservation for a holder whose share is reclaimed.
	ReclaimFallback bool
	// ReturnWithoutWithholding lets the holder use a share until the update that returns it is acknowledged.
	ReturnWithoutWithholding bool
	// IgnoreLowerLimit lets a holder that knows of a lower limit keep its share.
	IgnoreLowerLimit bool
	// GrantStaleLimit grants a share under the limit of an update that was sent before the limit fell.
	GrantStaleLimit bool
	// KeepExcessTokens lets a holder have the tokens above a lower limit back with the next response.
	KeepExcessTokens bool
	// ExceedServerLimit lets the database server accept more connections than its limit.
	ExceedServerLimit bool
}

// Times of the ledger model. The speeds of two holders' clocks differ by less than the 10 % that a reclaim allows for.
// By the fast clock a lease has expired at the third tick, by the slow one it has not.
const (
	slowTick = 9900 * time.Millisecond
	fastTick = 10800 * time.Millisecond
	slowHour = 3300 * time.Second
	fastHour = 3600 * time.Second
	// maxCheckTime is the duration of a check from which the limiter refuses the statement.
	maxCheckTime = time.Second
)

// ledgerAttempt is an update whose outcome is unknown to the holder.
type ledgerAttempt struct {
	version        uint64
	sentAt         time.Duration
	ledger         allotment.Ledger
	entry          allotment.Entry
	tokensTaken    allotment.Statements
	tokensReturned allotment.Statements
}

// ledgerHolder is an instance, with the state of the product's account and limiter.
type ledgerHolder struct {
	holding      allotment.Holding
	observations allotment.LeaseObservations
	lease        uint64
	hasEntry     bool
	attempts     []ledgerAttempt
	withheld     allotment.Statements
	// limit is the latest limit that the holder knows, grantedLimit the one under which its share was granted or lowered.
	limit        allotment.Limit
	grantedLimit allotment.Limit
	// isChecking is true while the check of a statement, which read the clock at checkStart, is interrupted.
	isChecking bool
	checkStart time.Duration
	open       int
	// targetConnections is the planned number of connections, which may be less than the share.
	targetConnections int
}

// maxConnections returns the number of connections that the holder may use at a time of its own clock.
func (h ledgerHolder) maxConnections(now time.Duration) int {
	return min(h.holding.At(now).MaxConnections(), h.targetConnections)
}

// ledgerMessage is an update in flight to the store.
type ledgerMessage struct {
	holder  int
	attempt ledgerAttempt
}

// ledgerState is one ledger in the store and its holders.
type ledgerState struct {
	bounds        LedgerBounds
	faults        LedgerFaults
	initialLimit  allotment.Limit
	loweredLimit  allotment.Limit
	ledger        allotment.Ledger
	version       uint64
	holders       []ledgerHolder
	messages      []ledgerMessage
	ticks         int
	hours         int
	updates       int
	interruptions int
	// allowance is the number of statements that may be admitted now, counted independently of the product.
	allowance int64
	violation string
}

// NewRateLedger returns the initial state of a ledger for a rate limit, without any shares.
func NewRateLedger(bounds LedgerBounds, faults LedgerFaults) State {
	const burst = 4
	total := allotment.Amount{Rate: allotment.Statement / 10, Burst: burst * allotment.Statement}
	return newLedger(bounds, faults, total)
}

// NewConnectionLedger returns the initial state of a ledger for a connection limit, without any shares.
func NewConnectionLedger(bounds LedgerBounds, faults LedgerFaults) State {
	const connections = 2
	return newLedger(bounds, faults, allotment.Amount{Connections: connections})
}

func newLedger(bounds LedgerBounds, faults LedgerFaults, total allotment.Amount) State {
	half := allotment.Amount{Rate: total.Rate / 2, Burst: total.Burst / 2, Connections: total.Connections / 2}
	s := ledgerState{
		bounds: bounds, faults: faults, allowance: int64(total.Burst),
		initialLimit: allotment.Limit{Name: "limit", Total: total, MaxFallbackHolders: 1, Revision: 1},
		loweredLimit: allotment.Limit{Name: "limit", Total: half, MaxFallbackHolders: 1, Revision: 2},
	}
	for range bounds.Holders {
		s.holders = append(s.holders, ledgerHolder{limit: s.initialLimit})
	}
	return s
}

func holderName(i int) string { return fmt.Sprintf("h%d", i) }

// now returns the time by the holder's own clock. The clock of the first holder is slow.
func (s ledgerState) now(holder int) time.Duration {
	if holder == 0 {
		return time.Duration(s.ticks)*slowTick + time.Duration(s.hours)*slowHour
	}
	return time.Duration(s.ticks)*fastTick + time.Duration(s.hours)*fastHour
}

func (s ledgerState) countsConnections() bool { return s.initialLimit.Total.Connections > 0 }

func (s ledgerState) Key() string {
	messages := make([]string, len(s.messages))
	for i, m := range s.messages {
		messages[i] = fmt.Sprint(m)
	}
	slices.Sort(messages)
	return fmt.Sprint(s.ledger, s.version, s.holders, messages, s.ticks, s.hours, s.updates, s.interruptions, s.allowance,
		s.violation)
}

func (s ledgerState) Violation() string {
	if s.violation != "" {
		return s.violation
	}
	total := s.totalInForce()
	allowed, open := 0, 0
	for i, h := range s.holders {
		allowed += h.maxConnections(s.now(i))
		open += h.open
	}
	if allowed > int(total.Connections) {
		return fmt.Sprintf("holders may use %d connections of %d", allowed, total.Connections)
	}
	if open > int(s.initialLimit.Total.Connections) {
		return fmt.Sprintf("holders have %d connections open of %d", open, s.initialLimit.Total.Connections)
	}
	return ""
}

// totalInForce returns the lowered total once every holder knows it.
func (s ledgerState) totalInForce() allotment.Amount {
	for _, h := range s.holders {
		if h.limit.Revision < s.loweredLimit.Revision {
			return s.initialLimit.Total
		}
	}
	return s.loweredLimit.Total
}

func (s ledgerState) Next() []Step {
	steps := s.timeSteps()
	for i := range s.holders {
		steps = append(steps, s.syncSteps(i)...)
		steps = append(steps, s.statementSteps(i)...)
		steps = append(steps, s.connectionSteps(i)...)
		steps = append(steps, s.limitSteps(i)...)
	}
	return append(steps, s.deliverySteps()...)
}

// clone copies the slices that steps modify in place.
func (s ledgerState) clone() ledgerState {
	s.holders = slices.Clone(s.holders)
	s.messages = slices.Clone(s.messages)
	return s
}

func (s ledgerState) timeSteps() []Step {
	var steps []Step
	if s.ticks < s.bounds.Ticks {
		n := s.clone()
		n.ticks++
		n.refillAllowance(fastTick)
		steps = append(steps, Step{"10 s pass", n})
	}
	if s.hours < s.bounds.Hours {
		n := s.clone()
		n.hours++
		n.refillAllowance(fastHour)
		steps = append(steps, Step{"an hour passes", n})
	}
	return steps
}

// refillAllowance adds the statements that the rate allows within a duration, up to the burst.
func (s *ledgerState) refillAllowance(d time.Duration) {
	total := s.totalInForce()
	s.allowance = min(int64(total.Burst), s.allowance+int64(total.Rate)*d.Milliseconds()/time.Second.Milliseconds())
}

// statementSteps lets a holder check a statement, with or without an interruption after it has read its clock.
func (s ledgerState) statementSteps(i int) []Step {
	if s.countsConnections() {
		return nil
	}
	var steps []Step
	h := s.holders[i]
	if h.isChecking {
		n := s.clone()
		n.holders[i].isChecking = false
		n.admit(i, h.checkStart)
		return append(steps, Step{fmt.Sprintf("%s completes the check that it started at %s", holderName(i), h.checkStart), n})
	}
	if s.interruptions < s.bounds.Interruptions && h.hasEntry {
		n := s.clone()
		n.interruptions++
		n.holders[i].isChecking, n.holders[i].checkStart = true, s.now(i)
		steps = append(steps, Step{holderName(i) + " is interrupted after it has read its clock", n})
	}
	if _, ok := h.holding.Take(s.now(i)); ok {
		n := s.clone()
		n.admit(i, s.now(i))
		steps = append(steps, Step{holderName(i) + " admits a statement", n})
	}
	return steps
}

// admit checks a statement with the time that the holder has read, and refuses it when the check took too long. The
// statement counts against the allowance at the current time, not at the time that was read.
func (s *ledgerState) admit(i int, checkStart time.Duration) {
	holding, ok := s.holders[i].holding.Take(checkStart)
	s.holders[i].holding = holding
	if !ok || s.now(i)-checkStart >= maxCheckTime {
		return
	}
	s.allowance -= int64(allotment.Statement)
	if s.allowance < 0 {
		s.violation = fmt.Sprintf("statement of %s exceeds the rate and burst", holderName(i))
	}
}

// connectionSteps lets a holder open a connection within its share, or close one. A connection stays open when the share
// decreases, because a transaction may be running on it or the holder may be paused.
func (s ledgerState) connectionSteps(i int) []Step {
	var steps []Step
	open := 0
	for _, h := range s.holders {
		open += h.open
	}
	isBelowLimit := open < int(s.initialLimit.Total.Connections) || s.faults.ExceedServerLimit
	if s.holders[i].open < s.holders[i].maxConnections(s.now(i)) && isBelowLimit {
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

// limitSteps lets a holder learn of the lowered limit.
func (s ledgerState) limitSteps(i int) []Step {
	if !s.bounds.LowerLimit || s.holders[i].limit.Revision >= s.loweredLimit.Revision {
		return nil
	}
	n := s.clone()
	h := &n.holders[i]
	h.limit = s.loweredLimit
	if !s.faults.IgnoreLowerLimit {
		h.lowerLimit(s.now(i), s.loweredLimit, s.faults.KeepExcessTokens)
	}
	n.refillAllowance(0)
	return []Step{{holderName(i) + " learns of the lowered limit", n}}
}

// lowerLimit handles a lower limit like the product's limiter. The tokens above the limit count as spent.
func (h *ledgerHolder) lowerLimit(now time.Duration, limit allotment.Limit, keepExcess bool) {
	holding, tokens := h.holding.WithLimitAtMost(now, h.grantedLimit.Total, limit.Total)
	h.holding, h.withheld = holding, h.withheld+tokens
	if !keepExcess && !limit.Total.Covers(h.grantedLimit.Total) {
		h.withheld = 0
	}
	h.grantedLimit = limit
}

// deliverySteps lets the store accept an update, with its response received or lost. Updates that are based on an older
// version are left out: the store rejects them, and the response has no effect on the holder.
func (s ledgerState) deliverySteps() []Step {
	var steps []Step
	for k, m := range s.messages {
		n := s.clone()
		n.messages = slices.Delete(n.messages, k, k+1)
		n.storeLedger(m.attempt.ledger)
		event := fmt.Sprintf("the store accepts update %d of %s", m.attempt.entry.Lease, holderName(m.holder))
		steps = append(steps, Step{event + ", its response is lost", n})
		received := n.clone()
		h := &received.holders[m.holder]
		h.observations = h.observations.WithLedger(s.now(m.holder), m.attempt.ledger)
		received.confirm(m.holder, m.attempt)
		steps = append(steps, Step{event, received})
	}
	return steps
}

// storeLedger replaces the stored ledger and checks its invariants.
func (s *ledgerState) storeLedger(l allotment.Ledger) {
	allocated, maximum := l.Allocated(), l.Limit.Total.Max(s.ledger.Allocated())
	if !maximum.Covers(allocated) {
		s.violation = fmt.Sprintf("entries and reservations hold %v of %v", allocated, maximum)
	}
	if !l.IsOvercommitted() && allocated.Plus(l.Free()) != l.Limit.Total {
		s.violation = fmt.Sprintf("entries, reservations and pool are %v of %v", allocated.Plus(l.Free()), l.Limit.Total)
	}
	if err := l.Check(); err != nil {
		s.violation = err.Error()
	}
	s.ledger = l
	s.version++
	if !s.faults.IgnoreVersion {
		s.messages = nil
	}
}
