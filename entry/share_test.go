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

// readKind is a way in which a caller reads.
type readKind struct {
	name   string
	caller func(acknowledged []group.Position) entry.Client
}

func readKinds() []readKind {
	carried := func(acknowledged []group.Position, age time.Duration) session.Session {
		p := acknowledged[max(0, len(acknowledged)-1-int(age/writePeriod))]
		return session.Resume("north", map[string]group.Position{testGroup: p})
	}
	aged := func(c entry.Client) entry.Client {
		c.Route.AcceptedAgeMS = 5000
		return c
	}
	return []readKind{
		{"no token", func([]group.Position) entry.Client { return reader(session.New("north")) }},
		{"token, wrote just now", func(w []group.Position) entry.Client { return reader(carried(w, 0)) }},
		{"token, wrote 1 s ago", func(w []group.Position) entry.Client { return reader(carried(w, time.Second)) }},
		{"new session, accepts 5 s", func([]group.Position) entry.Client { return aged(reader(session.Fresh("north"))) }},
	}
}

// measureShare returns the part of the reads that replicas serve while a caller writes every 25 ms.
func measureShare(ctx context.Context, w *fakeCluster, lag time.Duration, kind readKind) float64 {
	d := startDirector(w, startMonitor(ctx, w, "entry", false))
	w.lag["s1"], w.lag["s2"] = lag, 3*lag
	var written []group.Position
	write := func(time.Duration) {
		if p, ok := w.write("s0", len(written)+1); ok {
			written = append(written, p)
		}
	}
	acknowledged := func() []group.Position {
		var last uint64
		w.withLock(func() { last = uint64(len(w.nodes["s1"].log)) })
		return slices.DeleteFunc(slices.Clone(written), func(p group.Position) bool { return p.Offset > last })
	}
	defer w.timer.Every(writePeriod, write)()
	w.run(5 * time.Second)
	replicas := 0
	for range shareReads {
		w.run(readPeriod)
		target, err := place(ctx, w, d, kind.caller(acknowledged())).await(w, 20*time.Second)
		require.NoError(w.t, err)
		if target.Replica {
			replicas++
		}
	}
	return float64(replicas) / shareReads
}

// Guards against reads that replicas could serve and the primary has to, and prints the share by lag.
func TestReplicaShare(t *testing.T) {
	for _, lag := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
		for _, kind := range readKinds() {
			t.Run(kind.name+", lag "+lag.String(), func(t *testing.T) {
				inWorld(t, 11, 3, func(ctx context.Context, w *fakeCluster) {
					share := measureShare(ctx, w, lag, kind)
					t.Logf("%-26s lag %-6s replicas serve %3.0f %%", kind.name, lag, 100*share)
					require.InDelta(t, 1, share, 0.1)
				})
			})
		}
	}
}
