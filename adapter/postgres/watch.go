package postgres

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// watchPeriod is how often it is asked whether the server of an unanswered write is still the primary.
	watchPeriod = time.Second
	// overdueLimit is how long an unanswered write waits for its server after that was replaced. A server that is only
	// cut off from its replicas may still answer in time.
	overdueLimit = 5 * time.Second
)

// watchPrimary watches over a write. A frozen primary keeps its connections open, so that without the watch a
// caller would wait for an answer for ever.
func (c *caller) watchPrimary() {
	ctx, cancel := context.WithCancel(c.ctx)
	c.active.stopWatch = cancel
	number, who, target := c.requests, c.entry, c.target
	stop := c.listener.timer.After(watchPeriod, func(time.Duration) {
		if c.listener.begin() {
			go c.runWatch(ctx, number, who, target)
		}
	})
	context.AfterFunc(ctx, stop)
}

// runWatch tells the duty when a write like the request would go to another server.
func (c *caller) runWatch(ctx context.Context, number uint64, who entry.Caller, target entry.Target) {
	defer c.listener.duties.Done()
	for ctx.Err() == nil {
		now, err := c.listener.director.Place(ctx, who)
		if err == nil && now.Server != target.Server {
			_ = c.events.Put(ctx, placedElsewhere{request: number})
			return
		}
		if c.listener.pause(ctx, watchPeriod) != nil {
			return
		}
	}
}

// expectAnswer limits how long the active request waits for a server that was replaced.
func (c *caller) expectAnswer(number uint64) {
	if c.active != nil && c.requests == number {
		c.active.stopWatch()
		c.active.stopWatch = c.after(overdueLimit, answerOverdue{request: number})
	}
}

// giveUp ends a request that a replaced server did not answer.
func (c *caller) giveUp(number uint64) {
	if c.active == nil || c.requests != number {
		return
	}
	c.drop()
	c.handleBroken(port.Failf(port.NoConnection, "server %s was replaced and did not answer", c.target.Server))
}
