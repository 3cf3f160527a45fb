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
	// maxExchangeWait limits how long a relay delays a response while it waits for newer state.
	maxExchangeWait = time.Second
	// maxRelayRecordsAge is the age up to which a relay's records are useful. A relay with older records has lost the
	// store, and another one may still reach it.
	maxRelayRecordsAge = 1200 * time.Millisecond
	// plannedDrainTimeout is how long statements at a primary may take to finish in a planned replacement.
	plannedDrainTimeout = 500 * time.Millisecond
	// drainCheckInterval is how often an instance checks whether they have finished.
	drainCheckInterval = 10 * time.Millisecond
)

// PeerServiceConfig configures a PeerService.
type PeerServiceConfig struct {
	Self       Member
	Timer      port.Timer
	State      *ClusterState
	Views      *PrimaryViews
	Dispatcher *Dispatcher
	// Dialer connects to servers that another instance suspects.
	Dialer Dialer
	// Notifications receives the members that have newer records.
	Notifications *ring.Ring[Member]
}

// PeerService answers requests from other instances. It is safe for concurrent use.
type PeerService struct {
	cfg PeerServiceConfig

	// stopped is true once the instance no longer extends leases.
	stopped atomic.Bool

	mu sync.Mutex
	// lastExchange holds the time of each instance's last exchange.
	lastExchange map[string]time.Duration
}

// NewPeerService returns a peer service.
func NewPeerService(cfg PeerServiceConfig) *PeerService {
	return &PeerService{cfg: cfg, lastExchange: make(map[string]time.Duration)}
}

// Stop makes the service refuse to extend leases, because promoters no longer ask a stopping instance to release the
// primary.
func (h *PeerService) Stop() { h.stopped.Store(true) }

// SetRelay records whether the instance is the relay of its data centre.
func (h *PeerService) SetRelay(isRelay bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !isRelay {
		// Only a relay checks for unresponsive instances.
		clear(h.lastExchange)
	}
}

// LastExchangeFrom returns the time of the instance's last exchange, or false if there was none recently.
func (h *PeerService) LastExchangeFrom(incarnation string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, found := h.lastExchange[incarnation]
	for other, responded := range h.lastExchange {
		if h.cfg.Timer.Now()-responded > 2*unresponsiveTimeout {
			delete(h.lastExchange, other)
		}
	}
	return at, found
}

// Exchange returns the state that the requesting instance does not have. It waits until there is some, up to the
// request's wait.
func (h *PeerService) Exchange(ctx context.Context, req ExchangeRequest) ExchangeResponse {
	began := h.cfg.Timer.Now()
	h.recordExchange(req.From, began)
	h.waitForChange(ctx, req, began+min(req.Wait, maxExchangeWait))
	now := h.cfg.Timer.Now()
	res := ExchangeResponse{Held: now - began}
	h.fillResponse(&res, req, now)
	return res
}

// Suspend stops using the primary of the record's term. In a planned replacement, it waits for running statements to
// finish. It returns MembershipHistory.SettledVersion.
func (h *PeerService) Suspend(ctx context.Context, p StoredPrimacy) port.Version {
	h.cfg.Views.Update(p, 0, 0)
	if p.Record.Replacement != nil && p.Record.Replacement.Planned {
		until := h.cfg.Timer.Now() + plannedDrainTimeout
		for h.cfg.Dispatcher.Outstanding(p.Record.Primary) > 0 && h.cfg.Timer.Now() < until {
			if port.Sleep(ctx, h.cfg.Timer, drainCheckInterval) != nil {
				break
			}
		}
	}
	h.cfg.Views.Release(p.Record)
	return h.cfg.State.MembershipHistory().SettledVersion(h.cfg.Timer.Now())
}

// Extend reports whether this instance knows of no newer record than the given versions. It may do so only after it has
// read the records itself: an earlier process of this instance may have confirmed a replacement.
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

// Notify queues a request for the newest records to the member.
func (h *PeerService) Notify(m Member) { h.cfg.Notifications.PutDroppingOldest(m) }

// Survey reports when the server last responded to this instance.
func (h *PeerService) Survey(ctx context.Context, q SurveyRequest) SurveyResponse {
	if q.Suspect {
		h.cfg.Dispatcher.Suspect(q.Server)
	}
	respondedAt, responded := h.cfg.Dispatcher.LastResponseAt(q.Server)
	response := SurveyResponse{Incarnation: h.cfg.Self.Incarnation, Age: h.cfg.Timer.Now() - respondedAt, HasAnswered: responded}
	if !q.Probe || responded && response.Age <= maxPrimaryResponseAge {
		return response
	}
	servers, _ := h.cfg.State.Servers()
	if l, listed := servers[q.Server]; listed && canConnect(ctx, h.cfg.Timer, h.cfg.Dialer, l) {
		response.HasAnswered, response.Age = true, 0
	}
	return response
}

func (h *PeerService) recordExchange(m Member, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastExchange[m.Incarnation] = now
}

// waitForChange returns when there is state that the requesting instance does not have, or at the deadline.
func (h *PeerService) waitForChange(ctx context.Context, req ExchangeRequest, until time.Duration) {
	for {
		changed := h.cfg.State.Changed()
		remaining := until - h.cfg.Timer.Now()
		if remaining <= 0 || h.hasNewerState(req) {
			return
		}
		waiting, cancel := port.WithTimeout(ctx, h.cfg.Timer, remaining)
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

func (h *PeerService) hasNewerState(req ExchangeRequest) bool {
	index, _ := h.cfg.State.CurrentDocument()
	_, at := h.cfg.State.Servers()
	records, _ := h.cfg.State.Records()
	return index.Document().Revision > req.KnownRevision || at > req.KnownServers || records.Version() > req.KnownRecords
}

// fillResponse adds the state that the requesting instance does not have.
func (h *PeerService) fillResponse(res *ExchangeResponse, req ExchangeRequest, now time.Duration) {
	state := h.cfg.State
	index, _ := state.CurrentDocument()
	if d := index.Document(); d.Revision > req.KnownRevision {
		res.Document = &d
	}
	res.DocumentAge = state.DocumentAge()
	if servers, at := state.Servers(); servers != nil && at != req.KnownServers {
		res.Servers, res.ServersVersion = servers, at
	}
	records, known := state.Records()
	if !known {
		return
	}
	res.RecordsVersion, res.RecordsAge, res.ReadAge = records.Version(), now-records.RequestedAt, now-records.ReadAt
	res.Fresh = res.ReadAge <= maxRelayRecordsAge
	if res.RecordsVersion != req.KnownRecords {
		res.Records = records.Objects
	}
}
