package server

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// MaxSeriesRows is the maximum number of rows of a GenerateSeries statement.
const MaxSeriesRows = 1_000_000

// TransactionState is the transaction state of a connection, as in ReadyForQuery messages.
type TransactionState byte

// The transaction states.
const (
	Idle          TransactionState = 'I'
	InTransaction TransactionState = 'T'
	Failed        TransactionState = 'E'
)

// Connection is an in-process connection to a server. Use Server.Connect.
type Connection struct {
	server   *Server
	database string
	// state is accessed only by the server's loop.
	state connectionState
}

// connectionState is the session state of a connection. The zero value is that of a new connection.
type connectionState struct {
	binding     *binding
	transaction *transaction
	parameters  map[string]string
}

// binding identifies the organisation that a connection is bound to.
type binding struct {
	organisation string
	nonce        string
	readOnly     bool
}

// transaction is an open transaction with its uncommitted writes.
type transaction struct {
	implicit bool
	readOnly bool
	changes  []Change
	failed   *StatementError
}

// Connect returns a new connection to a database.
func (s *Server) Connect(database string) *Connection {
	return &Connection{server: s, database: database}
}

// Execute executes a statement and, outside a transaction block, commits its writes.
func (c *Connection) Execute(ctx context.Context, statement Statement) (Result, error) {
	result, _, err := c.Run(ctx, statement)
	if err != nil {
		_, _, _ = c.Sync(ctx, true)
		return Result{}, err
	}
	committed, _, err := c.Sync(ctx, false)
	if !committed.Position.IsZero() {
		result.Position = committed.Position
	}
	return result, err
}

// Run executes a statement. Writes outside a transaction block are committed by Sync.
func (c *Connection) Run(ctx context.Context, statement Statement) (Result, TransactionState, error) {
	// Every statement passes through loop first, so that a paused server responds to none.
	r, err := c.server.do(ctx, runCommand{connection: c, statement: statement})
	if err != nil {
		return Result{}, r.state, err
	}
	switch statement := statement.(type) {
	case Sleep:
		if err := port.Sleep(ctx, c.server.timer, statement.Duration); err != nil {
			return Result{}, r.state, errorf(codeQueryCanceled, "statement was cancelled")
		}
	case GetStatus, Fence, Promote, Follow:
		status, err := c.maintain(ctx, statement)
		return statusResult(status), r.state, err
	}
	return r.result, r.state, nil
}

func (c *Connection) maintain(ctx context.Context, statement Statement) (group.Status, error) {
	switch statement := statement.(type) {
	case GetStatus:
		return c.server.Status(ctx, statement.Position, statement.MaxWait)
	case Fence:
		return c.server.Fence(ctx, statement.Term, statement.Candidate)
	case Promote:
		return c.server.Promote(ctx, statement.Term, statement.Candidate)
	case Follow:
		return c.server.Follow(ctx, statement.Term, statement.Primary)
	}
	return group.Status{}, errorf(codeInternalError, "statement %T is not for maintenance", statement)
}

// Sync ends the implicit transaction: it commits its writes, or discards them if a statement failed.
func (c *Connection) Sync(ctx context.Context, failed bool) (Result, TransactionState, error) {
	r, err := c.server.do(ctx, syncCommand{connection: c, failed: failed})
	return r.result, r.state, err
}

// Close rolls back an open transaction.
func (c *Connection) Close(ctx context.Context) error {
	_, err := c.server.do(ctx, closeCommand{connection: c})
	return err
}

// runStatement executes a statement. It is called by loop.
func (s *Server) runStatement(c *Connection, statement Statement) response {
	s.connections[c] = struct{}{}
	result, err := s.dispatch(c, statement)
	if err != nil && c.state.transaction != nil && c.state.transaction.failed == nil {
		c.state.transaction.failed = errorf(codeFailedTransaction, "transaction is aborted, statements are refused until it ends")
	}
	return response{result: result, state: c.state.transactionState(), err: err}
}

func (s *Server) dispatch(c *Connection, statement Statement) (Result, error) {
	switch statement := statement.(type) {
	case Commit:
		return s.commitTransaction(c)
	case Rollback:
		c.state.transaction = nil
		return Result{Tag: "ROLLBACK"}, nil
	case Release:
		return release(c, statement)
	}
	if t := c.state.transaction; t != nil && t.failed != nil {
		return Result{}, t.failed
	}
	switch statement := statement.(type) {
	case Empty:
		return Result{}, nil
	case Begin:
		return begin(c, statement), nil
	case SelectOne:
		return rows([]string{"1"}), nil
	case GenerateSeries:
		return series(statement)
	case Set:
		return set(c, statement)
	case Show:
		return show(c, statement)
	case Bind:
		return bind(c, statement)
	case Sleep:
		return rows([]string{""}), nil
	case GetStatus, Fence, Promote, Follow:
		return Result{}, checkMaintenanceAllowed(c)
	case rejectedStatement:
		return Result{}, errorf(codeFailedTransaction, "statement was refused")
	}
	return s.runOnTable(c, statement)
}

func (s *Server) runOnTable(c *Connection, statement Statement) (Result, error) {
	if c.state.binding == nil {
		return Result{}, errorf(codeInsufficientPrivilege, "connection is not bound to an organisation")
	}
	table := Table{Database: c.database, Organisation: c.state.binding.organisation}
	switch statement := statement.(type) {
	case Select:
		if value, ok := s.tables.read(table, statement.Key, c.state.changes()); ok {
			return rows([]string{value}), nil
		}
		return rows(), nil
	case Upsert:
		change := Change{Table: table, Operation: Put, Key: statement.Key, Value: statement.Value}
		return s.write(c, change, "INSERT 0 1")
	case Add:
		return s.add(c, Change{Table: table, Operation: Increment, Key: statement.Key})
	case Delete:
		if _, ok := s.tables.read(table, statement.Key, c.state.changes()); !ok {
			return s.write(c, Change{}, "DELETE 0")
		}
		return s.write(c, Change{Table: table, Operation: Remove, Key: statement.Key}, "DELETE 1")
	}
	return Result{}, errorf(codeInternalError, "statement %T is not handled", statement)
}

func (s *Server) add(c *Connection, change Change) (Result, error) {
	value, ok := s.tables.read(change.Table, change.Key, c.state.changes())
	if !ok {
		return s.write(c, Change{}, "UPDATE 0")
	}
	if _, err := strconv.ParseInt(value, 10, 64); err != nil {
		return Result{}, errorf(codeInvalidTextRepresentation, "value %q of key %q is not an integer", value, change.Key)
	}
	return s.write(c, change, "UPDATE 1")
}

// write adds a change to the connection's transaction. For a change without an operation, it only checks whether a
// write is allowed.
func (s *Server) write(c *Connection, change Change, tag string) (Result, error) {
	if c.state.readOnly() {
		return Result{}, errorf(codeReadOnly, "write was refused in a read-only transaction")
	}
	if !s.termState.IsPrimary() {
		return Result{}, errorf(codeReadOnly, "write was refused because the server is a replica")
	}
	if c.state.transaction == nil {
		c.state.transaction = &transaction{implicit: true}
	}
	if change.Operation != "" {
		c.state.transaction.changes = append(c.state.transaction.changes, change)
	}
	return Result{Tag: tag}, nil
}

func (s *Server) commitTransaction(c *Connection) (Result, error) {
	t := c.state.transaction
	c.state.transaction = nil
	if t == nil {
		return Result{Tag: "COMMIT"}, nil
	}
	return s.commit(t)
}

// commit appends the transaction's changes to the log as one entry.
func (s *Server) commit(t *transaction) (Result, error) {
	if t.failed != nil && t.failed.Code == codeFailedTransaction {
		return Result{Tag: "ROLLBACK"}, nil
	}
	if t.failed != nil {
		return Result{}, t.failed
	}
	if len(t.changes) == 0 {
		return Result{Tag: "COMMIT"}, nil
	}
	if !s.termState.IsPrimary() {
		return Result{}, errorf(codeReadOnly, "commit was refused because the server is a replica")
	}
	s.log = s.log.WithChanges(t.changes)
	s.tables.apply(t.changes)
	return Result{Tag: "COMMIT", Position: s.log.History().Last()}, nil
}

// sync ends an implicit transaction. It is called by loop.
func (s *Server) sync(c *Connection, failed bool) response {
	t := c.state.transaction
	if t == nil || !t.implicit {
		return response{state: c.state.transactionState()}
	}
	c.state.transaction = nil
	if failed {
		return response{state: Idle}
	}
	result, err := s.commit(t)
	return response{result: result, state: Idle, err: err}
}

func begin(c *Connection, statement Begin) Result {
	if t := c.state.transaction; t != nil {
		t.implicit = false
		return Result{Tag: "BEGIN"}
	}
	c.state.transaction = &transaction{readOnly: statement.ReadOnly || c.state.readOnly()}
	return Result{Tag: "BEGIN"}
}

func bind(c *Connection, statement Bind) (Result, error) {
	if c.state.binding != nil {
		return Result{}, errorf(codePrerequisiteState, "connection is already bound to an organisation")
	}
	if c.state.transaction != nil {
		return Result{}, errorf(codeActiveTransaction, "connection cannot be bound inside a transaction")
	}
	if statement.Organisation == "" || statement.Nonce == "" {
		return Result{}, errorf(codeInvalidParameterValue, "bind needs an organisation and a nonce")
	}
	c.state.binding = &binding{
		organisation: statement.Organisation,
		nonce:        statement.Nonce,
		readOnly:     statement.ReadOnly,
	}
	return rows([]string{""}), nil
}

func release(c *Connection, statement Release) (Result, error) {
	if c.state.binding == nil {
		return Result{}, errorf(codePrerequisiteState, "connection is not bound to an organisation")
	}
	if c.state.binding.nonce != statement.Nonce {
		return Result{}, errorf(codeInsufficientPrivilege, "nonce is not that of the binding")
	}
	c.state = connectionState{}
	return rows([]string{""}), nil
}

// checkMaintenanceAllowed rejects maintenance statements on a bound connection, because there the statements come from
// a client.
func checkMaintenanceAllowed(c *Connection) error {
	if c.state.binding != nil {
		return errorf(codeInsufficientPrivilege, "maintenance is refused on a connection that is bound to an organisation")
	}
	return nil
}

func set(c *Connection, statement Set) (Result, error) {
	if strings.HasPrefix(statement.Name, "rhubarbwick.") {
		return Result{}, errorf(codeInsufficientPrivilege, "parameter %q cannot be set", statement.Name)
	}
	if c.state.parameters == nil {
		c.state.parameters = make(map[string]string)
	}
	c.state.parameters[statement.Name] = statement.Value
	return Result{Tag: "SET"}, nil
}

func show(c *Connection, statement Show) (Result, error) {
	if value, ok := c.state.parameters[statement.Name]; ok {
		return Result{Tag: "SHOW", Rows: [][]string{{value}}}, nil
	}
	if value, ok := defaults[statement.Name]; ok {
		return Result{Tag: "SHOW", Rows: [][]string{{value}}}, nil
	}
	return Result{}, errorf(codeUndefinedParameter, "unrecognized configuration parameter %q", statement.Name)
}

// defaults holds the default values of the session parameters.
var defaults = map[string]string{
	"application_name":              "",
	"client_encoding":               "UTF8",
	"datestyle":                     "ISO, MDY",
	"default_transaction_read_only": "off",
	"integer_datetimes":             "on",
	"search_path":                   "public",
	"server_encoding":               "UTF8",
	"server_version":                "17.0",
	"standard_conforming_strings":   "on",
	"statement_timeout":             "0",
	"timezone":                      "UTC",
}

func series(statement GenerateSeries) (Result, error) {
	n := statement.Last - statement.First + 1
	if n > MaxSeriesRows {
		return Result{}, errorf(codeInvalidParameterValue, "series of %d rows is longer than %d", n, MaxSeriesRows)
	}
	var all [][]string
	for i := statement.First; i <= statement.Last; i++ {
		all = append(all, []string{strconv.Itoa(i)})
	}
	return rows(all...), nil
}

func rows(all ...[]string) Result {
	return Result{Tag: "SELECT " + strconv.Itoa(len(all)), Rows: all}
}

func (s connectionState) transactionState() TransactionState {
	switch {
	case s.transaction == nil || s.transaction.implicit:
		return Idle
	case s.transaction.failed != nil:
		return Failed
	}
	return InTransaction
}

func (s connectionState) changes() []Change {
	if s.transaction == nil {
		return nil
	}
	return s.transaction.changes
}

func (s connectionState) readOnly() bool {
	switch {
	case s.binding != nil && s.binding.readOnly:
		return true
	case s.transaction != nil && !s.transaction.implicit:
		return s.transaction.readOnly
	}
	return s.parameters["default_transaction_read_only"] == "on"
}

// milliseconds formats a duration in milliseconds, rounded up.
func milliseconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Millisecond-1)/time.Millisecond), 10)
}
