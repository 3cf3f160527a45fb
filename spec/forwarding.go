package spec

import (
	"fmt"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/request"
)

// ForwardingBounds limits the exploration of the model of forwarded sessions.
type ForwardingBounds struct {
	// Autocommit is the number of requests that are transactions of their own. The client sends them first.
	Autocommit int
	// Transaction adds a transaction of two requests.
	Transaction bool
	// Pipelined lets the client send a request before it has the response to the previous one.
	Pipelined bool
	// Connections is the number of connections to serving instances that the session may use in turn.
	Connections int
	// Shutdowns is the number of serving instances that may announce a shutdown. Crashes, and connections that are lost
	// while their instance keeps running, have no bound: they may occur for every instance and every connection.
	Shutdowns int
}

// ForwardingFaults disables guards of the forwarding instance, to show that the invariants depend on them.
type ForwardingFaults struct {
	// RecordLate records a request as written only after it was sent.
	RecordLate bool
	// ResendPending sends a request again that was already written to a lost connection.
	ResendPending bool
	// MoveTransaction continues a session with an open transaction on another serving instance.
	MoveTransaction bool
	// ReportNotRun reports a request that was written as not run.
	ReportNotRun bool
}

// requestKind is what a request does to the transaction of its session.
type requestKind int

const (
	autocommitRequest requestKind = iota
	beginRequest
	commitRequest
)

// reportedOutcome is the outcome of a request that was reported to the client.
type reportedOutcome int

const (
	unreported reportedOutcome = iota
	reportedDone
	reportedNotRun
	reportedUnknown
)

// forwardingResponse is a response in flight to the forwarding instance, or the announcement of a shutdown.
type forwardingResponse struct {
	request       int
	inTransaction bool
	isShutdown    bool
}

// forwardingConn is a connection to a serving instance, with the messages in flight in both directions.
type forwardingConn struct {
	requests      []int
	responses     []forwardingResponse
	transaction   []int
	inTransaction bool
	isClosed      bool
	hasCrashed    bool
}

// forwardingState is a client, its forwarding instance, and the serving instances.
type forwardingState struct {
	bounds  ForwardingBounds
	faults  ForwardingFaults
	kinds   []requestKind
	session request.ForwardedSession
	// next is the number of the client's next request. unsent is the request that was received and not yet written, and
	// unrecorded the one that was written and not yet recorded; -1 stands for none.
	next       int
	unsent     int
	unrecorded int
	// pending are the requests that were written and have no response yet.
	pending []int
	conns   []forwardingConn
	// current is the connection in use, -1 while the session has none.
	current   int
	shutdowns int
	runs      []int
	reported  []reportedOutcome
	isClosed  bool
}

// NewForwarding returns the initial state of the model of forwarded sessions. The session has its first connection.
func NewForwarding(bounds ForwardingBounds, faults ForwardingFaults) State {
	kinds := make([]requestKind, bounds.Autocommit, bounds.Autocommit+2)
	if bounds.Transaction {
		kinds = append(kinds, beginRequest, commitRequest)
	}
	return forwardingState{
		bounds: bounds, faults: faults, kinds: kinds, unsent: -1, unrecorded: -1, conns: []forwardingConn{{}},
		runs: make([]int, len(kinds)), reported: make([]reportedOutcome, len(kinds)),
	}
}

func (s forwardingState) Key() string {
	return fmt.Sprint(s.session, s.next, s.unsent, s.unrecorded, s.pending, s.conns, s.current, s.shutdowns, s.runs, s.reported, s.isClosed)
}

func (s forwardingState) Violation() string {
	for i, runs := range s.runs {
		switch {
		case runs > 1:
			return fmt.Sprintf("request %d ran %d times", i, runs)
		case s.reported[i] == reportedNotRun && runs > 0:
			return fmt.Sprintf("request %d ran and was reported as not run", i)
		case s.reported[i] == reportedDone && runs == 0:
			return fmt.Sprintf("request %d has not run and was reported as done", i)
		}
	}
	return ""
}

func (s forwardingState) Next() []Step {
	var steps []Step
	for i, conn := range s.conns {
		steps = append(steps, s.instanceSteps(i, conn)...)
	}
	if s.isClosed {
		return steps
	}
	steps = append(steps, s.requestSteps()...)
	steps = append(steps, s.writeSteps()...)
	if s.current < 0 {
		return append(steps, s.connectSteps()...)
	}
	return append(steps, s.receiveSteps()...)
}

func (s forwardingState) clone() forwardingState {
	s.pending = slices.Clone(s.pending)
	s.runs = slices.Clone(s.runs)
	s.reported = slices.Clone(s.reported)
	s.conns = slices.Clone(s.conns)
	for i := range s.conns {
		conn := &s.conns[i]
		conn.requests, conn.responses = slices.Clone(conn.requests), slices.Clone(conn.responses)
		conn.transaction = slices.Clone(conn.transaction)
	}
	return s
}

// requestSteps lets the client send its next request.
func (s forwardingState) requestSteps() []Step {
	if s.next == len(s.kinds) || s.unsent >= 0 || s.unrecorded >= 0 || len(s.pending) > 0 && !s.bounds.Pipelined {
		return nil
	}
	n := s.clone()
	n.unsent, n.next = s.next, s.next+1
	n.session = n.session.WithEvent(request.Received{})
	return []Step{{fmt.Sprintf("the client sends request %d", n.unsent), n}}
}

// writeSteps lets the forwarding instance write the received request. Writing to a lost connection succeeds too.
func (s forwardingState) writeSteps() []Step {
	n := s.clone()
	switch {
	case s.unrecorded >= 0:
		n.session = n.session.WithEvent(request.Written{Synchronised: true})
		n.pending, n.unrecorded = append(n.pending, s.unrecorded), -1
		return []Step{{fmt.Sprintf("request %d is recorded as written", s.unrecorded), n}}
	case s.unsent < 0 || s.current < 0:
		return nil
	}
	conn := &n.conns[s.current]
	conn.requests = append(conn.requests, s.unsent)
	n.unsent = -1
	if s.faults.RecordLate {
		n.unrecorded = s.unsent
	} else {
		n.session = n.session.WithEvent(request.Written{Synchronised: true})
		n.pending = append(n.pending, s.unsent)
	}
	return []Step{{fmt.Sprintf("request %d is written to connection %d", s.unsent, s.current), n}}
}

// connectSteps opens a connection to another serving instance.
func (s forwardingState) connectSteps() []Step {
	if len(s.conns) == s.bounds.Connections {
		return nil
	}
	n := s.clone()
	n.current = len(n.conns)
	n.conns = append(n.conns, forwardingConn{})
	return []Step{{fmt.Sprintf("connection %d is opened", n.current), n}}
}

// receiveSteps lets the forwarding instance receive the next response, or regard the connection as lost, whether or not
// it is.
func (s forwardingState) receiveSteps() []Step {
	lost := s.clone()
	lost.loseConnection()
	steps := []Step{{fmt.Sprintf("connection %d is lost", s.current), lost}}
	conn := s.conns[s.current]
	if len(conn.responses) == 0 {
		return steps
	}
	n := s.clone()
	response := conn.responses[0]
	n.conns[s.current].responses = conn.responses[1:]
	if response.isShutdown {
		n.receiveShutdown()
		return append(steps, Step{fmt.Sprintf("connection %d is closed by its instance", s.current), n})
	}
	n.receive(response)
	return append(steps, Step{fmt.Sprintf("the response to request %d is received", response.request), n})
}

func (s *forwardingState) receive(response forwardingResponse) {
	s.session = s.session.WithEvent(request.Answered{InTransaction: response.inTransaction})
	s.pending = slices.DeleteFunc(s.pending, func(i int) bool { return i == response.request })
	switch s.kinds[response.request] {
	case autocommitRequest:
		s.reported[response.request] = reportedDone
	case commitRequest:
		s.reported[response.request-1], s.reported[response.request] = reportedDone, reportedDone
	case beginRequest:
	}
}

// receiveShutdown handles the announced end of a connection. If the session can't continue, the client receives the
// announcement, which reports the pending requests as not run.
func (s *forwardingState) receiveShutdown() {
	switch s.session.AfterLoss().(type) {
	case request.Reconnect, request.Resend:
		s.current = -1
	default:
		s.closeSession(reportedNotRun)
	}
}

// loseConnection handles the loss of the connection in use.
func (s *forwardingState) loseConnection() {
	switch s.session.AfterLoss().(type) {
	case request.Reconnect, request.Resend:
		s.reconnect()
	case request.CloseNotRun:
		if s.faults.MoveTransaction {
			s.reconnect()
			return
		}
		s.closeSession(reportedNotRun)
	case request.CloseUnknown:
		s.losePending()
	}
}

// reconnect lets the session use another connection. A request that was written and not recorded is sent again.
func (s *forwardingState) reconnect() {
	s.current = -1
	if s.unrecorded >= 0 {
		s.unsent, s.unrecorded = s.unrecorded, -1
	}
}

func (s *forwardingState) losePending() {
	switch {
	case s.faults.ResendPending && len(s.pending) == 1 && s.unsent < 0:
		s.unsent, s.pending = s.pending[0], nil
		s.session = request.NewForwardedSession("").WithEvent(request.Received{})
		s.current = -1
	case s.faults.ReportNotRun:
		s.closeSession(reportedNotRun)
	default:
		s.closeSession(reportedUnknown)
	}
}

// closeSession reports the outcome for all requests that have none and closes the client's connection.
func (s *forwardingState) closeSession(outcome reportedOutcome) {
	for i := range s.next {
		if s.reported[i] == unreported {
			s.reported[i] = outcome
		}
	}
	s.isClosed, s.current = true, -1
}

// instanceSteps lets a serving instance run the next request, announce its shutdown, or crash. After its connection was
// lost it still runs the requests that it has received.
func (s forwardingState) instanceSteps(i int, conn forwardingConn) []Step {
	if conn.hasCrashed || conn.isClosed {
		return nil
	}
	crashed := s.clone()
	crashed.conns[i].hasCrashed = true
	crashed.conns[i].transaction = nil
	steps := []Step{{fmt.Sprintf("instance %d crashes", i), crashed}}
	if s.shutdowns < s.bounds.Shutdowns && !conn.inTransaction {
		stopped := s.clone()
		stopped.shutdowns++
		stopped.conns[i].isClosed = true
		stopped.conns[i].responses = append(stopped.conns[i].responses, forwardingResponse{isShutdown: true})
		steps = append(steps, Step{fmt.Sprintf("instance %d announces its shutdown", i), stopped})
	}
	if i != s.current && conn.inTransaction {
		rolledBack := s.clone()
		rolledBack.conns[i].transaction, rolledBack.conns[i].inTransaction, rolledBack.conns[i].isClosed = nil, false, true
		steps = append(steps, Step{fmt.Sprintf("instance %d rolls back", i), rolledBack})
	}
	if len(conn.requests) > 0 {
		ran := s.clone()
		ran.runRequest(i)
		steps = append(steps, Step{fmt.Sprintf("instance %d runs request %d", i, conn.requests[0]), ran})
	}
	return steps
}

// runRequest runs the next request on a serving instance and sends the response.
func (s *forwardingState) runRequest(i int) {
	conn := &s.conns[i]
	r := conn.requests[0]
	conn.requests = conn.requests[1:]
	switch s.kinds[r] {
	case autocommitRequest:
		s.runs[r]++
	case beginRequest:
		conn.transaction, conn.inTransaction = []int{r}, true
	case commitRequest:
		if conn.inTransaction {
			conn.transaction = append(conn.transaction, r)
		}
		for _, completed := range conn.transaction {
			s.runs[completed]++
		}
		conn.transaction, conn.inTransaction = nil, false
	}
	conn.responses = append(conn.responses, forwardingResponse{request: r, inTransaction: conn.inTransaction})
}
