package request

import (
	"github.com/rhubarbwick/rhubarbwick/immutable"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// MaxStatements is the maximum number of prepared statements of one client. The statement cache of pgx holds 512.
	MaxStatements = 1024
	// MaxStatementBytes is the maximum total size of one client's named statements. The unnamed statement is bounded by
	// the message size limit.
	MaxStatementBytes = 1 << 20
)

// Statements holds the prepared statements of one client by name, each in the encoding of its front end. It is
// immutable. The zero value is empty.
type Statements struct {
	bytes  int
	byName immutable.Map[[]byte]
	// unnamed is not in byName, because some drivers prepare the unnamed statement for each request.
	unnamed []byte
}

// WithStatement returns the statements with one added or replaced. It returns an error of kind TooLarge if that exceeds
// a limit.
func (s Statements) WithStatement(name string, encoded []byte) (Statements, error) {
	if name == "" {
		s.unnamed = encoded
		return s, nil
	}
	old, known := s.byName.Get(name)
	size := s.bytes - len(old) + len(encoded)
	if !known && s.byName.Len() >= MaxStatements {
		return s, port.Errorf(port.TooLarge, "more than %d prepared statements", MaxStatements)
	}
	if size > MaxStatementBytes {
		return s, port.Errorf(port.TooLarge, "prepared statements exceed %d bytes", MaxStatementBytes)
	}
	s.bytes, s.byName = size, s.byName.With(name, encoded)
	return s, nil
}

// Without returns the statements without the named one.
func (s Statements) Without(name string) Statements {
	if name == "" {
		s.unnamed = nil
		return s
	}
	if encoded, known := s.byName.Get(name); known {
		s.bytes, s.byName = s.bytes-len(encoded), s.byName.Without(name)
	}
	return s
}

// Bytes returns the size of the statements in bytes.
func (s Statements) Bytes() int { return s.bytes + len(s.unnamed) }

// Find returns the named statement.
func (s Statements) Find(name string) ([]byte, bool) {
	if name == "" {
		return s.unnamed, s.unnamed != nil
	}
	return s.byName.Get(name)
}
