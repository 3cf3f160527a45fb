package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

const (
	// ServerSelectionTimeout is how long a transaction waits for a suitable server.
	ServerSelectionTimeout = 15 * time.Second
	// AcknowledgmentTimeout is how long a write waits until it may be acknowledged.
	AcknowledgmentTimeout = 15 * time.Second
	// AllServersWait is how long a read waits for the answers of all servers before it uses those of a majority.
	AllServersWait = 10 * time.Millisecond
	// ReadPositionTimeout is how long a read waits for a server that has reached its read position before it determines a
	// new one. The previous position may include a write that has been discarded in the meantime.
	ReadPositionTimeout = 500 * time.Millisecond
)

// GroupServerSelectorConfig configures a GroupServerSelector.
type GroupServerSelectorConfig struct {
	DataCentre string
	Timer      port.Timer
	// Monitor returns the monitor of the group. It reports false if there is no such group.
	Monitor func(ctx context.Context, groupName string) (*Monitor, bool)
}

// GroupServerSelector is the ServerSelector of an instance that monitors the groups itself.
type GroupServerSelector struct {
	cfg        GroupServerSelectorConfig
	tieBreaker atomic.Uint64
}

var _ ServerSelector = (*GroupServerSelector)(nil)

// NewGroupServerSelector returns a GroupServerSelector.
func NewGroupServerSelector(cfg GroupServerSelectorConfig) *GroupServerSelector {
	return &GroupServerSelector{cfg: cfg}
}

// SelectServer returns the server for the client's next transaction. It waits up to ServerSelectionTimeout.
func (sel *GroupServerSelector) SelectServer(ctx context.Context, c Client) (Target, error) {
	m, ok := sel.cfg.Monitor(ctx, c.Route.Group)
	if !ok {
		return Target{}, port.Errorf(port.NoPrimary, "group %q is not known at this instance", c.Route.Group)
	}
	r := sel.request(c)
	if target, ok := sel.selectNow(m, r, c.Session); ok {
		return target, nil
	}
	ctx, cancel := port.WithTimeout(ctx, sel.cfg.Timer, ServerSelectionTimeout)
	defer cancel()
	target, err := sel.selectWaiting(ctx, m, r, c.Session)
	return target, port.Wrapf(err, port.NoPrimary, "no suitable server in group %q", c.Route.Group)
}

func (sel *GroupServerSelector) request(c Client) session.Request {
	return session.Request{
		Group:       c.Route.Group,
		Read:        c.Read,
		AcceptedAge: c.Route.AcceptedAge(),
		DataCentre:  sel.cfg.DataCentre,
		TieBreaker:  sel.tieBreaker.Add(1),
	}
}

// selectNow selects a server from the published view, without a timer. It reports false if the request has to wait.
func (sel *GroupServerSelector) selectNow(m *Monitor, r session.Request, s session.Session) (Target, bool) {
	v := m.View()
	switch p := session.SelectServer(r, s, v, sel.cfg.Timer.Now()).(type) {
	case session.ToPrimary:
		return target(r, v, p.Server, false, p.Term), true
	case session.ToServer:
		return target(r, v, p.Server, p.Replica, 0), true
	}
	return Target{}, false
}

func (sel *GroupServerSelector) selectWaiting(ctx context.Context, m *Monitor, r session.Request, s session.Session) (Target, error) {
	v := m.View()
	hasReadPosition := false
	for {
		switch p := session.SelectServer(r, s, v, sel.cfg.Timer.Now()).(type) {
		case session.ToPrimary:
			return target(r, v, p.Server, false, p.Term), nil
		case session.ToServer:
			return target(r, v, p.Server, p.Replica, 0), nil
		case session.AwaitReadPosition:
			position, err := m.ReadPosition(ctx, allServersWait(r))
			if err != nil {
				return Target{}, err
			}
			r, v, hasReadPosition = r.WithReadPosition(position), m.View(), true
		case session.AwaitPrimary, session.AwaitServer:
			next, err := sel.await(ctx, m, r, s, hasReadPosition)
			if err != nil && !errors.Is(err, errStaleReadPosition) {
				return Target{}, err
			}
			if err != nil {
				r = r.WithoutReadPosition()
				next = m.View()
			}
			v = next
		}
	}
}

// allServersWait returns how long to wait for all servers when determining the read position. For a write, which goes to
// the primary in any case, it is zero.
func allServersWait(r session.Request) time.Duration {
	if r.Read {
		return AllServersWait
	}
	return 0
}

var errStaleReadPosition = errors.New("no server has reached the read position in time")

// await waits until a server can be selected. A read with a read position gives up after ReadPositionTimeout with
// errStaleReadPosition.
func (sel *GroupServerSelector) await(
	ctx context.Context, m *Monitor, r session.Request, s session.Session, hasReadPosition bool,
) (group.View, error) {
	if hasReadPosition {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		stop := sel.cfg.Timer.After(ReadPositionTimeout, func(time.Duration) { cancel(errStaleReadPosition) })
		defer stop()
	}
	return m.Await(ctx, func(v group.View) bool {
		switch session.SelectServer(r, s, v, sel.cfg.Timer.Now()).(type) {
		case session.AwaitPrimary, session.AwaitServer:
			return false
		}
		return true
	})
}

func target(r session.Request, v group.View, server string, replica bool, term group.Term) Target {
	member, _ := v.Member(server)
	return Target{Group: r.Group, Server: server, Address: member.Address, Replica: replica, Term: term}
}

// AwaitDurable waits until a write at p may be acknowledged. The zero position means that the transaction wrote nothing.
func (sel *GroupServerSelector) AwaitDurable(ctx context.Context, groupName string, p group.Position) error {
	if p.IsZero() {
		return nil
	}
	m, ok := sel.cfg.Monitor(ctx, groupName)
	if !ok {
		return port.Errorf(port.UnknownOutcome, "group %q is not known at this instance", groupName)
	}
	ctx, cancel := port.WithTimeout(ctx, sel.cfg.Timer, AcknowledgmentTimeout)
	defer cancel()
	v, err := m.AwaitPosition(ctx, p, func(v group.View) bool { return v.OutcomeOf(p) != group.Undetermined })
	if err != nil {
		return port.Wrapf(err, port.UnknownOutcome, "outcome of write %s of group %q is not known", p, groupName)
	}
	if v.OutcomeOf(p) == group.Lost {
		return port.Errorf(port.NotKept, "write %s of group %q was discarded by a later term", p, groupName)
	}
	return nil
}
