// Package connlimit limits the connections that a listening socket holds open, and gives clients' connections their places.
package connlimit

import (
	"container/list"
	"net"
	"sync"

	"github.com/rhubarbwick/rhubarbwick/clientlimit"
)

// Wrap returns a listening socket with at most n open connections. A further connection closes the oldest one, so
// that connections that are held without use do not keep a health check from being answered. Zero means
// clientlimit.DefaultHTTPClients. guard may be nil.
func Wrap(socket net.Listener, n int, guard *clientlimit.Guard) net.Listener {
	if n <= 0 {
		n = clientlimit.DefaultHTTPClients
	}
	return &limitedSocket{Listener: socket, limit: n, guard: guard, open: list.New()}
}

// OpenPlace returns a place for a client without a key. The connection is closed when it loses its place.
func OpenPlace(guard *clientlimit.Guard, conn net.Conn) *clientlimit.Place {
	address := ""
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		address = a.IP.String()
	}
	return guard.Open(address, func() { _ = conn.Close() })
}

type limitedSocket struct {
	net.Listener
	limit int
	guard *clientlimit.Guard

	mu sync.Mutex
	// open contains the open connections, the oldest first.
	open *list.List
}

// Accept implements net.Listener.
func (s *limitedSocket) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: conn, socket: s}
	s.mu.Lock()
	var oldest *limitedConn
	if s.open.Len() >= s.limit {
		oldest = s.open.Front().Value.(*limitedConn)
	}
	c.element = s.open.PushBack(c)
	s.mu.Unlock()
	if oldest != nil {
		s.guard.Report(clientlimit.HTTPClients)
		_ = oldest.Close()
	}
	return c, nil
}

// limitedConn is a connection that leaves its socket's list when it is closed.
type limitedConn struct {
	net.Conn
	socket *limitedSocket
	once   sync.Once
	// element is protected by the socket's lock.
	element *list.Element
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		c.socket.mu.Lock()
		defer c.socket.mu.Unlock()
		c.socket.open.Remove(c.element)
	})
	return c.Conn.Close()
}
