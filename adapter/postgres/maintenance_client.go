package postgres

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// maintenanceDatabase is the database of maintenance connections, which servers do not count towards their
	// connection limit.
	maintenanceDatabase = "rhubarbwick_maintenance"
	// termConflictCode is the SQLSTATE of an error caused by a promise of a later term.
	termConflictCode = "55000"
)

// MaintenanceClientConfig configures a MaintenanceClient.
type MaintenanceClientConfig struct {
	// Server is the server's name in the configuration document.
	Server   string
	Address  string
	User     string
	Password string
}

// MaintenanceClient calls the maintenance functions of one database server. Status has a connection of its own, so that
// other calls do not wait for a status that waits for a position. The zero value fails every call; use
// NewMaintenanceClient.
type MaintenanceClient struct {
	cfg      MaintenanceClientConfig
	ctx      context.Context
	cancel   context.CancelCauseFunc
	closed   sync.Once
	status   exclusiveConn
	commands exclusiveConn
}

var _ port.Server = (*MaintenanceClient)(nil)

// NewMaintenanceClient returns a client that connects to the server on first use.
func NewMaintenanceClient(cfg MaintenanceClientConfig) *MaintenanceClient {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &MaintenanceClient{cfg: cfg, ctx: ctx, cancel: cancel, status: newExclusiveConn(), commands: newExclusiveConn()}
}

// Status returns the server's status. If await is not zero, the server first waits up to maxWait for that position.
func (m *MaintenanceClient) Status(ctx context.Context, await group.Position, maxWait time.Duration) (group.Status, error) {
	sql := statusQuery
	if !await.IsZero() {
		sql = fmt.Sprintf("SELECT rhubarbwick_status(%s, %d)", quote(await.String()), maxWait.Milliseconds())
	}
	return m.query(ctx, m.status, sql)
}

// Fence makes the server promise term to candidate.
func (m *MaintenanceClient) Fence(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	return m.query(ctx, m.commands, fmt.Sprintf("SELECT rhubarbwick_fence(%d, %s)", term, quote(candidate)))
}

// Promote makes the server the primary of term.
func (m *MaintenanceClient) Promote(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	return m.query(ctx, m.commands, fmt.Sprintf("SELECT rhubarbwick_promote(%d, %s)", term, quote(candidate)))
}

// Follow makes the server replicate from the primary of term. primary is the primary's address.
func (m *MaintenanceClient) Follow(ctx context.Context, term group.Term, primary string) (group.Status, error) {
	return m.query(ctx, m.commands, fmt.Sprintf("SELECT rhubarbwick_follow(%d, %s)", term, quote(primary)))
}

// Close cancels running calls and closes the connections. Later calls fail.
func (m *MaintenanceClient) Close() {
	if m.ctx == nil {
		return
	}
	m.closed.Do(func() {
		m.cancel(port.Errorf(port.Unavailable, "the maintenance client of server %s was closed", m.cfg.Server))
		m.status.close()
		m.commands.close()
	})
}

func (m *MaintenanceClient) query(ctx context.Context, e exclusiveConn, sql string) (group.Status, error) {
	if m.ctx == nil {
		return group.Status{}, port.Errorf(port.Unavailable, "the maintenance client is not initialised")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(m.ctx, func() { cancel(context.Cause(m.ctx)) })
	defer stop()
	row, err := e.query(ctx, m.cfg, sql)
	if err != nil {
		return group.Status{}, m.classify(err)
	}
	status, err := parseStatus(row)
	if err != nil {
		return group.Status{}, port.Wrapf(err, port.Unavailable, "invalid status of server %s", m.cfg.Server)
	}
	// A server that is reachable under two names would count twice towards a majority.
	if status.Server != m.cfg.Server {
		return group.Status{}, port.Errorf(port.Unavailable, "expected server %s at %s, found server %s",
			m.cfg.Server, m.cfg.Address, status.Server)
	}
	return status, nil
}

// classify wraps the error in one of kind Conflict or Unavailable.
func (m *MaintenanceClient) classify(err error) error {
	var conflict *port.TermConflictError
	if errors.As(err, &conflict) {
		return port.Wrapf(err, port.Conflict, "server %s rejected the call", m.cfg.Server)
	}
	return port.Wrapf(err, port.Unavailable, "server %s did not answer", m.cfg.Server)
}

// exclusiveConn holds at most one connection, which one query uses at a time. A query takes it from the ring and puts
// it back at its end.
type exclusiveConn struct{ conns *ring.Ring[*maintenanceConn] }

func newExclusiveConn() exclusiveConn {
	e := exclusiveConn{conns: ring.New[*maintenanceConn](1)}
	e.conns.TryPut(nil)
	return e
}

// query runs a query on the connection. A kept connection may have died in the meantime, so a query that fails on it
// without an error of the server is retried once on a new connection. All maintenance functions may be repeated.
func (e exclusiveConn) query(ctx context.Context, cfg MaintenanceClientConfig, sql string) (map[string]string, error) {
	conn, err := e.conns.Take(ctx)
	if err != nil {
		return nil, err
	}
	current := conn
	defer func() { e.conns.TryPut(current) }()
	if conn != nil {
		row, err := conn.query(ctx, sql)
		if err == nil || isServerError(err) {
			return row, err
		}
		conn.close()
		current = nil
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	newConn, err := connectMaintenance(ctx, cfg)
	if err != nil {
		return nil, err
	}
	row, err := newConn.query(ctx, sql)
	if err != nil && !isServerError(err) {
		newConn.close()
		return nil, err
	}
	current = newConn
	return row, err
}

// close closes the connection and leaves the ring empty, so that later calls open no new one.
func (e exclusiveConn) close() {
	if conn, err := e.conns.Take(context.Background()); err == nil && conn != nil {
		conn.close()
	}
}

// serverError is an error reported by the server. The connection remains usable.
type serverError struct {
	code     string
	message  string
	conflict *port.TermConflictError
}

// Error returns the message with its SQLSTATE.
func (e *serverError) Error() string { return e.message + " (" + e.code + ")" }

// Unwrap returns the term conflict, or nil if the error is of another kind.
func (e *serverError) Unwrap() error {
	if e.conflict == nil {
		return nil
	}
	return e.conflict
}

func newServerError(m *pgproto3.ErrorResponse) *serverError {
	e := &serverError{code: m.Code, message: m.Message}
	var conflict port.TermConflictError
	if _, err := fmt.Sscanf(m.Detail, "term %d is promised", &conflict.Promised); err == nil && m.Code == termConflictCode {
		e.conflict = &conflict
	}
	return e
}

func isServerError(err error) bool {
	var e *serverError
	return errors.As(err, &e)
}

// statusQuery is the query that watchers repeat all the time. It is prepared once for each connection, because the
// column names make up two thirds of the bytes of a response.
const statusQuery = "SELECT rhubarbwick_status('0:0', 0)"

// statusStatement is the name under which statusQuery is prepared.
const statusStatement = "status"

// maintenanceConn is a connection for queries that return one row.
type maintenanceConn struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	// columns contains the columns of statusQuery. It is nil until the query is prepared.
	columns []string
}

func connectMaintenance(ctx context.Context, cfg MaintenanceClientConfig) (*maintenanceConn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	c := &maintenanceConn{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	if err := c.logIn(cfg); err != nil {
		c.close()
		return nil, causeOr(ctx, err)
	}
	return c, nil
}

func (c *maintenanceConn) logIn(cfg MaintenanceClientConfig) error {
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": cfg.User, "database": maintenanceDatabase},
	})
	if err := c.frontend.Flush(); err != nil {
		return err
	}
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return err
		}
		switch m := message.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			c.frontend.Send(&pgproto3.PasswordMessage{Password: cfg.Password})
			if err := c.frontend.Flush(); err != nil {
				return err
			}
		case *pgproto3.ErrorResponse:
			return newServerError(m)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// query runs a query that returns one row. If ctx ends first, the connection is closed.
func (c *maintenanceConn) query(ctx context.Context, sql string) (map[string]string, error) {
	stop := context.AfterFunc(ctx, c.close)
	c.send(sql)
	err := c.frontend.Flush()
	var row map[string]string
	if err == nil {
		row, err = c.receiveRow()
	}
	// If stop is too late, the connection is closed or about to be closed.
	if !stop() {
		return nil, context.Cause(ctx)
	}
	return row, err
}

// send sends a simple query, or executes statusQuery. The first execution prepares it and requests its columns.
func (c *maintenanceConn) send(sql string) {
	if sql != statusQuery {
		c.frontend.Send(&pgproto3.Query{String: sql})
		return
	}
	if c.columns == nil {
		c.frontend.Send(&pgproto3.Parse{Name: statusStatement, Query: sql})
		c.frontend.Send(&pgproto3.Describe{ObjectType: 'S', Name: statusStatement})
	}
	c.frontend.Send(&pgproto3.Bind{PreparedStatement: statusStatement})
	c.frontend.Send(&pgproto3.Execute{})
	c.frontend.Send(&pgproto3.Sync{})
}

func (c *maintenanceConn) receiveRow() (map[string]string, error) {
	columns := c.columns
	prepared := false
	var row map[string]string
	var failure error
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return nil, err
		}
		switch m := message.(type) {
		case *pgproto3.ParseComplete:
			prepared = true
		case *pgproto3.RowDescription:
			columns = columnNames(m)
		case *pgproto3.DataRow:
			row = decodeRow(columns, m)
		case *pgproto3.ErrorResponse:
			failure = newServerError(m)
		case *pgproto3.ReadyForQuery:
			if prepared && failure == nil {
				c.columns = columns
			}
			return row, failure
		}
	}
}

func (c *maintenanceConn) close() { _ = c.conn.Close() }

func columnNames(m *pgproto3.RowDescription) []string {
	names := make([]string, len(m.Fields))
	for i, field := range m.Fields {
		names[i] = string(field.Name)
	}
	return names
}

func decodeRow(columns []string, m *pgproto3.DataRow) map[string]string {
	row := make(map[string]string, len(columns))
	for i, value := range m.Values {
		if i < len(columns) {
			row[columns[i]] = string(value)
		}
	}
	return row
}

// causeOr returns the cause of ctx if it has ended, or err otherwise.
func causeOr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// parseStatus parses the columns of a server's status.
func parseStatus(row map[string]string) (group.Status, error) {
	r := rowReader{row: row}
	status := group.Status{
		Server:         r.text("server"),
		Role:           group.Role(r.text("role")),
		Promised:       group.Term(r.number("promised")),
		Candidate:      r.text("candidate"),
		Followed:       group.Term(r.number("followed")),
		History:        r.history("history"),
		PrimarySilence: time.Duration(r.number("primary_silence_ms")) * time.Millisecond,
		Age:            time.Duration(r.number("age_ms")) * time.Millisecond,
		AgeKnown:       r.text("age_known") == "true",
	}
	if status.Role != group.Primary && status.Role != group.Replica {
		r.errs = append(r.errs, fmt.Errorf("role %q is unknown", status.Role))
	}
	return status, errors.Join(r.errs...)
}

// rowReader parses columns and collects the errors.
type rowReader struct {
	row  map[string]string
	errs []error
}

func (r *rowReader) text(column string) string {
	value, ok := r.row[column]
	if !ok {
		r.errs = append(r.errs, fmt.Errorf("column %q is missing", column))
	}
	return value
}

func (r *rowReader) number(column string) uint64 {
	n, err := strconv.ParseUint(r.text(column), 10, 63)
	if err != nil {
		r.errs = append(r.errs, fmt.Errorf("column %q: %w", column, err))
	}
	return n
}

func (r *rowReader) history(column string) group.History {
	h, err := group.ParseHistory(r.text(column))
	if err != nil {
		r.errs = append(r.errs, fmt.Errorf("column %q: %w", column, err))
	}
	return h
}
