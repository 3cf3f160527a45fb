package statement

import (
	"maps"
	"strconv"
)

// maxPreparedShapes is the maximum number of prepared statements on a server connection; it bounds the server's memory.
// Clients of one organisation share prepared statements of the same shape, so a connection rarely needs more.
const maxPreparedShapes = 64

// SessionState holds the values and prepared statements of a client's session. It is immutable. The zero value is the
// state of a new session.
type SessionState struct {
	values map[string]string
	shapes map[string]Shape
}

// WithValue returns the state with the value set.
func (s SessionState) WithValue(name, value string) SessionState {
	s.values = withEntry(s.values, name, value)
	return s
}

// WithShape returns the state with a prepared statement added or replaced.
func (s SessionState) WithShape(name string, shape Shape) SessionState {
	s.shapes = withEntry(s.shapes, name, shape)
	return s
}

// WithoutShape returns the state without the named prepared statement.
func (s SessionState) WithoutShape(name string) SessionState {
	s.shapes = maps.Clone(s.shapes)
	delete(s.shapes, name)
	return s
}

// Shape returns the shape of the named prepared statement.
func (s SessionState) Shape(name string) (Shape, bool) {
	shape, found := s.shapes[name]
	return shape, found
}

// ConnectionState holds the session values and prepared statements that a server connection has now. It is immutable.
// The zero value is the state of a new connection.
type ConnectionState struct {
	values   map[string]string
	prepared map[Shape]string
}

// CommandsFor returns the commands that give a connection exactly the values of the session and, if shape is not nil, a
// prepared statement of the shape. It also returns the name of that statement, and the state of the connection after
// the commands have succeeded.
func (conn ConnectionState) CommandsFor(session SessionState, shape *Shape) ([]Command, string, ConnectionState) {
	var commands []Command
	_, isPrepared := conn.nameOf(shape)
	if conn.hasExtraValue(session) || (shape != nil && !isPrepared && len(conn.prepared) >= maxPreparedShapes) {
		commands = append(commands, ResetSession{})
		conn = ConnectionState{}
	}
	for name, value := range session.values {
		if have, found := conn.values[name]; !found || have != value {
			commands = append(commands, AssignValue{Name: name, Value: value})
			conn.values = withEntry(conn.values, name, value)
		}
	}
	if shape == nil {
		return commands, "", conn
	}
	name, found := conn.nameOf(shape)
	if !found {
		name = "p" + strconv.Itoa(len(conn.prepared)+1)
		commands = append(commands, PrepareShape{Name: name, Shape: *shape})
		conn.prepared = withEntry(conn.prepared, *shape, name)
	}
	return commands, name, conn
}

func (conn ConnectionState) nameOf(shape *Shape) (string, bool) {
	if shape == nil {
		return "", false
	}
	name, found := conn.prepared[*shape]
	return name, found
}

// hasExtraValue reports whether the connection has a value that the session lacks. Only ResetSession can remove it.
func (conn ConnectionState) hasExtraValue(session SessionState) bool {
	for name := range conn.values {
		if _, found := session.values[name]; !found {
			return true
		}
	}
	return false
}

func withEntry[K comparable, V any](m map[K]V, key K, value V) map[K]V {
	m = maps.Clone(m)
	if m == nil {
		m = make(map[K]V, 1)
	}
	m[key] = value
	return m
}
