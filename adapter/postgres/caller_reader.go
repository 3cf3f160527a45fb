package postgres

import (
	"errors"
	"io"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// run reads the caller's messages until the connection ends.
func (c *caller) run() {
	for {
		u, err := c.readUnit()
		if err != nil {
			c.readFailed(err)
			return
		}
		if c.ahead.Put(c.ctx, struct{}{}) != nil {
			return
		}
		if c.events.Put(c.ctx, unitReceived{unit: u}) != nil {
			return
		}
	}
}

// readFailed ends the duty at once when the caller has gone. When the caller broke the protocol, the duty still
// answers.
func (c *caller) readFailed(err error) {
	var told *port.Error
	if !errors.As(err, &told) {
		c.leave(errors.New("the caller left"))
		return
	}
	_ = c.events.Put(c.ctx, callerLeft{err: err})
}

func (c *caller) readUnit() (unit, error) {
	var u unit
	for {
		f, err := readFrame(c.reader, c.listener.cfg.MaxMessageBytes)
		if err != nil {
			return unit{}, err
		}
		u.size += len(f)
		if u.size > maxUnitMessages*c.listener.cfg.MaxMessageBytes {
			return unit{}, port.Errorf(port.TooLarge, "batch exceeds %d bytes", maxUnitMessages*c.listener.cfg.MaxMessageBytes)
		}
		switch f.kind() {
		case 'P', 'B', 'D', 'E', 'C':
			u.frames = append(u.frames, f)
		case 'Q', 'S', 'H':
			u.frames = append(u.frames, f)
			return u, nil
		case 'd', 'c', 'f':
			// The caller sent COPY data before it learned that COPY was refused.
		case 'X':
			return unit{}, io.EOF
		case 'F':
			return unit{}, port.Errorf(port.Unsupported, "function calls are not supported")
		default:
			return unit{}, port.Errorf(port.Protocol, "message of unknown type %q", f.kind())
		}
	}
}
