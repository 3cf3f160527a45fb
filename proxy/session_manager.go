package proxy

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	// rollbackTimeout limits a rollback. When it expires, the connection is closed instead.
	rollbackTimeout = time.Second
	// leaseCheckInterval is how often an instance checks whether its expired lease on a primary has been renewed.
	leaseCheckInterval = 20 * time.Millisecond
	// slowAnswerThreshold is how long an answer may take before the server is suspected. It is above the time that
	// statements spend in a server's full queue.
	slowAnswerThreshold = 350 * time.Millisecond
	// slowOwnerThreshold is how long an answer through the owner of a pool may take before the owner is probed. A probe
	// is cheap, and every statement that waits for a failed owner is lost.
	slowOwnerThreshold = 120 * time.Millisecond
	// stoppingServiceTime is how long a stopping instance still serves requests of sessions that should have ended. A
	// client that sends each request right after an answer leaves no moment in which its session can be closed.
	stoppingServiceTime = time.Second
	// maxLoggedID is the length in bytes to which the ID of a request is cut in events. Clients choose IDs of up to 1 MiB.
	maxLoggedID = 128
)

// RateLimiter limits the organisations' operations across all instances.
type RateLimiter interface {
	// Take takes one operation. It fails with kind OverRate if none is available.
	Take(ctx context.Context, organisation string) error
}

// DocumentSource provides the configuration document in force.
type DocumentSource interface {
	// CurrentDocument returns the document in force and whether it may still be relied on.
	CurrentDocument() (document.Index, bool)
}

// SessionManagerConfig configures a SessionManager.
type SessionManagerConfig struct {
	Timer       port.Timer
	Dispatcher  *Dispatcher
	Views       *PrimaryViews
	Documents   DocumentSource
	RateLimiter RateLimiter
	// IsIsolated reports whether the instance can reach neither the store nor a majority of the instances. It may be
	// nil.
	IsIsolated func() bool
	// Recorder may be nil.
	Recorder Recorder
	// AwaitState waits until a new instance has the state that it needs, for a bounded time. It may be nil.
	AwaitState func(ctx context.Context)
	// DocumentChanged returns a channel that is closed when the document may have changed. It may be nil.
	DocumentChanged func() <-chan struct{}
	// SessionLimits limits the state of each session.
	SessionLimits statement.SessionLimits
	// Guard limits the memory of the requests of other instances. It may be nil.
	Guard *clientlimit.Guard
	// DocumentAge returns the time since the document was last known to be the newest. It may be nil.
	DocumentAge func() time.Duration
	// Maintenance provides the data centres in maintenance. It may be nil.
	Maintenance MaintenanceSource
}

// SessionManager manages the sessions of an instance.
type SessionManager struct {
	cfg      SessionManagerConfig
	draining context.Context
	drain    context.CancelFunc
	// drainedAt is when the instance began to stop; zero before that.
	drainedAt atomic.Int64
	// ending ends when transactions that are idle must end as well.
	ending          context.Context
	endTransactions context.CancelFunc
	// activeRequests counts the requests of clients and of other instances that have not been answered.
	activeRequests atomic.Int64
	keys           keyWatcher
	maintenance    maintenanceWatcher
	routeSizes     routeSizes

	mu sync.Mutex
	// closing ends when the present sessions must close as soon as they have no transaction.
	closing       context.Context
	closeSessions context.CancelFunc
	sessions      sync.WaitGroup
	rollbacks     sync.WaitGroup
}

// NewSessionManager returns a manager without sessions.
func NewSessionManager(cfg SessionManagerConfig) *SessionManager {
	cfg.Recorder = recorderOrNop(cfg.Recorder)
	if cfg.IsIsolated == nil {
		cfg.IsIsolated = func() bool { return false }
	}
	if cfg.AwaitState == nil {
		cfg.AwaitState = func(context.Context) {}
	}
	if cfg.DocumentAge == nil {
		cfg.DocumentAge = func() time.Duration { return 0 }
	}
	draining, drain := context.WithCancel(context.Background())
	ending, endTransactions := context.WithCancel(context.Background())
	closing, closeSessions := context.WithCancel(draining)
	return &SessionManager{
		cfg: cfg, draining: draining, drain: drain, ending: ending, endTransactions: endTransactions,
		closing: closing, closeSessions: closeSessions,
		keys:        keyWatcher{documents: cfg.Documents, changed: cfg.DocumentChanged},
		maintenance: maintenanceWatcher{source: cfg.Maintenance, timer: cfg.Timer, recorder: cfg.Recorder},
	}
}

// Run ends idle transactions whose key is withdrawn or whose server is in maintenance, until ctx ends.
func (m *SessionManager) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { m.maintenance.loop(ctx) })
	m.keys.loop(ctx)
	running.Wait()
}

// Authorize authorizes a client that requests a route and presents a key. On a new instance it waits for the state that
// this needs.
func (m *SessionManager) Authorize(ctx context.Context, route, key string) (organisation.Allowed, error) {
	m.cfg.AwaitState(ctx)
	index, fresh := m.cfg.Documents.CurrentDocument()
	switch a := organisation.AuthorizeKey(index, route, key, fresh).(type) {
	case organisation.Allowed:
		return a, nil
	case organisation.Denied:
		return organisation.Allowed{}, a.Err()
	default:
		return organisation.Allowed{}, port.Errorf(port.Internal, "unknown authorization decision %T", a)
	}
}

// Serve serves an authorized client until it disconnects or the instance has stopped. place limits what the session
// holds; it may be nil.
func (m *SessionManager) Serve(ctx context.Context, c ClientConn, a organisation.Allowed, place *clientlimit.Place) {
	m.sessions.Add(1)
	defer m.sessions.Done()
	defer m.Recover("client")
	NewSession(m, c, a, place).Run(ctx)
}

// Recover is RecoverPeer with the manager's recorder.
func (m *SessionManager) Recover(peer string) {
	if r := recover(); r != nil {
		m.cfg.Recorder.Record(NewPeerPanicked(peer, r))
	}
}

// CloseIdleSessions closes each present session as soon as it has no transaction, so that its client connects to
// another instance.
func (m *SessionManager) CloseIdleSessions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeSessions()
	m.closing, m.closeSessions = context.WithCancel(m.draining)
}

// closingContext returns a context that ends when the present sessions must close.
func (m *SessionManager) closingContext() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closing
}

// Drain closes each session as soon as it has no transaction. After the given time, it also ends each transaction and
// each loan as soon as no statement of it is running. It returns when all sessions have ended, when no statement is
// running after that time, or when ctx ends.
func (m *SessionManager) Drain(ctx context.Context, transactions time.Duration) {
	m.drainedAt.Store(int64(m.cfg.Timer.Now()))
	m.drain()
	done := make(chan struct{})
	go m.runDrain(done)
	stop := m.cfg.Timer.After(transactions, func(time.Duration) { m.endTransactions() })
	defer stop()
	select {
	case <-done:
		return
	case <-m.ending.Done():
	case <-ctx.Done():
		return
	}
	for m.activeRequests.Load() > 0 && port.Sleep(ctx, m.cfg.Timer, drainCheckInterval) == nil {
	}
}

// refusesRequests reports whether the instance has been stopping for so long that it refuses requests outside
// transactions.
func (m *SessionManager) refusesRequests() bool {
	return m.draining.Err() != nil && m.cfg.Timer.Now()-time.Duration(m.drainedAt.Load()) >= stoppingServiceTime
}

func (m *SessionManager) runDrain(done chan<- struct{}) {
	m.sessions.Wait()
	m.rollbacks.Wait()
	close(done)
}

// record records the result of a request. Successful requests that the proxy answers itself are omitted.
func (m *SessionManager) record(s *Session, req statement.Request, a statement.Result, start time.Duration) {
	if a.Failure.IsZero() && a.Proof == "" {
		return
	}
	now := m.cfg.Timer.Now()
	index, _ := m.cfg.Documents.CurrentDocument()
	m.cfg.Recorder.Record(RequestCompleted{
		ID: loggedID(req.ID), Organisation: s.authorized.Organisation, Route: s.authorized.Route.Name,
		Group: s.authorized.Route.Group, Freshness: s.authorized.Route.Freshness, Kind: a.Failure.Kind,
		Reason: a.Failure.Text, Server: s.server, PoolOwner: s.owner, Attempts: s.attempts, Duration: now - start,
		Revision: uint64(index.Document().Revision), DocumentAge: m.cfg.DocumentAge(),
		Spill:      s.spilled,
		PrimaryAge: now - m.cfg.Views.View(s.authorized.Route.Group).RequestedAt,
	})
}

// loggedID returns the beginning of a request's ID as a copy: the ID is a part of the client's message, and a queued event
// would keep the whole message.
func loggedID(id string) string { return strings.Clone(id[:min(len(id), maxLoggedID)]) }

// reauthorize decides whether an authorized client may run another operation.
func (m *SessionManager) reauthorize(a organisation.Allowed) (organisation.Allowed, statement.Failure) {
	index, fresh := m.cfg.Documents.CurrentDocument()
	return allowedOf(organisation.Reauthorize(index, a, fresh))
}

// reauthorizeKey decides whether an authorized client may go on with its transaction.
func (m *SessionManager) reauthorizeKey(a organisation.Allowed) statement.Failure {
	index, fresh := m.cfg.Documents.CurrentDocument()
	_, failure := allowedOf(organisation.ReauthorizeKey(index, a, fresh))
	return failure
}

// checkClearance decides whether the steps may leave for a server under the document in force. A rollback always may. It
// is the only place in which a statement that waited for its server is checked again, and every path to a server leads
// through it.
func (m *SessionManager) checkClearance(c organisation.Clearance, steps []statement.Step) error {
	if isRollback(steps) {
		return nil
	}
	index, fresh := m.cfg.Documents.CurrentDocument()
	_, failure := allowedOf(organisation.CheckClearance(index, index.Document().Revision, c, fresh))
	if failure.IsZero() {
		return nil
	}
	return &DeniedError{Failure: failure}
}

// isRollback reports whether the steps roll a transaction back.
func isRollback(steps []statement.Step) bool {
	_, isRollback := steps[0].Command.(statement.RollbackTransaction)
	return isRollback
}

func allowedOf(d organisation.Decision) (organisation.Allowed, statement.Failure) {
	switch d := d.(type) {
	case organisation.Allowed:
		return d, statement.Failure{}
	case organisation.Denied:
		return organisation.Allowed{}, statement.Failure{Kind: d.Kind, Text: d.Reason}
	default:
		return organisation.Allowed{}, statement.Failure{Kind: port.Internal, Text: "unknown authorization decision"}
	}
}

func (m *SessionManager) transactionIdle() time.Duration {
	index, _ := m.cfg.Documents.CurrentDocument()
	if ms := index.Document().TransactionIdleMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultTransactionIdle
}
