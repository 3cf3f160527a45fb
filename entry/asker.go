package entry

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// question asks a server for its status, as soon as it holds await or after maxWait.
type question struct {
	await   group.Position
	maxWait time.Duration
}

// asker is the duty that asks one server. Its ring holds one question, which stands for all that come while another is
// outstanding.
type asker struct {
	member    group.Member
	server    port.Server
	timer     port.Timer
	questions *ring.Ring[question]
	answers   *ring.Ring[monitorMessage]
}

func (a *asker) loop(ctx context.Context) {
	for {
		q, err := a.questions.Take(ctx)
		if err != nil {
			return
		}
		if a.answers.Put(ctx, a.ask(ctx, q)) != nil {
			return
		}
	}
}

func (a *asker) ask(ctx context.Context, q question) answered {
	ctx, cancel := port.WithTimeout(ctx, a.timer, q.maxWait+AnswerTimeout)
	defer cancel()
	asked := a.timer.Now()
	status, err := a.server.Status(ctx, q.await, q.maxWait)
	if err == nil && status.Server != a.member.Name {
		// The address leads to another server, so the answer says nothing of this member.
		err = port.Errorf(port.Invalid, "server %q answered at the address of %q", status.Server, a.member.Name)
	}
	o := group.Observation{Status: status, RequestedAt: asked, ReceivedAt: a.timer.Now()}
	return answered{by: a, question: q, observation: o, err: err}
}
