package postgres

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// outboundCapacity exceeds the number of units that a caller may have in flight, so that sending never waits.
const outboundCapacity = 16

// holder is who receives what a server connection reads. It is one of resting, asking and lent.
type holder interface{ holder() }

// resting belongs to the pool; the server has nothing to say.
type resting struct{}

// asking waits for the answers to commands of the proxy itself.
type asking struct {
	// left is the number of commands that are not answered yet.
	left int
	// kinds are the types of the messages that answer the present command so far.
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
	// raw writes to the socket without waiting; nil with TLS.
	raw    syscall.RawConn
	reader *bufio.Reader
	pool   *Pool
	out    *ring.Ring[outbound]
	ended  context.Context
	end    context.CancelFunc
	// bound belongs to whoever has the connection: the pool, a caller, or the loop while the proxy asks.
	bound binding

	// sending keeps the order of the parts of requests. queued counts those that the writer has not written yet.
	sending sync.Mutex
	queued  atomic.Int32

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
	if socket, ok := conn.(syscall.Conn); ok {
		b.raw, _ = socket.SyscallConn()
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

// run writes to the server what could not be written without waiting, until the connection ends.
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
		b.queued.Add(-1)
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

// send writes data as far as the socket takes it without waiting, and passes the rest to the writer: the sender has to
// go on taking answers, without which the server might read no further. Data for a connection that has ended is
// dropped; the holder is told of the end.
func (b *backend) send(data []byte, written func()) {
	b.sending.Lock()
	defer b.sending.Unlock()
	rest := data[b.writeNow(data):]
	if len(rest) == 0 {
		written()
		return
	}
	b.mu.Lock()
	b.queued.Add(1)
	sent := !b.closed && b.out.TryPut(outbound{data: rest, written: written})
	b.mu.Unlock()
	if !sent {
		// Without the data the connection must not go on.
		b.close()
		written()
	}
}

// writeNow returns how many bytes of data the socket took. An error is left to the writer, which meets it again.
func (b *backend) writeNow(data []byte) int {
	if b.raw == nil || b.queued.Load() > 0 {
		return 0
	}
	n := 0
	_ = b.raw.Write(func(fd uintptr) bool {
		n, _ = syscall.Write(int(fd), data)
		return true
	})
	return max(n, 0)
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
	return port.Errorf(port.NoConnection, "server refused: %s (%s)", m.Message, m.Code)
}
