package statement

import (
	"maps"
	"strconv"
)

// maxDefined bounds the prepared names that a server connection keeps, and so the server's memory. Callers of one
// organisation share names by shape, so a connection seldom sees more.
const maxDefined = 64

// SessionState holds the values and prepared names of a caller's session. A Context is never changed in place; the zero
// value is that of a new session.
type SessionState struct {
	values map[string]string
	shapes map[string]Shape
}

// WithValue returns the context with a value set.
func (c SessionState) WithValue(name, value string) SessionState {
	c.values = withEntry(c.values, name, value)
	return c
}

// WithShape returns the context with a prepared name.
func (c SessionState) WithShape(name string, s Shape) SessionState {
	c.shapes = withEntry(c.shapes, name, s)
	return c
}

// WithoutShape returns the context without a prepared name.
func (c SessionState) WithoutShape(name string) SessionState {
	c.shapes = maps.Clone(c.shapes)
	delete(c.shapes, name)
	return c
}

// Shape returns the shape that was prepared under the name.
func (c SessionState) Shape(name string) (Shape, bool) {
	s, found := c.shapes[name]
	return s, found
}

// ConnectionState is what a server connection has been given of the contexts of its callers. An Applied is never changed in
// place; the zero value is that of a new connection.
type ConnectionState struct {
	values  map[string]string
	defined map[Shape]string
}

// CommandsFor returns the orders that give a connection exactly the values of the context and, if shape is not nil, a name
// for the shape. It also returns that name, and what the connection has once the orders succeeded.
func (a ConnectionState) CommandsFor(c SessionState, shape *Shape) ([]Command, string, ConnectionState) {
	var orders []Command
	_, isDefined := a.nameOf(shape)
	if a.hasOther(c) || (shape != nil && !isDefined && len(a.defined) >= maxDefined) {
		orders = append(orders, ResetSession{})
		a = ConnectionState{}
	}
	for name, value := range c.values {
		if have, found := a.values[name]; !found || have != value {
			orders = append(orders, AssignValue{Name: name, Value: value})
			a.values = withEntry(a.values, name, value)
		}
	}
	if shape == nil {
		return orders, "", a
	}
	name, found := a.nameOf(shape)
	if !found {
		name = "p" + strconv.Itoa(len(a.defined)+1)
		orders = append(orders, PrepareShape{Name: name, Shape: *shape})
		a.defined = withEntry(a.defined, *shape, name)
	}
	return orders, name, a
}

func (a ConnectionState) nameOf(shape *Shape) (string, bool) {
	if shape == nil {
		return "", false
	}
	name, found := a.defined[*shape]
	return name, found
}

// hasOther reports whether the connection has a value that the context lacks. Only Clear removes one.
func (a ConnectionState) hasOther(c SessionState) bool {
	for name := range a.values {
		if _, found := c.values[name]; !found {
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
