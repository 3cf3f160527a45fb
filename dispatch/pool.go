package dispatch

import "time"

// OrganisationPool is the part of a connection pool that belongs to one organisation.
type OrganisationPool struct {
	// Total counts all connections, including those being opened; Idle counts the unused ones.
	Total, Idle int
}

// Pool is what an instance knows about its connections to one server.
//
// It handles a server that accepts fewer connections than there are organisations, or hardly more. Every connection that
// is opened for an organisation then closes another's, and each opening takes one of the server's slots for longer than
// most statements run. Three loads make this worse: many small organisations of which each sends a statement every few
// seconds, a few large ones whose bursts need several connections for a moment, and one organisation with several times
// its usual load.
type Pool struct {
	Now    time.Duration
	Demand Demand
	// Limit is how many connections the instance may hold, and Total how many it holds.
	Limit, Total int
	// Slots is the number of statements that the server runs concurrently; zero means unknown.
	Slots int
	// Waiting is the number of statements that wait for the server.
	Waiting       int
	Organisations map[string]OrganisationPool
}

// ConnectionChoice is how a statement gets a connection when its organisation has no idle one. It is one of
// OpenConnection, AwaitConnection and AwaitPlace.
type ConnectionChoice interface{ connectionChoice() }

// OpenConnection opens a connection. If InsteadOf is not empty, an idle connection of that organisation is closed first.
type OpenConnection struct{ InsteadOf string }

// AwaitConnection waits for a connection that the organisation uses at present, because that takes less of the callers'
// time than to open another one.
type AwaitConnection struct{ Expected time.Duration }

// AwaitPlace waits until a connection may be opened.
type AwaitPlace struct{}

func (OpenConnection) connectionChoice()  {}
func (AwaitConnection) connectionChoice() {}
func (AwaitPlace) connectionChoice()      {}

// ConnectionWait describes a statement that waits for a connection.
type ConnectionWait struct {
	Organisation string
	// Ahead is the number of statements of the organisation before it.
	Ahead int
	// Awaited is for how long it has waited for a connection in use, and Limit for how much longer it may wait.
	Awaited, Limit time.Duration
}

// ChooseConnection decides how the statement gets a connection.
//
// Both ways are compared by the time that they cost callers. Opening delays the statement by connectCost and each
// statement that waits for the server by its share of a slot; closing another organisation's connection costs the same
// again if that connection is needed soon. A statement that has waited for as long as opening costs has met a connection
// that is in use for longer than usual, and waits no longer for it.
func (p Pool) ChooseConnection(w ConnectionWait) ConnectionChoice {
	own := p.Organisations[w.Organisation]
	var choice ConnectionChoice = OpenConnection{}
	cost := p.openingCost()
	if p.Total >= p.Limit {
		victim, found := p.LeastNeeded(w.Organisation)
		if !found {
			return AwaitPlace{}
		}
		choice = OpenConnection{InsteadOf: victim}
		cost += time.Duration(float64(cost) * p.neededSoon(victim))
	}
	inUse := own.Total - own.Idle
	if inUse <= 0 {
		return choice
	}
	expected := p.Demand.Hold(w.Organisation) * time.Duration(w.Ahead+1) / time.Duration(inUse)
	if max(expected, w.Awaited) <= cost || w.Limit < connectCost {
		return AwaitConnection{Expected: expected}
	}
	return choice
}

// openingCost returns the time that opening a connection costs the callers in total.
func (p Pool) openingCost() time.Duration {
	return connectCost + connectCost*time.Duration(p.Waiting)/time.Duration(max(p.Slots, 1))
}

// neededSoon returns the probability that the last connection of an organisation is needed within replacementHorizon.
func (p Pool) neededSoon(organisation string) float64 {
	value := p.Demand.Value(organisation, p.Organisations[organisation].Total, p.Now)
	return min(value*replacementHorizon.Seconds(), 1)
}

// LeastNeeded returns the organisation of which an idle connection is closed: the one whose last connection is needed by
// the fewest statements per second. The given organisation keeps its connections.
func (p Pool) LeastNeeded(except string) (string, bool) {
	victim, least, found := "", 0.0, false
	for name, o := range p.Organisations {
		if name == except || o.Idle == 0 {
			continue
		}
		value := p.Demand.Value(name, o.Total, p.Now)
		if !found || value < least || value == least && (o.Total > p.Organisations[victim].Total || o.Total == p.Organisations[victim].Total && name < victim) {
			victim, least, found = name, value, true
		}
	}
	return victim, found
}

// MostNeeded returns the organisation for which a connection is opened in advance: the one with the most statements per
// second that would need another one. Of the organisations about which nothing is known, the first one without a
// connection follows; names lists them in descending order of the rate that they are allowed.
func (p Pool) MostNeeded(names []string) (string, bool) {
	best, most := "", 0.0
	for _, name := range names {
		total := p.Organisations[name].Total
		value := p.Demand.Value(name, total+1, p.Now)
		if value > most && (total == 0 || value >= minPrewarmValue) {
			best, most = name, value
		}
	}
	if best != "" {
		return best, true
	}
	for _, name := range names {
		if p.Organisations[name].Total == 0 {
			return name, true
		}
	}
	return "", false
}

const (
	// replacementHorizon is the time within which a closed connection must not be needed again for its place to count as
	// free. It is about the time between two statements of a small organisation, which is what an opening has to save.
	replacementHorizon = 2 * time.Second
	// minPrewarmValue is the number of statements per second that must need a connection for it to be opened in advance
	// to an organisation that has one. A rarer use does not repay the slot that the opening takes.
	minPrewarmValue = 0.1
)
