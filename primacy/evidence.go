package primacy

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

const (
	// evidenceSpacing is the least time between two kept points. Closer points hardly widen the choice of replicas.
	evidenceSpacing = 40 * time.Millisecond
	// evidenceSpan is how long points are kept; it covers the ages that routes accept.
	evidenceSpan = 4 * time.Second
)

// PositionSample says that every write that was acknowledged before the instant lies at or before the position.
type PositionSample struct {
	Position group.Position
	At       time.Duration
}

// PositionSamples is what an instance knows of the positions of a group's primary over the last seconds. An Evidence is never
// changed in place; the zero value knows nothing.
type PositionSamples struct{ points []PositionSample }

// WithSample returns the evidence with another point, and without those that are too old.
func (e PositionSamples) WithSample(p PositionSample) PositionSamples {
	n := len(e.points)
	if n > 0 && p.At <= e.points[n-1].At {
		return e
	}
	first := slices.IndexFunc(e.points, func(old PositionSample) bool { return p.At-old.At <= evidenceSpan })
	if first < 0 {
		first = n
	}
	points := slices.Clone(e.points[first:])
	if k := len(points); k > 1 && points[k-1].At-points[k-2].At < evidenceSpacing {
		points = points[:k-1]
	}
	return PositionSamples{points: append(points, p)}
}

// Floor returns the lowest position that is known to hold every write acknowledged more than age before now.
func (e PositionSamples) Floor(now, age time.Duration) (group.Position, bool) {
	for _, p := range e.points {
		if now-p.At <= age {
			return p.Position, true
		}
	}
	return group.Position{}, false
}

// Newest returns the latest point.
func (e PositionSamples) Newest() (PositionSample, bool) {
	if len(e.points) == 0 {
		return PositionSample{}, false
	}
	return e.points[len(e.points)-1], true
}
