package postgres

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// outboundCapacity exceeds the number of units that a caller may have in flight, so that sending never waits.
	outboundCapacity = 16
	// bindLimit is how long a server may take to bind a connection. A frozen server does not answer, and the request can
	// still be placed elsewhere.
	bindLimit = time.Second
	// answerKinds and refusalKinds are the types of the messages that answer a command of the proxy, without the end.
	answerKinds  = "TDC"
	refusalKinds = "E"
)

// holder is who receives what a server connection reads. It is one of resting, asking and lent.
type holder interface{ holder() }

// resting belongs to the pool; the server has nothing to say.
type resting struct{}

// asking waits for the answer to one command of the proxy itself.
type asking struct {
	// kinds are the types of the answer's messages so far.
	kinds []byte
	err   error
	done  func(err error)
}

// lent passes everything to a caller.
type lent struct {
	ctx context.Context
	// nonce is drawn for each handover and tells the caller's transaction from earlier ones on the connection.
	nonce  string
	events *ring.Ring[event]
}

func (resting) holder() {}
func (*asking) holder() {}
func (lent) holder()    {}

// outbound is a part of a request on its way to the server. written is called once, also when the part was lost.
type outbound struct {
	data    []byte
	written func()
}

// backend is one connection to a database server. Its duties are loop, which reads, and the writer.
type backend struct {
	key     poolKey
	address string
	pid     uint32
	secret  []byte
	conn    net.Conn
	reader  *bufio.Reader
	pool    *Pool
	out     *ring.Ring[outbound]
	ended   context.Context
	end     context.CancelFunc

	mu     sync.Mutex
	holder holder
	closed bool
}

func newBackend(pool *Pool, key poolKey, address string, conn net.Conn) *backend {
	ended, end := context.WithCancel(pool.ended)
	b := &backend{
		key: key, address: address, conn: conn, reader: bufio.NewReaderSize(conn, chunkBytes), pool: pool,
		out: ring.New[outbound](outboundCapacity), ended: ended, end: end, holder: resting{},
	}
	context.AfterFunc(ended, b.close)
	return b
}

// loop reads from the server until the connection ends.
func (b *backend) loop() {
	for {
		frames, err := readChunk(b.reader)
		if len(frames) > 0 {
			b.deliver(frames)
		}
		if err != nil {
			b.fail(err)
			return
		}
	}
}

// run writes to the server until the connection ends.
func (b *backend) run() {
	for {
		part, err := b.out.Take(b.ended)
		if err != nil {
			b.dropOutbound()
			return
		}
		if _, err := b.conn.Write(part.data); err != nil {
			b.close()
		}
		part.written()
	}
}

func (b *backend) dropOutbound() {
	for {
		part, ok := b.out.TryTake()
		if !ok {
			return
		}
		part.written()
	}
}

// send passes data to the writer. Data for a connection that has ended is dropped; the holder is told of the end.
func (b *backend) send(data []byte, written func()) {
	b.mu.Lock()
	sent := !b.closed && b.out.Offer(outbound{data: data, written: written})
	b.mu.Unlock()
	if !sent {
		// Without the data the connection must not go on.
		b.close()
		written()
	}
}

// close ends the connection. The loop then tells the holder and the pool.
func (b *backend) close() { _ = b.conn.Close() }

func (b *backend) deliver(frames []frame) {
	switch h := b.holding().(type) {
	case lent:
		_ = h.events.Put(h.ctx, serverAnswered{backend: b, nonce: h.nonce, frames: frames})
	case *asking:
		b.collect(h, frames)
	case resting:
		b.checkResting(frames)
	}
}

// checkResting closes the connection when the server says more than a resting connection may hear.
func (b *backend) checkResting(frames []frame) {
	if !areAsynchronous(frames) {
		b.close()
	}
}

// collect takes the answer to the proxy's own command.
func (b *backend) collect(h *asking, frames []frame) {
	for i, f := range frames {
		switch {
		case isAsynchronous(f):
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

func (b *backend) finishAsking(h *asking, ready frame, rest []frame) {
	err := h.err
	idle := len(ready.body()) == 1 && ready.body()[0] == 'I'
	switch {
	case !idle, string(h.kinds) != answerKinds && string(h.kinds) != refusalKinds:
		// An answer of another form may be that of an earlier statement.
		err = port.Failf(port.Internal, "server %s did not complete a command of the proxy", b.key.server)
	case err != nil:
		err = &refusedError{cause: err}
	}
	b.hold(resting{})
	b.checkResting(rest)
	h.done(err)
}

// fail tells the holder and the pool that the connection has ended.
func (b *backend) fail(cause error) {
	b.mu.Lock()
	b.closed = true
	h := b.holder
	b.mu.Unlock()
	b.end()
	b.pool.tell(backendClosed{backend: b})
	err := port.Wrapf(cause, port.NoConnection, "connection to server %s ended", b.key.server)
	switch h := h.(type) {
	case lent:
		_ = h.events.Put(h.ctx, serverBroken{nonce: h.nonce, err: err})
	case *asking:
		h.done(err)
	case resting:
	}
}

func (b *backend) holding() holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder
}

// hold makes h the receiver of what the server says. It reports false when the connection has ended.
func (b *backend) hold(h holder) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder = h
	return !b.closed
}

// ask runs a command of the proxy itself on a resting connection and calls done once.
func (b *backend) ask(sql string, done func(err error)) {
	if !b.hold(&asking{done: done}) {
		done(port.Failf(port.NoConnection, "connection to server %s ended", b.key.server))
		return
	}
	b.send(encode(nil, &pgproto3.Query{String: sql}), func() {})
}

// bind prepares the connection for a transaction of the organisation and lends it to a caller.
//
// The command is not sent together with the caller's first message: the server would run that message after a refused
// bind too.
func (b *backend) bind(ctx context.Context, c entry.Caller, to lent) error {
	answer := ring.New[error](1)
	sql := fmt.Sprintf("SELECT rhubarbwick_bind(%s, %s, %t)", quote(c.Organisation), quote(to.nonce), c.Read)
	ctx, cancel := port.WithTimeout(ctx, b.pool.timer, bindLimit)
	defer cancel()
	b.ask(sql, func(err error) { answer.Offer(err) })
	err, waitErr := answer.Take(ctx)
	if waitErr != nil {
		err = port.Wrapf(waitErr, port.NoConnection, "server %s did not bind the connection", b.key.server)
	}
	if err == nil && !b.hold(to) {
		err = port.Failf(port.NoConnection, "connection to server %s ended", b.key.server)
	}
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		b.pool.tell(backendReturned{backend: b})
		return refused.cause
	case err != nil:
		b.close()
	}
	return err
}

// refusedError says that the server refused a command of the proxy and is ready for another.
type refusedError struct{ cause error }

// Error returns the server's message.
func (e *refusedError) Error() string { return e.cause.Error() }

// release ends the transaction's binding and gives the connection back to the pool, or closes it.
func (b *backend) release(nonce string) {
	b.ask("SELECT rhubarbwick_release("+quote(nonce)+")", b.released)
}

func (b *backend) released(err error) {
	if err != nil {
		b.close()
		return
	}
	b.pool.tell(backendReturned{backend: b})
}

// quote returns s as an SQL string literal that means the same whatever the server's settings are.
func quote(s string) string {
	s = strings.ReplaceAll(s, "\x00", "")
	if !strings.Contains(s, `\`) {
		return "'" + strings.ReplaceAll(s, "'", "''") + "'"
	}
	s = strings.ReplaceAll(s, `\`, `\\`)
	return "E'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// isAsynchronous reports whether the server may send the message at any time.
func isAsynchronous(f frame) bool {
	return f.kind() == 'S' || f.kind() == 'N' || f.kind() == 'A'
}

func areAsynchronous(frames []frame) bool {
	return !slices.ContainsFunc(frames, func(f frame) bool { return !isAsynchronous(f) })
}

func serverError(f frame) error {
	var m pgproto3.ErrorResponse
	if err := m.Decode(f.body()); err != nil {
		return port.Wrapf(err, port.NoConnection, "server sent an invalid error")
	}
	return port.Failf(port.NoConnection, "server refused: %s (%s)", m.Message, m.Code)
}
