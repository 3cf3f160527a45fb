package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// demandOf returns the demand of organisations that each sent a number of statements, evenly spread over ten seconds.
func demandOf(statements map[string]int) dispatch.Demand {
	var d dispatch.Demand
	for name, n := range statements {
		for i := range n {
			d = d.WithStatement(name, 10*time.Second*time.Duration(i)/time.Duration(n)).WithRelease(name, 8*ms)
		}
	}
	return d
}

// Guards against connections that are opened although one in use is released sooner, and against closing those that are
// needed again at once.
func TestChooseConnection(t *testing.T) {
	pool := func(limit int, organisations map[string]dispatch.OrganisationPool) dispatch.Pool {
		p := dispatch.Pool{
			Now: 10 * time.Second, Demand: demandOf(map[string]int{"a": 200, "b": 50, "c": 2}), Limit: limit, Slots: 4, Organisations: organisations,
		}
		for _, o := range organisations {
			p.Total += o.Total
		}
		return p
	}
	used, idle := dispatch.OrganisationPool{Total: 1}, dispatch.OrganisationPool{Total: 1, Idle: 1}
	wait := func(name string) dispatch.ConnectionWait {
		return dispatch.ConnectionWait{Organisation: name, Limit: 60 * ms}
	}
	requireChoice := func(t *testing.T, want dispatch.ConnectionChoice, p dispatch.Pool, w dispatch.ConnectionWait) {
		t.Helper()
		require.IsType(t, want, p.ChooseConnection(w))
		if open, opens := want.(dispatch.OpenConnection); opens {
			require.Equal(t, open, p.ChooseConnection(w))
		}
	}
	t.Run("an organisation without a connection gets a free place", func(t *testing.T) {
		requireChoice(t, dispatch.OpenConnection{}, pool(3, map[string]dispatch.OrganisationPool{"a": used}), wait("c"))
	})
	t.Run("a connection in use that is soon released is awaited", func(t *testing.T) {
		requireChoice(t, dispatch.AwaitConnection{}, pool(3, map[string]dispatch.OrganisationPool{"a": used}), wait("a"))
	})
	t.Run("behind other statements of the organisation another one is opened", func(t *testing.T) {
		w := wait("a")
		w.Ahead = 4
		requireChoice(t, dispatch.OpenConnection{}, pool(3, map[string]dispatch.OrganisationPool{"a": used}), w)
	})
	t.Run("a connection that is in use for long is not awaited for ever", func(t *testing.T) {
		w := wait("a")
		w.Awaited = 40 * ms
		requireChoice(t, dispatch.OpenConnection{}, pool(3, map[string]dispatch.OrganisationPool{"a": used}), w)
	})
	t.Run("none is opened that would be ready too late", func(t *testing.T) {
		w := wait("a")
		w.Ahead, w.Limit = 4, 5*ms
		requireChoice(t, dispatch.AwaitConnection{}, pool(3, map[string]dispatch.OrganisationPool{"a": used}), w)
	})
	t.Run("the least needed connection is closed", func(t *testing.T) {
		requireChoice(t, dispatch.OpenConnection{InsteadOf: "c"}, pool(3, map[string]dispatch.OrganisationPool{"a": idle, "b": idle, "c": idle}), wait("d"))
	})
	t.Run("a second connection is needed less than a first one", func(t *testing.T) {
		two := dispatch.OrganisationPool{Total: 2, Idle: 2}
		requireChoice(t, dispatch.OpenConnection{InsteadOf: "b"}, pool(3, map[string]dispatch.OrganisationPool{"b": two, "c": idle}), wait("d"))
	})
	t.Run("without a place and an idle connection the statement waits", func(t *testing.T) {
		requireChoice(t, dispatch.AwaitPlace{}, pool(2, map[string]dispatch.OrganisationPool{"a": used, "b": used}), wait("d"))
	})
	t.Run("the organisation that is expected to come is prewarmed", func(t *testing.T) {
		name, found := pool(9, nil).MostNeeded([]string{"z", "c", "b", "a"})
		require.True(t, found)
		require.Equal(t, "a", name)
		name, _ = pool(9, map[string]dispatch.OrganisationPool{"a": idle, "b": idle, "c": idle}).MostNeeded([]string{"y", "z", "c", "b", "a"})
		require.Contains(t, []string{"a", "y"}, name)
	})
	t.Run("without knowledge the order of names decides", func(t *testing.T) {
		name, _ := dispatch.Pool{Organisations: map[string]dispatch.OrganisationPool{"z": idle}}.MostNeeded([]string{"z", "c", "b"})
		require.Equal(t, "c", name)
	})
}

// Guards against knowledge about organisations that grows without bound.
func TestDemandIsBounded(t *testing.T) {
	var d dispatch.Demand
	for i := range 2000 {
		d = d.WithStatement(fmt.Sprintf("org-%04d", i), time.Second)
	}
	require.Zero(t, d.Value("org-0000", 1, time.Second))
	require.Positive(t, d.Value("org-1999", 1, time.Second))
	require.Less(t, d.Value("org-1999", 1, 5*time.Minute), 1e-6)
}
