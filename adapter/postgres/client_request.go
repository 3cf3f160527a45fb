package postgres

import (
	"context"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/immutable"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
)

func (b batch) lastKind() byte { return b.frames[len(b.frames)-1].kind() }

// startRequest starts a request. The responses to earlier requests have been flushed, so that the output of this
// request can be discarded when the request is retried.
func (c *client) startRequest(b batch) {
	c.flush()
	c.requestNumber++
	c.stopIdleTimer()
	authorized, err := c.listener.authorizer.AuthorizeStatement(c.ctx, c.authorized)
	if err != nil {
		c.release(b.charged)
		c.allowRead()
		c.listener.cfg.Observer.RequestEnded(port.NotRun)
		c.rejectBatch(b, err)
		return
	}
	c.authorized = authorized
	c.active = &activeRequest{
		exchange: request.Exchange{
			Read: c.authorized.Read, Idempotent: c.authorized.Route.Idempotent, InTransaction: c.server != nil,
		},
		batches:   []batch{b},
		charged:   b.charged,
		started:   c.listener.timer.Now(),
		stopWatch: func() {},
	}
	c.attempt()
}

// attempt sends the active request on the transaction's connection, or on a new connection for a new transaction.
func (c *client) attempt() {
	a := c.active
	a.attempts++
	if c.server == nil {
		if err := c.acquireServer(); err != nil {
			if a.attempts == 1 {
				c.allowRead()
			}
			c.rejectRequest(err)
			return
		}
	}
	combined := a.batches[0]
	for _, b := range a.batches[1:] {
		combined.frames = append(slices.Clip(combined.frames), b.frames...)
		combined.size += b.size
	}
	onWritten := c.allowRead
	if a.attempts > 1 {
		onWritten = func() {}
	}
	if c.sendBatch(combined, onWritten) {
		c.watchServer()
	}
}

// sendBatch sends a batch of the active request, and calls onWritten when another batch may be read. It returns false
// if the request ended instead.
func (c *client) sendBatch(b batch, onWritten func()) bool {
	data, err := c.rewriteBatch(b)
	if err != nil {
		onWritten()
		c.rejectContinuation(err)
		return false
	}
	c.active.exchange = c.active.exchange.WithEvent(request.Sent{})
	c.server.send(data, onWritten)
	return true
}

// acquireServer checks out a bound server connection for a new transaction. If it fails, nothing of the request was
// sent.
func (c *client) acquireServer() error {
	ctx, cancel := port.WithTimeout(c.ctx, c.listener.timer, c.active.started+acquireTimeout-c.listener.timer.Now())
	defer cancel()
	c.cancelAcquire.Store(&cancel)
	defer c.cancelAcquire.Store(nil)
	for attempt := 1; ; attempt++ {
		err := c.tryAcquireServer(ctx)
		if err == nil || !isRetriable(err) || ctx.Err() != nil {
			return err
		}
		if attempt > immediateAttempts && port.Sleep(ctx, c.listener.timer, acquireRetryDelay) != nil {
			return err
		}
	}
}

// isRetriable reports whether another server might succeed after the error.
func isRetriable(err error) bool {
	switch port.KindOf(err) {
	case port.NoConnection, port.Unavailable, port.Conflict:
		return true
	default:
		return false
	}
}

func (c *client) tryAcquireServer(ctx context.Context) error {
	target, err := c.listener.selector.SelectServer(ctx, c.authorized)
	if err != nil {
		return asNotRun(err)
	}
	conn, err := c.listener.pool.checkout(ctx, target, c.authorized)
	if err != nil {
		return asNotRun(err)
	}
	nonce, err := conn.bind(ctx, c.authorized, checkedOut{ctx: c.ctx, events: c.events})
	if err != nil {
		return asNotRun(err)
	}
	c.server, c.target, c.nonce = conn, target, nonce
	c.running.Store(true)
	c.serverStatements = immutable.Map[struct{}]{}
	c.cancelSent = false
	return nil
}

// rejectBatch responds to a batch of which nothing was sent.
func (c *client) rejectBatch(b batch, err error) {
	c.listener.cfg.Observer.RequestRefused(port.KindOf(err))
	switch port.KindOf(err) {
	case port.KeyRefused, port.UnknownRoute:
		c.closeWithError(err)
		return
	default:
	}
	c.send(errorResponse(severityError, err))
	if !b.isSynchronised() {
		c.skipToSync = true
		return
	}
	c.sendReady(c.txStatus)
}

// endRequest ends the active request and returns it.
func (c *client) endRequest() *activeRequest {
	a := c.active
	c.active = nil
	a.stopWatch()
	c.release(a.charged)
	// The size may only shrink here: it was checked when the statements were sent.
	_ = c.updateState(c.statements.Bytes())
	c.limitIdleTransaction()
	c.listener.cfg.Observer.RequestEnded(a.exchange.Outcome())
	return a
}

// rejectRequest ends the active request of a new transaction with an error.
func (c *client) rejectRequest(err error) {
	a := c.endRequest()
	if a.exchange.Outcome() != port.NotRun {
		err = port.Wrapf(err, port.UnknownOutcome, "an earlier attempt may have run")
	}
	c.rejectBatch(a.batches[len(a.batches)-1], err)
}

// rejectContinuation ends the active request because one of its batches cannot be sent. What was already sent without a
// Sync is lost when the server connection is closed.
func (c *client) rejectContinuation(err error) {
	if c.active.exchange.Outcome() != port.NotRun {
		c.closeWithError(port.Wrapf(err, port.UnknownOutcome, "the batch was interrupted"))
		return
	}
	if !c.active.exchange.InTransaction {
		c.releaseServer()
	}
	c.rejectRequest(err)
}

// releaseServer returns the server connection to the pool after a transaction.
func (c *client) releaseServer() {
	conn := c.server
	c.server = nil
	c.running.Store(false)
	c.stopIdleTimer()
	c.txStatus = 'I'
	if c.cancelSent {
		// The protocol does not tell which statement a cancel request affects, so it might hit the next transaction.
		conn.close()
		return
	}
	conn.release()
}

// closeServer closes the server connection. The server rolls back what was not committed.
func (c *client) closeServer() {
	c.server.close()
	c.server = nil
	c.running.Store(false)
	c.stopIdleTimer()
	c.txStatus = 'I'
}
