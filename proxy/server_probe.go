package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// probeTimeout limits how long a healthy server may take to accept a connection.
	probeTimeout = 500 * time.Millisecond
	// probeMargin is the additional time for another instance to report the result of its probe.
	probeMargin = 100 * time.Millisecond
	// maxPrimaryResponseAge is the age up to which a primary's last response to an instance shows that it is alive.
	maxPrimaryResponseAge = 500 * time.Millisecond
)

// isReachable reports whether the server responds to this instance, recently responded to another one, or responds to
// one of the probers now. A pool owner that is cut off from a server must not have it replaced while other instances
// reach it.
func (p *Promoter) isReachable(ctx context.Context, s Snapshot, l dispatch.Listing) bool {
	probe := &serverProbe{promoter: p, listing: l}
	var probing sync.WaitGroup
	probing.Go(func() { probe.run(ctx) })
	peersReachIt := p.peersReach(ctx, s, l.Name)
	probing.Wait()
	return peersReachIt || probe.isReachable
}

// serverProbe connects to a suspected server.
type serverProbe struct {
	promoter    *Promoter
	listing     dispatch.Listing
	isReachable bool
}

func (s *serverProbe) run(ctx context.Context) {
	s.isReachable = canConnect(ctx, s.promoter.cfg.Timer, s.promoter.cfg.Dialer, s.listing)
}

// canConnect reports whether a server responds to a new connection in any way.
func canConnect(ctx context.Context, timer port.Timer, dialer Dialer, l dispatch.Listing) bool {
	callCtx, cancel := port.WithTimeout(ctx, timer, probeTimeout)
	defer cancel()
	conn, _, err := dialer.Dial(callCtx, Endpoint{
		Group: l.Group, Server: l.Name, Address: l.Address, Organisation: systemOrganisation,
	})
	if err == nil {
		conn.Close()
		return true
	}
	switch port.KindOf(err) {
	case port.Busy, port.NoConnection:
		return true
	default:
		return false
	}
}

// peersReach reports whether the server recently responded to another instance or responds to one now.
func (p *Promoter) peersReach(ctx context.Context, s Snapshot, server string) bool {
	callCtx, cancel := port.WithTimeout(ctx, p.cfg.Timer, probeTimeout+probeMargin)
	defer cancel()
	peers := withoutIncarnation(s.Members, p.cfg.Self.Incarnation)
	probers := selectProbers(peers, server)
	responses := callMembers(callCtx, peers, func(ctx context.Context, m Member) (SurveyResponse, error) {
		return p.cfg.Peers.Survey(ctx, m.Address, SurveyRequest{Server: server, Probe: probers[m.Incarnation]})
	})
	for _, response := range responses {
		if response.HasAnswered && response.Age <= maxPrimaryResponseAge {
			return true
		}
	}
	return false
}

// selectProbers returns the incarnation of the first-ranked instance of each data centre. Probes from all instances
// would fill the slots of a server that is merely busy.
func selectProbers(members []Member, server string) map[string]bool {
	first := make(map[string]Member)
	for _, m := range members {
		best, found := first[m.DataCentre]
		if !found || instance.RankOf(server, m.Incarnation) > instance.RankOf(server, best.Incarnation) {
			first[m.DataCentre] = m
		}
	}
	probers := make(map[string]bool, len(first))
	for _, m := range first {
		probers[m.Incarnation] = true
	}
	return probers
}
