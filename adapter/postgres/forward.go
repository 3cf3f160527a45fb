package postgres

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
)

// linkBuffer is the size of the buffer in each direction of a forwarding connection. It is small because most callers
// are idle; greater messages are passed on in parts.
const linkBuffer = 4 << 10

// Connector connects callers to serving instances. entry.Router implements it.
type Connector interface {
	// ServesLocally reports whether this instance serves the callers of the group.
	ServesLocally(group string) bool
	// Connect connects a caller. An error of kind KeyRefused, UnknownRoute or BadToken refuses the caller; after any
	// other one this instance serves it.
	Connect(ctx context.Context, group string, o entry.ForwardRequest) (entry.ForwardConn, error)
	// ReportLost says that the serving instance ended the connection.
	ReportLost(conn entry.ForwardConn)
	// IsInstanceLost reports whether the connection will end because its serving instance no longer answers.
	IsInstanceLost(conn entry.ForwardConn) bool
}

// ForwardObserver takes what happens to forwarded callers, for metrics. Its methods must not block.
type ForwardObserver interface {
	// AddForwardedClients and CallersReceived take the change of the number of callers that other instances serve for this
	// one, and that this one serves for others.
	AddForwardedClients(change int)
	AddReceivedClients(change int)
	// SessionMoved says that a session went on at another serving instance, or at this one.
	SessionMoved()
	// SessionLost takes the outcome of a session that ended with its serving instance.
	SessionLost(outcome port.Outcome)
}

// ForwardConfig is what a Listener needs to forward callers and to serve those of other instances.
type ForwardConfig struct {
	Authorizer entry.ForwardAuthorizer
	Connector  Connector
	Observer   ForwardObserver
}

// ending says why a forwarding connection is no longer used. It is one of callerGone, callerBroke, sessionEnded,
// stopReached and instanceLost.
type ending interface{ ending() }

// callerGone says that the caller left or accepts nothing more.
type callerGone struct{}

// callerBroke says that the caller broke the protocol.
type callerBroke struct{ err error }

// sessionEnded says that the caller was told the end of its connection.
type sessionEnded struct{}

// stopReached says that this instance stops and nothing of the caller is open.
type stopReached struct{ reason string }

// instanceLost says that the serving instance is lost or stops.
type instanceLost struct {
	// cut is true when the caller got a part of a message.
	cut bool
}

func (callerGone) ending()   {}
func (callerBroke) ending()  {}
func (sessionEnded) ending() {}
func (stopReached) ending()  {}
func (instanceLost) ending() {}

// forwarded is a caller that another instance serves. Its duty is loop, which passes on what the serving instance
// sends; run passes on what the caller sends.
type forwarded struct {
	listener *Listener
	caller   *caller
	opening  entry.ForwardRequest

	mu      sync.Mutex
	changed sync.Cond
	passage request.ForwardedSession
	// conn is nil while the session moves.
	conn entry.ForwardConn
	// ended is true when run has to return.
	ended    bool
	gone     bool
	broke    error
	stopping bool
	expired  bool
	answers  uint64
	stopIdle func()
}

// forward lets another instance serve the caller. It returns true when this instance has to serve it, from the start or
// because no other one can be reached any more.
func (l *Listener) forward(raw net.Conn, c *caller) bool {
	cfg := l.cfg.Forward
	if cfg == nil || cfg.Connector.ServesLocally(c.entry.Route.Group) {
		return true
	}
	f := &forwarded{listener: l, caller: c, opening: cfg.Authorizer.ForwardRequest(c.entry), stopIdle: func() {}}
	f.changed.L = &f.mu
	f.passage = request.NewForwardedSession(f.opening.Token)
	if !f.enter() {
		return true
	}
	cfg.Observer.AddForwardedClients(1)
	defer cfg.Observer.AddForwardedClients(-1)
	l.duties.Add(1)
	read := make(chan struct{})
	go f.run(read)
	local := f.loop()
	f.finish(read)
	if !local {
		l.linger(raw, c)
		c.leave(errors.New("the caller was dismissed"))
	}
	return local
}

// enter makes the forwarding known to Stop and to cancel requests. It reports false when the listener stops already.
func (f *forwarded) enter() bool {
	l := f.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return false
	}
	f.caller.forwarded.Store(f)
	return true
}

// loop serves the caller through one serving instance after the other. It returns true when this instance has to go on
// serving the caller.
func (f *forwarded) loop() bool {
	for first := true; ; first = false {
		conn, err := f.connect()
		switch {
		case err != nil && f.hasLeft():
			return false
		case err != nil && entry.IsFinalRefusal(err):
			f.dismiss(err)
			return false
		case err != nil:
			return f.serveLocally(first)
		}
		if !first {
			f.listener.cfg.Forward.Observer.SessionMoved()
		}
		if !f.follow(conn) {
			return false
		}
	}
}

// connect opens a connection to a serving instance and lets run use it.
func (f *forwarded) connect() (entry.ForwardConn, error) {
	cfg := f.listener.cfg.Forward
	f.mu.Lock()
	opening := f.opening.WithToken(f.passage.Token())
	f.mu.Unlock()
	conn, err := cfg.Connector.Connect(f.caller.ctx, f.caller.entry.Route.Group, opening)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = conn
	f.changed.Broadcast()
	if f.gone || f.stopping && f.passage.IsIdle() {
		_ = conn.Close()
	}
	return conn, nil
}

// follow passes on what the serving instance sends until the connection ends. It reports whether the session goes on.
func (f *forwarded) follow(conn entry.ForwardConn) bool {
	end := f.relay(conn)
	_ = conn.Close()
	switch end := end.(type) {
	case stopReached:
		f.dismiss(port.Errorf(port.Stopping, "%s", end.reason))
	case instanceLost:
		f.listener.cfg.Forward.Connector.ReportLost(conn)
		return f.handleLoss(end)
	case callerBroke:
		f.dismiss(end.err)
	case callerGone, sessionEnded:
	}
	return false
}

// handleLoss decides what happens after the loss of the serving instance. It reports whether the session goes on at another one.
func (f *forwarded) handleLoss(lost instanceLost) bool {
	f.mu.Lock()
	f.conn = nil
	consequence := f.passage.AfterLoss()
	f.mu.Unlock()
	observer := f.listener.cfg.Forward.Observer
	switch consequence := consequence.(type) {
	case request.Reconnect, request.Resend:
		return true
	case request.CloseNotRun:
		observer.SessionLost(port.NotRun)
		f.dismiss(port.Errorf(port.Stopping, "the serving instance was lost: %s", consequence.Reason))
	case request.CloseUnknown:
		observer.SessionLost(port.Unknown)
		f.listener.cfg.Observer.RequestEnded(port.Unknown)
		if !lost.cut {
			f.dismiss(port.Errorf(port.UnknownOutcome, "the serving instance was lost during the request"))
		}
	}
	return false
}

// serveLocally makes this instance serve the caller. It reports false when the caller is refused.
func (f *forwarded) serveLocally(first bool) bool {
	if f.isStopped() {
		f.dismiss(port.Errorf(port.Stopping, "the instance is stopping"))
		return false
	}
	if first {
		return true
	}
	f.mu.Lock()
	opening := f.opening.WithToken(f.passage.Token())
	f.mu.Unlock()
	admitted, err := f.listener.cfg.Forward.Authorizer.AuthorizeForwarded(f.caller.ctx, opening)
	if err != nil {
		f.dismiss(err)
		return false
	}
	f.caller.entry = admitted
	f.listener.cfg.Forward.Observer.SessionMoved()
	return true
}

// dismiss sends the caller a last error.
func (f *forwarded) dismiss(err error) {
	f.caller.dismiss(err)
	f.caller.flush()
}

// finish ends run, and leaves what the caller sent since in its reader.
func (f *forwarded) finish(read <-chan struct{}) {
	f.mu.Lock()
	f.ended = true
	f.stopIdle()
	f.changed.Broadcast()
	stopping := f.stopping
	f.mu.Unlock()
	_ = f.caller.conn.SetReadDeadline(time.Unix(1, 0))
	<-read
	_ = f.caller.conn.SetReadDeadline(time.Time{})
	f.caller.forwarded.Store(nil)
	if stopping {
		f.caller.events.TryPut(stopAsked{})
	}
}

func (f *forwarded) hasLeft() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone
}

func (f *forwarded) isStopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping && f.passage.IsIdle()
}

// askStop lets requests and transactions finish and dismisses the caller then.
func (f *forwarded) askStop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		f.caller.events.TryPut(stopAsked{})
		return
	}
	f.stopping = true
	f.changed.Broadcast()
	f.proceedStop()
}

// proceedStop ends the use of the serving instance when nothing is open, and limits how long a transaction may be idle.
func (f *forwarded) proceedStop() {
	if f.conn == nil || f.passage.HasPendingRequests() {
		return
	}
	if f.passage.IsIdle() {
		_ = f.conn.Close()
		return
	}
	f.stopIdle()
	conn, answers := f.conn, f.answers
	f.stopIdle = f.listener.timer.After(f.listener.cfg.DrainIdleTimeout, func(time.Duration) { go f.runExpire(conn, answers) })
}

// runExpire ends a transaction that has been idle since the answer of the number.
func (f *forwarded) runExpire(conn entry.ForwardConn, answers uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answers == answers && !f.passage.HasPendingRequests() && !f.ended {
		f.expired = true
		_ = conn.Close()
	}
}

// askCancel passes a cancel request on to the serving instance.
func (f *forwarded) askCancel() {
	f.mu.Lock()
	conn := f.conn
	f.mu.Unlock()
	if conn == nil {
		return
	}
	f.listener.duties.Add(1)
	go f.runCancel(conn)
}

func (f *forwarded) runCancel(conn entry.ForwardConn) {
	defer f.listener.duties.Done()
	ctx, cancel := port.WithTimeout(f.caller.ctx, f.listener.timer, cancelLimit)
	defer cancel()
	_ = conn.Cancel(ctx)
}

// newLinkReader returns the reader of a forwarding connection.
func newLinkReader(conn entry.ForwardConn) *bufio.Reader {
	return bufio.NewReaderSize(conn, linkBuffer)
}
