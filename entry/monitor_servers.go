package entry

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// monitoredServer is a server with its two pollers. Requests that wait for a position have a poller of their own, so that
// they do not delay the other requests.
type monitoredServer struct {
	member          group.Member
	poller          *statusPoller
	positionPoller  *statusPoller
	positionPending bool
	stop            context.CancelFunc
}

func (m *Monitor) pollAll() {
	for _, s := range m.servers {
		s.poller.requests.TryPut(statusRequest{})
	}
}

func (m *Monitor) requestPositions() {
	for _, s := range m.servers {
		m.requestPosition(s)
	}
}

// requestPosition asks the server to answer when its log contains the lowest awaited position that it did not contain at
// the last answer. Each server has at most one such request outstanding.
func (m *Monitor) requestPosition(s *monitoredServer) {
	if s.positionPending {
		return
	}
	p, ok := m.lowestMissingPosition(s.member.Name)
	if !ok {
		return
	}
	s.positionPending = s.positionPoller.requests.TryPut(statusRequest{position: p, maxWait: PositionWait})
}

func (m *Monitor) lowestMissingPosition(server string) (group.Position, bool) {
	var lowest group.Position
	o, _ := m.view.Observation(server)
	for _, w := range m.waiters {
		p := w.position
		if p.IsZero() || o.Status.Followed > p.Term || o.Status.History.Contains(p) {
			continue
		}
		if lowest.IsZero() || p.Compare(lowest) < 0 {
			lowest = p
		}
	}
	return lowest, !lowest.IsZero()
}

// updateServers starts pollers for new members and stops those of members that were removed or changed their address.
func (m *Monitor) updateServers(ctx context.Context) {
	members := make(map[string]group.Member)
	for _, member := range m.view.Members() {
		members[member.Name] = member
	}
	for name, s := range m.servers {
		if member, ok := members[name]; !ok || member.Address != s.member.Address {
			s.stop()
			delete(m.servers, name)
		}
	}
	for name, member := range members {
		if _, ok := m.servers[name]; !ok {
			m.servers[name] = m.startServer(ctx, member)
		}
	}
}

func (m *Monitor) startServer(ctx context.Context, member group.Member) *monitoredServer {
	ctx, stop := context.WithCancel(ctx)
	server := m.cfg.Connect(member)
	s := &monitoredServer{member: member, stop: stop}
	s.poller = m.startPoller(ctx, member, server)
	s.positionPoller = m.startPoller(ctx, member, server)
	return s
}

func (m *Monitor) startPoller(ctx context.Context, member group.Member, server port.Server) *statusPoller {
	p := &statusPoller{
		member:   member,
		server:   server,
		timer:    m.cfg.Timer,
		requests: ring.New[statusRequest](1),
		results:  m.inbox,
	}
	m.running.Go(func() { p.loop(ctx) })
	return p
}
