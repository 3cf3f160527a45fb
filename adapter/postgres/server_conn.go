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

// writeCapacity exceeds the number of batches that a client may have in flight, so that sending never blocks.
const writeCapacity = 16

// serverConnState determines who receives the messages that are read from a server connection. It is one of idle,
// runningCommands and checkedOut.
type serverConnState interface{ serverConnState() }

// idle is the state of a connection that belongs to the pool. Only asynchronous messages are expected.
type idle struct{}

// runningCommands is the state of a connection that runs commands of the proxy itself.
type runningCommands struct {
	// remaining is the number of commands that lack a complete response.
	remaining int
	// kinds contains the types of the messages in the response to the current command.
	kinds []byte
	err   error
	done  func(err error)
}

// checkedOut is the state of a connection whose messages go to a client.
type checkedOut struct {
	ctx context.Context
	// nonce is new for each checkout and distinguishes the client's transaction from earlier ones on the connection.
	nonce  string
	events *ring.Ring[event]
}

func (idle) serverConnState()             {}
func (*runningCommands) serverConnState() {}
func (checkedOut) serverConnState()       {}

// pendingWrite is part of a request that is to be written to the server. onWritten is called once, even if the part is
// dropped.
type pendingWrite struct {
	data      []byte
	onWritten func()
}

// serverConn is a connection to a database server. Its goroutines are loop, which reads, and run, which writes.
type serverConn struct {
	key       poolKey
	address   string
	pid       uint32
	cancelKey []byte
	conn      net.Conn
	// rawConn writes to the socket without blocking. It is nil with TLS.
	rawConn syscall.RawConn
	reader  *bufio.Reader
	pool    *Pool
	writes  *ring.Ring[pendingWrite]
	ended   context.Context
	cancel  context.CancelFunc
	// binding belongs to the current user of the connection: the pool, a client, or loop while commands of the proxy
	// run.
	binding binding

	// sendMu keeps the parts of requests in order. pendingWrites is the number of parts that run has not written yet.
	sendMu        sync.Mutex
	pendingWrites atomic.Int32
	// cancelling is true while a cancel request is sent.
	cancelling atomic.Bool

	mu     sync.Mutex
	state  serverConnState
	closed bool
}

func newServerConn(pool *Pool, key poolKey, address string, conn net.Conn) *serverConn {
	ended, cancel := context.WithCancel(pool.ended)
	s := &serverConn{
		key: key, address: address, conn: conn, reader: bufio.NewReaderSize(conn, readChunkBytes), pool: pool,
		writes: ring.New[pendingWrite](writeCapacity), ended: ended, cancel: cancel, state: idle{},
	}
	if socket, ok := conn.(syscall.Conn); ok {
		s.rawConn, _ = socket.SyscallConn()
	}
	context.AfterFunc(ended, s.close)
	return s
}

// loop reads from the server until the connection ends.
func (s *serverConn) loop() {
	for {
		frames, err := readChunk(s.reader)
		if len(frames) > 0 {
			s.deliver(frames)
		}
		if err != nil {
			s.fail(err)
			return
		}
	}
}

// run writes the data that could not be written without blocking, until the connection ends.
func (s *serverConn) run() {
	for {
		part, err := s.writes.Take(s.ended)
		if err != nil {
			s.dropWrites()
			return
		}
		if _, err := s.conn.Write(part.data); err != nil {
			s.close()
		}
		s.pendingWrites.Add(-1)
		part.onWritten()
	}
}

func (s *serverConn) dropWrites() {
	for {
		part, ok := s.writes.TryTake()
		if !ok {
			return
		}
		part.onWritten()
	}
}

// send writes as much data as the socket accepts without blocking and queues the rest for run. The sender must not
// block, because the server may stop reading until its response is read. Data for a connection that has ended is
// dropped, and the receiver is notified of the end.
func (s *serverConn) send(data []byte, onWritten func()) {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	remaining := data[s.tryWrite(data):]
	if len(remaining) == 0 {
		onWritten()
		return
	}
	s.mu.Lock()
	s.pendingWrites.Add(1)
	sent := !s.closed && s.writes.TryPut(pendingWrite{data: remaining, onWritten: onWritten})
	s.mu.Unlock()
	if !sent {
		// The connection is unusable because part of the data is missing.
		s.close()
		onWritten()
	}
}

// tryWrite returns how many bytes of data the socket accepted. It ignores errors, because run will encounter them
// again.
func (s *serverConn) tryWrite(data []byte) int {
	if s.rawConn == nil || s.pendingWrites.Load() > 0 {
		return 0
	}
	n := 0
	_ = s.rawConn.Write(func(fd uintptr) bool {
		n, _ = syscall.Write(int(fd), data)
		return true
	})
	return max(n, 0)
}

// close ends the connection. The loop then notifies the receiver and the pool.
func (s *serverConn) close() { _ = s.conn.Close() }

func (s *serverConn) deliver(frames []frame) {
	switch state := s.currentState().(type) {
	case checkedOut:
		_ = state.events.Put(state.ctx, responseReceived{server: s, nonce: state.nonce, frames: frames})
	case *runningCommands:
		s.handleCommandResponse(state, frames)
	case idle:
		s.checkIdle(frames)
	}
}

// checkIdle closes the connection if the server sent a message that is not valid on an idle connection.
func (s *serverConn) checkIdle(frames []frame) {
	if !areAsynchronous(frames) {
		s.close()
	}
}

// fail notifies the receiver and the pool that the connection has ended.
func (s *serverConn) fail(cause error) {
	s.mu.Lock()
	s.closed = true
	state := s.state
	s.mu.Unlock()
	s.cancel()
	s.pool.send(connClosed{conn: s})
	err := port.Wrapf(cause, port.NoConnection, "connection to server %s ended", s.key.server)
	switch state := state.(type) {
	case checkedOut:
		_ = state.events.Put(state.ctx, serverLost{nonce: state.nonce, err: err})
	case *runningCommands:
		state.done(err)
	case idle:
	}
}

func (s *serverConn) currentState() serverConnState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// setState sets the receiver of the server's messages. It returns false if the connection has ended.
func (s *serverConn) setState(state serverConnState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	return !s.closed
}

// isAsynchronous reports whether the server may send the message at any time.
func isAsynchronous(f frame) bool {
	return f.kind() == 'S' || f.kind() == 'N' || f.kind() == 'A'
}

func areAsynchronous(frames []frame) bool {
	return !slices.ContainsFunc(frames, func(f frame) bool { return !isAsynchronous(f) })
}

func decodeServerError(f frame) error {
	var m pgproto3.ErrorResponse
	if err := m.Decode(f.body()); err != nil {
		return port.Wrapf(err, port.NoConnection, "server sent an invalid ErrorResponse")
	}
	return port.Errorf(port.NoConnection, "server rejected the command: %s (%s)", m.Message, m.Code)
}
