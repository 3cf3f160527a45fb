package entry_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/standin/memory"
)

const (
	// sharedRate and sharedBurst are the limit of the organisation; the load is six times as much.
	sharedRate  = 20
	sharedBurst = 20
	// sharedSends is the number of statements that each keeper gets in one step of 100 ms.
	sharedSends = 4
	// maxJoined bounds the keepers that take the place of dead ones in one run.
	maxJoined = 3
	// sharedChecksDivisor makes the test run a twelfth of rapid's checks. A run takes about 0.4 s without -race.
	sharedChecksDivisor = 12
)

// sharedFaults is a group with watchers and callers, a fleet that follows the document, and keepers of a limit, in the
// time of one clock. A fault strikes all three where it can.
type sharedFaults struct {
	t         *bubbleFailure
	ctx       context.Context
	clock     *clock.Fake
	rng       *rand.Rand
	group     *groupFixture
	documents *documentFixture
	limits    *keepers

	isDown   bool
	isCutOff bool
	joined   int
	dead     string
	frozen   string

	mu sync.Mutex
	// withdrawn is the instant at which the withdrawal of key k1 was accepted.
	withdrawn   time.Duration
	isWithdrawn bool
}

// bubbleFailure carries a failed check out of a bubble to rapid.
type bubbleFailure struct {
	testing.TB
	mu   sync.Mutex
	text string
}

func (b *bubbleFailure) Errorf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text += fmt.Sprintf(format, args...)
}

func (b *bubbleFailure) FailNow() { panic(b) }
func (b *bubbleFailure) Helper()  {}

func startSharedFaults(ctx context.Context, t *bubbleFailure, seed uint64) *sharedFaults {
	timer := &clock.Fake{}
	return &sharedFaults{
		t: t, ctx: ctx, clock: timer, rng: rand.New(rand.NewPCG(seed, 2)),
		group:     newGroupFixture(ctx, newFakeCluster(t, timer, seed, 3), 3),
		documents: startDocumentFixture(ctx, t, timer, 2, 3),
		limits:    newKeepersAt(t, timer, 3, limited(1, sharedRate, sharedBurst), allotment.ByDemand{}),
	}
}

// run lets time pass under load, and checks the promises about documents and keys after each step.
func (s *sharedFaults) run(d time.Duration) {
	for end := s.clock.Now() + d; s.clock.Now() < end; {
		for _, m := range s.limits.members {
			for range sharedSends {
				s.limits.send(m, nyanza)
			}
		}
		s.group.run(fleetStep)
		s.documents.checkInvariants()
		s.checkKey()
	}
}

// checkKey requires that no instance admits the withdrawn key once its withdrawal is older than the limit.
func (s *sharedFaults) checkKey() {
	s.mu.Lock()
	isWithdrawn, at := s.isWithdrawn, s.withdrawn
	s.mu.Unlock()
	if !isWithdrawn || s.clock.Now()-at <= document.MaxStaleness {
		return
	}
	for name, i := range s.documents.instances {
		if i.isDead() {
			continue
		}
		_, err := i.authorizer(&recordingLimit{}).Authorize(s.ctx, entry.Credentials{Organisation: "acme", Key: "key-1", Route: "orders"})
		require.Error(s.t, err, "instance %s admits a key that was withdrawn at %s", name, at)
	}
}

// sharedFault is one kind of fault. Called again, it may take itself back.
type sharedFault struct {
	name   string
	strike func(s *sharedFaults)
}

var sharedFaultKinds = []sharedFault{
	{"store down or up", (*sharedFaults).toggleStore},
	{"answers lost", (*sharedFaults).loseAnswers},
	{"pause", (*sharedFaults).pause},
	{"death of an instance", (*sharedFaults).killInstance},
	{"death or return of a server", (*sharedFaults).killServer},
	{"server frozen or thawed", (*sharedFaults).freezeServer},
	{"data centre cut off", (*sharedFaults).cutDataCentre},
	{"server cut off", (*sharedFaults).cutServer},
	{"key withdrawn", (*sharedFaults).withdrawKey},
	{"racing edits", (*sharedFaults).raceEdits},
}

func (s *sharedFaults) toggleStore() { s.setStoreDown(!s.isDown) }

func (s *sharedFaults) setStoreDown(isDown bool) {
	s.isDown = isDown
	s.documents.storeDown(isDown)
	s.setCutOff(s.isCutOff)
	s.limits.setStoreDown(isDown)
	s.group.setStoreSilent(isDown)
}

func (s *sharedFaults) loseAnswers() {
	i := s.documents.instances[s.anyInstance()]
	i.set(func() { i.losePuts++ })
	s.anyKeeper().line.Change(toggled(memory.AllAnswers{}))
	s.group.storeConn.Change(toggled(memory.AlternateAnswers{}))
}

func (s *sharedFaults) pause() {
	s.anyKeeper().timer.pause()
	s.anyKeeper().timer.resume()
	name := s.group.watchers[s.rng.IntN(3)].name
	s.group.withLock(func() {
		if s.group.paused[name] == nil {
			s.group.pause(name)
		}
	})
	s.group.resume(s.group.watchers[s.rng.IntN(3)].name)
}

func (s *sharedFaults) killInstance() {
	s.documents.restart(s.anyInstance())
	if s.joined < maxJoined {
		s.joined++
		s.anyKeeper().kill()
		s.limits.join()
	}
}

// killServer kills a server or brings the dead one back, so that a majority lives.
func (s *sharedFaults) killServer() {
	if s.dead == "" {
		s.dead = s.anyServer()
		s.group.kill(s.dead)
		return
	}
	s.group.restart(s.dead, false)
	s.dead = ""
}

func (s *sharedFaults) freezeServer() {
	if s.frozen == "" {
		s.frozen = s.anyServer()
		s.group.freeze(s.frozen)
		return
	}
	s.group.thaw(s.frozen)
	s.frozen = ""
}

// cutDataCentre cuts one data centre off from the other and from the store, or ends the cut.
func (s *sharedFaults) cutDataCentre() { s.setCutOff(!s.isCutOff) }

func (s *sharedFaults) setCutOff(isCutOff bool) {
	s.isCutOff = isCutOff
	s.documents.cut("dc1", "dc2", isCutOff)
	s.documents.storeDown(isCutOff || s.isDown, "2a", "2b", "2c")
}

// cutServer cuts a server from the other servers, or one link, or ends all cuts of servers.
func (s *sharedFaults) cutServer() {
	server := s.anyServer()
	switch s.rng.IntN(3) {
	case 0:
		s.group.heal()
	case 1:
		for _, other := range s.group.names {
			s.group.cut(server, other, true)
		}
	default:
		peers := []string{s.group.watchers[s.rng.IntN(3)].name, "entry", s.anyServer()}
		s.group.cut(server, peers[s.rng.IntN(len(peers))], s.rng.IntN(2) == 0)
	}
}

func (s *sharedFaults) withdrawKey() {
	go s.edit(s.anyInstance(), entry.EditRequest{
		Edit: document.WithdrawKey{Organisation: "acme", KeyID: "k1"}, Author: "ana",
	})
}

// raceEdits starts two edits of the same revision at two instances.
func (s *sharedFaults) raceEdits() {
	for range 2 {
		name := s.anyInstance()
		request := setSeats(s.rng.IntN(100) + 1)
		request.BaseRevision = s.documents.instances[name].follower.Document().Revision
		go s.edit(name, request)
	}
}

// edit applies an edit. Two edits that are accepted as one revision fail the test.
func (s *sharedFaults) edit(name string, r entry.EditRequest) {
	s.documents.mu.Lock()
	i := s.documents.instances[name]
	s.documents.mu.Unlock()
	d, err := i.editor.Apply(s.ctx, r)
	if err != nil {
		return
	}
	now := s.clock.Now()
	s.documents.mu.Lock()
	_, isTaken := s.documents.accepted[d.Revision]
	s.documents.accepted[d.Revision] = now
	s.documents.mu.Unlock()
	if isTaken {
		s.t.Errorf("two edits were accepted as revision %d", d.Revision)
	}
	if _, ok := r.Edit.(document.WithdrawKey); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.isWithdrawn, s.withdrawn = true, now
	}
}

func (s *sharedFaults) anyInstance() string {
	return fmt.Sprintf("%d%c", s.rng.IntN(2)+1, 'a'+rune(s.rng.IntN(3)))
}

// anyServer returns the last primary every second time, because its failures matter most.
func (s *sharedFaults) anyServer() string {
	if s.rng.IntN(2) == 0 {
		return s.group.primaries[s.group.lastTerm()]
	}
	return s.group.names[s.rng.IntN(3)]
}

// toggled returns the change that begins or ends the loss of answers.
func toggled(loss memory.Loss) func(memory.Faults) memory.Faults {
	return func(f memory.Faults) memory.Faults {
		if f.LosesAnswers() {
			return f.WithLostAnswers(nil)
		}
		return f.WithLostAnswers(loss)
	}
}

func (s *sharedFaults) anyKeeper() *member {
	return s.limits.members[s.rng.IntN(len(s.limits.members))]
}

// heal takes every fault back.
func (s *sharedFaults) heal() {
	s.setStoreDown(false)
	s.setCutOff(false)
	s.group.heal()
	s.group.loseStoreAnswers(nil)
	for _, m := range s.limits.members {
		m.timer.resume()
	}
	for _, each := range s.group.watchers {
		s.group.resume(each.name)
	}
	if s.dead != "" {
		s.killServer()
	}
	if s.frozen != "" {
		s.freezeServer()
	}
}

// requirePromises requires what must hold once every fault has ended.
func (s *sharedFaults) requirePromises() {
	s.group.requireServing(10 * time.Second)
	s.group.requireDurable()
	requireNoOvershoot(s.t, s.limits, nyanza, sharedRate, sharedBurst)
	newest := s.documents.instances["1a"].follower.Document().Revision
	s.documents.requireState(newest, true)
	s.documents.mu.Lock()
	defer s.documents.mu.Unlock()
	for revision := range s.documents.accepted {
		require.LessOrEqual(s.t, revision, newest, "an accepted revision is in force")
	}
}

// Guards against a promise that holds under each failure alone and not under several: an acknowledged write that is
// lost, two primaries of a term, more statements than the limit, a document that reverts or is relied on too long, a
// withdrawn key that works on, and two edits that are both accepted as one revision.
func TestSharedFaults(t *testing.T) {
	runFewerChecks(t)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		kinds := rapid.SliceOfN(rapid.IntRange(0, len(sharedFaultKinds)-1), 6, 16).Draw(rt, "faults")
		var failure bubbleFailure
		synctest.Test(t, func(t *testing.T) {
			failure.TB = t
			runSharedFaults(t, &failure, seed, kinds)
		})
		if failure.text != "" {
			rt.Fatalf("seed %d: %s", seed, failure.text)
		}
	})
}

func runSharedFaults(t *testing.T, failure *bubbleFailure, seed uint64, kinds []int) {
	ctx, cancel := context.WithCancel(t.Context())
	s := startSharedFaults(ctx, failure, seed)
	defer synctest.Wait()
	defer cancel()
	defer s.limits.finish()
	defer s.documents.close()
	defer func() {
		if r := recover(); r != nil && r != any(failure) {
			panic(r)
		}
	}()
	stop := s.group.startClients(1)
	defer stop()
	s.run(settleTime)
	for _, kind := range kinds {
		sharedFaultKinds[kind].strike(s)
		go s.edit(s.anyInstance(), setSeats(s.rng.IntN(100)+1))
		s.run(time.Duration(s.rng.IntN(4000)) * time.Millisecond)
	}
	s.heal()
	s.run(2 * settleTime)
	s.requirePromises()
}

// runFewerChecks lets the test run a twelfth of rapid's checks, also of those that -rapid.checks asks for.
func runFewerChecks(t *testing.T) {
	t.Helper()
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	n, err := strconv.Atoi(before)
	require.NoError(t, err)
	require.NoError(t, checks.Value.Set(strconv.Itoa(max(n/sharedChecksDivisor, 1))))
	t.Cleanup(func() { require.NoError(t, checks.Value.Set(before)) })
}
