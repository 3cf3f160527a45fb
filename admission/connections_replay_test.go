package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// leastRecent opens a connection for every statement without one, and closes the least recently used one.
func leastRecent(s *simulation, o *operation, _ int) dispatch.ConnectionChoice {
	if s.all < s.connections {
		return dispatch.OpenConnection{}
	}
	for _, c := range s.idle {
		if c.organisation != o.organisation {
			return dispatch.OpenConnection{InsteadOf: c.organisation}
		}
	}
	return dispatch.AwaitPlace{}
}

// equalShare is leastRecent with the same number of connections for each organisation.
func equalShare(s *simulation, o *operation, ahead int) dispatch.ConnectionChoice {
	if s.total[o.organisation] >= max(s.connections/s.organisations, 1) {
		return dispatch.AwaitConnection{}
	}
	return leastRecent(s, o, ahead)
}

func byNeed(s *simulation, o *operation, ahead int) dispatch.ConnectionChoice {
	w := dispatch.ConnectionWait{Organisation: o.organisation, Ahead: ahead, Limit: o.class.objective/2 - (s.now - o.issued)}
	if o.awaitsSince > 0 {
		w.Awaited = s.now - o.awaitsSince
	}
	choice := s.pool().ChooseConnection(w)
	if _, awaits := choice.(dispatch.AwaitConnection); awaits && o.awaitsSince == 0 {
		o.awaitsSince = s.now
	}
	return choice
}

// ownedConnections is the part of 70 connections that the owner of a pool may hold.
const ownedConnections = 52

func busyServer(rate float64) scenario {
	return scenario{
		slots: 4, connections: ownedConnections, organisations: 71, duration: 20 * time.Second,
		classes: []class{
			{name: "every write", rate: 0.15 * rate, work: 3 * ms, objective: 120 * ms, limit: time.Second},
			{name: "accepted age", rate: 0.15 * rate, work: 13 * ms, objective: 300 * ms, limit: 3 * time.Second, priority: 2},
			{name: "own writes", rate: 0.68 * rate, work: 7600 * time.Microsecond, objective: 200 * ms, limit: time.Second, priority: 1},
			{name: "transaction", rate: 0.02 * rate, work: 3 * ms, objective: 500 * ms, limit: 2 * time.Second, priority: 1, statements: 6, pause: 10 * ms},
		},
	}
}

// Guards against connections that are opened and closed in turn when a server accepts fewer of them than there are
// organisations: each opening takes 12 ms of a slot.
func TestScarceConnections(t *testing.T) {
	for name, c := range map[string]func(*scenario){
		"many small organisations": func(*scenario) {},
		"a few large ones":         func(c *scenario) { c.large = 6 },
		"one hot, x 4":             func(c *scenario) { c.large, c.hot = 6, 4 },
		"one hot, x 7.5":           func(c *scenario) { c.large, c.hot = 6, 7.5 },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				s := busyServer(290)
				s.seed = seed
				c(&s)
				results := make(map[string]outcome)
				for policy, connect := range map[string]connectionPolicy{
					"least recent": leastRecent, "equal share": equalShare, "by need": byNeed,
				} {
					results[policy] = s.run(connect)
					t.Logf("%d %-13s %s", seed, policy, results[policy])
				}
				need, recent := results["by need"], results["least recent"]
				require.Less(t, float64(need.dials), 0.9*float64(recent.dials))
				require.Greater(t, need.total.value(), recent.total.value()-0.002)
				require.Greater(t, worst(need.byClass), worst(recent.byClass)-0.005)
				require.Greater(t, worst(need.byOrganisation), worst(results["equal share"].byOrganisation)-0.02)
				if s.hot > 0 {
					require.Greater(t, need.total.value(), results["equal share"].total.value()+0.02)
					require.Greater(t, worst(need.byClass), worst(recent.byClass)+0.03)
				}
			}
		})
	}
}
