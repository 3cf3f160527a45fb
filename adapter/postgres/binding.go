package postgres

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// bindTimeout is how long a server may take to bind a connection. A frozen server does not respond, and the request
	// can still be sent to another one.
	bindTimeout = time.Second
	// maxBindingAge is the age up to which an unused binding lets a transaction start without another round trip. It
	// limits the requests that are still sent to a server that has just stopped responding.
	maxBindingAge = 5 * time.Millisecond
	// successKinds and failureKinds are the types of the messages in the response to a command of the proxy, without
	// ReadyForQuery.
	successKinds = "TDC"
	failureKinds = "E"
)

// binding describes which organisation's transactions a connection is or was bound to. It is immutable. The zero value
// is the binding of a connection that was never bound.
type binding struct {
	organisation string
	read         bool
	// nonce is random and new for each checkout. It is empty if the binding has been released.
	nonce string
	// confirmedAt is the time at which the server confirmed the binding or its release.
	confirmedAt time.Duration
	// busy is true if the transaction started within maxBindingAge of the connection's last one for the same
	// organisation. Such a connection is bound again as soon as it is released, because the next transaction is likely
	// to follow soon.
	busy bool
}

func newBinding(c entry.Client) binding {
	return binding{organisation: c.Organisation, read: c.Read, nonce: rand.Text()}
}

// matches reports whether the binding is or was one for the organisation and the kind of transaction.
func (b binding) matches(organisation string, read bool) bool {
	return b.organisation == organisation && b.read == read
}

// isRecent reports whether the server has just confirmed the binding or its release.
func (b binding) isRecent(now time.Duration) bool {
	return b.organisation != "" && now-b.confirmedAt <= maxBindingAge
}

// withConfirmation returns the binding as confirmed by the server.
func (b binding) withConfirmation(now time.Duration) binding {
	b.confirmedAt = now
	return b
}

// withRelease returns the binding after its release.
func (b binding) withRelease(now time.Duration) binding {
	b.nonce = ""
	return b.withConfirmation(now)
}

// withNext returns a binding for the next transaction of the same organisation.
func (b binding) withNext() binding {
	b.nonce = rand.Text()
	return b
}

func (b binding) withBusy(busy bool) binding {
	b.busy = busy
	return b
}

func (b binding) bindSQL() string {
	return fmt.Sprintf("SELECT rhubarbwick_bind(%s, %s, %t)", quote(b.organisation), quote(b.nonce), b.read)
}

func (b binding) releaseSQL() string { return "SELECT rhubarbwick_release(" + quote(b.nonce) + ")" }

// bind prepares the connection for a transaction of the organisation, checks it out for a client, and returns the
// nonce. An unused binding that the server has just confirmed is used without a round trip.
//
// The command is not sent together with the client's first message, because the server would also run that message
// after it refused to bind.
func (s *serverConn) bind(ctx context.Context, c entry.Client, to checkedOut) (string, error) {
	last, now := s.binding, s.pool.timer.Now()
	busy := last.matches(c.Organisation, c.Read) && last.isRecent(now)
	if busy && last.nonce != "" {
		s.binding = last.withBusy(true)
		return s.checkOut(to)
	}
	next := newBinding(c).withBusy(busy)
	commands := []string{next.bindSQL()}
	if last.nonce != "" {
		commands = []string{last.releaseSQL(), next.bindSQL()}
	}
	err := s.runAndWait(ctx, commands)
	var commandErr *commandError
	switch {
	case errors.As(err, &commandErr):
		s.binding = last.withRelease(now)
		s.pool.send(connReturned{conn: s})
		return "", commandErr.cause
	case err != nil:
		s.close()
		return "", err
	}
	s.binding = next.withConfirmation(s.pool.timer.Now())
	return s.checkOut(to)
}

// checkOut makes the client the receiver of the messages on the bound connection.
func (s *serverConn) checkOut(to checkedOut) (string, error) {
	to.nonce = s.binding.nonce
	if !s.setState(to) {
		return "", port.Errorf(port.NoConnection, "connection to server %s ended", s.key.server)
	}
	return to.nonce, nil
}

// runAndWait runs commands of the proxy and waits up to bindTimeout for the responses.
func (s *serverConn) runAndWait(ctx context.Context, commands []string) error {
	result := ring.New[error](1)
	ctx, cancel := port.WithTimeout(ctx, s.pool.timer, bindTimeout)
	defer cancel()
	s.startCommands(commands, func(err error) { result.TryPut(err) })
	err, waitErr := result.Take(ctx)
	if waitErr != nil {
		return port.Wrapf(waitErr, port.NoConnection, "server %s did not bind the connection", s.key.server)
	}
	return err
}

// release releases the transaction's binding and returns the connection to the pool, or closes it. The connection of a
// busy organisation is bound for its next transaction in the same round trip. It then has no state of the last
// transaction.
func (s *serverConn) release() {
	used := s.binding
	if !used.busy {
		s.startCommands([]string{used.releaseSQL()}, func(err error) { s.finishRelease(used.withRelease(s.pool.timer.Now()), err) })
		return
	}
	next := used.withNext()
	s.startCommands([]string{used.releaseSQL(), next.bindSQL()}, func(err error) {
		var commandErr *commandError
		if errors.As(err, &commandErr) {
			next, err = used.withRelease(0), nil
		}
		s.finishRelease(next.withConfirmation(s.pool.timer.Now()), err)
	})
}

func (s *serverConn) finishRelease(next binding, err error) {
	if err != nil {
		s.close()
		return
	}
	s.binding = next
	s.pool.send(connReturned{conn: s})
}

// startCommands sends commands of the proxy on an idle connection. It calls done once, after the last response or the
// first unexpected one.
func (s *serverConn) startCommands(commands []string, done func(err error)) {
	if !s.setState(&runningCommands{remaining: len(commands), done: done}) {
		done(port.Errorf(port.NoConnection, "connection to server %s ended", s.key.server))
		return
	}
	var data []byte
	for _, sql := range commands {
		data = encode(data, &pgproto3.Query{String: sql})
	}
	s.send(data, func() {})
}

// handleCommandResponse handles messages of the responses to the proxy's own commands.
func (s *serverConn) handleCommandResponse(r *runningCommands, frames []frame) {
	for i, f := range frames {
		switch {
		case isAsynchronous(f):
			continue
		case f.kind() == 'Z' && !s.isLast(r, f):
			continue
		case f.kind() == 'Z':
			s.finishCommands(r, f, frames[i+1:])
			return
		case f.kind() == 'E':
			r.err = decodeServerError(f)
		}
		r.kinds = append(r.kinds, f.kind())
	}
}

// isLast reports whether no further response is expected, because this was the response to the last command or a
// command failed. Otherwise the next response begins.
func (s *serverConn) isLast(r *runningCommands, ready frame) bool {
	if r.remaining == 1 || !isIdle(ready) || string(r.kinds) != successKinds {
		return true
	}
	r.remaining--
	r.kinds = nil
	return false
}

func (s *serverConn) finishCommands(r *runningCommands, ready frame, rest []frame) {
	err := r.err
	switch {
	case r.remaining > 1, !isIdle(ready), string(r.kinds) != successKinds && string(r.kinds) != failureKinds:
		// An unexpected response may belong to an earlier statement.
		err = port.Errorf(port.Internal, "unexpected response of server %s to a command of the proxy", s.key.server)
	case err != nil:
		err = &commandError{cause: err}
	}
	s.setState(idle{})
	s.checkIdle(rest)
	r.done(err)
}

func isIdle(ready frame) bool { return len(ready.body()) == 1 && ready.body()[0] == 'I' }

// commandError means that the server refused a command of the proxy and is ready for another.
type commandError struct{ cause error }

// Error returns the server's message.
func (e *commandError) Error() string { return e.cause.Error() }

// quote returns s as an SQL string literal that does not depend on the server's settings.
func quote(s string) string {
	s = strings.ReplaceAll(s, "\x00", "")
	if !strings.Contains(s, `\`) {
		return "'" + strings.ReplaceAll(s, "'", "''") + "'"
	}
	s = strings.ReplaceAll(s, `\`, `\\`)
	return "E'" + strings.ReplaceAll(s, "'", "''") + "'"
}
