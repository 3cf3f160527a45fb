package proxy_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
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
	testGroup   = "core"
	testOrg     = "clinic"
	callLatency = 2 * time.Millisecond
)

// cluster is a store, a group of servers and instances in one synctest bubble. Its time is virtual.
type cluster struct {
	t *testing.T

	mu        sync.Mutex
	version   port.Version
	objects   map[string]port.Object
	doc       document.Document
	docAt     port.Version
	servers   map[string]*fakeServer
	listed    map[string]dispatch.Listing
	listedAt  port.Version
	storeDown bool
	// cut holds instances that clusterClient nothing but their callers.
	cut map[string]bool
	// turnedAway holds instances whose calls the store refuses.
	turnedAway map[string]bool
	// partial holds servers that an instance does not clusterClient.
	partial   map[string]bool
	instances map[string]*testInstance
	// promotions are the calls that named a primary, in order.
	promotions []promotionCall
	// usedAtPromotion lists instances that still relied on the old primary when a promotion took effect.
	usedAtPromotion []string
	refusePromotion bool
	storeCalls      atomic.Int64
	dials           atomic.Int64
	loans           atomic.Int64
}

type promotionCall struct {
	server string
	epoch  uint64
}

// fault is what a fake server does wrong.
type fault int

const (
	// loseAnswer runs statements and does not answer them; loseCommit does so with commits alone.
	loseAnswer fault = iota + 1
	loseCommit
	// busy refuses statements.
	busy
	// slow answers late.
	slow
	// refuseValues refuses session values and prepared names.
	refuseValues
)

// slowness is how long a slow server takes.
const slowness = 300 * time.Millisecond

// fakeServer is a server of the group. It runs statements at once.
type fakeServer struct {
	fault   fault
	name    string
	group   string
	term    group.Term
	primary bool
	down    bool
	offset  uint64
	full    bool
	conns   int
}

// testInstance is an instance with the duties that the tests need.
type testInstance struct {
	self       proxy.Member
	knowledge  *proxy.ClusterState
	views      *proxy.PrimaryViews
	dispatcher *proxy.Dispatcher
	manager    *proxy.SessionManager
	hub        *proxy.PeerService
	gate       *proxy.ReadinessGate
	rates      *proxy.DistributedRateLimiter
	reserve    *proxy.RateReserve
	// registration lists the instance.
	registration *proxy.Registration
	stop         context.CancelFunc
	ended        chan struct{}
}

// secondGroup has servers "t1", "t2" and "t3", of which the first is the primary.
const secondGroup = "second"

// inCluster runs a test with n instances in two data centres and two groups of three servers.
func inCluster(t *testing.T, n int, test func(w *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t)
		for i := range n {
			name := fmt.Sprintf("front-%d", i)
			w.start(name, w.dataCentreOf(name))
		}
		defer w.stopAll()
		w.await(func() bool { return w.allRelyOn("s1") && w.allRelyOn("t1") })
		test(w)
	})
}

// dataCentreOf returns where an instance is: those of even number in "a", the others in "b".
func (w *cluster) dataCentreOf(name string) string {
	return []string{"a", "b"}[int(name[len(name)-1]-'0')%2]
}

func newCluster(t *testing.T) *cluster {
	w := &cluster{
		t: t, objects: make(map[string]port.Object), servers: make(map[string]*fakeServer),
		listed: make(map[string]dispatch.Listing), cut: make(map[string]bool), turnedAway: make(map[string]bool), partial: make(map[string]bool),
		instances: make(map[string]*testInstance), version: 10,
	}
	for i, name := range []string{"s1", "s2", "s3", "t1", "t2", "t3"} {
		s := &fakeServer{name: name, group: testGroup, term: 3, primary: i%3 == 0, offset: 100 - uint64(i%3)}
		if i >= 3 {
			s.group = secondGroup
		}
		w.servers[name] = s
		w.list(name, false)
	}
	w.setDocument(document.Document{
		Revision: 1, Groups: []document.Group{{Name: testGroup, Connections: 40}, {Name: secondGroup, Connections: 40}},
		Organisations: []document.Organisation{{Name: testOrg, Rate: 1e6, Burst: 1e6}},
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
	w.doc, w.docAt = d, w.version
}

// list writes a server's entry. The lock is not held.
func (w *cluster) list(name string, departing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := dispatch.Listing{Name: name, Group: w.servers[name].group, Address: name, DataCentre: "a", Slots: 3, Departing: departing, Incarnation: 1}
	if w.servers[name].primary {
		l.Role = dispatch.Primary
	}
	w.version++
	w.listed[name], w.listedAt = l, w.version
}

func (w *cluster) start(name, dataCentre string) {
	w.mu.Lock()
	self := proxy.Member{Name: name, Incarnation: fmt.Sprintf("%s@%d", name, len(w.instances)+int(w.version)), Address: name, DataCentre: dataCentre}
	w.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	i := &testInstance{self: self, stop: stop, ended: make(chan struct{})}
	timer := clock.NewService()
	clusterClient := &clusterClient{cluster: w, name: name}
	i.views = proxy.NewPrimaryViews(timer, nil)
	i.knowledge = proxy.NewClusterState(self, timer, i.views, 0)
	i.gate = &proxy.ReadinessGate{Timer: timer, State: i.knowledge, Views: i.views}
	i.dispatcher = proxy.NewDispatcher(proxy.DispatcherConfig{
		DataCentre: dataCentre, Timer: timer, Views: i.views, Dialer: clusterClient, ConnectionLimit: i.knowledge.ConnectionLimit,
		Self: self, Members: i.knowledge.Records, OrganisationNames: i.knowledge.OrganisationNames, RemotePools: clusterClient, SurveyPeer: clusterClient.Survey,
	})
	i.knowledge.OnServersChanged(i.dispatcher.SetListings)
	i.reserve = proxy.NewRateReserve(proxy.RateReserveConfig{
		Self: self, Timer: timer, Documents: i.knowledge, Records: i.knowledge.Records, Tolerance: proxy.RateTolerance{Window: 5 * time.Second},
	})
	i.rates = proxy.NewDistributedRateLimiter(timer, i.knowledge, i.reserve, clusterClient)
	i.manager = proxy.NewSessionManager(proxy.SessionManagerConfig{
		Timer: timer, Dispatcher: i.dispatcher, Views: i.views, Documents: i.knowledge, RateLimiter: i.rates, IsIsolated: i.gate.IsIsolated,
	})
	notices := ring.New[proxy.Member](0)
	i.hub = proxy.NewPeerService(proxy.PeerServiceConfig{
		Self: self, Timer: timer, State: i.knowledge, Views: i.views, Dispatcher: i.dispatcher, Dialer: clusterClient, Notifications: notices,
	})
	readers := &proxy.StoreReaders{Documents: clusterClient, Listings: clusterClient, Records: clusterClient, State: i.knowledge, Timer: timer}
	syncer := proxy.NewSyncer(proxy.SyncerConfig{
		Self: self, Timer: timer, State: i.knowledge, Peers: clusterClient, PeerService: i.hub, Readers: readers,
		Notifications: notices, SetIsolated: func(isolated bool) { i.gate.SetIsolated(isolated) },
	})
	promoter := proxy.NewPromoter(proxy.PromoterConfig{
		Self: self, Timer: timer, State: i.knowledge, Readers: readers, Peers: clusterClient, Views: i.views, Dispatcher: i.dispatcher,
		Dialer: clusterClient, Records: clusterClient, Promotions: clusterClient,
	})
	i.registration = &proxy.Registration{Self: self, Records: clusterClient, Readers: readers, State: i.knowledge, Timer: timer}
	registration := i.registration
	w.mu.Lock()
	w.instances[name] = i
	w.mu.Unlock()
	b := &dutyRunner{duties: []func(context.Context){
		timer.Run, i.dispatcher.Run, promoter.Run, registration.Run,
		func(ctx context.Context) {
			registration.Register(ctx)
			syncer.Run(ctx)
		},
	}, ended: i.ended}
	go b.run(ctx)
}

// dutyRunner runs the duties of an instance.
type dutyRunner struct {
	duties []func(context.Context)
	ended  chan struct{}
}

func (b *dutyRunner) run(ctx context.Context) {
	var running sync.WaitGroup
	for _, duty := range b.duties {
		running.Go(func() { duty(ctx) })
	}
	running.Wait()
	close(b.ended)
}

// kill ends an instance without a word.
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
	i := w.at(name)
	i.hub.Stop()
	require.NoError(w.t, i.registration.Deregister(context.Background()))
	w.kill(name)
	elapse(500 * time.Millisecond)
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

func (w *cluster) at(name string) *testInstance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances[name]
}

// await lets virtual time pass until the condition holds.
func (w *cluster) await(holds func() bool) time.Duration {
	w.t.Helper()
	const limit = 40 * time.Second
	began := time.Now()
	for !holds() {
		require.Less(w.t, time.Since(began), limit, "the condition did not come to hold")
		elapse(10 * time.Millisecond)
	}
	return time.Since(began)
}

func (w *cluster) allRelyOn(server string) bool {
	groupName := w.servers[server].group
	for _, name := range w.names() {
		if got, _, ok := w.at(name).views.Primary(groupName); !ok || got != server {
			return false
		}
	}
	return true
}

func (w *cluster) relies(name, server string) bool {
	got, _, ok := w.at(name).views.Primary(testGroup)
	return ok && got == server
}

func (w *cluster) allHaveRevision(r document.Revision) bool {
	for _, name := range w.names() {
		if index, _ := w.at(name).knowledge.CurrentDocument(); index.Document().Revision != r {
			return false
		}
	}
	return true
}

// restHaveRevision is allHaveRevision for the instances that are not cut off.
func (w *cluster) restHaveRevision(r document.Revision) bool {
	for _, name := range w.names() {
		w.mu.Lock()
		isCut := w.cut[name]
		w.mu.Unlock()
		if index, _ := w.at(name).knowledge.CurrentDocument(); !isCut && index.Document().Revision != r {
			return false
		}
	}
	return true
}

// doubt has every instance doubt the server, as its callers' statements would.
func (w *cluster) doubt(server string) {
	for _, name := range w.names() {
		w.at(name).dispatcher.Doubt(server)
	}
}

func (w *cluster) hasRecord(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, found := w.objects["instance/"+name]
	return found
}

// promoter returns the instance that the duty to promote names.
func (w *cluster) promoter() (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var duty proxy.Duty
	if json.Unmarshal(w.objects["duty/promotion"].Data, &duty) != nil {
		return "", false
	}
	for name, i := range w.instances {
		if i.self.Incarnation == duty.Holder {
			return name, true
		}
	}
	return "", false
}

// runWrites has instances write at the primary.
func (w *cluster) runWrites(names ...string) {
	for _, name := range names {
		c := &fakeCaller{requests: []statement.Request{{ID: "w", Statement: statement.Write{Text: "WRITE a 1"}}}}
		w.at(name).serve(c)
		require.Len(w.t, c.answers, 1)
	}
}

// serve runs a caller's session to its end.
func (i *testInstance) serve(c *fakeCaller) { i.serveFor(c, testOrg) }

func (i *testInstance) serveFor(c *fakeCaller, name string) {
	index, _ := i.knowledge.CurrentDocument()
	route, _ := index.FindRoute("orders")
	route.Open = true
	i.manager.Serve(context.Background(), c, organisation.Allowed{Organisation: name, Route: route})
}

// fakeCaller sends its requests one after the other and keeps the answers.
type fakeCaller struct {
	requests []statement.Request
	answers  []statement.Result
}

// Receive returns the next request.
func (c *fakeCaller) Receive(context.Context) (statement.Request, error) {
	if len(c.requests) == 0 {
		return statement.Request{}, errors.New("the caller has left")
	}
	next := c.requests[0]
	c.requests = c.requests[1:]
	return next, nil
}

// HasBufferedRequest reports whether there is a request.
func (c *fakeCaller) HasBufferedRequest() bool { return len(c.requests) > 0 }

// Reply keeps an answer.
func (c *fakeCaller) Reply(a statement.Result) error {
	c.answers = append(c.answers, a)
	return nil
}

// Close does nothing.
func (c *fakeCaller) Close() {}

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

// offset returns the end of a server's log, and open the number of its connections.
func (w *cluster) offset(server string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[server].offset
}

func (w *cluster) open(server string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[server].conns
}

// replaceDuring has an instance let go of the primary while a slow statement runs there.
func (w *cluster) replaceDuring(name string) {
	elapse(slowness / 2)
	records, _ := w.at(name).knowledge.Records()
	stored := records.Primacies[testGroup]
	stored.Record = stored.Record.WithReplacement(primacy.Replacement{Promoter: "p", Epoch: 1})
	stored.Version++
	w.at(name).hub.Suspend(context.Background(), stored)
}

// turnAway has the store refuse the instances of the numbers.
func (w *cluster) turnAway(numbers ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range numbers {
		w.turnedAway[fmt.Sprintf("front-%d", n)] = true
	}
}

// catchUp has the replicas receive what the primaries hold.
func (w *cluster) catchUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.offset = 100
	}
}

func (w *cluster) setCut(cut bool, names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.cut[name] = cut
	}
}

func (w *cluster) setStoreDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeDown = down
}

// clusterClient is the cluster as one instance reaches it.
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

// call takes the time of a call and locks the cluster. A call that does not get through ends with its context.
func (r *clusterClient) call(ctx context.Context, toStore bool) (func(), error) {
	w := r.cluster
	if toStore {
		w.storeCalls.Add(1)
	}
	elapse(callLatency)
	w.mu.Lock()
	if (toStore && w.storeDown) || w.cut[r.name] {
		w.mu.Unlock()
		<-ctx.Done()
		return nil, port.Errorf(port.Unavailable, "no answer")
	}
	if toStore && w.turnedAway[r.name] {
		w.mu.Unlock()
		return nil, port.Errorf(port.Unavailable, "status 429")
	}
	return w.mu.Unlock, nil
}

// elapse lets the bubble's virtual time pass.
func elapse(d time.Duration) { <-time.After(d) }

// pass lets virtual time pass unless ctx ends.
func pass(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return port.Wrapf(context.Cause(ctx), port.Unavailable, "given up")
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

// Put writes a record if its version is still expected.
func (r *clusterClient) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	done, err := r.call(ctx, true)
	if err != nil {
		return 0, err
	}
	defer done()
	if r.cluster.objects[name].Version != expected {
		return 0, port.Errorf(port.Conflict, "another version")
	}
	r.cluster.version++
	r.cluster.objects[name] = port.Object{Name: name, Version: r.cluster.version, Data: data}
	return r.cluster.version, nil
}

// Delete removes a record.
func (r *clusterClient) Delete(ctx context.Context, name string, _ port.Version) error {
	done, err := r.call(ctx, true)
	if err != nil {
		return err
	}
	defer done()
	delete(r.cluster.objects, name)
	return nil
}

// Read returns the document.
func (r *clusterClient) Read(ctx context.Context) (document.Document, port.Version, error) {
	done, err := r.call(ctx, true)
	if err != nil {
		return document.Document{}, 0, err
	}
	defer done()
	return r.cluster.doc, r.cluster.version, nil
}

// Await returns a newer document after the wait. It hears nothing earlier, as a store does that forgets its history.
func (r *clusterClient) Await(ctx context.Context, since port.Version, wait time.Duration) (document.Document, bool, port.Version, error) {
	if err := pass(ctx, wait); err != nil {
		return document.Document{}, false, 0, err
	}
	done, err := r.call(ctx, true)
	if err != nil {
		return document.Document{}, false, 0, err
	}
	defer done()
	return r.cluster.doc, r.cluster.docAt > since, r.cluster.version, nil
}

// ReadAll returns the listed servers.
func (r *clusterClient) ReadAll(ctx context.Context) ([]dispatch.Listing, port.Version, error) {
	done, err := r.call(ctx, true)
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

// AwaitChanges hears nothing.
func (r *clusterClient) AwaitChanges(ctx context.Context, _ port.Version, wait time.Duration) ([]proxy.ListingChange, port.Version, error) {
	if err := pass(ctx, wait); err != nil {
		return nil, 0, err
	}
	done, err := r.call(ctx, true)
	if err != nil {
		return nil, 0, err
	}
	defer done()
	return nil, r.cluster.version, nil
}

// Promote makes the server primary of the next term.
func (r *clusterClient) Promote(ctx context.Context, _, server, _ string, epoch uint64) error {
	done, err := r.call(ctx, true)
	if err != nil {
		return err
	}
	w := r.cluster
	if w.servers[server].down || w.refusePromotion {
		done()
		return port.Errorf(port.Conflict, "server %s does not run", server)
	}
	w.promotions = append(w.promotions, promotionCall{server: server, epoch: epoch})
	var old *fakeServer
	newest := group.Term(0)
	chosen := w.servers[server]
	members := w.members(chosen.group)
	for _, s := range members {
		newest = max(newest, s.term)
		if s.primary {
			old = s
		}
	}
	if !chosen.primary {
		for _, s := range members {
			s.primary = false
		}
		chosen.primary, chosen.term = true, newest+1
	}
	instances := make(map[string]*testInstance, len(w.instances))
	for name, i := range w.instances {
		instances[name] = i
	}
	done()
	if old != nil && old.name != server {
		w.noteUsers(instances, old, newest)
	}
	return nil
}

// members returns the servers of a group. The lock is held.
func (w *cluster) members(groupName string) []*fakeServer {
	var members []*fakeServer
	for _, s := range w.servers {
		if s.group == groupName {
			members = append(members, s)
		}
	}
	return members
}

// noteUsers notes the instances that rely on a primary that was replaced just now.
func (w *cluster) noteUsers(instances map[string]*testInstance, old *fakeServer, term group.Term) {
	for name, i := range instances {
		if i.views.Leads(old.group, old.name, term) {
			w.mu.Lock()
			w.usedAtPromotion = append(w.usedAtPromotion, name)
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
	isCut := r.cluster.cut[address]
	done()
	if isCut {
		<-ctx.Done()
		return nil, port.Errorf(port.Unavailable, "no answer")
	}
	if !found {
		return nil, port.Errorf(port.Unavailable, "nobody there")
	}
	return i, nil
}

// Exchange asks a relay.
func (r *clusterClient) Exchange(ctx context.Context, address string, ask proxy.ExchangeRequest) (proxy.ExchangeResponse, error) {
	i, err := r.peer(ctx, address)
	if err != nil {
		return proxy.ExchangeResponse{}, err
	}
	report := i.hub.Exchange(ctx, ask)
	// A cut may begin while the relay holds the answer.
	if _, err := r.peer(ctx, address); err != nil {
		return proxy.ExchangeResponse{}, err
	}
	return report, nil
}

// Suspend has an instance let go of a primary.
func (r *clusterClient) Suspend(ctx context.Context, address string, p proxy.StoredPrimacy) (port.Version, error) {
	i, err := r.peer(ctx, address)
	if err != nil {
		return 0, err
	}
	return i.hub.Suspend(ctx, p), nil
}

// Notify has an instance ask a member.
func (r *clusterClient) Notify(ctx context.Context, address string, m proxy.Member) error {
	i, err := r.peer(ctx, address)
	if err == nil {
		i.hub.Notify(m)
	}
	return err
}

// Extend asks an instance to extend leases.
func (r *clusterClient) Extend(ctx context.Context, address string, versions map[string]port.Version) (bool, error) {
	i, err := r.peer(ctx, address)
	if err != nil {
		return false, err
	}
	return i.hub.Extend(versions), nil
}

// Survey asks an instance about a server.
func (r *clusterClient) Survey(ctx context.Context, address string, q proxy.SurveyRequest) (proxy.SurveyResponse, error) {
	i, err := r.peer(ctx, address)
	if err != nil {
		return proxy.SurveyResponse{}, err
	}
	return i.hub.Survey(ctx, q), nil
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
	switch {
	case s == nil || s.down || r.cluster.partial[r.name+"/"+e.Server]:
		return nil, statement.Result{}, port.Errorf(port.Unavailable, "no server there")
	case s.full:
		return nil, statement.Result{}, port.Errorf(port.NoConnection, "too many connections")
	}
	s.conns++
	return &fakeLink{clusterClient: r, server: s, lost: make(chan struct{})}, statement.Result{Position: s.position()}, nil
}

func (s *fakeServer) position() group.Position { return group.Position{Term: s.term, Offset: s.offset} }

// fakeLink is a connection to a fake server.
type fakeLink struct {
	clusterClient *clusterClient
	server        *fakeServer
	lost          chan struct{}
	inTx          bool
	once          sync.Once
}

// Do runs the orders.
func (l *fakeLink) Do(ctx context.Context, orders ...statement.Command) ([]statement.Result, error) {
	done, err := l.clusterClient.call(ctx, false)
	if err != nil {
		return nil, err
	}
	if l.server.down {
		done()
		return nil, port.Errorf(port.Unavailable, "the connection is lost")
	}
	answers := make([]statement.Result, 0, len(orders))
	for _, o := range orders {
		answers = append(answers, l.run(o))
	}
	fault := l.server.fault
	done()
	return l.deliver(answers, orders[len(orders)-1], fault)
}

// deliver returns the answers, or loses them.
func (l *fakeLink) deliver(answers []statement.Result, last statement.Command, f fault) ([]statement.Result, error) {
	forward, isForward := last.(statement.Forward)
	_, isCommit := forward.Request.Statement.(statement.Commit)
	switch {
	case !isForward:
	case f == loseAnswer, f == loseCommit && isCommit:
		return nil, port.Errorf(port.Unavailable, "the answer is lost")
	case f == slow:
		elapse(slowness)
	}
	return answers, nil
}

func (l *fakeLink) run(o statement.Command) statement.Result {
	s := l.server
	a := statement.Result{Proof: "proof", Position: s.position()}
	switch o := o.(type) {
	case statement.AssignValue, statement.PrepareShape:
		if s.fault == refuseValues {
			a.Failure = statement.Failure{Kind: port.StatementFailed, Text: "refused"}
		}
	case statement.OpenTransaction:
		l.inTx = true
	case statement.RollbackTransaction:
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

func (l *fakeLink) forward(o statement.Forward) statement.Failure {
	s := l.server
	if _, ends := o.Request.Statement.(statement.Commit); ends {
		l.inTx = false
	}
	_, writes := o.Request.Statement.(statement.Write)
	switch {
	case s.fault == busy:
		return statement.Failure{Kind: port.Busy}
	case writes && !s.primary:
		return statement.Failure{Kind: port.ReadOnly}
	case writes:
		s.offset++
	case o.After.Offset > s.offset:
		return statement.Failure{Kind: port.Lagging}
	}
	return statement.Failure{}
}

// Lost is never closed.
func (l *fakeLink) Lost() <-chan struct{} { return l.lost }

// Close ends the connection.
func (l *fakeLink) Close() {
	l.once.Do(func() {
		l.clusterClient.cluster.mu.Lock()
		defer l.clusterClient.cluster.mu.Unlock()
		l.server.conns--
	})
}

// TakeRate takes from an instance's reserve.
func (r *clusterClient) TakeRate(ctx context.Context, lender proxy.Member, organisation string) (bool, error) {
	i, err := r.peer(ctx, lender.Address)
	if err != nil {
		return false, err
	}
	return i.reserve.Take(organisation), nil
}
