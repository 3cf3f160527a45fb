package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// DocumentObject is the name of the store object that holds the document.
	DocumentObject = "document"
	// DocumentPollWait is how long a poll for the document waits for a change. A confirmation dates from the start of its
	// poll, so the document's staleness at a relay reaches twice this time.
	DocumentPollWait = time.Second
	// DocumentTimeout limits a request to a source, in addition to the time that the source was asked to wait.
	DocumentTimeout = time.Second
	// StaleResponseAge is the staleness above which a relay's response counts as a failure of the relay. The follower then
	// switches to another source, which may be more up to date, before its own document is too stale to use.
	StaleResponseAge = 5 * time.Second
	// PeerPollAge is the staleness at which a relay polls the relays of the other data centres. It is above the staleness
	// that a relay reaches while the store answers.
	PeerPollAge = 2500 * time.Millisecond
	// PeerPollPeriod is how often a relay checks its staleness against PeerPollAge.
	PeerPollPeriod = time.Second

	// maxPatches is the number of earlier revisions from which a relay keeps patches. A follower lags by more only after an
	// interruption, and computing a patch takes about as long as reading the document.
	maxPatches = 2

	followerCapacity = 64
	relayRetryDelay  = 200 * time.Millisecond
	storeRetryDelay  = time.Second
	minPollInterval  = 100 * time.Millisecond
)

// FollowRequest asks another instance for its document.
type FollowRequest struct {
	// KnownRevision is the revision that the requesting instance has.
	KnownRevision document.Revision
	// MaxWait is how long to wait for a greater revision.
	MaxWait time.Duration
}

// FollowResponse is the response to a FollowRequest.
type FollowResponse struct {
	// Revision is the current revision of the responding instance.
	Revision document.Revision
	// Document or Patch contains that revision; Patch applies to the known revision. Both are empty if the requesting
	// instance already has the revision.
	Document document.Document
	Patch    document.Patch
	// Confirmed is true if the revision was known to be the newest. Age is how long before the response that was.
	Confirmed bool
	Age       time.Duration
	// Attestations are those that the relays of the data centres have made.
	Attestations []Attestation
	// WaitTime is how long the responding instance waited for a greater revision.
	WaitTime time.Duration
}

// Attestation states that, Age before the response, the data centre knew no revision greater than that of the response.
type Attestation struct {
	DataCentre string
	Age        time.Duration
}

// RelayClient sends requests to other instances.
type RelayClient interface {
	// Follow requests the document of the instance at the address. Errors are of kind Unavailable.
	Follow(ctx context.Context, address string, poll FollowRequest) (FollowResponse, error)
	// Offer sends a document to the instance at the address and returns the resulting revision there. Errors are of kind
	// Unavailable.
	Offer(ctx context.Context, address string, d document.Document) (document.Revision, error)
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Self instance.Instance
	// Seeds are addresses of instances that are polled if no listed relay answers.
	Seeds  []string
	Store  port.Store
	Relays RelayClient
	Timer  port.Timer
	// Log writes one line to the log. It may be nil.
	Log func(line string)
}

// Follower keeps the instance's copy of the document up to date. The state is modified only in the follower's goroutine;
// readers use the published state.
type Follower struct {
	cfg       FollowerConfig
	inbox     *ring.Ring[followerTask]
	published atomic.Pointer[followerState]

	// The fields below are accessed only by loop.
	state               followerState
	documentSubscribers []func(document.Document)
	listSubscribers     []func(instance.List)
}

// followerState is the state that a follower publishes. revisionChanged is closed when a greater revision is published.
// patches convert the earlier revisions in recent to the current one.
type followerState struct {
	localCopy       document.LocalCopy
	list            instance.List
	revisionChanged chan struct{}
	recent          []document.Document
	patches         map[document.Revision]document.Patch
}

// followerTask is an event and a channel that is closed after the event was applied.
type followerTask struct {
	event   followerEvent
	applied chan struct{}
}

// followerEvent is an event in the inbox of a follower. It is one of storeConfirmed, responseReceived, listRead,
// documentOffered, documentSubscribed and listSubscribed.
type followerEvent interface{ followerEvent() }

// storeConfirmed reports that the store had the revision at the time. document is empty if the revision is not new.
type storeConfirmed struct {
	revision document.Revision
	document document.Document
	at       time.Duration
}

// responseReceived reports a relay's response. at is a lower bound of the time at which the relay sent it.
type responseReceived struct {
	response FollowResponse
	at       time.Duration
}

type listRead struct{ list instance.List }

type documentOffered struct{ document document.Document }

type documentSubscribed struct{ deliver func(document.Document) }

type listSubscribed struct{ deliver func(instance.List) }

func (storeConfirmed) followerEvent()     {}
func (responseReceived) followerEvent()   {}
func (listRead) followerEvent()           {}
func (documentOffered) followerEvent()    {}
func (documentSubscribed) followerEvent() {}
func (listSubscribed) followerEvent()     {}

// NewFollower returns a Follower, which has no document until Run is called.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{
		cfg:   cfg,
		inbox: ring.New[followerTask](followerCapacity),
		state: followerState{localCopy: document.NewLocalCopy(cfg.Timer.Now()), revisionChanged: make(chan struct{})},
	}
	f.publish()
	return f
}

// Run keeps the document up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	poller := &documentPoller{
		follower: f, sources: instance.NewSources(f.cfg.Self, f.cfg.Seeds...), failing: make(map[instance.Source]bool),
		sections: sectionReader{store: f.cfg.Store, timer: f.cfg.Timer},
	}
	peers := &peerPoller{follower: f, sources: instance.NewSources(f.cfg.Self)}
	reader := &listReader{follower: f}
	var running sync.WaitGroup
	running.Go(func() { f.loop(ctx) })
	running.Go(func() { poller.loop(ctx) })
	running.Go(func() { peers.loop(ctx) })
	running.Go(func() { reader.loop(ctx) })
	running.Wait()
}

// Document returns the current document. Its revision is zero if none is known.
func (f *Follower) Document() document.Document { return f.published.Load().localCopy.Document() }

// List returns the latest list of instances.
func (f *Follower) List() instance.List { return f.published.Load().list }

// CurrentDocument returns the index of the current document and whether the document is fresh. The time is read before
// the state, so that freshness is not reported for a time later than that of the document.
func (f *Follower) CurrentDocument() (document.Index, bool) {
	now := f.cfg.Timer.Now()
	local := f.published.Load().localCopy
	return local.Index(), local.IsFreshAt(now)
}

// Staleness returns the time since the document was last known to be the newest.
func (f *Follower) Staleness() (time.Duration, bool) {
	now := f.cfg.Timer.Now()
	return f.published.Load().localCopy.AgeAt(now)
}

// WaitForRevision waits until the revision of the document is at least r.
func (f *Follower) WaitForRevision(ctx context.Context, r document.Revision) (document.Document, error) {
	for {
		state := f.published.Load()
		if state.localCopy.Revision() >= r {
			return state.localCopy.Document(), nil
		}
		select {
		case <-state.revisionChanged:
		case <-ctx.Done():
			return document.Document{}, port.Wrapf(context.Cause(ctx), port.Timeout, "timed out waiting for revision %d", r)
		}
	}
}

// Install replaces the current document if the given one has a greater revision, and returns the resulting revision.
func (f *Follower) Install(ctx context.Context, d document.Document) (document.Revision, error) {
	if err := f.submit(ctx, documentOffered{document: d}); err != nil {
		return 0, port.Wrapf(err, port.Unavailable, "revision %d was not installed", d.Revision)
	}
	return f.Document().Revision, nil
}

// Subscribe calls deliver with the current document, if there is one, and with each later one. deliver must not block.
func (f *Follower) Subscribe(ctx context.Context, deliver func(document.Document)) error {
	return f.inbox.Put(ctx, followerTask{event: documentSubscribed{deliver}, applied: make(chan struct{})})
}

// SubscribeList calls deliver with the current list of instances and with each changed one. deliver must not block.
func (f *Follower) SubscribeList(ctx context.Context, deliver func(instance.List)) error {
	return f.inbox.Put(ctx, followerTask{event: listSubscribed{deliver}, applied: make(chan struct{})})
}

// HandleFollow handles a request of another instance. It waits for a revision greater than the known one, for the
// requested time but at most DocumentPollWait.
func (f *Follower) HandleFollow(ctx context.Context, request FollowRequest) FollowResponse {
	startedAt := f.cfg.Timer.Now()
	if wait := min(request.MaxWait, DocumentPollWait); wait > 0 {
		waiting, cancel := port.WithTimeout(ctx, f.cfg.Timer, wait)
		// The response is built in the same way after a time-out.
		_, _ = f.WaitForRevision(waiting, request.KnownRevision+1)
		cancel()
	}
	// The time is read before the state, so that the response includes every document installed before that time.
	now := f.cfg.Timer.Now()
	state := f.published.Load()
	local := state.localCopy
	response := FollowResponse{Revision: local.Revision(), WaitTime: now - startedAt}
	if patch, found := state.patches[request.KnownRevision]; found {
		response.Patch = patch
	} else if local.Revision() > request.KnownRevision {
		response.Document = local.Document()
	}
	response.Age, response.Confirmed = local.AgeAt(now)
	for name, at := range local.AttestationsAt(now) {
		response.Attestations = append(response.Attestations, Attestation{DataCentre: name, Age: now - at})
	}
	return response
}

func (f *Follower) loop(ctx context.Context) {
	for {
		task, err := f.inbox.Take(ctx)
		if err != nil {
			return
		}
		f.apply(task.event)
		close(task.applied)
	}
}

// submit sends an event to the loop and waits until it was applied.
func (f *Follower) submit(ctx context.Context, e followerEvent) error {
	task := followerTask{event: e, applied: make(chan struct{})}
	if err := f.inbox.Put(ctx, task); err != nil {
		return err
	}
	select {
	case <-task.applied:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (f *Follower) apply(e followerEvent) {
	before := f.state
	switch e := e.(type) {
	case storeConfirmed:
		f.state.localCopy = before.localCopy.WithDocument(e.document).WithConfirmation(e.revision, e.at)
	case responseReceived:
		f.state.localCopy = withResponse(before.localCopy, e)
	case listRead:
		now := f.cfg.Timer.Now()
		if !e.list.Equal(before.list) {
			f.state.list = e.list
		}
		f.state.localCopy = before.localCopy.
			WithDataCentres(e.list.DataCentres(), now).
			WithRelay(e.list.IsRelay(f.cfg.Self), f.cfg.Self.DataCentre, now)
	case documentOffered:
		f.state.localCopy = before.localCopy.WithDocument(e.document)
	case documentSubscribed:
		f.documentSubscribers = append(f.documentSubscribers, e.deliver)
		if before.localCopy.Revision() > 0 {
			e.deliver(before.localCopy.Document())
		}
	case listSubscribed:
		f.listSubscribers = append(f.listSubscribers, e.deliver)
		e.deliver(before.list)
	}
	f.publishChanges(before)
}

// publishChanges publishes the state, and notifies waiters and subscribers of what has changed since before.
func (f *Follower) publishChanges(before followerState) {
	isNewer := f.state.localCopy.Revision() > before.localCopy.Revision()
	if isNewer {
		f.state.revisionChanged = make(chan struct{})
		f.state = f.state.withPatches(before.localCopy.Document(), f.state.list.IsRelay(f.cfg.Self))
	}
	f.publish()
	if isNewer {
		close(before.revisionChanged)
		for _, deliver := range f.documentSubscribers {
			deliver(f.state.localCopy.Document())
		}
	}
	if !f.state.list.Equal(before.list) {
		for _, deliver := range f.listSubscribers {
			deliver(f.state.list)
		}
	}
}

func (f *Follower) publish() {
	state := f.state
	f.published.Store(&state)
}

func (f *Follower) log(line string) {
	if f.cfg.Log != nil {
		f.cfg.Log("document: " + line)
	}
}

// withPatches returns the state with patches to the current document, which has replaced previous. Only relays need
// patches.
func (s followerState) withPatches(previous document.Document, isRelay bool) followerState {
	if !isRelay {
		s.recent, s.patches = nil, nil
		return s
	}
	recent := append(slices.Clone(s.recent), previous)
	s.recent = recent[max(0, len(recent)-maxPatches):]
	s.patches = make(map[document.Revision]document.Patch, len(s.recent))
	for _, d := range s.recent {
		if patch, ok := d.PatchTo(s.localCopy.Document()); ok && d.Revision > 0 {
			s.patches[d.Revision] = patch
		}
	}
	return s
}

// withResponse applies a response. Its ages are relative to the time at which it was sent. That time is not earlier than
// the time of the request plus the wait time, which is used instead so that the document never looks too fresh.
func withResponse(local document.LocalCopy, e responseReceived) document.LocalCopy {
	local = local.WithDocument(e.response.Document)
	if patched, violations := local.Document().WithPatch(e.response.Patch); len(violations) == 0 {
		local = local.WithDocument(patched)
	}
	if e.response.Confirmed {
		local = local.WithConfirmation(e.response.Revision, e.at-max(e.response.Age, 0))
	}
	for _, a := range e.response.Attestations {
		local = local.WithAttestation(a.DataCentre, e.response.Revision, e.at-max(a.Age, 0))
	}
	return local
}
