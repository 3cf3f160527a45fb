package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	// rollbackLimit is how long a rollback may take before the connection is closed instead.
	rollbackLimit = time.Second
	// leadCheck is how often an instance whose view has lapsed looks whether it was renewed.
	leadCheck = 20 * time.Millisecond
	// slowAnswer is how long an answer may take before the server is doubted. It is above what statements take that wait
	// in a server's full queue.
	slowAnswer = 350 * time.Millisecond
)

// Rates limits the operations of organisations over the whole fleet.
type Rates interface {
	// Take takes one operation. It fails with kind OverRate or ShareUnavailable.
	Take(ctx context.Context, organisation string) error
}

// Rules gives the document in force.
type Rules interface {
	// Rules returns the document in force and whether it may still be relied on.
	Rules() (document.Index, bool)
}

// HouseConfig is what a House needs.
type HouseConfig struct {
	Timer port.Timer
	Desk  *Desk
	Views *Views
	Rules Rules
	Rates Rates
	// IsIsolated reports whether the instance is cut off. It may be nil.
	IsIsolated func() bool
	// Recorder may be nil.
	Recorder Recorder
	// DocumentAge returns how long ago the document was known to be the newest. It may be nil.
	DocumentAge func() time.Duration
}

// House is what all sessions of an instance share.
type House struct {
	cfg      HouseConfig
	draining context.Context
	drain    context.CancelFunc

	mu sync.Mutex
	// staying ends when the sessions that have no transaction are to end.
	staying  context.Context
	dismiss  context.CancelFunc
	sessions sync.WaitGroup
	closers  sync.WaitGroup
}

// NewHouse returns a house without sessions.
func NewHouse(cfg HouseConfig) *House {
	if cfg.Recorder == nil {
		cfg.Recorder = silent{}
	}
	if cfg.IsIsolated == nil {
		cfg.IsIsolated = func() bool { return false }
	}
	if cfg.DocumentAge == nil {
		cfg.DocumentAge = func() time.Duration { return 0 }
	}
	draining, drain := context.WithCancel(context.Background())
	staying, dismiss := context.WithCancel(draining)
	return &House{cfg: cfg, draining: draining, drain: drain, staying: staying, dismiss: dismiss}
}

// Admit decides about a caller that names a route and presents a key.
func (h *House) Admit(route, key string) (organisation.Admitted, error) {
	rules, fresh := h.cfg.Rules.Rules()
	switch a := organisation.AdmitByKey(rules, route, key, fresh).(type) {
	case organisation.Admitted:
		return a, nil
	case organisation.Refused:
		return organisation.Admitted{}, a.Err()
	default:
		return organisation.Admitted{}, port.Failf(port.Internal, "admission has an unknown outcome %T", a)
	}
}

// Serve serves an admitted caller until it leaves or the instance has stopped.
func (h *House) Serve(ctx context.Context, c Caller, a organisation.Admitted) {
	h.sessions.Add(1)
	defer h.sessions.Done()
	NewSession(h, c, a).Run(ctx)
}

// Dismiss ends the present sessions as soon as they have no transaction, so that their callers connect elsewhere.
func (h *House) Dismiss() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dismiss()
	h.staying, h.dismiss = context.WithCancel(h.draining)
}

// stay returns a context that ends when the session is to end.
func (h *House) stay() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.staying
}

// Drain ends sessions as soon as they have no transaction, and waits until all have ended or ctx ends.
func (h *House) Drain(ctx context.Context) {
	h.drain()
	ended := make(chan struct{})
	go h.runDrain(ended)
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

func (h *House) runDrain(ended chan<- struct{}) {
	h.sessions.Wait()
	h.closers.Wait()
	close(ended)
}

// record notes what a request came to. Requests that the proxy answers by itself are left out unless they fail.
func (h *House) record(s *Session, req statement.Request, a statement.Answer, began time.Duration) {
	if a.Failure.IsZero() && a.Proof == "" {
		return
	}
	now := h.cfg.Timer.Now()
	rules, _ := h.cfg.Rules.Rules()
	h.cfg.Recorder.Note(RequestAnswered{
		ID: req.ID, Organisation: s.admitted.Organisation, Route: s.admitted.Route.Name,
		Group: s.admitted.Route.Group, Freshness: s.admitted.Route.Freshness, Kind: a.Failure.Kind,
		Reason: a.Failure.Text, Server: s.server, Tries: s.tries, Took: now - began,
		Revision: uint64(rules.Document().Revision), DocumentAge: h.cfg.DocumentAge(),
		PrimaryAge: now - h.cfg.Views.View(s.admitted.Route.Group).AskedAt,
	})
}

// recheck decides whether an admitted caller may run another operation.
func (h *House) recheck(a organisation.Admitted) (organisation.Admitted, statement.Failure) {
	rules, fresh := h.cfg.Rules.Rules()
	switch a := organisation.Recheck(rules, a, fresh).(type) {
	case organisation.Admitted:
		return a, statement.Failure{}
	case organisation.Refused:
		return organisation.Admitted{}, statement.Failure{Kind: a.Kind, Text: a.Reason}
	default:
		return organisation.Admitted{}, statement.Failure{Kind: port.Internal, Text: "admission has an unknown outcome"}
	}
}

func (h *House) transactionIdle() time.Duration {
	rules, _ := h.cfg.Rules.Rules()
	if ms := rules.Document().TransactionIdleMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultTransactionIdle
}

// do sends orders on the loan's connection and returns the first failure among the answers, or the last answer.
func (h *House) do(ctx context.Context, l *loan, orders ...statement.Order) (statement.Answer, error) {
	sent := h.cfg.Timer.Now()
	server := l.connection.Endpoint.Server
	stop := h.cfg.Timer.After(slowAnswer, func(time.Duration) { h.cfg.Desk.Doubt(server) })
	answers, err := l.connection.Link.Do(ctx, orders...)
	stop()
	if err != nil {
		h.cfg.Desk.Unreached(server)
		return statement.Answer{}, err
	}
	last := answers[len(answers)-1]
	l.state = last.State
	h.cfg.Desk.Heard(Answered{Server: server, Position: last.Position, SentAt: sent, At: h.cfg.Timer.Now()})
	for _, a := range answers[:len(answers)-1] {
		if !a.Failure.IsZero() {
			return statement.Answer{}, port.Failf(a.Failure.Kind, "the server refused a session value: %s", a.Failure.Text)
		}
	}
	return last, nil
}

// abandon rolls a loan's transaction back and returns its connection, without letting the caller wait.
func (h *House) abandon(l *loan) {
	if l.state == statement.Idle {
		h.cfg.Desk.Return(l.connection, true)
		return
	}
	c := &closer{house: h, loan: l}
	h.closers.Add(1)
	go c.run()
}

// abandonAfter returns the connection of a loan whose last statement had the outcome.
func (h *House) abandonAfter(l *loan, result outcome) {
	if result == lost || result == lostUnsent {
		h.cfg.Desk.Return(l.connection, false)
		return
	}
	h.abandon(l)
}

// closer is the duty that rolls one transaction back.
type closer struct {
	house *House
	loan  *loan
}

func (c *closer) run() {
	defer c.house.closers.Done()
	ctx, cancel := port.WithTimeout(context.Background(), c.house.cfg.Timer, rollbackLimit)
	defer cancel()
	_, err := c.house.do(ctx, c.loan, statement.Abandon{})
	c.house.cfg.Desk.Return(c.loan.connection, err == nil && c.loan.state == statement.Idle)
}

// stillLeads reports whether the loan's server is still the primary of the term under which the loan was made. A view
// that has lapsed may be renewed within confirmWait.
func (h *House) stillLeads(ctx context.Context, l *loan) bool {
	e := l.connection.Endpoint
	until := h.cfg.Timer.Now() + confirmWait
	for {
		view, now := h.cfg.Views.View(e.Group), h.cfg.Timer.Now()
		switch {
		case view.Leads(e.Server, l.term, now):
			return true
		case view.Record.Term != l.term || view.Record.Replacement != nil || now >= until:
			return false
		}
		if port.Wait(ctx, h.cfg.Timer, leadCheck) != nil {
			return false
		}
	}
}
