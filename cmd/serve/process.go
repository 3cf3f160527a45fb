package serve

import (
	"context"
	"crypto/tls"
	"net"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/adapter/admin"
	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/adapter/connlimit"
	"github.com/rhubarbwick/rhubarbwick/adapter/console"
	"github.com/rhubarbwick/rhubarbwick/adapter/metrics"
	"github.com/rhubarbwick/rhubarbwick/adapter/operator"
	"github.com/rhubarbwick/rhubarbwick/adapter/peer"
	"github.com/rhubarbwick/rhubarbwick/adapter/platform"
	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/cmd/startup"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// startingConnections is the number of connections beyond the limit of clients for clients that are logging in and for
// cancel requests.
const startingConnections = 64

// process is one entry instance with its components and sockets.
type process struct {
	cfg          settings.Settings
	self         instance.Instance
	log          *zap.Logger
	requestLog   *zap.Logger
	timer        *clock.Service
	metrics      *metrics.Metrics
	store        port.Store
	follower     *entry.Follower
	editor       *entry.Editor
	sectionGC    *entry.SectionGC
	survey       *entry.Survey
	limitManager *entry.LimitManager
	rateLimit    entry.RateLimit
	router       *entry.Router
	groups       *entry.GroupManager
	pool         *postgres.Pool
	listener     *postgres.Listener
	guard        *clientlimit.Guard
	peerServer   *peer.Server
	adminServer  *admin.Server

	clientSocket, peerSocket, adminSocket net.Listener
}

// newProcess opens the sockets and creates the components.
func newProcess(ctx context.Context, cfg settings.Settings, incarnation string, log *startup.Log) (*process, error) {
	p := &process{cfg: cfg, log: log.Process, requestLog: log.Requests, timer: clock.NewService(), metrics: metrics.New(log.Dropped)}
	debug.SetMemoryLimit(clientlimit.HeapLimit(cfg.Clients.MemoryMB))
	plan := clientlimit.NewPlan(int64(cfg.Clients.MemoryMB)<<20, cfg.Clients.MaxConnections+startingConnections, clientlimit.PostgresPlace)
	p.guard = clientlimit.NewGuard(plan.WithStarting(startingConnections), p.timer, func(limit clientlimit.Limit, total uint64) {
		p.log.Named("callers").Warn("limit reached", zap.String("limit", string(limit)), zap.Uint64("total", total))
	})
	p.metrics.RegisterClients(p.guard)
	if err := p.listen(ctx); err != nil {
		return nil, err
	}
	p.self = instance.Instance{
		Incarnation: incarnation,
		Address:     p.peerSocket.Addr().String(),
		DataCentre:  cfg.Instance.DataCentre,
		State:       instance.Live,
	}
	if cfg.Instance.PeerAdvertise != "" {
		p.self.Address = cfg.Instance.PeerAdvertise
	}
	store, err := platform.NewStore(cfg.Platform.StoreURL, p.timer)
	if err != nil {
		return nil, err
	}
	p.store = p.metrics.Store(store)
	if err := p.assembleDocument(); err != nil {
		return nil, err
	}
	return p, p.assembleProxy()
}

func (p *process) listen(ctx context.Context) error {
	config := net.ListenConfig{KeepAliveConfig: postgres.KeepAlive}
	for _, l := range []struct {
		socket  *net.Listener
		key     string
		address string
	}{
		{&p.clientSocket, "caller_listen", p.cfg.Instance.ClientListen},
		{&p.peerSocket, "peer_listen", p.cfg.Instance.PeerListen},
		{&p.adminSocket, "admin_listen", p.cfg.Instance.AdminListen},
	} {
		socket, err := config.Listen(ctx, "tcp", l.address)
		if err != nil {
			return port.Wrapf(err, port.Invalid, "cannot listen on [instance] %s = %q", l.key, l.address)
		}
		*l.socket = socket
	}
	p.adminSocket = connlimit.Wrap(p.adminSocket, p.cfg.Instance.AdminConnections, p.guard)
	return nil
}

// assembleDocument creates the components that follow and edit the document, the limits, and the server for other
// instances.
func (p *process) assembleDocument() error {
	secret := []byte(p.cfg.Session.TokenSecret)
	peers, err := peer.NewClient(secret)
	if err != nil {
		return err
	}
	log := p.log.Named("document")
	p.follower = entry.NewFollower(entry.FollowerConfig{
		Self:   p.self,
		Seeds:  p.cfg.Instance.SeedList(),
		Store:  p.store,
		Relays: peers,
		Timer:  p.timer,
		Log:    func(line string) { log.Info(line) },
	})
	p.editor = entry.NewEditor(entry.EditorConfig{
		Self:     p.self,
		Store:    p.store,
		Relays:   peers,
		Follower: p.follower,
		Timer:    p.timer,
		Wall:     time.Now,
		NewID:    startup.NewIncarnation,
		Log:      func(line string) { log.Info(line) },
	})
	p.sectionGC = entry.NewSectionGC(entry.SectionGCConfig{
		Self:     p.self,
		Store:    p.store,
		Follower: p.follower,
		Timer:    p.timer,
		Log:      func(line string) { log.Info(line) },
	})
	p.survey = entry.NewSurvey(entry.SurveyConfig{
		Self:     p.self,
		Follower: p.follower,
		Relays:   peers,
		Timer:    p.timer,
	})
	p.limitManager = entry.NewLimitManager(entry.LimitManagerConfig{
		Store:  p.store,
		Timer:  p.timer,
		Holder: p.self.Incarnation,
		Policy: newPolicy(p.cfg.Limits),
	})
	p.peerServer, err = peer.NewServer(p.follower, p.limitManager, secret)
	p.rateLimit = p.newRateLimit(peers)
	p.assembleForwarding(peers)
	return err
}

// newRateLimit returns the rate limit for the policy in the settings. Home instances and coordinators are of use only
// where shares follow demand.
func (p *process) newRateLimit(client *peer.Client) entry.RateLimit {
	if p.cfg.Limits.Policy != "demand" {
		return p.limitManager
	}
	return entry.NewHomeRateLimit(entry.HomeRateLimitConfig{
		Self:    p.self,
		Manager: p.limitManager,
		Next: entry.NewCoordinatedRateLimit(entry.CoordinatedRateLimitConfig{
			Self: p.self, Manager: p.limitManager, Client: client, Timer: p.timer, Instances: p.follower.List,
		}),
		Client:    client,
		Timer:     p.timer,
		Instances: p.follower.List,
	})
}

// assembleProxy creates the components between clients and servers.
func (p *process) assembleProxy() error {
	signer, err := session.NewSigner([]byte(p.cfg.Session.TokenSecret))
	if err != nil {
		return err
	}
	p.groups = entry.NewGroupManager(entry.GroupManagerConfig{
		Self:    p.self,
		Timer:   p.timer,
		Store:   p.store,
		Connect: p.newServerClient,
	})
	p.pool = postgres.NewPool(postgres.PoolConfig{
		User:            p.cfg.Servers.User,
		Password:        p.cfg.Servers.Password,
		CheckoutTimeout: settings.Milliseconds(p.cfg.Servers.WaitMS),
		ConnectTimeout:  settings.Milliseconds(p.cfg.Servers.ConnectMS),
		Observer:        p.metrics,
	}, p.limitManager, p.timer, p.log)
	selector := entry.NewGroupServerSelector(entry.GroupServerSelectorConfig{
		DataCentre: p.self.DataCentre,
		Timer:      p.timer,
		Monitor:    p.groups.Monitor,
	})
	tlsConfig, err := p.loadTLS()
	if err != nil {
		return err
	}
	authorizer := entry.NewDocumentAuthorizer(p.follower, signer, p.rateLimit)
	p.listener = postgres.NewListener(postgres.ListenerConfig{
		MaxClients:       p.cfg.Clients.MaxConnections,
		MaxMessageBytes:  p.cfg.Clients.MessageBytes,
		StartupTimeout:   settings.Milliseconds(p.cfg.Clients.StartUpMS),
		DrainIdleTimeout: settings.Milliseconds(p.cfg.Clients.IdleDrainMS),
		MessageTimeout:   settings.Milliseconds(p.cfg.Clients.MessageMS),
		WriteTimeout:     settings.Milliseconds(p.cfg.Clients.WriteMS),

		IdleTransactionTimeout: settings.Milliseconds(p.cfg.Clients.IdleTransactionMS),

		Guard:    p.guard,
		TLS:      tlsConfig,
		Observer: p.metrics,
		Forward:  &postgres.ForwardConfig{Authorizer: authorizer, Connector: p.router, Observer: p.metrics},
	}, p.metrics.Authorizer(authorizer), p.metrics.ServerSelector(selector), p.pool, p.timer, p.requestLog)
	p.peerServer.WithForwardHandler(forwardHandler{p.listener})
	p.assembleAdmin(signer)
	return nil
}

// assembleAdmin creates the admin server with the operators' service, the web console and the metrics.
func (p *process) assembleAdmin(signer session.Signer) {
	explainer := entry.NewExplainer(entry.ExplainerConfig{
		DataCentre: p.self.DataCentre,
		Follower:   p.follower,
		Signer:     signer,
		Timer:      p.timer,
		Monitor:    p.groups.Monitor,
		Candidates: p.router.Candidates,
	})
	p.adminServer = admin.NewServer(admin.Config{Follower: p.follower, Log: p.log})
	p.adminServer.Handle(operator.NewServer(operator.Config{
		Follower:       p.follower,
		Editor:         p.editor,
		Groups:         p.groups,
		Survey:         p.survey,
		Explainer:      explainer,
		PasswordSHA256: p.cfg.Console.PasswordSHA256,
	}).Handler())
	p.adminServer.Handle(console.Root, console.New(console.Config{
		Follower:       p.follower,
		Editor:         p.editor,
		Groups:         p.groups,
		Survey:         p.survey,
		Timer:          p.timer,
		Wall:           time.Now,
		PasswordSHA256: p.cfg.Console.PasswordSHA256,
		Secret:         []byte(p.cfg.Session.TokenSecret),
		Log:            p.log,
	}))
	p.metrics.RegisterState(metrics.State{
		Document:    p.follower.Document,
		DocumentAge: p.follower.Staleness,
		Groups:      p.groups.Overviews,
	})
	p.adminServer.Handle("GET /metrics", p.metrics.Handler())
	if p.cfg.Instance.Profile == "on" {
		p.adminServer.EnableProfiling()
	}
}

func (p *process) newServerClient(m group.Member) port.Server {
	return postgres.NewMaintenanceClient(postgres.MaintenanceClientConfig{
		Server:   m.Name,
		Address:  m.Address,
		User:     p.cfg.Servers.User,
		Password: p.cfg.Servers.Password,
	})
}

func (p *process) loadTLS() (*tls.Config, error) {
	if p.cfg.Clients.TLSCertificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(p.cfg.Clients.TLSCertificate, p.cfg.Clients.TLSKey)
	if err != nil {
		return nil, port.Wrapf(err, port.Invalid, "cannot load [callers] tls_certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

func newPolicy(cfg settings.Limits) allotment.Policy {
	switch cfg.Policy {
	case "static":
		return allotment.EqualSplit{Holders: cfg.InstanceCount}
	case "none":
		return allotment.Unshared{}
	}
	return allotment.ByDemand{}
}
