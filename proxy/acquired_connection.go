package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// acquiredConnection is a connection that a session has acquired. term is the primary's term if the server was chosen
// as primary.
type acquiredConnection struct {
	connection *Connection
	choice     dispatch.ToServer
	asPrimary  bool
	term       group.Term
	// state is the transaction state that the server last reported.
	state statement.TransactionState
	// granted is the number of statements that were granted with the connection, for the first run.
	granted int
	// used is true once steps have been run.
	used bool
	// released is true once the connection was returned or its rollback has begun.
	released bool
	// overdueAfter is the time after which a missing answer counts as lost; zero for connections of other instances'
	// pools.
	overdueAfter time.Duration
	// clearance is checked each time before something is sent to the server.
	clearance organisation.Clearance
	// spill is the route on which the connection was acquired.
	spill SpillRoute
}

// slowAfter returns the time after which a missing answer causes the server or the pool's owner to be suspected.
func (l *acquiredConnection) slowAfter() time.Duration {
	if _, isBorrowed := l.connection.owner(); isBorrowed {
		return slowOwnerThreshold
	}
	return slowAnswerThreshold
}

// run runs the steps on the acquired connection, like Connection.run, and reports the result to the dispatcher.
func (m *SessionManager) run(
	ctx context.Context, conn *acquiredConnection, state statement.SessionState, steps ...statement.Step,
) ([]statement.Result, error) {
	d, c := m.cfg.Dispatcher, conn.connection
	// The other checks come after this wait, so that nothing is sent by a document from before it.
	if err := m.awaitBudget(ctx, conn, state, steps); err != nil {
		return nil, err
	}
	if err := m.checkClearance(conn.clearance, steps); err != nil {
		return nil, err
	}
	if err := m.maintenance.checkMaintenance(conn, steps); err != nil {
		return nil, err
	}
	if conn.used {
		d.ReportStarted(c)
	}
	sent := m.cfg.Timer.Now()
	conn.used = true
	stop := m.cfg.Timer.After(conn.slowAfter(), func(time.Duration) { m.suspect(c) })
	callCtx, cancel := m.withAnswerTimeout(ctx, conn, steps)
	results, err := c.run(callCtx, state, steps...)
	cancel()
	stop()
	if len(results) > 0 {
		lastResult := results[len(results)-1]
		conn.state = lastResult.State
		d.ReportAnswer(c, Observation{
			Server: c.Endpoint.Server, Position: lastResult.Position, SentAt: sent, ReceivedAt: m.cfg.Timer.Now(),
			IsRead: isRead(steps), IsFailed: isServerFailure(lastResult.Failure),
		})
	}
	var notSent *NotSentError
	switch _, isBorrowed := c.owner(); {
	case err == nil:
	case isBorrowed && errors.As(err, &notSent):
		d.ReportNotLent(c, notSent)
	case ctx.Err() == nil || !isBorrowed || isRead(steps):
		d.ReportUnreachable(c, lostReadTime(steps, m.cfg.Timer.Now()-sent))
	}
	return results, err
}

// withAnswerTimeout returns a context that ends when the answer to the steps is overdue, if nothing of them is kept
// when they are abandoned: a read can still run elsewhere in time, and a client can repeat its transaction.
func (m *SessionManager) withAnswerTimeout(ctx context.Context, conn *acquiredConnection, steps []statement.Step) (context.Context, context.CancelFunc) {
	if conn.overdueAfter == 0 || !statement.RollsBackOnClose(conn.state, steps) {
		return ctx, func() {}
	}
	return port.WithTimeout(ctx, m.cfg.Timer, conn.overdueAfter)
}

// suspect starts finding out why a connection does not answer.
func (m *SessionManager) suspect(c *Connection) {
	if _, isBorrowed := c.owner(); isBorrowed {
		m.cfg.Dispatcher.SuspectOwner(c)
		return
	}
	m.cfg.Dispatcher.Suspect(c.Endpoint.Server)
}

// rollback rolls back the transaction in the background and releases the connection.
func (m *SessionManager) rollback(conn *acquiredConnection) {
	if conn.state == statement.Idle {
		m.release(conn, true)
		return
	}
	conn.released = true
	task := &rollbackTask{manager: m, acquired: conn}
	m.rollbacks.Add(1)
	go task.run()
}

// release returns the connection to the dispatcher, unless that was done before.
func (m *SessionManager) release(conn *acquiredConnection, usable bool) {
	if !conn.released {
		conn.released = true
		m.cfg.Dispatcher.Return(conn.connection, usable)
	}
}

// releaseAfter releases a connection whose last statement had the given outcome.
func (m *SessionManager) releaseAfter(conn *acquiredConnection, out outcome) {
	if !out.keepsConnection() {
		m.release(conn, false)
		return
	}
	m.rollback(conn)
}

// rollbackTask rolls back one transaction.
type rollbackTask struct {
	manager  *SessionManager
	acquired *acquiredConnection
}

func (t *rollbackTask) run() {
	defer t.manager.rollbacks.Done()
	usable := false
	defer func() { t.manager.cfg.Dispatcher.Return(t.acquired.connection, usable) }()
	defer t.manager.Recover("server")
	ctx, cancel := port.WithTimeout(context.Background(), t.manager.cfg.Timer, rollbackTimeout)
	defer cancel()
	_, err := t.manager.run(ctx, t.acquired, statement.SessionState{}, statement.Step{Command: statement.RollbackTransaction{}})
	usable = err == nil && t.acquired.state == statement.Idle
}

// isStillPrimary reports whether the connection's server is still the primary in the term in which it was acquired. It
// waits up to leaseRenewalWait for an expired lease to be renewed.
func (m *SessionManager) isStillPrimary(ctx context.Context, conn *acquiredConnection) bool {
	e := conn.connection.Endpoint
	until := m.cfg.Timer.Now() + leaseRenewalWait
	for {
		view, now := m.cfg.Views.View(e.Group), m.cfg.Timer.Now()
		switch {
		case view.IsPrimaryAt(e.Server, conn.term, now):
			return true
		case view.Record.Term != conn.term || view.Record.Replacement != nil || now >= until:
			return false
		}
		if port.Sleep(ctx, m.cfg.Timer, leaseCheckInterval) != nil {
			return false
		}
	}
}
