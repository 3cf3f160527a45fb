package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// SpillStepInterval is the time between two steps of a share, and between two surveys of the other servers. It is near
	// the time constant of the smoothed wait, so that a step sees the effect of the one before it.
	SpillStepInterval = 250 * time.Millisecond
	// spillStep is by how much the share that goes to one server changes in a step. A data centre at 130 % reaches its share
	// in about a second.
	spillStep = 0.05
	// maxSpillShare is the largest share that leaves. The remainder shows when the local server has capacity again.
	maxSpillShare = 0.8
	// minSpillShare is the share below which nothing is sent.
	minSpillShare = 0.02
	// overloadFactor is the factor by which the share is reduced in a step while the receiver is overloaded.
	overloadFactor = 0.5
	// spillGain is the fraction of the local time that must be saved before the share rises. The share falls only when
	// nothing is saved, so that small differences do not change it.
	spillGain = 0.25
	// minSpillGain is the smallest saving that is worth a longer path. Callers' objectives are 120 ms and more.
	minSpillGain = 2 * time.Millisecond
	// freshSpillKnowledge is the age up to which knowledge of another server has full weight: two steps. The weight then
	// falls to zero at maxSpillKnowledge, which is about as long as callers' time limits allow a wrong choice to last.
	freshSpillKnowledge = 2 * SpillStepInterval
	maxSpillKnowledge   = 2 * time.Second
	// spillWaitTime is the time constant of the smoothed wait.
	spillWaitTime = 300 * time.Millisecond
	// maxReceiverRuns bounds the wait at a server at which it still takes statements of other data centres, in mean run
	// times of the server: they delay its own callers by at most that much. Callers' objectives are 15 run times and more.
	maxReceiverRuns = 2
	// maxSpillCredit bounds the reads that are sent in a row after several that met no wait.
	maxSpillCredit = 2
	// roundTripWeight and bytesWeight are the divisors of a new sample in the moving averages.
	roundTripWeight = 4
	bytesWeight     = 16
	// initialReadBytes is the assumed size of a read and its answer on a route without samples, with the envelope between instances.
	initialReadBytes = 1000
	bytesPerGigabyte = 1e9
)

// ConnectTime is the time until a new connection to a server can be used.
const ConnectTime = connectCost

// SpillValues are the operator's values of what a choice between data centres costs, in any common unit. The zero value
// disables spill-over.
type SpillValues struct {
	// Second is the value of a second for which a caller waits, and Gigabyte the value of 10^9 bytes between data centres.
	Second   float64
	Gigabyte float64
}

// IsEnabled reports whether reads may be sent to other data centres.
func (v SpillValues) IsEnabled() bool { return v.Second > 0 }

// timeOf converts the cost of sending bytes between data centres to the waiting time of the same value.
func (v SpillValues) timeOf(bytes float64) time.Duration {
	if !v.IsEnabled() {
		return 0
	}
	return time.Duration(bytes / bytesPerGigabyte * v.Gigabyte / v.Second * float64(time.Second))
}

// PoolLoad is what the owner of a connection pool knows about its server. The zero value means unknown.
type PoolLoad struct {
	// Wait is the expected wait of another statement, and RunTime the mean time that a statement runs.
	Wait    time.Duration
	RunTime time.Duration
}

// IsKnown reports whether anything is known.
func (l PoolLoad) IsKnown() bool { return l.RunTime > 0 }

// MaxForeignWait returns the expected wait up to which the server takes statements of other data centres.
func (l PoolLoad) MaxForeignWait() time.Duration { return maxReceiverRuns * l.RunTime }

// SpillReason says why a share is what it is, or why a read stays.
type SpillReason string

// The reasons.
const (
	SpillNotNeeded     SpillReason = "local_capacity"
	SpillSaves         SpillReason = "saves_time"
	SpillNoNeighbour   SpillReason = "no_neighbour"
	SpillOldKnowledge  SpillReason = "old_knowledge"
	SpillReceiverBusy  SpillReason = "receiver_busy"
	SpillTransferCost  SpillReason = "transfer_cost"
	SpillLocalShare    SpillReason = "local_share"
	SpillNeighbourLost SpillReason = "neighbour_lost"
	SpillNotSuitable   SpillReason = "not_suitable"
)

// Placement decides whether a read leaves its data centre. It is one of StayLocal and SendAway.
type Placement interface{ placement() }

// StayLocal runs the read in its data centre.
type StayLocal struct{ Reason SpillReason }

// SendAway sends the read to the server. Its owner refuses the read if the expected wait there is above MaxWait, because
// the read would then have been served sooner in its own data centre.
type SendAway struct {
	Server  string
	MaxWait time.Duration
}

func (StayLocal) placement() {}
func (SendAway) placement()  {}

// SpillOver decides which share of the reads at one server's pool, and so of a group in a data centre, is sent to the
// group's servers in other data centres. It is immutable; the zero value sends nothing.
//
// It handles a data centre whose servers have too little capacity while others have some left, for example at 130 % beside
// two at 60 %. Routing each read to the server that looks best sends all of them to the same one until the knowledge is
// renewed. A share that changes in small steps reaches the state in which no read would be served sooner elsewhere, and
// several data centres that choose the same one share what it has left. When all are overloaded, nothing is sent, because
// each of them is too busy to receive.
type SpillOver struct {
	neighbours map[string]spillNeighbour
	// wait is the smoothed expected wait at the local server as of waitAt, and runTime its mean run time.
	wait      time.Duration
	waitAt    time.Duration
	runTime   time.Duration
	bytes     ReadSize
	steppedAt time.Duration
	reason    SpillReason
}

// spillNeighbour is what is known about a server in another data centre, and the share that it gets.
type spillNeighbour struct {
	load      PoolLoad
	roundTrip time.Duration
	isPrimary bool
	knownAt   time.Duration
	share     float64
	// credit is the share accumulated over reads. The neighbour with most credit gets a read once it has one.
	credit float64
	// sent counts the reads since the last step, and unsuitable those that the server could not run.
	sent, unsuitable int
	reason           SpillReason
}

// SpillSurvey is what the owner of another server's pool reported.
type SpillSurvey struct {
	Load PoolLoad
	// RoundTrip is the time from the question to the report.
	RoundTrip time.Duration
	// IsPrimary is true for the group's primary, whose slots are needed for writes.
	IsPrimary bool
}

// WithSurvey returns the state after a report that arrived at now.
func (s SpillOver) WithSurvey(server string, report SpillSurvey, now time.Duration) SpillOver {
	n, known := s.neighbours[server]
	if !known {
		n.roundTrip = report.RoundTrip
	}
	n.roundTrip += (report.RoundTrip - n.roundTrip) / roundTripWeight
	n.load, n.isPrimary, n.knownAt = report.Load, report.IsPrimary, now
	return s.withNeighbour(server, n)
}

// WithRefusal returns the state after the owner of another server's pool refused a read because of its load. The server gets
// no further reads until it is surveyed again. The share itself depends on the surveys: a refusal shows a short queue at
// one instant, and reducing the share at each of them kept two thirds of what the others could have served.
func (s SpillOver) WithRefusal(server string, load PoolLoad, now time.Duration) SpillOver {
	n, known := s.neighbours[server]
	if !known {
		return s
	}
	n.load, n.knownAt = load, now
	return s.withNeighbour(server, n)
}

// WithUnsuitable returns the state after a read returned because the server could not run it, for example because it is too
// far behind. If that happens to half of the reads, fewer are sent.
func (s SpillOver) WithUnsuitable(server string) SpillOver {
	n, known := s.neighbours[server]
	if !known {
		return s
	}
	n.unsuitable++
	return s.withNeighbour(server, n)
}

// WithoutNeighbour returns the state after another server, or the owner of its pool, could not be reached. Nothing is sent
// to it until it is surveyed again.
func (s SpillOver) WithoutNeighbour(server string) SpillOver {
	n, known := s.neighbours[server]
	if !known {
		return s
	}
	s.neighbours = maps.Clone(s.neighbours)
	delete(s.neighbours, server)
	if n.share > 0 {
		s.reason = SpillNeighbourLost
	}
	return s
}

func (s SpillOver) withNeighbour(server string, n spillNeighbour) SpillOver {
	next := make(map[string]spillNeighbour, len(s.neighbours)+1)
	maps.Copy(next, s.neighbours)
	next[server] = n
	s.neighbours = next
	return s
}

// WithRead returns the state after a read arrived at the local server at now, and the read's placement. local is the load
// that the read meets, and bytes the expected size of the read and its answer.
func (s SpillOver) WithRead(v SpillValues, local PoolLoad, bytes int, now time.Duration) (SpillOver, Placement) {
	s = s.WithLoad(local, now)
	s.bytes = s.bytes.WithRead(bytes)
	if now-s.steppedAt >= SpillStepInterval {
		s = s.withStep(v, now)
	}
	if s.Share(now) == 0 {
		return s, StayLocal{Reason: s.reason}
	}
	return s.place(v, local, bytes, now)
}

// WithLoad returns the state after the load of the local server was looked at.
func (s SpillOver) WithLoad(local PoolLoad, now time.Duration) SpillOver {
	kept := math.Exp(-float64(now-s.waitAt) / float64(spillWaitTime))
	// Several reads may arrive at the same time; each of them then still has some weight.
	kept = min(kept, 1-1.0/bytesWeight)
	s.wait = local.Wait + time.Duration(kept*float64(s.wait-local.Wait))
	s.waitAt, s.runTime = now, local.RunTime
	return s
}

// withStep changes the shares by one step.
func (s SpillOver) withStep(v SpillValues, now time.Duration) SpillOver {
	s.steppedAt, s.reason = now, SpillNoNeighbour
	next := make(map[string]spillNeighbour, len(s.neighbours))
	total := 0.0
	for server, n := range s.neighbours {
		next[server] = n.withStep(s.wait+s.runTime, v.timeOf(s.bytes.mean), now)
		total += next[server].share
	}
	largest := -1.0
	for _, server := range slices.Sorted(maps.Keys(next)) {
		n := next[server]
		n.share *= min(1, maxSpillShare/max(total, maxSpillShare))
		next[server] = n
		if n.share > largest {
			largest, s.reason = n.share, n.reason
		}
	}
	s.neighbours = next
	return s
}

// withStep changes the neighbour's share by one step. local is the time until an answer in the own data centre.
func (n spillNeighbour) withStep(local, transfer, now time.Duration) spillNeighbour {
	weight := n.weight(now)
	saved := local - n.timeAway(transfer)
	isUnsuitable := 2*n.unsuitable > n.sent
	n.sent, n.unsuitable = 0, 0
	switch {
	case weight == 0:
		n.credit = 0
		return n.withShare(0, SpillOldKnowledge)
	case isUnsuitable:
		return n.withShare(n.share*overloadFactor, SpillNotSuitable)
	case n.load.Wait > n.load.MaxForeignWait():
		return n.withShare(n.share*overloadFactor, SpillReceiverBusy)
	case saved <= 0:
		return n.withShare(n.share-spillStep, SpillNotNeeded)
	case n.load.Wait > n.load.MaxForeignWait()/2:
		n.reason = SpillReceiverBusy
		return n
	case saved > max(minSpillGain, time.Duration(spillGain*float64(local))):
		return n.withShare(n.share+spillStep*weight, SpillSaves)
	case n.share == 0:
		return n.withShare(0, SpillNotNeeded)
	default:
		return n
	}
}

func (n spillNeighbour) withShare(share float64, reason SpillReason) spillNeighbour {
	n.share, n.reason = min(share, maxSpillShare), reason
	if n.share < minSpillShare {
		n.share = 0
	}
	return n
}

// timeAway returns the time until an answer from the neighbour, with the transfer and the use of a primary expressed as
// time.
func (n spillNeighbour) timeAway(transfer time.Duration) time.Duration {
	away := n.load.RunTime + n.load.Wait + n.roundTrip + transfer
	if n.isPrimary {
		away += primaryCost
	}
	return away
}

// weight returns the weight of the knowledge about the neighbour.
func (n spillNeighbour) weight(now time.Duration) float64 {
	if !n.load.IsKnown() {
		return 0
	}
	age := now - n.knownAt
	return min(1, max(0, float64(maxSpillKnowledge-age)/float64(maxSpillKnowledge-freshSpillKnowledge)))
}

// place adds the neighbours' shares to their credits and chooses one that has earned a read. A read that meets no wait
// stays, so that those that leave are the ones that would wait.
func (s SpillOver) place(v SpillValues, local PoolLoad, bytes int, now time.Duration) (SpillOver, Placement) {
	next := make(map[string]spillNeighbour, len(s.neighbours))
	chosen, most := "", 1.0
	for _, server := range slices.Sorted(maps.Keys(s.neighbours)) {
		n := s.neighbours[server]
		n.credit = min(n.credit+n.share*n.weight(now), maxSpillCredit)
		next[server] = n
		// A server whose owner has just refused a read gets none until it is surveyed again.
		if n.credit >= most && n.load.Wait <= n.load.MaxForeignWait() {
			chosen, most = server, n.credit
		}
	}
	s.neighbours = next
	if local.Wait == 0 {
		return s, StayLocal{Reason: SpillNotNeeded}
	}
	if chosen == "" {
		return s, StayLocal{Reason: SpillLocalShare}
	}
	n := next[chosen]
	maxWait := s.wait + s.runTime - n.timeAway(v.timeOf(float64(bytes))) + n.load.Wait
	if maxWait <= n.load.Wait {
		// The read is larger than most.
		return s, StayLocal{Reason: SpillTransferCost}
	}
	n.credit--
	n.sent++
	next[chosen] = n
	return s, SendAway{Server: chosen, MaxWait: min(maxWait, n.load.MaxForeignWait())}
}

// Share returns the share of the reads that leave at now.
func (s SpillOver) Share(now time.Duration) float64 {
	total := 0.0
	for _, n := range s.neighbours {
		total += n.share * n.weight(now)
	}
	return total
}

// Reason returns the reason of the share at now.
func (s SpillOver) Reason(now time.Duration) SpillReason {
	if s.Share(now) > 0 || s.reason != SpillSaves {
		return s.reason
	}
	return SpillOldKnowledge
}

// Load returns the smoothed load of the local server.
func (s SpillOver) Load() PoolLoad { return PoolLoad{Wait: s.wait, RunTime: s.runTime} }

// NeedsSurvey reports whether the other servers' loads matter at present: reads wait, or a share leaves.
func (s SpillOver) NeedsSurvey(now time.Duration) bool {
	return s.wait > minSpillGain || s.Share(now) > 0
}

// ReadSize is the mean size of a route's reads and their answers. It is immutable; the zero value has no samples.
type ReadSize struct{ mean float64 }

// WithRead returns the mean after another read.
func (r ReadSize) WithRead(bytes int) ReadSize {
	if r.mean == 0 {
		return ReadSize{mean: float64(bytes)}
	}
	return ReadSize{mean: r.mean + (float64(bytes)-r.mean)/bytesWeight}
}

// Bytes returns the mean, or an assumed one without samples.
func (r ReadSize) Bytes() int {
	if r.mean == 0 {
		return initialReadBytes
	}
	return int(r.mean)
}
