package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// spender is a statement on an acquired connection that waits for the budget of a limited server.
type spender struct {
	server string
	// statements are taken from the budget when it allows them. setup is the number of commands that set up the
	// connection for them; they are taken with them, even if the budget does not allow as many.
	statements, setup int
	arrived           time.Duration
	reply             *ring.Ring[error]
}

// spendingCommand is a message about a spender.
type spendingCommand interface {
	dispatcherCommand
	spendingCommand()
}

// spendCommand queues a spender.
type spendCommand struct{ spender *spender }

// cancelSpendCommand removes a spender whose statement was abandoned.
type cancelSpendCommand struct{ spender *spender }

func (spendCommand) dispatcherCommand()       {}
func (cancelSpendCommand) dispatcherCommand() {}
func (spendCommand) spendingCommand()         {}
func (cancelSpendCommand) spendingCommand()   {}

func (d *Dispatcher) handleSpending(c spendingCommand, now time.Duration) {
	switch c := c.(type) {
	case spendCommand:
		d.addSpender(c.spender, now)
	case cancelSpendCommand:
		d.spenders = slices.DeleteFunc(d.spenders, func(other *spender) bool { return other == c.spender })
	}
}

// awaitBudget waits until the steps may be sent on the connection. It returns at once unless the connection is of this
// instance's pool and its server is limited. The error is a *NotSentError of kind Busy.
func (m *SessionManager) awaitBudget(ctx context.Context, conn *acquiredConnection, state statement.SessionState, steps []statement.Step) error {
	d := m.cfg.Dispatcher
	p, isPooled := conn.connection.path.(*pooled)
	if _, isLimited := d.limited.Load(conn.connection.Endpoint.Server); !isPooled || !isLimited {
		return nil
	}
	s := &spender{
		server: conn.connection.Endpoint.Server, statements: len(steps), setup: p.setupCount(state, steps), reply: ring.New[error](1),
	}
	if !conn.used {
		s.statements = max(s.statements-conn.granted, 0)
	}
	if s.statements+s.setup == 0 {
		return nil
	}
	d.send(spendCommand{s})
	err, abandoned := s.reply.TakeUntil(ctx, d.stopped.Done())
	if abandoned != nil {
		d.send(cancelSpendCommand{s})
		err = port.Wrapf(abandoned, port.Busy, "server %s is cold", s.server)
	}
	if err != nil {
		return &NotSentError{Err: err}
	}
	return nil
}

// setupCount returns how many commands give the connection the session state that the steps need.
func (p *pooled) setupCount(state statement.SessionState, steps []statement.Step) int {
	n, applied := 0, p.applied
	for _, step := range steps {
		if _, isRollback := step.Command.(statement.RollbackTransaction); isRollback {
			continue
		}
		var commands []statement.Command
		commands, _, applied = applied.CommandsFor(state, step.Shape)
		n += len(commands)
	}
	return n
}

// hasSpender reports whether a statement waits for the server's budget.
func (d *Dispatcher) hasSpender(s *serverState) bool {
	return slices.ContainsFunc(d.spenders, func(other *spender) bool { return other.server == s.server.Listing.Name })
}

// addSpender queues a spender, or refuses it if it would wait for too long.
func (d *Dispatcher) addSpender(c *spender, now time.Duration) {
	c.arrived = now
	s := d.server(c.server)
	if s == nil || !d.checkWarmUp(s, now) {
		c.reply.TryPut(nil)
		return
	}
	ahead := 0
	for _, other := range d.spenders {
		if other.server == c.server {
			ahead += other.statements
		}
	}
	delay, possible := s.warmUp.budget.Delay(c.statements, now)
	if delay += time.Duration(ahead) * s.warmUp.budget.Interval(); c.statements > 0 && (!possible || delay > maxBudgetWait) {
		d.refuseSpender(c, s)
		return
	}
	d.spenders = append(d.spenders, c)
}

func (d *Dispatcher) refuseSpender(c *spender, s *serverState) {
	s.warmUp.refused += c.statements
	c.reply.TryPut(errExhausted(c.server))
}

// serveSpenders grants the waiting statements of open transactions in order of arrival.
func (d *Dispatcher) serveSpenders(now time.Duration) {
	if len(d.spenders) == 0 {
		return
	}
	blocked := make(map[string]bool)
	d.spenders = slices.DeleteFunc(d.spenders, func(c *spender) bool {
		s := d.server(c.server)
		switch {
		case s == nil || !d.checkWarmUp(s, now):
			c.reply.TryPut(nil)
			return true
		case !blocked[c.server] && d.grantSpender(c, s, now):
			return true
		case now-c.arrived >= maxBudgetWait:
			d.refuseSpender(c, s)
			return true
		}
		blocked[c.server] = true
		return false
	})
}

func (d *Dispatcher) grantSpender(c *spender, s *serverState, now time.Duration) bool {
	if c.statements > 0 && !d.spend(s, c.statements, now) {
		return false
	}
	s.warmUp.budget = s.warmUp.budget.WithDebt(c.setup, now)
	c.reply.TryPut(nil)
	return true
}
