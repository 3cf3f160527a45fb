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
	// ServerSelectionTimeout is how long a transaction waits for a server.
	ServerSelectionTimeout = 15 * time.Second
	// AcknowledgmentTimeout is how long the acknowledgment of a write may take.
	AcknowledgmentTimeout = 15 * time.Second
	// AllServersWait is how long a read waits for the answers of all servers before the answers of a majority will do.
	AllServersWait = 10 * time.Millisecond
	// ReadPositionTimeout is how long a read waits for a server that holds the newest position before it asks for the newest
	// position again. The first answer may include a write that was discarded since.
	ReadPositionTimeout = 500 * time.Millisecond
)

// GroupServerSelectorConfig is what a GroupDirector needs.
type GroupServerSelectorConfig struct {
	DataCentre string
	Timer      port.Timer
	// Monitor returns the monitor of the group of the name.
	Monitor func(ctx context.Context, groupName string) (*Monitor, bool)
}

// GroupServerSelector is the Director of an instance that monitors the groups itself.
type GroupServerSelector struct {
	cfg        GroupServerSelectorConfig
	tieBreaker atomic.Uint64
}

var _ ServerSelector = (*GroupServerSelector)(nil)

// NewGroupServerSelector returns a GroupDirector.
func NewGroupServerSelector(cfg GroupServerSelectorConfig) *GroupServerSelector {
	return &GroupServerSelector{cfg: cfg}
}

// SelectServer returns the server for the caller's next transaction. It waits up to PlacementLimit.
func (d *GroupServerSelector) SelectServer(ctx context.Context, c Client) (Target, error) {
	m, ok := d.cfg.Monitor(ctx, c.Route.Group)
	if !ok {
		return Target{}, port.Errorf(port.NoPrimary, "group %q is not known at this instance", c.Route.Group)
	}
	r := d.request(c)
	if target, ok := d.selectNow(m, r, c.Session); ok {
		return target, nil
	}
	ctx, cancel := port.WithTimeout(ctx, d.cfg.Timer, ServerSelectionTimeout)
	defer cancel()
	target, err := d.selectWaiting(ctx, m, r, c.Session)
	return target, port.Wrapf(err, port.NoPrimary, "no server of group %q fits", c.Route.Group)
}

func (d *GroupServerSelector) request(c Client) session.Request {
	return session.Request{
		Group:       c.Route.Group,
		Read:        c.Read,
		AcceptedAge: c.Route.AcceptedAge(),
		DataCentre:  d.cfg.DataCentre,
		TieBreaker:  d.tieBreaker.Add(1),
	}
}

// selectNow places a request for which the published view will do, without a timer.
func (d *GroupServerSelector) selectNow(m *Monitor, r session.Request, s session.Session) (Target, bool) {
	v := m.View()
	switch p := session.SelectServer(r, s, v, d.cfg.Timer.Now()).(type) {
	case session.ToPrimary:
		return target(r, v, p.Server, false, p.Term), true
	case session.ToServer:
		return target(r, v, p.Server, p.Replica, 0), true
	}
	return Target{}, false
}

func (d *GroupServerSelector) selectWaiting(ctx context.Context, m *Monitor, r session.Request, s session.Session) (Target, error) {
	v := m.View()
	hasReadPosition := false
	for {
		switch p := session.SelectServer(r, s, v, d.cfg.Timer.Now()).(type) {
		case session.ToPrimary:
			return target(r, v, p.Server, false, p.Term), nil
		case session.ToServer:
			return target(r, v, p.Server, p.Replica, 0), nil
		case session.AwaitReadPosition:
			newest, err := m.ReadPosition(ctx, allServersWait(r))
			if err != nil {
				return Target{}, err
			}
			r, v, hasReadPosition = r.WithReadPosition(newest), m.View(), true
		case session.AwaitPrimary, session.AwaitServer:
			next, err := d.await(ctx, m, r, s, hasReadPosition)
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

// allServersWait returns how long the newest position may wait for all servers. A write goes to the primary in any case.
func allServersWait(r session.Request) time.Duration {
	if r.Read {
		return AllServersWait
	}
	return 0
}

var errStaleReadPosition = errors.New("no server holds the newest position")

// await waits until the request can be placed. A read that needs the newest position gives up after NewestLimit with
// errAskAgain.
func (d *GroupServerSelector) await(
	ctx context.Context, m *Monitor, r session.Request, s session.Session, hasReadPosition bool,
) (group.View, error) {
	if hasReadPosition {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		stop := d.cfg.Timer.After(ReadPositionTimeout, func(time.Duration) { cancel(errStaleReadPosition) })
		defer stop()
	}
	return m.Await(ctx, func(v group.View) bool {
		switch session.SelectServer(r, s, v, d.cfg.Timer.Now()).(type) {
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

// AwaitDurable waits until a write at p may be confirmed. The zero position stands for a transaction that wrote nothing.
func (d *GroupServerSelector) AwaitDurable(ctx context.Context, groupName string, p group.Position) error {
	if p.IsZero() {
		return nil
	}
	m, ok := d.cfg.Monitor(ctx, groupName)
	if !ok {
		return port.Errorf(port.UnknownOutcome, "group %q is not known at this instance", groupName)
	}
	ctx, cancel := port.WithTimeout(ctx, d.cfg.Timer, AcknowledgmentTimeout)
	defer cancel()
	v, err := m.AwaitPosition(ctx, p, func(v group.View) bool { return v.OutcomeOf(p) != group.Undetermined })
	if err != nil {
		return port.Wrapf(err, port.UnknownOutcome, "write %s of group %q is not settled", p, groupName)
	}
	if v.OutcomeOf(p) == group.Lost {
		return port.Errorf(port.NotKept, "write %s of group %q was discarded by a later term", p, groupName)
	}
	return nil
}
