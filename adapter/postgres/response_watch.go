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
	// replacementCheckPeriod is how often an unanswered write is checked for whether its server is still the primary.
	replacementCheckPeriod = 250 * time.Millisecond
	// replacedServerTimeout is how long an unanswered write waits for its server after that server was replaced. A
	// server that only lost its replicas responds within milliseconds. Waiting longer for a stopped server would not
	// help.
	replacedServerTimeout = time.Second
	// probePeriod is how often the server of an unanswered read is probed, and probeTimeout limits each probe.
	// probeAttempts consecutive probes have to fail, because a single one can fail due to a lost packet.
	probePeriod   = 5 * time.Second
	probeTimeout  = 2 * time.Second
	probeAttempts = 2
)

// watchServer watches the server of the active request. A frozen server keeps its connections open, so that a client
// would wait for its response forever without this watch.
func (c *client) watchServer() {
	a := c.active
	a.stopWatch()
	ctx, cancel := context.WithCancel(c.ctx)
	number, authorized, target, read := c.requestNumber, c.authorized, c.target, a.exchange.Read
	period := replacementCheckPeriod
	if read {
		period = probePeriod
	}
	stop := c.listener.timer.After(period, func(time.Duration) {
		switch {
		case !c.listener.startGoroutine():
		case read:
			go c.runProbe(ctx, number, target)
		default:
			go c.runReplacementCheck(ctx, number, authorized, target)
		}
	})
	a.stopWatch = func() {
		stop()
		cancel()
	}
}

// runReplacementCheck reports when a write like the request would be sent to another server.
func (c *client) runReplacementCheck(ctx context.Context, number uint64, authorized entry.Client, target entry.Target) {
	defer c.listener.running.Done()
	for ctx.Err() == nil {
		selected, err := c.listener.selector.SelectServer(ctx, authorized)
		if err == nil && selected.Server != target.Server {
			_ = c.events.Put(ctx, serverReplaced{request: number})
			return
		}
		if port.Sleep(ctx, c.listener.timer, replacementCheckPeriod) != nil {
			return
		}
	}
}

// runProbe reports when the server of a read no longer responds on new connections.
func (c *client) runProbe(ctx context.Context, number uint64, target entry.Target) {
	defer c.listener.running.Done()
	for ctx.Err() == nil {
		failed := 0
		for failed < probeAttempts && !c.listener.isResponsive(ctx, target) {
			failed++
		}
		if failed == probeAttempts && ctx.Err() == nil {
			_ = c.events.Put(ctx, responseTimedOut{request: number})
			return
		}
		if port.Sleep(ctx, c.listener.timer, probePeriod) != nil {
			return
		}
	}
}

// isResponsive reports whether the server responds to an encryption request, which needs no login, or closes the
// connection.
func (l *Listener) isResponsive(ctx context.Context, target entry.Target) bool {
	ctx, cancel := port.WithTimeout(ctx, l.timer, probeTimeout)
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

// limitResponseTime limits how long the active request waits for a server that was replaced.
func (c *client) limitResponseTime(number uint64) {
	if c.active != nil && c.requestNumber == number {
		c.active.stopWatch()
		c.active.stopWatch = c.sendAfter(replacedServerTimeout, responseTimedOut{request: number})
	}
}

// abandonRequest ends or retries a request whose server no longer responds.
func (c *client) abandonRequest(number uint64) {
	if c.active == nil || c.requestNumber != number {
		return
	}
	c.closeServer()
	c.handleServerLost(port.Errorf(port.NoConnection, "server %s is unresponsive", c.target.Server))
}
