package gateway

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/platform"
	"github.com/rhubarbwick/rhubarbwick/proxy"
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
	settings  platform.Settings
	log       *zap.Logger
	timer     *clock.Service
	views     *proxy.Views
	documents *proxy.DocumentFollower
	listings  *proxy.ListingFollower
	registry  *proxy.Registry
	desk      *proxy.Desk
	house     *proxy.House
	promoter  *proxy.Promoter
	listener  *platform.Listener
	readiness *platform.Readiness
	draining  atomic.Bool
}

// newProcess opens the sockets and assembles the parts.
func newProcess(ctx context.Context, s platform.Settings, incarnation string, log *zap.Logger) (*process, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	p := &process{settings: s, log: log, timer: clock.NewBootService()}
	store := platform.NewStore(s.StoreAddress)
	dialer := platform.NewServerDialer()
	self := proxy.Member{Name: s.Name, Incarnation: incarnation, Address: s.PeerAddress, DataCentre: s.DataCentre}
	p.views = proxy.NewViews(p.timer)
	p.documents = proxy.NewDocumentFollower(store, p.timer, s.RevokeWithin, nil)
	p.registry = proxy.NewRegistry(proxy.RegistryConfig{Self: self, Records: store, Views: p.views, Timer: p.timer})
	p.desk = proxy.NewDesk(proxy.DeskConfig{
		DataCentre: s.DataCentre, Timer: p.timer, Views: p.views, Dialer: dialer,
		Limit: p.documents.Connections, Instances: p.registry.Instances,
	})
	p.listings = proxy.NewListingFollower(store, p.timer, func(m map[string]dispatch.Listing) { p.desk.SetListings(m) })
	p.house = proxy.NewHouse(proxy.HouseConfig{
		Timer: p.timer, Desk: p.desk, Views: p.views, Rules: p.documents,
		Rates: proxy.NewEvenRates(p.timer, p.documents, p.registry.Instances),
	})
	p.promoter = proxy.NewPromoter(proxy.PromoterConfig{
		Self: self, Timer: p.timer, Registry: p.registry, Listings: p.listings, Documents: p.documents, Views: p.views,
		Desk: p.desk, Dialer: dialer, Records: store, Promotions: platform.NewCloud(s.CloudAddress),
	})
	var err error
	if p.listener, err = platform.NewListener(ctx, s, p.house, p.timer); err != nil {
		return nil, err
	}
	p.readiness, err = platform.NewReadiness(ctx, s, p.isReady)
	return p, err
}

// isReady reports whether new callers can be served.
func (p *process) isReady() bool {
	_, known := p.registry.Snapshot()
	return known && p.documents.IsKnown() && p.listings.All() != nil && !p.draining.Load()
}

// run serves until ctx ends, then stops without cutting a request.
func (p *process) run(ctx context.Context) error {
	p.log.Info("instance: started", zap.String("name", p.settings.Name), zap.String("data_centre", p.settings.DataCentre))
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){
		p.timer.Run, p.desk.Run, p.documents.Run, p.listings.Run, p.registry.Run, p.promoter.Run, p.listener.Run,
	} {
		duties.Go(func() { duty(working) })
	}
	duties.Go(p.readiness.Run)
	<-ctx.Done()
	p.stop()
	stop()
	p.readiness.Close()
	duties.Wait()
	p.log.Info("instance: stopped")
	return nil
}

// stop takes no new callers, lets the sessions end, and removes the instance from the records.
func (p *process) stop() {
	p.log.Info("instance: stopping")
	p.draining.Store(true)
	p.listener.Close()
	limited, cancel := context.WithTimeout(context.Background(), time.Duration(drainShare*float64(p.settings.Drain)))
	p.house.Drain(limited)
	cancel()
	limited, cancel = context.WithTimeout(context.Background(), deregisterLimit)
	defer cancel()
	if err := p.registry.Deregister(limited); err != nil {
		p.log.Warn("instance: its record stays", zap.Error(err))
	}
}
