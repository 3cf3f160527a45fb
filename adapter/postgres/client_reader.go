package postgres

import (
	"errors"
	"io"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// run reads the client's messages until the connection ends.
func (c *client) run() {
	for {
		b, err := c.readBatch()
		if err != nil {
			c.handleReadError(err)
			return
		}
		if c.readAhead.Put(c.ctx, struct{}{}) != nil {
			return
		}
		if c.events.Put(c.ctx, batchReceived{batch: b}) != nil {
			return
		}
	}
}

// handleReadError ends loop at once if the client has left. If the client violated the protocol, loop still sends it an
// error.
func (c *client) handleReadError(err error) {
	var protocolErr *port.Error
	if !errors.As(err, &protocolErr) {
		c.cancel(errors.New("the client closed the connection"))
		return
	}
	_ = c.events.Put(c.ctx, clientFailed{err: err})
}

func (c *client) readBatch() (batch, error) {
	var b batch
	stop := func() {}
	defer func() { stop() }()
	for isLimited := false; ; {
		if !isLimited && !hasFrame(c.reader) {
			// The limit starts with the first byte, because an idle client is not limited.
			if _, err := c.reader.Peek(1); err != nil {
				return batch{}, err
			}
			stop, isLimited = c.limitBatch(), true
		}
		f, err := readLimitedFrame(c.reader, c.listener.cfg.MaxMessageBytes, func(n int) error { return c.takeMemory(&b, n) })
		if err != nil {
			return batch{}, err
		}
		b.size += len(f)
		if b.size > maxBatchFactor*c.listener.cfg.MaxMessageBytes {
			return batch{}, port.Errorf(port.TooLarge, "batch exceeds %d bytes", maxBatchFactor*c.listener.cfg.MaxMessageBytes)
		}
		switch f.kind() {
		case 'P', 'B', 'D', 'E', 'C':
			b.frames = append(b.frames, f)
		case 'Q', 'S', 'H':
			b.frames = append(b.frames, f)
			return b, nil
		case 'd', 'c', 'f':
			// The client sent COPY data before it learned that the COPY was rejected.
		case 'X':
			return batch{}, io.EOF
		case 'F':
			return batch{}, port.Errorf(port.Unsupported, "function calls are not supported")
		default:
			return batch{}, port.Errorf(port.Protocol, "message of unknown type %q", f.kind())
		}
	}
}
