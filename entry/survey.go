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
	// SurveyTimeout is how long an instance may take to answer a survey.
	SurveyTimeout = time.Second
	// MaxSurveyed bounds the instances that one survey asks, so that a page of a large fleet costs a bounded number of
	// calls.
	MaxSurveyed = 256

	surveyWorkers = 16
	// surveyRetryDelay lies between two rounds of questions while a change spreads.
	surveyRetryDelay = 200 * time.Millisecond
)

// InstanceStatus is an instance of the list with the revision in force there.
type InstanceStatus struct {
	Instance instance.Instance
	// Queried is false for the instances beyond MaxSurveyed.
	Queried bool
	// Answered is false when the instance did not answer within SurveyLimit.
	Answered bool
	Revision document.Revision
	// Age is how long ago the instance knew its revision to be the newest.
	Age      time.Duration
	AgeKnown bool
}

// SurveyConfig is what a Survey needs.
type SurveyConfig struct {
	Self     instance.Instance
	Follower *Follower
	Relays   RelayClient
	Timer    port.Timer
}

// Survey asks the listed instances which document is in force there.
type Survey struct {
	cfg SurveyConfig
}

// NewSurvey returns a Survey.
func NewSurvey(cfg SurveyConfig) *Survey { return &Survey{cfg: cfg} }

// Statuses returns the listed instances and this one, in the order of the list.
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

// run asks instances until no question is left. Each question names another element of standings.
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

// AwaitRevision asks until the revision is in force at every instance that answers, for up to limit.
func (s *Survey) AwaitRevision(ctx context.Context, r document.Revision, limit time.Duration) []InstanceStatus {
	ends := s.cfg.Timer.Now() + limit
	for {
		statuses := s.Statuses(ctx)
		if ctx.Err() != nil || s.cfg.Timer.Now() >= ends || !isPending(statuses, r) {
			return statuses
		}
		_ = port.Sleep(ctx, s.cfg.Timer, surveyRetryDelay)
	}
}

// isPending reports whether an instance that answers still has an earlier revision.
func isPending(statuses []InstanceStatus, r document.Revision) bool {
	return slices.ContainsFunc(statuses, func(s InstanceStatus) bool { return s.Answered && s.Revision < r })
}
