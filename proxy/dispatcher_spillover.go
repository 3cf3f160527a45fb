package proxy

import (
	"math"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// shareReportStep is by how much a share must change to be reported again. A share at 0.8 has been reported eight times.
const shareReportStep = 0.1

// SpillShareChanged reports that another share of the reads at a server's pool leaves the data centre.
type SpillShareChanged struct {
	Group  string
	Server string
	Share  float64
	Reason dispatch.SpillReason
	// Load is the smoothed load of the server.
	Load dispatch.PoolLoad
}

func (SpillShareChanged) event() {}

// spillState is the dispatcher's spill-over state for the pool of one server.
type spillState struct {
	over       dispatch.SpillOver
	surveyedAt time.Duration
	// surveying holds the servers whose owners are being asked.
	surveying map[string]bool
	reported  float64
}

// place chooses a server for the waiter. It reports whether the waiter was refused instead.
func (d *Dispatcher) place(w *waiter, now time.Duration, ahead map[string]int) (choice dispatch.Choice, ended bool) {
	candidates, in := d.candidates(w, now), d.routingContext(w, now)
	_, isReader := w.request.Need.(dispatch.NeedReader)
	if !isReader || w.checkOnly || !d.cfg.SpillOver.IsEnabled() {
		choice = dispatch.Choose(w.request.Need, candidates, in)
	} else if choice, ended = d.placeReader(w, candidates, in); ended {
		return choice, true
	}
	to, isChosen := choice.(dispatch.ToServer)
	if !isChosen {
		return choice, false
	}
	w.chosen = to.Server
	s := d.server(to.Server)
	if _, isRemote := d.remoteOwnerFor(w, s, now); isRemote {
		return choice, false
	}
	switch d.decideSpillOver(w, s, ahead[to.Server], now).(type) {
	case spillRefused:
		return choice, true
	case spillRerouted:
		return d.place(w, now, ahead)
	default:
		return choice, false
	}
}

// placeReader chooses a server for a read of this instance's own client. A read that is refused has no suitable server in
// its data centre except those that refused it before.
func (d *Dispatcher) placeReader(w *waiter, candidates []dispatch.Candidate, in dispatch.RoutingContext) (choice dispatch.Choice, ended bool) {
	if route, isAway := w.request.Spill.(SpillAway); isAway {
		choice = dispatch.ChooseServer(w.request.Need, route.Server, candidates, in)
		if _, isChosen := choice.(dispatch.ToServer); isChosen {
			return choice, false
		}
		w.request.Spill = SpillReturned{Server: route.Server}
	}
	_, isReturned := w.request.Spill.(SpillReturned)
	choice = dispatch.ChooseNear(w.request.Need, candidates, in, isReturned)
	to, isChosen := choice.(dispatch.ToServer)
	if !isChosen || d.server(to.Server).server.Listing.DataCentre == in.DataCentre || !dispatch.CanStay(w.request.Need, candidates, in) {
		return choice, false
	}
	switch w.request.Spill.(type) {
	case SpillOffer:
		// The primary is the only server here that can run the read, and replicas elsewhere cost less. They take it on the
		// same terms as other reads from here.
		w.request.Spill = SpillAway{Server: to.Server, MaxWait: w.request.ConnectionWait}
	case SpillReturned:
		w.reply.TryPut(grantResult{err: port.Errorf(port.Busy, "every suitable server of data centre %s has refused the read", in.DataCentre)})
		return choice, true
	}
	return choice, false
}

// spillDecision is the decision about a statement at a pool of this instance: spillAdmitted, spillRefused or spillRerouted.
type spillDecision interface{ spillDecision() }

// spillAdmitted leaves the decision to the queue of the pool.
type spillAdmitted struct{}

// spillRefused means that the waiter was refused.
type spillRefused struct{}

// spillRerouted means that the read of this instance's own client has another route.
type spillRerouted struct{}

func (spillAdmitted) spillDecision() {}
func (spillRefused) spillDecision()  {}
func (spillRerouted) spillDecision() {}

// decideSpillOver decides about a statement at the pool of a server that this instance connects to.
func (d *Dispatcher) decideSpillOver(w *waiter, s *serverState, ahead int, now time.Duration) spillDecision {
	switch route := w.request.Spill.(type) {
	case SpillAway:
		return d.admitForeign(w, s, route, ahead, now)
	case SpillOffer:
		if w.spillDecided || !d.cfg.SpillOver.IsEnabled() || !s.ownership.isOwner(d.cfg.Self.Incarnation) {
			return spillAdmitted{}
		}
		w.spillDecided = true
		return d.placeOffer(w, s, route, ahead, now)
	case SpillReturned:
		if !w.spillDecided {
			w.spillDecided = true
			s.spill.recordReturn(route, now)
		}
	}
	return spillAdmitted{}
}

// recordReturn records why a read returned.
func (p *spillState) recordReturn(route SpillReturned, now time.Duration) {
	switch {
	case route.Lost:
		p.over = p.over.WithoutNeighbour(route.Server)
	case route.Load.IsKnown():
		p.over = p.over.WithRefusal(route.Server, route.Load, now)
	default:
		p.over = p.over.WithUnsuitable(route.Server)
	}
}

// placeOffer decides whether a read stays at the pool of the server.
func (d *Dispatcher) placeOffer(w *waiter, s *serverState, offer SpillOffer, ahead int, now time.Duration) spillDecision {
	var placement dispatch.Placement
	s.spill.over, placement = s.spill.over.WithRead(d.cfg.SpillOver, d.poolLoad(s, ahead, now), offer.Bytes, now)
	d.reportShare(s, now)
	d.surveyNeighbours(s, now)
	away, leaves := placement.(dispatch.SendAway)
	if !leaves {
		return spillAdmitted{}
	}
	advice := SpillAway{Server: away.Server, MaxWait: away.MaxWait}
	if _, isLent := w.request.Need.(dispatch.NeedServer); !isLent {
		w.request.Spill = advice
		return spillRerouted{}
	}
	w.reply.TryPut(grantResult{err: &SpillRefusal{
		Err: port.Errorf(port.Busy, "the read should run at %s in another data centre", away.Server), Load: s.spill.over.Load(), Advice: advice,
	}})
	return spillRefused{}
}

// admitForeign refuses a read of another data centre if it would wait longer than its sender expects, or than the callers of
// this data centre may be delayed.
func (d *Dispatcher) admitForeign(w *waiter, s *serverState, route SpillAway, ahead int, now time.Duration) spillDecision {
	if w.dialing != "" {
		return spillAdmitted{}
	}
	load := d.poolLoad(s, ahead, now)
	expected := load.Wait
	if _, hasIdle := s.findIdle(w.request); !hasIdle {
		expected += dispatch.ConnectTime
	}
	limit := min(route.MaxWait, load.MaxForeignWait())
	if expected <= limit {
		return spillAdmitted{}
	}
	load.Wait = expected
	if _, isLent := w.request.Need.(dispatch.NeedServer); !isLent {
		w.request.Spill = SpillReturned{Server: route.Server, Load: load}
		return spillRerouted{}
	}
	w.reply.TryPut(grantResult{err: &SpillRefusal{
		Err: port.Errorf(port.Busy, "server %s is busier than expected: wait of %s, at most %s for other data centres", route.Server,
			expected.Round(time.Millisecond), limit.Round(time.Millisecond)),
		Load: load,
	}})
	return spillRefused{}
}

// poolLoad returns the load that a statement meets at a server of this instance's pools behind the given number of waiting
// statements.
func (d *Dispatcher) poolLoad(s *serverState, ahead int, now time.Duration) dispatch.PoolLoad {
	l := dispatch.PoolLoad{RunTime: s.server.Latency()}
	if s.isFull(now) {
		l.Wait = l.RunTime * time.Duration(ahead+1) / time.Duration(max(s.server.Listing.Slots, 1))
	}
	return l
}

func (d *Dispatcher) reportShare(s *serverState, now time.Duration) {
	share := s.spill.over.Share(now)
	if math.Abs(share-s.spill.reported) < shareReportStep && (share == 0) == (s.spill.reported == 0) {
		return
	}
	s.spill.reported = share
	d.cfg.Recorder.Record(SpillShareChanged{
		Group: s.server.Listing.Group, Server: s.server.Listing.Name, Share: share, Reason: s.spill.over.Reason(now), Load: s.spill.over.Load(),
	})
}

// reportIdleShares reports shares that ended because no reads arrived, or because another instance owns the pool now.
func (d *Dispatcher) reportIdleShares(now time.Duration) {
	for _, s := range d.servers {
		if s.spill.reported > 0 {
			d.reportShare(s, now)
		}
	}
}

// PoolLoad returns the load of a server whose pool this instance owns; it is unknown for other servers.
func (d *Dispatcher) PoolLoad(server string) dispatch.PoolLoad {
	if !d.cfg.SpillOver.IsEnabled() {
		return dispatch.PoolLoad{}
	}
	q := poolLoadQuery{server: server, reply: ring.New[dispatch.PoolLoad](1)}
	d.send(q)
	load, err := q.reply.Take(d.stopped)
	if err != nil {
		return dispatch.PoolLoad{}
	}
	return load
}

// poolLoadQuery asks for the load of a server.
type poolLoadQuery struct {
	server string
	reply  *ring.Ring[dispatch.PoolLoad]
}

func (poolLoadQuery) dispatcherCommand() {}
func (poolLoadQuery) spillCommand()      {}

// spillCommand is a command about spill-over: poolLoadQuery or spillSurveyed.
type spillCommand interface {
	dispatcherCommand
	spillCommand()
}

func (d *Dispatcher) handleSpillCommand(c spillCommand, now time.Duration) {
	switch c := c.(type) {
	case poolLoadQuery:
		d.answerPoolLoad(c, now)
	case spillSurveyed:
		d.handleSpillSurvey(c, now)
	}
}

// answerPoolLoad implements PoolLoad.
func (d *Dispatcher) answerPoolLoad(q poolLoadQuery, now time.Duration) {
	s := d.server(q.server)
	if s == nil || s.delisted || d.isInMaintenance(s) || !s.server.IsUp(now) || !s.ownership.isOwner(d.cfg.Self.Incarnation) ||
		d.checkWarmUp(s, now) || d.hasRemoteOwner(s, now) {
		q.reply.TryPut(dispatch.PoolLoad{})
		return
	}
	waiting := 0
	for _, w := range d.waiters {
		if w.chosen == q.server {
			waiting++
		}
	}
	s.spill.over = s.spill.over.WithLoad(d.poolLoad(s, waiting, now), now)
	q.reply.TryPut(s.spill.over.Load())
}
