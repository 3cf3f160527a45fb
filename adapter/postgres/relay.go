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
	// sessionParameter is the parameter in which a caller brings its session token and gets the new one.
	sessionParameter = "rhubarbwick.session"
	// refusalLimit is how long a write is placed again that a server refused because it is not the primary. An instance
	// learns of a new primary within about 1 s.
	refusalLimit = 5 * time.Second
)

// handleAnswer relays a part of the answer to the active request.
func (c *caller) handleAnswer(e serverAnswered) {
	if !c.isLent(e.nonce) {
		e.rejectUnasked()
		return
	}
	for i, f := range e.frames {
		if !c.isLent(e.nonce) || c.finished {
			return
		}
		switch {
		case c.active == nil:
			c.relayUnasked(f)
		case f.kind() == 'Z':
			c.relayReady(f, e.frames[i+1:])
			return
		default:
			c.relay(f)
		}
	}
}

// rejectUnasked closes a connection on which an answer came after its transaction had ended.
func (e serverAnswered) rejectUnasked() {
	if !areAsynchronous(e.frames) {
		e.backend.close()
	}
}

// relayUnasked handles what a server says while a transaction is idle. Only asynchronous messages may come then.
func (c *caller) relayUnasked(f frame) {
	if isAsynchronous(f) {
		c.relayAsynchronous(f)
		return
	}
	c.loseTransaction(port.Errorf(port.NotKept, "the server broke the protocol and the transaction was rolled back"))
}

func (c *caller) relay(f frame) {
	a := c.active
	if a.copying {
		c.passOver(f)
		return
	}
	switch f.kind() {
	case 'S', 'N', 'A':
		c.relayAsynchronous(f)
	case '1', '3':
		if c.confirm(f) {
			c.pass(f)
		}
	case 'C':
		tag, _ := cString(f.body())
		a.exchange = a.exchange.WithEvent(request.Completed{Tag: tag, Synchronised: a.isSynchronised()})
		c.pass(f)
	case 'E':
		c.relayError(f)
	case 'G', 'H', 'W':
		c.refuseCopy(f)
	default:
		c.pass(f)
	}
}

// relayError relays an error that the request caused. After an error that ends the server connection, the caller's own
// connection stays and gets the outcome of its request.
func (c *caller) relayError(f frame) {
	var m pgproto3.ErrorResponse
	if err := m.Decode(f.body()); err != nil || m.Severity == "FATAL" || m.Severity == "PANIC" {
		c.drop()
		c.handleBroken(port.Errorf(port.NoConnection, "the server ended the connection: %s", m.Message))
		return
	}
	if m.Code == port.ReadOnly.Codes().SQLState {
		c.active.exchange = c.active.exchange.WithEvent(request.Refused{})
	}
	c.active.expected = nil
	c.pass(f)
}

// pass gives a message to the caller, or holds it while the answer may confirm a write.
func (c *caller) pass(f frame) {
	a := c.active
	if !a.exchange.HoldsResponse() {
		c.out = append(c.out, f...)
		if len(c.out) >= flushBytes {
			c.flush()
		}
		return
	}
	a.held = append(a.held, f...)
	if len(a.held) > c.listener.cfg.HoldLimit {
		c.drop()
		c.endBroken(port.Errorf(port.UnknownOutcome, "the answer exceeds %d held bytes", c.listener.cfg.HoldLimit))
	}
}

func (c *caller) relayAsynchronous(f frame) {
	if f.kind() != 'S' {
		c.passAsynchronous(f)
		return
	}
	name, rest := cString(f.body())
	if name != positionParameter {
		c.passAsynchronous(f)
		return
	}
	if c.active == nil {
		return
	}
	value, _ := cString(rest)
	position, err := group.ParsePosition(value)
	if err != nil {
		c.drop()
		c.endBroken(port.Wrapf(err, port.UnknownOutcome, "the server reported an invalid position"))
		return
	}
	c.active.exchange = c.active.exchange.WithEvent(request.Committed{Position: position})
}

func (c *caller) passAsynchronous(f frame) {
	if c.active != nil {
		c.pass(f)
		return
	}
	c.out = append(c.out, f...)
}

// relayReady ends the active request. rest are the messages that came with ReadyForQuery and after it.
func (c *caller) relayReady(f frame, rest []frame) {
	a := c.active
	if len(f.body()) != 1 || !a.isSynchronised() || !areAsynchronous(rest) {
		c.drop()
		c.endBroken(port.Errorf(port.UnknownOutcome, "the server broke the protocol"))
		return
	}
	c.status = f.body()[0]
	a.exchange = a.exchange.WithEvent(request.Finished{})
	if c.status == 'I' && a.exchange.IsRefused() && a.exchange.MayRetry() && c.placesAgain() {
		return
	}
	if a.copying {
		a.held = encode(nil, errorResponse(severityError, c.copyError()))
	}
	if position, ok := a.exchange.PendingAcknowledgment(); ok {
		c.flush()
		err := c.listener.director.AwaitDurable(c.ctx, c.target.Group, position)
		a.exchange = a.exchange.WithEvent(request.AcknowledgmentEnded{Err: err})
		if err != nil {
			c.endUnconfirmed(err)
			return
		}
		c.entry = c.entry.WithSession(c.entry.Session.WithFloor(c.target.Group, position))
		token := c.listener.gate.Token(c.entry.Session)
		a.held = encode(a.held, &pgproto3.ParameterStatus{Name: sessionParameter, Value: token})
	}
	c.out = append(c.out, a.held...)
	c.end()
	c.out = append(c.out, f...)
	for _, f := range rest {
		c.relayAsynchronous(f)
	}
	if c.status == 'I' {
		c.giveBack()
	}
}

// endUnconfirmed answers a write that was committed but not acknowledged.
func (c *caller) endUnconfirmed(err error) {
	if c.active.exchange.Outcome() != port.Discarded {
		err = port.Wrapf(err, port.UnknownOutcome, "the write was not acknowledged")
	}
	ended := c.status == 'I'
	c.drop()
	c.end()
	if !ended {
		c.dismiss(err)
		return
	}
	c.send(errorResponse(severityError, err))
	c.ready(c.status)
}

// handleBroken follows the loss of the server connection.
func (c *caller) handleBroken(err error) {
	c.backend = nil
	c.status = 'I'
	if c.active == nil {
		c.loseTransaction(port.Wrapf(err, port.NotKept, "the transaction was rolled back"))
		return
	}
	a := c.active
	if a.exchange.MayRetry() && a.attempts < maxAttempts {
		c.restart()
		return
	}
	if a.exchange.Outcome() == port.NotRun {
		c.endBroken(refusal(err))
		return
	}
	c.endBroken(port.Wrapf(err, port.UnknownOutcome, "the server connection broke during the request"))
}

// placesAgain sends a write again that a server refused because it is not the primary, as long as the fleet may not yet
// know the new one. It reports false when the refusal is the answer.
func (c *caller) placesAgain() bool {
	if c.listener.timer.Now()-c.active.started >= refusalLimit {
		return false
	}
	c.giveBack()
	if port.Sleep(c.ctx, c.listener.timer, placementPause) == nil {
		c.restart()
	}
	return true
}

// restart sends the active request again. What was collected of its answer is dropped.
func (c *caller) restart() {
	a := c.active
	c.out = c.out[:a.outStart]
	a.exchange = a.exchange.ForRetry()
	a.held, a.expected, a.copying, a.copied = nil, nil, false, 0
	c.attempt()
}

// loseTransaction dismisses a caller whose open transaction is gone: later statements must not run outside it.
func (c *caller) loseTransaction(err error) {
	if c.backend != nil {
		c.drop()
	}
	c.dismiss(err)
}

// endBroken ends the active request with an error after its server connection was given up.
func (c *caller) endBroken(err error) {
	a := c.end()
	if a.exchange.InTransaction {
		c.dismiss(err)
		return
	}
	c.send(errorResponse(severityError, err))
	if !a.isSynchronised() {
		c.skipping = true
		return
	}
	c.ready(c.status)
}
