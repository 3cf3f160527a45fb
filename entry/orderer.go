package entry

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// task is an order for one server. address is the address of the primary to follow.
type task struct {
	order   group.Action
	address string
}

// orderer is the duty that carries out a promoter's orders at one server. When its ring is full the oldest order is
// dropped: a later one replaces it.
type orderer struct {
	member  group.Member
	server  port.Server
	timer   port.Timer
	orders  *ring.Ring[task]
	reports *ring.Ring[promoterMessage]
	stop    context.CancelFunc
}

func (o *orderer) loop(ctx context.Context) {
	for {
		t, err := o.orders.Take(ctx)
		if err != nil {
			return
		}
		if o.reports.Put(ctx, o.carryOut(ctx, t)) != nil {
			return
		}
	}
}

func (o *orderer) carryOut(ctx context.Context, t task) carriedOut {
	ctx, cancel := port.WithTimeout(ctx, o.timer, ActionTimeout)
	defer cancel()
	asked := o.timer.Now()
	status, err := o.send(ctx, t)
	if err == nil && status.Server != o.member.Name {
		err = port.Errorf(port.Invalid, "server %q answered at the address of %q", status.Server, o.member.Name)
	}
	return carriedOut{
		order:       t.order,
		server:      o.member.Name,
		observation: group.Observation{Status: status, RequestedAt: asked, ReceivedAt: o.timer.Now()},
		err:         err,
	}
}

func (o *orderer) send(ctx context.Context, t task) (group.Status, error) {
	switch order := t.order.(type) {
	case group.SendFence:
		return o.server.Fence(ctx, order.Term, order.Candidate)
	case group.SendPromote:
		return o.server.Promote(ctx, order.Term, order.Candidate)
	case group.SendFollow:
		return o.server.Follow(ctx, order.Term, t.address)
	}
	return group.Status{}, port.Errorf(port.Internal, "order %T is not for a server", t.order)
}
