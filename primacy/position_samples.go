package primacy

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

const (
	// sampleSpacing is the least time between two samples. More samples would hardly make more replicas eligible.
	sampleSpacing = 40 * time.Millisecond
	// sampleRetention is how long samples are kept. It covers the staleness that routes accept.
	sampleRetention = 4 * time.Second
)

// PositionSample states that every write acknowledged before At lies at or before Position.
type PositionSample struct {
	Position group.Position
	At       time.Duration
}

// PositionSamples holds recent samples of the position of a group's primary. It is immutable; the zero value is empty.
type PositionSamples struct{ samples []PositionSample }

// WithSample returns the samples with another one added, without those that are too old.
func (s PositionSamples) WithSample(p PositionSample) PositionSamples {
	n := len(s.samples)
	if n > 0 && p.At <= s.samples[n-1].At {
		return s
	}
	first := slices.IndexFunc(s.samples, func(old PositionSample) bool { return p.At-old.At <= sampleRetention })
	if first < 0 {
		first = n
	}
	samples := slices.Clone(s.samples[first:])
	if k := len(samples); k > 1 && samples[k-1].At-samples[k-2].At < sampleSpacing {
		samples = samples[:k-1]
	}
	return PositionSamples{samples: append(samples, p)}
}

// Floor returns the lowest known position that covers every write acknowledged more than age before now.
func (s PositionSamples) Floor(now, age time.Duration) (group.Position, bool) {
	for _, p := range s.samples {
		if now-p.At <= age {
			return p.Position, true
		}
	}
	return group.Position{}, false
}

// Newest returns the latest sample.
func (s PositionSamples) Newest() (PositionSample, bool) {
	if len(s.samples) == 0 {
		return PositionSample{}, false
	}
	return s.samples[len(s.samples)-1], true
}
