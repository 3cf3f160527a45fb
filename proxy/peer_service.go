package proxy

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// maxExchangeWait limits how long a relay delays a response while it waits for newer state.
	maxExchangeWait = time.Second
	// plannedDrainTimeout is how long statements at a primary may take to finish in a planned replacement.
	plannedDrainTimeout = 500 * time.Millisecond
	// unknownMemberInterval is the least time between two reads of the records because of the same unknown instance.
	unknownMemberInterval = time.Second
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
	// unknownSince holds the instances that the records lacked when they last exchanged state, and when the records were
	// last read because of them.
	unknownSince map[string]time.Duration
}

// NewPeerService returns a peer service.
func NewPeerService(cfg PeerServiceConfig) *PeerService {
	return &PeerService{cfg: cfg, lastExchange: make(map[string]time.Duration), unknownSince: make(map[string]time.Duration)}
}

// Stop makes the service refuse to extend leases, because promoters no longer ask a stopping instance to release the
// primary.
func (s *PeerService) Stop() { s.stopped.Store(true) }

// SetRelay records whether the instance is the relay of its data centre.
func (s *PeerService) SetRelay(isRelay bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isRelay {
		// Only a relay checks for unresponsive instances.
		clear(s.lastExchange)
	}
}

// LastExchangeFrom returns the time of the instance's last exchange, or false if there was none recently.
func (s *PeerService) LastExchangeFrom(incarnation string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, found := s.lastExchange[incarnation]
	for other, exchangedAt := range s.lastExchange {
		if s.cfg.Timer.Now()-exchangedAt > 2*unresponsiveTimeout {
			delete(s.lastExchange, other)
		}
	}
	return at, found
}

// Exchange returns the state that the requesting instance does not have. It waits until there is some, up to the
// request's wait.
func (s *PeerService) Exchange(ctx context.Context, req ExchangeRequest) ExchangeResponse {
	start := s.cfg.Timer.Now()
	s.recordExchange(req.From, start)
	s.checkRegistered(req.From, start)
	s.waitForChange(ctx, req, start+min(req.Wait, maxExchangeWait))
	now := s.cfg.Timer.Now()
	res := ExchangeResponse{Held: now - start}
	s.fillResponse(&res, req, now)
	return res
}

// Suspend stops using the primary of the record's term. In a planned replacement, it waits for running statements to
// finish. It returns MembershipHistory.SettledVersion.
func (s *PeerService) Suspend(ctx context.Context, p StoredPrimacy) port.Version {
	s.cfg.Views.Update(p, 0, 0)
	if p.Record.Replacement != nil && p.Record.Replacement.Planned {
		servers, _ := s.cfg.State.Servers()
		until := s.cfg.Timer.Now() + s.cfg.State.drainTimeout(servers[p.Record.Primary])
		for s.cfg.Dispatcher.Outstanding(p.Record.Primary) > 0 && s.cfg.Timer.Now() < until {
			if port.Sleep(ctx, s.cfg.Timer, drainCheckInterval) != nil {
				break
			}
		}
	}
	s.cfg.Views.Release(p)
	return s.cfg.State.MembershipHistory().SettledVersion(s.cfg.Timer.Now())
}

// Extend reports whether this instance knows of no newer record than the given versions. It may do so only after it has
// read the records itself: an earlier process of this instance may have confirmed a replacement.
func (s *PeerService) Extend(versions map[string]port.Version) bool {
	if s.stopped.Load() {
		return false
	}
	if _, known := s.cfg.State.Records(); !known {
		return false
	}
	for name, known := range s.cfg.Views.Versions() {
		if known > versions[name] {
			return false
		}
	}
	return true
}

// Notify queues a request for the newest records to the member.
func (s *PeerService) Notify(m Member) { s.cfg.Notifications.PutDroppingOldest(m) }

// Survey reports when the server last responded to this instance.
func (s *PeerService) Survey(ctx context.Context, req SurveyRequest) SurveyResponse {
	if req.Suspect {
		s.cfg.Dispatcher.suspectForPeer(req.Server)
	}
	respondedAt, responded := s.cfg.Dispatcher.LastResponseAt(req.Server)
	response := SurveyResponse{Incarnation: s.cfg.Self.Incarnation, Age: s.cfg.Timer.Now() - respondedAt, HasAnswered: responded}
	if req.WantsLoad {
		response.Load = s.cfg.Dispatcher.PoolLoad(req.Server)
	}
	if !req.Probe || responded && response.Age <= maxPrimaryResponseAge {
		return response
	}
	servers, _ := s.cfg.State.Servers()
	if l, listed := servers[req.Server]; listed && canConnect(ctx, s.cfg.Timer, s.cfg.Dialer, l) {
		response.HasAnswered, response.Age = true, 0
	}
	return response
}

func (s *PeerService) recordExchange(m Member, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastExchange[m.Incarnation] = now
}

// checkRegistered has the records read again if they lack the instance, which has registered since. It uses no primary
// until it gets records that contain it, and the next read may be half a second away.
func (s *PeerService) checkRegistered(m Member, now time.Duration) {
	records, known := s.cfg.State.Records()
	isRegistered := records.HasMember(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if isRegistered {
		delete(s.unknownSince, m.Incarnation)
		return
	}
	if last, seen := s.unknownSince[m.Incarnation]; !known || seen && now-last < unknownMemberInterval {
		return
	}
	for other, last := range s.unknownSince {
		if now-last > unresponsiveTimeout {
			delete(s.unknownSince, other)
		}
	}
	s.unknownSince[m.Incarnation] = now
	s.cfg.State.RecordsOutdated().TryPut(struct{}{})
}

// waitForChange returns when there is state that the requesting instance does not have, or at the deadline.
func (s *PeerService) waitForChange(ctx context.Context, req ExchangeRequest, until time.Duration) {
	for {
		changed := s.cfg.State.Changed()
		remaining := until - s.cfg.Timer.Now()
		if remaining <= 0 || s.hasNewerState(req) {
			return
		}
		awaitChange(ctx, s.cfg.Timer, changed, remaining)
		if ctx.Err() != nil {
			return
		}
	}
}

func (s *PeerService) hasNewerState(req ExchangeRequest) bool {
	index, _ := s.cfg.State.CurrentDocument()
	_, at := s.cfg.State.Servers()
	records, _ := s.cfg.State.Records()
	return index.Document().Revision > req.KnownRevision || at > req.KnownServers || records.Version() > req.KnownRecords ||
		s.cfg.State.hasNewerMaintenance(req.KnownMaintenance)
}

// fillResponse adds the state that the requesting instance does not have.
func (s *PeerService) fillResponse(res *ExchangeResponse, req ExchangeRequest, now time.Duration) {
	state := s.cfg.State
	index, _ := state.CurrentDocument()
	if d := index.Document(); d.Revision > req.KnownRevision {
		res.Document = &d
	}
	res.DocumentAge = state.DocumentAge()
	if servers, at := state.Servers(); servers != nil && at != req.KnownServers {
		res.Servers, res.ServersVersion = servers, at
	}
	res.ServersAge = now - state.ServersReadAt()
	if res.Maintenance = state.MaintenanceList(); res.Maintenance != nil {
		res.MaintenanceAge = now - state.MaintenanceReadAt()
	}
	records, known := state.Records()
	if !known {
		return
	}
	res.RecordsVersion, res.RecordsAge, res.ReadAge = records.Version(), now-records.RequestedAt, now-records.ReadAt
	path, hasSource := state.SourcePath()
	res.Path = append(slices.Clone(path), s.cfg.Self.Name)
	res.Fresh = hasSource && state.Overdue() <= 0
	if res.RecordsVersion != req.KnownRecords {
		res.Records = records.Objects
	}
}
