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
	// probeLimit is how long a server that is well may take to accept a connection.
	probeLimit = 500 * time.Millisecond
	// probeMargin is how much longer another instance may take to say what its probe found.
	probeMargin = 100 * time.Millisecond
	// hearingLimit is how recently an instance must have heard from a primary for it to count as well there.
	hearingLimit = 500 * time.Millisecond
)

// isReached reports whether the server answers this instance, has answered another one of late, or answers one of the
// probers now: an owner that is cut off from a server must not have it replaced while others reach it.
func (p *Promoter) isReached(ctx context.Context, s Snapshot, l dispatch.Listing) bool {
	probe := &serverProbe{promoter: p, listing: l}
	var probing sync.WaitGroup
	probing.Go(func() { probe.run(ctx) })
	heard := p.isHeard(ctx, s, l.Name)
	probing.Wait()
	return heard || probe.reached
}

// serverProbe is the duty that connects to a doubted server.
type serverProbe struct {
	promoter *Promoter
	listing  dispatch.Listing
	reached  bool
}

func (s *serverProbe) run(ctx context.Context) {
	s.reached = answers(ctx, s.promoter.cfg.Timer, s.promoter.cfg.Dialer, s.listing)
}

// answers reports whether a server says anything to a new connection.
func answers(ctx context.Context, timer port.Timer, dialer Dialer, l dispatch.Listing) bool {
	limited, cancel := port.WithTimeout(ctx, timer, probeLimit)
	defer cancel()
	link, _, err := dialer.Dial(limited, Endpoint{
		Group: l.Group, Server: l.Name, Address: l.Address, Organisation: systemCaller,
	})
	if err == nil {
		link.Close()
		return true
	}
	switch port.KindOf(err) {
	case port.Busy, port.NoConnection:
		return true
	default:
		return false
	}
}

// isHeard reports whether another instance heard from the server of late, or hears from it now.
func (p *Promoter) isHeard(ctx context.Context, s Snapshot, server string) bool {
	limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, probeLimit+probeMargin)
	defer cancel()
	asked := others(s.Members, p.cfg.Self.Incarnation)
	probers := probersOf(asked, server)
	hearings := askMembers(limited, asked, func(ctx context.Context, m Member) (SurveyResponse, error) {
		return p.cfg.Peers.Survey(ctx, m.Address, SurveyRequest{Server: server, Probe: probers[m.Incarnation]})
	})
	for _, h := range hearings {
		if h.HasAnswered && h.Age <= hearingLimit {
			return true
		}
	}
	return false
}

// probersOf returns the incarnations of the first in rank of each data centre. All instances together would fill the
// slots of a server that is only busy.
func probersOf(all []Member, server string) map[string]bool {
	first := make(map[string]Member)
	for _, m := range all {
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
