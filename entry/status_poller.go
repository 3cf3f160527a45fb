package entry

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// statusRequest asks a server for its status. The server answers when its log contains position, or after maxWait.
type statusRequest struct {
	position group.Position
	maxWait  time.Duration
}

// statusPoller sends status requests to one server. Its ring holds a single request: a request that arrives while
// another one is queued is dropped, because the answer to the queued one serves both.
type statusPoller struct {
	member   group.Member
	server   port.Server
	timer    port.Timer
	requests *ring.Ring[statusRequest]
	results  *ring.Ring[monitorMessage]
}

func (p *statusPoller) loop(ctx context.Context) {
	for {
		r, err := p.requests.Take(ctx)
		if err != nil {
			return
		}
		if p.results.Put(ctx, p.request(ctx, r)) != nil {
			return
		}
	}
}

func (p *statusPoller) request(ctx context.Context, r statusRequest) statusReceived {
	ctx, cancel := port.WithTimeout(ctx, p.timer, r.maxWait+AnswerTimeout)
	defer cancel()
	requestedAt := p.timer.Now()
	status, err := p.server.Status(ctx, r.position, r.maxWait)
	if err == nil && status.Server != p.member.Name {
		// The address belongs to another server, so the answer says nothing about this member.
		err = port.Errorf(port.Invalid, "server %q answered at the address of %q", status.Server, p.member.Name)
	}
	o := group.Observation{Status: status, RequestedAt: requestedAt, ReceivedAt: p.timer.Now()}
	return statusReceived{poller: p, request: r, observation: o, err: err}
}
