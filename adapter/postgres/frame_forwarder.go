package postgres

import (
	"bufio"
	"encoding/binary"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// frameForwarder forwards messages without copying them. Messages that fit into the reader's buffer are forwarded
// whole, so that this instance can send a message of its own after them. Larger ones are forwarded in the parts that
// arrive.
type frameForwarder struct {
	reader *bufio.Reader
	// onFrame is called with the type and the first bytes of the body of each message before it is written. If it
	// returns false, the message is not forwarded and forwarding ends.
	onFrame func(kind byte, head []byte) bool
	// write writes messages for which onFrame has returned true.
	write func(data []byte) error
	// partial is true while only part of a message has been written.
	partial bool
}

// errNotForwarded means that onFrame returned false. The message remains in the reader.
var errNotForwarded = port.Errorf(port.Stopping, "a message was not forwarded")

// frameLength returns the total length of the message with the given header.
func frameLength(header []byte) (int, error) {
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if length < 4 {
		return 0, port.Errorf(port.Protocol, "message of type %q has invalid length %d", header[0], length)
	}
	return 1 + length, nil
}

// next forwards the messages that have arrived, at least one.
func (f *frameForwarder) next() error {
	header, err := f.reader.Peek(headerBytes)
	if err != nil {
		return err
	}
	length, err := frameLength(header)
	if err != nil {
		return err
	}
	if length > f.reader.Size() {
		return f.forwardLarge(length)
	}
	if _, err := f.reader.Peek(length); err != nil {
		return err
	}
	return f.forwardBuffered()
}

// forwardBuffered forwards all messages that are complete in the buffer.
func (f *frameForwarder) forwardBuffered() error {
	data, err := f.reader.Peek(f.reader.Buffered())
	if err != nil {
		return err
	}
	n := 0
	var frameErr error
	for frameErr == nil && len(data)-n >= headerBytes {
		length, err := frameLength(data[n:])
		if err != nil || len(data)-n < length {
			break
		}
		if !f.onFrame(data[n], data[n+headerBytes:n+length]) {
			frameErr = errNotForwarded
			break
		}
		n += length
	}
	if n > 0 {
		if err := f.write(data[:n]); err != nil {
			return err
		}
		_, err = f.reader.Discard(n)
	}
	if frameErr != nil {
		return frameErr
	}
	return err
}

// forwardLarge forwards one message that does not fit into the buffer.
func (f *frameForwarder) forwardLarge(length int) error {
	head, err := f.reader.Peek(f.reader.Size())
	if err != nil {
		return err
	}
	if !f.onFrame(head[0], head[headerBytes:]) {
		return errNotForwarded
	}
	f.partial = true
	part := make([]byte, min(length, readChunkBytes))
	for length > 0 {
		n, err := f.reader.Read(part[:min(length, len(part))])
		if err != nil {
			return err
		}
		if err := f.write(part[:n]); err != nil {
			return err
		}
		length -= n
	}
	f.partial = false
	return nil
}

// errorFields contains the fields of an ErrorResponse that affect a session.
type errorFields struct{ severity, code string }

// isFatal reports whether the error ends the connection.
func (e errorFields) isFatal() bool { return slices.Contains([]string{"FATAL", "PANIC"}, e.severity) }

// readErrorFields reads the severity and the code from the body of an ErrorResponse, which may be truncated.
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
