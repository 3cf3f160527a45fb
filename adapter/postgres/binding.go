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
	// bindLimit is how long a server may take to bind a connection. A frozen server does not answer, and the request can
	// still be placed elsewhere.
	bindLimit = time.Second
	// bindingAge is how old the confirmation of a binding that nobody has used may be for a transaction to begin without
	// another round trip. It bounds the requests that are still sent to a server that has just stopped answering.
	bindingAge = 5 * time.Millisecond
	// answerKinds and refusalKinds are the types of the messages that answer a command of the proxy, without the end.
	answerKinds  = "TDC"
	refusalKinds = "E"
)

// binding says for whom a connection works, or worked last. A binding is never changed in place. The zero value is that
// of a connection that was never bound.
type binding struct {
	organisation string
	read         bool
	// nonce is drawn for each handover. It is empty when the binding has been released.
	nonce string
	// since is when the server confirmed the binding or its release.
	since time.Duration
	// busy is true when the transaction began within bindingAge of the connection's last one for the same organisation.
	// Its connection is bound again as soon as it is released, because the next transaction is near.
	busy bool
}

func newBinding(c entry.Client) binding {
	return binding{organisation: c.Organisation, read: c.Read, nonce: rand.Text()}
}

// suits reports whether the binding is or was one for the organisation's transactions of the kind.
func (b binding) suits(organisation string, read bool) bool {
	return b.organisation == organisation && b.read == read
}

// isRecent reports whether the server has just confirmed the binding or its release.
func (b binding) isRecent(now time.Duration) bool {
	return b.organisation != "" && now-b.since <= bindingAge
}

// withConfirmation returns the binding as confirmed by the server.
func (b binding) withConfirmation(now time.Duration) binding {
	b.since = now
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

// withBusy returns the binding with the mark of a busy connection.
func (b binding) withBusy(busy bool) binding {
	b.busy = busy
	return b
}

func (b binding) bindSQL() string {
	return fmt.Sprintf("SELECT rhubarbwick_bind(%s, %s, %t)", quote(b.organisation), quote(b.nonce), b.read)
}

func (b binding) releaseSQL() string { return "SELECT rhubarbwick_release(" + quote(b.nonce) + ")" }

// bind prepares the connection for a transaction of the organisation, lends it to a caller, and returns the nonce. A
// binding that nobody has used and that the server has just confirmed will do without a message.
//
// The command is not sent together with the caller's first message: the server would run that message after a refused
// bind too.
func (b *backend) bind(ctx context.Context, c entry.Client, to lent) (string, error) {
	last, now := b.bound, b.pool.timer.Now()
	busy := last.suits(c.Organisation, c.Read) && last.isRecent(now)
	if busy && last.nonce != "" {
		b.bound = last.withBusy(true)
		return b.lend(to)
	}
	next := newBinding(c).withBusy(busy)
	commands := []string{next.bindSQL()}
	if last.nonce != "" {
		commands = []string{last.releaseSQL(), next.bindSQL()}
	}
	err := b.await(ctx, commands)
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		b.bound = last.withRelease(now)
		b.pool.tell(backendReturned{backend: b})
		return "", refused.cause
	case err != nil:
		b.close()
		return "", err
	}
	b.bound = next.withConfirmation(b.pool.timer.Now())
	return b.lend(to)
}

// lend makes the caller the holder of the bound connection.
func (b *backend) lend(to lent) (string, error) {
	to.nonce = b.bound.nonce
	if !b.hold(to) {
		return "", port.Errorf(port.NoConnection, "connection to server %s ended", b.key.server)
	}
	return to.nonce, nil
}

// await runs commands of the proxy and waits for their answers up to bindLimit.
func (b *backend) await(ctx context.Context, commands []string) error {
	answer := ring.New[error](1)
	ctx, cancel := port.WithTimeout(ctx, b.pool.timer, bindLimit)
	defer cancel()
	b.ask(commands, func(err error) { answer.TryPut(err) })
	err, waitErr := answer.Take(ctx)
	if waitErr != nil {
		return port.Wrapf(waitErr, port.NoConnection, "server %s did not bind the connection", b.key.server)
	}
	return err
}

// release ends the transaction's binding and gives the connection back to the pool, or closes it. The connection of a
// busy organisation is bound for its next transaction in the same round trip; it then has no state of the last one.
func (b *backend) release() {
	used := b.bound
	if !used.busy {
		b.ask([]string{used.releaseSQL()}, func(err error) { b.released(used.withRelease(b.pool.timer.Now()), err) })
		return
	}
	next := used.withNext()
	b.ask([]string{used.releaseSQL(), next.bindSQL()}, func(err error) {
		var refused *refusedError
		if errors.As(err, &refused) {
			next, err = used.withRelease(0), nil
		}
		b.released(next.withConfirmation(b.pool.timer.Now()), err)
	})
}

func (b *backend) released(bound binding, err error) {
	if err != nil {
		b.close()
		return
	}
	b.bound = bound
	b.pool.tell(backendReturned{backend: b})
}

// ask sends commands of the proxy itself on a resting connection and calls done once, after the last answer or the
// first that is not the expected one.
func (b *backend) ask(commands []string, done func(err error)) {
	if !b.hold(&asking{left: len(commands), done: done}) {
		done(port.Errorf(port.NoConnection, "connection to server %s ended", b.key.server))
		return
	}
	var data []byte
	for _, sql := range commands {
		data = encode(data, &pgproto3.Query{String: sql})
	}
	b.send(data, func() {})
}

// collect takes the answers to the proxy's own commands.
func (b *backend) collect(h *asking, frames []frame) {
	for i, f := range frames {
		switch {
		case isAsynchronous(f):
			continue
		case f.kind() == 'Z' && !b.isLast(h, f):
			continue
		case f.kind() == 'Z':
			b.finishAsking(h, f, frames[i+1:])
			return
		case f.kind() == 'E':
			h.err = serverError(f)
		}
		h.kinds = append(h.kinds, f.kind())
	}
}

// isLast reports whether the end of an answer is the last one to wait for: that of the last command, or of one that
// failed. Otherwise the next answer begins.
func (b *backend) isLast(h *asking, ready frame) bool {
	if h.left == 1 || !isIdle(ready) || string(h.kinds) != answerKinds {
		return true
	}
	h.left--
	h.kinds = nil
	return false
}

func (b *backend) finishAsking(h *asking, ready frame, rest []frame) {
	err := h.err
	switch {
	case h.left > 1, !isIdle(ready), string(h.kinds) != answerKinds && string(h.kinds) != refusalKinds:
		// An answer of another form may be that of an earlier statement.
		err = port.Errorf(port.Internal, "server %s did not complete a command of the proxy", b.key.server)
	case err != nil:
		err = &refusedError{cause: err}
	}
	b.hold(resting{})
	b.checkResting(rest)
	h.done(err)
}

func isIdle(ready frame) bool { return len(ready.body()) == 1 && ready.body()[0] == 'I' }

// refusedError says that the server refused a command of the proxy and is ready for another.
type refusedError struct{ cause error }

// Error returns the server's message.
func (e *refusedError) Error() string { return e.cause.Error() }

// quote returns s as an SQL string literal that means the same whatever the server's settings are.
func quote(s string) string {
	s = strings.ReplaceAll(s, "\x00", "")
	if !strings.Contains(s, `\`) {
		return "'" + strings.ReplaceAll(s, "'", "''") + "'"
	}
	s = strings.ReplaceAll(s, `\`, `\\`)
	return "E'" + strings.ReplaceAll(s, "'", "''") + "'"
}
