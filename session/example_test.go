package session_test

import (
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// A read of a session that wrote at 1:7 goes to the replica that holds its write.
func ExampleSelectServer() {
	log := func(last uint64) group.History { return group.NewHistory(last, group.TermStart{Term: 1, First: 1}) }
	v := group.NewView(group.Member{Name: "primary"}, group.Member{Name: "near"}, group.Member{Name: "behind"})
	for _, s := range []group.Status{
		{Server: "primary", Role: group.Primary, Promised: 1, Followed: 1, History: log(7)},
		{Server: "near", Role: group.Replica, Promised: 1, Followed: 1, History: log(7)},
		{Server: "behind", Role: group.Replica, Promised: 1, Followed: 1, History: log(3)},
	} {
		v = v.WithObservation(group.Observation{Status: s})
	}
	s := session.Fresh("clinic").WithFloor("orders", group.Position{Term: 1, Offset: 7})
	fmt.Println(session.SelectServer(session.Request{Group: "orders", Read: true}, s, v, 0))
	// Output: {near true}
}
