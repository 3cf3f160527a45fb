package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// Connection is a connection to a server that is used by one transaction at a time.
type Connection struct {
	ID       uint64
	Endpoint Endpoint
	path     path
	lastUsed time.Duration
	// grantedAt is when the connection was granted; zero if it has not been granted since it was last released.
	grantedAt time.Duration
	// lost is true if the server had closed the connection when it was returned.
	lost bool
}

// run runs the steps on the server in order, up to the first failure, and returns their answers. If the error is a
// *NotSentError, no server received any of the steps; after any other error, the first step without an answer may have
// run. The connection is unusable after an error.
func (c *Connection) run(
	ctx context.Context, state statement.SessionState, steps ...statement.Step,
) ([]statement.Result, error) {
	switch p := c.path.(type) {
	case *pooled:
		return p.run(ctx, state, steps)
	case *borrowed:
		return p.loan.Run(ctx, state, steps)
	default:
		return nil, port.Errorf(port.Internal, "unknown connection path %T", p)
	}
}

// isUsable reports whether another transaction can use the connection.
func (c *Connection) isUsable() bool {
	p, isPooled := c.path.(*pooled)
	return isPooled && !p.inconsistent && !isDisconnected(p.conn)
}

// isLost reports whether the server has closed a connection of this instance's pool.
func (c *Connection) isLost() bool {
	p, isPooled := c.path.(*pooled)
	return isPooled && isDisconnected(p.conn)
}

func (c *Connection) close() {
	switch p := c.path.(type) {
	case *pooled:
		p.conn.Close()
	case *borrowed:
		p.loan.Close()
	}
}

// owner returns the instance that owns the connection's pool, or false if it is this instance.
func (c *Connection) owner() (Member, bool) {
	if b, isBorrowed := c.path.(*borrowed); isBorrowed {
		return b.owner, true
	}
	return Member{}, false
}

// path is how a connection reaches its server: *pooled or *borrowed.
type path interface{ path() }

// pooled is a connection from this instance's own pool.
type pooled struct {
	conn ServerConn
	// applied is the session state that has been set on the connection.
	applied statement.ConnectionState
	// inconsistent is true if the server's session state may differ from applied.
	inconsistent bool
}

// borrowed is a connection from another instance's pool.
type borrowed struct {
	owner Member
	loan  RemoteLoan
}

func (*pooled) path()   {}
func (*borrowed) path() {}

func (p *pooled) run(ctx context.Context, state statement.SessionState, steps []statement.Step) ([]statement.Result, error) {
	results := make([]statement.Result, 0, len(steps))
	for _, step := range steps {
		a, err := p.runStep(ctx, state, step)
		if err != nil {
			if len(results) > 0 {
				err = connectionLostError(err)
			}
			return results, err
		}
		results = append(results, a)
		if !a.Failure.IsZero() {
			break
		}
	}
	return results, nil
}

// runStep sets the session state that the step needs and then sends the step. A statement is sent only after everything
// before it succeeded, because it must not run with other session values.
func (p *pooled) runStep(ctx context.Context, state statement.SessionState, step statement.Step) (statement.Result, error) {
	switch o := step.Command.(type) {
	case statement.RollbackTransaction:
		return p.sendAll(ctx, o)
	case statement.OpenTransaction:
		// A transaction that was opened without its session values has no effect yet, so both are sent in one message.
		commands, _, applied := p.applied.CommandsFor(state, nil)
		a, err := p.sendAll(ctx, append(commands, o)...)
		if err != nil {
			return statement.Result{}, &NotSentError{Err: err}
		}
		p.applied = applied
		return a, nil
	case statement.Forward:
		commands, name, applied := p.applied.CommandsFor(state, step.Shape)
		if len(commands) > 0 {
			a, err := p.sendAll(ctx, commands...)
			if err == nil {
				err = p.checkSetup(a)
			}
			if err != nil {
				return statement.Result{}, &NotSentError{Err: err}
			}
			p.applied = applied
		}
		o.Name = name
		a, err := p.sendAll(ctx, o)
		p.inconsistent = p.inconsistent || a.Failure.Kind == port.UnknownStatement
		return a, err
	default:
		return statement.Result{}, &NotSentError{Err: port.Errorf(port.Internal, "command %T is not allowed on a lent connection", o)}
	}
}

// sendAll sends the commands and returns the answer to the last one. It fails if an earlier one fails.
func (p *pooled) sendAll(ctx context.Context, commands ...statement.Command) (statement.Result, error) {
	results, err := p.conn.Do(ctx, commands...)
	if err != nil {
		return statement.Result{}, err
	}
	for _, a := range results[:len(results)-1] {
		if err := p.checkSetup(a); err != nil {
			return statement.Result{}, err
		}
	}
	return results[len(results)-1], nil
}

// checkSetup returns an error if the server refused a session value or a prepared statement. The connection's session
// state is unknown in that case.
func (p *pooled) checkSetup(a statement.Result) error {
	if a.Failure.IsZero() {
		return nil
	}
	p.inconsistent = true
	return port.Errorf(a.Failure.Kind, "the server refused a session value or prepared statement: %s", a.Failure.Text)
}

// NotSentError reports that no server received any of the steps.
type NotSentError struct {
	Err error
	// OwnerUnavailable is true if the owner of the pool cannot be reached or currently lends no connections to any
	// server.
	OwnerUnavailable bool
}

// Error describes why nothing was sent.
func (u *NotSentError) Error() string { return fmt.Sprintf("not sent to the server: %s", u.Err) }

// Unwrap returns the cause, whose kind is the kind of the refusal.
func (u *NotSentError) Unwrap() error { return u.Err }

// DeniedError reports that the client may no longer run the steps. Nothing was sent to a server.
type DeniedError struct{ Failure statement.Failure }

// Error describes why the client is denied.
func (d *DeniedError) Error() string { return d.Failure.Text }

// connectionLostError returns the error for a step that was not sent after earlier steps of the same run were. The
// transaction that those steps opened is lost with the connection.
func connectionLostError(err error) error {
	return port.Wrapf(err, port.Unavailable, "the connection was lost during a transaction")
}

// LoanTerms describes the connection to borrow.
type LoanTerms struct {
	Server       string
	Organisation string
	// KeyID is the client's key, and Revision the document by which the borrower checked it.
	KeyID    string
	Revision document.Revision
	// Priority orders waiting statements; zero is served first.
	Priority int
	// Wait limits how long the first steps may wait for the server.
	Wait time.Duration
	// Spill is the read's route between data centres; it is nil for other statements.
	Spill SpillRoute
}

// RemotePools reaches the connection pools of other instances.
type RemotePools interface {
	// Borrow returns a loan from the owner. Nothing is sent until its first run.
	Borrow(owner Member, terms LoanTerms) RemoteLoan
	// Abort ends all loans from the owner, because the owner is unresponsive.
	Abort(owner Member)
}

// RemoteLoan is a connection from another instance's pool. Its methods must be called from one goroutine. The loan ends
// when a run leaves no transaction open.
type RemoteLoan interface {
	// Run behaves like Connection.run.
	Run(ctx context.Context, state statement.SessionState, steps []statement.Step) ([]statement.Result, error)
	// Close ends the loan. An open transaction is rolled back.
	Close()
}
