package entry

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// watched is a server with its two asking duties. Questions that wait for a position have a duty of their own, so that
// they do not hold up the others.
type watched struct {
	member   group.Member
	poller   *asker
	awaiter  *asker
	awaiting bool
	stop     context.CancelFunc
}

func (m *Monitor) askAll() {
	for _, w := range m.servers {
		w.poller.questions.TryPut(question{})
	}
}

func (m *Monitor) askPositions() {
	for _, w := range m.servers {
		m.askPosition(w)
	}
}

// askPosition has the server tell when it holds the first position that a caller waits for and that the server did not
// hold at its last answer. One question is outstanding at a time.
func (m *Monitor) askPosition(w *watched) {
	if w.awaiting {
		return
	}
	p, ok := m.firstMissing(w.member.Name)
	if !ok {
		return
	}
	w.awaiting = w.awaiter.questions.TryPut(question{await: p, maxWait: PositionWait})
}

func (m *Monitor) firstMissing(server string) (group.Position, bool) {
	var first group.Position
	o, _ := m.view.Observation(server)
	for _, w := range m.waiters {
		p := w.position
		if p.IsZero() || o.Status.Followed > p.Term || o.Status.History.Contains(p) {
			continue
		}
		if first.IsZero() || p.Compare(first) < 0 {
			first = p
		}
	}
	return first, !first.IsZero()
}

// connect starts asking duties for new members and ends those of members that left or moved.
func (m *Monitor) connect(ctx context.Context) {
	members := make(map[string]group.Member)
	for _, member := range m.view.Members() {
		members[member.Name] = member
	}
	for name, w := range m.servers {
		if member, ok := members[name]; !ok || member.Address != w.member.Address {
			w.stop()
			delete(m.servers, name)
		}
	}
	for name, member := range members {
		if _, ok := m.servers[name]; !ok {
			m.servers[name] = m.watch(ctx, member)
		}
	}
}

func (m *Monitor) watch(ctx context.Context, member group.Member) *watched {
	ctx, stop := context.WithCancel(ctx)
	server := m.cfg.Connect(member)
	w := &watched{member: member, stop: stop}
	w.poller = m.start(ctx, member, server)
	w.awaiter = m.start(ctx, member, server)
	return w
}

func (m *Monitor) start(ctx context.Context, member group.Member, server port.Server) *asker {
	a := &asker{
		member:    member,
		server:    server,
		timer:     m.cfg.Timer,
		questions: ring.New[question](1),
		answers:   m.inbox,
	}
	m.running.Go(func() { a.loop(ctx) })
	return a
}
