package proxy

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// LastResponseAt returns the time of the server's last response. It returns false if there was none or the server was
// removed.
func (d *Dispatcher) LastResponseAt(server string) (time.Duration, bool) {
	at, found := d.lastResponses.Load(server)
	if !found {
		return 0, false
	}
	return at.(time.Duration), true
}

// Return releases a connection. An unusable connection is closed.
func (d *Dispatcher) Return(c *Connection, usable bool) {
	c.lost = c.isLost()
	usable = usable && c.isUsable()
	if !usable {
		c.close()
	}
	d.send(returnCommand{connection: c, usable: usable})
}

// ReportStarted reports that another statement runs on an acquired connection.
func (d *Dispatcher) ReportStarted(c *Connection) { d.send(statementStarted{connection: c}) }

// ReportAnswer reports a server's answer on an acquired connection.
func (d *Dispatcher) ReportAnswer(c *Connection, a Observation) {
	d.send(answerReceived{connection: c, observation: a})
}

// ReportLagging reports that the server had not yet replicated the position required by choice.
func (d *Dispatcher) ReportLagging(server string, choice dispatch.ToServer) {
	d.send(statementRefused{server: server, refusal: laggingRefusal{choice}})
}

// ReportBusy reports that the server refused a statement because it was overloaded.
func (d *Dispatcher) ReportBusy(server string) {
	d.send(statementRefused{server: server, refusal: busyRefusal{}})
}

// ReportUnreachable reports that the connection was lost or that its server did not answer. readTime is the time since a
// read was sent; zero if it was no read.
func (d *Dispatcher) ReportUnreachable(c *Connection, readTime time.Duration) {
	if _, isBorrowed := c.owner(); !isBorrowed {
		d.Suspect(c.Endpoint.Server)
	}
	d.send(connectionFailed{connection: c, readTime: readTime})
}

// ReportNotLent reports that the owner of a pool refused to lend the connection or could not be reached.
func (d *Dispatcher) ReportNotLent(c *Connection, u *NotSentError) {
	d.send(connectionFailed{connection: c, notSent: u})
}

// SuspectOwner starts a probe of the owner of a borrowed connection, to find out whether the owner is alive and the
// server responds to it.
func (d *Dispatcher) SuspectOwner(c *Connection) {
	if m, isBorrowed := c.owner(); isBorrowed {
		d.send(ownerSuspected{owner: m, server: c.Endpoint.Server})
	}
}

// Suspect reports that the server may have failed.
func (d *Dispatcher) Suspect(server string) { d.suspects.PutDroppingOldest(suspicion{server: server}) }

// suspectForPeer reports that another instance suspects the server, and that the promoters before this one do not respond.
func (d *Dispatcher) suspectForPeer(server string) {
	d.suspects.PutDroppingOldest(suspicion{server: server, isDelegated: true})
}

// suspicion is a server that may have failed. isDelegated is true if another instance found this one to be the first
// promoter that responds.
type suspicion struct {
	server      string
	isDelegated bool
}

// Outstanding returns the number of connections to the server that are in use or being opened.
func (d *Dispatcher) Outstanding(server string) int {
	c := outstandingQuery{server: server, reply: ring.New[int](1)}
	d.send(c)
	n, err := c.reply.Take(d.stopped)
	if err != nil {
		return 0
	}
	return n
}

// SetListings replaces the list of servers.
func (d *Dispatcher) SetListings(listings map[string]dispatch.Listing) {
	d.send(listingsChanged{listings})
}
