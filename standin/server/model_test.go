package server_test

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/standin/server"
)

// model runs random operations on a group, and records the writes that a majority held in their own term.
type model struct {
	timer   clock.Fake
	servers []*server.Server
	term    group.Term
	// pending contains promotions that have a majority of fences and have not been executed.
	pending  []promotion
	promoted map[group.Term]string
	acked    []group.Position
	writes   int
	stop     func()
}

// promotion is a server that a candidate may promote after fencing a majority.
type promotion struct {
	term   group.Term
	server *server.Server
}

func newModel() *model {
	m := &model{promoted: make(map[group.Term]string)}
	directory := &server.Directory{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, name := range []string{"a", "b", "c"} {
		s := server.New(name, &m.timer, directory.Dial)
		directory.Add(s)
		m.servers = append(m.servers, s)
		running.Go(func() { s.Run(ctx) })
	}
	m.stop = func() {
		cancel()
		running.Wait()
	}
	return m
}

func (m *model) statuses(t *rapid.T) []group.Status {
	statuses := make([]group.Status, len(m.servers))
	for i, s := range m.servers {
		var err error
		statuses[i], err = s.Status(t.Context(), group.Position{}, 0)
		require.NoError(t, err)
	}
	return statuses
}

func candidateOf(term group.Term) string { return "candidate " + strconv.Itoa(int(term)) }

// elect fences random servers in the next term. With a majority, it may leave the promotion pending.
func (m *model) elect(t *rapid.T) {
	m.term++
	voters := rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 1, 3, rapid.ID[int]).Draw(t, "voters")
	var latest *server.Server
	var last group.Position
	fenced := 0
	for _, i := range voters {
		status, err := m.servers[i].Fence(t.Context(), m.term, candidateOf(m.term))
		if err != nil {
			continue
		}
		fenced++
		if latest == nil || status.Last().Compare(last) > 0 {
			latest, last = m.servers[i], status.Last()
		}
	}
	if fenced < 2 {
		return
	}
	m.pending = append(m.pending, promotion{term: m.term, server: latest})
	if !rapid.Bool().Draw(t, "pending") {
		m.promote(t)
	}
}

// promote executes a pending promotion, even if later elections have started since.
func (m *model) promote(t *rapid.T) {
	if len(m.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "promotion")
	p := m.pending[i]
	m.pending = slices.Delete(m.pending, i, i+1)
	if _, err := p.server.Promote(t.Context(), p.term, candidateOf(p.term)); err != nil {
		return
	}
	m.promoted[p.term] = p.server.Name()
	for _, s := range m.servers {
		if s != p.server && rapid.IntRange(0, 3).Draw(t, "follows") > 0 {
			_, _ = s.Follow(t.Context(), p.term, p.server.Name())
		}
	}
}

// follow makes a server follow the primary of the current or of an earlier term.
func (m *model) follow(t *rapid.T) {
	i := rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")
	term := m.term - group.Term(rapid.Uint64Range(0, min(2, uint64(m.term))).Draw(t, "terms back"))
	if name := m.promoted[term]; name != "" && name != m.servers[i].Name() {
		_, _ = m.servers[i].Follow(t.Context(), term, name)
	}
}

// write writes on a random server. The write may be refused.
func (m *model) write(t *rapid.T) {
	i := rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")
	c := m.servers[i].Connect("slot")
	_, err := c.Execute(t.Context(), server.Bind{Organisation: "org", Nonce: "n"})
	require.NoError(t, err)
	m.writes++
	_, _ = c.Execute(t.Context(), server.Upsert{Key: "k", Value: strconv.Itoa(m.writes)})
	m.advance(t)
}

// partition starts or ends a partition between a server and its peers.
func (m *model) partition(t *rapid.T) {
	i := rapid.IntRange(0, len(m.servers)-1).Draw(t, "server")
	require.NoError(t, m.servers[i].SetPartitioned(t.Context(), rapid.Bool().Draw(t, "partitioned")))
}

// advance advances the clock so that replicas pull again. Their progress depends on scheduling.
func (m *model) advance(t *rapid.T) {
	for range 5 {
		m.timer.Advance(server.HeartbeatPeriod)
		m.acknowledge(m.statuses(t))
	}
}

// check requires that a primary holds every write of its own and earlier terms that a majority held, and that each term
// has at most one primary.
func (m *model) check(t *rapid.T) {
	statuses := m.statuses(t)
	primaries := make(map[group.Term]string)
	for _, status := range statuses {
		if status.Role != group.Primary {
			continue
		}
		require.Empty(t, primaries[status.Followed], "term %d has two primaries", status.Followed)
		primaries[status.Followed] = status.Server
		for _, p := range m.acked {
			held := p.Term > status.Followed || status.History.Contains(p)
			require.True(t, held, "primary of term %d does not hold %s", status.Followed, p)
		}
	}
	m.acknowledge(statuses)
}

// acknowledge records the last position of each server that a majority holds in a log of the same term. Because the
// statuses are requested one after the other, it can miss a position but not record a wrong one.
func (m *model) acknowledge(statuses []group.Status) {
	for _, candidate := range statuses {
		p := candidate.Last()
		holders := 0
		for _, status := range statuses {
			if status.Followed == p.Term && status.History.Contains(p) {
				holders++
			}
		}
		if holders >= 2 && !p.IsZero() {
			m.acked = append(m.acked, p)
		}
	}
}

// Guards against a sequence of fences, promotions and follows that loses a write held by a majority.
func TestModel(t *testing.T) {
	// With a fence that does not end replication, four rounds of 100 checks failed in 18 of 20 trials.
	const rounds = 4
	for range rounds {
		rapid.Check(t, checkModel)
	}
}

func checkModel(t *rapid.T) {
	m := newModel()
	defer m.stop()
	t.Repeat(map[string]func(*rapid.T){
		"elect":     m.elect,
		"promote":   m.promote,
		"follow":    m.follow,
		"write":     m.write,
		"partition": m.partition,
		"advance":   m.advance,
		"":          m.check,
	})
}
