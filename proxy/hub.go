package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// longestWait bounds how long a relay holds an answer back.
	longestWait = time.Second
	// freshRecords is the age up to which a relay's records are worth having: an older relay has lost the store, and
	// another one may reach it.
	freshRecords = 1200 * time.Millisecond
	// lastStatements is how long statements at a primary that is replaced as planned have to end.
	lastStatements = 500 * time.Millisecond
	// outstandingCheck is how often an instance looks whether they have.
	outstandingCheck = 10 * time.Millisecond
)

// PeerServiceConfig is what a Hub needs.
type PeerServiceConfig struct {
	Self       Member
	Timer      port.Timer
	State      *ClusterState
	Views      *PrimaryViews
	Dispatcher *Dispatcher
	// Dialer connects to servers that another instance doubts.
	Dialer Dialer
	// Notifications takes the members that have newer records.
	Notifications *ring.Ring[Member]
}

// PeerService answers other instances. It is safe for concurrent use.
type PeerService struct {
	cfg PeerServiceConfig

	// stopped is true once the instance extends no leases any more.
	stopped atomic.Bool

	mu sync.Mutex
	// heard holds when each instance last asked.
	heard map[string]time.Duration
}

// NewPeerService returns a hub that was told nothing.
func NewPeerService(cfg PeerServiceConfig) *PeerService {
	return &PeerService{cfg: cfg, heard: make(map[string]time.Duration)}
}

// Stop has the hub extend no leases any more, because others no longer ask this instance whether it has let go.
func (h *PeerService) Stop() { h.stopped.Store(true) }

// SetRelay tells the hub whether the instance is the relay of its data centre.
func (h *PeerService) SetRelay(isRelay bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !isRelay {
		// Only a relay asks who has been silent.
		clear(h.heard)
	}
}

// HeardFrom returns when the instance last asked this one, and false when it did not for a while.
func (h *PeerService) HeardFrom(incarnation string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, found := h.heard[incarnation]
	for other, heard := range h.heard {
		if h.cfg.Timer.Now()-heard > 2*silentLimit {
			delete(h.heard, other)
		}
	}
	return at, found
}

// Exchange answers an instance. It waits for something that the instance does not know.
func (h *PeerService) Exchange(ctx context.Context, ask ExchangeRequest) ExchangeResponse {
	began := h.cfg.Timer.Now()
	h.note(ask.From, began)
	h.await(ctx, ask, began+min(ask.Wait, longestWait))
	now := h.cfg.Timer.Now()
	r := ExchangeResponse{Held: now - began}
	h.tellKnowledge(&r, ask, now)
	return r
}

// Suspend stops using the primary of the record's term. In a planned replacement, statements that run there may end
// first. It returns MembershipHistory.SettledVersion.
func (h *PeerService) Suspend(ctx context.Context, p StoredPrimacy) port.Version {
	h.cfg.Views.Take(p, 0, 0)
	if p.Record.Replacement != nil && p.Record.Replacement.Planned {
		until := h.cfg.Timer.Now() + lastStatements
		for h.cfg.Dispatcher.Outstanding(p.Record.Primary) > 0 && h.cfg.Timer.Now() < until {
			if port.Sleep(ctx, h.cfg.Timer, outstandingCheck) != nil {
				break
			}
		}
	}
	h.cfg.Views.Release(p.Record)
	return h.cfg.State.MembershipHistory().SettledVersion(h.cfg.Timer.Now())
}

// Extend reports whether this instance knows of no newer record than those of the versions. It may say so only after it
// has read the records itself: an earlier start may have confirmed a replacement.
func (h *PeerService) Extend(versions map[string]port.Version) bool {
	if h.stopped.Load() {
		return false
	}
	if _, known := h.cfg.State.Records(); !known {
		return false
	}
	for name, known := range h.cfg.Views.Versions() {
		if known > versions[name] {
			return false
		}
	}
	return true
}

// Notify has the newest records asked for at the member.
func (h *PeerService) Notify(m Member) { h.cfg.Notifications.PutDroppingOldest(m) }

// Survey tells how long ago the server answered this instance.
func (h *PeerService) Survey(ctx context.Context, q SurveyRequest) SurveyResponse {
	if q.Suspect {
		h.cfg.Dispatcher.Doubt(q.Server)
	}
	heardAt, heard := h.cfg.Dispatcher.HeardAt(q.Server)
	hearing := SurveyResponse{Incarnation: h.cfg.Self.Incarnation, Age: h.cfg.Timer.Now() - heardAt, HasAnswered: heard}
	if !q.Probe || heard && hearing.Age <= hearingLimit {
		return hearing
	}
	servers, _ := h.cfg.State.Servers()
	if l, listed := servers[q.Server]; listed && answers(ctx, h.cfg.Timer, h.cfg.Dialer, l) {
		hearing.HasAnswered, hearing.Age = true, 0
	}
	return hearing
}

func (h *PeerService) note(m Member, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[m.Incarnation] = now
}

// await returns when the asker lacks something or the instant has come.
func (h *PeerService) await(ctx context.Context, ask ExchangeRequest, until time.Duration) {
	for {
		changed := h.cfg.State.Changed()
		left := until - h.cfg.Timer.Now()
		if left <= 0 || h.isNews(ask) {
			return
		}
		waiting, cancel := port.WithTimeout(ctx, h.cfg.Timer, left)
		select {
		case <-changed:
		case <-waiting.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
	}
}

func (h *PeerService) isNews(ask ExchangeRequest) bool {
	index, _ := h.cfg.State.CurrentDocument()
	_, at := h.cfg.State.Servers()
	records, _ := h.cfg.State.Records()
	return index.Document().Revision > ask.KnownRevision || at > ask.KnownServers || records.Version() > ask.KnownRecords
}

// tellKnowledge fills in what the asker does not know.
func (h *PeerService) tellKnowledge(r *ExchangeResponse, ask ExchangeRequest, now time.Duration) {
	k := h.cfg.State
	index, _ := k.CurrentDocument()
	if d := index.Document(); d.Revision > ask.KnownRevision {
		r.Document = &d
	}
	r.DocumentAge = k.DocumentAge()
	if servers, at := k.Servers(); servers != nil && at != ask.KnownServers {
		r.Servers, r.ServersVersion = servers, at
	}
	records, known := k.Records()
	if !known {
		return
	}
	r.RecordsVersion, r.RecordsAge, r.ReadAge = records.Version(), now-records.AskedAt, now-records.ReadAt
	r.Fresh = r.ReadAge <= freshRecords
	if r.RecordsVersion != ask.KnownRecords {
		r.Records = records.Objects
	}
}
