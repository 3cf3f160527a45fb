package entry

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
)

// GroupOverview is an instance's view of a group, prepared for display.
type GroupOverview struct {
	Group string
	// Monitored is false if the instance does not monitor the group.
	Monitored bool
	// Primary is the name of the primary. It is empty if none is known.
	Primary string
	Term    group.Term
	Servers []ServerOverview
}

// ServerOverview is an instance's view of a server. Unknown values are zero.
type ServerOverview struct {
	Server document.Server
	// Answered is false if the server has never answered.
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

// NewGroupOverview returns the overview of a group according to the view at time now.
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

// NewUnmonitoredOverview returns the overview of a group that is not monitored, with the data from the document only.
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
		// The statuses were taken at different times, so a replica can seem to be ahead of the primary.
		o.Lag, o.LagKnown = max(primaryPosition.Offset, o.Position.Offset)-o.Position.Offset, true
	}
	o.Age, o.AgeKnown = v.AgeAt(s.Name, now)
	return o
}
