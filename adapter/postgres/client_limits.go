package postgres

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/adapter/connlimit"
	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Defaults of the limits on time. They are above what drivers and applications need on slow networks.
const (
	DefaultMessageTimeout         = 30 * time.Second
	DefaultWriteTimeout           = time.Minute
	DefaultIdleTransactionTimeout = 5 * time.Minute
)

const (
	// pressedWriteTimeout is how long a client may take to accept part of a response while all clients hold more memory
	// than they may have. Such a part has up to some megabytes.
	pressedWriteTimeout = 2 * time.Second
	// frameStep is the step in bytes in which memory for a large message is taken, so that a message costs what has arrived
	// and not what its header announces.
	frameStep = 64 << 10
	// chargeStep is the step in bytes in which batches take memory.
	chargeStep = 16 << 10
	// frameOverhead is the memory in bytes of a message in addition to its text.
	frameOverhead = 128
	// maxRejectionLines limits the log lines about clients that are rejected at start-up, per second.
	maxRejectionLines = 10
	// maxRejectionText is the length in bytes to which the reason is cut: it may contain a name of up to 10,000 bytes.
	maxRejectionText = 300
)

// KeepAlive ends the connection of an unreachable client. It is for the socket on which clients connect.
var KeepAlive = keepAlive

// openPlace takes a place for a connection without a key. It returns nil without an error if there are no limits.
func (l *Listener) openPlace(conn net.Conn) (*clientlimit.Place, error) {
	if l.cfg.Guard == nil {
		return nil, nil
	}
	if place := connlimit.OpenPlace(l.cfg.Guard, conn); place != nil {
		return place, nil
	}
	return nil, port.Errorf(port.NoConnection, "too many clients")
}

// seat gives the client the place of its key.
func (c *client) seat() error {
	return c.place.Seat(c.authorized.Organisation + "/" + c.authorized.KeyID)
}

// limitBatch closes the connection if the rest of a batch does not arrive in time.
func (c *client) limitBatch() (stop func()) {
	return c.listener.timer.After(c.listener.cfg.MessageTimeout, func(time.Duration) {
		c.place.Report(clientlimit.MessageTime)
		_ = c.conn.Close()
	})
}

// takeMemory takes memory for n more bytes of the batch. Small batches are part of the client's place.
func (c *client) takeMemory(b *batch, n int) error {
	b.memory += n
	for c.place != nil && b.memory > clientlimit.UncountedMessage+b.charged {
		if !c.place.TakeMessage(chargeStep, c.running.Load()) {
			return port.Errorf(port.Busy, "too many large messages are being handled; try again")
		}
		b.charged += chargeStep
	}
	return nil
}

// updateState records the size of the client's prepared statements. It fails if there is no memory for more.
func (c *client) updateState(size int) error {
	if size == c.stateSize {
		return nil
	}
	if err := c.place.SetState(size); err != nil {
		return err
	}
	c.stateSize = size
	return nil
}

// release gives back the memory of batches.
func (c *client) release(charged int) { c.place.GiveMessage(int64(charged)) }

// limitIdleTransaction ends a transaction that is idle for too long. The client is told when it happens.
func (c *client) limitIdleTransaction() {
	if c.server == nil || c.active != nil || c.stopping || c.txStatus == 'I' {
		return
	}
	c.stopIdleTimer()
	c.stopIdleTimer = c.sendAfter(c.listener.cfg.IdleTransactionTimeout, transactionIdle{request: c.requestNumber})
}

// handleIdleTransaction closes the connection of a client that has sent nothing complete since the request.
func (c *client) handleIdleTransaction(request uint64) {
	if request != c.requestNumber || c.active != nil || c.server == nil {
		return
	}
	c.place.Report(clientlimit.IdleTransaction)
	c.abortTransaction(port.Errorf(port.NotKept, "the transaction was idle for too long and was rolled back"))
}

// lineLimit limits log lines that clients can cause.
type lineLimit struct {
	mu      sync.Mutex
	second  time.Duration
	lines   int
	omitted uint64
}

// allow reports whether another line may be written, and how many were omitted before it.
func (l *lineLimit) allow(now time.Duration) (omitted uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines++; l.lines > maxRejectionLines {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// logRejection logs that a client was rejected at start-up.
func (l *Listener) logRejection(err error) {
	if omitted, ok := l.rejections.allow(l.timer.Now()); ok {
		text := err.Error()
		l.log.Info("client rejected at start-up", zap.String("error", text[:min(len(text), maxRejectionText)]), zap.Uint64("omitted", omitted))
	}
}

// limitWrite closes the connection of a client that does not accept part of a response in time. isPressed is true while
// all clients hold more memory than they may have.
func (l *Listener) limitWrite(c *client, isPressed bool) (stop func()) {
	limit := l.cfg.WriteTimeout
	if isPressed {
		limit = min(limit, pressedWriteTimeout)
	}
	return l.timer.After(limit, func(time.Duration) {
		c.place.Report(clientlimit.WriteTime)
		_ = c.conn.Close()
	})
}
