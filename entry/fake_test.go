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

// logEntry is one entry of a fake server's log. A write of zero is the first entry of a term.
type logEntry struct {
	term  group.Term
	write int
}

// serverState is the part of a fake server that survives every message: its log and its promise.
type serverState struct {
	name      string
	role      group.Role
	promised  group.Term
	candidate string
	followed  group.Term
	primary   string
	log       []logEntry
	heard     time.Duration
	complete  time.Duration
	ageKnown  bool
}

func (s *serverState) history() group.History {
	var eras []group.TermStart
	for i := 0; i < len(s.log); {
		term := s.log[i].term
		eras = append(eras, group.TermStart{Term: term, First: uint64(i + 1)})
		i += sort.Search(len(s.log)-i, func(n int) bool { return s.log[i+n].term > term })
	}
	return group.NewHistory(uint64(len(s.log)), eras...)
}

func (s *serverState) status(now time.Duration) group.Status {
	status := group.Status{
		Server: s.name, Role: s.role, Promised: s.promised, Candidate: s.candidate, Followed: s.followed,
		History: s.history(), AgeKnown: true,
	}
	if s.role == group.Replica {
		status.PrimarySilence, status.Age, status.AgeKnown = now-s.heard, now-s.complete, s.ageKnown
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

// replicate takes the primary's log. A server that has promised a later term takes nothing.
func (s *serverState) replicate(term group.Term, from string, log []logEntry, sent, now time.Duration) {
	if s.role != group.Replica || s.followed != term || s.promised != term || s.primary != from {
		return
	}
	if len(log) >= len(s.log) || s.history().Last().Term != term {
		s.log = log
	}
	s.heard, s.complete, s.ageKnown = now, sent, true
}

// held returns the writes that the log contains.
func (s *serverState) held() map[int]bool {
	held := make(map[int]bool, len(s.log))
	for _, e := range s.log {
		held[e.write] = true
	}
	return held
}

// fakeServer is a server on the fake network.
type fakeServer struct {
	serverState
	dead    bool
	frozen  bool
	backlog []func()
	waiting map[int]func() bool
	waits   int
}

// fakeCluster is a fake group on a network whose time is a clock.Fake. Its tests run in a synctest bubble, so that time moves
// only when every goroutine waits.
type fakeCluster struct {
	t     testing.TB
	timer *clock.Fake
	mu    sync.Mutex
	seed  uint64
	// rng is for the test's own goroutine; each link draws from its own, so that the order in which goroutines wake does
	// not change what a seed does.
	rng   *rand.Rand
	links map[[2]string]*rand.Rand
	names []string
	nodes map[string]*fakeServer
	cuts  map[[2]string]bool
	lag   map[string]time.Duration
	// paused holds what a paused instance would have sent.
	paused map[string]*[]func()
	// onFence is called after a server accepted a fence.
	onFence func(from string, term group.Term, s *fakeServer)
	// primaries holds the server of each term that was ever primary, with its log at that instant.
	primaries map[group.Term]string
	elected   []func(term group.Term, s *fakeServer)
	// fenceSent and electedAt are the instants of the first fence and of the last primary.
	fenceSent time.Duration
	electedAt time.Duration
}

func newFakeCluster(t testing.TB, timer *clock.Fake, seed uint64, servers int) *fakeCluster {
	w := &fakeCluster{
		t: t, timer: timer, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), links: map[[2]string]*rand.Rand{}, nodes: map[string]*fakeServer{},
		cuts: map[[2]string]bool{}, paused: map[string]*[]func(){}, lag: map[string]time.Duration{}, primaries: map[group.Term]string{},
	}
	for i := range servers {
		name := fmt.Sprintf("s%d", i)
		state := serverState{name: name, role: group.Replica, promised: 1, followed: 1, primary: "s0", log: []logEntry{{term: 1}}}
		if i == 0 {
			state.role = group.Primary
		}
		w.names = append(w.names, name)
		w.nodes[name] = &fakeServer{serverState: state, waiting: map[int]func() bool{}}
		offset := time.Duration(w.rng.Int64N(int64(heartbeatPeriod)))
		w.timer.After(offset, func(time.Duration) {
			w.timer.Every(heartbeatPeriod, func(time.Duration) { w.heartbeat(name) })
		})
	}
	w.primaries[1] = "s0"
	return w
}

func (w *fakeCluster) members() []group.Member {
	var members []group.Member
	for i, name := range w.names {
		members = append(members, group.Member{Name: name, Address: name, DataCentre: fmt.Sprintf("dc%d", i)})
	}
	return members
}

// run moves time by d. Between two instants it waits until every goroutine waits.
func (w *fakeCluster) run(d time.Duration) {
	end := w.timer.Now() + d
	for {
		synctest.Wait()
		next, ok := w.timer.Next()
		if !ok || next > end {
			break
		}
		w.timer.Advance(max(next-w.timer.Now(), 0))
	}
	w.timer.Advance(end - w.timer.Now())
	synctest.Wait()
}

// runUntil moves time in small steps until holds, and fails the test after limit.
func (w *fakeCluster) runUntil(limit time.Duration, what string, holds func() bool) {
	w.t.Helper()
	end := w.timer.Now() + limit
	for !holds() {
		next, ok := w.timer.Next()
		if !ok || next > end {
			require.Failf(w.t, "not reached", "%s within %s", what, limit)
		}
		w.timer.Advance(max(next-w.timer.Now(), 0))
		synctest.Wait()
	}
}

func (w *fakeCluster) withLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *fakeCluster) cut(a, b string, both bool) {
	w.withLock(func() {
		w.cuts[[2]string{a, b}] = true
		w.cuts[[2]string{b, a}] = both || w.cuts[[2]string{b, a}]
	})
}

func (w *fakeCluster) heal() { w.withLock(func() { clear(w.cuts) }) }

func (w *fakeCluster) kill(name string) { w.withLock(func() { w.nodes[name].dead = true }) }

func (w *fakeCluster) freeze(name string) { w.withLock(func() { w.nodes[name].frozen = true }) }

func (w *fakeCluster) thaw(name string) {
	w.withLock(func() {
		s := w.nodes[name]
		s.frozen = false
		backlog := s.backlog
		s.backlog = nil
		for _, f := range backlog {
			f()
		}
	})
}

// restart brings a dead server back as a replica, without its log when empty is true.
func (w *fakeCluster) restart(name string, empty bool) {
	w.withLock(func() {
		s := w.nodes[name]
		s.dead, s.role, s.primary, s.heard, s.ageKnown = false, group.Replica, "", w.timer.Now(), false
		if empty {
			s.serverState = serverState{name: name, role: group.Replica, heard: w.timer.Now()}
		}
	})
}

// pause holds all that the instance sends until resume. It runs with the lock held.
func (w *fakeCluster) pause(from string) { w.paused[from] = &[]func(){} }

func (w *fakeCluster) resume(from string) {
	w.withLock(func() {
		held := w.paused[from]
		delete(w.paused, from)
		if held == nil {
			return
		}
		for _, f := range *held {
			f()
		}
	})
}

func (w *fakeCluster) latency(from, to string) time.Duration {
	key := [2]string{from, to}
	rng, ok := w.links[key]
	if !ok {
		rng = rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(from+" "+to)))
		w.links[key] = rng
	}
	return fakeLatency + time.Duration(rng.Int64N(int64(200*time.Microsecond)))
}

// send runs f at the server after the latency, unless the link is cut or the server dead.
func (w *fakeCluster) send(from, to string, extra time.Duration, f func(s *fakeServer), lost func()) {
	if held, ok := w.paused[from]; ok {
		*held = append(*held, func() { w.send(from, to, extra, f, lost) })
		return
	}
	w.timer.After(w.latency(from, to)+extra, func(time.Duration) {
		w.withLock(func() { w.deliver(from, to, f, lost) })
	})
}

func (w *fakeCluster) deliver(from, to string, f func(s *fakeServer), lost func()) {
	s := w.nodes[to]
	switch {
	case w.cuts[[2]string{from, to}]:
	case s.dead:
		if lost != nil {
			lost()
		}
	case s.frozen:
		s.backlog = append(s.backlog, func() { f(s); w.changed(s) })
	default:
		f(s)
		w.changed(s)
	}
}

// changed answers the questions that wait for a position at the server.
func (w *fakeCluster) changed(s *fakeServer) {
	for id, answer := range s.waiting {
		if answer() {
			delete(s.waiting, id)
		}
	}
}

func (w *fakeCluster) heartbeat(name string) {
	w.withLock(func() {
		if s := w.nodes[name]; !s.dead && !s.frozen {
			w.spread(s)
		}
	})
}

// spread sends the primary's log to every other server.
func (w *fakeCluster) spread(s *fakeServer) {
	if s.role != group.Primary || s.promised != s.followed {
		return
	}
	term, log, sent := s.followed, s.log[:len(s.log):len(s.log)], w.timer.Now()
	for _, name := range w.names {
		if name != s.name {
			w.send(s.name, name, w.lag[name], func(r *fakeServer) {
				r.replicate(term, s.name, log, sent, w.timer.Now())
			}, nil)
		}
	}
}

// write appends a write at the server and reports its position, as a caller's commit does.
func (w *fakeCluster) write(server string, id int) (group.Position, bool) {
	var p group.Position
	var ok bool
	w.withLock(func() {
		s := w.nodes[server]
		if s.dead || s.frozen {
			return
		}
		if p, ok = s.write(id); ok {
			w.spread(s)
			w.changed(s)
		}
	})
	return p, ok
}

// link is a port.Server over the fake network.
type link struct {
	w    *fakeCluster
	from string
	to   string
}

func (w *fakeCluster) connect(from string) func(group.Member) port.Server {
	return func(m group.Member) port.Server { return link{w: w, from: from, to: m.Address} }
}

type linkAnswer struct {
	status group.Status
	err    error
}

func (l link) call(ctx context.Context, f func(s *fakeServer, answer func(error))) (group.Status, error) {
	answers := ring.New[linkAnswer](1)
	back := func(a linkAnswer) {
		l.w.timer.After(l.w.latency(l.to, l.from), func(time.Duration) {
			l.w.withLock(func() {
				if !l.w.cuts[[2]string{l.to, l.from}] {
					answers.TryPut(a)
				}
			})
		})
	}
	deliver := func(s *fakeServer) {
		f(s, func(err error) { back(linkAnswer{s.status(l.w.timer.Now()), err}) })
	}
	refused := func() { back(linkAnswer{err: port.Errorf(port.Unavailable, "server %q is down", l.to)}) }
	l.w.withLock(func() { l.w.send(l.from, l.to, 0, deliver, refused) })
	a, err := answers.Take(ctx)
	if err != nil {
		return group.Status{}, port.Wrapf(err, port.Unavailable, "server %q does not answer", l.to)
	}
	return a.status, a.err
}

func refusal(ok bool) error {
	if ok {
		return nil
	}
	return port.Errorf(port.Conflict, "a later term is promised")
}

func (l link) Status(ctx context.Context, await group.Position, maxWait time.Duration) (group.Status, error) {
	return l.call(ctx, func(s *fakeServer, answer func(error)) {
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
		s.waits++
		id := s.waits
		s.waiting[id] = ready
		l.w.timer.After(maxWait, func(time.Duration) {
			l.w.withLock(func() {
				if _, ok := s.waiting[id]; ok && !s.frozen && !s.dead {
					delete(s.waiting, id)
					answer(nil)
				}
			})
		})
	})
}

func (l link) Fence(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	l.w.withLock(func() { l.w.fenceSent = cmp.Or(l.w.fenceSent, l.w.timer.Now()) })
	return l.call(ctx, func(s *fakeServer, answer func(error)) {
		ok := s.fence(term, candidate)
		answer(refusal(ok))
		if ok && l.w.onFence != nil {
			l.w.onFence(l.from, term, s)
		}
	})
}

func (l link) Promote(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	return l.call(ctx, func(s *fakeServer, answer func(error)) {
		ok := s.promote(term, candidate)
		if ok {
			l.w.promoted(term, s)
		}
		answer(refusal(ok))
	})
}

func (l link) Follow(ctx context.Context, term group.Term, primary string) (group.Status, error) {
	return l.call(ctx, func(s *fakeServer, answer func(error)) { answer(refusal(s.follow(term, primary))) })
}

// promoted records the primary of a term. Two primaries of one term fail the test.
func (w *fakeCluster) promoted(term group.Term, s *fakeServer) {
	if other, ok := w.primaries[term]; ok && other != s.name {
		w.t.Errorf("term %d has two primaries, %s and %s", term, other, s.name)
	}
	if _, ok := w.primaries[term]; !ok {
		w.primaries[term] = s.name
		w.electedAt = w.timer.Now()
		for _, f := range w.elected {
			f(term, s)
		}
	}
	w.spread(s)
}
