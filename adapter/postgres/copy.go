package postgres

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/port"
)

var errCopy = port.Errorf(port.Unsupported, "COPY is not supported")

// refuseCopy begins to refuse a COPY, which is not carried. Data for the server is answered with CopyFail; data from the
// server is passed over until the request ends.
func (c *caller) refuseCopy(f frame) {
	a := c.active
	a.copying = true
	if f.kind() == 'H' {
		return
	}
	if a.units[len(a.units)-1].end() == 'Q' {
		c.backend.send(encode(nil, &pgproto3.CopyFail{Message: "COPY is not supported"}), func() {})
		return
	}
	// In the extended protocol the server passes over the Sync that was sent with the batch while it waits for data, or
	// fails at another message of the batch. Which of the two happened cannot be told, so the connection is given up. A
	// COPY without the end of its data is rolled back.
	err := c.copyError()
	if !a.exchange.HoldsResponse() {
		err = errCopy
	}
	c.drop()
	c.endBroken(err)
}

// passOver drops a message of a refused COPY.
func (c *caller) passOver(f frame) {
	if f.kind() == 'S' {
		c.relayAsynchronous(f)
		return
	}
	a := c.active
	a.copied += len(f)
	if a.copied > c.listener.cfg.HoldLimit {
		c.drop()
		c.endBroken(c.copyError())
	}
}

// copyError returns the answer to a refused COPY. The request left no effect when it was read-only or when the server
// reported the end of the transaction without a commit.
func (c *caller) copyError() error {
	x := c.active.exchange
	if x.HadNoEffect(c.status == 'I' && c.backend != nil) {
		return errCopy
	}
	return port.Errorf(port.UnknownOutcome, "COPY is not supported and its output was lost")
}
