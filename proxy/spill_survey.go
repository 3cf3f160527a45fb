package proxy

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// spillSurveyTimeout limits a survey. It is the time between two surveys and far above the latency between data centres.
const spillSurveyTimeout = dispatch.SpillStepInterval

// spillSurveyed is the result of a survey.
type spillSurveyed struct {
	// pool is the local server for whose reads the load of another server matters.
	pool   string
	server string
	load   dispatch.PoolLoad
	// took is the time from the request to the response.
	took time.Duration
	err  error
}

func (spillSurveyed) dispatcherCommand() {}
func (spillSurveyed) spillCommand()      {}

// surveyNeighbours asks the owners of the group's servers in other data centres for their loads, at most once in a step
// interval and only while reads wait or leave. Without waiting reads there are no calls.
func (d *Dispatcher) surveyNeighbours(s *serverState, now time.Duration) {
	if d.cfg.SurveyPeer == nil || !s.spill.over.NeedsSurvey(now) || now-s.spill.surveyedAt < dispatch.SpillStepInterval {
		return
	}
	s.spill.surveyedAt = now
	local := s.server.Listing
	for name, other := range d.servers {
		l := other.server.Listing
		if l.Group != local.Group || l.DataCentre == local.DataCentre {
			continue
		}
		owner, found := d.remoteOwner(other, now)
		if !found || !d.isAvailable(other, now) {
			s.spill.over = s.spill.over.WithoutNeighbour(name)
			continue
		}
		if !s.spill.surveying[name] {
			s.spill.surveying = withSurveying(s.spill.surveying, name)
			d.running.Add(1)
			survey := &spillSurvey{dispatcher: d, pool: local.Name, server: name, owner: owner}
			go survey.run()
		}
	}
}

func withSurveying(surveying map[string]bool, name string) map[string]bool {
	if surveying == nil {
		surveying = make(map[string]bool)
	}
	surveying[name] = true
	return surveying
}

// spillSurvey asks one owner for the load of one server.
type spillSurvey struct {
	dispatcher   *Dispatcher
	pool, server string
	owner        Member
}

func (p *spillSurvey) run() {
	d := p.dispatcher
	defer d.running.Done()
	start := d.cfg.Timer.Now()
	response, err := d.survey(p.owner, SurveyRequest{Server: p.server, WantsLoad: true}, spillSurveyTimeout)
	d.send(spillSurveyed{pool: p.pool, server: p.server, load: response.Load, took: d.cfg.Timer.Now() - start, err: err})
}

// handleSpillSurvey records the result of a survey. A server whose owner did not answer, or does not state its load, gets
// no reads.
func (d *Dispatcher) handleSpillSurvey(c spillSurveyed, now time.Duration) {
	s := d.server(c.pool)
	if s == nil {
		return
	}
	delete(s.spill.surveying, c.server)
	if c.err != nil || !c.load.IsKnown() {
		s.spill.over = s.spill.over.WithoutNeighbour(c.server)
	} else {
		primary, _, _ := d.cfg.Views.View(s.server.Listing.Group).PrimaryAt(now)
		s.spill.over = s.spill.over.WithSurvey(c.server, dispatch.SpillSurvey{
			Load: c.load, RoundTrip: c.took, IsPrimary: c.server == primary,
		}, now)
	}
	d.reportShare(s, now)
}
