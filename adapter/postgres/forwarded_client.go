package postgres

import (
	"bufio"
	"context"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// ForwardedClient is a client that another instance forwards to this one. It is served as if it had connected here. It
// is never forwarded again, so that instances with different lists of instances do not forward to each other.
type ForwardedClient struct {
	listener   *Listener
	authorized entry.Client
	conn       net.Conn
	client     *client
	// stopWatch cancels the closing of the connection at the end of the listener's context.
	stopWatch func() bool
}

// AuthorizeForwarded authorizes a client that another instance forwards.
func (l *Listener) AuthorizeForwarded(ctx context.Context, req entry.ForwardRequest) (*ForwardedClient, error) {
	if l.cfg.Forward == nil || l.servingContext() == nil {
		return nil, port.Errorf(port.Stopping, "the instance accepts no forwarded clients")
	}
	authorized, err := l.cfg.Forward.Authorizer.AuthorizeForwarded(ctx, req)
	if err != nil {
		return nil, err
	}
	return &ForwardedClient{listener: l, authorized: authorized}, nil
}

// servingContext returns the context of Serve. It returns nil before Serve is called and after the listener was
// stopped.
func (l *Listener) servingContext() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return nil
	}
	return l.serving
}

// Register registers the client and returns the process ID and the cancel key for cancel requests.
func (f *ForwardedClient) Register(conn net.Conn) (uint32, []byte, error) {
	l := f.listener
	ctx := l.servingContext()
	if ctx == nil {
		return 0, nil, port.Errorf(port.Stopping, "the instance is stopping")
	}
	if err := l.addConn(conn); err != nil {
		return 0, nil, err
	}
	c := newClient(ctx, l, conn, bufio.NewReaderSize(conn, clientReadBuffer), f.authorized)
	c.cancelKey = newCancelKey(pgproto3.ProtocolVersion32)
	place, err := l.openPlace(conn)
	c.place = place
	if err == nil {
		err = c.seat()
	}
	if err == nil {
		err = l.addClient(conn, c)
	}
	if err != nil {
		place.Close()
		l.removeConn(conn)
		l.running.Done()
		return 0, nil, err
	}
	f.conn, f.client = conn, c
	f.stopWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return c.pid, c.cancelKey, nil
}

// Start starts serving the registered client and returns at once.
func (f *ForwardedClient) Start() { go f.run() }

// Close ends a registered client that cannot be served.
func (f *ForwardedClient) Close() {
	f.stopWatch()
	f.client.place.Close()
	f.listener.removeClient(f.client)
	f.listener.removeConn(f.conn)
	f.listener.running.Done()
}

func (f *ForwardedClient) run() {
	defer f.Close()
	l := f.listener
	l.cfg.Forward.Observer.AddReceivedClients(1)
	defer l.cfg.Forward.Observer.AddReceivedClients(-1)
	l.serveClient(f.conn, f.client)
}

// CancelForwarded forwards a cancel request for a forwarded client if its cancel key is correct.
func (l *Listener) CancelForwarded(pid uint32, cancelKey []byte) {
	l.handleCancelRequest(&pgproto3.CancelRequest{ProcessID: pid, SecretKey: cancelKey})
}
