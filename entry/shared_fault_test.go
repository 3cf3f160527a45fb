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
	// sharedRate and sharedBurst are the limit of the organisation. The load is six times the rate.
	sharedRate  = 20
	sharedBurst = 20
	// sharedStatementsPerStep is the number of statements that each limit manager gets in a step of 100 ms.
	sharedStatementsPerStep = 4
	// maxReplaced bounds the limit managers that replace dead ones in one run.
	maxReplaced = 3
	// sharedChecksDivisor reduces the number of rapid's checks, because one takes about 0.4 s without -race.
	sharedChecksDivisor = 12
)

// sharedFaults runs a server group with watchers and clients, instances that follow the document, and limit managers, all
// with one fake clock. A fault applies to each of the three where possible.
type sharedFaults struct {
	t         *recordingTB
	ctx       context.Context
	clock     *clock.Fake
	rng       *rand.Rand
	group     *groupFixture
	documents *documentFixture
	limits    *limitCluster

	isDown       bool
	isCutOff     bool
	replaced     int
	deadServer   string
	frozenServer string

	mu sync.Mutex
	// withdrawn is the instant at which the withdrawal of the key was accepted.
	withdrawn   time.Duration
	isWithdrawn bool
}

// recordingTB records a failure inside a synctest bubble, so that it can be reported to rapid outside.
type recordingTB struct {
	testing.TB
	mu   sync.Mutex
	text string
}

func (b *recordingTB) Errorf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text += fmt.Sprintf(format, args...)
}

func (b *recordingTB) FailNow() { panic(b) }
func (b *recordingTB) Helper()  {}

func newSharedFaults(ctx context.Context, t *recordingTB, seed uint64) *sharedFaults {
	timer := &clock.Fake{}
	return &sharedFaults{
		t: t, ctx: ctx, clock: timer, rng: rand.New(rand.NewPCG(seed, 2)),
		group:     newGroupFixture(ctx, newFakeCluster(t, timer, seed, 3), 3),
		documents: startDocumentFixture(ctx, t, timer, 2, 3),
		limits:    newLimitClusterWithClock(t, timer, 3, organisationDocument(1, sharedRate, sharedBurst), allotment.ByDemand{}),
	}
}

// run advances the clock by d under load, and checks the documents and the withdrawn key after each step.
func (s *sharedFaults) run(d time.Duration) {
	for end := s.clock.Now() + d; s.clock.Now() < end; {
		for _, member := range s.limits.members {
			for range sharedStatementsPerStep {
				s.limits.send(member, rateLimitName)
			}
		}
		s.group.run(fleetStep)
		s.documents.checkInvariants()
		s.checkKey()
	}
}

// checkKey requires that no instance admits the withdrawn key once the withdrawal is older than MaxStaleness.
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

// sharedFault is one kind of fault. toggle starts it; for some kinds a second call ends it.
type sharedFault struct {
	name   string
	toggle func(s *sharedFaults)
}

var sharedFaultKinds = []sharedFault{
	{"store stops or restarts", (*sharedFaults).toggleStore},
	{"store answers are lost", (*sharedFaults).loseAnswers},
	{"instance pauses or resumes", (*sharedFaults).pause},
	{"instance dies", (*sharedFaults).killInstance},
	{"server dies or restarts", (*sharedFaults).killServer},
	{"server hangs or resumes", (*sharedFaults).freezeServer},
	{"data centre is cut off or reconnected", (*sharedFaults).cutDataCentre},
	{"server is cut off or reconnected", (*sharedFaults).cutServer},
	{"key is withdrawn", (*sharedFaults).withdrawKey},
	{"concurrent edits", (*sharedFaults).raceEdits},
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
	i := s.documents.instances[s.randomInstance()]
	i.set(func() { i.losePuts++ })
	s.randomMember().line.UpdateFaults(toggled(memory.AllResponses{}))
	s.group.storeConn.UpdateFaults(toggled(memory.AlternateResponses{}))
}

func (s *sharedFaults) pause() {
	s.randomMember().timer.pause()
	s.randomMember().timer.resume()
	name := s.group.watchers[s.rng.IntN(3)].name
	s.group.withLock(func() {
		if s.group.paused[name] == nil {
			s.group.pause(name)
		}
	})
	s.group.resume(s.group.watchers[s.rng.IntN(3)].name)
}

func (s *sharedFaults) killInstance() {
	s.documents.restart(s.randomInstance())
	if s.replaced < maxReplaced {
		s.replaced++
		s.randomMember().kill()
		s.limits.addMember()
	}
}

// killServer kills a server or restarts the dead one. At most one is dead, so that a majority is available.
func (s *sharedFaults) killServer() {
	if s.deadServer == "" {
		s.deadServer = s.randomServer()
		s.group.kill(s.deadServer)
		return
	}
	s.group.restart(s.deadServer, false)
	s.deadServer = ""
}

func (s *sharedFaults) freezeServer() {
	if s.frozenServer == "" {
		s.frozenServer = s.randomServer()
		s.group.freeze(s.frozenServer)
		return
	}
	s.group.thaw(s.frozenServer)
	s.frozenServer = ""
}

// cutDataCentre cuts one data centre off from the other and from the store, or reconnects it.
func (s *sharedFaults) cutDataCentre() { s.setCutOff(!s.isCutOff) }

func (s *sharedFaults) setCutOff(isCutOff bool) {
	s.isCutOff = isCutOff
	s.documents.cut("dc1", "dc2", isCutOff)
	s.documents.storeDown(isCutOff || s.isDown, "2a", "2b", "2c")
}

// cutServer reconnects all servers, or cuts a server off from the other servers, or cuts one link.
func (s *sharedFaults) cutServer() {
	server := s.randomServer()
	switch s.rng.IntN(3) {
	case 0:
		s.group.heal()
	case 1:
		for _, other := range s.group.names {
			s.group.cut(server, other, true)
		}
	default:
		peers := []string{s.group.watchers[s.rng.IntN(3)].name, "entry", s.randomServer()}
		s.group.cut(server, peers[s.rng.IntN(len(peers))], s.rng.IntN(2) == 0)
	}
}

func (s *sharedFaults) withdrawKey() {
	go s.edit(s.randomInstance(), entry.EditRequest{
		Edit: document.WithdrawKey{Organisation: "acme", KeyID: "k1"}, Author: "ana",
	})
}

// raceEdits starts two concurrent edits, each based on the revision that its instance knows.
func (s *sharedFaults) raceEdits() {
	for range 2 {
		name := s.randomInstance()
		request := setMaxFallbackHolders(s.rng.IntN(100) + 1)
		request.BaseRevision = s.documents.instances[name].follower.Document().Revision
		go s.edit(name, request)
	}
}

// edit applies an edit. The test fails if two edits are accepted as the same revision.
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

func (s *sharedFaults) randomInstance() string {
	return fmt.Sprintf("%d%c", s.rng.IntN(2)+1, 'a'+rune(s.rng.IntN(3)))
}

// randomServer returns the last primary half of the time, because its failures have the greatest effect.
func (s *sharedFaults) randomServer() string {
	if s.rng.IntN(2) == 0 {
		return s.group.primaries[s.group.lastTerm()]
	}
	return s.group.names[s.rng.IntN(3)]
}

// toggled returns a change that starts or ends the loss of answers.
func toggled(loss memory.ResponseLoss) func(memory.Faults) memory.Faults {
	return func(f memory.Faults) memory.Faults {
		if f.LosesResponses() {
			return f.WithLostResponses(nil)
		}
		return f.WithLostResponses(loss)
	}
}

func (s *sharedFaults) randomMember() *member {
	return s.limits.members[s.rng.IntN(len(s.limits.members))]
}

// heal ends all faults.
func (s *sharedFaults) heal() {
	s.setStoreDown(false)
	s.setCutOff(false)
	s.group.heal()
	s.group.loseStoreAnswers(nil)
	for _, m := range s.limits.members {
		m.timer.resume()
	}
	for _, watcher := range s.group.watchers {
		s.group.resume(watcher.name)
	}
	if s.deadServer != "" {
		s.killServer()
	}
	if s.frozenServer != "" {
		s.freezeServer()
	}
}

// requireGuarantees requires what must hold after all faults have ended.
func (s *sharedFaults) requireGuarantees() {
	s.group.requireServing(10 * time.Second)
	s.group.requireDurable()
	requireNoOvershoot(s.t, s.limits, rateLimitName, sharedRate, sharedBurst)
	newest := s.documents.instances["1a"].follower.Document().Revision
	s.documents.requireState(newest, true)
	s.documents.mu.Lock()
	defer s.documents.mu.Unlock()
	for revision := range s.documents.accepted {
		require.LessOrEqual(s.t, revision, newest, "accepted revision is newer than the one in force")
	}
}

// Guards against a guarantee that holds under each kind of fault alone but not under a combination: an acknowledged write is
// lost, a term has two primaries, more statements are admitted than the limit allows, a document reverts or is used when too
// old, a withdrawn key still works, or two edits are accepted as the same revision.
func TestSharedFaults(t *testing.T) {
	reduceChecks(t)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		kinds := rapid.SliceOfN(rapid.IntRange(0, len(sharedFaultKinds)-1), 6, 16).Draw(rt, "faults")
		var failure recordingTB
		synctest.Test(t, func(t *testing.T) {
			failure.TB = t
			runSharedFaults(t, &failure, seed, kinds)
		})
		if failure.text != "" {
			rt.Fatalf("seed %d: %s", seed, failure.text)
		}
	})
}

func runSharedFaults(t *testing.T, failure *recordingTB, seed uint64, kinds []int) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newSharedFaults(ctx, failure, seed)
	defer synctest.Wait()
	defer cancel()
	defer s.limits.stopAll()
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
		sharedFaultKinds[kind].toggle(s)
		go s.edit(s.randomInstance(), setMaxFallbackHolders(s.rng.IntN(100)+1))
		s.run(time.Duration(s.rng.IntN(4000)) * time.Millisecond)
	}
	s.heal()
	s.run(2 * settleTime)
	s.requireGuarantees()
}

// reduceChecks divides the number of rapid's checks by sharedChecksDivisor, including a number set with -rapid.checks.
func reduceChecks(t *testing.T) {
	t.Helper()
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	n, err := strconv.Atoi(before)
	require.NoError(t, err)
	require.NoError(t, checks.Value.Set(strconv.Itoa(max(n/sharedChecksDivisor, 1))))
	t.Cleanup(func() { require.NoError(t, checks.Value.Set(before)) })
}
