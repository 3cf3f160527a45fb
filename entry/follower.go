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
	// DocumentPollWait is how long one poll for the document waits. A confirmation counts from the start of its poll, so
	// the document's age at a relay reaches twice this time.
	DocumentPollWait = time.Second
	// DocumentTimeout is how long a source may take to answer, apart from the time it was asked to wait.
	DocumentTimeout = time.Second
	// StaleResponseAge is the age from which a relay's report counts as a failure of the relay, so that another source,
	// which may know more, is asked before the document stops being fresh.
	StaleResponseAge = 5 * time.Second
	// PeerPollAge is the age of a relay's confirmation from which it asks the relays of the other data centres. It is above
	// the age that a relay reaches while the store answers.
	PeerPollAge = 2500 * time.Millisecond
	// PeerPollPeriod is how often a relay looks whether it has to ask.
	PeerPollPeriod = time.Second

	// maxPatches is the number of earlier revisions from which a relay keeps patches. A follower is behind by more
	// only after it was silent, and making a patch takes about as long as reading the document.
	maxPatches = 2

	followerCapacity = 64
	relayRetryDelay  = 200 * time.Millisecond
	storeRetryDelay  = time.Second
	minPollInterval  = 100 * time.Millisecond
)

// FollowRequest asks another instance for the document.
type FollowRequest struct {
	// KnownRevision is the revision that the asking instance has.
	KnownRevision document.Revision
	// MaxWait is how long to wait for a greater one.
	MaxWait time.Duration
}

// FollowResponse is the answer to a RelayPoll.
type FollowResponse struct {
	// Revision is the one in force at the answering instance.
	Revision document.Revision
	// Document or Patch gives that revision, the patch from the known one. Both are empty when the asking instance has
	// the revision already.
	Document document.Document
	Patch    document.Patch
	// Confirmed is true when Age tells how long before the answer the revision was known to be the newest.
	Confirmed bool
	Age       time.Duration
	// Attestations tells what the relays of the data centres vouched for.
	Attestations []Attestation
	// WaitTime is how long the answer was held back.
	WaitTime time.Duration
}

// Attestation says that Age before the answer no revision greater than the report's was known in the data centre.
type Attestation struct {
	DataCentre string
	Age        time.Duration
}

// RelayClient reaches other instances.
type RelayClient interface {
	// Follow asks the instance at the address for the document. Errors are of kind Unavailable.
	Follow(ctx context.Context, address string, poll FollowRequest) (FollowResponse, error)
	// Offer hands a document to the instance at the address and returns the revision in force there afterwards. Errors
	// are of kind Unavailable.
	Offer(ctx context.Context, address string, d document.Document) (document.Revision, error)
}

// FollowerConfig is what a Follower needs.
type FollowerConfig struct {
	Self instance.Instance
	// Seeds are addresses of instances that are asked when no listed relay answers.
	Seeds  []string
	Store  port.Store
	Relays RelayClient
	Timer  port.Timer
	// Log takes one line for the operator. It may be nil.
	Log func(line string)
}

// Follower is the duty that keeps the document in force. Its loop owns what is known; readers take the published
// state.
type Follower struct {
	cfg       FollowerConfig
	inbox     *ring.Ring[followerTask]
	published atomic.Pointer[followerState]

	// The fields below belong to the loop.
	state               followerState
	documentSubscribers []func(document.Document)
	listSubscribers     []func(instance.List)
}

// followerState is what a follower publishes. newer is closed when a greater revision is published. patches lead from
// the earlier revisions in recent to the one in force.
type followerState struct {
	localCopy       document.LocalCopy
	list            instance.List
	revisionChanged chan struct{}
	recent          []document.Document
	patches         map[document.Revision]document.Patch
}

// followerTask is an event with the channel that is closed when it was applied.
type followerTask struct {
	event   followerEvent
	applied chan struct{}
}

// followerEvent is what a follower takes from its ring. It is one of storeConfirmed, relayReported, listRead,
// documentOffered, documentsWanted and listsWanted.
type followerEvent interface{ followerEvent() }

// storeConfirmed says that the store held the revision at the instant. The document is empty when it was seen before.
type storeConfirmed struct {
	revision document.Revision
	document document.Document
	at       time.Duration
}

// responseReceived is a report that was held from the instant until the answer left.
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

// NewFollower returns a follower that knows no document until Run.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{
		cfg:   cfg,
		inbox: ring.New[followerTask](followerCapacity),
		state: followerState{localCopy: document.NewLocalCopy(cfg.Timer.Now()), revisionChanged: make(chan struct{})},
	}
	f.publish()
	return f
}

// Run follows the document until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	poller := &documentPoller{
		follower: f, sources: instance.NewSources(f.cfg.Self, f.cfg.Seeds...), failing: make(map[instance.Source]bool),
		sections: sectionReader{store: f.cfg.Store, timer: f.cfg.Timer},
	}
	asker := &peerPoller{follower: f, sources: instance.NewSources(f.cfg.Self)}
	reader := &listReader{follower: f}
	var running sync.WaitGroup
	running.Go(func() { f.loop(ctx) })
	running.Go(func() { poller.loop(ctx) })
	running.Go(func() { asker.loop(ctx) })
	running.Go(func() { reader.loop(ctx) })
	running.Wait()
}

// Document returns the document in force. Its revision is zero when none is known.
func (f *Follower) Document() document.Document { return f.published.Load().localCopy.Document() }

// List returns the latest list of instances.
func (f *Follower) List() instance.List { return f.published.Load().list }

// CurrentDocument returns the document in force, indexed, and whether it is fresh. The instant is taken first, so that the
// document is at least as new as the instant for which freshness is told.
func (f *Follower) CurrentDocument() (document.Index, bool) {
	now := f.cfg.Timer.Now()
	local := f.published.Load().localCopy
	return local.Index(), local.IsFreshAt(now)
}

// Staleness returns how long ago the document was last known to be the newest.
func (f *Follower) Staleness() (time.Duration, bool) {
	now := f.cfg.Timer.Now()
	return f.published.Load().localCopy.AgeAt(now)
}

// WaitForRevision returns the document as soon as its revision is at least r.
func (f *Follower) WaitForRevision(ctx context.Context, r document.Revision) (document.Document, error) {
	for {
		state := f.published.Load()
		if state.localCopy.Revision() >= r {
			return state.localCopy.Document(), nil
		}
		select {
		case <-state.revisionChanged:
		case <-ctx.Done():
			return document.Document{}, port.Wrapf(context.Cause(ctx), port.Timeout, "revision %d is not in force yet", r)
		}
	}
}

// Install puts a document in force if its revision is greater, and returns the revision in force afterwards.
func (f *Follower) Install(ctx context.Context, d document.Document) (document.Revision, error) {
	if err := f.submit(ctx, documentOffered{document: d}); err != nil {
		return 0, port.Wrapf(err, port.Unavailable, "revision %d was not taken", d.Revision)
	}
	return f.Document().Revision, nil
}

// Subscribe calls deliver with the document in force, if there is one, and with each later one. deliver must not block.
func (f *Follower) Subscribe(ctx context.Context, deliver func(document.Document)) error {
	return f.inbox.Put(ctx, followerTask{event: documentSubscribed{deliver}, applied: make(chan struct{})})
}

// SubscribeList calls deliver with the list of instances and with each changed one. deliver must not block.
func (f *Follower) SubscribeList(ctx context.Context, deliver func(instance.List)) error {
	return f.inbox.Put(ctx, followerTask{event: listSubscribed{deliver}, applied: make(chan struct{})})
}

// HandleFollow answers another instance's poll. It waits for a revision greater than the known one, as long as the poll
// says and DocumentWait at most.
func (f *Follower) HandleFollow(ctx context.Context, request FollowRequest) FollowResponse {
	began := f.cfg.Timer.Now()
	if wait := min(request.MaxWait, DocumentPollWait); wait > 0 {
		waiting, cancel := port.WithTimeout(ctx, f.cfg.Timer, wait)
		// The report is the same whether a document came or the time is over.
		_, _ = f.WaitForRevision(waiting, request.KnownRevision+1)
		cancel()
	}
	// The instant is taken before the state: a document that was taken before the instant is in the report.
	now := f.cfg.Timer.Now()
	state := f.published.Load()
	local := state.localCopy
	response := FollowResponse{Revision: local.Revision(), WaitTime: now - began}
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

// submit hands an event to the loop and waits until it was applied.
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

// publishChanges publishes the state and tells those who wait for what changed since before.
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

// withPatches returns the state with the patches to the document in force, of which previous is the predecessor. Only
// relays need them.
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

// withResponse applies a report. Its ages count back from the instant at which the answer left, which is at the latest
// the instant of the question plus the time that the answer was held.
func withResponse(local document.LocalCopy, e responseReceived) document.LocalCopy {
	local = local.WithDocument(e.response.Document)
	if patched, faults := local.Document().WithPatch(e.response.Patch); len(faults) == 0 {
		local = local.WithDocument(patched)
	}
	if e.response.Confirmed {
		local = local.WithConfirmation(e.response.Revision, e.at-max(e.response.Age, 0))
	}
	for _, v := range e.response.Attestations {
		local = local.WithAttestation(v.DataCentre, e.response.Revision, e.at-max(v.Age, 0))
	}
	return local
}
