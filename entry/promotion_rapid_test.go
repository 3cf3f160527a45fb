package entry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// model runs the decisions of several promoters and of one caller's instance over fake servers, without goroutines.
// What happens next, and which message arrives, is lost or arrives again, follows from a seed: rapid's own choices
// favour small numbers, and a promotion needs a long row of unlike ones. rapid draws the seed and shortens the run.
type model struct {
	t         *rapid.T
	rng       *rand.Rand
	now       time.Duration
	names     []string
	servers   map[string]*serverState
	promoters []*modelPromoter
	caller    group.View
	messages  []func()
	starts    int
	writes    []group.Position
	primaries map[group.Term]string
	settled   map[group.Position]group.WriteOutcome
}

type modelPromoter struct {
	promotion group.Promotion
	view      group.View
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, servers: map[string]*serverState{}, primaries: map[group.Term]string{1: "s0"},
		settled: map[group.Position]group.WriteOutcome{},
		rng:     rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream"))),
	}
	var members []group.Member
	for i := range rapid.SampledFrom([]int{1, 2, 3, 3, 3, 5}).Draw(t, "servers") {
		s := &serverState{
			name: fmt.Sprintf("s%d", i), role: group.Replica, promised: 1, followed: 1, primary: "s0", log: []logEntry{{term: 1}},
		}
		if i == 0 {
			s.role = group.Primary
		}
		m.names = append(m.names, s.name)
		m.servers[s.name] = s
		members = append(members, group.Member{Name: s.name, Address: s.name})
	}
	m.caller = group.NewView(members...)
	for range 3 {
		m.promoters = append(m.promoters, &modelPromoter{view: m.caller})
		m.startPromoter(m.promoters[len(m.promoters)-1])
	}
	return m
}

// startPromoter makes the promoter forget all but the view, as an instance that was replaced does.
func (m *model) startPromoter(p *modelPromoter) {
	m.starts++
	p.promotion = group.NewPromotion(fmt.Sprintf("candidate-%d", m.starts), m.starts%2)
}

func (m *model) server() *serverState {
	return m.servers[m.names[m.rng.IntN(len(m.names))]]
}

func (m *model) promoter() *modelPromoter {
	return m.promoters[m.rng.IntN(len(m.promoters))]
}

// post sends a message. Of too many that wait, the oldest is lost.
func (m *model) post(f func()) {
	m.messages = append(m.messages, f)
	if len(m.messages) > 60 {
		m.messages = m.messages[1:]
	}
}

func (m *model) step() {
	switch m.rng.IntN(20) {
	case 0:
		m.now += time.Duration((1 + m.rng.IntN(1200))) * time.Millisecond
	case 1, 2:
		m.write(m.server())
	case 3, 4, 5:
		m.replicate(m.server(), m.server())
	case 6, 7:
		m.ask(m.server(), func(o group.Observation) { m.observe(o) })
	case 8, 9, 10:
		p := m.promoter()
		m.ask(m.server(), func(o group.Observation) {
			p.view = p.view.WithObservation(o)
			m.feed(p, group.Observed{})
		})
	case 11:
		m.look(m.promoter())
	case 12:
		if m.rng.IntN(10) == 0 {
			m.startPromoter(m.promoter())
		}
	default:
		m.deliver()
	}
}

// look lets a promoter learn of some servers at once. Without it the replies are rarely recent enough to start a
// promotion.
func (m *model) look(p *modelPromoter) {
	for _, name := range m.names {
		if m.rng.IntN(4) > 0 {
			p.view = p.view.WithObservation(group.Observation{
				Status: m.servers[name].status(m.now), RequestedAt: m.now, ReceivedAt: m.now,
			})
		}
	}
	m.feed(p, group.Observed{})
}

// deliver takes one message in any order. It may lose it, or keep it to arrive again.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		return
	}
	// Most messages are recent ones; the others may be as late as rapid likes.
	first := 0
	if m.rng.IntN(4) > 0 {
		first = max(0, len(m.messages)-12)
	}
	i := first + m.rng.IntN(len(m.messages)-first)
	f := m.messages[i]
	fate := m.rng.IntN(20)
	if fate != 0 {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if fate != 1 {
		f()
	}
}

func (m *model) write(s *serverState) {
	if p, ok := s.write(len(m.writes) + 1); ok {
		m.writes = append(m.writes, p)
	}
}

// replicate sends a part of a primary's log. The replica drops what conflicts with it and nothing else.
func (m *model) replicate(from, to *serverState) {
	if from.role != group.Primary || from.promised != from.followed || from == to {
		return
	}
	n := m.rng.IntN(len(from.log) + 1)
	term, log := from.followed, from.log[:n:n]
	m.post(func() {
		shared := 0
		for shared < min(len(log), len(to.log)) && log[shared] == to.log[shared] {
			shared++
		}
		if shared == len(log) {
			log = to.log
		}
		to.replicate(term, from.name, log, m.now, m.now)
	})
}

// ask takes the server's status at once and delivers it later, so that answers cross.
func (m *model) ask(s *serverState, answer func(group.Observation)) {
	asked := m.now
	m.post(func() {
		status := s.status(m.now)
		m.post(func() { answer(group.Observation{Status: status, RequestedAt: asked, ReceivedAt: m.now}) })
	})
}

// observe checks what a caller is told of each write.
func (m *model) observe(o group.Observation) {
	m.caller = m.caller.WithObservation(o)
	for i, p := range m.writes {
		settlement := m.caller.OutcomeOf(p)
		if settlement == group.Undetermined {
			continue
		}
		if was, ok := m.settled[p]; ok && was != settlement {
			m.t.Fatalf("write %d at %s was reported as %s, then as %s", i+1, p, was, settlement)
		}
		m.settled[p] = settlement
	}
}

func (m *model) feed(p *modelPromoter, e group.Event) {
	var orders []group.Action
	p.promotion, orders = p.promotion.WithEvent(e, p.view, m.now)
	for _, order := range orders {
		m.carryOut(p, order)
	}
}

func (m *model) carryOut(p *modelPromoter, order group.Action) {
	switch order := order.(type) {
	case group.SendFence:
		for _, name := range m.names {
			m.call(p, m.servers[name], order.Term, func(s *serverState) bool { return s.fence(order.Term, order.Candidate) },
				func(status group.Status) group.Event { return group.Fenced{Term: order.Term, Status: status} })
		}
	case group.SendPromote:
		m.call(p, m.servers[order.Server], order.Term, func(s *serverState) bool { return m.promote(s, order) },
			func(group.Status) group.Event { return group.Promoted{Term: order.Term, Server: order.Server} })
	case group.SendFollow:
		s := m.servers[order.Server]
		m.post(func() { s.follow(order.Term, order.Primary) })
	}
}

func (m *model) call(
	p *modelPromoter, s *serverState, term group.Term, act func(*serverState) bool, event func(group.Status) group.Event,
) {
	candidate := p.promotion
	m.post(func() {
		ok := act(s)
		status := s.status(m.now)
		m.post(func() {
			switch {
			case p.promotion.Candidate() != candidate.Candidate():
			case ok:
				m.feed(p, event(status))
			default:
				m.feed(p, group.Refused{Term: term, Server: s.name, Promised: status.Promised})
			}
		})
	})
}

// promote checks that a term has one primary and that it holds every write that was reported as kept.
func (m *model) promote(s *serverState, order group.SendPromote) bool {
	if !s.promote(order.Term, order.Candidate) {
		return false
	}
	if other, ok := m.primaries[order.Term]; ok && other != s.name {
		m.t.Fatalf("term %d has two primaries, %s and %s", order.Term, other, s.name)
	}
	m.primaries[order.Term] = s.name
	for p, settlement := range m.settled {
		if s.history().Contains(p) != (settlement == group.Kept) {
			m.t.Fatalf("primary %s of term %d has the log %s, but %s was reported as %s",
				s.name, order.Term, s.history(), p, settlement)
		}
	}
	return true
}

// Guards against two primaries of one term, an acknowledged write that a later primary lacks, and a write that is
// reported as kept and as discarded, whatever is lost, late, crossed or doubled.
func TestPromotionIsSafe(t *testing.T) {
	promotions, kept, lost := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range 250 * rapid.IntRange(1, 12).Draw(t, "steps") {
			m.step()
		}
		promotions += len(m.primaries) - 1
		for _, settlement := range m.settled {
			if settlement == group.Kept {
				kept++
			} else {
				lost++
			}
		}
	})
	t.Logf("%d promotions, %d writes kept, %d discarded", promotions, kept, lost)
}
