package entry

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
)

// GroupOverview is what an instance knows of a group, for people to read.
type GroupOverview struct {
	Group string
	// Monitored is false when the instance neither watches nor uses the group.
	Monitored bool
	// Primary is the name of the primary; empty when none is known.
	Primary string
	Term    group.Term
	Servers []ServerOverview
}

// ServerOverview is what an instance knows of a server. The zero values stand for what is not known.
type ServerOverview struct {
	Server document.Server
	// Answered is false while the server has never answered.
	Answered        bool
	TimeSinceAnswer time.Duration
	Role            group.Role
	Term            group.Term
	Position        group.Position
	// Lag is the number of log entries behind the primary.
	Lag      uint64
	LagKnown bool
	Age      time.Duration
	AgeKnown bool
}

// NewGroupOverview returns the overview of a group in the view at instant now.
func NewGroupOverview(definition document.Group, v group.View, now time.Duration) GroupOverview {
	o := GroupOverview{Group: definition.Name, Monitored: true, Term: v.Term()}
	var primaryPosition group.Position
	if primary, ok := v.Primary(); ok {
		o.Primary = primary.Name
		observation, _ := v.Observation(primary.Name)
		primaryPosition = observation.Status.Last()
	}
	for _, s := range definition.Servers {
		o.Servers = append(o.Servers, newServerOverview(s, v, primaryPosition, now))
	}
	return o
}

// NewUnmonitoredOverview returns the overview of a group of which only the document's part is known.
func NewUnmonitoredOverview(definition document.Group) GroupOverview {
	o := GroupOverview{Group: definition.Name}
	for _, s := range definition.Servers {
		o.Servers = append(o.Servers, ServerOverview{Server: s})
	}
	return o
}

func newServerOverview(s document.Server, v group.View, primaryPosition group.Position, now time.Duration) ServerOverview {
	observation, ok := v.Observation(s.Name)
	if !ok {
		return ServerOverview{Server: s}
	}
	o := ServerOverview{
		Server:          s,
		Answered:        true,
		TimeSinceAnswer: now - observation.RequestedAt,
		Role:            observation.Status.Role,
		Term:            observation.Status.Followed,
		Position:        observation.Status.Last(),
	}
	if !primaryPosition.IsZero() && primaryPosition.Term == o.Position.Term {
		// The statuses are of different instants, so a replica can seem to be ahead.
		o.Lag, o.LagKnown = max(primaryPosition.Offset, o.Position.Offset)-o.Position.Offset, true
	}
	o.Age, o.AgeKnown = v.AgeAt(s.Name, now)
	return o
}
