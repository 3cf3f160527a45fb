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
	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/cmd/startup"
	"github.com/rhubarbwick/rhubarbwick/platform"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// transactionsFraction is the fraction of the time between SIGTERM and SIGKILL in which open transactions may end, and
	// statementsFraction that in which statements that are running then may end. The rest is left for deregistration.
	transactionsFraction = 0.5
	statementsFraction   = 0.8
	// deregisterTimeout limits the update of the instance's record when it stops.
	deregisterTimeout = 500 * time.Millisecond
)

// process is one entry instance with its components and sockets.
type process struct {
	settings        platform.Settings
	settingsPath    string
	drainTimeout    atomic.Int64
	store           *platform.Store
	promotions      *platform.PromotionClient
	log             *zap.Logger
	timer           *clock.Service
	views           *proxy.PrimaryViews
	state           *proxy.ClusterState
	registration    *proxy.Registration
	dispatcher      *proxy.Dispatcher
	sessions        *proxy.SessionManager
	syncer          *proxy.Syncer
	promoter        *proxy.Promoter
	listener        *platform.Listener
	readinessServer *platform.HTTPServer
	peerServer      *fleet.Server
	peerService     *proxy.PeerService
	lending         *fleet.LendingClient
	decisions       *decisions.Log
	guard           *clientlimit.Guard
	metrics         *metrics.Gateway
	metricsServer   *platform.HTTPServer
	gate            *proxy.ReadinessGate
	// maintenance is nil if the deployment has no maintenance.
	maintenance *proxy.MaintenanceMonitor
}

// newProcess opens the sockets and creates the components.
func newProcess(ctx context.Context, s platform.Settings, incarnation string, log *startup.Log) (*process, error) {
	debug.SetMemoryLimit(clientlimit.HeapLimit(s.MemoryMB))
	name := zap.String("instance", s.Name)
	p := &process{settings: s, log: log.Process.With(name), timer: clock.NewBootTimeService()}
	p.decisions = decisions.New(p.log, log.Requests.With(name), p.timer)
	p.guard = clientlimit.NewGuard(s.ClientPlan(), p.timer, func(limit clientlimit.Limit, total uint64) {
		p.log.Warn("clients: limit reached", zap.String("limit", string(limit)), zap.Uint64("total", total))
	})
	p.metrics = p.newMetrics(log.Dropped)
	socket, err := platform.Listen(ctx, s.PeerAddress, "other instances")
	if err != nil {
		return nil, err
	}
	self := proxy.Member{
		Name: s.Name, Incarnation: incarnation, Address: socket.Addr().String(), DataCentre: s.DataCentre,
		Weight: s.Cores,
	}
	store := platform.NewStore(s.StoreAddress, p.metrics.RecordStoreCall)
	p.store, p.promotions = store, platform.NewPromotionClient(s.CloudAddress)
	p.drainTimeout.Store(int64(s.DrainTimeout))
	dialer := platform.NewServerDialer()
	p.views = proxy.NewPrimaryViews(p.timer, p.metrics)
	p.state = proxy.NewClusterState(self, p.timer, p.views, s.RevocationTimeout)
	p.gate = &proxy.ReadinessGate{Timer: p.timer, State: p.state, Views: p.views}
	peers := fleet.NewClient(platform.NewDialer())
	p.lending = fleet.NewLendingClient(platform.NewDialer())
	p.dispatcher = proxy.NewDispatcher(proxy.DispatcherConfig{
		DataCentre: s.DataCentre, Timer: p.timer, Views: p.views, Dialer: dialer,
		ConnectionLimit: p.state.ConnectionLimit, WarmUp: s.WarmUpTolerance, Regions: s.Regions, ColdRate: p.state.ColdRate, Self: self,
		Members: p.state.Records, ServersReadAt: p.state.ServersReadAt, OrganisationNames: p.state.OrganisationNames, Recorder: p.metrics, RemotePools: p.lending, SurveyPeer: peers.Survey,
		Maintenance: p.state.Maintenance, SpillOver: s.SpillOver,
	})
	p.state.OnServersChanged(p.dispatcher.SetListings)
	rateReserve := proxy.NewRateReserve(proxy.RateReserveConfig{
		Self: self, Timer: p.timer, Documents: p.state, Records: p.state.Records, Tolerance: s.RateTolerance,
	})
	rateLimiter := proxy.NewDistributedRateLimiter(p.timer, p.state, rateReserve, p.lending)
	p.sessions = proxy.NewSessionManager(proxy.SessionManagerConfig{
		Timer: p.timer, Dispatcher: p.dispatcher, Views: p.views, Documents: p.state, RateLimiter: rateLimiter, Recorder: p.metrics,
		DocumentAge: p.state.DocumentAge, IsIsolated: p.gate.IsIsolated, DocumentChanged: p.state.Changed,
		AwaitState: p.gate.Await, Maintenance: p.state, SessionLimits: s.Clients.Session, Guard: p.guard,
	})
	notifications := ring.New[proxy.Member](0)
	p.peerService = proxy.NewPeerService(proxy.PeerServiceConfig{
		Self: self, Timer: p.timer, State: p.state, Views: p.views, Dispatcher: p.dispatcher, Dialer: dialer,
		Notifications: notifications,
	})
	readers := &proxy.StoreReaders{Documents: store, Listings: store, Records: store, State: p.state, Timer: p.timer}
	p.useMaintenance(readers)
	p.registration = &proxy.Registration{
		Self: self, Records: store, Readers: readers, State: p.state, Timer: p.timer,
	}
	p.syncer = proxy.NewSyncer(proxy.SyncerConfig{
		Self: self, Timer: p.timer, State: p.state, Peers: peers, PeerService: p.peerService, Readers: readers,
		Notifications: notifications, SetIsolated: p.setIsolated, Recorder: p.metrics,
	})
	p.promoter = proxy.NewPromoter(proxy.PromoterConfig{
		Self: self, Timer: p.timer, State: p.state, Readers: readers, Peers: peers, Views: p.views, Dispatcher: p.dispatcher,
		Dialer: dialer, Records: store, Promotions: p.promotions,
		Recorder: p.metrics,
	})
	p.peerServer = fleet.NewServer(p.peerService, p.sessions, rateReserve, socket, p.metrics)
	return p, p.listen(ctx)
}

// newMetrics returns the metrics. droppedLines returns the number of log lines that were dropped.
func (p *process) newMetrics(droppedLines func() uint64) *metrics.Gateway {
	return metrics.NewGateway(metrics.GatewayState{
		DocumentRevision: func() uint64 {
			source, _ := p.state.CurrentDocument()
			return uint64(source.Document().Revision)
		},
		DocumentAge:     func() time.Duration { return p.state.DocumentAge() },
		InstanceCount:   func() int { return p.state.InstanceCount() },
		DroppedLogLines: func() uint64 { return p.decisions.Dropped() + droppedLines() },
		IsOpen:          func() bool { return p.gate.IsOpen() },
		Clients:         p.guard,
	}, p.decisions)
}

// reload applies changed settings. Changes of the listening addresses, the data centre or the name require a restart.
func (p *process) reload(s platform.Settings) {
	p.store.SetAddress(s.StoreAddress)
	p.promotions.SetAddress(s.CloudAddress)
	p.drainTimeout.Store(int64(s.DrainTimeout))
	restart := s.ClientAddress != p.settings.ClientAddress || s.ReadyAddress != p.settings.ReadyAddress ||
		s.PeerAddress != p.settings.PeerAddress || s.DataCentre != p.settings.DataCentre || s.Name != p.settings.Name ||
		s.SpillOver != p.settings.SpillOver
	p.log.Info("settings: reloaded", zap.String("store", s.StoreAddress), zap.Duration("drain", s.DrainTimeout),
		zap.Bool("needs_restart", restart))
}

// setIsolated closes the readiness gate and the idle sessions while the instance is isolated, so that clients connect to
// other instances.
func (p *process) setIsolated(isolated bool) {
	if !p.gate.SetIsolated(isolated) {
		return
	}
	if isolated {
		p.log.Warn("instance: isolated, callers are sent elsewhere")
		p.sessions.CloseIdleSessions()
		return
	}
	p.log.Info("instance: no longer isolated")
}

// listen opens the sockets for clients, readiness checks and metrics.
func (p *process) listen(ctx context.Context) error {
	var err error
	if p.listener, err = platform.NewListener(ctx, p.settings, p.sessions, p.guard, p.timer); err != nil {
		return err
	}
	if p.readinessServer, err = platform.NewReadinessServer(ctx, p.settings, p.guard, p.gate.IsOpen); err != nil {
		return err
	}
	p.metricsServer, err = platform.NewHTTPServer(ctx, p.settings.MetricsAddress, "GET /", p.settings.Clients, p.guard, p.operatorHandler())
	return err
}

// run serves until ctx is cancelled, and then stops after the pending requests have ended.
func (p *process) run(ctx context.Context) error {
	p.log.Info("instance: started", zap.String("data_centre", p.settings.DataCentre))
	reloader := platform.NewReloader(p.settingsPath, p.settings, p.timer, p.reload, func(err error) {
		p.log.Warn("settings: the file cannot be used, the settings stay", zap.Error(err))
	})
	checker := &proxy.DocumentChecker{State: p.state, Recorder: p.metrics, Describe: platform.WithPlatformNames}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var running sync.WaitGroup
	for _, run := range []func(context.Context){
		p.timer.Run, p.dispatcher.Run, p.sessions.Run, p.gate.Run, p.runSyncer, p.promoter.Run, p.listener.Run, p.decisions.Run, p.registration.Run, reloader.Run, checker.Run,
	} {
		running.Go(func() { run(runCtx) })
	}
	if p.maintenance != nil {
		running.Go(func() { p.maintenance.Run(runCtx) })
	}
	running.Go(p.readinessServer.Run)
	running.Go(p.metricsServer.Run)
	running.Go(p.peerServer.Run)
	<-ctx.Done()
	p.shutDown()
	stop()
	p.readinessServer.Close()
	p.metricsServer.Close()
	p.peerServer.Close()
	p.lending.Close()
	running.Wait()
	p.log.Info("instance: stopped")
	return nil
}

// runSyncer registers the instance and then keeps its cluster state up to date.
func (p *process) runSyncer(ctx context.Context) {
	p.registration.Register(ctx)
	p.syncer.Run(ctx)
}

// shutDown stops accepting clients, waits for the sessions to end, and deregisters the instance.
func (p *process) shutDown() {
	p.log.Info("instance: stopping")
	p.gate.Close()
	p.listener.Close()
	timeout := float64(p.drainTimeout.Load())
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Duration(statementsFraction*timeout))
	p.sessions.Drain(stopCtx, time.Duration(transactionsFraction*timeout))
	cancel()
	p.peerService.Stop()
	stopCtx, cancel = context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := p.registration.Deregister(stopCtx); err != nil {
		p.log.Warn("instance: its record stays", zap.Error(err))
	}
}
