package entry_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	testGroup       = "formula-core"
	fakeLatency     = 1500 * time.Microsecond
	heartbeatPeriod = 100 * time.Millisecond
)

// logEntry is an entry in the log of a fake server. The first entry of each term has write 0.
type logEntry struct {
	term  group.Term
	write int
}

// serverState is the replication state of a fake server, including its log and the term that it has promised.
type serverState struct {
	name           string
	role           group.Role
	promised       group.Term
	candidate      string
	followed       group.Term
	primary        string
	log            []logEntry
	lastReplicated time.Duration
	completeAt     time.Duration
	ageKnown       bool
}

func (s *serverState) history() group.History {
	var starts []group.TermStart
	for i := 0; i < len(s.log); {
		term := s.log[i].term
		starts = append(starts, group.TermStart{Term: term, First: uint64(i + 1)})
		i += sort.Search(len(s.log)-i, func(n int) bool { return s.log[i+n].term > term })
	}
	return group.NewHistory(uint64(len(s.log)), starts...)
}

func (s *serverState) status(now time.Duration) group.Status {
	status := group.Status{
		Server: s.name, Role: s.role, Promised: s.promised, Candidate: s.candidate, Followed: s.followed,
		History: s.history(), AgeKnown: true,
	}
	if s.role == group.Replica {
		status.PrimarySilence, status.Age, status.AgeKnown = now-s.lastReplicated, now-s.completeAt, s.ageKnown
	}
	return status
}

func (s *serverState) fence(term group.Term, candidate string) bool {
	if term < s.promised || term == s.promised && candidate != s.candidate {
		return false
	}
	s.promised, s.candidate = term, candidate
	return true
}

func (s *serverState) promote(term group.Term, candidate string) bool {
	if s.promised != term || s.candidate != candidate {
		return false
	}
	if s.role == group.Primary && s.followed == term {
		return true
	}
	s.role, s.followed, s.primary = group.Primary, term, s.name
	s.log = append(s.log[:len(s.log):len(s.log)], logEntry{term: term})
	return true
}

func (s *serverState) follow(term group.Term, primary string) bool {
	if term < s.promised || s.role == group.Primary && s.followed == term {
		return false
	}
	if s.followed != term {
		s.candidate = ""
	}
	s.role, s.promised, s.followed, s.primary = group.Replica, term, term, primary
	return true
}

func (s *serverState) write(id int) (group.Position, bool) {
	if s.role != group.Primary || s.promised != s.followed {
		return group.Position{}, false
	}
	s.log = append(s.log, logEntry{term: s.followed, write: id})
	return group.Position{Term: s.followed, Offset: uint64(len(s.log))}, true
}

// replicate receives the primary's log. A server that has promised a later term ignores it.
func (s *serverState) replicate(term group.Term, from string, log []logEntry, sent, now time.Duration) {
	if s.role != group.Replica || s.followed != term || s.promised != term || s.primary != from {
		return
	}
	if len(log) >= len(s.log) || s.history().Last().Term != term {
		s.log = log
	}
	s.lastReplicated, s.completeAt, s.ageKnown = now, sent, true
}

// heldWrites returns the set of writes in the log.
func (s *serverState) heldWrites() map[int]bool {
	held := make(map[int]bool, len(s.log))
	for _, e := range s.log {
		held[e.write] = true
	}
	return held
}

// fakeServer is a server on the fake network.
type fakeServer struct {
	serverState
	dead       bool
	frozen     bool
	pending    []func()
	waiting    map[int]func() bool
	nextWaitID int
}

// fakeCluster is a fake group of servers on a fake network, driven by a clock.Fake. Its tests run in a synctest bubble, so
// that time advances only while all goroutines are blocked.
type fakeCluster struct {
	t     testing.TB
	timer *clock.Fake
	mu    sync.Mutex
	seed  uint64
	// rng is used only by the test's goroutine. Each network link has its own generator in latencyRNGs, so that a seed
	// gives the same run regardless of the order in which goroutines wake up.
	rng         *rand.Rand
	latencyRNGs map[[2]string]*rand.Rand
	names       []string
	servers     map[string]*fakeServer
	blocked     map[[2]string]bool
	lag         map[string]time.Duration
	// paused contains the messages that each paused instance has yet to send.
	paused map[string]*[]func()
	// onFence is called after a server has accepted a fence.
	onFence func(from string, term group.Term, s *fakeServer)
	// primaries contains the primary of each term.
	primaries map[group.Term]string
	onElected []func(term group.Term, s *fakeServer)
	// fenceSent is when the first fence was sent, and electedAt when the last primary was promoted.
	fenceSent time.Duration
	electedAt time.Duration
}

func newFakeCluster(t testing.TB, timer *clock.Fake, seed uint64, servers int) *fakeCluster {
	cl := &fakeCluster{
		t: t, timer: timer, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), latencyRNGs: map[[2]string]*rand.Rand{}, servers: map[string]*fakeServer{},
		blocked: map[[2]string]bool{}, paused: map[string]*[]func(){}, lag: map[string]time.Duration{}, primaries: map[group.Term]string{},
	}
	for i := range servers {
		name := fmt.Sprintf("s%d", i)
		state := serverState{name: name, role: group.Replica, promised: 1, followed: 1, primary: "s0", log: []logEntry{{term: 1}}}
		if i == 0 {
			state.role = group.Primary
		}
		cl.names = append(cl.names, name)
		cl.servers[name] = &fakeServer{serverState: state, waiting: map[int]func() bool{}}
		offset := time.Duration(cl.rng.Int64N(int64(heartbeatPeriod)))
		cl.timer.After(offset, func(time.Duration) {
			cl.timer.Every(heartbeatPeriod, func(time.Duration) { cl.heartbeat(name) })
		})
	}
	cl.primaries[1] = "s0"
	return cl
}

func (cl *fakeCluster) members() []group.Member {
	var members []group.Member
	for i, name := range cl.names {
		members = append(members, group.Member{Name: name, Address: name, DataCentre: fmt.Sprintf("dc%d", i)})
	}
	return members
}

// run advances the clock by d, one timer at a time. Before each step it waits until all goroutines are blocked.
func (cl *fakeCluster) run(d time.Duration) {
	end := cl.timer.Now() + d
	for {
		synctest.Wait()
		next, ok := cl.timer.NextDeadline()
		if !ok || next > end {
			break
		}
		cl.timer.Advance(max(next-cl.timer.Now(), 0))
	}
	cl.timer.Advance(end - cl.timer.Now())
	synctest.Wait()
}

// runUntil advances the clock one timer at a time until condition is true. It fails the test after limit.
func (cl *fakeCluster) runUntil(limit time.Duration, what string, condition func() bool) {
	cl.t.Helper()
	end := cl.timer.Now() + limit
	for !condition() {
		next, ok := cl.timer.NextDeadline()
		if !ok || next > end {
			require.Failf(cl.t, "not reached", "%s within %s", what, limit)
		}
		cl.timer.Advance(max(next-cl.timer.Now(), 0))
		synctest.Wait()
	}
}

func (cl *fakeCluster) withLock(f func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	f()
}

func (cl *fakeCluster) cut(a, b string, both bool) {
	cl.withLock(func() {
		cl.blocked[[2]string{a, b}] = true
		cl.blocked[[2]string{b, a}] = both || cl.blocked[[2]string{b, a}]
	})
}

func (cl *fakeCluster) heal() { cl.withLock(func() { clear(cl.blocked) }) }

func (cl *fakeCluster) kill(name string) { cl.withLock(func() { cl.servers[name].dead = true }) }

func (cl *fakeCluster) freeze(name string) { cl.withLock(func() { cl.servers[name].frozen = true }) }

func (cl *fakeCluster) thaw(name string) {
	cl.withLock(func() {
		s := cl.servers[name]
		s.frozen = false
		backlog := s.pending
		s.pending = nil
		for _, f := range backlog {
			f()
		}
	})
}

// restart restarts a dead server as a replica. If empty is true, its log is lost.
func (cl *fakeCluster) restart(name string, empty bool) {
	cl.withLock(func() {
		s := cl.servers[name]
		s.dead, s.role, s.primary, s.lastReplicated, s.ageKnown = false, group.Replica, "", cl.timer.Now(), false
		if empty {
			s.serverState = serverState{name: name, role: group.Replica, lastReplicated: cl.timer.Now()}
		}
	})
}

// pause delays everything that the instance sends until resume. The caller must hold the lock.
func (cl *fakeCluster) pause(from string) { cl.paused[from] = &[]func(){} }

func (cl *fakeCluster) resume(from string) {
	cl.withLock(func() {
		held := cl.paused[from]
		delete(cl.paused, from)
		if held == nil {
			return
		}
		for _, f := range *held {
			f()
		}
	})
}

func (cl *fakeCluster) latency(from, to string) time.Duration {
	key := [2]string{from, to}
	rng, ok := cl.latencyRNGs[key]
	if !ok {
		rng = rand.New(rand.NewPCG(cl.seed, xxhash.Sum64String(from+" "+to)))
		cl.latencyRNGs[key] = rng
	}
	return fakeLatency + time.Duration(rng.Int64N(int64(200*time.Microsecond)))
}

// send runs f at the server after the network latency, unless the link is cut or the server is dead.
func (cl *fakeCluster) send(from, to string, extra time.Duration, f func(s *fakeServer), lost func()) {
	if held, ok := cl.paused[from]; ok {
		*held = append(*held, func() { cl.send(from, to, extra, f, lost) })
		return
	}
	cl.timer.After(cl.latency(from, to)+extra, func(time.Duration) {
		cl.withLock(func() { cl.deliver(from, to, f, lost) })
	})
}

func (cl *fakeCluster) deliver(from, to string, f func(s *fakeServer), lost func()) {
	s := cl.servers[to]
	switch {
	case cl.blocked[[2]string{from, to}]:
	case s.dead:
		if lost != nil {
			lost()
		}
	case s.frozen:
		s.pending = append(s.pending, func() { f(s); cl.answerWaiting(s) })
	default:
		f(s)
		cl.answerWaiting(s)
	}
}

// answerWaiting answers the status requests at the server whose position has been reached.
func (cl *fakeCluster) answerWaiting(s *fakeServer) {
	for id, answer := range s.waiting {
		if answer() {
			delete(s.waiting, id)
		}
	}
}

func (cl *fakeCluster) heartbeat(name string) {
	cl.withLock(func() {
		if s := cl.servers[name]; !s.dead && !s.frozen {
			cl.sendLog(s)
		}
	})
}

// sendLog sends the primary's log to every other server.
func (cl *fakeCluster) sendLog(s *fakeServer) {
	if s.role != group.Primary || s.promised != s.followed {
		return
	}
	term, log, sent := s.followed, s.log[:len(s.log):len(s.log)], cl.timer.Now()
	for _, name := range cl.names {
		if name != s.name {
			cl.send(s.name, name, cl.lag[name], func(r *fakeServer) {
				r.replicate(term, s.name, log, sent, cl.timer.Now())
			}, nil)
		}
	}
}

// write appends a write at the server, as a client's commit does, and returns its position.
func (cl *fakeCluster) write(server string, id int) (group.Position, bool) {
	var p group.Position
	var ok bool
	cl.withLock(func() {
		s := cl.servers[server]
		if s.dead || s.frozen {
			return
		}
		if p, ok = s.write(id); ok {
			cl.sendLog(s)
			cl.answerWaiting(s)
		}
	})
	return p, ok
}

// fakeServerConn is a port.Server that reaches a fakeServer through the fake network.
type fakeServerConn struct {
	cluster *fakeCluster
	from    string
	to      string
}

func (cl *fakeCluster) connect(from string) func(group.Member) port.Server {
	return func(m group.Member) port.Server { return fakeServerConn{cluster: cl, from: from, to: m.Address} }
}

type fakeResponse struct {
	status group.Status
	err    error
}

func (c fakeServerConn) call(ctx context.Context, f func(s *fakeServer, answer func(error))) (group.Status, error) {
	answers := ring.New[fakeResponse](1)
	back := func(a fakeResponse) {
		c.cluster.timer.After(c.cluster.latency(c.to, c.from), func(time.Duration) {
			c.cluster.withLock(func() {
				if !c.cluster.blocked[[2]string{c.to, c.from}] {
					answers.TryPut(a)
				}
			})
		})
	}
	deliver := func(s *fakeServer) {
		f(s, func(err error) { back(fakeResponse{s.status(c.cluster.timer.Now()), err}) })
	}
	refused := func() { back(fakeResponse{err: port.Errorf(port.Unavailable, "server %q is down", c.to)}) }
	c.cluster.withLock(func() { c.cluster.send(c.from, c.to, 0, deliver, refused) })
	a, err := answers.Take(ctx)
	if err != nil {
		return group.Status{}, port.Wrapf(err, port.Unavailable, "server %q does not answer", c.to)
	}
	return a.status, a.err
}

func conflictUnless(ok bool) error {
	if ok {
		return nil
	}
	return port.Errorf(port.Conflict, "a later term is promised")
}

func (c fakeServerConn) Status(ctx context.Context, await group.Position, maxWait time.Duration) (group.Status, error) {
	return c.call(ctx, func(s *fakeServer, answer func(error)) {
		ready := func() bool {
			if !await.IsZero() && !s.history().Contains(await) && s.followed <= await.Term {
				return false
			}
			answer(nil)
			return true
		}
		if ready() {
			return
		}
		s.nextWaitID++
		id := s.nextWaitID
		s.waiting[id] = ready
		c.cluster.timer.After(maxWait, func(time.Duration) {
			c.cluster.withLock(func() {
				if _, ok := s.waiting[id]; ok && !s.frozen && !s.dead {
					delete(s.waiting, id)
					answer(nil)
				}
			})
		})
	})
}

func (c fakeServerConn) Fence(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	c.cluster.withLock(func() { c.cluster.fenceSent = cmp.Or(c.cluster.fenceSent, c.cluster.timer.Now()) })
	return c.call(ctx, func(s *fakeServer, answer func(error)) {
		ok := s.fence(term, candidate)
		answer(conflictUnless(ok))
		if ok && c.cluster.onFence != nil {
			c.cluster.onFence(c.from, term, s)
		}
	})
}

func (c fakeServerConn) Promote(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	return c.call(ctx, func(s *fakeServer, answer func(error)) {
		ok := s.promote(term, candidate)
		if ok {
			c.cluster.promoted(term, s)
		}
		answer(conflictUnless(ok))
	})
}

func (c fakeServerConn) Follow(ctx context.Context, term group.Term, primary string) (group.Status, error) {
	return c.call(ctx, func(s *fakeServer, answer func(error)) { answer(conflictUnless(s.follow(term, primary))) })
}

// promoted records the primary of a term. It fails the test if a term has two primaries.
func (cl *fakeCluster) promoted(term group.Term, s *fakeServer) {
	if other, ok := cl.primaries[term]; ok && other != s.name {
		cl.t.Errorf("term %d has two primaries, %s and %s", term, other, s.name)
	}
	if _, ok := cl.primaries[term]; !ok {
		cl.primaries[term] = s.name
		cl.electedAt = cl.timer.Now()
		for _, f := range cl.onElected {
			f(term, s)
		}
	}
	cl.sendLog(s)
}
