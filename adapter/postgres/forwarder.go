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

// forwardBuffer is the size of the buffer for each direction of a forwarding connection. It is small because most
// clients are idle. Larger messages are forwarded in parts.
const forwardBuffer = 4 << 10

// Connector connects clients to serving instances. entry.Router implements it.
type Connector interface {
	// ServesLocally reports whether this instance serves the clients of the group.
	ServesLocally(group string) bool
	// Connect connects a client. An error of kind KeyRefused, UnknownRoute or BadToken rejects the client. After any
	// other error this instance serves it.
	Connect(ctx context.Context, group string, req entry.ForwardRequest) (entry.ForwardConn, error)
	// ReportLost reports that the serving instance ended the connection.
	ReportLost(conn entry.ForwardConn)
	// IsInstanceLost reports whether the connection is being closed because its serving instance no longer answers.
	IsInstanceLost(conn entry.ForwardConn) bool
}

// ForwardObserver records forwarded clients for metrics. Its methods must not block.
type ForwardObserver interface {
	// AddForwardedClients changes the number of clients that other instances serve for this one.
	AddForwardedClients(delta int)
	// AddReceivedClients changes the number of clients that this instance serves for others.
	AddReceivedClients(delta int)
	// SessionMoved records that a session was continued at another serving instance, or at this one.
	SessionMoved()
	// SessionLost records the outcome of a session that ended with its serving instance.
	SessionLost(outcome port.Outcome)
}

// ForwardConfig configures how a Listener forwards clients and serves those of other instances.
type ForwardConfig struct {
	Authorizer entry.ForwardAuthorizer
	Connector  Connector
	Observer   ForwardObserver
}

// connEnd is the reason why a forwarding connection is no longer used. It is one of clientLeft, clientProtocolError,
// fatalErrorSent, drained and instanceLost.
type connEnd interface{ connEnd() }

// clientLeft means that the client left or accepts no more data.
type clientLeft struct{}

// clientProtocolError means that the client violated the protocol.
type clientProtocolError struct{ err error }

// fatalErrorSent means that the client received an error that ends its connection.
type fatalErrorSent struct{}

// drained means that this instance is stopping, and the client has no open request or transaction, or its transaction
// was idle for DrainIdleTimeout.
type drained struct{ reason string }

// instanceLost means that the serving instance was lost or is stopping.
type instanceLost struct {
	// partial is true if the client received only part of a message.
	partial bool
}

func (clientLeft) connEnd()          {}
func (clientProtocolError) connEnd() {}
func (fatalErrorSent) connEnd()      {}
func (drained) connEnd()             {}
func (instanceLost) connEnd()        {}

// forwarder serves a client through another instance. loop forwards what the serving instance sends, and run forwards
// what the client sends.
type forwarder struct {
	listener *Listener
	client   *client
	request  entry.ForwardRequest

	mu      sync.Mutex
	changed sync.Cond
	session request.ForwardedSession
	// conn is nil while the session is between two serving instances.
	conn entry.ForwardConn
	// ended is true if run must return.
	ended         bool
	clientLeft    bool
	protocolErr   error
	draining      bool
	idleTimedOut  bool
	responses     uint64
	stopIdleTimer func()
}

// forward serves the client through another instance. It returns true if this instance has to serve the client, either
// from the start or because no other instance can be reached any more.
func (l *Listener) forward(raw net.Conn, c *client) bool {
	cfg := l.cfg.Forward
	if cfg == nil || cfg.Connector.ServesLocally(c.authorized.Route.Group) {
		return true
	}
	f := &forwarder{listener: l, client: c, request: cfg.Authorizer.ForwardRequest(c.authorized), stopIdleTimer: func() {}}
	f.changed.L = &f.mu
	f.session = request.NewForwardedSession(f.request.Token)
	if !f.register() {
		return true
	}
	cfg.Observer.AddForwardedClients(1)
	defer cfg.Observer.AddForwardedClients(-1)
	l.running.Add(1)
	done := make(chan struct{})
	go f.run(done)
	local := f.loop()
	f.finish(done)
	if !local {
		l.linger(raw, c)
		c.cancel(errors.New("the client's connection was closed"))
	}
	return local
}

// register registers the forwarder for Stop and for cancel requests. It returns false if the listener is already
// stopping.
func (f *forwarder) register() bool {
	l := f.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return false
	}
	f.client.forwarder.Store(f)
	return true
}

// loop serves the client through one serving instance after another. It returns true if this instance has to serve the
// client from now on.
func (f *forwarder) loop() bool {
	for first := true; ; first = false {
		conn, err := f.connect()
		switch {
		case err != nil && f.hasClientLeft():
			return false
		case err != nil && entry.IsFinalRefusal(err):
			f.closeWithError(err)
			return false
		case err != nil:
			return f.serveLocally(first)
		}
		if !first {
			f.listener.cfg.Forward.Observer.SessionMoved()
		}
		if !f.serveThrough(conn) {
			return false
		}
	}
}

// connect opens a connection to a serving instance and lets run use it.
func (f *forwarder) connect() (entry.ForwardConn, error) {
	cfg := f.listener.cfg.Forward
	f.mu.Lock()
	req := f.request.WithToken(f.session.Token())
	f.mu.Unlock()
	conn, err := cfg.Connector.Connect(f.client.ctx, f.client.authorized.Route.Group, req)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = conn
	f.changed.Broadcast()
	if f.clientLeft || f.draining && f.session.IsIdle() {
		_ = conn.Close()
	}
	return conn, nil
}

// serveThrough forwards what the serving instance sends until the connection ends. It reports whether the session
// continues.
func (f *forwarder) serveThrough(conn entry.ForwardConn) bool {
	end := f.relay(conn)
	_ = conn.Close()
	switch end := end.(type) {
	case drained:
		f.closeWithError(port.Errorf(port.Stopping, "%s", end.reason))
	case instanceLost:
		f.listener.cfg.Forward.Connector.ReportLost(conn)
		return f.handleLoss(end)
	case clientProtocolError:
		f.closeWithError(end.err)
	case clientLeft, fatalErrorSent:
	}
	return false
}

// handleLoss handles the loss of the serving instance. It reports whether the session continues at another one.
func (f *forwarder) handleLoss(lost instanceLost) bool {
	f.mu.Lock()
	f.conn = nil
	recovery := f.session.AfterLoss()
	f.mu.Unlock()
	observer := f.listener.cfg.Forward.Observer
	switch recovery := recovery.(type) {
	case request.Reconnect, request.Resend:
		return true
	case request.CloseNotRun:
		observer.SessionLost(port.NotRun)
		f.closeWithError(port.Errorf(port.Stopping, "the serving instance was lost: %s", recovery.Reason))
	case request.CloseUnknown:
		observer.SessionLost(port.Unknown)
		f.listener.cfg.Observer.RequestEnded(port.Unknown)
		if !lost.partial {
			f.closeWithError(port.Errorf(port.UnknownOutcome, "the serving instance was lost during the request"))
		}
	}
	return false
}

// serveLocally prepares this instance to serve the client. It returns false if the client is rejected.
func (f *forwarder) serveLocally(first bool) bool {
	if f.isDrained() {
		f.closeWithError(port.Errorf(port.Stopping, "the instance is stopping"))
		return false
	}
	if first {
		return true
	}
	f.mu.Lock()
	req := f.request.WithToken(f.session.Token())
	f.mu.Unlock()
	authorized, err := f.listener.cfg.Forward.Authorizer.AuthorizeForwarded(f.client.ctx, req)
	if err != nil {
		f.closeWithError(err)
		return false
	}
	f.client.authorized = authorized
	f.listener.cfg.Forward.Observer.SessionMoved()
	return true
}

// closeWithError sends the client a fatal error.
func (f *forwarder) closeWithError(err error) {
	f.client.closeWithError(err)
	f.client.flush()
}

// finish ends run. What the client has sent since remains in its reader.
func (f *forwarder) finish(done <-chan struct{}) {
	f.mu.Lock()
	f.ended = true
	f.stopIdleTimer()
	f.changed.Broadcast()
	draining := f.draining
	f.mu.Unlock()
	_ = f.client.conn.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = f.client.conn.SetReadDeadline(time.Time{})
	f.client.forwarder.Store(nil)
	if draining {
		f.client.events.TryPut(drainRequested{})
	}
}

func (f *forwarder) hasClientLeft() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clientLeft
}

func (f *forwarder) isDrained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining && f.session.IsIdle()
}

// startDrain lets requests and transactions finish and then closes the client's connection.
func (f *forwarder) startDrain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		f.client.events.TryPut(drainRequested{})
		return
	}
	f.draining = true
	f.changed.Broadcast()
	f.drain()
}

// drain closes the forwarding connection if nothing is open, and limits how long a transaction may be idle.
func (f *forwarder) drain() {
	if f.conn == nil || f.session.HasPendingRequests() {
		return
	}
	if f.session.IsIdle() {
		_ = f.conn.Close()
		return
	}
	f.stopIdleTimer()
	conn, responses := f.conn, f.responses
	f.stopIdleTimer = f.listener.timer.After(f.listener.cfg.DrainIdleTimeout, func(time.Duration) { go f.runIdleTimeout(conn, responses) })
}

// runIdleTimeout ends a transaction that has been idle since the response with the number.
func (f *forwarder) runIdleTimeout(conn entry.ForwardConn, responses uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responses == responses && !f.session.HasPendingRequests() && !f.ended {
		f.idleTimedOut = true
		_ = conn.Close()
	}
}

// requestCancel forwards a cancel request to the serving instance.
func (f *forwarder) requestCancel() {
	f.mu.Lock()
	conn := f.conn
	f.mu.Unlock()
	if conn == nil {
		return
	}
	f.listener.running.Add(1)
	go f.runCancel(conn)
}

func (f *forwarder) runCancel(conn entry.ForwardConn) {
	defer f.listener.running.Done()
	ctx, cancel := port.WithTimeout(f.client.ctx, f.listener.timer, cancelTimeout)
	defer cancel()
	_ = conn.Cancel(ctx)
}

func newForwardReader(conn entry.ForwardConn) *bufio.Reader {
	return bufio.NewReaderSize(conn, forwardBuffer)
}
