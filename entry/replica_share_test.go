package entry_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/session"
)

const (
	shareReads  = 100
	writePeriod = 25 * time.Millisecond
	readPeriod  = 37 * time.Millisecond
)

// readCase is a kind of client that reads.
type readCase struct {
	name   string
	client func(acknowledged []group.Position) entry.Client
}

func readCases() []readCase {
	withToken := func(acknowledged []group.Position, age time.Duration) session.Session {
		p := acknowledged[max(0, len(acknowledged)-1-int(age/writePeriod))]
		return session.Resume("north", map[string]group.Position{testGroup: p})
	}
	withMaxStaleness := func(c entry.Client) entry.Client {
		c.Route.AcceptedAgeMS = 5000
		return c
	}
	return []readCase{
		{"no token", func([]group.Position) entry.Client { return reader(session.New("north")) }},
		{"token, wrote just now", func(w []group.Position) entry.Client { return reader(withToken(w, 0)) }},
		{"token, wrote 1 s ago", func(w []group.Position) entry.Client { return reader(withToken(w, time.Second)) }},
		{"new session, accepts 5 s", func([]group.Position) entry.Client { return withMaxStaleness(reader(session.Fresh("north"))) }},
	}
}

// measureReplicaShare returns the fraction of the reads that replicas serve while a client writes every 25 ms.
func measureReplicaShare(ctx context.Context, cl *fakeCluster, lag time.Duration, rc readCase) float64 {
	sel := startSelector(cl, startMonitor(ctx, cl, "entry", false))
	cl.lag["s1"], cl.lag["s2"] = lag, 3*lag
	var written []group.Position
	write := func(time.Duration) {
		if p, ok := cl.write("s0", len(written)+1); ok {
			written = append(written, p)
		}
	}
	acknowledged := func() []group.Position {
		var last uint64
		cl.withLock(func() { last = uint64(len(cl.servers["s1"].log)) })
		return slices.DeleteFunc(slices.Clone(written), func(p group.Position) bool { return p.Offset > last })
	}
	defer cl.timer.Every(writePeriod, write)()
	cl.run(5 * time.Second)
	replicas := 0
	for range shareReads {
		cl.run(readPeriod)
		target, err := selectServer(ctx, cl, sel, rc.client(acknowledged())).await(cl, 20*time.Second)
		require.NoError(cl.t, err)
		if target.Replica {
			replicas++
		}
	}
	return float64(replicas) / shareReads
}

// Guards against reads that the primary serves although a replica could. Prints the replicas' share by lag.
func TestReplicaShare(t *testing.T) {
	for _, lag := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
		for _, rc := range readCases() {
			t.Run(rc.name+", lag "+lag.String(), func(t *testing.T) {
				inFakeCluster(t, 11, 3, func(ctx context.Context, cl *fakeCluster) {
					share := measureReplicaShare(ctx, cl, lag, rc)
					t.Logf("%-26s lag %-6s replicas serve %3.0f %%", rc.name, lag, 100*share)
					require.InDelta(t, 1, share, 0.1)
				})
			})
		}
	}
}
