package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// Connection is a connection to a server that is lent to one transaction at a time.
type Connection struct {
	ID       uint64
	Endpoint Endpoint
	path     path
	usedAt   time.Duration
}

// run has the server run the steps in order, up to the first failure, and returns their answers. After an error of type
// *Unsent no server has any of the steps; after any other error the first step without an answer may have run. The
// connection is of no further use after an error.
func (c *Connection) run(
	ctx context.Context, values statement.SessionState, steps ...statement.Step,
) ([]statement.Result, error) {
	switch p := c.path.(type) {
	case *pooled:
		return p.run(ctx, values, steps)
	case *borrowed:
		return p.loan.Run(ctx, values, steps)
	default:
		return nil, port.Errorf(port.Internal, "a connection has an unknown path %T", p)
	}
}

// isUsable reports whether another transaction can use the connection.
func (c *Connection) isUsable() bool {
	p, isPooled := c.path.(*pooled)
	return isPooled && !p.spoilt && !isLost(p.link)
}

func (c *Connection) close() {
	switch p := c.path.(type) {
	case *pooled:
		p.link.Close()
	case *borrowed:
		p.loan.Close()
	}
}

// owner returns the instance whose pool the connection belongs to, and false when it is this one.
func (c *Connection) owner() (Member, bool) {
	if b, isBorrowed := c.path.(*borrowed); isBorrowed {
		return b.owner, true
	}
	return Member{}, false
}

// path is how a connection reaches its server. It is one of *pooled and *borrowed.
type path interface{ path() }

// pooled is a connection of this instance's own pool.
type pooled struct {
	link ServerConn
	// applied is what the connection has been given of its callers' contexts.
	applied statement.ConnectionState
	// spoilt is true when the server does not have what the connection was given.
	spoilt bool
}

// borrowed is a connection of another instance's pool.
type borrowed struct {
	owner Member
	loan  RemoteLoan
}

func (*pooled) path()   {}
func (*borrowed) path() {}

func (p *pooled) run(ctx context.Context, values statement.SessionState, steps []statement.Step) ([]statement.Result, error) {
	answers := make([]statement.Result, 0, len(steps))
	for _, step := range steps {
		a, err := p.runOne(ctx, values, step)
		if err != nil {
			if len(answers) > 0 {
				err = sentErr(err)
			}
			return answers, err
		}
		answers = append(answers, a)
		if !a.Failure.IsZero() {
			break
		}
	}
	return answers, nil
}

// runOne gives the connection what the step needs, and then the step itself. A statement is sent only after all before
// it succeeded: it must not run with other values.
func (p *pooled) runOne(ctx context.Context, values statement.SessionState, step statement.Step) (statement.Result, error) {
	switch o := step.Command.(type) {
	case statement.RollbackTransaction:
		return p.last(ctx, o)
	case statement.OpenTransaction:
		// Without its values a transaction has no effect yet, so both go in one message.
		orders, _, applied := p.applied.CommandsFor(values, nil)
		a, err := p.last(ctx, append(orders, o)...)
		if err != nil {
			return statement.Result{}, &NotSentError{Err: err}
		}
		p.applied = applied
		return a, nil
	case statement.Forward:
		orders, name, applied := p.applied.CommandsFor(values, step.Shape)
		if len(orders) > 0 {
			a, err := p.last(ctx, orders...)
			if err == nil {
				err = p.check(a)
			}
			if err != nil {
				return statement.Result{}, &NotSentError{Err: err}
			}
			p.applied = applied
		}
		o.Name = name
		a, err := p.last(ctx, o)
		p.spoilt = p.spoilt || a.Failure.Kind == port.UnknownStatement
		return a, err
	default:
		return statement.Result{}, &NotSentError{Err: port.Errorf(port.Internal, "the order %T is not for lent connections", o)}
	}
}

// last sends the orders and returns the answer to the last one. It fails when one before it fails.
func (p *pooled) last(ctx context.Context, orders ...statement.Command) (statement.Result, error) {
	answers, err := p.link.Do(ctx, orders...)
	if err != nil {
		return statement.Result{}, err
	}
	for _, a := range answers[:len(answers)-1] {
		if err := p.check(a); err != nil {
			return statement.Result{}, err
		}
	}
	return answers[len(answers)-1], nil
}

// check fails when a server refused a session value or a prepared name. What the connection has is not known then.
func (p *pooled) check(a statement.Result) error {
	if a.Failure.IsZero() {
		return nil
	}
	p.spoilt = true
	return port.Errorf(a.Failure.Kind, "the server refused a session value: %s", a.Failure.Text)
}

// NotSentError says that no server has any of the steps.
type NotSentError struct {
	Err error
	// OwnerUnavailable is true when the owner of the pool lends nothing at present, whatever the server, or cannot be reached.
	OwnerUnavailable bool
}

// Error returns why nothing was sent.
func (u *NotSentError) Error() string {
	return fmt.Sprintf("nothing was sent to the server: %s", u.Err)
}

// Unwrap returns the cause, whose kind is that of the refusal.
func (u *NotSentError) Unwrap() error { return u.Err }

// sentErr returns the error of a step that was not sent for a run of which earlier steps were: the transaction that they
// opened is lost with the connection.
func sentErr(err error) error {
	return port.Wrapf(err, port.Unavailable, "the connection was lost in a transaction")
}

// LoanTerms says what connection is borrowed.
type LoanTerms struct {
	Server       string
	Organisation string
	// Priority orders waiting statements; zero comes first.
	Priority int
	// Wait is how long the first steps may wait for the server.
	Wait time.Duration
}

// RemotePools reaches the pools of other instances.
type RemotePools interface {
	// Borrow returns a loan from the owner. Nothing is sent before its first run.
	Borrow(owner Member, terms LoanTerms) RemoteLoan
	// Abort ends all loans from the owner, because it is silent.
	Abort(owner Member)
}

// RemoteLoan is a connection of another instance's pool. Its methods are for one goroutine. The loan ends when a run
// leaves no transaction open.
type RemoteLoan interface {
	// Run is Connection.run.
	Run(ctx context.Context, values statement.SessionState, steps []statement.Step) ([]statement.Result, error)
	// Close ends the loan. An open transaction is rolled back.
	Close()
}
