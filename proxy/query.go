package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	// maxTries bounds how often one statement is offered to servers.
	maxTries = 6
	// serverWaitShare and connectionWaitShare are the parts of the target latency, as divisors, that a statement waits while no server
	// fits and while no connection is free. Whoever is refused early can still come back in time.
	serverWaitShare     = 4
	connectionWaitShare = 2
	// commitRetry is the pause before a commit that a busy server refused is sent again on its connection.
	commitRetry = 15 * time.Millisecond
)

// work is one statement of a caller on its way to a server.
type work struct {
	req      statement.Request
	route    document.Route
	shape    *statement.Shape
	writes   bool
	excluded []string
	// placedBy is when the statement is refused if it is not at a server by then; zero until it is first placed.
	placedBy time.Duration
}

// query answers a read, a write or an execution.
func (s *Session) query(ctx context.Context, req statement.Request) statement.Result {
	w := &work{req: req}
	switch st := req.Statement.(type) {
	case statement.Write:
		w.writes = true
	case statement.Execute:
		shape, found := s.context.Shape(st.Name)
		if !found {
			return s.refuseInside(statement.Failure{Kind: port.UnknownStatement, Text: "no statement is prepared under this name"})
		}
		w.shape, w.writes = &shape, shape.Writes
	}
	if s.tx != nil {
		return s.queryInside(ctx, w)
	}
	route, failure := s.enter(ctx)
	if !failure.IsZero() {
		return statement.Result{Failure: failure}
	}
	ctx, cancel := s.limit(ctx, w, route)
	defer cancel()
	return s.runAlone(ctx, w)
}

// limit returns a context that ends when the statement's time on the route is over.
func (s *Session) limit(ctx context.Context, w *work, route document.Route) (context.Context, context.CancelFunc) {
	timeout := route.Timeout()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	w.route = route
	return port.WithTimeout(ctx, s.manager.cfg.Timer, timeout)
}

// runAlone runs a statement outside a transaction, at another server when one refused it.
func (s *Session) runAlone(ctx context.Context, w *work) statement.Result {
	var last statement.Result
	for try := 0; try < maxTries; try++ {
		l, err := s.acquire(ctx, w, s.need(w.route, w.writes, false))
		if err != nil {
			if last.Failure.IsZero() || port.KindOf(err) == port.Stopping {
				return statement.Result{Failure: failureOf(err)}
			}
			return last
		}
		answer, result := s.forward(ctx, l, w)
		s.manager.cfg.Dispatcher.Return(l.connection, result.leavesConnection())
		switch result {
		case ran:
			return answer.WithState(statement.Idle)
		case lost:
			if w.writes {
				return statement.FailureResult(port.UnknownOutcome, "the server's answer to the write was lost", statement.Idle)
			}
			w.placedBy = 0
		case lostUnsent:
			if answer.Failure.Kind == port.Busy {
				w.excluded = append(w.excluded, l.connection.Endpoint.Server)
			}
		}
		last = answer.WithState(statement.Idle)
		if ctx.Err() != nil {
			break
		}
	}
	return last
}

// outcome is what is known of a statement after it was offered to a server.
type outcome int

const (
	// ran means that the answer is the server's last word.
	ran outcome = iota
	// notRun means that the server refused the statement and another one may run it.
	notRun
	// lost means that the connection is of no further use and that the statement may have run.
	lost
	// lostUnsent means that the connection is of no further use and that no server ran the statement.
	lostUnsent
)

// leavesConnection reports whether the connection can be used again.
func (o outcome) leavesConnection() bool { return o != lost && o != lostUnsent }

// forward runs a statement on the loan's connection.
func (s *Session) forward(ctx context.Context, l *loan, w *work) (statement.Result, outcome) {
	answers, err := s.manager.run(ctx, l, s.context, s.step(l, w))
	if err != nil {
		return lostAnswer(ctx, err)
	}
	return s.judge(ctx, l, w, answers[0])
}

// step returns the order for the statement.
func (s *Session) step(l *loan, w *work) statement.Step {
	order := statement.Forward{Request: w.req}
	if s.tx == nil && !w.writes {
		order.After = l.choice.MinPosition
	}
	return statement.Step{Command: order, Shape: w.shape}
}

// lostAnswer returns what is told of a statement whose connection failed.
func lostAnswer(ctx context.Context, err error) (statement.Result, outcome) {
	var unsent *NotSentError
	if errors.As(err, &unsent) {
		kind := port.KindOf(err)
		if kind != port.Busy {
			kind = port.NotKept
		}
		return statement.FailureResult(kind, err.Error(), statement.Failed), lostUnsent
	}
	return statement.FailureResult(lossKind(ctx), "the server did not answer", statement.Failed), lost
}

// lossKind tells a statement that ran out of time from one whose connection was lost.
func lossKind(ctx context.Context) port.Kind {
	if ctx.Err() != nil {
		return port.Timeout
	}
	return port.NotKept
}

// judge decides what the server's answer means.
func (s *Session) judge(ctx context.Context, l *loan, w *work, a statement.Result) (statement.Result, outcome) {
	server := l.connection.Endpoint.Server
	switch a.Failure.Kind {
	case "":
		return s.confirm(ctx, l, w, a)
	case port.Busy:
		s.manager.cfg.Dispatcher.Refused(server)
		w.excluded = append(w.excluded, server)
		return a, notRun
	case port.Lagging:
		s.manager.cfg.Dispatcher.Lacked(server, l.choice)
		w.excluded = append(w.excluded, server)
		return a, notRun
	case port.ReadOnly:
		w.excluded = append(w.excluded, server)
		return a, notRun
	case port.UnknownStatement:
		return a, lostUnsent
	default:
		return a, ran
	}
}

// confirm passes a success on only if the server that ran it as primary still led when the answer came.
func (s *Session) confirm(ctx context.Context, l *loan, w *work, a statement.Result) (statement.Result, outcome) {
	if l.asPrimary && !s.manager.stillLeads(ctx, l) {
		if !w.writes {
			return statement.FailureResult(port.NotKept, "the primary was replaced while it ran the read", statement.Failed), notRun
		}
		return statement.FailureResult(port.UnknownOutcome, "the primary was replaced while it ran the write", statement.Failed), ran
	}
	if w.writes && s.tx == nil {
		s.see(a.Position)
	}
	return a, ran
}

// see notes the position that the session has to see from now on.
func (s *Session) see(p group.Position) {
	if p.Compare(s.newest) > 0 {
		s.newest = p
	}
}

// need returns what a statement or transaction on the route needs.
func (s *Session) need(route document.Route, writes, plainTransaction bool) dispatch.Need {
	if writes || plainTransaction || route.Freshness == document.EveryWrite {
		return dispatch.NeedPrimary{}
	}
	need := dispatch.NeedReader{AcceptedAge: route.AcceptedAge()}
	if route.Freshness == document.OwnWrites {
		need.Own = s.newest
	}
	return need
}

// acquire gets a connection that suits the statement.
func (s *Session) acquire(ctx context.Context, w *work, need dispatch.Need) (*loan, error) {
	target := w.route.TargetLatency()
	if target == 0 {
		target = defaultTimeout
	}
	now := s.manager.cfg.Timer.Now()
	if w.placedBy == 0 {
		w.placedBy = now + target/connectionWaitShare
	}
	want := Want{
		Group: w.route.Group, Organisation: s.admitted.Organisation, Need: need, Excluded: slices.Clone(w.excluded),
		Priority: w.route.Priority, ConnectionWait: w.placedBy - now, ServerWait: target / serverWaitShare, Affinity: s.affinity,
	}
	if s.manager.cfg.IsIsolated() {
		// No primary can be learnt of until the cut ends.
		want.ServerWait = 0
	}
	grant, err := s.manager.cfg.Dispatcher.Acquire(ctx, want)
	if err != nil {
		return nil, err
	}
	s.affinity = grant.Connection.ID
	owner, _ := grant.Connection.owner()
	s.server, s.owner, s.tries = grant.Connection.Endpoint.Server, owner.Name, s.tries+1
	l := &loan{connection: grant.Connection, choice: grant.Choice, overdueAfter: grant.OverdueAfter}
	if primary, term, ok := s.manager.cfg.Views.Primary(w.route.Group); ok && primary == grant.Connection.Endpoint.Server {
		l.asPrimary, l.term = true, term
	}
	if grant.Choice.MinPosition.IsZero() && !l.asPrimary {
		s.manager.cfg.Dispatcher.Return(grant.Connection, true)
		return nil, port.Errorf(port.NoPrimary, "the primary of group %s was replaced", w.route.Group)
	}
	return l, nil
}
