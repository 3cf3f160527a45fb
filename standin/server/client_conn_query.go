package server

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

func (c *clientConn) handleExtended(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.execute(ctx, m)
	case *pgproto3.Close:
		c.close(m)
		return nil
	}
	return errorf(codeProtocolViolation, "message %T is not supported", message)
}

// handleQuery processes a simple query. Its statements share one implicit transaction.
func (c *clientConn) handleQuery(ctx context.Context, sql string) error {
	parts := Split(sql)
	var last Result
	for i, part := range parts {
		result, failure := c.runSimple(ctx, part, i == len(parts)-1)
		if !result.Position.IsZero() {
			last = result
		}
		if failure != nil {
			c.backend.Send(errorResponse(failure))
			break
		}
	}
	_, state, _ := c.connection.Sync(ctx, false)
	c.reportPosition(last)
	return c.sendReady(state)
}

// runSimple executes one statement of a simple query. The last one commits before its result is sent.
func (c *clientConn) runSimple(ctx context.Context, sql string, last bool) (Result, error) {
	prepared, err := Parse(sql)
	if err != nil {
		return Result{}, c.failTransaction(ctx, err)
	}
	statement, err := prepared.Bind(nil)
	if err != nil {
		return Result{}, c.failTransaction(ctx, err)
	}
	result, err := c.runStatement(ctx, statement)
	if err != nil {
		return Result{}, c.failTransaction(ctx, err)
	}
	if last {
		committed, _, err := c.connection.Sync(ctx, false)
		if err != nil {
			return Result{}, err
		}
		if !committed.Position.IsZero() {
			result.Position = committed.Position
		}
	}
	if columns := prepared.Columns(); columns != nil {
		c.backend.Send(describeColumns(columns))
	}
	c.sendResult(statement, result)
	return result, nil
}

func (c *clientConn) parse(m *pgproto3.Parse) error {
	parts := Split(m.Query)
	if len(parts) > 1 {
		return errorf(codeSyntaxError, "prepared statement has %d commands, one is allowed", len(parts))
	}
	prepared, err := Parse(parts[0])
	if err != nil {
		return err
	}
	if _, ok := c.statements[m.Name]; ok && m.Name != "" {
		return errorf(codeDuplicateStatement, "prepared statement %q already exists", m.Name)
	}
	c.statements[m.Name] = prepared
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *clientConn) bind(m *pgproto3.Bind) error {
	prepared, ok := c.statements[m.PreparedStatement]
	if !ok {
		return errorf(codeUndefinedStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	arguments := make([]string, len(m.Parameters))
	for i, p := range m.Parameters {
		if p == nil {
			return errorf(codeInvalidParameterValue, "parameter $%d is null", i+1)
		}
		arguments[i] = string(p)
	}
	statement, err := prepared.Bind(arguments)
	if err != nil {
		return err
	}
	c.portals[m.DestinationPortal] = portal{prepared: prepared, statement: statement}
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *clientConn) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, ok := c.portals[m.Name]
		if !ok {
			return errorf(codeUndefinedPortal, "portal %q does not exist", m.Name)
		}
		c.sendColumns(p.prepared)
		return nil
	}
	prepared, ok := c.statements[m.Name]
	if !ok {
		return errorf(codeUndefinedStatement, "prepared statement %q does not exist", m.Name)
	}
	types := make([]uint32, prepared.Parameters())
	for i := range types {
		types[i] = textOID
	}
	c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: types})
	c.sendColumns(prepared)
	return nil
}

func (c *clientConn) execute(ctx context.Context, m *pgproto3.Execute) error {
	p, ok := c.portals[m.Portal]
	if !ok {
		return errorf(codeUndefinedPortal, "portal %q does not exist", m.Portal)
	}
	result, err := c.runStatement(ctx, p.statement)
	if err != nil {
		return err
	}
	c.sendResult(p.statement, result)
	c.reportPosition(result)
	return nil
}

func (c *clientConn) close(m *pgproto3.Close) {
	if m.ObjectType == 'P' {
		delete(c.portals, m.Name)
	} else {
		delete(c.statements, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
}
