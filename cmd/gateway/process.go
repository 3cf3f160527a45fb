package gateway

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/adapter/decisions"
	"github.com/rhubarbwick/rhubarbwick/adapter/fleet"
	"github.com/rhubarbwick/rhubarbwick/adapter/metrics"
	"github.com/rhubarbwick/rhubarbwick/platform"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// memoryShare is the part of the machine's memory that the heap may take before it is collected more often.
	memoryShare = 0.6
	// drainShare is the part of the time until SIGKILL that open transactions have to end.
	drainShare = 0.5
	// deregisterLimit is how long the instance tries to remove its record when it stops.
	deregisterLimit = 500 * time.Millisecond
)

// process is one entry instance with all its duties.
type process struct {
	settings     platform.Settings
	path         string
	drain        atomic.Int64
	store        *platform.Store
	cloud        *platform.PromotionClient
	log          *zap.Logger
	timer        *clock.Service
	views        *proxy.PrimaryViews
	knowledge    *proxy.ClusterState
	registration *proxy.Registration
	dispatcher   *proxy.Dispatcher
	manager      *proxy.SessionManager
	syncer       *proxy.Syncer
	promoter     *proxy.Promoter
	listener     *platform.Listener
	readiness    *platform.HTTPServer
	peers        *fleet.Server
	hub          *proxy.PeerService
	lending      *fleet.LendingClient
	decisions    *decisions.Log
	metrics      *metrics.Gateway
	exposition   *platform.HTTPServer
	gate         *proxy.ReadinessGate
}

// newProcess opens the sockets and assembles the parts.
func newProcess(ctx context.Context, s platform.Settings, incarnation string, log *zap.Logger) (*process, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	log = log.With(zap.String("instance", s.Name))
	p := &process{settings: s, log: log, timer: clock.NewBootTimeService()}
	p.decisions = decisions.New(log, p.timer)
	p.metrics = p.newMetrics()
	socket, err := platform.Listen(ctx, s.PeerAddress, "other instances")
	if err != nil {
		return nil, err
	}
	self := proxy.Member{
		Name: s.Name, Incarnation: incarnation, Address: socket.Addr().String(), DataCentre: s.DataCentre,
		Weight: s.Cores,
	}
	store := platform.NewStore(s.StoreAddress, p.metrics.RecordStoreCall)
	p.store, p.cloud = store, platform.NewPromotionClient(s.CloudAddress)
	p.drain.Store(int64(s.DrainTimeout))
	dialer := platform.NewServerDialer()
	p.views = proxy.NewPrimaryViews(p.timer, p.metrics)
	p.knowledge = proxy.NewClusterState(self, p.timer, p.views, s.RevocationTimeout)
	p.gate = &proxy.ReadinessGate{Timer: p.timer, State: p.knowledge, Views: p.views}
	others := fleet.NewClient(platform.NewDialer())
	p.lending = fleet.NewLendingClient(platform.NewDialer())
	p.dispatcher = proxy.NewDispatcher(proxy.DispatcherConfig{
		DataCentre: s.DataCentre, Timer: p.timer, Views: p.views, Dialer: dialer,
		ConnectionLimit: p.knowledge.ConnectionLimit, Self: self, Members: p.knowledge.Records, OrganisationNames: p.knowledge.OrganisationNames, Recorder: p.metrics, RemotePools: p.lending, SurveyPeer: others.Survey,
	})
	p.knowledge.OnServersChanged(p.dispatcher.SetListings)
	reserve := proxy.NewRateReserve(proxy.RateReserveConfig{
		Self: self, Timer: p.timer, Documents: p.knowledge, Records: p.knowledge.Records, Tolerance: s.RateTolerance,
	})
	rates := proxy.NewDistributedRateLimiter(p.timer, p.knowledge, reserve, p.lending)
	p.manager = proxy.NewSessionManager(proxy.SessionManagerConfig{
		Timer: p.timer, Dispatcher: p.dispatcher, Views: p.views, Documents: p.knowledge, RateLimiter: rates, Recorder: p.metrics,
		DocumentAge: p.knowledge.DocumentAge, IsIsolated: p.gate.IsIsolated,
	})
	notices := ring.New[proxy.Member](0)
	p.hub = proxy.NewPeerService(proxy.PeerServiceConfig{
		Self: self, Timer: p.timer, State: p.knowledge, Views: p.views, Dispatcher: p.dispatcher, Dialer: dialer,
		Notifications: notices,
	})
	readers := &proxy.StoreReaders{Documents: store, Listings: store, Records: store, State: p.knowledge, Timer: p.timer}
	p.registration = &proxy.Registration{
		Self: self, Records: store, Readers: readers, State: p.knowledge, Timer: p.timer,
	}
	p.syncer = proxy.NewSyncer(proxy.SyncerConfig{
		Self: self, Timer: p.timer, State: p.knowledge, Peers: others, PeerService: p.hub, Readers: readers,
		Notifications: notices, SetIsolated: p.setIsolated, Recorder: p.metrics,
	})
	p.promoter = proxy.NewPromoter(proxy.PromoterConfig{
		Self: self, Timer: p.timer, State: p.knowledge, Readers: readers, Peers: others, Views: p.views, Dispatcher: p.dispatcher,
		Dialer: dialer, Records: store, Promotions: p.cloud,
		Recorder: p.metrics,
	})
	p.peers = fleet.NewServer(p.hub, p.manager, reserve, socket)
	return p, p.open(ctx)
}

func (p *process) newMetrics() *metrics.Gateway {
	return metrics.NewGateway(metrics.GatewayState{
		DocumentRevision: func() uint64 {
			rules, _ := p.knowledge.CurrentDocument()
			return uint64(rules.Document().Revision)
		},
		DocumentAge:     func() time.Duration { return p.knowledge.DocumentAge() },
		InstanceCount:   func() int { return p.knowledge.InstanceCount() },
		DroppedLogLines: p.decisions.Dropped,
		IsOpen:          func() bool { return p.gate.IsOpen() },
	}, p.decisions)
}

// reload takes over changed settings. Addresses that the process listens on take effect at its next start.
func (p *process) reload(s platform.Settings) {
	p.store.SetAddress(s.StoreAddress)
	p.cloud.SetAddress(s.CloudAddress)
	p.drain.Store(int64(s.DrainTimeout))
	restart := s.ClientAddress != p.settings.ClientAddress || s.ReadyAddress != p.settings.ReadyAddress ||
		s.PeerAddress != p.settings.PeerAddress || s.DataCentre != p.settings.DataCentre || s.Name != p.settings.Name
	p.log.Info("settings: reloaded", zap.String("store", s.StoreAddress), zap.Duration("drain", s.DrainTimeout),
		zap.Bool("needs_restart", restart))
}

// setIsolated sends callers elsewhere while the instance is cut off.
func (p *process) setIsolated(isolated bool) {
	if !p.gate.SetIsolated(isolated) {
		return
	}
	if isolated {
		p.log.Warn("instance: isolated, callers are sent elsewhere")
		p.manager.CloseIdleSessions()
		return
	}
	p.log.Info("instance: no longer isolated")
}

// open opens the sockets for callers, the platform and the readers of metrics.
func (p *process) open(ctx context.Context) error {
	var err error
	if p.listener, err = platform.NewListener(ctx, p.settings, p.manager, p.timer); err != nil {
		return err
	}
	if p.readiness, err = platform.NewReadinessServer(ctx, p.settings, p.gate.IsOpen); err != nil {
		return err
	}
	p.exposition, err = platform.NewHTTPServer(ctx, p.settings.MetricsAddress, "GET /metrics", p.metrics.Handler())
	return err
}

// run serves until ctx ends, then stops without cutting a request.
func (p *process) run(ctx context.Context) error {
	p.log.Info("instance: started", zap.String("data_centre", p.settings.DataCentre))
	reloader := platform.NewReloader(p.path, p.settings, p.timer, p.reload, func(err error) {
		p.log.Warn("settings: the file cannot be used, the settings stay", zap.Error(err))
	})
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){
		p.timer.Run, p.dispatcher.Run, p.runKnowledge, p.promoter.Run, p.listener.Run, p.decisions.Run, p.registration.Run, reloader.Run,
	} {
		duties.Go(func() { duty(working) })
	}
	duties.Go(p.readiness.Run)
	duties.Go(p.exposition.Run)
	duties.Go(p.peers.Run)
	<-ctx.Done()
	p.stop()
	stop()
	p.readiness.Close()
	p.exposition.Close()
	p.peers.Close()
	p.lending.Close()
	duties.Wait()
	p.log.Info("instance: stopped")
	return nil
}

// runKnowledge registers the instance and keeps its knowledge fresh.
func (p *process) runKnowledge(ctx context.Context) {
	p.registration.Register(ctx)
	p.syncer.Run(ctx)
}

// stop takes no new callers, lets the sessions end, and removes the instance from the records.
func (p *process) stop() {
	p.log.Info("instance: stopping")
	p.gate.Close()
	p.listener.Close()
	limited, cancel := context.WithTimeout(context.Background(), time.Duration(drainShare*float64(p.drain.Load())))
	p.manager.Drain(limited)
	cancel()
	p.hub.Stop()
	limited, cancel = context.WithTimeout(context.Background(), deregisterLimit)
	defer cancel()
	if err := p.registration.Deregister(limited); err != nil {
		p.log.Warn("instance: its record stays", zap.Error(err))
	}
}
