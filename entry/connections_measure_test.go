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
	poolTick          = 2 * time.Millisecond
	statementTime     = 2 * poolTick
	poolTimeout       = 15 * time.Second
	poolCheckInterval = 200 * time.Millisecond
	// warmUpTime is the time at the start whose requests are not counted.
	warmUpTime = 5 * time.Second
	// loadFactor scales the tenants' rates so that they use about 18 of the 50 connections.
	loadFactor = 8
)

// contention is a load for scarce connections.
type contention struct {
	name string
	// factor multiplies the load of the first organisation; transactionTime is the duration of its transactions.
	factor          float64
	transactionTime time.Duration
	// singleInstance sends all requests of the first organisation to the first instance.
	singleInstance bool
}

var contentions = []contention{
	{name: "below capacity", factor: 1, transactionTime: statementTime},
	{name: "one sends 8x everywhere", factor: 8, transactionTime: statementTime},
	{name: "one sends 8x at one instance", factor: 8, transactionTime: statementTime, singleInstance: true},
	{name: "one holds transactions of 1 s", factor: 1.0 / 16, transactionTime: time.Second},
	{name: "one holds transactions of 5 s", factor: 1.0 / 80, transactionTime: 5 * time.Second},
}

// waitStats counts the requests of one organisation and how long they waited.
type waitStats struct {
	sent, refused int
	waits         []time.Duration
}

func (w *waitStats) countServed(q queuedRequest, now time.Duration) {
	if q.arrivedAt >= warmUpTime {
		w.sent++
		w.waits = append(w.waits, now-q.arrivedAt)
	}
}

func (w *waitStats) countRefused(q queuedRequest) {
	if q.arrivedAt >= warmUpTime {
		w.sent++
		w.refused++
	}
}

func (w *waitStats) percentAbove(threshold time.Duration) float64 {
	n := w.refused
	for _, d := range w.waits {
		if d > threshold {
			n++
		}
	}
	return percent(n, w.sent)
}

func percent(n, total int) float64 { return 100 * float64(n) / float64(max(total, 1)) }

type runningTransaction struct {
	org        int
	start, end time.Duration
}

type queuedRequest struct {
	org       int
	arrivedAt time.Duration
}

// modelPool models adapter/postgres.Pool without sockets: connections open instantly, and there is one slot.
type modelPool struct {
	// limitsLong is false for a pool that does not distinguish long transactions.
	limitsLong bool
	queue      allotment.Queue
	checkouts  allotment.Checkouts
	waiting    map[uint64]queuedRequest
	running    []runningTransaction
	open       int
	peakDemand int
}

func (p *modelPool) demand() int { return p.checkouts.Demand(p.queue) }

// check performs the periodic check of the pool, which determines the organisations with long transactions.
func (p *modelPool) check(now time.Duration) {
	p.peakDemand = p.demand()
	if !p.limitsLong {
		return
	}
	var long []string
	for _, r := range p.running {
		if now-r.start >= poolCheckInterval {
			long = append(long, tenants[r.org].Name)
		}
	}
	p.checkouts = p.checkouts.WithLongHolders(long)
}

// step ends transactions, refuses requests that waited too long, and serves the queue.
func (p *modelPool) step(now time.Duration, allowed int, transactionTime time.Duration, stats []waitStats) {
	p.running = slices.DeleteFunc(p.running, func(r runningTransaction) bool {
		if r.end > now {
			return false
		}
		p.checkouts = p.checkouts.WithReturn(tenants[r.org].Name)
		return true
	})
	p.peakDemand = max(p.peakDemand, p.demand())
	for _, w := range p.queue.Waiters() {
		request := p.waiting[w.ID]
		switch {
		case now-request.arrivedAt >= poolTimeout:
			p.queue = p.queue.Without(w)
			stats[request.org].countRefused(request)
		case p.checkouts.Total() < allowed && p.checkouts.Admits(w.Organisation, allowed):
			p.queue, p.checkouts = p.queue.WithServed(w), p.checkouts.WithCheckout(w.Organisation)
			stats[request.org].countServed(request, now)
			p.running = append(p.running, runningTransaction{org: request.org, start: now, end: now + transactionDuration(request.org, transactionTime)})
		default:
			continue
		}
		delete(p.waiting, w.ID)
	}
	p.open = max(p.checkouts.Total(), min(p.open, allowed))
}

func transactionDuration(org int, transactionTime time.Duration) time.Duration {
	if org == 0 {
		return transactionTime
	}
	return statementTime
}

// measureWaits runs a load for the warm-up and for d after it, and returns the statistics of each organisation.
func measureWaits(t *testing.T, c contention, limitsLong bool, d time.Duration) []waitStats {
	t.Helper()
	const instances, start = 16, warmUpTime
	cluster := newLimitCluster(t, instances, connectionsDocument(1, 50), allotment.ByDemand{})
	defer cluster.stopAll()
	// Lets each instance acquire its minimum of connections before requests arrive.
	cluster.advance(3 * time.Second)
	random := rand.New(rand.NewPCG(1, 2))
	pools := make([]modelPool, instances)
	for i := range pools {
		pools[i] = modelPool{limitsLong: limitsLong, waiting: make(map[uint64]queuedRequest)}
	}
	stats := make([]waitStats, len(tenants))
	var id uint64
	for now := time.Duration(0); now < start+d; now += poolTick {
		for org := range tenants {
			for range c.arrivals(org, random) {
				id++
				pools[c.targetInstance(org, random, instances)].arrive(id, org, now, stats)
			}
		}
		for i := range pools {
			p, m := &pools[i], cluster.members[i]
			p.step(now, m.MaxConnections(server), c.transactionTime, stats)
			m.SetOpen(server, p.open)
			m.SetDemand(server, p.peakDemand)
			if now%poolCheckInterval == 0 {
				p.check(now)
			}
		}
		cluster.advance(poolTick)
	}
	// Requests that still wait count with the time that they have waited so far.
	for i := range pools {
		for _, request := range pools[i].waiting {
			stats[request.org].countServed(request, start+d)
		}
	}
	return stats
}

func (c contention) arrivals(org int, random *rand.Rand) int {
	mean := tenants[org].Rate * loadFactor * poolTick.Seconds()
	if org == 0 {
		mean *= c.factor
	}
	n := int(mean)
	if random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (c contention) targetInstance(org int, random *rand.Rand, n int) int {
	if c.singleInstance && org == 0 {
		return 0
	}
	return random.IntN(n)
}

func (p *modelPool) arrive(id uint64, org int, now time.Duration, stats []waitStats) {
	request := queuedRequest{org: org, arrivedAt: now}
	queue, ok := p.queue.WithWaiter(allotment.Waiter{ID: id, Organisation: tenants[org].Name})
	if !ok {
		stats[org].countRefused(request)
		return
	}
	p.queue = queue
	p.waiting[id] = request
}

// Prints how long organisations wait for scarce connections. It runs only with -measure; TestWaitForConnections checks the
// same model in every run.
func TestMeasureConnections(t *testing.T) {
	measured := contentions
	if !*measureAll {
		measured = nil
	}
	for _, c := range measured {
		for _, limitsLong := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					for i, w := range measureWaits(t, c, limitsLong, 20*time.Second) {
						slices.Sort(w.waits)
						require.NotEmpty(t, w.waits)
						t.Logf("| %s | bounded %t | %s | %d | %.2f %% | %.2f %% | %.2f %% | %v | %v |", c.name, limitsLong,
							tenants[i].Name, w.sent, w.percentAbove(100*time.Millisecond), w.percentAbove(time.Second),
							percent(w.refused, w.sent), w.waits[len(w.waits)/2], w.waits[len(w.waits)-1])
					}
				})
			})
		}
	}
}
