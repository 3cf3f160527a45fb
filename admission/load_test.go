package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rhubarbwick/rhubarbwick/admission"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// class is a kind of operations on one server.
type class struct {
	name string
	// rate is in operations per second, and work the mean run time of a statement.
	rate                   float64
	work, objective, limit time.Duration
	priority               int
	// An operation has this many statements with pauses between them; zero means a single statement.
	statements int
	pause      time.Duration
}

// scenario is a load on one server.
type scenario struct {
	classes              []class
	slots, connections   int
	organisations, large int
	// hot is the factor by which the first organisation exceeds its usual rate from a third of the time on.
	hot      float64
	duration time.Duration
	seed     uint64
}

const (
	connectTime = 12 * time.Millisecond
	// largeWeight is the load of a large organisation relative to that of another one.
	largeWeight = 12
	// A client sends a refused operation again after retryDelay, at most maxRetries times.
	retryDelay = 10 * time.Millisecond
	maxRetries = 2
	// lateValue is the value of a success after the objective but within the limit.
	lateValue = 0.4
)

// operation is one operation of a client.
type operation struct {
	class              *class
	organisation       string
	first, issued      time.Duration
	work               []time.Duration
	retries, statement int
	dialing, holds     bool
	awaitsSince        time.Duration
}

func (o *operation) left(now time.Duration) time.Duration { return o.first + o.class.limit - now }

// tally counts outcomes.
type tally struct {
	offered, onTime, late int
}

func (t tally) value() float64 {
	return (float64(t.onTime) + lateValue*float64(t.late)) / float64(max(t.offered, 1))
}
func (t tally) served() float64 { return float64(t.onTime+t.late) / float64(max(t.offered, 1)) }

// outcome is the result of a simulation.
type outcome struct {
	total                  tally
	byOrganisation         map[string]*tally
	byClass                map[string]*tally
	dials, refused, wasted int
}

func (r outcome) String() string {
	return fmt.Sprintf("value %.3f served %.3f worst organisation %.3f worst class %.3f connections opened %d",
		r.total.value(), r.total.served(), worst(r.byOrganisation), worst(r.byClass), r.dials)
}

func worst(tallies map[string]*tally) float64 {
	least := 1.0
	for _, t := range tallies {
		if t.offered >= 20 {
			least = min(least, t.value())
		}
	}
	return least
}

// connectionPolicy decides how a statement without an idle connection gets one. ahead is the number of statements of the
// organisation before it.
type connectionPolicy func(s *simulation, o *operation, ahead int) dispatch.ConnectionChoice

type idleConnection struct {
	organisation string
	since        time.Duration
}

// simulation runs a scenario against one server in virtual time.
type simulation struct {
	scenario
	connect connectionPolicy
	now     time.Duration
	events  events
	random  *rand.Rand

	queue   []*operation
	idle    []idleConnection
	total   map[string]int
	all     int
	busy    int
	demand  dispatch.Demand
	recent  admission.RecentAdmissions
	waiting int
	outcome outcome
}

type event struct {
	at  time.Duration
	run func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) { heap.Push(&s.events, event{s.now + d, run}) }

// run simulates the scenario under the policy.
func (c scenario) run(connect connectionPolicy) outcome {
	s := &simulation{scenario: c, connect: connect, random: rand.New(rand.NewPCG(c.seed, 7)), total: make(map[string]int)}
	s.outcome = outcome{byOrganisation: make(map[string]*tally), byClass: make(map[string]*tally)}
	for i := range c.classes {
		s.scheduleArrival(&c.classes[i])
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		s.serve()
	}
	return s.outcome
}

func (s *simulation) scheduleArrival(c *class) {
	s.after(time.Duration(s.random.ExpFloat64()/c.rate*float64(time.Second)), func() {
		if s.now < s.duration {
			s.arrive(c)
			s.scheduleArrival(c)
		}
	})
}

// arrive adds an operation. A hot organisation sends additional operations.
func (s *simulation) arrive(c *class) {
	weights := float64(s.large*largeWeight + s.organisations - s.large)
	pick, n := s.random.Float64()*weights, 0
	for weight := s.weight(0); pick >= weight && n < s.organisations-1; weight = s.weight(n) {
		pick -= weight
		n++
	}
	copies := 1.0
	if n == 0 && s.hot > 0 && s.now > s.duration/3 {
		copies = s.hot
	}
	for ; copies > 0 && s.random.Float64() < copies; copies-- {
		o := &operation{class: c, organisation: fmt.Sprintf("org-%02d", n), first: s.now, issued: s.now}
		for range max(c.statements, 1) {
			const spread = 0.7
			o.work = append(o.work, time.Duration(float64(c.work)*math.Exp(spread*s.random.NormFloat64()-spread*spread/2)))
		}
		s.count(o, func(t *tally) { t.offered++ })
		s.queue = append(s.queue, o)
	}
}

func (s *simulation) weight(n int) float64 {
	if n < s.large {
		return largeWeight
	}
	return 1
}

func (s *simulation) count(o *operation, add func(*tally)) {
	add(&s.outcome.total)
	for key, m := range map[string]map[string]*tally{o.organisation: s.outcome.byOrganisation, o.class.name: s.outcome.byClass} {
		if m[key] == nil {
			m[key] = &tally{}
		}
		add(m[key])
	}
}

// order returns the order of service of the queue.
func (s *simulation) order() []int {
	queued := make([]admission.QueuedStatement, len(s.queue))
	for i, o := range s.queue {
		queued[i] = admission.QueuedStatement{Organisation: o.organisation, Priority: o.class.priority, Arrived: o.issued}
	}
	return admission.Order(queued, s.recent)
}

// refuses decides about a statement that cannot start now, with the work ahead of it.
func (s *simulation) refuses(o *operation, ahead time.Duration) bool {
	server := admission.Server{Slots: s.slots, ServiceTime: ahead}
	_, refused := admission.Decide(server, 1, s.now-o.issued, o.class.objective/2).(admission.Refused)
	return refused && !o.holds
}

// serve starts the statements that can run, in order, and refuses those that would wait for too long.
func (s *simulation) serve() {
	var kept []*operation
	ahead, ofOrganisation := time.Duration(0), make(map[string]int)
	for _, i := range s.order() {
		o := s.queue[i]
		switch {
		case s.start(o, ofOrganisation[o.organisation]):
		case s.refuses(o, ahead):
			s.refuse(o)
		default:
			kept = append(kept, o)
			ahead += o.class.work
			ofOrganisation[o.organisation]++
		}
	}
	s.queue, s.waiting = kept, len(kept)
}

// start runs the operation's next statement if a slot and a connection are free.
func (s *simulation) start(o *operation, ahead int) bool {
	if s.busy >= s.slots {
		return false
	}
	if o.holds || s.takeIdle(o) {
		s.run(o)
		return true
	}
	if o.dialing {
		return false
	}
	open, opens := s.connect(s, o, ahead).(dispatch.OpenConnection)
	if opens {
		s.open(o, open.InsteadOf)
	}
	return false
}

func (s *simulation) takeIdle(o *operation) bool {
	for i := len(s.idle) - 1; i >= 0; i-- {
		if s.idle[i].organisation == o.organisation {
			s.idle = append(s.idle[:i:i], s.idle[i+1:]...)
			o.issued, o.holds = s.now, true
			s.demand = s.demand.WithStatement(o.organisation, s.now)
			s.recent = s.recent.WithAdmission(o.organisation, s.now)
			return true
		}
	}
	return false
}

func (s *simulation) open(o *operation, insteadOf string) {
	for i, c := range s.idle {
		if c.organisation == insteadOf {
			s.idle = append(s.idle[:i:i], s.idle[i+1:]...)
			s.total[insteadOf]--
			s.all--
			break
		}
	}
	s.total[o.organisation]++
	s.all++
	s.busy++
	s.outcome.dials++
	o.dialing = true
	s.after(connectTime, func() {
		s.busy--
		o.dialing = false
		s.idle = append(s.idle, idleConnection{o.organisation, s.now})
	})
}

func (s *simulation) run(o *operation) {
	s.busy++
	s.after(o.work[o.statement], func() {
		s.busy--
		o.statement++
		if o.statement < len(o.work) {
			s.after(o.class.pause, func() { s.queue = append(s.queue, o) })
			return
		}
		s.release(o)
		switch took := s.now - o.first; {
		case took <= o.class.objective:
			s.count(o, func(t *tally) { t.onTime++ })
		case took <= o.class.limit:
			s.count(o, func(t *tally) { t.late++ })
		default:
			s.outcome.wasted++
		}
	})
}

func (s *simulation) release(o *operation) {
	o.holds = false
	s.demand = s.demand.WithRelease(o.organisation, s.now-o.issued)
	s.idle = append(s.idle, idleConnection{o.organisation, s.now})
}

// refuse ends an attempt. The client repeats it if it can.
func (s *simulation) refuse(o *operation) {
	s.outcome.refused++
	if o.holds {
		s.release(o)
	}
	if o.retries++; o.retries <= maxRetries && o.left(s.now) > retryDelay {
		o.statement = 0
		s.after(retryDelay, func() {
			o.issued = s.now
			s.queue = append(s.queue, o)
		})
	}
}

// pool returns what the choice of connections depends on.
func (s *simulation) pool() dispatch.Pool {
	p := dispatch.Pool{
		Now: s.now, Demand: s.demand, Limit: s.connections, Total: s.all, Slots: s.slots, Waiting: s.waiting,
		Organisations: make(map[string]dispatch.OrganisationPool),
	}
	for name, n := range s.total {
		p.Organisations[name] = dispatch.OrganisationPool{Total: n}
	}
	for _, c := range s.idle {
		o := p.Organisations[c.organisation]
		o.Idle++
		p.Organisations[c.organisation] = o
	}
	return p
}
