package dispatch

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

const (
	// connectCost is the cost of opening a connection: the server's handshake, which also occupies one of its slots.
	connectCost = 15 * time.Millisecond
	// distanceCost is the cost of another data centre: the round trip and the charge for traffic between data centres.
	distanceCost = 4 * time.Millisecond
	// primaryCost keeps reads that a replica can serve away from the primary, whose slots are needed for writes.
	primaryCost = 10 * time.Millisecond
)

// Need states which servers can run a transaction. It is one of NeedPrimary, NeedReader and NeedServer.
type Need interface{ need() }

// NeedPrimary is for writes, and for reads that must see every confirmed write.
type NeedPrimary struct{}

// NeedReader is for reads that accept stale data up to an age.
type NeedReader struct {
	// Own is the position up to which the session must see the log, so that it reads its own writes.
	Own group.Position
	// AcceptedAge is the accepted staleness of other sessions' writes.
	AcceptedAge time.Duration
}

// NeedServer is for statements of other instances, which have already chosen the server.
type NeedServer struct{ Name string }

func (NeedPrimary) need() {}
func (NeedReader) need()  {}
func (NeedServer) need()  {}

// Candidate is a server with the state of this instance's connections to it.
type Candidate struct {
	Server Server
	// HasIdle is true when an idle connection for the organisation exists.
	HasIdle bool
	// MayOpen is true when another connection may be opened, if necessary in place of an idle one.
	MayOpen bool
	// Opening is true when a connection for the statement is being opened.
	Opening bool
	// WarmUp states whether the server is limited because it may be cold.
	WarmUp WarmUp
	// Ejected is true when the server is avoided for this statement because it is an outlier.
	Ejected bool
}

// RoutingContext holds the input of a choice other than the need and the servers.
type RoutingContext struct {
	Now        time.Duration
	DataCentre string
	// Primary is the server that may be treated as primary; it is empty when there is none.
	Primary string
	// Replacing is true while the primary is being replaced.
	Replacing bool
	// Floor returns the position that a read must see if it accepts data of the age. It reports false when none is
	// known.
	Floor func(age time.Duration) (group.Position, bool)
	// Excluded lists the servers that have refused this statement already.
	Excluded []string
	// Maintenance contains the data centres whose servers run no statements.
	Maintenance Maintenance
	// Homes restricts the statement to the servers in some of the Regions.
	Homes   Homes
	Regions Regions
}

// Choice is the result of Choose. It is one of ToServer, NoConnection, NoServer, BeingReplaced and InMaintenance.
type Choice interface{ choice() }

// ToServer sends the statement to the server. A replica must have applied MinPosition before it serves the read;
// MinPosition is zero at the primary.
type ToServer struct {
	Server      string
	MinPosition group.Position
}

// NoConnection means that a suitable server exists, but the statement has to wait for a connection to it.
type NoConnection struct{}

// NoServer means that no server is suitable at present.
type NoServer struct{}

// BeingReplaced means that the statement needs the primary and that it is being replaced, which takes longer than the
// statement may wait.
type BeingReplaced struct{}

// InMaintenance means that all servers that could run the statement are in data centres in maintenance, which lasts
// longer than the statement may wait.
type InMaintenance struct{}

func (ToServer) choice()      {}
func (NoConnection) choice()  {}
func (NoServer) choice()      {}
func (BeingReplaced) choice() {}
func (InMaintenance) choice() {}

// Choose selects the suitable server of least cost for a statement.
func Choose(need Need, candidates []Candidate, in RoutingContext) Choice {
	if _, needsPrimary := need.(NeedPrimary); needsPrimary && in.Replacing {
		return BeingReplaced{}
	}
	candidates, isPossible := withinHomes(need, candidates, in)
	if !isPossible {
		return OutsideHomes{}
	}
	if isInMaintenance(need, candidates, in) {
		return InMaintenance{}
	}
	var choice Choice = NoServer{}
	var best preference
	found, opensOther := false, false
	for _, c := range candidates {
		minPosition, fits := checkServer(need, c.Server, in)
		if !fits {
			continue
		}
		if !c.HasIdle && !c.MayOpen {
			opensOther = opensOther || c.Opening && !c.preference(0).isUnwanted()
			if !found {
				choice = NoConnection{}
			}
			continue
		}
		if p := c.preference(costOf(need, c, in)); !found || p.isBefore(best) {
			best, found, choice = p, true, ToServer{Server: c.Server.Listing.Name, MinPosition: minPosition}
		}
	}
	if opensOther && found && best.isUnwanted() {
		return NoConnection{}
	}
	return choice
}

// checkServer reports whether the server can run the statement, and the position that a read at a replica needs.
func checkServer(need Need, s Server, in RoutingContext) (group.Position, bool) {
	name := s.Listing.Name
	if s.Listing.Draining || in.Maintenance.Has(s.Listing.DataCentre) || !s.IsUp(in.Now) || slices.Contains(in.Excluded, name) {
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
		return floor, s.mayHold(floor, in.Now)
	default:
		return group.Position{}, false
	}
}

// costOf estimates the cost of running the statement at the server: the time until the answer, plus resources expressed
// as time.
func costOf(need Need, c Candidate, in RoutingContext) time.Duration {
	s := c.Server
	cost := s.latency * time.Duration(s.Outstanding+1)
	if !c.HasIdle {
		cost += connectCost
	}
	if s.Listing.DataCentre != in.DataCentre {
		cost += distanceCost
	}
	if _, reads := need.(NeedReader); reads && s.Listing.Name == in.Primary {
		cost += primaryCost
	}
	return cost
}
