package entry

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// statusRequest asks a server for its status, as soon as it holds await or after maxWait.
type statusRequest struct {
	position group.Position
	maxWait  time.Duration
}

// statusPoller is the duty that asks one server. Its ring holds one question, which stands for all that come while another is
// outstanding.
type statusPoller struct {
	member   group.Member
	server   port.Server
	timer    port.Timer
	requests *ring.Ring[statusRequest]
	results  *ring.Ring[monitorMessage]
}

func (a *statusPoller) loop(ctx context.Context) {
	for {
		q, err := a.requests.Take(ctx)
		if err != nil {
			return
		}
		if a.results.Put(ctx, a.request(ctx, q)) != nil {
			return
		}
	}
}

func (a *statusPoller) request(ctx context.Context, q statusRequest) statusReceived {
	ctx, cancel := port.WithTimeout(ctx, a.timer, q.maxWait+AnswerTimeout)
	defer cancel()
	requestedAt := a.timer.Now()
	status, err := a.server.Status(ctx, q.position, q.maxWait)
	if err == nil && status.Server != a.member.Name {
		// The address leads to another server, so the answer says nothing of this member.
		err = port.Errorf(port.Invalid, "server %q answered at the address of %q", status.Server, a.member.Name)
	}
	o := group.Observation{Status: status, RequestedAt: requestedAt, ReceivedAt: a.timer.Now()}
	return statusReceived{poller: a, request: q, observation: o, err: err}
}
