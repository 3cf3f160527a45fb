package postgres

import (
	"github.com/rhubarbwick/rhubarbwick/immutable"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
)

// expectedCompletion is a ParseComplete or CloseComplete that the server will send unless an error comes first.
type expectedCompletion struct {
	name string
	// parse is the message that prepares the statement. It is nil for a CloseComplete.
	parse frame
	// added is true if the client did not send the message.
	added bool
	// portal is true if a portal is closed.
	portal bool
}

// rewriteBatch returns the batch as it is sent to the server. Statements that the client prepared earlier are prepared
// again if the server connection lacks them.
func (c *client) rewriteBatch(b batch) ([]byte, error) {
	serverHas, statements := c.expectedStatements()
	data := make([]byte, 0, b.size)
	expected := c.active.expectedCompletions
	for _, f := range b.frames {
		name, uses, err := statementOf(f)
		if err != nil {
			return nil, err
		}
		if text, ok := statements.Find(name); uses && ok && !has(serverHas, name) {
			data = append(data, text...)
			expected = append(expected, expectedCompletion{name: name, parse: text, added: true})
			serverHas = serverHas.With(name, struct{}{})
		}
		data = append(data, f...)
		switch f.kind() {
		case 'P':
			if statements, err = statements.WithStatement(name, f); err != nil {
				return nil, err
			}
			if err := c.updateState(statements.Bytes()); err != nil {
				return nil, err
			}
			expected = append(expected, expectedCompletion{name: name, parse: f})
			serverHas = serverHas.With(name, struct{}{})
		case 'C':
			e := expectedCompletion{name: name, portal: f.body()[0] != 'S'}
			expected = append(expected, e)
			if !e.portal {
				statements = statements.Without(name)
				serverHas = serverHas.Without(name)
			}
		case 'Q':
			// A simple query destroys the unnamed statement.
			c.serverStatements = c.serverStatements.Without("")
		}
	}
	c.active.expectedCompletions = expected
	return data, nil
}

// expectedStatements returns the statements that the server connection and the client will have when the server has
// processed everything sent so far.
func (c *client) expectedStatements() (serverHas immutable.Map[struct{}], statements request.Statements) {
	serverHas, statements = c.serverStatements, c.statements
	for _, e := range c.active.expectedCompletions {
		switch {
		case e.portal:
		case e.parse == nil:
			serverHas = serverHas.Without(e.name)
			statements = statements.Without(e.name)
		default:
			serverHas = serverHas.With(e.name, struct{}{})
			statements, _ = statements.WithStatement(e.name, e.parse)
		}
	}
	return serverHas, statements
}

func has(names immutable.Map[struct{}], name string) bool {
	_, found := names.Get(name)
	return found
}

// statementOf returns the name of the statement that a message prepares, uses or closes. uses is true if the statement
// has to exist.
func statementOf(f frame) (name string, uses bool, err error) {
	switch f.kind() {
	case 'P':
		name, _ = cString(f.body())
	case 'B':
		_, rest := cString(f.body())
		name, _ = cString(rest)
		uses = true
	case 'D', 'C':
		if len(f.body()) < 2 {
			return "", false, port.Errorf(port.Protocol, "message of type %q is too short", f.kind())
		}
		name, _ = cString(f.body()[1:])
		uses = f.kind() == 'D' && f.body()[0] == 'S'
	}
	return name, uses, nil
}

// recordCompletion records that the server prepared or closed a statement. It reports whether the client expects the
// completion.
func (c *client) recordCompletion(f frame) bool {
	a := c.active
	if len(a.expectedCompletions) == 0 {
		return true
	}
	first := a.expectedCompletions[0]
	a.expectedCompletions = a.expectedCompletions[1:]
	switch {
	case f.kind() == '1' && first.parse != nil:
		c.serverStatements = c.serverStatements.With(first.name, struct{}{})
		if statements, err := c.statements.WithStatement(first.name, first.parse); err == nil {
			c.statements = statements
		}
	case f.kind() == '3' && !first.portal:
		c.serverStatements = c.serverStatements.Without(first.name)
		c.statements = c.statements.Without(first.name)
	}
	return !first.added
}
