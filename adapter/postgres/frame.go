package postgres

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	headerBytes = 5
	// readChunkBytes limits how much of a response is relayed at once if more of it has already arrived.
	readChunkBytes = 16 << 10
	// maxServerMessageBytes limits the size of a server's message. Rows are relayed as a whole, so it also limits the
	// size of a row.
	maxServerMessageBytes = 64 << 20
)

// frame is an encoded protocol message: a type byte, the length and the body.
type frame []byte

// kind returns the message's type byte.
func (f frame) kind() byte { return f[0] }

func (f frame) body() []byte { return f[headerBytes:] }

// readFrame reads one message. It fails with kind TooLarge if the body is larger than limit.
func readFrame(r *bufio.Reader, limit int) (frame, error) {
	header, err := r.Peek(headerBytes)
	if err != nil {
		return nil, err
	}
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if length < 4 {
		return nil, port.Errorf(port.Protocol, "message of type %q has invalid length %d", header[0], length)
	}
	if length-4 > limit {
		return nil, port.Errorf(port.TooLarge, "message of %d bytes exceeds the limit of %d bytes", length-4, limit)
	}
	f := make(frame, 1+length)
	if _, err := io.ReadFull(r, f); err != nil {
		return nil, err
	}
	return f, nil
}

// readLimitedFrame is readFrame for a client. It takes memory for the parts of a large message as they arrive.
func readLimitedFrame(r *bufio.Reader, limit int, take func(n int) error) (frame, error) {
	header, err := r.Peek(headerBytes)
	if err != nil {
		return nil, err
	}
	length := 1 + int(int32(binary.BigEndian.Uint32(header[1:])))
	if length > limit+headerBytes {
		return readFrame(r, limit)
	}
	if err := take(frameOverhead + min(max(length, 0), frameStep)); err != nil {
		return nil, err
	}
	if length <= frameStep {
		return readFrame(r, limit)
	}
	f := make(frame, 0, frameStep)
	for len(f) < length {
		start := len(f)
		n := min(frameStep, length-start)
		if start > 0 {
			if err := take(n); err != nil {
				return nil, err
			}
		}
		f = slices.Grow(f, n)[:start+n]
		if _, err := io.ReadFull(r, f[start:]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// readChunk reads at least one message, and further messages up to readChunkBytes that have already arrived completely.
func readChunk(r *bufio.Reader) ([]frame, error) {
	first, err := readFrame(r, maxServerMessageBytes)
	if err != nil {
		return nil, err
	}
	frames := []frame{first}
	for size := len(first); size < readChunkBytes && hasFrame(r); {
		f, err := readFrame(r, maxServerMessageBytes)
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
		size += len(f)
	}
	return frames, nil
}

func hasFrame(r *bufio.Reader) bool {
	if r.Buffered() < headerBytes {
		return false
	}
	header, _ := r.Peek(headerBytes)
	return r.Buffered() > int(binary.BigEndian.Uint32(header[1:]))
}

// encode appends a message to b. The messages that this package creates can always be encoded.
func encode(b []byte, m pgproto3.Message) []byte {
	encoded, err := m.Encode(b)
	if err != nil {
		return b
	}
	return encoded
}

// cString returns the text before the first zero byte of b, and the bytes after it.
func cString(b []byte) (string, []byte) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:]
		}
	}
	return string(b), nil
}
