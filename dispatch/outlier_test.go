package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// behaviour is how a server answers a read that is sent at now.
type behaviour func(now time.Duration, random *rand.Rand) (runTime time.Duration, failed bool)

// runTimes returns run times around a mean, with the spread of statements of different kinds.
func runTimes(mean time.Duration) behaviour {
	return func(_ time.Duration, random *rand.Rand) (time.Duration, bool) {
		return time.Duration(random.ExpFloat64() * float64(mean)), false
	}
}

// failing fails a share of the reads.
func failing(share float64, other behaviour) behaviour {
	return func(now time.Duration, random *rand.Rand) (time.Duration, bool) {
		took, failed := other(now, random)
		return took, failed || random.Float64() < share
	}
}

// replayResult is what a replay found.
type replayResult struct {
	// reads and failed count the reads of each server, and its failures. ejections counts the servers' ejections, and
	// reasons has the first reason of each.
	reads, failed, ejections map[string]int
	reasons                  map[string]dispatch.OutlierReason
	mostEjected              int
}

// replayReads sends reads at a rate to the servers in turn, and leaves out those that are ejected if ejects is true.
func replayReads(servers map[string]behaviour, perSecond int, d time.Duration, ejects bool) replayResult {
	random := rand.New(rand.NewPCG(1, 2))
	names := []string{"a", "b", "c"}[:len(servers)]
	answers := make(map[string]dispatch.Answers)
	for _, name := range names {
		answers[name] = dispatch.Answers{}
	}
	r := replayResult{reads: map[string]int{}, failed: map[string]int{}, ejections: map[string]int{}, reasons: map[string]dispatch.OutlierReason{}}
	for i := range int(d/time.Second) * perSecond {
		now := time.Duration(i) * time.Second / time.Duration(perSecond)
		name := names[random.IntN(len(names))]
		for tries := 0; ejects && answers[name].IsEjected(random.Uint64(), now) && tries < 10; tries++ {
			name = names[random.IntN(len(names))]
		}
		took, failed := servers[name](now, random)
		r.reads[name]++
		if failed {
			r.failed[name]++
		}
		answers[name] = answers[name].WithAnswer(took, failed, now)
		if outlier, reason, found := dispatch.FindOutlier(answers, now); found {
			answers[outlier] = answers[outlier].WithEjection(now)
			r.ejections[outlier]++
			if r.reasons[outlier] == "" {
				r.reasons[outlier] = reason
			}
		}
		ejected := 0
		for _, name := range names {
			if now < answers[name].EjectedUntil() {
				ejected++
			}
		}
		r.mostEjected = max(r.mostEjected, ejected)
	}
	return r
}

// Guards against servers with partial failures that get as many reads as the others, as they do without ejection.
func TestOutliersAreEjected(t *testing.T) {
	const mean = 13 * time.Millisecond
	healthy := runTimes(mean)
	for name, c := range map[string]struct {
		outlier behaviour
		reason  dispatch.OutlierReason
	}{
		"40 % failed answers":       {failing(0.4, healthy), dispatch.FailedAnswers},
		"hangs":                     {failing(1, runTimes(250*time.Millisecond)), dispatch.FailedAnswers},
		"flaps":                     {flapping(healthy), dispatch.FailedAnswers},
		"eight times as slow":       {runTimes(8 * mean), dispatch.SlowAnswers},
		"slow and failing a little": {failing(0.1, runTimes(8*mean)), dispatch.SlowAnswers},
	} {
		t.Run(name, func(t *testing.T) {
			servers := map[string]behaviour{"a": healthy, "b": c.outlier, "c": healthy}
			without, with := replayReads(servers, 6, 2*time.Minute, false), replayReads(servers, 6, 2*time.Minute, true)
			t.Logf("reads at the outlier: %d, without ejection %d", with.reads["b"], without.reads["b"])
			require.Less(t, 3*with.reads["b"], without.reads["b"])
			require.Equal(t, c.reason, with.reasons["b"])
			require.Equal(t, 1, with.mostEjected)
			require.Zero(t, with.ejections["a"]+with.ejections["c"])
		})
	}
}

// flapping fails all reads in every other second and a half.
func flapping(other behaviour) behaviour {
	return func(now time.Duration, random *rand.Rand) (time.Duration, bool) {
		took, failed := other(now, random)
		return took, failed || now/(1500*time.Millisecond)%2 == 1
	}
}

// Guards against a change of how healthy servers are used.
func TestHealthyServersAreNotEjected(t *testing.T) {
	fast, slow := runTimes(2500*time.Microsecond), runTimes(55*time.Millisecond)
	for name, servers := range map[string]map[string]behaviour{
		"equal":                       {"a": slow, "b": slow, "c": slow},
		"short run times that differ": {"a": fast, "b": runTimes(15 * time.Millisecond), "c": fast},
		"twice as slow":               {"a": slow, "b": runTimes(110 * time.Millisecond), "c": slow},
		"a few failures":              {"a": slow, "b": failing(0.05, slow), "c": slow},
		"all of them fail":            {"a": failing(0.6, slow), "b": failing(0.6, slow), "c": failing(0.6, slow)},
		"all of them are slow":        {"a": runTimes(time.Second), "b": runTimes(time.Second), "c": runTimes(time.Second)},
		"two servers":                 {"a": slow, "b": failing(0.5, slow)},
	} {
		t.Run(name, func(t *testing.T) {
			for _, perSecond := range []int{1, 6, 100} {
				r := replayReads(servers, perSecond, 10*time.Minute, true)
				require.Empty(t, r.ejections, "at %d reads per second", perSecond)
			}
		})
	}
}

// Guards against two servers of three that are ejected together, and against a server that never returns.
func TestEjectionIsBounded(t *testing.T) {
	healthy := runTimes(13 * time.Millisecond)
	t.Run("two of three fail", func(t *testing.T) {
		r := replayReads(map[string]behaviour{"a": healthy, "b": failing(0.9, healthy), "c": failing(0.8, healthy)}, 10, time.Minute, true)
		require.Equal(t, 1, r.mostEjected)
	})
	t.Run("recovery", func(t *testing.T) {
		recovering := func(now time.Duration, random *rand.Rand) (time.Duration, bool) {
			took, _ := healthy(now, random)
			return took, now < 20*time.Second
		}
		r := replayReads(map[string]behaviour{"a": healthy, "b": recovering, "c": healthy}, 10, 4*time.Minute, true)
		require.Greater(t, r.reads["b"], 10*200/4)
	})
	t.Run("gradual return", func(t *testing.T) {
		a := dispatch.Answers{}.WithEjection(0)
		offered := func(now time.Duration) int {
			n := 0
			for i := range uint64(1000) {
				if !a.IsEjected(i*65_536/1000, now) {
					n++
				}
			}
			return n
		}
		require.Zero(t, offered(a.EjectedUntil()-1))
		require.InDelta(t, 100, offered(a.EjectedUntil()), 2)
		require.InDelta(t, 500, offered(a.EjectedUntil()+5*time.Second), 2)
		require.Equal(t, 1000, offered(a.EjectedUntil()+10*time.Second))
	})
}

// Guards against a partly failing server that is never compared, because all reads of a data centre run there, and
// against a comparison of one that fails few.
func TestDoubtfulServerIsCompared(t *testing.T) {
	answersOf := func(n int, failed bool) dispatch.Answers {
		var a dispatch.Answers
		for i := range n {
			a = a.WithAnswer(ms, failed && i%5 < 2, time.Second)
		}
		return a
	}
	for name, c := range map[string]struct {
		group map[string]dispatch.Answers
		found bool
	}{
		"fails two of five":       {map[string]dispatch.Answers{"a": {}, "b": answersOf(20, true), "c": answersOf(3, false)}, true},
		"others can be compared":  {map[string]dispatch.Answers{"a": {}, "b": answersOf(20, true), "c": answersOf(20, false)}, false},
		"fails none":              {map[string]dispatch.Answers{"a": {}, "b": answersOf(20, false), "c": {}}, false},
		"too few answers":         {map[string]dispatch.Answers{"a": {}, "b": answersOf(5, true), "c": {}}, false},
		"one of two servers left": {map[string]dispatch.Answers{"a": {}, "b": answersOf(20, true)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			doubtful, found := dispatch.FindDoubtful(c.group, time.Second)
			require.Equal(t, c.found, found)
			require.Equal(t, c.found, doubtful == "b")
		})
	}
	t.Run("a quarter of its reads run elsewhere", func(t *testing.T) {
		a, n := answersOf(20, true).WithComparison(0), 0
		for i := range uint64(1000) {
			if a.IsEjected(i*65_536/1000, time.Second) {
				n++
			}
		}
		require.InDelta(t, 250, n, 2)
	})
}
