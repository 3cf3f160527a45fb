package server

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// textOID is the type OID of all columns and parameters.
	textOID = 25
	// maxMessageSize is the maximum size of a client's message in bytes.
	maxMessageSize = 16 << 20
	// rowsPerFlush is the number of rows per flush. It keeps a long result from being in memory twice.
	rowsPerFlush = 1000
	// PositionParameter is the name of the parameter that reports the position of a commit.
	PositionParameter = "rhubarbwick.position"
)

// clientConn serves one client connection in its own goroutine.
type clientConn struct {
	listener *Listener
	socket   *partitionedConn
	backend  *pgproto3.Backend
	id       uint32
	secret   []byte
	counted  bool

	connection *Connection
	statements map[string]Prepared
	portals    map[string]portal
	// skipping is true after an error in the extended query protocol, until Sync.
	skipping bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

// portal is a prepared statement with its parameter values.
type portal struct {
	prepared  Prepared
	statement Statement
}

func newClientConn(l *Listener, socket *partitionedConn) *clientConn {
	backend := pgproto3.NewBackend(socket, socket)
	backend.SetMaxBodyLen(maxMessageSize)
	return &clientConn{listener: l, socket: socket, backend: backend, secret: newSecret()}
}

func newSecret() []byte {
	secret := make([]byte, 4)
	_, _ = rand.Read(secret)
	return secret
}

func (c *clientConn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.listener.unregister(c)
	defer func() { _ = c.socket.Close() }()
	startup, ok := c.receiveStartup()
	if !ok {
		return
	}
	if startup.Parameters[ReplicationParameter] == "" {
		c.socket.partition.Store(&c.listener.clientPartition)
		c.socket.awaitPartitionEnd()
	}
	if !c.start(ctx, startup) {
		return
	}
	if startup.Parameters[ReplicationParameter] != "" {
		servePulls(ctx, c.socket, c.listener.server)
		return
	}
	c.loop(ctx)
	_ = c.connection.Close(ctx)
}

// receiveStartup reads messages up to the start-up message. It returns false if the client sent a cancel request or the
// connection failed.
func (c *clientConn) receiveStartup() (*pgproto3.StartupMessage, bool) {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, false
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, true
		case *pgproto3.CancelRequest:
			c.listener.clientPartition.wait(c.socket.closed)
			c.listener.cancel(m)
			return nil, false
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.socket.Write([]byte{'N'}); err != nil {
				return nil, false
			}
		}
	}
}

// start authenticates the client and sends the session parameters.
func (c *clientConn) start(ctx context.Context, startup *pgproto3.StartupMessage) bool {
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if c.backend.Flush() != nil || c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword) != nil {
		return false
	}
	message, err := c.backend.Receive()
	if err != nil {
		return false
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok || !c.listener.login.matches(startup.Parameters["user"], password.Password) {
		return c.reject(errorf(codeInvalidPassword, "password authentication failed"))
	}
	database := startup.Parameters["database"]
	if startup.Parameters[ReplicationParameter] == "" && database != MaintenanceDatabase {
		if c.counted = c.listener.admitClient(); !c.counted {
			return c.reject(errorf(codeTooManyConnections, "server has no more connections"))
		}
	}
	c.connection = c.listener.server.Connect(database)
	if _, _, err := c.connection.Run(ctx, Empty{}); err != nil {
		return false
	}
	if d := time.Duration(c.listener.connectDelay.Load()); d > 0 && port.Sleep(ctx, c.listener.timer, d) != nil {
		return false
	}
	c.id = c.listener.register(c)
	if startup.ProtocolVersion > pgproto3.ProtocolVersion30 {
		c.backend.Send(&pgproto3.NegotiateProtocolVersion{})
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, name := range []string{"server_version", "client_encoding", "standard_conforming_strings", "timezone"} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: defaults[name]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: c.secret})
	return c.sendReady(Idle) == nil
}

func (c *clientConn) reject(err error) bool {
	response := errorResponse(err)
	response.Severity = "FATAL"
	c.backend.Send(response)
	_ = c.backend.Flush()
	return false
}

func (c *clientConn) loop(ctx context.Context) {
	c.statements = make(map[string]Prepared)
	c.portals = make(map[string]portal)
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		if err := c.handle(ctx, message); err != nil {
			return
		}
	}
}

// handle processes a message. An error ends the connection.
func (c *clientConn) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch message.(type) {
	case *pgproto3.Sync:
		return c.sync(ctx)
	case *pgproto3.Flush:
		return c.backend.Flush()
	}
	if c.skipping {
		return nil
	}
	if m, ok := message.(*pgproto3.Query); ok {
		return c.handleQuery(ctx, m.String)
	}
	if err := c.handleExtended(ctx, message); err != nil {
		c.backend.Send(errorResponse(c.failTransaction(ctx, err)))
		c.skipping = true
	}
	return nil
}

// sync commits the implicit transaction of the extended query protocol.
func (c *clientConn) sync(ctx context.Context) error {
	result, state, err := c.connection.Sync(ctx, c.skipping)
	if err != nil {
		c.backend.Send(errorResponse(err))
	}
	c.skipping = false
	c.reportPosition(result)
	return c.sendReady(state)
}

// failTransaction marks the open transaction as failed and returns err. The statement was rejected by the server or
// during protocol processing.
func (c *clientConn) failTransaction(ctx context.Context, err error) error {
	_, _, _ = c.connection.Run(ctx, rejectedStatement{})
	return err
}

// runStatement executes a statement. A cancel request ends only statements that wait, because all others are executed
// atomically.
func (c *clientConn) runStatement(ctx context.Context, statement Statement) (Result, error) {
	if c.counted {
		c.listener.countStatement(statement)
	}
	switch statement.(type) {
	case Sleep, GetStatus:
		result, err := c.runCancellable(ctx, statement)
		return result, err
	}
	result, _, err := c.connection.Run(ctx, statement)
	if _, ok := statement.(Release); ok && err == nil {
		c.statements = make(map[string]Prepared)
		c.portals = make(map[string]portal)
	}
	return result, err
}

func (c *clientConn) runCancellable(ctx context.Context, statement Statement) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setCancel(cancel)
	defer c.setCancel(nil)
	result, _, err := c.connection.Run(ctx, statement)
	if err != nil && ctx.Err() != nil {
		return Result{}, errorf(codeQueryCanceled, "statement was cancelled")
	}
	return result, err
}

func (c *clientConn) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

func (c *clientConn) cancelStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

func (c *clientConn) sendColumns(prepared Prepared) {
	if columns := prepared.Columns(); columns != nil {
		c.backend.Send(describeColumns(columns))
		return
	}
	c.backend.Send(&pgproto3.NoData{})
}

func (c *clientConn) sendResult(statement Statement, result Result) {
	if _, ok := statement.(Empty); ok {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, row := range result.Rows {
		values := make([][]byte, len(row))
		for j, text := range row {
			values[j] = []byte(text)
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
		if i%rowsPerFlush == rowsPerFlush-1 && c.backend.Flush() != nil {
			return
		}
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(result.Tag)})
}

func (c *clientConn) reportPosition(result Result) {
	if !result.Position.IsZero() {
		c.backend.Send(&pgproto3.ParameterStatus{Name: PositionParameter, Value: result.Position.String()})
	}
}

func (c *clientConn) sendReady(state TransactionState) error {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: byte(state)})
	return c.backend.Flush()
}

func describeColumns(columns []string) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, name := range columns {
		fields[i] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// errorResponse returns the ErrorResponse message for err.
func errorResponse(err error) *pgproto3.ErrorResponse {
	response := &pgproto3.ErrorResponse{Severity: "ERROR", Message: err.Error()}
	var statementErr *StatementError
	var conflict *port.TermConflictError
	switch {
	case errors.As(err, &statementErr):
		response.Code = statementErr.Code
		response.Message = statementErr.Message
	case errors.As(err, &conflict):
		response.Code = codePrerequisiteState
		response.Detail = conflict.Error()
	default:
		response.Code = port.KindOf(err).Codes().SQLState
	}
	return response
}
