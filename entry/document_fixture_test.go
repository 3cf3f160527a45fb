package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

const fleetStep = 100 * time.Millisecond

// documentFixture has a store and instances that follow the document, on one fake clock. After each step it checks that no
// instance reverts to an earlier revision, and that none considers a document fresh that was replaced longer ago than the
// limit.
type documentFixture struct {
	t     require.TestingT
	clock *clock.Fake
	ctx   context.Context

	mu        sync.Mutex
	objects   map[string]port.Object
	changed   chan struct{}
	listed    []instance.Instance
	cuts      map[[2]string]bool
	instances map[string]*documentInstance
	accepted  map[document.Revision]time.Duration
	lastSeen  map[*documentInstance]document.Revision
	starts    int
}

// documentInstance is one instance. It is also its own connection to the store and to other instances, which can fail.
type documentInstance struct {
	port.Store

	fixture  *documentFixture
	self     instance.Instance
	timer    shiftedTimer
	follower *entry.Follower
	editor   *entry.Editor
	gc       *entry.SectionGC
	stop     context.CancelFunc
	stopped  sync.WaitGroup

	mu          sync.Mutex
	dead        bool
	storeDown   bool
	watchDown   bool
	storeDelay  time.Duration
	answerDelay time.Duration
	// losePuts is the number of next updates that take effect but whose answer is lost. dropPuts is the number of next
	// updates that are lost themselves.
	losePuts, dropPuts int
	// beforePut is called once, before the next update reaches the store.
	beforePut func()
	// sectionPuts are the faults of the next writes of sections, to which the three fields above do not apply.
	sectionPuts []writeFault
	// staleObjects are returned to the next watches in place of the store's object.
	staleObjects []port.Object
	// watches and reads count the calls to the store. documentsReceived counts the full documents received from other
	// instances.
	watches, reads, documentsReceived int
	// offers counts the full documents that the editor sent to relays.
	offers int
}

// shiftedTimer is a monotonic clock with another origin, as on another machine.
type shiftedTimer struct {
	*clock.Fake
	shift time.Duration
}

func (s shiftedTimer) Now() time.Duration { return s.Fake.Now() + s.shift }

// settleTime is long enough for every instance to know its role, have a fresh document and complete audit records.
const settleTime = 6 * time.Second

// testDocumentFixture runs a subtest with a documentFixture that has run for settleTime.
func testDocumentFixture(t *testing.T, name string, dataCentres, perDataCentre int, body func(t *testing.T, f *documentFixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := startDocumentFixture(t.Context(), t, &clock.Fake{}, dataCentres, perDataCentre)
			defer f.close()
			f.run(settleTime)
			body(t, f)
		})
	})
}

// startDocumentFixture starts instances "1a", "1b", …, "2a", … in data centres "dc1", "dc2", …, with revision 1 in the
// store.
func startDocumentFixture(
	ctx context.Context, t require.TestingT, timer *clock.Fake, dataCentres, perDataCentre int,
) *documentFixture {
	f := &documentFixture{
		t: t, clock: timer, ctx: ctx, objects: make(map[string]port.Object), changed: make(chan struct{}),
		cuts: make(map[[2]string]bool), instances: make(map[string]*documentInstance),
		accepted: make(map[document.Revision]time.Duration), lastSeen: make(map[*documentInstance]document.Revision),
	}
	d, violations := document.Document{}.WithEdit(document.Replace{Document: document.Document{
		Organisations: []document.Organisation{{Name: "acme", Rate: 5, Burst: 5, Keys: []document.Key{
			{ID: "k1", SHA256: organisation.HashKey("key-1").String()},
		}}},
		Groups: []document.Group{{Name: "g", Slots: []string{"s"}, Servers: []document.Server{
			{Name: "a", Address: "10.0.0.1:5432", DataCentre: "dc1", Connections: 5},
		}}},
		Routes: []document.Route{
			{Name: "orders", Group: "g", Slot: "s", Kind: document.Write},
			{Name: "menu", Group: "g", Slot: "s", Kind: document.Read, Open: true, Rate: 5, Burst: 5},
		},
	}}, document.Change{ID: "first", Author: "test"})
	require.Empty(t, violations)
	data, _ := document.Encode(d)
	_, err := f.put(entry.DocumentObject, data, 0)
	require.NoError(t, err)
	for dc := range dataCentres {
		for i := range perDataCentre {
			f.list(fmt.Sprintf("%d%c", dc+1, 'a'+i), instance.Live)
		}
	}
	for _, i := range f.allListed() {
		f.start(i, false, false)
	}
	return f
}

func (f *documentFixture) close() {
	for _, i := range f.instances {
		i.kill()
	}
}

// list adds an instance to the platform's list, or changes its state.
func (f *documentFixture) list(name string, state instance.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = instance.NewList(f.listed...).WithInstance(instance.Instance{
		Incarnation: name, Address: name, DataCentre: "dc" + name[:1], State: state,
	}).All()
}

func (f *documentFixture) allListed() []instance.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.listed)
}

func (f *documentFixture) unlist(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = slices.DeleteFunc(slices.Clone(f.listed), func(i instance.Instance) bool { return slices.Contains(names, i.Address) })
}

func (f *documentFixture) start(self instance.Instance, storeDown, watchDown bool) *documentInstance {
	f.starts++
	ctx, cancel := context.WithCancel(f.ctx)
	i := &documentInstance{fixture: f, self: self, stop: cancel, storeDown: storeDown, watchDown: watchDown}
	// The first two clocks start at negative times, so that a zero time for "unknown" cannot pass for an early one.
	i.timer = shiftedTimer{Fake: f.clock, shift: time.Duration(f.starts)*time.Hour - 3*time.Hour}
	i.follower = entry.NewFollower(entry.FollowerConfig{Self: self, Store: i, Relays: i, Timer: i.timer})
	var ids atomic.Int64
	i.editor = entry.NewEditor(entry.EditorConfig{
		Self: self, Store: i, Relays: i, Follower: i.follower, Timer: i.timer,
		Wall:  func() time.Time { return time.Unix(0, 0) },
		NewID: func() string { return fmt.Sprintf("%s-%d-%d", self.Incarnation, f.starts, ids.Add(1)) },
	})
	i.gc = entry.NewSectionGC(entry.SectionGCConfig{Self: self, Store: i, Follower: i.follower, Timer: i.timer})
	f.mu.Lock()
	f.instances[self.Address] = i
	f.mu.Unlock()
	i.stopped.Go(func() { i.follower.Run(ctx) })
	i.stopped.Go(func() { i.editor.Run(ctx) })
	i.stopped.Go(func() { i.gc.Run(ctx) })
	return i
}

// restart replaces an instance by a new one at the same address, without any state.
func (f *documentFixture) restart(name string) *documentInstance {
	old := f.instances[name]
	old.kill()
	return f.start(old.self, old.storeDown, old.watchDown)
}

func (i *documentInstance) kill() {
	i.set(func() { i.dead = true })
	i.stop()
	i.stopped.Wait()
}

func (i *documentInstance) set(change func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	change()
}

// run advances the clock by d, and checks the invariants after each step.
func (f *documentFixture) run(d time.Duration) {
	for end := f.clock.Now() + d; f.clock.Now() < end; {
		synctest.Wait()
		f.checkInvariants()
		f.clock.Advance(fleetStep)
	}
	synctest.Wait()
	f.checkInvariants()
}

// runUntil advances the clock until done is closed.
func (f *documentFixture) runUntil(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
			f.run(fleetStep)
		}
	}
}

func (f *documentFixture) checkInvariants() {
	for _, i := range f.instances {
		index, fresh := i.follower.CurrentDocument()
		revision := index.Document().Revision
		require.GreaterOrEqual(f.t, revision, f.lastSeen[i], "instance %s reverted", i.self.Address)
		f.lastSeen[i] = revision
		for r, at := range f.accepted {
			if fresh && !i.isDead() && f.clock.Now()-at > document.MaxStaleness {
				require.GreaterOrEqual(f.t, revision, r, "instance %s relies on a replaced document", i.self.Address)
			}
		}
	}
}

// apply applies an edit at an instance while the clock advances.
func (f *documentFixture) apply(name string, r entry.EditRequest) (document.Document, error) {
	var d document.Document
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		d, err = f.instances[name].editor.Apply(f.ctx, r)
		if err == nil {
			f.mu.Lock()
			f.accepted[d.Revision] = f.clock.Now()
			f.mu.Unlock()
		}
	}()
	f.runUntil(done)
	return d, err
}

func (f *documentFixture) cut(a, b string, isCut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{a, b}] = isCut
	f.cuts[[2]string{b, a}] = isCut
}

func (f *documentFixture) storeDown(isDown bool, names ...string) {
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(f.instances))
	}
	for _, name := range names {
		i := f.instances[name]
		i.set(func() { i.storeDown = isDown })
	}
}

// relays returns the names of a data centre's relays. followers returns those of its other instances.
func (f *documentFixture) relays(dc string) []string {
	var names []string
	for _, r := range instance.NewList(f.allListed()...).Relays(dc) {
		names = append(names, r.Address)
	}
	return names
}

func (f *documentFixture) followers(dc string) []string {
	var names []string
	for _, i := range f.allListed() {
		if i.DataCentre == dc && !slices.Contains(f.relays(dc), i.Address) {
			names = append(names, i.Address)
		}
	}
	return names
}

// requireState requires the revision and freshness at all running instances, or at those that are given.
func (f *documentFixture) requireState(r document.Revision, fresh bool, names ...string) {
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(f.instances))
	}
	for _, name := range names {
		i := f.instances[name]
		if i.isDead() {
			continue
		}
		index, isFresh := i.follower.CurrentDocument()
		require.Equal(f.t, r, index.Document().Revision, "revision of %s", name)
		require.Equal(f.t, fresh, isFresh, "freshness of %s", name)
	}
}

func (f *documentFixture) put(name string, data []byte, expected port.Version) (port.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	require.LessOrEqual(f.t, len(data), document.MaxObjectSize, "the store keeps no object of the size of %s", name)
	current := f.objects[name].Version
	if current != expected {
		return 0, port.Errorf(port.Conflict, "object %s has version %d", name, current)
	}
	f.objects[name] = port.Object{Name: name, Version: current + 1, Data: bytes.Clone(data)}
	close(f.changed)
	f.changed = make(chan struct{})
	return current + 1, nil
}

func (f *documentFixture) object(name string) (port.Object, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.objects[name], f.changed
}

func (i *documentInstance) isDead() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.dead
}

// reachStore simulates the delay of the connection to the store. It returns an error if the connection is down.
func (i *documentInstance) reachStore(ctx context.Context) error {
	i.mu.Lock()
	down, delay := i.storeDown || i.dead, i.storeDelay
	i.mu.Unlock()
	if down {
		return port.Errorf(port.Unavailable, "store does not answer")
	}
	return i.delay(ctx, delay)
}

// reachWatch is like reachStore, for watches, which can also fail separately.
func (i *documentInstance) reachWatch(ctx context.Context) error {
	i.mu.Lock()
	down := i.watchDown
	i.mu.Unlock()
	if down {
		return port.Errorf(port.Unavailable, "watch is not answered")
	}
	return i.reachStore(ctx)
}

func (i *documentInstance) delay(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	ctx, cancel := port.WithTimeout(ctx, i.timer, d)
	defer cancel()
	<-ctx.Done()
	if cause := context.Cause(ctx); port.KindOf(cause) != port.Timeout || !strings.Contains(cause.Error(), d.String()) {
		return port.Wrapf(cause, port.Unavailable, "no answer")
	}
	return nil
}

func (i *documentInstance) Get(ctx context.Context, name string) (port.Object, error) {
	i.set(func() { i.reads++ })
	if err := i.reachStore(ctx); err != nil {
		return port.Object{}, err
	}
	object, _ := i.fixture.object(name)
	if object.Version == 0 {
		return port.Object{}, port.Errorf(port.NotFound, "no object %s", name)
	}
	return object, nil
}

func (i *documentInstance) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	if strings.HasPrefix(name, document.SectionPrefix) {
		return i.putSection(ctx, name, data, expected)
	}
	i.mu.Lock()
	before, drop, lose := i.beforePut, i.dropPuts > 0, i.losePuts > 0
	i.beforePut = nil
	if drop {
		i.dropPuts--
	} else if lose {
		i.losePuts--
	}
	i.mu.Unlock()
	if before != nil {
		before()
	}
	if err := i.reachStore(ctx); err != nil {
		return 0, err
	}
	if drop {
		return 0, port.Errorf(port.Unavailable, "update was lost")
	}
	version, err := i.fixture.put(name, data, expected)
	if lose {
		return 0, port.Errorf(port.Unavailable, "answer was lost")
	}
	return version, err
}

func (i *documentInstance) Watch(
	ctx context.Context, name string, seen port.Version, wait time.Duration,
) (port.Object, bool, error) {
	i.set(func() { i.watches++ })
	waiting, cancel := port.WithTimeout(ctx, i.timer, wait)
	defer cancel()
	for {
		if replay, ok := i.takeStaleObject(); ok {
			return replay, true, nil
		}
		object, changed := i.fixture.object(name)
		if object.Version != seen {
			return object, true, i.reachWatch(ctx)
		}
		select {
		case <-changed:
		case <-waiting.Done():
			return port.Object{}, false, i.reachWatch(ctx)
		}
	}
}

func (i *documentInstance) takeStaleObject() (port.Object, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.staleObjects) == 0 {
		return port.Object{}, false
	}
	replay := i.staleObjects[0]
	i.staleObjects = i.staleObjects[1:]
	return replay, true
}

func (i *documentInstance) Instances(ctx context.Context) ([]instance.Instance, error) {
	return i.fixture.allListed(), i.reachStore(ctx)
}

// peer returns the instance at the address, or an error if it cannot be reached.
func (i *documentInstance) peer(address string) (*documentInstance, error) {
	i.fixture.mu.Lock()
	defer i.fixture.mu.Unlock()
	other, found := i.fixture.instances[address]
	if !found || other.isDead() || i.isDead() || i.fixture.cuts[[2]string{i.self.DataCentre, other.self.DataCentre}] {
		return nil, port.Errorf(port.Unavailable, "instance %s does not answer", address)
	}
	return other, nil
}

func (i *documentInstance) Follow(ctx context.Context, address string, request entry.FollowRequest) (entry.FollowResponse, error) {
	other, err := i.peer(address)
	if err != nil {
		return entry.FollowResponse{}, err
	}
	response := other.follower.HandleFollow(ctx, request)
	if response.Document.Revision > 0 {
		i.set(func() { i.documentsReceived++ })
	}
	other.mu.Lock()
	delay := other.answerDelay
	other.mu.Unlock()
	return response, i.delay(ctx, delay)
}

func (i *documentInstance) Offer(ctx context.Context, address string, d document.Document) (document.Revision, error) {
	i.set(func() { i.offers++ })
	other, err := i.peer(address)
	if err != nil {
		return 0, err
	}
	return other.follower.Install(ctx, d)
}

// recordingLimit is a RateLimit that records what was taken.
type recordingLimit struct{ taken []string }

func (r *recordingLimit) Take(_ context.Context, limit string) error {
	r.taken = append(r.taken, limit)
	return nil
}

func (i *documentInstance) authorizer(limit entry.RateLimit) *entry.DocumentAuthorizer {
	signer, err := session.NewSigner(make([]byte, session.MinSecretSize))
	require.NoError(i.fixture.t, err)
	return entry.NewDocumentAuthorizer(i.follower, signer, limit)
}

func requireErrorKind(t require.TestingT, want port.Kind, err error) {
	require.Error(t, err)
	require.Equal(t, want, port.KindOf(err), err)
}

func setMaxFallbackHolders(n int) entry.EditRequest {
	return entry.EditRequest{Edit: document.SetMaxFallbackHolders{MaxFallbackHolders: n}, Author: "ana"}
}
