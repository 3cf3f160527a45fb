package postgres

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// watchPeriod is how often it is asked whether the server of an unanswered write is still the primary.
	watchPeriod = 250 * time.Millisecond
	// overdueLimit is how long an unanswered write waits for its server after that was replaced. A server that is only
	// cut off from its replicas answers within milliseconds; one that was stopped would make callers wait for nothing.
	overdueLimit = time.Second
	// probePeriod is how often the server of an unanswered read is probed, and probeLimit how long it has to react. One
	// lost packet is no proof, so a second probe has to fail too.
	probePeriod   = 5 * time.Second
	probeLimit    = 2 * time.Second
	probeAttempts = 2
)

// watch watches over the active request. A frozen server keeps its connections open, so that without the watch a caller
// would wait for an answer for ever.
func (c *caller) watch() {
	a := c.active
	a.stopWatch()
	ctx, cancel := context.WithCancel(c.ctx)
	number, who, target, read := c.requests, c.entry, c.target, a.exchange.Read
	period := watchPeriod
	if read {
		period = probePeriod
	}
	stop := c.listener.timer.After(period, func(time.Duration) {
		switch {
		case !c.listener.begin():
		case read:
			go c.runProbe(ctx, number, target)
		default:
			go c.runWatch(ctx, number, who, target)
		}
	})
	a.stopWatch = func() {
		stop()
		cancel()
	}
}

// runWatch tells the duty when a write like the request would go to another server.
func (c *caller) runWatch(ctx context.Context, number uint64, who entry.Client, target entry.Target) {
	defer c.listener.duties.Done()
	for ctx.Err() == nil {
		now, err := c.listener.director.SelectServer(ctx, who)
		if err == nil && now.Server != target.Server {
			_ = c.events.Put(ctx, placedElsewhere{request: number})
			return
		}
		if port.Sleep(ctx, c.listener.timer, watchPeriod) != nil {
			return
		}
	}
}

// runProbe tells the duty when the server of a read no longer reacts to new connections.
func (c *caller) runProbe(ctx context.Context, number uint64, target entry.Target) {
	defer c.listener.duties.Done()
	for ctx.Err() == nil {
		silent := 0
		for silent < probeAttempts && !c.listener.reacts(ctx, target) {
			silent++
		}
		if silent == probeAttempts && ctx.Err() == nil {
			_ = c.events.Put(ctx, answerOverdue{request: number})
			return
		}
		if port.Sleep(ctx, c.listener.timer, probePeriod) != nil {
			return
		}
	}
}

// reacts reports whether the server answers an encryption request, which needs no login, or closes the connection.
func (l *Listener) reacts(ctx context.Context, target entry.Target) bool {
	ctx, cancel := port.WithTimeout(ctx, l.timer, probeLimit)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_, _ = conn.Write(encode(nil, &pgproto3.SSLRequest{}))
	_, _ = conn.Read(make([]byte, 1))
	return ctx.Err() == nil
}

// expectAnswer limits how long the active request waits for a server that was replaced.
func (c *caller) expectAnswer(number uint64) {
	if c.active != nil && c.requests == number {
		c.active.stopWatch()
		c.active.stopWatch = c.after(overdueLimit, answerOverdue{request: number})
	}
}

// giveUp ends or repeats a request of which the server does not answer any more.
func (c *caller) giveUp(number uint64) {
	if c.active == nil || c.requests != number {
		return
	}
	c.drop()
	c.handleBroken(port.Errorf(port.NoConnection, "server %s does not answer", c.target.Server))
}
