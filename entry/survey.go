package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// SurveyTimeout limits the request to one instance.
	SurveyTimeout = time.Second
	// MaxSurveyed limits the instances that one survey queries, so that a page of the console causes a limited number of
	// calls.
	MaxSurveyed = 256

	surveyWorkers = 16
	// surveyRetryDelay is the delay between two surveys while a change is being distributed.
	surveyRetryDelay = 200 * time.Millisecond
)

// InstanceStatus is a listed instance with its current revision.
type InstanceStatus struct {
	Instance instance.Instance
	// Queried is false for the instances beyond MaxSurveyed.
	Queried bool
	// Answered is false if the instance did not answer within SurveyTimeout.
	Answered bool
	Revision document.Revision
	// Age is the time since the revision was last known there to be the newest.
	Age      time.Duration
	AgeKnown bool
}

// SurveyConfig configures a Survey.
type SurveyConfig struct {
	Self     instance.Instance
	Follower *Follower
	Relays   RelayClient
	Timer    port.Timer
}

// Survey queries the listed instances for their current revision of the document.
type Survey struct {
	cfg SurveyConfig
}

// NewSurvey returns a Survey.
func NewSurvey(cfg SurveyConfig) *Survey { return &Survey{cfg: cfg} }

// Statuses queries the listed instances and this one, and returns their statuses in the order of the list.
func (s *Survey) Statuses(ctx context.Context) []InstanceStatus {
	listed := s.cfg.Follower.List().WithInstance(s.cfg.Self).All()
	statuses := make([]InstanceStatus, len(listed))
	indexes := ring.New[int](MaxSurveyed)
	for i, in := range listed {
		statuses[i] = InstanceStatus{Instance: in, Queried: i < MaxSurveyed}
		indexes.TryPut(i)
	}
	var workers sync.WaitGroup
	for range min(surveyWorkers, len(listed)) {
		workers.Go(func() { s.run(ctx, indexes, statuses) })
	}
	workers.Wait()
	return statuses
}

// run queries instances until no index is left. Each index refers to a different element of statuses.
func (s *Survey) run(ctx context.Context, indexes *ring.Ring[int], statuses []InstanceStatus) {
	for {
		i, ok := indexes.TryTake()
		if !ok {
			return
		}
		statuses[i] = s.query(ctx, statuses[i])
	}
}

func (s *Survey) query(ctx context.Context, status InstanceStatus) InstanceStatus {
	revision := s.cfg.Follower.Document().Revision
	if status.Instance.Incarnation == s.cfg.Self.Incarnation {
		status.Answered, status.Revision = true, revision
		status.Age, status.AgeKnown = s.cfg.Follower.Staleness()
		return status
	}
	ctx, cancel := port.WithTimeout(ctx, s.cfg.Timer, SurveyTimeout)
	defer cancel()
	response, err := s.cfg.Relays.Follow(ctx, status.Instance.Address, FollowRequest{KnownRevision: revision})
	if err != nil {
		return status
	}
	status.Answered, status.Revision = true, response.Revision
	status.Age, status.AgeKnown = response.Age, response.Confirmed
	return status
}

// AwaitRevision repeats the survey until every instance that answers has at least the revision, for up to limit.
func (s *Survey) AwaitRevision(ctx context.Context, r document.Revision, limit time.Duration) []InstanceStatus {
	deadline := s.cfg.Timer.Now() + limit
	for {
		statuses := s.Statuses(ctx)
		if ctx.Err() != nil || s.cfg.Timer.Now() >= deadline || !isPending(statuses, r) {
			return statuses
		}
		_ = port.Sleep(ctx, s.cfg.Timer, surveyRetryDelay)
	}
}

// isPending reports whether an instance that answered has an earlier revision.
func isPending(statuses []InstanceStatus, r document.Revision) bool {
	return slices.ContainsFunc(statuses, func(s InstanceStatus) bool { return s.Answered && s.Revision < r })
}
