package postgres

import (
	"context"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
)

// end returns the type of the last message.
func (u unit) end() byte { return u.frames[len(u.frames)-1].kind() }

// begin starts a request. Nothing of the caller's earlier answers is left unsent, so that the output of this request can
// be dropped when it is sent again.
func (c *caller) begin(u unit) {
	c.flush()
	c.requests++
	admitted, err := c.listener.gate.AuthorizeStatement(c.ctx, c.entry)
	if err != nil {
		c.wrote()
		c.listener.cfg.Observer.RequestEnded(port.NotRun)
		c.refuse(u, err)
		return
	}
	c.entry = admitted
	c.active = &activeRequest{
		exchange: request.Exchange{
			Read: c.entry.Read, Idempotent: c.entry.Route.Idempotent, InTransaction: c.backend != nil,
		},
		units:     []unit{u},
		started:   c.listener.timer.Now(),
		stopWatch: func() {},
	}
	c.attempt()
}

// attempt sends the active request, on the transaction's connection or on one of a new transaction.
func (c *caller) attempt() {
	a := c.active
	a.attempts++
	if c.backend == nil {
		if err := c.obtain(); err != nil {
			if a.attempts == 1 {
				c.wrote()
			}
			c.endRefused(err)
			return
		}
	}
	whole := a.units[0]
	for _, u := range a.units[1:] {
		whole.frames = append(slices.Clip(whole.frames), u.frames...)
		whole.size += u.size
	}
	written := c.wrote
	if a.attempts > 1 {
		written = func() {}
	}
	if c.transmit(whole, written) {
		c.watch()
	}
}

// transmit sends a unit of the active request, and calls written when another unit may be read. It reports false when
// the request ended instead.
func (c *caller) transmit(u unit, written func()) bool {
	data, err := c.rewrite(u)
	if err != nil {
		written()
		c.endRefusedBatch(err)
		return false
	}
	c.active.exchange = c.active.exchange.WithEvent(request.Sent{})
	c.backend.send(data, written)
	return true
}

// obtain gets a bound server connection for a new transaction. Nothing of the request has been sent when it fails.
func (c *caller) obtain() error {
	ctx, cancel := port.WithTimeout(c.ctx, c.listener.timer, c.active.started+placementLimit-c.listener.timer.Now())
	defer cancel()
	c.interrupt.Store(&cancel)
	defer c.interrupt.Store(nil)
	for attempt := 1; ; attempt++ {
		err := c.tryObtain(ctx)
		if err == nil || !mayPlaceAgain(err) || ctx.Err() != nil {
			return err
		}
		if attempt > promptAttempts && port.Sleep(ctx, c.listener.timer, placementPause) != nil {
			return err
		}
	}
}

// mayPlaceAgain reports whether another server could serve what this one did not.
func mayPlaceAgain(err error) bool {
	switch port.KindOf(err) {
	case port.NoConnection, port.Unavailable, port.Conflict:
		return true
	default:
		return false
	}
}

func (c *caller) tryObtain(ctx context.Context) error {
	target, err := c.listener.director.SelectServer(ctx, c.entry)
	if err != nil {
		return refusal(err)
	}
	b, err := c.listener.pool.checkout(ctx, target, c.entry)
	if err != nil {
		return refusal(err)
	}
	nonce, err := b.bind(ctx, c.entry, lent{ctx: c.ctx, events: c.events})
	if err != nil {
		return refusal(err)
	}
	c.backend, c.target, c.nonce = b, target, nonce
	c.prepared = make(map[string]bool)
	c.cancelled = false
	return nil
}

// refuse answers a unit of which nothing was sent.
func (c *caller) refuse(u unit, err error) {
	c.listener.cfg.Observer.RequestRefused(port.KindOf(err))
	switch port.KindOf(err) {
	case port.KeyRefused, port.UnknownRoute:
		c.dismiss(err)
		return
	default:
	}
	c.send(errorResponse(severityError, err))
	if !u.isSynchronised() {
		c.skipping = true
		return
	}
	c.ready(c.status)
}

// end ends the active request and returns it.
func (c *caller) end() *activeRequest {
	a := c.active
	c.active = nil
	a.stopWatch()
	c.listener.cfg.Observer.RequestEnded(a.exchange.Outcome())
	return a
}

// endRefused ends the active request of a new transaction with an error.
func (c *caller) endRefused(err error) {
	a := c.end()
	if a.exchange.Outcome() != port.NotRun {
		err = port.Wrapf(err, port.UnknownOutcome, "an earlier attempt may have run")
	}
	c.refuse(a.units[len(a.units)-1], err)
}

// endRefusedBatch ends the active request because one of its units cannot be sent. What was sent of it before without a
// Sync is lost with the server connection.
func (c *caller) endRefusedBatch(err error) {
	if c.active.exchange.Outcome() != port.NotRun {
		c.dismiss(port.Wrapf(err, port.UnknownOutcome, "the batch was cut off"))
		return
	}
	if !c.active.exchange.InTransaction {
		c.giveBack()
	}
	c.endRefused(err)
}

// giveBack ends the transaction's use of the server connection.
func (c *caller) giveBack() {
	b := c.backend
	c.backend = nil
	c.status = 'I'
	if c.cancelled {
		// No message says which statement a cancel request reaches, so the next transaction might be hit.
		b.close()
		return
	}
	b.release()
}

// drop closes the server connection; the server rolls back what was not committed.
func (c *caller) drop() {
	c.backend.close()
	c.backend = nil
	c.status = 'I'
}
