package peer

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// ForwardHandler serves the clients that other instances forward.
type ForwardHandler interface {
	// Authorize authorizes a forwarded client.
	Authorize(ctx context.Context, r entry.ForwardRequest) (ForwardedClient, error)
	// Cancel cancels the current request of the client with the number, if the secret matches. For PostgreSQL clients
	// these are the process ID and the cancel key.
	Cancel(number uint32, secret []byte)
}

// ForwardedClient is a forwarded client that has been authorized.
type ForwardedClient interface {
	// Register registers the client with its connection, and returns the number and the secret of its cancel requests.
	Register(conn net.Conn) (number uint32, secret []byte, err error)
	// Start starts serving the registered client and returns. The connection is closed when the session ends.
	Start()
	// Close removes a registered client that is not served after all.
	Close()
}

// WithForwardHandler sets the handler of forwarded clients. It has to be called before Handler.
func (s *Server) WithForwardHandler(h ForwardHandler) *Server {
	s.forwardHandler = h
	return s
}

// forwardRoutes handles forwarding connections and their cancel and ping requests, and passes other requests to next.
// Forwarding connections do not count towards MaxConcurrentCalls, because each lasts as long as its client.
func (s *Server) forwardRoutes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.forwardHandler == nil || !strings.HasPrefix(r.URL.Path, forwardPath) {
			next.ServeHTTP(w, r)
			return
		}
		if !s.isAuthenticated(r) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		switch r.URL.Path {
		case forwardPath:
			s.serveForward(w, r)
		case cancelPath:
			s.serveCancel(w, r)
		case pingPath:
			w.WriteHeader(http.StatusNoContent)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// isAuthenticated reports whether the request has the credential of an instance.
func (s *Server) isAuthenticated(r *http.Request) bool {
	given := []byte(r.Header.Get("Authorization"))
	return s.credential != "" && subtle.ConstantTimeCompare(given, []byte(s.credential)) == 1
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	number, secret, err := parseSecret(r.Header.Get(numberHeader), r.Header.Get(secretHeader))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.forwardHandler.Cancel(number, secret)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveForward(w http.ResponseWriter, r *http.Request) {
	request, err := parseForwardRequest(r.Header.Get(forwardRequestHeader))
	if err != nil || r.Header.Get("Upgrade") != forwardProtocol {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	client, err := s.forwardHandler.Authorize(r.Context(), request)
	if err != nil {
		writeForwardError(w, err)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if buffered.Reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	switchProtocol(conn, client)
}

// switchProtocol registers the client, completes the upgrade and starts serving.
func switchProtocol(conn net.Conn, client ForwardedClient) {
	number, secret, err := client.Register(conn)
	if err != nil {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			kindHeader, port.KindOf(err), reasonHeader, headerValue(err))
		_ = conn.Close()
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %d\r\n%s: %s\r\n\r\n",
		forwardProtocol, numberHeader, number, secretHeader, encodeSecret(secret))
	if err != nil {
		client.Close()
		return
	}
	client.Start()
}

func writeForwardError(w http.ResponseWriter, err error) {
	w.Header().Set(kindHeader, string(port.KindOf(err)))
	w.Header().Set(reasonHeader, headerValue(err))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// headerValue returns the error message with a space for each character that is not printable ASCII.
func headerValue(err error) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return ' '
		}
		return r
	}, err.Error())
}
