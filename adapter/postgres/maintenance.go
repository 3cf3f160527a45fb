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
	// maintenanceDatabase is the database of connections that servers do not count towards their bound.
	maintenanceDatabase = "rhubarbwick_maintenance"
	// refusedState is the SQLSTATE of a refusal because of a later promise.
	refusedState = "55000"
)

// MaintenanceClientConfig says how a server's maintenance functions are reached.
type MaintenanceClientConfig struct {
	// Server is the server's name in the document.
	Server   string
	Address  string
	User     string
	Password string
}

// MaintenanceClient reaches the maintenance functions of one database server. Status has a connection of its own, so that
// an order does not wait for a status that waits for a position. The zero value refuses; use NewMaintenance.
type MaintenanceClient struct {
	cfg    MaintenanceClientConfig
	life   context.Context
	end    context.CancelCauseFunc
	closed sync.Once
	status lane
	orders lane
}

var _ port.Server = (*MaintenanceClient)(nil)

// NewMaintenanceClient returns the maintenance side of a server. It connects when it is first used.
func NewMaintenanceClient(cfg MaintenanceClientConfig) *MaintenanceClient {
	life, end := context.WithCancelCause(context.Background())
	return &MaintenanceClient{cfg: cfg, life: life, end: end, status: newLane(), orders: newLane()}
}

// Status returns the server's status, or waits for a position first.
func (m *MaintenanceClient) Status(ctx context.Context, await group.Position, maxWait time.Duration) (group.Status, error) {
	sql := statusAtOnce
	if !await.IsZero() {
		sql = fmt.Sprintf("SELECT rhubarbwick_status(%s, %d)", quote(await.String()), maxWait.Milliseconds())
	}
	return m.ask(ctx, m.status, sql)
}

// Fence makes the server promise term to candidate.
func (m *MaintenanceClient) Fence(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	return m.ask(ctx, m.orders, fmt.Sprintf("SELECT rhubarbwick_fence(%d, %s)", term, quote(candidate)))
}

// Promote makes the server primary of term.
func (m *MaintenanceClient) Promote(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	return m.ask(ctx, m.orders, fmt.Sprintf("SELECT rhubarbwick_promote(%d, %s)", term, quote(candidate)))
}

// Follow makes the server replicate from the primary of term at an address.
func (m *MaintenanceClient) Follow(ctx context.Context, term group.Term, primary string) (group.Status, error) {
	return m.ask(ctx, m.orders, fmt.Sprintf("SELECT rhubarbwick_follow(%d, %s)", term, quote(primary)))
}

// Close ends what waits and closes the connections. The Maintenance cannot be used afterwards.
func (m *MaintenanceClient) Close() {
	if m.life == nil {
		return
	}
	m.closed.Do(func() {
		m.end(port.Errorf(port.Unavailable, "maintenance of server %s was closed", m.cfg.Server))
		m.status.close()
		m.orders.close()
	})
}

func (m *MaintenanceClient) ask(ctx context.Context, l lane, sql string) (group.Status, error) {
	if m.life == nil {
		return group.Status{}, port.Errorf(port.Unavailable, "maintenance was not set up")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(m.life, func() { cancel(context.Cause(m.life)) })
	defer stop()
	row, err := l.exchange(ctx, m.cfg, sql)
	if err != nil {
		return group.Status{}, m.classify(err)
	}
	status, err := statusOfRow(row)
	if err != nil {
		return group.Status{}, port.Wrapf(err, port.Unavailable, "status of server %s was not understood", m.cfg.Server)
	}
	// A server that is reached under two names would count twice towards a majority.
	if status.Server != m.cfg.Server {
		return group.Status{}, port.Errorf(port.Unavailable, "server %s is expected at %s, found %s",
			m.cfg.Server, m.cfg.Address, status.Server)
	}
	return status, nil
}

// classify returns the error with its kind.
func (m *MaintenanceClient) classify(err error) error {
	var refusal *port.TermConflictError
	if errors.As(err, &refusal) {
		return port.Wrapf(err, port.Conflict, "server %s refused", m.cfg.Server)
	}
	return port.Wrapf(err, port.Unavailable, "server %s did not answer", m.cfg.Server)
}

// lane holds at most one connection. Whoever takes it from the ring owns it until it is put back.
type lane struct{ links *ring.Ring[*link] }

func newLane() lane {
	l := lane{links: ring.New[*link](1)}
	l.links.TryPut(nil)
	return l
}

// exchange asks over the lane's connection. A connection that was kept may have died meanwhile, so a failure on it is
// tried once more on a new one; all maintenance functions may be repeated.
func (l lane) exchange(ctx context.Context, cfg MaintenanceClientConfig, sql string) (map[string]string, error) {
	kept, err := l.links.Take(ctx)
	if err != nil {
		return nil, err
	}
	current := kept
	defer func() { l.links.TryPut(current) }()
	if kept != nil {
		row, err := kept.query(ctx, sql)
		if err == nil || isAnswer(err) {
			return row, err
		}
		kept.close()
		current = nil
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	opened, err := openLink(ctx, cfg)
	if err != nil {
		return nil, err
	}
	row, err := opened.query(ctx, sql)
	if err != nil && !isAnswer(err) {
		opened.close()
		return nil, err
	}
	current = opened
	return row, err
}

// close closes the connection and leaves the ring empty.
func (l lane) close() {
	if kept, err := l.links.Take(context.Background()); err == nil && kept != nil {
		kept.close()
	}
}

// orderError is an error that the server answered. The connection can still be used.
type orderError struct {
	code    string
	message string
	refusal *port.TermConflictError
}

// Error returns the message.
func (e *orderError) Error() string { return e.message + " (" + e.code + ")" }

// Unwrap returns the refusal, if it is one.
func (e *orderError) Unwrap() error {
	if e.refusal == nil {
		return nil
	}
	return e.refusal
}

func newOrderError(m *pgproto3.ErrorResponse) *orderError {
	e := &orderError{code: m.Code, message: m.Message}
	var refusal port.TermConflictError
	if _, err := fmt.Sscanf(m.Detail, "term %d is promised", &refusal.Promised); err == nil && m.Code == refusedState {
		e.refusal = &refusal
	}
	return e
}

func isAnswer(err error) bool {
	var e *orderError
	return errors.As(err, &e)
}

// statusAtOnce is the question that watchers ask all the time. It is prepared once for each connection, because the
// column names are two thirds of the bytes of an answer.
const statusAtOnce = "SELECT rhubarbwick_status('0:0', 0)"

// statusStatement is the name under which statusAtOnce is prepared.
const statusStatement = "status"

// link is one connection for queries that return one row.
type link struct {
	socket   net.Conn
	frontend *pgproto3.Frontend
	// columns are those of statusAtOnce once it is prepared.
	columns []string
}

func openLink(ctx context.Context, cfg MaintenanceClientConfig) (*link, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	l := &link{socket: socket, frontend: pgproto3.NewFrontend(socket, socket)}
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	if err := l.logIn(cfg); err != nil {
		l.close()
		return nil, causeOr(ctx, err)
	}
	return l, nil
}

func (l *link) logIn(cfg MaintenanceClientConfig) error {
	l.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": cfg.User, "database": maintenanceDatabase},
	})
	if err := l.frontend.Flush(); err != nil {
		return err
	}
	for {
		message, err := l.frontend.Receive()
		if err != nil {
			return err
		}
		switch m := message.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			l.frontend.Send(&pgproto3.PasswordMessage{Password: cfg.Password})
			if err := l.frontend.Flush(); err != nil {
				return err
			}
		case *pgproto3.ErrorResponse:
			return newOrderError(m)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// query runs a query that returns one row. The socket is closed when ctx ends first.
func (l *link) query(ctx context.Context, sql string) (map[string]string, error) {
	stop := context.AfterFunc(ctx, l.close)
	l.send(sql)
	err := l.frontend.Flush()
	var row map[string]string
	if err == nil {
		row, err = l.receiveRow()
	}
	// When the stop comes too late the socket is already closed or about to be.
	if !stop() {
		return nil, context.Cause(ctx)
	}
	return row, err
}

// send writes a simple query, or the execution of statusAtOnce. The first one prepares it and asks for its columns.
func (l *link) send(sql string) {
	if sql != statusAtOnce {
		l.frontend.Send(&pgproto3.Query{String: sql})
		return
	}
	if l.columns == nil {
		l.frontend.Send(&pgproto3.Parse{Name: statusStatement, Query: sql})
		l.frontend.Send(&pgproto3.Describe{ObjectType: 'S', Name: statusStatement})
	}
	l.frontend.Send(&pgproto3.Bind{PreparedStatement: statusStatement})
	l.frontend.Send(&pgproto3.Execute{})
	l.frontend.Send(&pgproto3.Sync{})
}

func (l *link) receiveRow() (map[string]string, error) {
	columns := l.columns
	prepared := false
	var row map[string]string
	var failure error
	for {
		message, err := l.frontend.Receive()
		if err != nil {
			return nil, err
		}
		switch m := message.(type) {
		case *pgproto3.ParseComplete:
			prepared = true
		case *pgproto3.RowDescription:
			columns = columnNames(m)
		case *pgproto3.DataRow:
			row = rowOf(columns, m)
		case *pgproto3.ErrorResponse:
			failure = newOrderError(m)
		case *pgproto3.ReadyForQuery:
			if prepared && failure == nil {
				l.columns = columns
			}
			return row, failure
		}
	}
}

func (l *link) close() { _ = l.socket.Close() }

func columnNames(m *pgproto3.RowDescription) []string {
	names := make([]string, len(m.Fields))
	for i, field := range m.Fields {
		names[i] = string(field.Name)
	}
	return names
}

func rowOf(columns []string, m *pgproto3.DataRow) map[string]string {
	row := make(map[string]string, len(columns))
	for i, value := range m.Values {
		if i < len(columns) {
			row[columns[i]] = string(value)
		}
	}
	return row
}

// causeOr returns the reason why ctx ended, or err when it did not end.
func causeOr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// statusOfRow reads the columns in which a server tells its status.
func statusOfRow(row map[string]string) (group.Status, error) {
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

// rowReader reads columns and keeps the errors.
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
