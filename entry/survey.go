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

	surveyDuties = 16
	// surveyPause lies between two rounds of questions while a change spreads.
	surveyPause = 200 * time.Millisecond
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
	standings := make([]InstanceStatus, len(listed))
	questions := ring.New[int](MaxSurveyed)
	for i, in := range listed {
		standings[i] = InstanceStatus{Instance: in, Queried: i < MaxSurveyed}
		questions.TryPut(i)
	}
	var duties sync.WaitGroup
	for range min(surveyDuties, len(listed)) {
		duties.Go(func() { s.run(ctx, questions, standings) })
	}
	duties.Wait()
	return standings
}

// run asks instances until no question is left. Each question names another element of standings.
func (s *Survey) run(ctx context.Context, questions *ring.Ring[int], standings []InstanceStatus) {
	for {
		i, ok := questions.TryTake()
		if !ok {
			return
		}
		standings[i] = s.ask(ctx, standings[i])
	}
}

func (s *Survey) ask(ctx context.Context, standing InstanceStatus) InstanceStatus {
	revision := s.cfg.Follower.Document().Revision
	if standing.Instance.Incarnation == s.cfg.Self.Incarnation {
		standing.Answered, standing.Revision = true, revision
		standing.Age, standing.AgeKnown = s.cfg.Follower.Staleness()
		return standing
	}
	ctx, cancel := port.WithTimeout(ctx, s.cfg.Timer, SurveyTimeout)
	defer cancel()
	report, err := s.cfg.Relays.Follow(ctx, standing.Instance.Address, FollowRequest{KnownRevision: revision})
	if err != nil {
		return standing
	}
	standing.Answered, standing.Revision = true, report.Revision
	standing.Age, standing.AgeKnown = report.Age, report.Confirmed
	return standing
}

// AwaitRevision asks until the revision is in force at every instance that answers, for up to limit.
func (s *Survey) AwaitRevision(ctx context.Context, r document.Revision, limit time.Duration) []InstanceStatus {
	ends := s.cfg.Timer.Now() + limit
	for {
		standings := s.Statuses(ctx)
		if ctx.Err() != nil || s.cfg.Timer.Now() >= ends || !isAwaited(standings, r) {
			return standings
		}
		_ = port.Sleep(ctx, s.cfg.Timer, surveyPause)
	}
}

// isAwaited reports whether an instance that answers still has an earlier revision.
func isAwaited(standings []InstanceStatus, r document.Revision) bool {
	return slices.ContainsFunc(standings, func(s InstanceStatus) bool { return s.Answered && s.Revision < r })
}
