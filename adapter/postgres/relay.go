package postgres

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
)

const (
	// positionParameter is the parameter in which a server reports the position of a commit.
	positionParameter = "rhubarbwick.position"
	// sessionParameter is the parameter in which a client sends its session token and receives the new one.
	sessionParameter = "rhubarbwick.session"
	// refusedWriteRetryTime is how long a write is retried if the server refuses it because it is not the primary. An
	// instance learns of a new primary within about 1 s.
	refusedWriteRetryTime = 5 * time.Second
)

// handleResponse relays part of the response to the active request.
func (c *client) handleResponse(e responseReceived) {
	if !c.isCurrent(e.nonce) {
		e.closeUnlessAsynchronous()
		return
	}
	for i, f := range e.frames {
		if !c.isCurrent(e.nonce) || c.finished {
			return
		}
		switch {
		case c.active == nil:
			c.relayIdle(f)
		case f.kind() == 'Z':
			c.relayReady(f, e.frames[i+1:])
			return
		default:
			c.relay(f)
		}
	}
}

// closeUnlessAsynchronous closes a connection on which a response arrived after its transaction had ended.
func (e responseReceived) closeUnlessAsynchronous() {
	if !areAsynchronous(e.frames) {
		e.server.close()
	}
}

// relayIdle handles a message that arrives while a transaction is idle. Only asynchronous messages are valid then.
func (c *client) relayIdle(f frame) {
	if isAsynchronous(f) {
		c.relayAsynchronous(f)
		return
	}
	c.abortTransaction(port.Errorf(port.NotKept, "the server violated the protocol and the transaction was rolled back"))
}

func (c *client) relay(f frame) {
	a := c.active
	if a.copyRejected {
		c.discardCopyFrame(f)
		return
	}
	switch f.kind() {
	case 'S', 'N', 'A':
		c.relayAsynchronous(f)
	case '1', '3':
		if c.recordCompletion(f) {
			c.forwardFrame(f)
		}
	case 'C':
		tag, _ := cString(f.body())
		a.exchange = a.exchange.WithEvent(request.Completed{Tag: tag, Synchronised: a.isSynchronised()})
		c.forwardFrame(f)
	case 'E':
		c.relayError(f)
	case 'G', 'H', 'W':
		c.rejectCopy(f)
	default:
		c.forwardFrame(f)
	}
}

// relayError relays an error caused by the request. After an error that ends the server connection, the client's
// connection remains open and the client gets the outcome of its request.
func (c *client) relayError(f frame) {
	var m pgproto3.ErrorResponse
	if err := m.Decode(f.body()); err != nil || m.Severity == "FATAL" || m.Severity == "PANIC" {
		c.closeServer()
		c.handleServerLost(port.Errorf(port.NoConnection, "the server ended the connection: %s", m.Message))
		return
	}
	if m.Code == port.ReadOnly.Codes().SQLState {
		c.active.exchange = c.active.exchange.WithEvent(request.Refused{})
	}
	c.active.expectedCompletions = nil
	c.forwardFrame(f)
}

// forwardFrame sends a message to the client, or holds it back while the response may confirm a write.
func (c *client) forwardFrame(f frame) {
	a := c.active
	if !a.exchange.HoldsResponse() {
		c.out = append(c.out, f...)
		if len(c.out) >= flushBytes {
			c.flush()
		}
		return
	}
	a.held = append(a.held, f...)
	if len(a.held) > c.listener.cfg.MaxHeldBytes {
		c.closeServer()
		c.endWithError(port.Errorf(port.UnknownOutcome, "the response to the write exceeds the limit of %d bytes", c.listener.cfg.MaxHeldBytes))
	}
}

func (c *client) relayAsynchronous(f frame) {
	if f.kind() != 'S' {
		c.forwardAsynchronous(f)
		return
	}
	name, rest := cString(f.body())
	if name != positionParameter {
		c.forwardAsynchronous(f)
		return
	}
	if c.active == nil {
		return
	}
	value, _ := cString(rest)
	position, err := group.ParsePosition(value)
	if err != nil {
		c.closeServer()
		c.endWithError(port.Wrapf(err, port.UnknownOutcome, "the server reported an invalid position"))
		return
	}
	c.active.exchange = c.active.exchange.WithEvent(request.Committed{Position: position})
}

func (c *client) forwardAsynchronous(f frame) {
	if c.active != nil {
		c.forwardFrame(f)
		return
	}
	c.out = append(c.out, f...)
}

// relayReady ends the active request. rest contains the messages that were read after ReadyForQuery.
func (c *client) relayReady(f frame, rest []frame) {
	a := c.active
	if len(f.body()) != 1 || !a.isSynchronised() || !areAsynchronous(rest) {
		c.closeServer()
		c.endWithError(port.Errorf(port.UnknownOutcome, "the server violated the protocol"))
		return
	}
	c.txStatus = f.body()[0]
	a.exchange = a.exchange.WithEvent(request.Finished{})
	if c.txStatus == 'I' && a.exchange.IsRefused() && a.exchange.MayRetry() && c.retryRefusedWrite() {
		return
	}
	if a.copyRejected {
		a.held = encode(nil, errorResponse(severityError, c.copyOutcome()))
	}
	if position, ok := a.exchange.PendingAcknowledgment(); ok {
		c.flush()
		err := c.listener.selector.AwaitDurable(c.ctx, c.target.Group, position)
		a.exchange = a.exchange.WithEvent(request.AcknowledgmentEnded{Err: err})
		if err != nil {
			c.endUnacknowledged(err)
			return
		}
		c.authorized = c.authorized.WithSession(c.authorized.Session.WithFloor(c.target.Group, position))
		token := c.listener.authorizer.Token(c.authorized.Session)
		a.held = encode(a.held, &pgproto3.ParameterStatus{Name: sessionParameter, Value: token})
	}
	c.out = append(c.out, a.held...)
	c.endRequest()
	c.out = append(c.out, f...)
	for _, f := range rest {
		c.relayAsynchronous(f)
	}
	if c.txStatus == 'I' {
		c.releaseServer()
	}
}

// endUnacknowledged responds to a write that was committed but not acknowledged by a majority.
func (c *client) endUnacknowledged(err error) {
	if c.active.exchange.Outcome() != port.Discarded {
		err = port.Wrapf(err, port.UnknownOutcome, "the write was not acknowledged")
	}
	ended := c.txStatus == 'I'
	c.closeServer()
	c.endRequest()
	if !ended {
		c.closeWithError(err)
		return
	}
	c.send(errorResponse(severityError, err))
	c.sendReady(c.txStatus)
}

// handleServerLost retries or ends the active request after the server connection was lost.
func (c *client) handleServerLost(err error) {
	c.server = nil
	c.running.Store(false)
	c.stopIdleTimer()
	c.txStatus = 'I'
	if c.active == nil {
		c.abortTransaction(port.Wrapf(err, port.NotKept, "the transaction was rolled back"))
		return
	}
	a := c.active
	if a.exchange.MayRetry() && a.attempts < maxAttempts {
		c.retry()
		return
	}
	if a.exchange.Outcome() == port.NotRun {
		c.endWithError(asNotRun(err))
		return
	}
	c.endWithError(port.Wrapf(err, port.UnknownOutcome, "the server connection was lost during the request"))
}

// retryRefusedWrite retries a write that a server refused because it is not the primary, as long as the instance may
// not know the new primary yet. It returns false if the client gets the refusal.
func (c *client) retryRefusedWrite() bool {
	if c.listener.timer.Now()-c.active.started >= refusedWriteRetryTime {
		return false
	}
	c.releaseServer()
	if port.Sleep(c.ctx, c.listener.timer, acquireRetryDelay) == nil {
		c.retry()
	}
	return true
}

// retry sends the active request again. The buffered output of the last attempt is discarded.
func (c *client) retry() {
	a := c.active
	c.out = c.out[:a.outStart]
	a.exchange = a.exchange.ForRetry()
	a.held, a.expectedCompletions, a.copyRejected, a.discardedCopyBytes = nil, nil, false, 0
	c.attempt()
}

// abortTransaction closes the connection of a client whose transaction is lost, because its next statements must not
// run outside that transaction.
func (c *client) abortTransaction(err error) {
	if c.server != nil {
		c.closeServer()
	}
	c.closeWithError(err)
}

// endWithError ends the active request with an error after its server connection was closed.
func (c *client) endWithError(err error) {
	a := c.endRequest()
	if a.exchange.InTransaction {
		c.closeWithError(err)
		return
	}
	c.send(errorResponse(severityError, err))
	if !a.isSynchronised() {
		c.skipToSync = true
		return
	}
	c.sendReady(c.txStatus)
}
