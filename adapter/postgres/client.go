package postgres

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/immutable"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// clientEventCapacity limits the events that are queued for a client; each holds up to readChunkBytes of a response.
	// While the queue is full, servers and the client block.
	clientEventCapacity = 16
	// maxReadAhead is how many batches of a client are read before the first of them is sent. It is far below
	// clientEventCapacity, so that batches never fill the queue and block the responses of the server.
	maxReadAhead = 4
	// maxBatchFactor limits the size of a batch as a multiple of the message size limit.
	maxBatchFactor = 4
	// acquireTimeout is how long a transaction waits for a server connection.
	acquireTimeout = 15 * time.Second
	// acquireRetryDelay is the delay before another attempt to get a server connection. There is none after the first
	// immediateAttempts attempts, because the server may just have closed an idle connection.
	acquireRetryDelay = 100 * time.Millisecond
	immediateAttempts = 2
	// maxAttempts is how often one request is sent at most.
	maxAttempts = 5
	// flushBytes is how much of a response is buffered while more events are queued.
	flushBytes = 32 << 10
	// maxRetainedOutput is the largest output buffer that a client keeps after a flush.
	maxRetainedOutput = 64 << 10
	// clientReadBuffer is the size of a client's read buffer. It is small because most clients are idle. A larger
	// message is read into memory of its own, which takes one more read.
	clientReadBuffer = 1 << 10
)

// event is an event in the queue of a client. It is one of batchReceived, clientFailed, responseReceived, serverLost,
// cancelRequested, drainRequested, idleTimedOut, transactionIdle, serverReplaced and responseTimedOut.
type event interface{ event() }

// batchReceived contains the next batch of the client.
type batchReceived struct{ batch batch }

// clientFailed reports that nothing more can be read from the client because it violated the protocol.
type clientFailed struct{ err error }

// responseReceived contains messages that the server sent on the connection that was checked out with the nonce.
type responseReceived struct {
	server *serverConn
	nonce  string
	frames []frame
}

// serverLost reports that the connection that was checked out with the nonce has ended.
type serverLost struct {
	nonce string
	err   error
}

type cancelRequested struct{}

type drainRequested struct{}

// idleTimedOut reports that a transaction has been idle for DrainIdleTimeout since the request with the number.
type idleTimedOut struct{ request uint64 }

// transactionIdle reports that a transaction has been idle for IdleTransactionTimeout since the request with the number.
type transactionIdle struct{ request uint64 }

// serverReplaced reports that a write like the request with the number would now be sent to another server.
type serverReplaced struct{ request uint64 }

// responseTimedOut reports that the server no longer responds to the request with the number.
type responseTimedOut struct{ request uint64 }

func (batchReceived) event()    {}
func (clientFailed) event()     {}
func (responseReceived) event() {}
func (serverLost) event()       {}
func (cancelRequested) event()  {}
func (drainRequested) event()   {}
func (idleTimedOut) event()     {}
func (transactionIdle) event()  {}
func (serverReplaced) event()   {}
func (responseTimedOut) event() {}

// batch is a sequence of messages that ends with Query, Sync or Flush. It is sent to the server as a whole.
type batch struct {
	frames []frame
	size   int
	// memory is the memory of the batch, and charged what was taken for it.
	memory, charged int
}

// isSynchronised reports whether the server responds to the batch with ReadyForQuery.
func (b batch) isSynchronised() bool { return b.lastKind() != 'H' }

// client is a client's connection after start-up. The goroutine of loop owns its state; that of run reads messages.
type client struct {
	listener   *Listener
	conn       net.Conn
	reader     *bufio.Reader
	pid        uint32
	cancelKey  []byte
	authorized entry.Client
	events     *ring.Ring[event]
	readAhead  *ring.Ring[struct{}]
	ctx        context.Context
	cancel     context.CancelCauseFunc
	// place limits what the client holds. It may be nil.
	place *clientlimit.Place
	// running is true while the client has a server connection.
	running atomic.Bool
	// cancelAcquire ends the wait for a server connection. It is nil while there is no wait.
	cancelAcquire atomic.Pointer[context.CancelFunc]
	// forwarder is set while another instance serves the client.
	forwarder atomic.Pointer[forwarder]

	// The following fields are owned by loop.
	out        []byte
	server     *serverConn
	target     entry.Target
	nonce      string
	statements request.Statements
	// stateSize is the size of the statements that the client's place has memory for.
	stateSize int
	// serverStatements contains the names of the prepared statements that exist on the server connection.
	serverStatements immutable.Map[struct{}]
	// queued contains the batches that arrived during an earlier request.
	queued []batch
	// skipToSync is true after an error in a request, until its Sync arrives.
	skipToSync bool
	// txStatus is the transaction status that the server reported last.
	txStatus      byte
	cancelSent    bool
	stopping      bool
	finished      bool
	requestNumber uint64
	active        *activeRequest
	// stopIdleTimer stops the timer that limits an idle transaction.
	stopIdleTimer func()
}

// activeRequest is the request that the server is processing.
type activeRequest struct {
	exchange request.Exchange
	batches  []batch
	// charged is the memory that was taken for the batches.
	charged int
	// outStart is the length of the client's output when the request started.
	outStart            int
	held                []byte
	expectedCompletions []expectedCompletion
	attempts            int
	started             time.Duration
	// stopWatch ends the goroutine or the timer that watches for the response.
	stopWatch func()
	// discardedCopyBytes is the size of the discarded output of a rejected COPY. copyRejected is true from its start.
	discardedCopyBytes int
	copyRejected       bool
}

// add adds a batch that continues the request. The earlier batches are kept only as long as the request may be retried. It
// returns the memory of batches that are no longer kept.
func (a *activeRequest) add(b batch) (released int) {
	if !a.exchange.MayRetry() {
		released, a.charged, a.batches = a.charged, 0, nil
	}
	a.batches, a.charged = append(a.batches, b), a.charged+b.charged
	return released
}

// isSynchronised reports whether the server responds to the request with ReadyForQuery without another batch.
func (a *activeRequest) isSynchronised() bool { return a.batches[len(a.batches)-1].isSynchronised() }

func newClient(ctx context.Context, l *Listener, conn net.Conn, reader *bufio.Reader, authorized entry.Client) *client {
	ctx, cancel := context.WithCancelCause(ctx)
	return &client{
		listener: l, conn: conn, reader: reader, authorized: authorized, events: ring.New[event](clientEventCapacity),
		readAhead: ring.New[struct{}](maxReadAhead), ctx: ctx, cancel: cancel, txStatus: 'I', stopIdleTimer: func() {},
	}
}

// loop serves the client until it leaves or its connection is closed.
func (c *client) loop() {
	defer c.end()
	for !c.finished {
		e, err := c.events.Take(c.ctx)
		if err != nil {
			return
		}
		c.handle(e)
		if c.events.Len() == 0 && !c.buffersResponse() {
			c.flush()
		}
	}
}

// end releases what the client holds.
func (c *client) end() {
	if c.server != nil {
		c.server.close()
	}
	if c.active != nil {
		c.active.stopWatch()
	}
	c.flush()
	c.stopIdleTimer()
	c.cancel(errors.New("the client's connection was closed"))
}

// buffersResponse reports whether a short response is buffered until it is complete. As long as the client has received
// nothing, a write that a replica refused can be retried.
func (c *client) buffersResponse() bool {
	return c.active != nil && !c.active.exchange.Read && c.active.isSynchronised()
}

func (c *client) handle(e event) {
	switch e := e.(type) {
	case batchReceived:
		c.queued = append(c.queued, e.batch)
	case clientFailed:
		c.closeWithError(e.err)
	case responseReceived:
		c.handleResponse(e)
	case serverLost:
		if c.isCurrent(e.nonce) {
			c.handleServerLost(e.err)
		}
	case cancelRequested:
		c.cancelRequest()
	case drainRequested:
		c.stopping = true
	case idleTimedOut:
		if e.request == c.requestNumber && c.active == nil {
			c.closeWithError(port.Errorf(port.Stopping, "the instance is stopping and the transaction was idle"))
		}
	case transactionIdle:
		c.handleIdleTransaction(e.request)
	case serverReplaced:
		c.limitResponseTime(e.request)
	case responseTimedOut:
		c.abandonRequest(e.request)
	}
	c.startQueued()
}

// startQueued starts or continues requests with the queued batches, as far as the active request permits.
func (c *client) startQueued() {
	for len(c.queued) > 0 && !c.finished && (c.active == nil || !c.active.isSynchronised()) {
		if c.stopping && c.active == nil && c.server == nil {
			break
		}
		b := c.queued[0]
		c.queued = c.queued[1:]
		c.handleBatch(b)
	}
	if c.stopping && c.active == nil && !c.finished {
		c.drain()
	}
}

// sendAfter queues an event after d, unless the client has left by then.
func (c *client) sendAfter(d time.Duration, e event) (stop func()) {
	return c.listener.timer.After(d, func(time.Duration) { c.events.TryPut(e) })
}

// drain closes the connection of a client without a transaction, and limits how long a transaction may be idle.
func (c *client) drain() {
	if c.server == nil {
		c.closeWithError(port.Errorf(port.Stopping, "the instance is stopping"))
		return
	}
	c.stopIdleTimer()
	c.stopIdleTimer = c.sendAfter(c.listener.cfg.DrainIdleTimeout, idleTimedOut{request: c.requestNumber})
}

func (c *client) handleBatch(b batch) {
	switch {
	case c.skipToSync && b.lastKind() == 'S':
		c.release(b.charged)
		c.skipToSync = false
		c.sendReady(c.txStatus)
		c.allowRead()
	case c.skipToSync:
		c.release(b.charged)
		c.allowRead()
	case c.active != nil:
		c.release(c.active.add(b))
		c.sendBatch(b, c.allowRead)
	case c.server == nil && len(b.frames) == 1 && b.lastKind() == 'S':
		c.release(b.charged)
		c.allowRead()
		c.sendReady(c.txStatus)
		c.limitIdleTransaction()
	default:
		c.startRequest(b)
	}
}

// allowRead permits the reader to read another batch.
func (c *client) allowRead() { c.readAhead.TryTake() }

// isCurrent reports whether the connection that was checked out with the nonce is the client's current one.
func (c *client) isCurrent(nonce string) bool { return c.server != nil && c.nonce == nonce }

// closeWithError sends a fatal error and ends loop.
func (c *client) closeWithError(err error) {
	c.send(errorResponse(severityFatal, err))
	c.finished = true
}

// requestCancel cancels the wait for a server connection, or queues the cancel request.
func (c *client) requestCancel() {
	if f := c.forwarder.Load(); f != nil {
		f.requestCancel()
		return
	}
	if interrupt := c.cancelAcquire.Load(); interrupt != nil {
		(*interrupt)()
		return
	}
	c.events.TryPut(cancelRequested{})
}

// cancelRequest asks the server to cancel the active request.
func (c *client) cancelRequest() {
	if c.active == nil || c.server == nil {
		return
	}
	c.cancelSent = true
	c.listener.cancelOnServer(c.server)
}

func (c *client) send(m pgproto3.BackendMessage) { c.out = encode(c.out, m) }

func (c *client) sendReady(status byte) { c.send(&pgproto3.ReadyForQuery{TxStatus: status}) }

// flush writes the buffered output. The connection is closed if the client does not accept it within
// the limit.
func (c *client) flush() {
	if len(c.out) == 0 {
		return
	}
	if c.active != nil && len(c.out) > c.active.outStart {
		c.active.exchange = c.active.exchange.WithEvent(request.ResponseStarted{})
	}
	size := int64(max(len(c.out)-clientlimit.UncountedMessage, 0))
	stop := c.listener.limitWrite(c, size > 0 && c.place.HoldMessage(size))
	_, err := c.conn.Write(c.out)
	stop()
	c.place.GiveMessage(size)
	c.out = c.out[:0]
	if cap(c.out) > maxRetainedOutput {
		c.out = nil
	}
	if c.active != nil {
		c.active.outStart = 0
	}
	if err != nil {
		c.cancel(err)
	}
}

// runStop starts the drain of this client.
func (c *client) runStop() {
	defer c.listener.running.Done()
	if f := c.forwarder.Load(); f != nil {
		f.startDrain()
		return
	}
	_ = c.events.Put(c.ctx, drainRequested{})
}
