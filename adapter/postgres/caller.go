package postgres

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// eventCapacity bounds the events that wait for a caller's duty; servers and the caller wait while it is full.
	eventCapacity = 64
	// unitsAhead is how many units of a caller are read before the first of them is sent. It is far below
	// eventCapacity, so that a caller's units never keep out a server's answer.
	unitsAhead = 4
	// maxUnitMessages is how many times the message limit one batch of a caller may take.
	maxUnitMessages = 4
	// placementLimit is how long a transaction waits for a server.
	placementLimit = 15 * time.Second
	// placementPause is the pause before another server is looked for. After promptAttempts there is none: the server may
	// just have closed an idle connection.
	placementPause = 100 * time.Millisecond
	promptAttempts = 2
	// maxAttempts bounds how often one request is sent.
	maxAttempts = 5
	// writeLimit is how long a caller may take to accept a part of its answer.
	writeLimit = time.Minute
	// flushBytes is how much of an answer is collected while more of it is waiting.
	flushBytes = 32 << 10
	// maxIdleOutput is the size of the output buffer that a caller keeps.
	maxIdleOutput = 64 << 10
	// callerBuffer is the size of a caller's read buffer. It is small because most callers are idle; a message that is
	// larger is read into its own memory, with one more read.
	callerBuffer = 1 << 10
)

// event is what a caller's duty is told. It is one of unitReceived, callerLeft, serverAnswered, serverBroken,
// cancelAsked, stopAsked, idleElapsed, placedElsewhere and answerOverdue.
type event interface{ event() }

// unitReceived is a part of a request that is sent to the server at once.
type unitReceived struct{ unit unit }

// callerLeft says that nothing more will come from the caller.
type callerLeft struct{ err error }

// serverAnswered carries messages that the server sent on the connection lent under the nonce.
type serverAnswered struct {
	backend *backend
	nonce   string
	frames  []frame
}

// serverBroken says that the connection lent under the nonce has ended.
type serverBroken struct {
	nonce string
	err   error
}

type cancelAsked struct{}

type stopAsked struct{}

// idleElapsed says that a transaction has been idle for the limit since the request of the number.
type idleElapsed struct{ request uint64 }

// placedElsewhere says that a write like the request of the number would now go to another server.
type placedElsewhere struct{ request uint64 }

// answerOverdue says that no answer to the request of the number is to be expected any more.
type answerOverdue struct{ request uint64 }

func (unitReceived) event()    {}
func (callerLeft) event()      {}
func (serverAnswered) event()  {}
func (serverBroken) event()    {}
func (cancelAsked) event()     {}
func (stopAsked) event()       {}
func (idleElapsed) event()     {}
func (placedElsewhere) event() {}
func (answerOverdue) event()   {}

// unit is a run of messages that ends with Query, Sync or Flush.
type unit struct {
	frames []frame
	size   int
}

// isSynchronised reports whether the server answers the unit with ReadyForQuery.
func (u unit) isSynchronised() bool { return u.end() != 'H' }

// caller is one caller's connection after start-up. Its duty is loop, which owns the state; run reads.
type caller struct {
	listener *Listener
	conn     net.Conn
	reader   *bufio.Reader
	pid      uint32
	secret   []byte
	entry    entry.Client
	events   *ring.Ring[event]
	ahead    *ring.Ring[struct{}]
	ctx      context.Context
	leave    context.CancelCauseFunc
	// interrupt ends the wait for a server connection; nil while the duty does not wait.
	interrupt atomic.Pointer[context.CancelFunc]
	// forwarded is set while another instance serves the caller.
	forwarded atomic.Pointer[forwarded]

	// The following belong to the duty.
	out        []byte
	backend    *backend
	target     entry.Target
	nonce      string
	statements request.Statements
	// prepared are the statements that the server connection has.
	prepared map[string]bool
	// waiting are units that came while an earlier request was being answered.
	waiting []unit
	// skipping is true after an error in a request until its Sync.
	skipping bool
	// status is the transaction status that the server reported last.
	status    byte
	cancelled bool
	stopping  bool
	finished  bool
	requests  uint64
	active    *activeRequest
	// stopIdle ends the timer that limits an idle transaction.
	stopIdle func()
}

// activeRequest is the request that is being answered.
type activeRequest struct {
	exchange request.Exchange
	units    []unit
	// outStart is the length of the caller's output when the request began.
	outStart int
	held     []byte
	expected []expectation
	attempts int
	started  time.Duration
	// stopWatch ends the duty or the timer that watches over a write.
	stopWatch func()
	// copied counts the bytes of a refused COPY that are passed over; copying is true from its start.
	copied  int
	copying bool
}

// add adds a unit that continues the request. The earlier ones are kept only while the request may be sent again.
func (a *activeRequest) add(u unit) {
	if !a.exchange.MayRetry() {
		a.units = nil
	}
	a.units = append(a.units, u)
}

// isSynchronised reports whether the server answers the request with ReadyForQuery without a further unit.
func (a *activeRequest) isSynchronised() bool { return a.units[len(a.units)-1].isSynchronised() }

func newCaller(ctx context.Context, l *Listener, conn net.Conn, reader *bufio.Reader, admitted entry.Client) *caller {
	ctx, leave := context.WithCancelCause(ctx)
	return &caller{
		listener: l, conn: conn, reader: reader, entry: admitted, events: ring.New[event](eventCapacity),
		ahead: ring.New[struct{}](unitsAhead), ctx: ctx, leave: leave, status: 'I', stopIdle: func() {},
	}
}

// loop serves the caller until it leaves or is dismissed.
func (c *caller) loop() {
	for !c.finished {
		e, err := c.events.Take(c.ctx)
		if err != nil {
			break
		}
		c.handle(e)
		if c.events.Len() == 0 && !c.collects() {
			c.flush()
		}
	}
	if c.backend != nil {
		c.backend.close()
	}
	if c.active != nil {
		c.active.stopWatch()
	}
	c.flush()
	c.stopIdle()
	c.leave(errors.New("the caller was dismissed"))
}

// collects reports whether a short answer is kept back until it is complete. As long as nothing of it has gone to the
// caller, a write that a replica refused can be placed again.
func (c *caller) collects() bool {
	return c.active != nil && !c.active.exchange.Read && c.active.isSynchronised()
}

func (c *caller) handle(e event) {
	switch e := e.(type) {
	case unitReceived:
		c.waiting = append(c.waiting, e.unit)
	case callerLeft:
		c.dismiss(e.err)
	case serverAnswered:
		c.handleAnswer(e)
	case serverBroken:
		if c.isLent(e.nonce) {
			c.handleBroken(e.err)
		}
	case cancelAsked:
		c.cancel()
	case stopAsked:
		c.stopping = true
	case idleElapsed:
		if e.request == c.requests && c.active == nil {
			c.dismiss(port.Errorf(port.Stopping, "the instance is stopping and the transaction was idle"))
		}
	case placedElsewhere:
		c.expectAnswer(e.request)
	case answerOverdue:
		c.giveUp(e.request)
	}
	c.proceed()
}

// proceed begins or continues requests with the units that wait, as far as the active request allows.
func (c *caller) proceed() {
	for len(c.waiting) > 0 && !c.finished && (c.active == nil || !c.active.isSynchronised()) {
		if c.stopping && c.active == nil && c.backend == nil {
			break
		}
		u := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.take(u)
	}
	if c.stopping && c.active == nil && !c.finished {
		c.proceedStop()
	}
}

// after puts an event when d has passed, unless the caller has gone.
func (c *caller) after(d time.Duration, e event) (stop func()) {
	return c.listener.timer.After(d, func(time.Duration) { c.events.TryPut(e) })
}

// proceedStop dismisses a caller without a transaction, and limits how long a transaction may be idle.
func (c *caller) proceedStop() {
	if c.backend == nil {
		c.dismiss(port.Errorf(port.Stopping, "the instance is stopping"))
		return
	}
	c.stopIdle()
	c.stopIdle = c.after(c.listener.cfg.DrainIdleTimeout, idleElapsed{request: c.requests})
}

func (c *caller) take(u unit) {
	switch {
	case c.skipping && u.end() == 'S':
		c.skipping = false
		c.ready(c.status)
		c.wrote()
	case c.skipping:
		c.wrote()
	case c.active != nil:
		c.active.add(u)
		c.transmit(u, c.wrote)
	case c.backend == nil && len(u.frames) == 1 && u.end() == 'S':
		c.wrote()
		c.ready(c.status)
	default:
		c.begin(u)
	}
}

// wrote lets another unit be read.
func (c *caller) wrote() { c.ahead.TryTake() }

// isLent reports whether the connection lent under the nonce is the one that the caller has now.
func (c *caller) isLent(nonce string) bool { return c.backend != nil && c.nonce == nonce }

// dismiss sends a last error and ends the duty.
func (c *caller) dismiss(err error) {
	c.send(errorResponse(severityFatal, err))
	c.finished = true
}

// askCancel passes a cancel request to the duty, or ends its wait for a server connection.
func (c *caller) askCancel() {
	if f := c.forwarded.Load(); f != nil {
		f.askCancel()
		return
	}
	if interrupt := c.interrupt.Load(); interrupt != nil {
		(*interrupt)()
		return
	}
	c.events.TryPut(cancelAsked{})
}

// cancel asks the server to cancel the active request.
func (c *caller) cancel() {
	if c.active == nil || c.backend == nil {
		return
	}
	c.cancelled = true
	c.listener.cancelAt(c.backend)
}

func (c *caller) send(m pgproto3.BackendMessage) { c.out = encode(c.out, m) }

func (c *caller) ready(status byte) { c.send(&pgproto3.ReadyForQuery{TxStatus: status}) }

// flush writes the collected output. A caller that does not accept it within the limit loses its connection.
func (c *caller) flush() {
	if len(c.out) == 0 {
		return
	}
	if c.active != nil && len(c.out) > c.active.outStart {
		c.active.exchange = c.active.exchange.WithEvent(request.ResponseStarted{})
	}
	stop := c.listener.timer.After(writeLimit, func(time.Duration) { _ = c.conn.Close() })
	_, err := c.conn.Write(c.out)
	stop()
	c.out = c.out[:0]
	if cap(c.out) > maxIdleOutput {
		c.out = nil
	}
	if c.active != nil {
		c.active.outStart = 0
	}
	if err != nil {
		c.leave(err)
	}
}

// runStop tells the duty that the instance is stopping.
func (c *caller) runStop() {
	defer c.listener.duties.Done()
	if f := c.forwarded.Load(); f != nil {
		f.askStop()
		return
	}
	_ = c.events.Put(c.ctx, stopAsked{})
}
