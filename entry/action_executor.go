package entry

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// serverAction is an order for one server. address is the address of the primary to follow.
type serverAction struct {
	action         group.Action
	primaryAddress string
}

// actionExecutor is the duty that carries out a promoter's orders at one server. When its ring is full the oldest order is
// dropped: a later one replaces it.
type actionExecutor struct {
	member  group.Member
	server  port.Server
	timer   port.Timer
	actions *ring.Ring[serverAction]
	results *ring.Ring[promoterMessage]
	stop    context.CancelFunc
}

func (o *actionExecutor) loop(ctx context.Context) {
	for {
		t, err := o.actions.Take(ctx)
		if err != nil {
			return
		}
		if o.results.Put(ctx, o.execute(ctx, t)) != nil {
			return
		}
	}
}

func (o *actionExecutor) execute(ctx context.Context, t serverAction) actionCompleted {
	ctx, cancel := port.WithTimeout(ctx, o.timer, ActionTimeout)
	defer cancel()
	requestedAt := o.timer.Now()
	status, err := o.send(ctx, t)
	if err == nil && status.Server != o.member.Name {
		err = port.Errorf(port.Invalid, "server %q answered at the address of %q", status.Server, o.member.Name)
	}
	return actionCompleted{
		action:      t.action,
		server:      o.member.Name,
		observation: group.Observation{Status: status, RequestedAt: requestedAt, ReceivedAt: o.timer.Now()},
		err:         err,
	}
}

func (o *actionExecutor) send(ctx context.Context, t serverAction) (group.Status, error) {
	switch action := t.action.(type) {
	case group.SendFence:
		return o.server.Fence(ctx, action.Term, action.Candidate)
	case group.SendPromote:
		return o.server.Promote(ctx, action.Term, action.Candidate)
	case group.SendFollow:
		return o.server.Follow(ctx, action.Term, t.primaryAddress)
	}
	return group.Status{}, port.Errorf(port.Internal, "order %T is not for a server", t.action)
}
