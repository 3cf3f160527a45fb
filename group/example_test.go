package group_test

import (
	"fmt"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// A watcher whose replicas have not heard from their primary for a second fences the servers with the next term.
func ExamplePromotion() {
	v := group.NewView(group.Member{Name: "a"}, group.Member{Name: "b"}, group.Member{Name: "c"})
	log := group.NewHistory(7, group.TermStart{Term: 1, First: 1})
	now := 5 * time.Second
	for _, name := range []string{"b", "c"} {
		status := group.Status{
			Server: name, Role: group.Replica, Promised: 1, Followed: 1, History: log, PrimarySilence: group.PrimaryFailureTimeout,
		}
		v = v.WithObservation(group.Observation{Status: status, RequestedAt: now, ReceivedAt: now})
	}
	_, orders := group.NewPromotion("instance-1", 0).WithEvent(group.Observed{}, v, now)
	fmt.Printf("%+v\n", orders)
	// Output: [{Term:2 Candidate:instance-1}]
}
