package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/adapter/admin"
	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/adapter/console"
	"github.com/rhubarbwick/rhubarbwick/adapter/metrics"
	"github.com/rhubarbwick/rhubarbwick/adapter/operator"
	"github.com/rhubarbwick/rhubarbwick/adapter/peer"
	"github.com/rhubarbwick/rhubarbwick/adapter/platform"
	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/cmd/startup"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// peerDrain is how long other instances' calls may take while the instance stops.
const peerDrain = time.Second

// process is one entry instance with all its duties.
type process struct {
	cfg       settings.Settings
	self      instance.Instance
	log       *zap.Logger
	timer     *clock.Service
	metrics   *metrics.Metrics
	store     port.Store
	follower  *entry.Follower
	editor    *entry.Editor
	collector *entry.SectionGC
	survey    *entry.Survey
	keeper    *entry.LimitManager
	rates     entry.RateLimit
	router    *entry.Router
	groups    *entry.GroupManager
	pool      *postgres.Pool
	listener  *postgres.Listener
	peers     *peer.Server
	admin     *admin.Server

	caller, peer, operator net.Listener
}

// newProcess opens the sockets and assembles the parts.
func newProcess(ctx context.Context, cfg settings.Settings, incarnation string, log *zap.Logger) (*process, error) {
	p := &process{cfg: cfg, log: log, timer: clock.NewService(), metrics: metrics.New()}
	if err := p.listen(ctx); err != nil {
		return nil, err
	}
	p.self = instance.Instance{
		Incarnation: incarnation,
		Address:     p.peer.Addr().String(),
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
	return p, p.assembleCallers()
}

func (p *process) listen(ctx context.Context) error {
	var open net.ListenConfig
	for _, l := range []struct {
		socket  *net.Listener
		key     string
		address string
	}{
		{&p.caller, "caller_listen", p.cfg.Instance.ClientListen},
		{&p.peer, "peer_listen", p.cfg.Instance.PeerListen},
		{&p.operator, "admin_listen", p.cfg.Instance.AdminListen},
	} {
		socket, err := open.Listen(ctx, "tcp", l.address)
		if err != nil {
			return port.Wrapf(err, port.Invalid, "[instance] %s = %q cannot be opened", l.key, l.address)
		}
		*l.socket = socket
	}
	return nil
}

// assembleDocument makes the parts that keep the document in force.
func (p *process) assembleDocument() error {
	secret := []byte(p.cfg.Session.TokenSecret)
	relays, err := peer.NewClient(secret)
	if err != nil {
		return err
	}
	log := p.log.Named("document")
	p.follower = entry.NewFollower(entry.FollowerConfig{
		Self:   p.self,
		Seeds:  p.cfg.Instance.SeedList(),
		Store:  p.store,
		Relays: relays,
		Timer:  p.timer,
		Log:    func(line string) { log.Info(line) },
	})
	p.editor = entry.NewEditor(entry.EditorConfig{
		Self:     p.self,
		Store:    p.store,
		Relays:   relays,
		Follower: p.follower,
		Timer:    p.timer,
		Wall:     time.Now,
		NewID:    startup.NewIncarnation,
		Log:      func(line string) { log.Info(line) },
	})
	p.collector = entry.NewSectionGC(entry.SectionGCConfig{
		Self:     p.self,
		Store:    p.store,
		Follower: p.follower,
		Timer:    p.timer,
		Log:      func(line string) { log.Info(line) },
	})
	p.survey = entry.NewSurvey(entry.SurveyConfig{
		Self:     p.self,
		Follower: p.follower,
		Relays:   relays,
		Timer:    p.timer,
	})
	p.keeper = entry.NewLimitManager(entry.LimitManagerConfig{
		Store:  p.store,
		Timer:  p.timer,
		Holder: p.self.Incarnation,
		Policy: policyOf(p.cfg.Limits),
	})
	p.peers, err = peer.NewServer(p.follower, p.keeper, secret)
	p.rates = p.assembleRates(relays)
	p.assembleForwarding(relays)
	return err
}

// assembleRates returns the rate limit of the settings' policy. Homes and stewards make sense only where shares follow demand.
func (p *process) assembleRates(peers *peer.Client) entry.RateLimit {
	if p.cfg.Limits.Policy != "demand" {
		return p.keeper
	}
	return entry.NewHomeRateLimit(entry.HomeRateLimitConfig{
		Self:    p.self,
		Manager: p.keeper,
		Next: entry.NewCoordinatedRateLimit(entry.CoordinatedRateLimitConfig{
			Self: p.self, Manager: p.keeper, Client: peers, Timer: p.timer, Instances: p.follower.List,
		}),
		Client:    peers,
		Timer:     p.timer,
		Instances: p.follower.List,
	})
}

// assembleCallers makes the parts between callers and servers.
func (p *process) assembleCallers() error {
	signer, err := session.NewSigner([]byte(p.cfg.Session.TokenSecret))
	if err != nil {
		return err
	}
	p.groups = entry.NewGroupManager(entry.GroupManagerConfig{
		Self:    p.self,
		Timer:   p.timer,
		Store:   p.store,
		Connect: p.connect,
	})
	p.pool = postgres.NewPool(postgres.PoolConfig{
		User:            p.cfg.Servers.User,
		Password:        p.cfg.Servers.Password,
		CheckoutTimeout: settings.Milliseconds(p.cfg.Servers.WaitMS),
		ConnectTimeout:  settings.Milliseconds(p.cfg.Servers.ConnectMS),
		Observer:        p.metrics,
	}, p.keeper, p.timer, p.log)
	director := entry.NewGroupServerSelector(entry.GroupServerSelectorConfig{
		DataCentre: p.self.DataCentre,
		Timer:      p.timer,
		Monitor:    p.groups.Monitor,
	})
	certificate, err := p.tls()
	if err != nil {
		return err
	}
	gate := entry.NewDocumentAuthorizer(p.follower, signer, p.rates)
	p.listener = postgres.NewListener(postgres.ListenerConfig{
		MaxClients:       p.cfg.Clients.MaxConnections,
		MaxMessageBytes:  p.cfg.Clients.MessageBytes,
		StartupTimeout:   settings.Milliseconds(p.cfg.Clients.StartUpMS),
		DrainIdleTimeout: settings.Milliseconds(p.cfg.Clients.IdleDrainMS),
		TLS:              certificate,
		Observer:         p.metrics,
		Forward:          &postgres.ForwardConfig{Authorizer: gate, Connector: p.router, Observer: p.metrics},
	}, p.metrics.Authorizer(gate), p.metrics.ServerSelector(director), p.pool, p.timer, p.log)
	p.peers.WithReceiver(receiver{p.listener})
	p.assembleOperators(signer)
	return nil
}

// assembleOperators makes what operators and the platform reach.
func (p *process) assembleOperators(signer session.Signer) {
	explainer := entry.NewExplainer(entry.ExplainerConfig{
		DataCentre: p.self.DataCentre,
		Follower:   p.follower,
		Signer:     signer,
		Timer:      p.timer,
		Monitor:    p.groups.Monitor,
		Candidates: p.router.Candidates,
	})
	p.admin = admin.NewServer(admin.Config{Follower: p.follower, Log: p.log})
	p.admin.Handle(operator.NewServer(operator.Config{
		Follower:       p.follower,
		Editor:         p.editor,
		Groups:         p.groups,
		Survey:         p.survey,
		Explainer:      explainer,
		PasswordSHA256: p.cfg.Console.PasswordSHA256,
	}).Handler())
	p.admin.Handle(console.Root, console.New(console.Config{
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
	p.admin.Handle("GET /metrics", p.metrics.Handler())
	if p.cfg.Instance.Profile == "on" {
		p.admin.EnableProfiling()
	}
}

func (p *process) connect(m group.Member) port.Server {
	return postgres.NewMaintenanceClient(postgres.MaintenanceClientConfig{
		Server:   m.Name,
		Address:  m.Address,
		User:     p.cfg.Servers.User,
		Password: p.cfg.Servers.Password,
	})
}

func (p *process) tls() (*tls.Config, error) {
	if p.cfg.Clients.TLSCertificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(p.cfg.Clients.TLSCertificate, p.cfg.Clients.TLSKey)
	if err != nil {
		return nil, port.Wrapf(err, port.Invalid, "[callers] tls_certificate cannot be loaded")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

func policyOf(cfg settings.Limits) allotment.Policy {
	switch cfg.Policy {
	case "static":
		return allotment.EqualSplit{Holders: cfg.InstanceCount}
	case "none":
		return allotment.Unshared{}
	}
	return allotment.ByDemand{}
}

// run serves until ctx ends, then stops without cutting a request.
func (p *process) run(ctx context.Context, out io.Writer) error {
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	// The timer service stops last, because the other duties bound their own stop by it.
	timing, stopTimer := context.WithCancel(context.WithoutCancel(ctx))
	var timer sync.WaitGroup
	timer.Go(func() { p.timer.Run(timing) })
	defer timer.Wait()
	defer stopTimer()
	var running sync.WaitGroup
	for _, run := range []func(context.Context){
		p.follower.Run, p.editor.Run, p.collector.Run, p.keeper.Run, p.groups.Run, p.pool.Run,
		p.router.Run,
	} {
		running.Go(func() { run(duties) })
	}
	peers := p.peers.HTTPServer()
	operators := p.admin.HTTPServer()
	running.Go(func() { p.serveHTTP("peers", peers, p.peer) })
	running.Go(func() { p.serveHTTP("admin", operators, p.operator) })
	if err := p.subscribe(duties); err != nil {
		return err
	}
	running.Go(func() { p.serveCallers(duties) })
	if err := p.announce(out); err != nil {
		return err
	}
	<-ctx.Done()
	p.drain(duties)
	closeHTTP(duties, peers, operators)
	stopDuties()
	running.Wait()
	p.log.Named("instance").Info("stopped")
	return nil
}

// subscribe passes each document and each list of instances on to the parts that follow them.
func (p *process) subscribe(ctx context.Context) error {
	for _, deliver := range []func(document.Document){
		p.keeper.SetDocument, p.pool.SetDocument, p.groups.SetDocument, p.router.SetDocument,
	} {
		if err := p.follower.Subscribe(ctx, deliver); err != nil {
			return err
		}
	}
	for _, deliver := range []func(instance.List){p.router.SetList, p.groups.SetList} {
		if err := p.follower.SubscribeList(ctx, deliver); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) announce(out io.Writer) error {
	_, err := fmt.Fprintf(out, "instance %s listens on %s for callers, %s for instances, %s for operators\n",
		p.self.Incarnation, p.caller.Addr(), p.peer.Addr(), p.operator.Addr())
	return err
}

func (p *process) serveCallers(ctx context.Context) {
	if err := p.listener.Serve(ctx, p.caller); err != nil {
		p.log.Named("callers").Error("listener stopped", zap.Error(err))
	}
}

func (p *process) serveHTTP(part string, server *http.Server, socket net.Listener) {
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		p.log.Named(part).Error("listener stopped", zap.Error(err))
	}
}

func (p *process) drain(ctx context.Context) {
	p.log.Named("instance").Info("stopping; running requests are finished first")
	p.admin.SetStopping()
	if err := p.listener.Stop(ctx); err != nil {
		p.log.Named("callers").Warn("a caller was cut off", zap.Error(err))
	}
}

func closeHTTP(ctx context.Context, servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(ctx, peerDrain)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}
