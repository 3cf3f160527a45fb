package postgres_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// fakeServer is a database server whose script answers all statements except binds and releases.
type fakeServer struct {
	t       *testing.T
	socket  net.Listener
	running sync.WaitGroup

	mu        sync.Mutex
	behaviour behaviour
	log       []string
	conns     map[*fakeConn]struct{}
	cancels   int
	opened    int
	binds     int
	offset    uint64
	changed   *sync.Cond
}

// behaviour is what a test can configure. The zero value is that of a healthy server.
type behaviour struct {
	script func(*fakeConn, string)
	// bindError is the message with which binds are rejected.
	bindError string
	// bindGate is awaited before each response to a bind, and loginGate before each login after the first.
	bindGate  <-chan struct{}
	loginGate <-chan struct{}
}

// fakeConn is a connection to a fakeServer.
type fakeConn struct {
	server   *fakeServer
	conn     net.Conn
	backend  *pgproto3.Backend
	number   int
	bound    string
	status   byte
	prepared map[string]string
	portal   string
	simple   bool
	// release replaces the response to a release.
	release func(*fakeConn)
}

func startFakeServer(t *testing.T) *fakeServer {
	t.Helper()
	socket, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fakeServer{t: t, socket: socket, conns: make(map[*fakeConn]struct{})}
	s.changed = sync.NewCond(&s.mu)
	s.running.Go(s.loop)
	t.Cleanup(s.stop)
	return s
}

func (s *fakeServer) address() string { return s.socket.Addr().String() }

func (s *fakeServer) stop() {
	_ = s.socket.Close()
	s.closeConns()
	s.running.Wait()
}

func (s *fakeServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
}

// configure changes the server's behaviour.
func (s *fakeServer) configure(change func(*behaviour)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.behaviour)
}

func (s *fakeServer) setScript(script func(*fakeConn, string)) {
	s.configure(func(b *behaviour) { b.script = script })
}

func (s *fakeServer) currentBehaviour() behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour
}

// statements returns the statements that clients ran, as "connection organisation statement".
func (s *fakeServer) statements() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.log...)
}

func (s *fakeServer) counts() (opened, cancels int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened, s.cancels
}

// awaitClosed waits until every connection that was opened has ended.
func (s *fakeServer) awaitClosed() {
	s.await(func() bool { return s.opened > 0 && len(s.conns) == 0 })
}

// awaitCancel waits for a cancel request.
func (s *fakeServer) awaitCancel() {
	s.await(func() bool { return s.cancels > 0 })
}

func (s *fakeServer) await(reached func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !reached() {
		s.changed.Wait()
	}
}

func (s *fakeServer) loop() {
	for {
		conn, err := s.socket.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.run(conn) })
	}
}

func (s *fakeServer) run(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c := &fakeConn{
		server: s, conn: conn, backend: pgproto3.NewBackend(conn, conn), status: 'I', prepared: make(map[string]string),
	}
	if !c.login() {
		return
	}
	s.mu.Lock()
	s.opened++
	c.number = s.opened
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	c.serve()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.changed.Broadcast()
}

func (c *fakeConn) login() bool {
	m, err := c.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	if opened, _ := c.server.counts(); opened > 0 {
		waitFor(c.server.currentBehaviour().loginGate)
	}
	start, ok := m.(*pgproto3.StartupMessage)
	if !ok {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		if _, ok := m.(*pgproto3.CancelRequest); ok {
			c.server.cancels++
			c.server.changed.Broadcast()
		}
		return false
	}
	if start.Parameters["user"] != "system" {
		c.fail("28P01", "unknown user")
		return false
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}})
	c.ready()
	return true
}

func (c *fakeConn) serve() {
	failed := false
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return
		}
		if failed {
			if _, ok := m.(*pgproto3.Sync); !ok {
				continue
			}
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			c.simple = true
			c.query(m.String)
			c.ready()
			c.simple = false
		case *pgproto3.Parse:
			if failed = m.Name != "" && c.prepared[m.Name] != ""; failed {
				c.fail("42P05", "prepared statement already exists")
				break
			}
			c.prepared[m.Name] = m.Query
			c.backend.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Describe:
			if failed = m.ObjectType == 'S' && c.prepared[m.Name] == ""; failed {
				c.fail("26000", "prepared statement does not exist")
				break
			}
			if m.ObjectType == 'S' {
				c.backend.Send(&pgproto3.ParameterDescription{})
			}
			c.backend.Send(c.rowDescription())
		case *pgproto3.Bind:
			if failed = c.prepared[m.PreparedStatement] == ""; failed {
				c.fail("26000", "prepared statement does not exist")
				break
			}
			c.portal = c.prepared[m.PreparedStatement]
			c.backend.Send(&pgproto3.BindComplete{})
		case *pgproto3.Execute:
			c.query(c.portal)
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				delete(c.prepared, m.Name)
			}
			c.backend.Send(&pgproto3.CloseComplete{})
		case *pgproto3.Flush:
			_ = c.backend.Flush()
		case *pgproto3.Sync:
			failed = false
			c.ready()
		}
	}
}

func (c *fakeConn) rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, TypeModifier: -1}}}
}

// query runs one statement: bind, release, or the script.
func (c *fakeConn) query(sql string) {
	switch {
	case sql == "-- ping":
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	case strings.HasPrefix(sql, "SELECT rhubarbwick_bind("):
		c.bind(sql)
	case strings.HasPrefix(sql, "SELECT rhubarbwick_release("):
		c.bound = ""
		c.prepared = make(map[string]string)
		if c.release != nil {
			c.release(c)
			return
		}
		c.row("released")
		c.complete("SELECT 1")
	default:
		c.server.mu.Lock()
		c.server.log = append(c.server.log, fmt.Sprintf("%d %s %s", c.number, c.bound, sql))
		c.server.mu.Unlock()
		if script := c.server.currentBehaviour().script; script != nil {
			script(c, sql)
			return
		}
		c.run(sql)
	}
}

func waitFor(gate <-chan struct{}) {
	if gate != nil {
		<-gate
	}
}

func (c *fakeConn) bind(sql string) {
	waitFor(c.server.currentBehaviour().bindGate)
	if message := c.server.currentBehaviour().bindError; message != "" {
		c.fail("57P03", message)
		return
	}
	c.bound = strings.Split(strings.TrimPrefix(sql, "SELECT rhubarbwick_bind("), ", ")[0]
	c.bound = strings.TrimSuffix(strings.TrimPrefix(c.bound, "'"), "'")
	if strings.HasSuffix(sql, "true)") {
		c.bound += "/read"
	}
	c.server.countBind()
	c.row("bound")
	c.complete("SELECT 1")
}

// run is the default script. It simulates BEGIN, COMMIT, INSERT and COPY, and returns the text of any other statement.
func (c *fakeConn) run(sql string) {
	switch {
	case sql == "begin":
		c.status = 'T'
		c.complete("BEGIN")
	case sql == "commit":
		c.status = 'I'
		c.complete("COMMIT")
		c.reportPosition()
	case strings.HasPrefix(sql, "insert"):
		c.complete("INSERT 0 1")
		if c.status == 'I' {
			c.reportPosition()
		}
	case strings.HasPrefix(sql, "copy in"):
		c.backend.Send(&pgproto3.CopyInResponse{})
		_ = c.backend.Flush()
		_, _ = c.backend.Receive()
		c.fail("57014", "COPY failed")
	case strings.HasPrefix(sql, "copy out"):
		c.backend.Send(&pgproto3.CopyOutResponse{})
		c.backend.Send(&pgproto3.CopyData{Data: []byte("secret")})
		c.backend.Send(&pgproto3.CopyDone{})
		c.complete("COPY 1")
	default:
		c.row(sql)
		c.complete("SELECT 1")
	}
}

func (c *fakeConn) reportPosition() {
	c.server.mu.Lock()
	c.server.offset++
	value := fmt.Sprintf("1:%d", c.server.offset)
	c.server.mu.Unlock()
	c.backend.Send(&pgproto3.ParameterStatus{Name: "rhubarbwick.position", Value: value})
}

func (c *fakeConn) row(text string) {
	if c.simple {
		c.backend.Send(c.rowDescription())
	}
	c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(text)}})
}

func (c *fakeConn) complete(tag string) {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (c *fakeConn) fail(code, message string) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
	_ = c.backend.Flush()
}

func (c *fakeConn) ready() {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	_ = c.backend.Flush()
}

// fakeLimit permits the same number of connections to every server.
type fakeLimit struct {
	mu         sync.Mutex
	allowed    int
	demands    chan int
	openCounts chan int
}

func (l *fakeLimit) MaxConnections(string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowed
}

func (l *fakeLimit) SetDemand(_ string, n int) {
	select {
	case l.demands <- n:
	default:
	}
}

func (l *fakeLimit) SetOpen(_ string, n int) {
	select {
	case l.openCounts <- n:
	default:
	}
}

// awaitDemand waits until a demand of n connections is reported.
func (l *fakeLimit) awaitDemand(n int) {
	for <-l.demands != n {
	}
}

func (l *fakeLimit) setAllowed(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowed = n
}
