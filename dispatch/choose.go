package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

const (
	// openCost is what a new connection costs a statement: the server's handshake, which also takes one of its slots.
	openCost = 15 * time.Millisecond
	// distanceCost is what another data centre costs a statement: the way there and back and the priced bytes.
	distanceCost = 4 * time.Millisecond
	// primaryCost keeps reads that a replica can serve off the primary, whose slots the writes need.
	primaryCost = 10 * time.Millisecond
)

// Need is what a transaction needs of a server. It is one of NeedPrimary, NeedReader and NeedServer.
type Need interface{ need() }

// NeedPrimary is for writes, and for reads that have to see every write.
type NeedPrimary struct{}

// NeedReader is for reads that accept data of an age.
type NeedReader struct {
	// Own is the newest position that the session has to see.
	Own group.Position
	// AcceptedAge is the age of data of other sessions that the read accepts.
	AcceptedAge time.Duration
}

// NeedServer is for statements of other instances, which have chosen the server.
type NeedServer struct{ Name string }

func (NeedPrimary) need() {}
func (NeedReader) need()  {}
func (NeedServer) need()  {}

// Candidate is a server with the connections that this instance has to it.
type Candidate struct {
	Server Server
	// HasIdle is true when a connection for the organisation is unused.
	HasIdle bool
	// MayOpen is true when another connection may be opened, if need be in the place of an unused one.
	MayOpen bool
}

// RoutingContext is what a choice depends on besides the servers.
type RoutingContext struct {
	Now        time.Duration
	DataCentre string
	// Primary is the server that may be treated as primary; empty when there is none.
	Primary string
	// Replacing is true while the primary is being replaced.
	Replacing bool
	// Floor returns the position that a read accepting the age has to see. It reports false when none is known.
	Floor func(age time.Duration) (group.Position, bool)
	// Excluded servers have refused this statement already.
	Excluded []string
}

// Choice is where a statement goes. It is one of ToServer, NoConnection, NoServer and BeingReplaced.
type Choice interface{ choice() }

// ToServer sends the statement to the server. A read at a replica asks for After; it is zero at the primary.
type ToServer struct {
	Server      string
	MinPosition group.Position
}

// NoConnection says that a server fits and that the statement has to wait for a connection.
type NoConnection struct{}

// NoServer says that no server fits at present.
type NoServer struct{}

// BeingReplaced says that the primary that the statement needs is being replaced, which takes longer than it may wait.
type BeingReplaced struct{}

func (ToServer) choice()      {}
func (NoConnection) choice()  {}
func (NoServer) choice()      {}
func (BeingReplaced) choice() {}

// Choose decides where a statement goes.
func Choose(need Need, candidates []Candidate, in RoutingContext) Choice {
	if _, needsPrimary := need.(NeedPrimary); needsPrimary && in.Replacing {
		return BeingReplaced{}
	}
	var choice Choice = NoServer{}
	best := time.Duration(-1)
	for _, c := range candidates {
		after, fits := fit(need, c.Server, in)
		if !fits {
			continue
		}
		if !c.HasIdle && !c.MayOpen {
			if best < 0 {
				choice = NoConnection{}
			}
			continue
		}
		if cost := costOf(need, c, in); best < 0 || cost < best {
			best, choice = cost, ToServer{Server: c.Server.Listing.Name, MinPosition: after}
		}
	}
	return choice
}

// fit reports whether the server may run the statement, and at which position a read has to be asked for.
func fit(need Need, s Server, in RoutingContext) (group.Position, bool) {
	name := s.Listing.Name
	if s.Listing.Departing || !s.IsUp(in.Now) || slices.Contains(in.Excluded, name) {
		return group.Position{}, false
	}
	if need, isChosen := need.(NeedServer); isChosen {
		return group.Position{}, name == need.Name
	}
	if s.IsRefusing(in.Now) {
		return group.Position{}, false
	}
	switch need := need.(type) {
	case NeedPrimary:
		return group.Position{}, name == in.Primary
	case NeedReader:
		if name == in.Primary {
			return group.Position{}, true
		}
		floor, known := in.Floor(need.AcceptedAge)
		if !known {
			return group.Position{}, false
		}
		if need.Own.Compare(floor) > 0 {
			floor = need.Own
		}
		return floor, s.holds(floor, in.Now)
	default:
		return group.Position{}, false
	}
}

// costOf estimates the time until the answer, with the prices of what it takes put as time.
func costOf(need Need, c Candidate, in RoutingContext) time.Duration {
	s := c.Server
	cost := s.latency * time.Duration(s.Outstanding+1)
	if !c.HasIdle {
		cost += openCost
	}
	if s.Listing.DataCentre != in.DataCentre {
		cost += distanceCost
	}
	if _, reads := need.(NeedReader); reads && s.Listing.Name == in.Primary {
		cost += primaryCost
	}
	return cost
}
