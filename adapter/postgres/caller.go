package postgres

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"slices"
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
	// callerBuffer is the size of a caller's read buffer. It is small because most callers are idle.
	callerBuffer = 4 << 10
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

// end returns the type of the last message.
func (u unit) end() byte { return u.frames[len(u.frames)-1].kind() }

// isSynchronised reports whether the server answers the unit with ReadyForQuery.
func (u unit) isSynchronised() bool { return u.end() != 'H' }

// caller is one caller's connection after start-up. Its duty is loop, which owns the state; run reads.
type caller struct {
	listener *Listener
	conn     net.Conn
	reader   *bufio.Reader
	pid      uint32
	secret   []byte
	entry    entry.Caller
	events   *ring.Ring[event]
	ahead    *ring.Ring[struct{}]
	ctx      context.Context
	leave    context.CancelCauseFunc
	// interrupt ends the wait for a server connection; nil while the duty does not wait.
	interrupt atomic.Pointer[context.CancelFunc]

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

func newCaller(ctx context.Context, l *Listener, conn net.Conn, reader *bufio.Reader, admitted entry.Caller) *caller {
	ctx, leave := context.WithCancelCause(ctx)
	return &caller{
		listener: l, conn: conn, reader: reader, entry: admitted, events: ring.New[event](eventCapacity),
		ahead: ring.New[struct{}](unitsAhead), ctx: ctx, leave: leave, status: 'I', stopIdle: func() {},
	}
}

// run reads the caller's messages until the connection ends.
func (c *caller) run() {
	for {
		u, err := c.readUnit()
		if err != nil {
			c.readFailed(err)
			return
		}
		if c.ahead.Put(c.ctx, struct{}{}) != nil {
			return
		}
		if c.events.Put(c.ctx, unitReceived{unit: u}) != nil {
			return
		}
	}
}

// readFailed ends the duty at once when the caller has gone. When the caller broke the protocol, the duty still
// answers.
func (c *caller) readFailed(err error) {
	var told *port.Error
	if !errors.As(err, &told) {
		c.leave(errors.New("the caller left"))
		return
	}
	_ = c.events.Put(c.ctx, callerLeft{err: err})
}

func (c *caller) readUnit() (unit, error) {
	var u unit
	for {
		f, err := readFrame(c.reader, c.listener.cfg.MessageLimit)
		if err != nil {
			return unit{}, err
		}
		u.size += len(f)
		if u.size > maxUnitMessages*c.listener.cfg.MessageLimit {
			return unit{}, port.Failf(port.TooLarge, "batch exceeds %d bytes", maxUnitMessages*c.listener.cfg.MessageLimit)
		}
		switch f.kind() {
		case 'P', 'B', 'D', 'E', 'C':
			u.frames = append(u.frames, f)
		case 'Q', 'S', 'H':
			u.frames = append(u.frames, f)
			return u, nil
		case 'd', 'c', 'f':
			// The caller sent COPY data before it learned that COPY was refused.
		case 'X':
			return unit{}, io.EOF
		case 'F':
			return unit{}, port.Failf(port.Unsupported, "function calls are not supported")
		default:
			return unit{}, port.Failf(port.Protocol, "message of unknown type %q", f.kind())
		}
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
			c.dismiss(port.Failf(port.Stopping, "the instance is stopping and the transaction was idle"))
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
	return c.listener.timer.After(d, func(time.Duration) { c.events.Offer(e) })
}

// proceedStop dismisses a caller without a transaction, and limits how long a transaction may be idle.
func (c *caller) proceedStop() {
	if c.backend == nil {
		c.dismiss(port.Failf(port.Stopping, "the instance is stopping"))
		return
	}
	c.stopIdle()
	c.stopIdle = c.after(c.listener.cfg.IdleLimit, idleElapsed{request: c.requests})
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

// begin starts a request. Nothing of the caller's earlier answers is left unsent, so that the output of this request can
// be dropped when it is sent again.
func (c *caller) begin(u unit) {
	c.flush()
	c.requests++
	admitted, err := c.listener.gate.Spend(c.ctx, c.entry)
	if err != nil {
		c.wrote()
		c.listener.cfg.Observer.RequestEnded(port.NotRun)
		c.refuse(u, err)
		return
	}
	c.entry = admitted
	c.active = &activeRequest{
		exchange: request.Exchange{
			Read: c.entry.Read, Idempotent: c.entry.Route.Idempotent, Continued: c.backend != nil,
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
		if attempt > promptAttempts && c.listener.pause(ctx, placementPause) != nil {
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
	target, err := c.listener.director.Place(ctx, c.entry)
	if err != nil {
		return refusal(err)
	}
	b, err := c.listener.pool.checkout(ctx, target, c.entry.Route.Slot, c.entry.Organisation)
	if err != nil {
		return refusal(err)
	}
	nonce := rand.Text()
	if err := b.bind(ctx, c.entry, lent{ctx: c.ctx, nonce: nonce, events: c.events}); err != nil {
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
	if !c.active.exchange.Continued {
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
	b.release(c.nonce)
}

// drop closes the server connection; the server rolls back what was not committed.
func (c *caller) drop() {
	c.backend.close()
	c.backend = nil
	c.status = 'I'
}

// dismiss sends a last error and ends the duty.
func (c *caller) dismiss(err error) {
	c.send(errorResponse(severityFatal, err))
	c.finished = true
}

// askCancel passes a cancel request to the duty, or ends its wait for a server connection.
func (c *caller) askCancel() {
	if interrupt := c.interrupt.Load(); interrupt != nil {
		(*interrupt)()
		return
	}
	c.events.Offer(cancelAsked{})
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
		c.active.exchange = c.active.exchange.WithEvent(request.Relayed{})
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
	_ = c.events.Put(c.ctx, stopAsked{})
}
