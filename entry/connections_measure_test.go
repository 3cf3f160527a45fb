package entry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

const (
	poolTick      = 2 * time.Millisecond
	statementTime = 2 * poolTick
	poolWait      = 15 * time.Second
	poolCheck     = 200 * time.Millisecond
	// measureStart is the time whose requests are not counted.
	measureStart = 5 * time.Second
	// loadFactor brings the tenants' rates to about 18 of the 50 connections.
	loadFactor = 8
)

// contention is a load for scarce connections.
type contention struct {
	name string
	// times multiplies what the first organisation sends; long is how long its transactions last.
	times float64
	long  time.Duration
	// one sends the first organisation's requests to the first instance.
	one bool
}

var contentions = []contention{
	{name: "below capacity", times: 1, long: statementTime},
	{name: "one sends 8x everywhere", times: 8, long: statementTime},
	{name: "one sends 8x at one instance", times: 8, long: statementTime, one: true},
	{name: "one holds transactions of 1 s", times: 1.0 / 16, long: time.Second},
	{name: "one holds transactions of 5 s", times: 1.0 / 80, long: 5 * time.Second},
}

// waiting is what the requests of one organisation met.
type waiting struct {
	sent, refused int
	waits         []time.Duration
}

func (w *waiting) serve(q queued, now time.Duration) {
	if q.since >= measureStart {
		w.sent++
		w.waits = append(w.waits, now-q.since)
	}
}

func (w *waiting) refuse(q queued) {
	if q.since >= measureStart {
		w.sent++
		w.refused++
	}
}

func (w *waiting) part(longer time.Duration) float64 {
	n := w.refused
	for _, d := range w.waits {
		if d > longer {
			n++
		}
	}
	return percent(n, w.sent)
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

type running struct {
	org         int
	since, ends time.Duration
}

type queued struct {
	org   int
	since time.Duration
}

// modelPool follows adapter/postgres.Pool without sockets: connections open at once, and one slot is used.
type modelPool struct {
	// bounded is false for a pool that does not tell long transactions.
	bounded bool
	queue   allotment.Queue
	lent    allotment.Checkouts
	waiting map[uint64]queued
	running []running
	open    int
	peak    int
}

func (p *modelPool) demand() int { return p.lent.Demand(p.queue) }

// check does what the pool does every 200 ms.
func (p *modelPool) check(now time.Duration) {
	p.peak = p.demand()
	if !p.bounded {
		return
	}
	var long []string
	for _, r := range p.running {
		if now-r.since >= poolCheck {
			long = append(long, tenants[r.org].Name)
		}
	}
	p.lent = p.lent.WithLongHolders(long)
}

// step ends what has ended by now, refuses what waited too long, and serves the queue.
func (p *modelPool) step(now time.Duration, allowed int, long time.Duration, stats []waiting) {
	p.running = slices.DeleteFunc(p.running, func(r running) bool {
		if r.ends > now {
			return false
		}
		p.lent = p.lent.WithReturn(tenants[r.org].Name)
		return true
	})
	p.peak = max(p.peak, p.demand())
	for _, w := range p.queue.Waiters() {
		request := p.waiting[w.ID]
		switch {
		case now-request.since >= poolWait:
			p.queue = p.queue.Without(w)
			stats[request.org].refuse(request)
		case p.lent.Total() < allowed && p.lent.Admits(w.Organisation, allowed):
			p.queue, p.lent = p.queue.WithServed(w), p.lent.WithCheckout(w.Organisation)
			stats[request.org].serve(request, now)
			p.running = append(p.running, running{org: request.org, since: now, ends: now + duration(request.org, long)})
		default:
			continue
		}
		delete(p.waiting, w.ID)
	}
	p.open = max(p.lent.Total(), min(p.open, allowed))
}

func duration(org int, long time.Duration) time.Duration {
	if org == 0 {
		return long
	}
	return statementTime
}

// measureWaiting runs a load for d after a start of 5 s, and returns what each organisation met.
func measureWaiting(t *testing.T, c contention, bounded bool, d time.Duration) []waiting {
	t.Helper()
	const n, start = 16, measureStart
	f := newKeepers(t, n, connected(1, 50), allotment.ByDemand{})
	defer f.finish()
	// Instances have their first connection before callers come.
	f.advance(3 * time.Second)
	random := rand.New(rand.NewPCG(1, 2))
	pools := make([]modelPool, n)
	for i := range pools {
		pools[i] = modelPool{bounded: bounded, waiting: make(map[uint64]queued)}
	}
	stats := make([]waiting, len(tenants))
	var id uint64
	for now := time.Duration(0); now < start+d; now += poolTick {
		for org := range tenants {
			for range c.arrivals(org, random) {
				id++
				pools[c.place(org, random, n)].arrive(id, org, now, stats)
			}
		}
		for i := range pools {
			p, k := &pools[i], f.members[i]
			p.step(now, k.MaxConnections(server), c.long, stats)
			k.SetOpen(server, p.open)
			k.SetDemand(server, p.peak)
			if now%poolCheck == 0 {
				p.check(now)
			}
		}
		f.advance(poolTick)
	}
	// A request that still waits has waited at least until now.
	for i := range pools {
		for _, request := range pools[i].waiting {
			stats[request.org].serve(request, start+d)
		}
	}
	return stats
}

func (c contention) arrivals(org int, random *rand.Rand) int {
	mean := tenants[org].Rate * loadFactor * poolTick.Seconds()
	if org == 0 {
		mean *= c.times
	}
	n := int(mean)
	if random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (c contention) place(org int, random *rand.Rand, n int) int {
	if c.one && org == 0 {
		return 0
	}
	return random.IntN(n)
}

func (p *modelPool) arrive(id uint64, org int, now time.Duration, stats []waiting) {
	request := queued{org: org, since: now}
	queue, ok := p.queue.WithWaiter(allotment.Waiter{ID: id, Organisation: tenants[org].Name})
	if !ok {
		stats[org].refuse(request)
		return
	}
	p.queue = queue
	p.waiting[id] = request
}

// Prints how long the organisations wait for scarce connections. It measures with -measure only; TestWaitForConnections
// checks the same model in every run.
func TestMeasureConnections(t *testing.T) {
	measured := contentions
	if !*measureFull {
		measured = nil
	}
	for _, c := range measured {
		for _, bounded := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					for i, w := range measureWaiting(t, c, bounded, 20*time.Second) {
						slices.Sort(w.waits)
						require.NotEmpty(t, w.waits)
						t.Logf("| %s | bounded %t | %s | %d | %.2f %% | %.2f %% | %.2f %% | %v | %v |", c.name, bounded,
							tenants[i].Name, w.sent, w.part(100*time.Millisecond), w.part(time.Second),
							percent(w.refused, w.sent), w.waits[len(w.waits)/2], w.waits[len(w.waits)-1])
					}
				})
			})
		}
	}
}
