package bench

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

const (
	killedRuns   = 20
	repeatedRuns = 10
	// rounds is how often each way of calling is measured; the ways alternate, so that other load on the machine
	// meets all of them.
	rounds = 5
	// roundTime is how long one way is measured in a round.
	roundTime = time.Second
	// maxLatency is the largest latency that the histograms hold, in microseconds.
	maxLatency = 60_000_000
)

// BenchmarkFailoverGap measures what callers see while a primary fails. One caller writes through each of the four
// instances without a pause, so that its write is usually in flight when the primary fails: the gap is the longest time
// between two acknowledgments, of the worst of the four. A fifth caller comes right after the failure: its gap is the
// time until its first write is acknowledged.
//
//	go test ./bench -run '^$' -bench FailoverGap -benchtime 1x
func BenchmarkFailoverGap(b *testing.B) {
	b.Run("killed", func(b *testing.B) {
		var gaps gapSeries
		for len(gaps.flying) < killedRuns {
			f := newFleet(b)
			for g := range f.groups {
				gaps.measure(f, g, killPrimary)
			}
			f.endAll()
		}
		gaps.print("killed")
	})
	b.Run("stopped", func(b *testing.B) { measureGaps(b, "stopped and continued", stopPrimary) })
	b.Run("cut", func(b *testing.B) { measureGaps(b, "cut from its replicas", cutPrimary) })
}

func measureGaps(b *testing.B, name string, fail failure) {
	f := newFleet(b)
	var gaps gapSeries
	for len(gaps.flying) < repeatedRuns {
		gaps.measure(f, 0, fail)
	}
	gaps.print(name)
}

// gapSeries holds the gaps of the callers with a write in flight and of the callers that came after the failure.
type gapSeries struct{ flying, arriving []time.Duration }

// endAll ends the processes of the fleet before the end of the benchmark.
func (f *fleet) endAll() {
	f.platform.end()
	for _, s := range slices.Concat(f.groups...) {
		s.end()
	}
	for _, m := range f.members {
		m.end()
	}
}

// measure adds the gaps of a run. The primary has been continued or healed when it returns.
func (s *gapSeries) measure(f *fleet, g int, fail failure) {
	f.t.Helper()
	l := f.startGapLoad(g)
	l.awaitMore(100)
	f.awaitSettled(g)
	primary := f.awaitPrimary(g, nil)
	heal := fail(f, primary)
	failed := timer.Now()
	arriving, err := dial(f.members[0].callers, f.writer(g))
	require.NoError(f.t, err)
	eventually(f.t, settleLimit, "a new caller's write is acknowledged", func() bool {
		_, err := arriving.exec(putSQL("arriving", "1"))
		return err == nil
	})
	s.arriving = append(s.arriving, timer.Now()-failed)
	arriving.close()
	f.awaitPrimary(g, primary)
	l.awaitEach(20)
	l.end()
	heal()
	s.flying = append(s.flying, l.longestGap())
}

// gapWriter writes to one key until it is stopped, and keeps the longest time between two acknowledgments.
type gapWriter struct {
	writer
	times []time.Duration
	mu    sync.Mutex
}

// run is the writer's loop.
func (w *gapWriter) run() {
	for !w.stop.Load() {
		if !w.connect() {
			return
		}
		if _, err := w.conn.exec(putSQL(w.name, "1")); err != nil {
			continue
		}
		w.mu.Lock()
		w.times = append(w.times, timer.Now())
		w.mu.Unlock()
		w.added.Add(1)
	}
}

func (w *gapWriter) acknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.times)
}

// gapLoad is a set of writers, one at each instance.
type gapLoad struct {
	load
	gaps []*gapWriter
}

func (f *fleet) startGapLoad(g int) *gapLoad {
	l := &gapLoad{load: load{t: f.t}}
	for _, m := range f.members {
		w := &gapWriter{writer: writer{
			name: m.id + "-gap", address: m.callers, login: f.writer(g), stop: &l.stop, added: &l.added,
		}}
		l.gaps = append(l.gaps, w)
		l.running.Go(w.run)
	}
	f.t.Cleanup(l.end)
	return l
}

// awaitEach waits until each writer has had n further writes acknowledged.
func (l *gapLoad) awaitEach(n int) {
	l.t.Helper()
	for _, w := range l.gaps {
		goal := w.acknowledged() + n
		eventually(l.t, settleLimit, w.name+" goes on", func() bool { return w.acknowledged() >= goal })
	}
}

func (l *gapLoad) longestGap() time.Duration {
	longest := time.Duration(0)
	for _, w := range l.gaps {
		for i := 1; i < len(w.times); i++ {
			longest = max(longest, w.times[i]-w.times[i-1])
		}
	}
	return longest
}

func (s *gapSeries) print(name string) {
	table(func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "primary\tcaller\truns\tbest\tmedian\tworst")
		printGaps(w, name, "write in flight", s.flying)
		printGaps(w, name, "new", s.arriving)
	})
}

func printGaps(w io.Writer, name, caller string, gaps []time.Duration) {
	sorted := slices.Sorted(slices.Values(gaps))
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", name, caller, len(sorted), round(sorted[0]),
		round(sorted[len(sorted)/2]), round(sorted[len(sorted)-1]))
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// table prints aligned rows, with the machine's load before them.
func table(rows func(w io.Writer)) {
	load, _ := os.ReadFile("/proc/loadavg")
	fmt.Printf("\n%s, load average %s\n", time.Now().UTC().Format(time.RFC3339), strings.TrimSpace(string(load)))
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	rows(w)
	_ = w.Flush()
}

// way is one way of calling, with what its callers saw.
type way struct {
	name string
	// dial returns a function that makes one call.
	dial      func(n int) func() error
	callers   []func() error
	latencies *hdrhistogram.Histogram
	took      time.Duration
}

// BenchmarkThroughput measures latency and statements per second through one instance and on direct connections to the
// same stand-ins, which alternate within one run.
//
// With the path of an earlier binary in RHUBARBWICK_EARLIER, the second instance runs that one and is measured too.
//
//	go test ./bench -run '^$' -bench Throughput -benchtime 1x
func BenchmarkThroughput(b *testing.B) {
	f := newFleet(b)
	primary := f.awaitPrimary(0, nil)
	f.awaitSettled(0)
	mustDial(b, f.members[0].callers, f.writer(0)).mustExec(b, putSQL("tin", "1"))
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("reads-%d", callers), func(b *testing.B) { compare(b, callers, f.readWays(b, primary)) })
		b.Run(fmt.Sprintf("writes-%d", callers), func(b *testing.B) { compare(b, callers, f.writeWays(b, primary)) })
	}
}

func (f *fleet) readWays(b *testing.B, primary *server) []*way {
	read := func(c *caller) func() error {
		return func() error { _, err := c.exec(getSQL("tin")); return err }
	}
	writer := mustDial(b, f.members[0].callers, f.writer(0))
	writer.mustExec(b, putSQL("tin", "1"))
	token := writer.token()
	ways := []*way{{name: "direct", dial: func(int) func() error { return read(f.direct(b, primary, "slot-1")) }}}
	for _, login := range []struct{ name, session string }{{"with token", token}, {"without token", ""}} {
		for _, v := range f.versions() {
			ways = append(ways, &way{name: v.name + ", " + login.name, dial: func(int) func() error {
				return read(mustDial(b, v.callers, f.reader(0).withSession(login.session)))
			}})
		}
	}
	return ways
}

func (f *fleet) writeWays(b *testing.B, primary *server) []*way {
	write := func(c *caller, n int) func() error {
		return func() error { _, err := c.exec(putSQL(fmt.Sprint("tin-", n), "1")); return err }
	}
	replica := f.replicas(0, primary)[0]
	ways := []*way{
		{name: "direct", dial: func(n int) func() error { return write(f.direct(b, primary, "slot-1"), n) }},
		{name: "direct, on a replica too", dial: func(n int) func() error {
			c, status := f.direct(b, primary, "slot-1"), f.direct(b, replica, "rhubarbwick_maintenance")
			put := write(c, n)
			return func() error {
				if err := put(); err != nil {
					return err
				}
				position := c.conn.ParameterStatus("rhubarbwick.position")
				_, err := status.exec("SELECT rhubarbwick_status('" + position + "', 1000)")
				return err
			}
		}},
	}
	for _, v := range f.versions() {
		ways = append(ways, &way{name: v.name, dial: func(n int) func() error {
			return write(mustDial(b, v.callers, f.writer(0)), n)
		}})
	}
	return ways
}

// direct connects to a stand-in without an instance, and binds the connection to the organisation.
func (f *fleet) direct(t testing.TB, s *server, database string) *caller {
	t.Helper()
	c := mustDial(t, s.address, login{organisation: serverUser, key: f.secrets.server, route: database})
	if database == "slot-1" {
		c.mustExec(t, "SELECT rhubarbwick_bind('clinic', 'bench', 'false')")
	}
	return c
}

// compare measures the ways in turns and prints them beside the first.
func compare(b *testing.B, callers int, ways []*way) {
	for _, w := range ways {
		w.latencies = hdrhistogram.New(1, maxLatency, 3)
		for n := range callers {
			w.callers = append(w.callers, w.dial(n))
		}
	}
	for range rounds {
		for _, w := range ways {
			w.measure(b)
		}
	}
	base := ways[0]
	table(func(out io.Writer) {
		_, _ = fmt.Fprintf(out, "%s\tstatements/s\tmedian µs\tp99 µs\tratio statements/s\tratio median\tratio p99\n", b.Name())
		for _, w := range ways {
			_, _ = fmt.Fprintf(out, "%s\t%.0f\t%d\t%d\t%.2f\t%.2f\t%.2f\n", w.name, w.rate(), w.quantile(50), w.quantile(99),
				w.rate()/base.rate(), float64(w.quantile(50))/float64(base.quantile(50)),
				float64(w.quantile(99))/float64(base.quantile(99)))
		}
	})
}

// measure lets all callers of the way call for one round.
func (w *way) measure(b *testing.B) {
	results := make([]roundResult, len(w.callers))
	start := timer.Now()
	var running sync.WaitGroup
	for i, call := range w.callers {
		running.Go(func() { results[i].run(call, start+roundTime) })
	}
	running.Wait()
	w.took += timer.Now() - start
	for _, r := range results {
		require.NoError(b, r.err)
		require.Zero(b, w.latencies.Merge(r.latencies))
	}
}

func (w *way) rate() float64 { return float64(w.latencies.TotalCount()) / w.took.Seconds() }

func (w *way) quantile(q float64) int64 { return w.latencies.ValueAtQuantile(q) }

// roundResult is what one caller saw in a round.
type roundResult struct {
	latencies *hdrhistogram.Histogram
	err       error
}

// run calls until the end of the round.
func (r *roundResult) run(call func() error, end time.Duration) {
	r.latencies = hdrhistogram.New(1, maxLatency, 3)
	for r.err == nil {
		from := timer.Now()
		if from > end {
			return
		}
		r.err = call()
		_ = r.latencies.RecordValue((timer.Now() - from).Microseconds())
	}
}
