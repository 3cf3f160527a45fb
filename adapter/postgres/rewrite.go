package postgres

import (
	"maps"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
)

// expectation is a ParseComplete or CloseComplete that the server will send unless an error comes first.
type expectation struct {
	name string
	// parse is the message that prepares the statement; nil when the statement or portal is closed.
	parse frame
	// added is true for a message that the caller did not send.
	added bool
	// portal is true when a portal is closed.
	portal bool
}

// rewrite returns the unit's messages as they are sent to the server. Statements that the caller prepared earlier and
// that the server connection lacks are prepared again.
func (c *caller) rewrite(u unit) ([]byte, error) {
	known, statements := c.expected()
	data := make([]byte, 0, u.size)
	expected := c.active.expected
	for _, f := range u.frames {
		name, uses, err := statementOf(f)
		if err != nil {
			return nil, err
		}
		if text, ok := statements.Find(name); uses && ok && !known[name] {
			data = append(data, text...)
			expected = append(expected, expectation{name: name, parse: text, added: true})
			known[name] = true
		}
		data = append(data, f...)
		switch f.kind() {
		case 'P':
			if statements, err = statements.WithStatement(name, f); err != nil {
				return nil, err
			}
			expected = append(expected, expectation{name: name, parse: f})
			known[name] = true
		case 'C':
			e := expectation{name: name, portal: f.body()[0] != 'S'}
			expected = append(expected, e)
			if !e.portal {
				statements = statements.Without(name)
				delete(known, name)
			}
		case 'Q':
			// A simple query destroys the unnamed statement.
			delete(c.prepared, "")
		}
	}
	c.active.expected = expected
	return data, nil
}

// expected returns the statements that the server connection and the caller will have when the server has done what it
// was sent so far.
func (c *caller) expected() (known map[string]bool, statements request.Statements) {
	known, statements = maps.Clone(c.prepared), c.statements
	for _, e := range c.active.expected {
		switch {
		case e.portal:
		case e.parse == nil:
			delete(known, e.name)
			statements = statements.Without(e.name)
		default:
			known[e.name] = true
			statements, _ = statements.WithStatement(e.name, e.parse)
		}
	}
	return known, statements
}

// statementOf returns the name of the statement that a message prepares, uses or closes. uses is true when the
// statement has to exist.
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

// confirm takes note of a statement that the server prepared or closed. It reports whether the caller expects to hear
// of it.
func (c *caller) confirm(f frame) bool {
	a := c.active
	if len(a.expected) == 0 {
		return true
	}
	first := a.expected[0]
	a.expected = a.expected[1:]
	switch {
	case f.kind() == '1' && first.parse != nil:
		c.prepared[first.name] = true
		if statements, err := c.statements.WithStatement(first.name, first.parse); err == nil {
			c.statements = statements
		}
	case f.kind() == '3' && !first.portal:
		delete(c.prepared, first.name)
		c.statements = c.statements.Without(first.name)
	}
	return !first.added
}
