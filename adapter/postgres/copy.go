package postgres

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/port"
)

var errCopyUnsupported = port.Errorf(port.Unsupported, "COPY is not supported")

// rejectCopy starts to reject a COPY, which is not supported. CopyFail ends a COPY to the server. The data of a COPY
// from the server is discarded until the request ends.
func (c *client) rejectCopy(f frame) {
	a := c.active
	a.copyRejected = true
	if f.kind() == 'H' {
		return
	}
	if a.batches[len(a.batches)-1].lastKind() == 'Q' {
		c.server.send(encode(nil, &pgproto3.CopyFail{Message: "COPY is not supported"}), func() {})
		return
	}
	// In the extended protocol the server ignores the Sync that was sent with the batch while it waits for data, or it
	// fails at another message of the batch. The proxy cannot tell which of the two happened, so it closes the
	// connection. A COPY without the end of its data is rolled back.
	err := c.copyOutcome()
	if !a.exchange.HoldsResponse() {
		err = errCopyUnsupported
	}
	c.closeServer()
	c.endWithError(err)
}

// discardCopyFrame discards a message of a rejected COPY.
func (c *client) discardCopyFrame(f frame) {
	if f.kind() == 'S' {
		c.relayAsynchronous(f)
		return
	}
	a := c.active
	a.discardedCopyBytes += len(f)
	if a.discardedCopyBytes > c.listener.cfg.MaxHeldBytes {
		c.closeServer()
		c.endWithError(c.copyOutcome())
	}
}

// copyOutcome returns the error for a rejected COPY. The request had no effect if it was read-only, or if the server
// reported the end of the transaction without a commit.
func (c *client) copyOutcome() error {
	x := c.active.exchange
	if x.HadNoEffect(c.txStatus == 'I' && c.server != nil) {
		return errCopyUnsupported
	}
	return port.Errorf(port.UnknownOutcome, "COPY is not supported and its output was lost")
}
