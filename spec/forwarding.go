package spec

import (
	"fmt"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/request"
)

// ForwardingBounds limits the exploration of the model of forwarded sessions.
type ForwardingBounds struct {
	// Alone is the number of requests that are transactions of their own, which the caller makes first.
	Alone int
	// Transaction adds a transaction of two requests.
	Transaction bool
	// Pipelined lets the caller ask for a request before the one before is answered.
	Pipelined bool
	// Links is the number of connections to serving instances that the session may have one after the other.
	Links int
	// Stops is the number of serving instances that may announce their stop. Each one may die, and each connection may
	// be given up while its instance goes on.
	Stops int
}

// ForwardingFaults takes guards out of the sender, to show that the invariants need them.
type ForwardingFaults struct {
	// NoteLate notes a request as written only after its bytes are on their way.
	NoteLate bool
	// ResendOpen sends a request again that was written to a lost connection.
	ResendOpen bool
	// MoveTransaction carries a session with an open transaction on at another serving instance.
	MoveTransaction bool
	// TellNotRun tells the caller that a request which was written has not run.
	TellNotRun bool
}

// requestKind says what a request does to the transaction of its session.
type requestKind int

const (
	alone requestKind = iota
	opens
	ends
)

// verdict is what the caller was told about a request.
type verdict int

const (
	untold verdict = iota
	toldDone
	toldNotRun
	toldUnknown
)

// forwardingAnswer is on its way to the sender.
type forwardingAnswer struct {
	request       int
	inTransaction bool
	goodbye       bool
}

// forwardingLink is a connection to a serving instance with what is on its way in both directions.
type forwardingLink struct {
	requests    []int
	answers     []forwardingAnswer
	transaction []int
	isOpen      bool
	stopped     bool
	dead        bool
}

// forwardingState is a caller, the instance that forwards it, and the serving instances.
type forwardingState struct {
	bounds  ForwardingBounds
	faults  ForwardingFaults
	kinds   []requestKind
	passage request.ForwardedSession
	// next is the number of the request that the caller asks for next. asked is the one that was not written yet, and
	// unnoted the one that was written and not noted, -1 for none.
	next    int
	asked   int
	unnoted int
	// open are the requests that were written and not answered.
	open  []int
	links []forwardingLink
	// current is the connection in use, -1 while the session moves.
	current int
	stops   int
	runs    []int
	told    []verdict
	ended   bool
}

// NewForwarding returns the initial state of the model of forwarded sessions: the session has its first connection.
func NewForwarding(bounds ForwardingBounds, faults ForwardingFaults) State {
	kinds := make([]requestKind, bounds.Alone, bounds.Alone+2)
	if bounds.Transaction {
		kinds = append(kinds, opens, ends)
	}
	return forwardingState{
		bounds: bounds, faults: faults, kinds: kinds, asked: -1, unnoted: -1, links: []forwardingLink{{}},
		runs: make([]int, len(kinds)), told: make([]verdict, len(kinds)),
	}
}

// Key identifies the state.
func (s forwardingState) Key() string {
	return fmt.Sprint(s.passage, s.next, s.asked, s.unnoted, s.open, s.links, s.current, s.stops, s.runs, s.told, s.ended)
}

// Violation describes the broken invariant.
func (s forwardingState) Violation() string {
	for i, runs := range s.runs {
		switch {
		case runs > 1:
			return fmt.Sprintf("request %d ran %d times", i, runs)
		case s.told[i] == toldNotRun && runs > 0:
			return fmt.Sprintf("request %d ran and was reported as not run", i)
		case s.told[i] == toldDone && runs == 0:
			return fmt.Sprintf("request %d has not run and was reported as done", i)
		}
	}
	return ""
}

// Next returns the states after one event.
func (s forwardingState) Next() []Step {
	var steps []Step
	for i, link := range s.links {
		steps = append(steps, s.servingSteps(i, link)...)
	}
	if s.ended {
		return steps
	}
	steps = append(steps, s.asks()...)
	steps = append(steps, s.writes()...)
	if s.current < 0 {
		return append(steps, s.connects()...)
	}
	return append(steps, s.hears()...)
}

func (s forwardingState) clone() forwardingState {
	s.open = slices.Clone(s.open)
	s.runs = slices.Clone(s.runs)
	s.told = slices.Clone(s.told)
	s.links = slices.Clone(s.links)
	for i := range s.links {
		l := &s.links[i]
		l.requests, l.answers = slices.Clone(l.requests), slices.Clone(l.answers)
		l.transaction = slices.Clone(l.transaction)
	}
	return s
}

// asks lets the caller ask for its next request.
func (s forwardingState) asks() []Step {
	if s.next == len(s.kinds) || s.asked >= 0 || s.unnoted >= 0 || len(s.open) > 0 && !s.bounds.Pipelined {
		return nil
	}
	n := s.clone()
	n.asked, n.next = s.next, s.next+1
	n.passage = n.passage.WithEvent(request.Received{})
	return []Step{{fmt.Sprintf("the caller asks for request %d", n.asked), n}}
}

// writes lets the sender write the request that was asked for. A connection that is lost takes it all the same.
func (s forwardingState) writes() []Step {
	n := s.clone()
	switch {
	case s.unnoted >= 0:
		n.passage = n.passage.WithEvent(request.Written{Synchronised: true})
		n.open, n.unnoted = append(n.open, s.unnoted), -1
		return []Step{{fmt.Sprintf("request %d is noted", s.unnoted), n}}
	case s.asked < 0 || s.current < 0:
		return nil
	}
	link := &n.links[s.current]
	link.requests = append(link.requests, s.asked)
	n.asked = -1
	if s.faults.NoteLate {
		n.unnoted = s.asked
	} else {
		n.passage = n.passage.WithEvent(request.Written{Synchronised: true})
		n.open = append(n.open, s.asked)
	}
	return []Step{{fmt.Sprintf("request %d is written to connection %d", s.asked, s.current), n}}
}

// connects opens a connection to another serving instance.
func (s forwardingState) connects() []Step {
	if len(s.links) == s.bounds.Links {
		return nil
	}
	n := s.clone()
	n.current = len(n.links)
	n.links = append(n.links, forwardingLink{})
	return []Step{{fmt.Sprintf("connection %d is opened", n.current), n}}
}

// hears lets the sender take the next answer, or notice or believe that the serving instance is lost.
func (s forwardingState) hears() []Step {
	lost := s.clone()
	lost.lose()
	steps := []Step{{fmt.Sprintf("connection %d is lost", s.current), lost}}
	link := s.links[s.current]
	if len(link.answers) == 0 {
		return steps
	}
	n := s.clone()
	a := link.answers[0]
	n.links[s.current].answers = link.answers[1:]
	if a.goodbye {
		n.hearGoodbye()
		return append(steps, Step{fmt.Sprintf("connection %d is ended by its instance", s.current), n})
	}
	n.hear(a)
	return append(steps, Step{fmt.Sprintf("request %d is answered", a.request), n})
}

func (s *forwardingState) hear(a forwardingAnswer) {
	s.passage = s.passage.WithEvent(request.Answered{InTransaction: a.inTransaction})
	s.open = slices.DeleteFunc(s.open, func(i int) bool { return i == a.request })
	switch s.kinds[a.request] {
	case alone:
		s.told[a.request] = toldDone
	case ends:
		s.told[a.request-1], s.told[a.request] = toldDone, toldDone
	case opens:
	}
}

// hearGoodbye follows the announced end of a connection. Where the session does not go on, the caller gets the
// announcement, which says that what is open has not run.
func (s *forwardingState) hearGoodbye() {
	switch s.passage.AfterLoss().(type) {
	case request.Reconnect, request.Resend:
		s.current = -1
	default:
		s.end(toldNotRun)
	}
}

// lose follows the loss of the connection in use.
func (s *forwardingState) lose() {
	switch s.passage.AfterLoss().(type) {
	case request.Reconnect, request.Resend:
		s.loseHere()
	case request.CloseNotRun:
		if s.faults.MoveTransaction {
			s.loseHere()
			return
		}
		s.end(toldNotRun)
	case request.CloseUnknown:
		s.loseOpen()
	}
}

// loseHere lets the session move. A request that was written and not noted counts as one that waits.
func (s *forwardingState) loseHere() {
	s.current = -1
	if s.unnoted >= 0 {
		s.asked, s.unnoted = s.unnoted, -1
	}
}

func (s *forwardingState) loseOpen() {
	switch {
	case s.faults.ResendOpen && len(s.open) == 1 && s.asked < 0:
		s.asked, s.open = s.open[0], nil
		s.passage = request.NewForwardedSession("").WithEvent(request.Received{})
		s.current = -1
	case s.faults.TellNotRun:
		s.end(toldNotRun)
	default:
		s.end(toldUnknown)
	}
}

// end tells the caller one outcome for everything that it asked for and that has none, and ends its connection.
func (s *forwardingState) end(v verdict) {
	for i := range s.next {
		if s.told[i] == untold {
			s.told[i] = v
		}
	}
	s.ended, s.current = true, -1
}

// servingSteps lets a serving instance run the next request, announce its stop, or die. One whose connection was given
// up goes on with what it has received.
func (s forwardingState) servingSteps(i int, link forwardingLink) []Step {
	if link.dead || link.stopped {
		return nil
	}
	dead := s.clone()
	dead.links[i].dead = true
	dead.links[i].transaction = nil
	steps := []Step{{fmt.Sprintf("instance %d dies", i), dead}}
	if s.stops < s.bounds.Stops && !link.isOpen {
		stopped := s.clone()
		stopped.stops++
		stopped.links[i].stopped = true
		stopped.links[i].answers = append(stopped.links[i].answers, forwardingAnswer{goodbye: true})
		steps = append(steps, Step{fmt.Sprintf("instance %d announces its stop", i), stopped})
	}
	if i != s.current && link.isOpen {
		closed := s.clone()
		closed.links[i].transaction, closed.links[i].isOpen, closed.links[i].stopped = nil, false, true
		steps = append(steps, Step{fmt.Sprintf("instance %d rolls back", i), closed})
	}
	if len(link.requests) > 0 {
		ran := s.clone()
		ran.serve(i)
		steps = append(steps, Step{fmt.Sprintf("instance %d runs request %d", i, link.requests[0]), ran})
	}
	return steps
}

// serve runs the next request at a serving instance and sends the answer.
func (s *forwardingState) serve(i int) {
	link := &s.links[i]
	r := link.requests[0]
	link.requests = link.requests[1:]
	switch s.kinds[r] {
	case alone:
		s.runs[r]++
	case opens:
		link.transaction, link.isOpen = []int{r}, true
	case ends:
		if link.isOpen {
			link.transaction = append(link.transaction, r)
		}
		for _, done := range link.transaction {
			s.runs[done]++
		}
		link.transaction, link.isOpen = nil, false
	}
	link.answers = append(link.answers, forwardingAnswer{request: r, inTransaction: link.isOpen})
}
