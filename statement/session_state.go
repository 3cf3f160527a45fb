package statement

import (
	"crypto/sha256"
	"maps"
	"strconv"
	"strings"

	"github.com/rhubarbwick/rhubarbwick/immutable"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// maxPreparedShapes is the maximum number of prepared statements on a server connection; it bounds the server's
	// memory. Clients of one organisation share prepared statements of the same shape, so a connection rarely needs more.
	maxPreparedShapes = 64
	// maxPreparedBytes is the total length of their texts above which a connection is reset before the next one. It is
	// above the longest text that a client can send.
	maxPreparedBytes = 2 << 20
)

// Default limits of a session.
const (
	// DefaultSessionEntries is far above the handful of values and prepared statements that clients use.
	DefaultSessionEntries = 256
	// DefaultSessionBytes admits one value or statement of the longest message, and as much again.
	DefaultSessionBytes = 2 << 20
	// entryOverhead is the memory in bytes of an entry in addition to its texts.
	entryOverhead = 128
)

// SessionLimits limits the values and the prepared statements of one session. A zero field has its default.
type SessionLimits struct {
	// Entries limits the number of values and prepared statements together.
	Entries int
	// Bytes limits their size, with names.
	Bytes int
}

// Check returns an error of kind TooLarge if a state exceeds the limits.
func (l SessionLimits) Check(s SessionState) error {
	if l.Entries == 0 {
		l.Entries = DefaultSessionEntries
	}
	if l.Bytes == 0 {
		l.Bytes = DefaultSessionBytes
	}
	if n := s.values.Len() + s.shapes.Len(); n > l.Entries {
		return port.Errorf(port.TooLarge, "more than %d session values and prepared statements", l.Entries)
	}
	if s.bytes > l.Bytes {
		return port.Errorf(port.TooLarge, "session values and prepared statements exceed %d bytes", l.Bytes)
	}
	return nil
}

// SessionState holds the values and prepared statements of a client's session. It is immutable. The zero value is the
// state of a new session.
type SessionState struct {
	values immutable.Map[sessionValue]
	shapes immutable.Map[Shape]
	// bytes is the memory of all entries.
	bytes int
}

// sessionValue is a session value with the digests of its name and of its text.
type sessionValue struct {
	text               string
	nameDigest, digest digest
}

// Bytes returns the memory of the values and prepared statements in bytes.
func (s SessionState) Bytes() int { return s.bytes }

// WithValue returns the state with the value set. The texts are copied, because they may be parts of a longer message, which
// would be kept with them.
func (s SessionState) WithValue(name, value string) SessionState {
	name, value = strings.Clone(name), strings.Clone(value)
	if old, found := s.values.Get(name); found {
		s.bytes -= entrySize(name, old.text)
	}
	entry := sessionValue{text: value, nameDigest: digestOf(name), digest: digestOf(value)}
	s.values, s.bytes = s.values.With(name, entry), s.bytes+entrySize(name, value)
	return s
}

// WithShape returns the state with a prepared statement added or replaced. The texts are copied as in WithValue.
func (s SessionState) WithShape(name string, shape Shape) SessionState {
	name, shape.Text = strings.Clone(name), strings.Clone(shape.Text)
	s = s.WithoutShape(name)
	s.shapes, s.bytes = s.shapes.With(name, shape), s.bytes+entrySize(name, shape.Text)
	return s
}

// WithoutShape returns the state without the named prepared statement.
func (s SessionState) WithoutShape(name string) SessionState {
	if shape, found := s.shapes.Get(name); found {
		s.shapes, s.bytes = s.shapes.Without(name), s.bytes-entrySize(name, shape.Text)
	}
	return s
}

// Shape returns the shape of the named prepared statement.
func (s SessionState) Shape(name string) (Shape, bool) { return s.shapes.Get(name) }

func entrySize(name, text string) int { return entryOverhead + len(name) + len(text) }

// digest identifies a text without holding it.
type digest [sha256.Size]byte

func digestOf(text string) digest { return sha256.Sum256([]byte(text)) }

// ConnectionState describes the session values and prepared statements that a server connection has now. It is
// immutable. The zero value is the state of a new connection. It holds digests of the texts: a connection outlives the
// sessions that it served, and the texts of a session may have megabytes.
type ConnectionState struct {
	// values maps the digests of names to those of values.
	values map[digest]digest
	// prepared contains the names of the prepared statements.
	prepared map[shapeDigest]string
	// preparedBytes is the total length of the texts of the prepared statements.
	preparedBytes int
}

type shapeDigest struct {
	writes bool
	text   digest
}

// CommandsFor returns the commands that give a connection exactly the values of the session and, if shape is not nil, a
// prepared statement of the shape. It also returns the name of that statement, and the state of the connection after
// the commands have succeeded.
func (conn ConnectionState) CommandsFor(session SessionState, shape *Shape) ([]Command, string, ConnectionState) {
	var commands []Command
	name, isPrepared := conn.nameOf(shape)
	if conn.hasExtraValue(session) || shape != nil && !isPrepared && conn.isFull(*shape) {
		commands = append(commands, ResetSession{})
		conn, isPrepared = ConnectionState{}, false
	}
	assigned := len(commands)
	for name, value := range session.values.All() {
		if have, found := conn.values[value.nameDigest]; !found || have != value.digest {
			commands = append(commands, AssignValue{Name: name, Value: value.text})
		}
	}
	if len(commands) > assigned {
		conn.values = digestsOf(session)
	}
	if shape == nil {
		return commands, "", conn
	}
	if !isPrepared {
		name = "p" + strconv.Itoa(len(conn.prepared)+1)
		commands = append(commands, PrepareShape{Name: name, Shape: *shape})
		conn = conn.withPrepared(*shape, name)
	}
	return commands, name, conn
}

// digestsOf returns the digests of the session's names and values.
func digestsOf(session SessionState) map[digest]digest {
	values := make(map[digest]digest, session.values.Len())
	for _, value := range session.values.All() {
		values[value.nameDigest] = value.digest
	}
	return values
}

func (conn ConnectionState) nameOf(shape *Shape) (string, bool) {
	if shape == nil || len(conn.prepared) == 0 {
		return "", false
	}
	name, found := conn.prepared[shapeDigest{shape.Writes, digestOf(shape.Text)}]
	return name, found
}

// isFull reports whether another prepared statement would exceed the limits of a connection.
func (conn ConnectionState) isFull(shape Shape) bool {
	return len(conn.prepared) >= maxPreparedShapes || len(conn.prepared) > 0 && conn.preparedBytes+len(shape.Text) > maxPreparedBytes
}

// withPrepared returns the state with a prepared statement added. The map that is copied has at most maxPreparedShapes
// entries.
func (conn ConnectionState) withPrepared(shape Shape, name string) ConnectionState {
	prepared := make(map[shapeDigest]string, len(conn.prepared)+1)
	maps.Copy(prepared, conn.prepared)
	prepared[shapeDigest{shape.Writes, digestOf(shape.Text)}] = name
	conn.prepared, conn.preparedBytes = prepared, conn.preparedBytes+len(shape.Text)
	return conn
}

// hasExtraValue reports whether the connection has a value that the session lacks. Only ResetSession can remove it.
func (conn ConnectionState) hasExtraValue(session SessionState) bool {
	shared := 0
	for _, value := range session.values.All() {
		if _, found := conn.values[value.nameDigest]; found {
			shared++
		}
	}
	return shared < len(conn.values)
}
