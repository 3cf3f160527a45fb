package postgres

import (
	"bufio"
	"encoding/binary"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// frameForwarder forwards messages without a copy of its own. Messages that fit into the reader's buffer are passed whole, so
// that a message of the instance itself may follow; of greater ones, what has arrived is passed.
type frameForwarder struct {
	reader *bufio.Reader
	// note takes the type and the first bytes of the body of a message before it is written. It reports false for a
	// message that is not passed on, which ends the forwarding.
	note func(kind byte, head []byte) bool
	// write writes messages. Bytes given to it have been noted.
	write func(data []byte) error
	// partial is true while a part of a message is written and the rest is not.
	partial bool
}

// errNotForwarded says that a message was noted that is not passed on. It is the next one of the reader.
var errNotForwarded = port.Errorf(port.Stopping, "a message was not passed on")

// frameLength returns the length of a message with the header, including the header.
func frameLength(header []byte) (int, error) {
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if length < 4 {
		return 0, port.Errorf(port.Protocol, "message of type %q has invalid length %d", header[0], length)
	}
	return 1 + length, nil
}

// next forwards the messages that have arrived, at least one.
func (p *frameForwarder) next() error {
	header, err := p.reader.Peek(headerBytes)
	if err != nil {
		return err
	}
	length, err := frameLength(header)
	if err != nil {
		return err
	}
	if length > p.reader.Size() {
		return p.forwardLarge(length)
	}
	if _, err := p.reader.Peek(length); err != nil {
		return err
	}
	return p.forwardBuffered()
}

// forwardBuffered forwards all messages that are whole in the buffer.
func (p *frameForwarder) forwardBuffered() error {
	data, err := p.reader.Peek(p.reader.Buffered())
	if err != nil {
		return err
	}
	n := 0
	var held error
	for held == nil && len(data)-n >= headerBytes {
		length, err := frameLength(data[n:])
		if err != nil || len(data)-n < length {
			break
		}
		if !p.note(data[n], data[n+headerBytes:n+length]) {
			held = errNotForwarded
			break
		}
		n += length
	}
	if n > 0 {
		if err := p.write(data[:n]); err != nil {
			return err
		}
		_, err = p.reader.Discard(n)
	}
	if held != nil {
		return held
	}
	return err
}

// forwardLarge forwards one message that does not fit into the buffer.
func (p *frameForwarder) forwardLarge(length int) error {
	head, err := p.reader.Peek(p.reader.Size())
	if err != nil {
		return err
	}
	if !p.note(head[0], head[headerBytes:]) {
		return errNotForwarded
	}
	p.partial = true
	part := make([]byte, min(length, chunkBytes))
	for length > 0 {
		n, err := p.reader.Read(part[:min(length, len(part))])
		if err != nil {
			return err
		}
		if err := p.write(part[:n]); err != nil {
			return err
		}
		length -= n
	}
	p.partial = false
	return nil
}

// errorFields are the parts of an ErrorResponse that decide about a session.
type errorFields struct{ severity, code string }

// isFatal reports whether the connection ends with the error.
func (e errorFields) isFatal() bool { return slices.Contains([]string{"FATAL", "PANIC"}, e.severity) }

// readErrorFields reads the severity and the code from the body of an ErrorResponse, as far as they are in it.
func readErrorFields(body []byte) errorFields {
	var e errorFields
	for len(body) > 1 {
		field := body[0]
		var value string
		value, body = cString(body[1:])
		switch field {
		case 'S', 'V':
			e.severity = value
		case 'C':
			e.code = value
		}
	}
	return e
}
