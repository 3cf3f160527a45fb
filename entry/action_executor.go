package entry

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// serverAction is an action for one server. primaryAddress is set for group.SendFollow.
type serverAction struct {
	action         group.Action
	primaryAddress string
}

// actionExecutor executes a promoter's actions at one server. If its ring is full, the oldest action is dropped, because
// later actions supersede it.
type actionExecutor struct {
	member  group.Member
	server  port.Server
	timer   port.Timer
	actions *ring.Ring[serverAction]
	results *ring.Ring[promoterMessage]
	stop    context.CancelFunc
}

func (e *actionExecutor) loop(ctx context.Context) {
	for {
		a, err := e.actions.Take(ctx)
		if err != nil {
			return
		}
		if e.results.Put(ctx, e.execute(ctx, a)) != nil {
			return
		}
	}
}

func (e *actionExecutor) execute(ctx context.Context, a serverAction) actionCompleted {
	ctx, cancel := port.WithTimeout(ctx, e.timer, ActionTimeout)
	defer cancel()
	requestedAt := e.timer.Now()
	status, err := e.send(ctx, a)
	if err == nil && status.Server != e.member.Name {
		err = port.Errorf(port.Invalid, "server %q answered at the address of %q", status.Server, e.member.Name)
	}
	return actionCompleted{
		action:      a.action,
		server:      e.member.Name,
		observation: group.Observation{Status: status, RequestedAt: requestedAt, ReceivedAt: e.timer.Now()},
		err:         err,
	}
}

func (e *actionExecutor) send(ctx context.Context, a serverAction) (group.Status, error) {
	switch action := a.action.(type) {
	case group.SendFence:
		return e.server.Fence(ctx, action.Term, action.Candidate)
	case group.SendPromote:
		return e.server.Promote(ctx, action.Term, action.Candidate)
	case group.SendFollow:
		return e.server.Follow(ctx, action.Term, a.primaryAddress)
	}
	return group.Status{}, port.Errorf(port.Internal, "action %T cannot be sent to a server", a.action)
}
