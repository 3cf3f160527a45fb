package dispatch

import (
	"math"
	"time"
)

const (
	// outlierMemory is the time constant with which the answers to reads are forgotten. It spans enough answers for a
	// decision at 1.6 reads per second, which is what an instance of a fleet of 23 sends to each of 24 servers.
	outlierMemory = 15 * time.Second
	// minOutlierAnswers is the least number of recent answers, of the server and of the others, for a decision. With 15
	// answers, a server that fails one of 20 reaches maxFailedShare in fewer than one case of a thousand.
	minOutlierAnswers = 15
	// minReturnAnswers is that number for a server that returns from an ejection. It is offered few reads, and has been
	// an outlier before.
	minReturnAnswers = 5
	// maxFailedShare is how much higher the share of failed answers may be than that of the group's other servers. A
	// client tries three times, so that 3 % of the operations at such a server fail.
	maxFailedShare = 0.3
	// maxSlowdown is how many times longer than at the others the mean run time may be, if it is also longer by at least
	// MinSlowdown. Servers under different loads differ by less.
	maxSlowdown = 5
	// ejectionTime is how long a server is ejected for the first time. It doubles with each ejection that soon follows,
	// up to maxEjectionTime.
	ejectionTime    = 5 * time.Second
	maxEjectionTime = 40 * time.Second
	// returnTime is the time in which the share of reads that an ejected server is offered rises from minReturnShare to
	// all of them.
	returnTime     = 10 * time.Second
	minReturnShare = 0.1
	// comparedShare is the share of the reads at a doubtful server that run elsewhere for comparisonTime. It yields enough
	// answers of the others at 12 reads per second, and leaves most reads where they were.
	comparedShare  = 0.25
	comparisonTime = 5 * time.Second
	// serversPerEjection is how many servers a group has for each one that may be ejected.
	serversPerEjection = 3
)

// MinSlowdown is by how much the mean run time of a server must exceed that of the others before it is ejected as slow. It
// is less than half of the shortest objective of a route (120 ms).
const MinSlowdown = 50 * time.Millisecond

// Answers are the recent answers of a server to reads. They are immutable; the zero value has none.
type Answers struct {
	count, failed float64
	runTime       time.Duration
	at            time.Duration
	// ejectedUntil is the end of the last ejection, and ejections the number of those in a row.
	ejectedUntil time.Duration
	ejections    int
	// comparedUntil is the end of the last comparison.
	comparedUntil time.Duration
}

// decayed returns the answers as they count at now.
func (a Answers) decayed(now time.Duration) Answers {
	if now > a.at {
		kept := math.Exp(-float64(now-a.at) / float64(outlierMemory))
		a.count, a.failed, a.runTime, a.at = a.count*kept, a.failed*kept, time.Duration(float64(a.runTime)*kept), now
	}
	return a
}

// WithAnswer returns the answers after a read was answered at now, or failed, after the run time.
func (a Answers) WithAnswer(runTime time.Duration, failed bool, now time.Duration) Answers {
	a = a.decayed(now)
	a.count++
	a.runTime += runTime
	if failed {
		a.failed++
	}
	return a
}

// WithEjection returns the answers after the server was ejected at now. Earlier answers no longer count.
func (a Answers) WithEjection(now time.Duration) Answers {
	if a.ejections > 0 && now-a.ejectedUntil > returnTime+maxEjectionTime {
		a.ejections = 0
	}
	pause := min(ejectionTime<<min(a.ejections, 8), maxEjectionTime)
	return Answers{at: now, ejectedUntil: now + pause, ejections: a.ejections + 1}
}

// EjectedUntil returns the end of the last ejection.
func (a Answers) EjectedUntil() time.Duration { return a.ejectedUntil }

// returnShare returns the share of reads that the server is offered.
func (a Answers) returnShare(now time.Duration) float64 {
	switch since := now - a.ejectedUntil; {
	case a.ejections == 0 || since >= returnTime:
		return 1
	case since < 0:
		return 0
	default:
		return max(float64(since)/float64(returnTime), minReturnShare)
	}
}

// IsEjected reports whether the server is avoided for a read. While the server returns, this depends on the read's
// random number.
func (a Answers) IsEjected(random uint64, now time.Duration) bool {
	const values = 1 << 16
	share := a.returnShare(now)
	if now < a.comparedUntil {
		share = min(share, 1-comparedShare)
	}
	return float64(random%values)/values >= share
}

// WithComparison returns the answers after the server was found to need a comparison at now.
func (a Answers) WithComparison(now time.Duration) Answers {
	a.comparedUntil = now + comparisonTime
	return a
}

// FindDoubtful returns the server of a group that fails many reads while the others have too few answers to compare it
// with. This handles the load of a data centre whose reads all run at its own replica.
func FindDoubtful(group map[string]Answers, now time.Duration) (string, bool) {
	for name, a := range group {
		a = a.decayed(now)
		isFailing := a.count >= minOutlierAnswers && a.failed/a.count >= maxFailedShare
		if isFailing && now >= a.comparedUntil && len(group) >= serversPerEjection && othersOf(group, name, now).count < minOutlierAnswers {
			return name, true
		}
	}
	return "", false
}

// OutlierReason says why a server is ejected.
type OutlierReason string

// The reasons.
const (
	FailedAnswers OutlierReason = "failed answers"
	SlowAnswers   OutlierReason = "slow answers"
)

// FindOutlier returns the server of a group that has to be ejected at now, if there is one.
//
// It handles servers that fail only partly: they accept connections and report that they are healthy, but fail a share
// of the reads, hang, or answer far slower than the others. A server is compared with the group's others, because
// statements that fail, or run for long, anywhere are no fault of the server. At most one of three servers is ejected or
// returning at a time.
func FindOutlier(group map[string]Answers, now time.Duration) (string, OutlierReason, bool) {
	ejected := 0
	for _, a := range group {
		if a.returnShare(now) < 1 {
			ejected++
		}
	}
	worst, reason, worstScore := "", OutlierReason(""), 0.0
	for name, a := range group {
		// A server that returns may be ejected again.
		others := ejected
		if a.returnShare(now) < 1 {
			others--
		}
		if now < a.ejectedUntil || others >= len(group)/serversPerEjection {
			continue
		}
		score, why := a.compare(othersOf(group, name, now), now)
		if score > worstScore || score > 0 && score == worstScore && name < worst {
			worst, reason, worstScore = name, why, score
		}
	}
	return worst, reason, worst != ""
}

// othersOf returns the sum of the answers of the other servers.
func othersOf(group map[string]Answers, name string, now time.Duration) Answers {
	var sum Answers
	for other, a := range group {
		if other != name {
			a = a.decayed(now)
			sum.count, sum.failed, sum.runTime = sum.count+a.count, sum.failed+a.failed, sum.runTime+a.runTime
		}
	}
	return sum
}

// compare returns how far the server is worse than the others, and in what; zero if it isn't far worse.
func (a Answers) compare(others Answers, now time.Duration) (float64, OutlierReason) {
	a = a.decayed(now)
	needed := float64(minOutlierAnswers)
	if a.ejections > 0 && now-a.ejectedUntil < 2*returnTime {
		needed = minReturnAnswers
	}
	if a.count < needed || others.count < minOutlierAnswers {
		return 0, ""
	}
	if excess := a.failed/a.count - others.failed/others.count; excess >= maxFailedShare {
		return 1 + excess, FailedAnswers
	}
	mean, othersMean := float64(a.runTime)/a.count, float64(others.runTime)/others.count
	if mean >= maxSlowdown*othersMean && mean-othersMean >= float64(MinSlowdown) {
		return 1 - othersMean/mean, SlowAnswers
	}
	return 0, ""
}
