package request

import (
	"maps"

	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// MaxStatements is the number of prepared statements that one caller may keep. The cache of a pgx client holds 512.
	MaxStatements = 1024
	// MaxStatementBytes bounds the text of one caller's named statements. The limit of a message bounds the unnamed one.
	MaxStatementBytes = 1 << 20
)

// Statements holds the prepared statements of one caller by name, each in the encoding of its front end. Statements
// are never changed in place; the zero value is empty.
type Statements struct {
	bytes  int
	byName map[string][]byte
	// unnamed is kept apart, because some drivers prepare the unnamed statement for each request.
	unnamed []byte
}

// WithStatement returns the statements with one added or replaced. It fails with kind TooLarge.
func (s Statements) WithStatement(name string, encoded []byte) (Statements, error) {
	if name == "" {
		s.unnamed = encoded
		return s, nil
	}
	size := s.bytes - len(s.byName[name]) + len(encoded)
	if _, known := s.byName[name]; !known && len(s.byName) >= MaxStatements {
		return s, port.Errorf(port.TooLarge, "more than %d prepared statements", MaxStatements)
	}
	if size > MaxStatementBytes {
		return s, port.Errorf(port.TooLarge, "prepared statements exceed %d bytes", MaxStatementBytes)
	}
	byName := make(map[string][]byte, len(s.byName)+1)
	maps.Copy(byName, s.byName)
	byName[name] = encoded
	s.bytes, s.byName = size, byName
	return s, nil
}

// Without returns the statements without the one of the name.
func (s Statements) Without(name string) Statements {
	if name == "" {
		s.unnamed = nil
		return s
	}
	encoded, known := s.byName[name]
	if !known {
		return s
	}
	byName := maps.Clone(s.byName)
	delete(byName, name)
	s.bytes, s.byName = s.bytes-len(encoded), byName
	return s
}

// Find returns the statement of the name.
func (s Statements) Find(name string) ([]byte, bool) {
	if name == "" {
		return s.unnamed, s.unnamed != nil
	}
	encoded, ok := s.byName[name]
	return encoded, ok
}
