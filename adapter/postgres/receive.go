package postgres

import (
	"bufio"
	"context"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// ForwardedClient is a caller that another instance forwards to this one. It is served as if it had connected here, and never
// forwarded again, so that instances whose lists differ do not forward to each other.
type ForwardedClient struct {
	listener *Listener
	admitted entry.Client
	conn     net.Conn
	caller   *caller
	// stop ends the watch that closes the connection with the listener.
	stop func() bool
}

// AuthorizeForwarded checks a caller that another instance forwards.
func (l *Listener) AuthorizeForwarded(ctx context.Context, o entry.ForwardRequest) (*ForwardedClient, error) {
	if l.cfg.Forward == nil || l.started() == nil {
		return nil, port.Errorf(port.Stopping, "the instance takes no forwarded callers")
	}
	admitted, err := l.cfg.Forward.Authorizer.AuthorizeForwarded(ctx, o)
	if err != nil {
		return nil, err
	}
	return &ForwardedClient{listener: l, admitted: admitted}, nil
}

// started returns the context of Serve, and nil before Serve and once the listener stops.
func (l *Listener) started() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return nil
	}
	return l.serving
}

// Register makes the caller known and returns the number and the secret by which its requests can be cancelled.
func (f *ForwardedClient) Register(conn net.Conn) (uint32, []byte, error) {
	l := f.listener
	ctx := l.started()
	if ctx == nil {
		return 0, nil, port.Errorf(port.Stopping, "the instance is stopping")
	}
	if err := l.register(conn); err != nil {
		return 0, nil, err
	}
	c := newCaller(ctx, l, conn, bufio.NewReaderSize(conn, callerBuffer), f.admitted)
	c.secret = newSecret(pgproto3.ProtocolVersion32)
	if err := l.enter(conn, c); err != nil {
		l.unregister(conn)
		l.duties.Done()
		return 0, nil, err
	}
	f.conn, f.caller = conn, c
	f.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return c.pid, c.secret, nil
}

// Start serves the caller that entered. It does not wait for its end.
func (f *ForwardedClient) Start() { go f.run() }

// Close ends a caller that entered and cannot be served.
func (f *ForwardedClient) Close() {
	f.stop()
	f.listener.exit(f.caller)
	f.listener.unregister(f.conn)
	f.listener.duties.Done()
}

func (f *ForwardedClient) run() {
	defer f.Close()
	l := f.listener
	l.cfg.Forward.Observer.AddReceivedClients(1)
	defer l.cfg.Forward.Observer.AddReceivedClients(-1)
	l.serveCaller(f.conn, f.caller)
}

// CancelForwarded passes a cancel request for a forwarded caller on when its secret is right.
func (l *Listener) CancelForwarded(number uint32, secret []byte) {
	l.cancelRequested(&pgproto3.CancelRequest{ProcessID: number, SecretKey: secret})
}
