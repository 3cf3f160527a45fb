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

// promotionModel runs the decisions of several promoters and of one client's instance over fake servers, without
// goroutines. The seed, which rapid draws, determines the order of events and which messages are delivered, lost or
// duplicated. Drawing each event with rapid would rarely lead to a promotion, because rapid favours small numbers.
type promotionModel struct {
	t          *rapid.T
	rng        *rand.Rand
	now        time.Duration
	names      []string
	servers    map[string]*serverState
	promoters  []*modelPromoter
	client     group.View
	messages   []func()
	candidates int
	writes     []group.Position
	primaries  map[group.Term]string
	outcomes   map[group.Position]group.WriteOutcome
}

type modelPromoter struct {
	promotion group.Promotion
	view      group.View
}

func newModel(t *rapid.T) *promotionModel {
	m := &promotionModel{
		t: t, servers: map[string]*serverState{}, primaries: map[group.Term]string{1: "s0"},
		outcomes: map[group.Position]group.WriteOutcome{},
		rng:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream"))),
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
	m.client = group.NewView(members...)
	for range 3 {
		m.promoters = append(m.promoters, &modelPromoter{view: m.client})
		m.restartPromoter(m.promoters[len(m.promoters)-1])
	}
	return m
}

// restartPromoter restarts the promoter under a new candidate ID, so that it loses everything but the view.
func (m *promotionModel) restartPromoter(p *modelPromoter) {
	m.candidates++
	p.promotion = group.NewPromotion(fmt.Sprintf("candidate-%d", m.candidates), m.candidates%2)
}

func (m *promotionModel) server() *serverState {
	return m.servers[m.names[m.rng.IntN(len(m.names))]]
}

func (m *promotionModel) promoter() *modelPromoter {
	return m.promoters[m.rng.IntN(len(m.promoters))]
}

// send queues a message. If too many messages are queued, the oldest is lost.
func (m *promotionModel) send(f func()) {
	m.messages = append(m.messages, f)
	if len(m.messages) > 60 {
		m.messages = m.messages[1:]
	}
}

func (m *promotionModel) step() {
	switch m.rng.IntN(20) {
	case 0:
		m.now += time.Duration((1 + m.rng.IntN(1200))) * time.Millisecond
	case 1, 2:
		m.write(m.server())
	case 3, 4, 5:
		m.replicate(m.server(), m.server())
	case 6, 7:
		m.requestStatus(m.server(), func(o group.Observation) { m.observe(o) })
	case 8, 9, 10:
		p := m.promoter()
		m.requestStatus(m.server(), func(o group.Observation) {
			p.view = p.view.WithObservation(o)
			m.handleEvent(p, group.Observed{})
		})
	case 11:
		m.observeServers(m.promoter())
	case 12:
		if m.rng.IntN(10) == 0 {
			m.restartPromoter(m.promoter())
		}
	default:
		m.deliver()
	}
}

// observeServers gives a promoter the current status of some servers. Without this, observations are rarely recent enough
// to start a promotion.
func (m *promotionModel) observeServers(p *modelPromoter) {
	for _, name := range m.names {
		if m.rng.IntN(4) > 0 {
			p.view = p.view.WithObservation(group.Observation{
				Status: m.servers[name].status(m.now), RequestedAt: m.now, ReceivedAt: m.now,
			})
		}
	}
	m.handleEvent(p, group.Observed{})
}

// deliver delivers, loses or duplicates one of the queued messages.
func (m *promotionModel) deliver() {
	if len(m.messages) == 0 {
		return
	}
	// Mostly delivers recent messages, and sometimes any queued one.
	first := 0
	if m.rng.IntN(4) > 0 {
		first = max(0, len(m.messages)-12)
	}
	i := first + m.rng.IntN(len(m.messages)-first)
	f := m.messages[i]
	choice := m.rng.IntN(20)
	if choice != 0 {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if choice != 1 {
		f()
	}
}

func (m *promotionModel) write(s *serverState) {
	if p, ok := s.write(len(m.writes) + 1); ok {
		m.writes = append(m.writes, p)
	}
}

// replicate sends a prefix of the primary's log. The replica discards only entries that conflict with it.
func (m *promotionModel) replicate(from, to *serverState) {
	if from.role != group.Primary || from.promised != from.followed || from == to {
		return
	}
	n := m.rng.IntN(len(from.log) + 1)
	term, log := from.followed, from.log[:n:n]
	m.send(func() {
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

// requestStatus sends a status request. Request and answer are separate messages, so that answers can be reordered.
func (m *promotionModel) requestStatus(s *serverState, answer func(group.Observation)) {
	requestedAt := m.now
	m.send(func() {
		status := s.status(m.now)
		m.send(func() { answer(group.Observation{Status: status, RequestedAt: requestedAt, ReceivedAt: m.now}) })
	})
}

// observe checks that the outcome reported for a write never changes.
func (m *promotionModel) observe(o group.Observation) {
	m.client = m.client.WithObservation(o)
	for i, p := range m.writes {
		outcome := m.client.OutcomeOf(p)
		if outcome == group.Undetermined {
			continue
		}
		if was, ok := m.outcomes[p]; ok && was != outcome {
			m.t.Fatalf("write %d at %s was reported as %s, then as %s", i+1, p, was, outcome)
		}
		m.outcomes[p] = outcome
	}
}

func (m *promotionModel) handleEvent(p *modelPromoter, e group.Event) {
	var actions []group.Action
	p.promotion, actions = p.promotion.WithEvent(e, p.view, m.now)
	for _, action := range actions {
		m.execute(p, action)
	}
}

func (m *promotionModel) execute(p *modelPromoter, action group.Action) {
	switch action := action.(type) {
	case group.SendFence:
		for _, name := range m.names {
			m.call(p, m.servers[name], action.Term, func(s *serverState) bool { return s.fence(action.Term, action.Candidate) },
				func(status group.Status) group.Event { return group.Fenced{Term: action.Term, Status: status} })
		}
	case group.SendPromote:
		m.call(p, m.servers[action.Server], action.Term, func(s *serverState) bool { return m.promote(s, action) },
			func(group.Status) group.Event { return group.Promoted{Term: action.Term, Server: action.Server} })
	case group.SendFollow:
		s := m.servers[action.Server]
		m.send(func() { s.follow(action.Term, action.Primary) })
	}
}

func (m *promotionModel) call(
	p *modelPromoter, s *serverState, term group.Term, act func(*serverState) bool, event func(group.Status) group.Event,
) {
	candidate := p.promotion
	m.send(func() {
		ok := act(s)
		status := s.status(m.now)
		m.send(func() {
			switch {
			case p.promotion.Candidate() != candidate.Candidate():
			case ok:
				m.handleEvent(p, event(status))
			default:
				m.handleEvent(p, group.Refused{Term: term, Server: s.name, Promised: status.Promised})
			}
		})
	})
}

// promote checks that each term has only one primary, and that its log agrees with the reported outcomes of all writes.
func (m *promotionModel) promote(s *serverState, action group.SendPromote) bool {
	if !s.promote(action.Term, action.Candidate) {
		return false
	}
	if other, ok := m.primaries[action.Term]; ok && other != s.name {
		m.t.Fatalf("term %d has two primaries, %s and %s", action.Term, other, s.name)
	}
	m.primaries[action.Term] = s.name
	for p, outcome := range m.outcomes {
		if s.history().Contains(p) != (outcome == group.Kept) {
			m.t.Fatalf("primary %s of term %d has the log %s, but %s was reported as %s",
				s.name, action.Term, s.history(), p, outcome)
		}
	}
	return true
}

// Guards against two primaries in one term, a later primary that lacks an acknowledged write, and a write that is reported
// both as kept and as discarded, when messages are lost, delayed, reordered or duplicated.
func TestPromotionIsSafe(t *testing.T) {
	promotions, kept, lost := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range 250 * rapid.IntRange(1, 12).Draw(t, "steps") {
			m.step()
		}
		promotions += len(m.primaries) - 1
		for _, outcome := range m.outcomes {
			if outcome == group.Kept {
				kept++
			} else {
				lost++
			}
		}
	})
	t.Logf("%d promotions, %d writes kept, %d discarded", promotions, kept, lost)
}
