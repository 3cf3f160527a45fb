package proxy_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/admission"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/ring"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	testGroup        = "core"
	testOrganisation = "clinic"
	callLatency      = 2 * time.Millisecond
)

// cluster simulates a store, two groups of servers and the instances in one synctest bubble, with virtual time.
type cluster struct {
	t *testing.T

	mu      sync.Mutex
	version port.Version
	objects map[string]port.Object
	// writes counts the successful writes of each record.
	writes        map[string]int
	doc           document.Document
	docVersion    port.Version
	servers       map[string]*fakeServer
	listed        map[string]dispatch.Listing
	listedVersion port.Version
	storeDown     bool
	dataCentres   int
	// spillOver holds the values with which instances start.
	spillOver dispatch.SpillValues
	// recorder receives the events of instances that start; it may be nil.
	recorder    proxy.Recorder
	spillEvents spillEvents
	// warmUp is the instances' tolerance for cold servers.
	warmUp  admission.WarmUpTolerance
	regions dispatch.Regions
	// loansVia counts the loans by the data centre of the pool's owner.
	loansVia map[string]int
	// weights holds the processor time of instances; zero for the others.
	weights map[string]float64
	// partitioned holds the instances that can be reached only by their clients.
	partitioned map[string]bool
	// cutPeers holds the instances that reach only servers and clients.
	cutPeers map[string]bool
	// storeRejects holds the instances whose calls the store rejects.
	storeRejects map[string]bool
	// storeSilent holds the instances whose calls the store does not answer.
	storeSilent map[string]bool
	// unreadable holds the parts of the state that an instance cannot read, although the store answers its other calls.
	unreadable map[string]statePart
	// undecodable is a part that the store answers with bytes that cannot be decoded.
	undecodable statePart
	// unreachable holds "instance/server" pairs without a connection.
	unreachable map[string]bool
	instances   map[string]*testInstance
	// promotions holds the promotion calls in order.
	promotions []promotionCall
	// stillUsedOldPrimary holds the instances that still used the old primary when a promotion took effect.
	stillUsedOldPrimary []string
	refusePromotion     bool
	// promotionsUnavailable makes promotion calls fail without an effect.
	promotionsUnavailable bool
	// answerDelay returns how late the answer to a successful write of a record is. It may be nil.
	answerDelay func(name string, data []byte) time.Duration
	// promotionDelay is the time from a promotion call until the server leads.
	promotionDelay time.Duration
	// documentReads holds when the document was read.
	documentReads []time.Time
	storeCalls    atomic.Int64
	dials         atomic.Int64
	// exchanges counts the exchanges of cluster state, and stateTransfers those that transferred any.
	exchanges      atomic.Int64
	stateTransfers atomic.Int64
	// extensions counts the requests for lease extensions.
	extensions atomic.Int64
	// surveys counts the requests about a server.
	surveys     atomic.Int64
	loans       atomic.Int64
	maintenance fakeMaintenance
}

// statePart is a part of the cluster state.
type statePart int

const (
	documentPart statePart = iota + 1
	listingsPart
	maintenancePart
)

type promotionCall struct {
	server string
	epoch  uint64
	at     time.Time
}

// fault is a failure mode of a fake server.
type fault int

const (
	// dropAnswers runs statements but drops the answers; dropCommitAnswers drops only the answers to commits.
	dropAnswers fault = iota + 1
	dropCommitAnswers
	busy
	// slow delays answers by slowServerDelay.
	slow
	// refuseSessionState refuses session values and prepared statements.
	refuseSessionState
	// loaded delays answers by loadedServerDelay.
	loaded
	// failsSome fails two of five statements.
	failsSome
	// panicking panics in the code that reads the answer.
	panicking
	// failing runs statements and reports that they failed.
	failing
)

const (
	slowServerDelay   = 300 * time.Millisecond
	loadedServerDelay = 60 * time.Millisecond
)

// fakeServer is a server that runs statements immediately.
type fakeServer struct {
	fault   fault
	name    string
	group   string
	term    group.Term
	primary bool
	down    bool
	// dark servers do not answer to new connections.
	dark bool
	// failures counts the statements that failed.
	failures int
	// cutOff servers do not learn that another server was promoted.
	cutOff             bool
	offset             uint64
	refusesConnections bool
	connections        int
	// opened counts the connections that were opened to the server.
	opened int
	// lastStatement is when the server last received a client's statement.
	lastStatement time.Time
	// rollbacks counts the rollbacks that the server received.
	rollbacks int
	// statements counts the statements of clients, and served holds the organisations for which they ran, without repetitions
	// in a row.
	statements int
	served     []string
	// open holds the connections since the server's start, also those that have been closed.
	open []*fakeServerConn
	// arrivals holds the times at which statements arrived, if recordsArrivals is true.
	recordsArrivals bool
	arrivals        []time.Time
}

// testInstance is an instance with the components that the tests need.
type testInstance struct {
	self        proxy.Member
	state       *proxy.ClusterState
	views       *proxy.PrimaryViews
	dispatcher  *proxy.Dispatcher
	manager     *proxy.SessionManager
	peerService *proxy.PeerService
	gate        *proxy.ReadinessGate
	rateLimiter *proxy.DistributedRateLimiter
	reserve     *proxy.RateReserve
	// registration registers the instance in the store.
	registration *proxy.Registration
	readers      *proxy.StoreReaders
	stop         context.CancelFunc
	ended        chan struct{}
}

// secondGroup has the servers "t1", "t2" and "t3", of which "t1" is the primary.
const secondGroup = "second"

// withCluster runs a test with n instances in two data centres, and two groups of three servers.
func withCluster(t *testing.T, n int, test func(w *cluster)) {
	t.Helper()
	withClusterIn(t, n, 2, test)
}

// withClusterIn is withCluster with another number of data centres.
func withClusterIn(t *testing.T, n, dataCentres int, test func(w *cluster)) {
	t.Helper()
	withConfiguredCluster(t, n, func(w *cluster) { w.dataCentres = dataCentres }, test)
}

// withConfiguredCluster is withCluster after the configuration of the cluster was changed.
func withConfiguredCluster(t *testing.T, n int, configure, test func(w *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t)
		w.dataCentres = 2
		configure(w)
		for i := range n {
			name := fmt.Sprintf("front-%d", i)
			w.start(name, w.dataCentreOf(name))
		}
		defer w.stopAll()
		w.waitFor(func() bool { return w.allUsePrimary("s1") && w.allUsePrimary("t1") })
		test(w)
	})
}

// dataCentreOf spreads the instances over the data centres "a", "b" and so on by their numbers.
func (w *cluster) dataCentreOf(name string) string {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "front-"))
	require.NoError(w.t, err)
	return string(rune('a' + n%w.dataCentres))
}

func newCluster(t *testing.T) *cluster {
	w := &cluster{
		t: t, objects: make(map[string]port.Object), writes: make(map[string]int), servers: make(map[string]*fakeServer),
		listed: make(map[string]dispatch.Listing), partitioned: make(map[string]bool), cutPeers: make(map[string]bool), loansVia: make(map[string]int), storeRejects: make(map[string]bool), storeSilent: make(map[string]bool), unreadable: make(map[string]statePart), unreachable: make(map[string]bool),
		instances: make(map[string]*testInstance), version: 10,
	}
	for i, name := range []string{"s1", "s2", "s3", "t1", "t2", "t3"} {
		s := &fakeServer{name: name, group: testGroup, term: 3, primary: i%3 == 0, offset: 100 - uint64(i%3)}
		if i >= 3 {
			s.group = secondGroup
		}
		w.servers[name] = s
		w.updateListing(name, false)
	}
	w.setDocument(document.Document{
		Revision: 1, Groups: []document.Group{{Name: testGroup, Connections: 40}, {Name: secondGroup, Connections: 40}},
		Organisations: []document.Organisation{{Name: testOrganisation, Rate: 1e6, Burst: 1e6}},
		Routes: []document.Route{{
			Name: "orders", Group: testGroup, Open: true, Freshness: document.EveryWrite, TimeoutMS: 1000, TargetLatencyMS: 400,
		}},
	})
	return w
}

func (w *cluster) setDocument(d document.Document) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.doc, w.docVersion = d, w.version
}

// updateListing writes a server's entry in the list of servers. mu must not be held.
func (w *cluster) updateListing(name string, draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := dispatch.Listing{Name: name, Group: w.servers[name].group, Address: name, DataCentre: "a", Slots: 3, Draining: draining, Incarnation: 1}
	if w.servers[name].primary {
		l.Role = dispatch.Primary
	}
	w.version++
	w.listed[name], w.listedVersion = l, w.version
}

func (w *cluster) start(name, dataCentre string) {
	w.mu.Lock()
	self := proxy.Member{Name: name, Incarnation: fmt.Sprintf("%s@%d", name, len(w.instances)+int(w.version)), Address: name, DataCentre: dataCentre, Weight: w.weights[name]}
	w.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	i := &testInstance{self: self, stop: stop, ended: make(chan struct{})}
	timer := clock.NewService()
	client := &clusterClient{cluster: w, name: name}
	i.views = proxy.NewPrimaryViews(timer, nil)
	i.state = proxy.NewClusterState(self, timer, i.views, 0)
	i.gate = &proxy.ReadinessGate{Timer: timer, State: i.state, Views: i.views}
	i.dispatcher = proxy.NewDispatcher(proxy.DispatcherConfig{
		Regions: w.regions, WarmUp: w.warmUp, ColdRate: i.state.ColdRate, ServersReadAt: i.state.ServersReadAt,
		DataCentre: dataCentre, Timer: timer, Views: i.views, Dialer: client, ConnectionLimit: i.state.ConnectionLimit,
		Self: self, Members: i.state.Records, OrganisationNames: i.state.OrganisationNames, RemotePools: client, SurveyPeer: client.Survey,
		Maintenance: i.state.Maintenance,
		SpillOver:   w.spillOver, Recorder: w.recorder,
	})
	i.state.OnServersChanged(i.dispatcher.SetListings)
	i.reserve = proxy.NewRateReserve(proxy.RateReserveConfig{
		Self: self, Timer: timer, Documents: i.state, Records: i.state.Records, Tolerance: proxy.RateTolerance{Window: 5 * time.Second},
	})
	i.rateLimiter = proxy.NewDistributedRateLimiter(timer, i.state, i.reserve, client)
	i.manager = proxy.NewSessionManager(proxy.SessionManagerConfig{
		Timer: timer, Dispatcher: i.dispatcher, Views: i.views, Documents: i.state, RateLimiter: i.rateLimiter, IsIsolated: i.gate.IsIsolated,
		DocumentChanged: i.state.Changed, AwaitState: i.gate.Await, Maintenance: i.state, Recorder: w.recorder,
	})
	notifications := ring.New[proxy.Member](0)
	i.peerService = proxy.NewPeerService(proxy.PeerServiceConfig{
		Self: self, Timer: timer, State: i.state, Views: i.views, Dispatcher: i.dispatcher, Dialer: client, Notifications: notifications,
	})
	readers := &proxy.StoreReaders{Documents: client, Listings: client, Records: client, State: i.state, Timer: timer}
	monitor := w.useMaintenance(i, readers, timer)
	syncer := proxy.NewSyncer(proxy.SyncerConfig{
		Self: self, Timer: timer, State: i.state, Peers: client, PeerService: i.peerService, Readers: readers,
		Notifications: notifications, SetIsolated: func(isolated bool) { i.gate.SetIsolated(isolated) },
	})
	promoter := proxy.NewPromoter(proxy.PromoterConfig{
		Self: self, Timer: timer, State: i.state, Readers: readers, Peers: client, Views: i.views, Dispatcher: i.dispatcher,
		Dialer: client, Records: client, Promotions: client,
	})
	i.registration = &proxy.Registration{Self: self, Records: client, Readers: readers, State: i.state, Timer: timer}
	i.readers = readers
	registration := i.registration
	w.mu.Lock()
	w.instances[name] = i
	w.mu.Unlock()
	b := &serviceRunner{services: []func(context.Context){
		timer.Run, i.dispatcher.Run, i.manager.Run, i.gate.Run, promoter.Run, registration.Run, monitor,
		func(ctx context.Context) {
			registration.Register(ctx)
			syncer.Run(ctx)
		},
	}, ended: i.ended}
	go b.run(ctx)
}

// serviceRunner runs the goroutines of an instance.
type serviceRunner struct {
	services []func(context.Context)
	ended    chan struct{}
}

func (b *serviceRunner) run(ctx context.Context) {
	var running sync.WaitGroup
	for _, run := range b.services {
		running.Go(func() { run(ctx) })
	}
	running.Wait()
	close(b.ended)
}

// kill ends an instance without deregistering it.
func (w *cluster) kill(name string) {
	w.mu.Lock()
	i := w.instances[name]
	delete(w.instances, name)
	w.mu.Unlock()
	i.stop()
	<-i.ended
}

// restart stops an instance as planned and starts it again.
func (w *cluster) restart(name string) {
	i := w.instance(name)
	i.peerService.Stop()
	require.NoError(w.t, i.registration.Deregister(context.Background()))
	w.kill(name)
	sleep(500 * time.Millisecond)
	w.start(name, w.dataCentreOf(name))
}

func (w *cluster) stopAll() {
	for _, name := range w.names() {
		w.kill(name)
	}
}

func (w *cluster) names() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name := range w.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *cluster) instance(name string) *testInstance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances[name]
}

// waitFor lets virtual time pass until the condition holds, and returns how long that took.
func (w *cluster) waitFor(condition func() bool) time.Duration {
	w.t.Helper()
	const limit = 40 * time.Second
	start := time.Now()
	for !condition() {
		require.Less(w.t, time.Since(start), limit, "the condition was not met in time")
		sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func (w *cluster) allUsePrimary(server string) bool {
	groupName := w.servers[server].group
	for _, name := range w.names() {
		if got, _, ok := w.instance(name).views.Primary(groupName); !ok || got != server {
			return false
		}
	}
	return true
}

func (w *cluster) usesPrimary(name, server string) bool {
	got, _, ok := w.instance(name).views.Primary(testGroup)
	return ok && got == server
}

func (w *cluster) allHaveRevision(r document.Revision) bool {
	for _, name := range w.names() {
		if index, _ := w.instance(name).state.CurrentDocument(); index.Document().Revision != r {
			return false
		}
	}
	return true
}

// connectedHaveRevision is allHaveRevision for the instances that are not partitioned.
func (w *cluster) connectedHaveRevision(r document.Revision) bool {
	for _, name := range w.names() {
		w.mu.Lock()
		isPartitioned := w.partitioned[name]
		w.mu.Unlock()
		if index, _ := w.instance(name).state.CurrentDocument(); !isPartitioned && index.Document().Revision != r {
			return false
		}
	}
	return true
}

// suspect makes every instance suspect the server, as its clients' statements would.
func (w *cluster) suspect(server string) {
	for _, name := range w.names() {
		w.instance(name).dispatcher.Suspect(server)
	}
}

func (w *cluster) hasRecord(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, found := w.objects["instance/"+name]
	return found
}

// promoter returns the instance that holds the promoter lock.
func (w *cluster) promoter() (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lock proxy.PromoterLock
	if json.Unmarshal(w.objects["duty/promotion"].Data, &lock) != nil {
		return "", false
	}
	for name, i := range w.instances {
		if i.self.Incarnation == lock.Holder {
			return name, true
		}
	}
	return "", false
}

// runWrites runs a write on each instance.
func (w *cluster) runWrites(names ...string) {
	for _, name := range names {
		c := &fakeClient{requests: []statement.Request{{ID: "w", Statement: statement.Write{Text: "WRITE a 1"}}}}
		w.instance(name).serve(c)
		require.Len(w.t, c.answers, 1)
	}
}

// serve runs a client's session to its end.
func (i *testInstance) serve(c *fakeClient) { i.serveFor(c, testOrganisation) }

func (i *testInstance) serveFor(c *fakeClient, name string) { i.serveClient(c, name) }

func (i *testInstance) serveClient(c proxy.ClientConn, name string) {
	i.serveClientUntil(context.Background(), c, name)
}

// serveUntil is serve for a client that disconnects when ctx ends.
func (i *testInstance) serveUntil(ctx context.Context, c *fakeClient) {
	i.serveClientUntil(ctx, c, testOrganisation)
}

func (i *testInstance) serveClientUntil(ctx context.Context, c proxy.ClientConn, name string) {
	index, _ := i.state.CurrentDocument()
	route, _ := index.FindRoute("orders")
	route.Open = true
	i.manager.Serve(ctx, c, organisation.Allowed{Organisation: name, Route: route}, nil)
}

// fakeClient sends its requests one after the other and records the answers.
type fakeClient struct {
	requests []statement.Request
	answers  []statement.Result
	// beforeReceive is called with the number of requests that have been answered. It may be nil.
	beforeReceive func(answered int)
}

// Receive returns the next request.
func (c *fakeClient) Receive(context.Context) (statement.Request, error) {
	if c.beforeReceive != nil {
		c.beforeReceive(len(c.answers))
	}
	if len(c.requests) == 0 {
		return statement.Request{}, errors.New("the client has disconnected")
	}
	next := c.requests[0]
	c.requests = c.requests[1:]
	return next, nil
}

// HasBufferedRequest reports whether requests remain.
func (c *fakeClient) HasBufferedRequest() bool { return len(c.requests) > 0 }

// Reply records an answer.
func (c *fakeClient) Reply(a statement.Result) error {
	c.answers = append(c.answers, a)
	return nil
}

// Close does nothing.
func (c *fakeClient) Close() {}

// epochs returns the epochs of the promotions in order.
func (w *cluster) epochs() []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var epochs []uint64
	for _, p := range w.promotions {
		epochs = append(epochs, p.epoch)
	}
	return epochs
}

func (w *cluster) setDown(server string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[server].down = down
}

func (w *cluster) setFault(server string, f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[server].fault = f
}

// logEnd returns the end of a server's log.
func (w *cluster) logEnd(server string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[server].offset
}

func (w *cluster) connections(server string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[server].connections
}

// replaceDuring makes an instance stop using the primary while a slow statement runs there.
func (w *cluster) replaceDuring(name string) {
	sleep(slowServerDelay / 2)
	records, _ := w.instance(name).state.Records()
	stored := records.Primacies[testGroup]
	stored.Record = stored.Record.WithReplacement(primacy.Replacement{Promoter: "p", Epoch: 1})
	stored.Version++
	w.instance(name).peerService.Suspend(context.Background(), stored)
}

// rejectAtStore makes the store reject calls from the given instances only.
func (w *cluster) rejectAtStore(numbers ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.storeRejects)
	for _, n := range numbers {
		w.storeRejects[fmt.Sprintf("front-%d", n)] = true
	}
}

// catchUpReplicas lets the replicas receive everything that the primaries hold.
func (w *cluster) catchUpReplicas() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.offset = 100
	}
}

func (w *cluster) setPartitioned(partitioned bool, names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.partitioned[name] = partitioned
	}
}

func (w *cluster) setStoreDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeDown = down
}

// clusterClient accesses the cluster on behalf of one instance.
type clusterClient struct {
	cluster *cluster
	name    string
}

var (
	_ proxy.Records    = (*clusterClient)(nil)
	_ proxy.Documents  = (*clusterClient)(nil)
	_ proxy.Listings   = (*clusterClient)(nil)
	_ proxy.PeerClient = (*clusterClient)(nil)
	_ proxy.Dialer     = (*clusterClient)(nil)
	_ proxy.Promotions = (*clusterClient)(nil)
)

// call takes callLatency and locks the cluster. A call that cannot get through blocks until ctx ends.
func (r *clusterClient) call(ctx context.Context, toStore bool) (func(), error) {
	w := r.cluster
	if toStore {
		w.storeCalls.Add(1)
	}
	sleep(callLatency)
	w.mu.Lock()
	if (toStore && (w.storeDown || w.cutPeers[r.name] || w.storeSilent[r.name])) || w.partitioned[r.name] {
		w.mu.Unlock()
		<-ctx.Done()
		return nil, port.Errorf(port.Unavailable, "no response")
	}
	if toStore && w.storeRejects[r.name] {
		w.mu.Unlock()
		return nil, port.Errorf(port.Unavailable, "status 429")
	}
	return w.mu.Unlock, nil
}

// callForPart is call for a read of one part of the state.
func (r *clusterClient) callForPart(ctx context.Context, part statePart) (func(), error) {
	done, err := r.call(ctx, true)
	if err != nil {
		return nil, err
	}
	if r.cluster.unreadable[r.name] == part {
		done()
		return nil, port.Errorf(port.Unavailable, "no response")
	}
	if r.cluster.undecodable == part {
		done()
		return nil, port.Errorf(port.Invalid, "cannot decode the response")
	}
	return done, nil
}

// sleep lets virtual time pass.
func sleep(d time.Duration) { <-time.After(d) }

// sleepContext lets virtual time pass unless ctx ends.
func sleepContext(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return port.Wrapf(context.Cause(ctx), port.Unavailable, "cancelled")
	}
}

// All returns every record.
func (r *clusterClient) All(ctx context.Context) ([]port.Object, error) {
	done, err := r.call(ctx, true)
	if err != nil {
		return nil, err
	}
	defer done()
	var objects []port.Object
	for _, o := range r.cluster.objects {
		objects = append(objects, o)
	}
	slices.SortFunc(objects, func(a, b port.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects, nil
}

// Put writes a record if it is still at the expected version.
func (r *clusterClient) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	done, err := r.call(ctx, true)
	if err != nil {
		return 0, err
	}
	w := r.cluster
	if w.objects[name].Version != expected {
		done()
		return 0, port.Errorf(port.Conflict, "version mismatch")
	}
	w.version++
	version, answerDelay := w.version, w.answerDelay
	w.objects[name] = port.Object{Name: name, Version: version, Data: data}
	w.writes[name]++
	done()
	if answerDelay != nil {
		sleep(answerDelay(name, data))
	}
	return version, nil
}

// Delete removes a record if it is still at the expected version; zero accepts any version.
func (r *clusterClient) Delete(ctx context.Context, name string, expected port.Version) error {
	done, err := r.call(ctx, true)
	if err != nil {
		return err
	}
	defer done()
	if expected != 0 && r.cluster.objects[name].Version != expected {
		return port.Errorf(port.Conflict, "version mismatch")
	}
	delete(r.cluster.objects, name)
	return nil
}

// Read returns the document.
func (r *clusterClient) Read(ctx context.Context) (document.Document, port.Version, error) {
	done, err := r.callForPart(ctx, documentPart)
	if err != nil {
		return document.Document{}, 0, err
	}
	defer done()
	r.cluster.documentReads = append(r.cluster.documentReads, time.Now())
	return r.cluster.doc, r.cluster.version, nil
}

// Await returns a newer document only after the full wait, like a store that lost its history.
func (r *clusterClient) Await(ctx context.Context, since port.Version, wait time.Duration) (document.Document, bool, port.Version, error) {
	if err := sleepContext(ctx, wait); err != nil {
		return document.Document{}, false, 0, err
	}
	done, err := r.callForPart(ctx, documentPart)
	if err != nil {
		return document.Document{}, false, 0, err
	}
	defer done()
	return r.cluster.doc, r.cluster.docVersion > since, r.cluster.version, nil
}

// ReadAll returns the listed servers.
func (r *clusterClient) ReadAll(ctx context.Context) ([]dispatch.Listing, port.Version, error) {
	done, err := r.callForPart(ctx, listingsPart)
	if err != nil {
		return nil, 0, err
	}
	defer done()
	var all []dispatch.Listing
	for _, l := range r.cluster.listed {
		all = append(all, l)
	}
	return all, r.cluster.version, nil
}

// AwaitChanges never returns changes.
func (r *clusterClient) AwaitChanges(ctx context.Context, _ port.Version, wait time.Duration) ([]proxy.ListingChange, port.Version, error) {
	if err := sleepContext(ctx, wait); err != nil {
		return nil, 0, err
	}
	done, err := r.callForPart(ctx, listingsPart)
	if err != nil {
		return nil, 0, err
	}
	defer done()
	return nil, r.cluster.version, nil
}

// Promote makes the server the primary of the next term.
func (r *clusterClient) Promote(ctx context.Context, _, server, _ string, epoch uint64) error {
	done, err := r.call(ctx, true)
	if err != nil {
		return err
	}
	w := r.cluster
	if w.promotionsUnavailable {
		done()
		return port.Errorf(port.Unavailable, "promotions are not possible")
	}
	if w.servers[server].down || w.refusePromotion {
		done()
		return port.Errorf(port.Conflict, "server %s is not running", server)
	}
	w.promotions = append(w.promotions, promotionCall{server: server, epoch: epoch, at: time.Now()})
	delay := w.promotionDelay
	done()
	if delay > 0 {
		time.AfterFunc(delay, func() { w.lead(server) })
	} else {
		w.lead(server)
	}
	return nil
}

// lead makes a server the primary of the next term unless it is the primary of the newest one.
func (w *cluster) lead(server string) {
	w.mu.Lock()
	var oldPrimary *fakeServer
	newest := group.Term(0)
	chosen := w.servers[server]
	members := w.groupServers(chosen.group)
	for _, s := range members {
		newest = max(newest, s.term)
		if s.primary && s != chosen {
			oldPrimary = s
		}
	}
	if !chosen.primary || chosen.term < newest {
		for _, s := range members {
			s.primary = s.primary && s.cutOff
		}
		chosen.primary, chosen.term = true, newest+1
	}
	instances := maps.Clone(w.instances)
	w.mu.Unlock()
	if oldPrimary != nil {
		w.recordPrimaryUsers(instances, oldPrimary, newest)
	}
}

// groupServers returns the servers of a group. mu must be held.
func (w *cluster) groupServers(groupName string) []*fakeServer {
	var members []*fakeServer
	for _, s := range w.servers {
		if s.group == groupName {
			members = append(members, s)
		}
	}
	return members
}

// recordPrimaryUsers records the instances that still use a primary that has just been replaced.
func (w *cluster) recordPrimaryUsers(instances map[string]*testInstance, oldPrimary *fakeServer, term group.Term) {
	for name, i := range instances {
		if i.views.IsPrimary(oldPrimary.group, oldPrimary.name, term) {
			w.mu.Lock()
			w.stillUsedOldPrimary = append(w.stillUsedOldPrimary, name)
			w.mu.Unlock()
		}
	}
}

// peer returns the instance at the address, if it can be reached.
func (r *clusterClient) peer(ctx context.Context, address string) (*testInstance, error) {
	done, err := r.call(ctx, false)
	if err != nil {
		return nil, err
	}
	i, found := r.cluster.instances[address]
	isPartitioned := r.cluster.partitioned[address] || address != r.name && (r.cluster.cutPeers[address] || r.cluster.cutPeers[r.name])
	done()
	if isPartitioned {
		<-ctx.Done()
		return nil, port.Errorf(port.Unavailable, "no response")
	}
	if !found {
		return nil, port.Errorf(port.Unavailable, "no instance at this address")
	}
	return i, nil
}

// Exchange calls the instance at the address.
func (r *clusterClient) Exchange(ctx context.Context, address string, req proxy.ExchangeRequest) (proxy.ExchangeResponse, error) {
	i, err := r.peer(ctx, address)
	if err != nil {
		return proxy.ExchangeResponse{}, err
	}
	response := i.peerService.Exchange(ctx, req)
	r.cluster.exchanges.Add(1)
	if response.Servers != nil || response.Records != nil || response.Document != nil {
		r.cluster.stateTransfers.Add(1)
	}
	// A partition may begin while the relay holds the response.
	if _, err := r.peer(ctx, address); err != nil {
		return proxy.ExchangeResponse{}, err
	}
	return response, nil
}

// Suspend calls the instance at the address.
func (r *clusterClient) Suspend(ctx context.Context, address string, p proxy.StoredPrimacy) (port.Version, error) {
	i, err := r.peer(ctx, address)
	if err != nil {
		return 0, err
	}
	return i.peerService.Suspend(ctx, p), nil
}

// Notify calls the instance at the address.
func (r *clusterClient) Notify(ctx context.Context, address string, m proxy.Member) error {
	i, err := r.peer(ctx, address)
	if err == nil {
		i.peerService.Notify(m)
	}
	return err
}

// Extend calls the instance at the address.
func (r *clusterClient) Extend(ctx context.Context, address string, versions map[string]port.Version) (bool, error) {
	r.cluster.extensions.Add(1)
	i, err := r.peer(ctx, address)
	if err != nil {
		return false, err
	}
	return i.peerService.Extend(versions), nil
}

// Survey calls the instance at the address.
func (r *clusterClient) Survey(ctx context.Context, address string, q proxy.SurveyRequest) (proxy.SurveyResponse, error) {
	r.cluster.surveys.Add(1)
	i, err := r.peer(ctx, address)
	if err != nil {
		return proxy.SurveyResponse{}, err
	}
	return i.peerService.Survey(ctx, q), nil
}

// Dial connects to a server.
func (r *clusterClient) Dial(ctx context.Context, e proxy.Endpoint) (proxy.ServerConn, statement.Result, error) {
	r.cluster.dials.Add(1)
	done, err := r.call(ctx, false)
	if err != nil {
		return nil, statement.Result{}, err
	}
	defer done()
	s := r.cluster.servers[e.Server]
	if s != nil && s.dark {
		r.cluster.mu.Unlock()
		<-ctx.Done()
		r.cluster.mu.Lock()
		return nil, statement.Result{}, port.Errorf(port.Unavailable, "no answer")
	}
	switch {
	case s == nil || s.down || r.cluster.unreachable[r.name+"/"+e.Server]:
		return nil, statement.Result{}, port.Errorf(port.Unavailable, "no server at this address")
	case s.refusesConnections:
		return nil, statement.Result{}, port.Errorf(port.NoConnection, "too many connections")
	}
	s.connections++
	s.opened++
	c := &fakeServerConn{client: r, server: s, organisation: e.Organisation, lost: make(chan struct{})}
	s.open = append(s.open, c)
	return c, statement.Result{Position: s.position()}, nil
}

func (s *fakeServer) position() group.Position { return group.Position{Term: s.term, Offset: s.offset} }

// fakeServerConn is a connection to a fake server.
type fakeServerConn struct {
	client *clusterClient
	server *fakeServer
	// organisation is the one for which the connection was opened.
	organisation string
	lost         chan struct{}
	inTx         bool
	once         sync.Once
}

// Do runs the commands.
func (l *fakeServerConn) Do(ctx context.Context, commands ...statement.Command) ([]statement.Result, error) {
	done, err := l.client.call(ctx, false)
	if err != nil {
		return nil, err
	}
	if l.server.down {
		done()
		return nil, port.Errorf(port.Unavailable, "the connection was lost")
	}
	answers := make([]statement.Result, 0, len(commands))
	for _, o := range commands {
		answers = append(answers, l.run(o))
	}
	fault := l.server.fault
	done()
	return l.deliver(answers, commands[len(commands)-1], fault)
}

// deliver returns the answers or drops them.
func (l *fakeServerConn) deliver(answers []statement.Result, last statement.Command, f fault) ([]statement.Result, error) {
	forward, isForward := last.(statement.Forward)
	_, isCommit := forward.Request.Statement.(statement.Commit)
	switch {
	case !isForward:
	case f == dropAnswers, f == dropCommitAnswers && isCommit:
		return nil, port.Errorf(port.Unavailable, "the answer was lost")
	case f == panicking:
		panic("unexpected answer")
	case f == slow:
		sleep(slowServerDelay)
	case f == loaded:
		sleep(loadedServerDelay)
	}
	return answers, nil
}

func (l *fakeServerConn) run(o statement.Command) statement.Result {
	s := l.server
	s.recordArrival(o)
	a := statement.Result{Proof: "proof", Position: s.position()}
	switch o := o.(type) {
	case statement.AssignValue, statement.PrepareShape:
		if s.fault == refuseSessionState {
			a.Failure = statement.Failure{Kind: port.StatementFailed, Text: "refused"}
		}
	case statement.OpenTransaction:
		l.inTx = true
	case statement.RollbackTransaction:
		s.rollbacks++
		l.inTx = false
	case statement.Forward:
		a.Failure = l.forward(o)
		a.Position = s.position()
	case statement.GetStatus:
		a.Status = statement.ServerStatus{IsPrimary: s.primary, Term: s.term, Received: s.position()}
	case statement.StepDown:
		if o.Term > s.term {
			s.primary = false
		}
	}
	if l.inTx {
		a.State = statement.InTransaction
	}
	return a
}

func (l *fakeServerConn) forward(o statement.Forward) statement.Failure {
	s := l.server
	s.lastStatement = time.Now()
	s.statements++
	if n := len(s.served); n == 0 || s.served[n-1] != l.organisation {
		s.served = append(s.served, l.organisation)
	}
	if _, ends := o.Request.Statement.(statement.Commit); ends {
		l.inTx = false
	}
	_, writes := o.Request.Statement.(statement.Write)
	switch {
	case s.fault == failsSome && len(s.arrivals)%5 < 2:
		return statement.Failure{Kind: port.StatementFailed, Text: "storage error"}
	case s.fault == busy:
		return statement.Failure{Kind: port.Busy}
	case s.fault == failing:
		s.failures++
		return statement.Failure{Kind: port.StatementFailed, Text: "error"}
	case writes && !s.primary:
		return statement.Failure{Kind: port.ReadOnly}
	case writes:
		s.offset++
	case o.After.Offset > s.offset:
		return statement.Failure{Kind: port.Lagging}
	}
	return statement.Failure{}
}

// Lost returns a channel that is never closed.
func (l *fakeServerConn) Lost() <-chan struct{} { return l.lost }

// Close closes the connection.
func (l *fakeServerConn) Close() {
	l.once.Do(func() {
		l.client.cluster.mu.Lock()
		defer l.client.cluster.mu.Unlock()
		l.server.connections--
	})
}

// TakeRate takes an operation from the holder's reserve.
func (r *clusterClient) TakeRate(ctx context.Context, holder proxy.Member, organisation string) (bool, error) {
	i, err := r.peer(ctx, holder.Address)
	if err != nil {
		return false, err
	}
	return i.reserve.Take(organisation), nil
}

// forgetOrganisations makes organisationsServed begin anew.
func (w *cluster) forgetOrganisations() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.served = nil
	}
}

// organisationsServed returns the organisations for which the primary of the test group ran statements, without repetitions in
// a row.
func (w *cluster) organisationsServed() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers["s1"].served
}

// setCutOff decides whether a server learns that another one was promoted.
func (w *cluster) setCutOff(server string, cutOff bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[server].cutOff = cutOff
}

func (w *cluster) setPartitionedFor(d time.Duration, name string) {
	w.setPartitioned(true, name)
	time.AfterFunc(d, func() { w.setPartitioned(false, name) })
}

func (w *cluster) setStoreDownFor(d time.Duration) {
	w.setStoreDown(true)
	time.AfterFunc(d, func() { w.setStoreDown(false) })
}

// rejectNamesAtStore makes the store reject calls from the named instances only.
func (w *cluster) rejectNamesAtStore(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.storeRejects)
	for _, name := range names {
		w.storeRejects[name] = true
	}
}

// restartAll kills all instances and starts them again.
func (w *cluster) restartAll(string) {
	names := w.names()
	for _, name := range names {
		w.kill(name)
	}
	for _, name := range names {
		w.start(name, w.dataCentreOf(name))
	}
}

// unlist removes a server's entry from the list of servers and waits until all instances have read the list.
func (w *cluster) unlist(name string) {
	w.mu.Lock()
	delete(w.listed, name)
	w.version++
	w.listedVersion = w.version
	w.mu.Unlock()
	w.waitFor(func() bool {
		for _, i := range w.names() {
			if servers, _ := w.instance(i).state.Servers(); servers[name].Name != "" {
				return false
			}
		}
		return true
	})
}

// addServer adds a replica to the test group.
func (w *cluster) addServer(name, address string) {
	w.mu.Lock()
	w.servers[name] = &fakeServer{name: name, group: testGroup, term: 3, offset: 100}
	w.mu.Unlock()
	w.updateListing(name, false)
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.listed[name]
	l.Address = address
	w.listed[name] = l
}

func (w *cluster) setOffset(server string, offset uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[server].offset = offset
}

// loseOldPrimary makes the primary of the test group fail, and the instances suspect it.
func (w *cluster) loseOldPrimary() {
	w.setDown("s1", true)
	w.suspect("s1")
	w.waitFor(func() bool { return !w.usesPrimary("front-0", "s1") })
}

// changeDocument writes a changed document and waits until all instances have it.
func (w *cluster) changeDocument(change func(d *document.Document)) {
	next := w.doc
	next.Revision++
	next.Organisations, next.Routes = slices.Clone(next.Organisations), slices.Clone(next.Routes)
	change(&next)
	w.setDocument(next)
	w.waitFor(func() bool { return w.allHaveRevision(next.Revision) })
}

func (w *cluster) withdrawKeys() {
	w.changeDocument(func(d *document.Document) { d.Organisations[0].Keys = nil })
}

func (w *cluster) removeRoutes() {
	w.changeDocument(func(d *document.Document) { d.Routes = nil })
}
