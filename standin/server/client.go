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
	// textOID is the type of every column and parameter.
	textOID = 25
	// maxMessage bounds a message from a client.
	maxMessage = 16 << 20
	// flushRows is how many rows are sent at once, so that a long result is not held in memory twice.
	flushRows = 1000
	// PositionParameter is the parameter in which a commit's position is reported.
	PositionParameter = "rhubarbwick.position"
)

// client is the duty of one socket.
type client struct {
	listener *Listener
	socket   *gatedConn
	backend  *pgproto3.Backend
	id       uint32
	secret   []byte
	counted  bool

	connection *Connection
	statements map[string]Prepared
	portals    map[string]portal
	// skipping is true after a failure in the extended protocol, until Sync.
	skipping bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

// portal is a statement with its parameters.
type portal struct {
	prepared  Prepared
	statement Statement
}

func newClient(l *Listener, socket *gatedConn) *client {
	backend := pgproto3.NewBackend(socket, socket)
	backend.SetMaxBodyLen(maxMessage)
	return &client{listener: l, socket: socket, backend: backend, secret: newSecret()}
}

func newSecret() []byte {
	secret := make([]byte, 4)
	_, _ = rand.Read(secret)
	return secret
}

func (c *client) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.listener.forget(c)
	defer func() { _ = c.socket.Close() }()
	startup, ok := c.receiveStartup()
	if !ok {
		return
	}
	if startup.Parameters[ReplicationParameter] == "" {
		c.socket.gate.Store(&c.listener.callers)
		c.socket.pass()
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

// receiveStartup reads until the start-up message. It reports false when the socket had another purpose.
func (c *client) receiveStartup() (*pgproto3.StartupMessage, bool) {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, false
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, true
		case *pgproto3.CancelRequest:
			c.listener.callers.wait(c.socket.closed)
			c.listener.cancel(m)
			return nil, false
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.socket.Write([]byte{'N'}); err != nil {
				return nil, false
			}
		}
	}
}

// start checks the login and tells the connection's parameters.
func (c *client) start(ctx context.Context, startup *pgproto3.StartupMessage) bool {
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if c.backend.Flush() != nil || c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword) != nil {
		return false
	}
	message, err := c.backend.Receive()
	if err != nil {
		return false
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok || !c.listener.login.allows(startup.Parameters["user"], password.Password) {
		return c.reject(failf(codePassword, "password authentication failed"))
	}
	database := startup.Parameters["database"]
	if startup.Parameters[ReplicationParameter] == "" && database != MaintenanceDatabase {
		if c.counted = c.listener.admit(); !c.counted {
			return c.reject(failf(codeConnections, "server has no more connections"))
		}
	}
	c.connection = c.listener.server.Connect(database)
	if _, _, err := c.connection.Run(ctx, Empty{}); err != nil {
		return false
	}
	if d := time.Duration(c.listener.openTime.Load()); d > 0 && port.Sleep(ctx, c.listener.timer, d) != nil {
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
	return c.ready(Idle) == nil
}

func (c *client) reject(err error) bool {
	response := errorResponse(err)
	response.Severity = "FATAL"
	c.backend.Send(response)
	_ = c.backend.Flush()
	return false
}

func (c *client) loop(ctx context.Context) {
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

// handle answers one message. An error ends the connection.
func (c *client) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
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
		return c.query(ctx, m.String)
	}
	if err := c.extended(ctx, message); err != nil {
		c.backend.Send(errorResponse(c.fail(ctx, err)))
		c.skipping = true
	}
	return nil
}

// sync commits the implicit transaction of the extended protocol.
func (c *client) sync(ctx context.Context) error {
	result, state, err := c.connection.Sync(ctx, c.skipping)
	if err != nil {
		c.backend.Send(errorResponse(err))
	}
	c.skipping = false
	c.reportPosition(result)
	return c.ready(state)
}

// fail makes the open transaction fail, whether the core or the protocol refused the statement, and returns err.
func (c *client) fail(ctx context.Context, err error) error {
	_, _, _ = c.connection.Run(ctx, refused{})
	return err
}

// runStatement runs a statement. A cancel request ends only a statement that waits, because the core carries out every
// other one as a whole.
func (c *client) runStatement(ctx context.Context, statement Statement) (Result, error) {
	if c.counted {
		c.listener.countStatement(statement)
	}
	switch statement.(type) {
	case Sleep, AskStatus:
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

func (c *client) runCancellable(ctx context.Context, statement Statement) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setCancel(cancel)
	defer c.setCancel(nil)
	result, _, err := c.connection.Run(ctx, statement)
	if err != nil && ctx.Err() != nil {
		return Result{}, failf(codeCancelled, "statement was cancelled")
	}
	return result, err
}

func (c *client) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

func (c *client) cancelStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

func (c *client) sendColumns(prepared Prepared) {
	if columns := prepared.Columns(); columns != nil {
		c.backend.Send(describeColumns(columns))
		return
	}
	c.backend.Send(&pgproto3.NoData{})
}

func (c *client) sendResult(statement Statement, result Result) {
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
		if i%flushRows == flushRows-1 && c.backend.Flush() != nil {
			return
		}
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(result.Tag)})
}

func (c *client) reportPosition(result Result) {
	if !result.Position.IsZero() {
		c.backend.Send(&pgproto3.ParameterStatus{Name: PositionParameter, Value: result.Position.String()})
	}
}

func (c *client) ready(state State) error {
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

// errorResponse tells an error to a client.
func errorResponse(err error) *pgproto3.ErrorResponse {
	response := &pgproto3.ErrorResponse{Severity: "ERROR", Message: err.Error()}
	var failure *Failure
	var refusal *port.TermConflictError
	switch {
	case errors.As(err, &failure):
		response.Code = failure.Code
		response.Message = failure.Message
	case errors.As(err, &refusal):
		response.Code = codeState
		response.Detail = refusal.Error()
	default:
		response.Code = port.KindOf(err).Codes().SQLState
	}
	return response
}
