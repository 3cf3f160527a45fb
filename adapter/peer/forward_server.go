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

// Receiver serves the callers that other instances forward.
type Receiver interface {
	// Admit checks a caller by its opening.
	Admit(ctx context.Context, o entry.ForwardRequest) (Admitted, error)
	// Cancel cancels the request of the caller with the number, if the secret is right.
	Cancel(number uint32, secret []byte)
}

// Admitted is a forwarded caller that was admitted.
type Admitted interface {
	// Register makes the caller known and returns the number and the secret by which its requests can be cancelled.
	Register(conn net.Conn) (number uint32, secret []byte, err error)
	// Start serves the caller that entered. It does not wait for its end, and closes the connection then.
	Start()
	// Close ends a caller that entered and cannot be served.
	Close()
}

// WithReceiver lets the server take forwarded callers. It is called before Handler.
func (s *Server) WithReceiver(r Receiver) *Server {
	s.receiver = r
	return s
}

// forwarding returns the handler of forwarding connections and of the calls that belong to them. They do not count
// towards MaxCalls: a forwarding connection lasts as long as its caller.
func (s *Server) forwarding(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.receiver == nil || !strings.HasPrefix(r.URL.Path, forwardPath) {
			next.ServeHTTP(w, r)
			return
		}
		if !s.shows(r) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		switch r.URL.Path {
		case forwardPath:
			s.serveForward(w, r)
		case cancelPath:
			s.serveCancel(w, r)
		case alivePath:
			w.WriteHeader(http.StatusNoContent)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// shows reports whether the request shows the fleet's credential.
func (s *Server) shows(r *http.Request) bool {
	shown := []byte(r.Header.Get("Authorization"))
	return s.credential != "" && subtle.ConstantTimeCompare(shown, []byte(s.credential)) == 1
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	number, secret, err := parseSecret(r.Header.Get(numberHeader), r.Header.Get(secretHeader))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.receiver.Cancel(number, secret)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveForward(w http.ResponseWriter, r *http.Request) {
	opening, err := parseOpening(r.Header.Get(openingHeader))
	if err != nil || r.Header.Get("Upgrade") != forwardProtocol {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	admitted, err := s.receiver.Admit(r.Context(), opening)
	if err != nil {
		refuseForward(w, err)
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
	switchProtocol(conn, admitted)
}

// switchProtocol answers the opening and serves the caller.
func switchProtocol(conn net.Conn, admitted Admitted) {
	number, secret, err := admitted.Register(conn)
	if err != nil {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			kindHeader, port.KindOf(err), reasonHeader, oneLine(err))
		_ = conn.Close()
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %d\r\n%s: %s\r\n\r\n",
		forwardProtocol, numberHeader, number, secretHeader, encodeSecret(secret))
	if err != nil {
		admitted.Close()
		return
	}
	admitted.Start()
}

func refuseForward(w http.ResponseWriter, err error) {
	w.Header().Set(kindHeader, string(port.KindOf(err)))
	w.Header().Set(reasonHeader, oneLine(err))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// oneLine returns the error's message as the value of a header.
func oneLine(err error) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return ' '
		}
		return r
	}, err.Error())
}
