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
	// rounds is how often each variant is measured. The variants alternate, so that other load on the machine affects
	// all of them.
	rounds = 5
	// roundTime is how long a variant is measured in one round.
	roundTime = time.Second
	// maxLatency is the highest latency that the histograms record, in microseconds.
	maxLatency = 60_000_000
)

// BenchmarkFailoverGap measures how long writes are interrupted when a primary fails. One client writes continuously
// through each of the four instances, so that usually a write is in flight at the failure; the gap is the longest time
// between two acknowledgments of any of the four. A fifth client connects right after the failure; its gap is the time
// until its first write is acknowledged.
//
//	go test ./bench -run '^$' -bench FailoverGap -benchtime 1x
func BenchmarkFailoverGap(b *testing.B) {
	b.Run("killed", func(b *testing.B) {
		var gaps gapSeries
		for len(gaps.inFlight) < killedRuns {
			f := newFixture(b)
			for g := range f.groups {
				gaps.measure(f, g, killPrimary)
			}
			f.killAll()
		}
		gaps.print("killed")
	})
	b.Run("paused", func(b *testing.B) { measureGaps(b, "paused and resumed", pausePrimary) })
	b.Run("partitioned", func(b *testing.B) { measureGaps(b, "partitioned from its replicas", partitionPrimary) })
}

func measureGaps(b *testing.B, name string, fail fault) {
	f := newFixture(b)
	var gaps gapSeries
	for len(gaps.inFlight) < repeatedRuns {
		gaps.measure(f, 0, fail)
	}
	gaps.print(name)
}

// gapSeries holds the gaps of clients with a write in flight at the failure and of clients that connected after it.
type gapSeries struct{ inFlight, newClients []time.Duration }

// killAll kills all processes before the benchmark ends, to make room for the next fixture.
func (f *fixture) killAll() {
	f.platform.KillAndWait()
	for _, s := range slices.Concat(f.groups...) {
		s.KillAndWait()
	}
	for _, m := range f.members {
		m.KillAndWait()
	}
}

// measure adds the gaps of one failure. The fault has been removed when it returns.
func (s *gapSeries) measure(f *fixture, g int, fail fault) {
	f.t.Helper()
	l := f.startGapLoad(g)
	l.awaitMore(100)
	f.awaitConverged(g)
	primary := f.awaitPrimary(g, nil)
	heal := fail(f, primary)
	failed := timer.Now()
	arriving, err := dial(f.members[0].clientAddress, f.writeLogin(g))
	require.NoError(f.t, err)
	eventually(f.t, convergenceTimeout, "a new client's write is acknowledged", func() bool {
		_, err := arriving.exec(putSQL("arriving", "1"))
		return err == nil
	})
	s.newClients = append(s.newClients, timer.Now()-failed)
	arriving.close()
	f.awaitPrimary(g, primary)
	l.awaitEach(20)
	l.end()
	heal()
	s.inFlight = append(s.inFlight, l.longestGap())
}

// gapWriter writes to one key until it is stopped, and records the times of acknowledgments.
type gapWriter struct {
	writer
	times []time.Duration
	mu    sync.Mutex
}

// run writes until the load is stopped or the instance accepts no connection.
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
		w.acknowledged.Add(1)
	}
}

func (w *gapWriter) acknowledgedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.times)
}

// gapLoad is a set of writers, one on each instance.
type gapLoad struct {
	load
	gaps []*gapWriter
}

func (f *fixture) startGapLoad(g int) *gapLoad {
	l := &gapLoad{load: load{t: f.t}}
	for _, m := range f.members {
		w := &gapWriter{writer: writer{
			name: m.id + "-gap", address: m.clientAddress, login: f.writeLogin(g), stop: &l.stop, acknowledged: &l.acknowledged,
		}}
		l.gaps = append(l.gaps, w)
		l.running.Go(w.run)
	}
	f.t.Cleanup(l.end)
	return l
}

// awaitEach waits until n further writes of each writer have been acknowledged.
func (l *gapLoad) awaitEach(n int) {
	l.t.Helper()
	for _, w := range l.gaps {
		goal := w.acknowledgedCount() + n
		eventually(l.t, convergenceTimeout, w.name+" continues", func() bool { return w.acknowledgedCount() >= goal })
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
		_, _ = fmt.Fprintln(w, "primary\tclient\truns\tbest\tmedian\tworst")
		printGaps(w, name, "write in flight", s.inFlight)
		printGaps(w, name, "new", s.newClients)
	})
}

func printGaps(w io.Writer, name, client string, gaps []time.Duration) {
	sorted := slices.Sorted(slices.Values(gaps))
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", name, client, len(sorted), round(sorted[0]),
		round(sorted[len(sorted)/2]), round(sorted[len(sorted)-1]))
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// table prints aligned rows after a line with the load average of the machine.
func table(rows func(w io.Writer)) {
	load, _ := os.ReadFile("/proc/loadavg")
	fmt.Printf("\n%s, load average %s\n", time.Now().UTC().Format(time.RFC3339), strings.TrimSpace(string(load)))
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	rows(w)
	_ = w.Flush()
}

// variant is a way of running statements that is compared with others, with its measured latencies.
type variant struct {
	name string
	// dial opens the connection of client n and returns a function that runs one statement on it.
	dial      func(n int) func() error
	calls     []func() error
	latencies *hdrhistogram.Histogram
	elapsed   time.Duration
}

// BenchmarkThroughput measures latency and throughput through one instance and on direct connections to the same
// stand-ins. The variants alternate within one run.
//
// If RHUBARBWICK_EARLIER is the path of an earlier binary, the second instance runs that binary and is measured too.
//
//	go test ./bench -run '^$' -bench Throughput -benchtime 1x
func BenchmarkThroughput(b *testing.B) {
	f := newFixture(b)
	primary := f.awaitPrimary(0, nil)
	f.awaitConverged(0)
	mustDial(b, f.members[0].clientAddress, f.writeLogin(0)).mustExec(b, putSQL("tin", "1"))
	for _, clients := range []int{1, 16} {
		b.Run(fmt.Sprintf("reads-%d", clients), func(b *testing.B) { compare(b, clients, f.readVariants(b, primary)) })
		b.Run(fmt.Sprintf("writes-%d", clients), func(b *testing.B) { compare(b, clients, f.writeVariants(b, primary)) })
	}
}

func (f *fixture) readVariants(b *testing.B, primary *server) []*variant {
	read := func(c *client) func() error {
		return func() error { _, err := c.exec(getSQL("tin")); return err }
	}
	writer := mustDial(b, f.members[0].clientAddress, f.writeLogin(0))
	writer.mustExec(b, putSQL("tin", "1"))
	token := writer.token()
	variants := []*variant{{name: "direct", dial: func(int) func() error { return read(f.direct(b, primary, "slot-1")) }}}
	for _, login := range []struct{ name, session string }{{"with token", token}, {"without token", ""}} {
		for _, v := range f.versions() {
			variants = append(variants, &variant{name: v.name + ", " + login.name, dial: func(int) func() error {
				return read(mustDial(b, v.clientAddress, f.readLogin(0).withSession(login.session)))
			}})
		}
	}
	return variants
}

func (f *fixture) writeVariants(b *testing.B, primary *server) []*variant {
	write := func(c *client, n int) func() error {
		return func() error { _, err := c.exec(putSQL(fmt.Sprint("tin-", n), "1")); return err }
	}
	replica := f.replicas(0, primary)[0]
	variants := []*variant{
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
		variants = append(variants, &variant{name: v.name, dial: func(n int) func() error {
			return write(mustDial(b, v.clientAddress, f.writeLogin(0)), n)
		}})
	}
	return variants
}

// direct connects to a stand-in without an instance and binds the connection to the organisation.
func (f *fixture) direct(t testing.TB, s *server, database string) *client {
	t.Helper()
	c := mustDial(t, s.address, login{organisation: serverUser, key: f.secrets.server, route: database})
	if database == "slot-1" {
		c.mustExec(t, "SELECT rhubarbwick_bind('clinic', 'bench', 'false')")
	}
	return c
}

// compare measures the variants in turn and prints their results, with ratios to the first one.
func compare(b *testing.B, clients int, variants []*variant) {
	for _, v := range variants {
		v.latencies = hdrhistogram.New(1, maxLatency, 3)
		for n := range clients {
			v.calls = append(v.calls, v.dial(n))
		}
	}
	for range rounds {
		for _, v := range variants {
			v.measure(b)
		}
	}
	base := variants[0]
	table(func(out io.Writer) {
		_, _ = fmt.Fprintf(out, "%s\tstatements/s\tmedian µs\tp99 µs\tratio statements/s\tratio median\tratio p99\n", b.Name())
		for _, v := range variants {
			_, _ = fmt.Fprintf(out, "%s\t%.0f\t%d\t%d\t%.2f\t%.2f\t%.2f\n", v.name, v.rate(), v.quantile(50), v.quantile(99),
				v.rate()/base.rate(), float64(v.quantile(50))/float64(base.quantile(50)),
				float64(v.quantile(99))/float64(base.quantile(99)))
		}
	})
}

// measure runs statements on all connections of the variant for one round.
func (v *variant) measure(b *testing.B) {
	results := make([]roundResult, len(v.calls))
	start := timer.Now()
	var running sync.WaitGroup
	for i, call := range v.calls {
		running.Go(func() { results[i].run(call, start+roundTime) })
	}
	running.Wait()
	v.elapsed += timer.Now() - start
	for _, r := range results {
		require.NoError(b, r.err)
		require.Zero(b, v.latencies.Merge(r.latencies))
	}
}

func (v *variant) rate() float64 { return float64(v.latencies.TotalCount()) / v.elapsed.Seconds() }

func (v *variant) quantile(q float64) int64 { return v.latencies.ValueAtQuantile(q) }

// roundResult holds the latencies of one connection in a round.
type roundResult struct {
	latencies *hdrhistogram.Histogram
	err       error
}

// run runs statements until the end of the round.
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
