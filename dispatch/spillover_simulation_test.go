package dispatch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

const (
	zones    = 3
	simSlots = 4
	simRun   = 10 * ms
	oneWay   = 900 * time.Microsecond
	// objective is the time within which an answer counts as on time; a read is refused if it would wait for half of it.
	objective  = 120 * ms
	simTime    = 30 * time.Second
	surveyTime = 250 * ms
	readBytes  = 1000
)

// spillValues are the default settings.
var spillValues = dispatch.SpillValues{Second: 1, Gigabyte: 1500}

// replay is a load on three data centres with one server each.
type replay struct {
	// load returns the offered load of a data centre relative to its server's capacity.
	load func(zone int, at time.Duration) float64
	// cut returns whether the data centre is cut off from the others.
	cut func(zone int, at time.Duration) bool
	// knowledgeAge is how old the knowledge of other data centres is when it arrives.
	knowledgeAge time.Duration
}

func constantLoad(loads ...float64) func(int, time.Duration) float64 {
	return func(zone int, _ time.Duration) float64 { return loads[zone] }
}

// simServer runs statements in the order of arrival on simSlots slots.
type simServer struct {
	free     [simSlots]time.Duration
	finishes []time.Duration
}

func (s *simServer) load(now time.Duration) dispatch.PoolLoad {
	s.finishes = slices.DeleteFunc(s.finishes, func(at time.Duration) bool { return at <= now })
	l := dispatch.PoolLoad{RunTime: simRun}
	if ahead := len(s.finishes) - simSlots; ahead >= 0 {
		l.Wait = simRun * time.Duration(ahead+1) / simSlots
	}
	return l
}

func (s *simServer) run(now, took time.Duration) time.Duration {
	slot := 0
	for i := range s.free {
		if s.free[i] < s.free[slot] {
			slot = i
		}
	}
	s.free[slot] = max(now, s.free[slot]) + took
	s.finishes = append(s.finishes, s.free[slot])
	return s.free[slot]
}

// simState is what a policy sees: the loads that each data centre last learned of the others.
type simState struct {
	*rand.Rand
	servers [zones]simServer
	// known holds by observer what it knows of each data centre.
	known [zones][zones]dispatch.PoolLoad
	spill [zones]dispatch.SpillOver
	now   time.Duration
}

// simPolicy returns the data centre to which a read that arrived in zone goes, and the wait above which it is refused there.
type simPolicy func(s *simState, zone int) (to int, maxWait time.Duration)

func alwaysLocal(_ *simState, zone int) (int, time.Duration) { return zone, 0 }

// leastCost returns the policy that adds a cost to the expected time at other data centres.
func leastCost(away time.Duration) simPolicy {
	return func(s *simState, zone int) (int, time.Duration) {
		best, bestCost := zone, s.servers[zone].load(s.now).Wait
		for to, l := range s.known[zone] {
			if cost := l.Wait + away; to != zone && cost < bestCost {
				best, bestCost = to, cost
			}
		}
		return best, 0
	}
}

// marginalCost is leastCost with the measured round trip and the charge for the bytes of the read.
func marginalCost(s *simState, zone int) (int, time.Duration) {
	return leastCost(2*oneWay+1500*time.Microsecond)(s, zone)
}

func twoChoices(s *simState, zone int) (int, time.Duration) {
	a, b := s.IntN(zones), s.IntN(zones)
	if s.known[zone][b].Wait < s.known[zone][a].Wait {
		a = b
	}
	return a, 0
}

// spillShare is the policy of SpillOver.
func spillShare(s *simState, zone int) (int, time.Duration) {
	next, placement := s.spill[zone].WithRead(spillValues, s.servers[zone].load(s.now), readBytes, s.now)
	s.spill[zone] = next
	if away, leaves := placement.(dispatch.SendAway); leaves {
		return int(away.Server[0] - '0'), away.MaxWait
	}
	return zone, 0
}

func zoneName(zone int) string { return string(rune('0' + zone)) }

// simResult counts by data centre of the caller.
type simResult struct {
	reads, onTime, away, bounced [zones]int
	time                         [zones]time.Duration
	// shares holds the share that leaves data centre 0, once in each survey interval.
	shares []float64
	// awayAtEnd counts the reads of data centre 0 that left in the last five seconds.
	awayAtEnd int
}

func (r simResult) onTimeShare(zone int) float64 {
	return float64(r.onTime[zone]) / float64(r.reads[zone])
}

func (r simResult) meanTime(zone int) time.Duration {
	return r.time[zone] / time.Duration(r.onTime[zone])
}

func (r simResult) total() float64 {
	reads, onTime := 0, 0
	for zone := range zones {
		reads, onTime = reads+r.reads[zone], onTime+r.onTime[zone]
	}
	return float64(onTime) / float64(reads)
}

// simulate runs the replay under the policy.
func (p replay) simulate(seed uint64, policy simPolicy) simResult {
	s := &simState{Rand: rand.New(rand.NewPCG(seed, 7))}
	var r simResult
	var next [zones]time.Duration
	var surveyed time.Duration
	history := [][zones]dispatch.PoolLoad{}
	for {
		zone := 0
		for i := range next {
			if next[i] < next[zone] {
				zone = i
			}
		}
		s.now = next[zone]
		if s.now >= simTime {
			return r
		}
		for ; surveyed <= s.now; surveyed += surveyTime {
			history = p.survey(s, surveyed, history)
			r.shares = append(r.shares, s.spill[0].Share(surveyed))
		}
		rate := p.load(zone, s.now) * simSlots / simRun.Seconds()
		next[zone] += time.Duration(s.ExpFloat64() / rate * float64(time.Second))
		p.read(s, zone, policy, &r)
	}
}

// survey delivers the loads of the data centres to each other.
func (p replay) survey(s *simState, at time.Duration, history [][zones]dispatch.PoolLoad) [][zones]dispatch.PoolLoad {
	var loads [zones]dispatch.PoolLoad
	for zone := range zones {
		loads[zone] = s.servers[zone].load(at)
		if smoothed := s.spill[zone].Load(); smoothed.IsKnown() {
			loads[zone] = smoothed
		}
	}
	history = append(history, loads)
	i := len(history) - 1 - int(p.knowledgeAge/surveyTime)
	if i < 0 {
		return history
	}
	for zone := range zones {
		for other := range zones {
			s.known[zone][other] = history[i][other]
			switch {
			case other == zone:
			case p.cut != nil && (p.cut(zone, at) || p.cut(other, at)):
				s.known[zone][other].Wait = time.Hour
				s.spill[zone] = s.spill[zone].WithoutNeighbour(zoneName(other))
			default:
				s.spill[zone] = s.spill[zone].WithSurvey(zoneName(other), dispatch.SpillSurvey{Load: history[i][other], RoundTrip: 2 * oneWay}, at-p.knowledgeAge)
			}
		}
	}
	return history
}

// read runs one read. A read that is sent to a data centre that cannot be reached is lost, until the next survey shows that.
func (p replay) read(s *simState, zone int, policy simPolicy, r *simResult) {
	r.reads[zone]++
	took := time.Duration(s.ExpFloat64() * float64(simRun))
	to, maxWait := policy(s, zone)
	at, back := s.now, time.Duration(0)
	if to != zone {
		r.away[zone]++
		if s.now > simTime-5*time.Second && zone == 0 {
			r.awayAtEnd++
		}
		at, back = s.now+oneWay, oneWay
		if p.cut != nil && (p.cut(zone, s.now) || p.cut(to, s.now)) {
			return
		}
		if load := s.servers[to].load(at); maxWait > 0 && load.Wait > min(maxWait, load.MaxForeignWait()) {
			s.spill[zone] = s.spill[zone].WithRefusal(zoneName(to), load, at+oneWay)
			r.bounced[zone]++
			to, at, back = zone, s.now+2*oneWay, 0
		}
	}
	if s.servers[to].load(at).Wait > objective/2 {
		return
	}
	if answered := s.servers[to].run(at, took) + back; answered-s.now <= objective {
		r.onTime[zone]++
		r.time[zone] += answered - s.now
	}
}

// policies are the alternatives of docs/design/spill-over.md.
var policies = map[string]simPolicy{
	"always local": alwaysLocal, "least loaded": leastCost(0), "constant cost": leastCost(4 * ms), "marginal cost": marginalCost,
	"two choices": twoChoices, "share": spillShare,
}

// compare runs the replay under each policy and logs the results.
func (p replay) compare(t *testing.T, seed uint64) map[string]simResult {
	t.Helper()
	results := make(map[string]simResult)
	for name, policy := range policies {
		r := p.simulate(seed, policy)
		results[name] = r
		t.Logf("%-13s on time %.3f (%.3f %.3f %.3f), mean ms %.1f %.1f %.1f, away %.3f %.3f %.3f, refused there %d", name, r.total(),
			r.onTimeShare(0), r.onTimeShare(1), r.onTimeShare(2), r.meanTime(0).Seconds()*1e3, r.meanTime(1).Seconds()*1e3, r.meanTime(2).Seconds()*1e3,
			float64(r.away[0])/float64(r.reads[0]), float64(r.away[1])/float64(r.reads[1]), float64(r.away[2])/float64(r.reads[2]),
			r.bounced[0]+r.bounced[1]+r.bounced[2])
	}
	return results
}
