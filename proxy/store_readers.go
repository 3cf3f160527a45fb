package proxy

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// longPollWait is how long one wait for a change lasts. Each is a priced call; a longer one notices a silent connection
	// later.
	longPollWait = 8 * time.Second
	// documentReadInterval and serversPeriod are how often the document and the list of servers are read in full, besides. A
	// store that forgets its history may leave a waiting call without the changes made meanwhile; documents have to be in
	// force within seconds.
	documentReadInterval = 1500 * time.Millisecond
	serversReadInterval  = 3 * time.Second
	// callTimeout is how long a call to the store may take, apart from the time it was asked to wait, and readLimit how long a read
	// may take: a connection on which nothing comes any more must not keep a document back for long.
	callTimeout = 2 * time.Second
	readTimeout = time.Second
	// recordsReadInterval is how often the records are read. Each read is a priced call; with the lease it decides how long an
	// outage of the store may last before primaries are no longer used.
	recordsReadInterval = 500 * time.Millisecond
	// minBackoff and lastPause bound the pause before a failed call is repeated.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxFullReadBackoff bounds the pause of full reads: the watchers notice sooner that the store is back.
	maxFullReadBackoff = 2 * time.Second
)

// backoff counts failures in a row. The zero value has seen none.
type backoff struct {
	delay time.Duration
	// max bounds the pause; zero means lastPause.
	max time.Duration
}

// wait waits after a failure, longer each time.
func (p *backoff) wait(ctx context.Context, timer port.Timer) {
	p.delay = min(max(2*p.delay, minBackoff), cmp.Or(p.max, maxBackoff))
	_ = port.Wait(ctx, timer, p.delay)
}

func (p *backoff) reset() { p.delay = 0 }

// StoreReaders are the duties that read the document, the servers and the records from the store.
type StoreReaders struct {
	Documents Documents
	Listings  Listings
	Records   Records
	Knowledge *Knowledge
	Timer     port.Timer
}

// Run reads until ctx ends.
func (r *StoreReaders) Run(ctx context.Context) {
	readDocument := func(ctx context.Context) error {
		_, err := r.readDocument(ctx)
		return err
	}
	readServers := func(ctx context.Context) error {
		_, err := r.readServers(ctx)
		return err
	}
	var running sync.WaitGroup
	for _, duty := range []interface{ loop(ctx context.Context) }{
		// The watchers begin with a read.
		&periodicReader{timer: r.Timer, delay: documentReadInterval, interval: documentReadInterval, read: readDocument, backoff: backoff{max: maxFullReadBackoff}},
		&periodicReader{timer: r.Timer, delay: serversReadInterval, interval: serversReadInterval, read: readServers, backoff: backoff{max: maxFullReadBackoff}},
		&periodicReader{timer: r.Timer, interval: recordsReadInterval, read: r.ReadRecords},
		&watcher{timer: r.Timer, read: r.readDocument, await: r.awaitDocument},
		&watcher{timer: r.Timer, read: r.readServers, await: r.awaitServers},
	} {
		running.Go(func() { duty.loop(ctx) })
	}
	running.Wait()
}

// periodicReader is the duty that reads something in full every period.
type periodicReader struct {
	timer port.Timer
	// delay is the time until the first read.
	delay    time.Duration
	interval time.Duration
	read     func(ctx context.Context) error
	backoff  backoff
}

func (r *periodicReader) loop(ctx context.Context) {
	_ = port.Wait(ctx, r.timer, r.delay)
	for ctx.Err() == nil {
		if r.read(ctx) != nil {
			r.backoff.wait(ctx, r.timer)
			continue
		}
		r.backoff.reset()
		_ = port.Wait(ctx, r.timer, r.interval)
	}
}

// watcher is the duty that reads something and then waits for its changes, and begins anew when a wait fails.
type watcher struct {
	timer port.Timer
	// read returns the version from which changes can be waited for; await takes over those after it and returns the next.
	read    func(ctx context.Context) (port.Version, error)
	await   func(ctx context.Context, since port.Version) (port.Version, error)
	backoff backoff
}

func (w *watcher) loop(ctx context.Context) {
	for ctx.Err() == nil {
		version, err := w.read(ctx)
		for err == nil && ctx.Err() == nil {
			version, err = w.awaitOnce(ctx, version)
		}
		w.backoff.wait(ctx, w.timer)
	}
}

func (w *watcher) awaitOnce(ctx context.Context, since port.Version) (port.Version, error) {
	limited, cancel := port.WithTimeout(ctx, w.timer, longPollWait+callTimeout)
	defer cancel()
	next, err := w.await(limited, since)
	if err == nil {
		w.backoff.reset()
	}
	return next, err
}

// readDocument reads the document and returns the version from which its changes can be waited for.
func (r *StoreReaders) readDocument(ctx context.Context) (port.Version, error) {
	asked := r.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, r.Timer, readTimeout)
	defer cancel()
	d, version, err := r.Documents.Read(limited)
	if err == nil {
		r.Knowledge.SetDocument(d, asked)
	}
	return version, err
}

// readServers reads the list of servers and returns the version from which its changes can be waited for.
func (r *StoreReaders) readServers(ctx context.Context) (port.Version, error) {
	limited, cancel := port.WithTimeout(ctx, r.Timer, readTimeout)
	defer cancel()
	all, version, err := r.Listings.ReadAll(limited)
	if err != nil {
		return 0, err
	}
	servers := make(map[string]dispatch.Listing, len(all))
	for _, l := range all {
		servers[l.Name] = l
	}
	r.Knowledge.SetServers(servers, version)
	return version, nil
}

// awaitDocument takes over the newest document that came after since.
func (r *StoreReaders) awaitDocument(ctx context.Context, since port.Version) (port.Version, error) {
	asked := r.Timer.Now()
	d, changed, next, err := r.Documents.Await(ctx, since, longPollWait)
	if err == nil && changed {
		r.Knowledge.SetDocument(d, asked)
	}
	return next, err
}

// awaitServers takes over the changes of the list after since.
func (r *StoreReaders) awaitServers(ctx context.Context, since port.Version) (port.Version, error) {
	changes, next, err := r.Listings.AwaitChanges(ctx, since, longPollWait)
	if err == nil {
		r.Knowledge.ApplyServerChanges(changes, next)
	}
	return next, err
}

// ReadRecords reads the records once.
func (r *StoreReaders) ReadRecords(ctx context.Context) error {
	asked := r.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, r.Timer, readTimeout)
	defer cancel()
	objects, err := r.Records.All(limited)
	if err != nil {
		return err
	}
	r.Knowledge.SetRecords(NewSnapshot(objects, asked))
	return nil
}

// Registration is the duty that lists this instance among the others, again whenever its record was removed.
type Registration struct {
	Self      Member
	Records   Records
	Readers   *StoreReaders
	Knowledge *Knowledge
	Timer     port.Timer
	// written is the version of the instance's record. Both the duty and whoever registers the instance at its start write it.
	written atomic.Uint64
}

// Run keeps the instance listed until ctx ends.
func (r *Registration) Run(ctx context.Context) { r.loop(ctx) }

func (r *Registration) loop(ctx context.Context) {
	for {
		if _, err := r.Knowledge.SelfDelisted().Take(ctx); err != nil {
			return
		}
		// Records that are older than this instance's own do not list it yet.
		if s, _ := r.Knowledge.Records(); !s.HasMember(r.Self) && uint64(s.Newest()) > r.written.Load() {
			r.Register(ctx)
		}
	}
}

// Register reads the records and writes this instance's own, in the place of that of an earlier start on the machine. It
// repeats that until it succeeds or ctx ends.
func (r *Registration) Register(ctx context.Context) {
	var failed backoff
	for ctx.Err() == nil {
		if err := r.write(ctx); err == nil {
			return
		}
		failed.wait(ctx, r.Timer)
	}
}

func (r *Registration) write(ctx context.Context) error {
	if err := r.Readers.ReadRecords(ctx); err != nil {
		return err
	}
	s, _ := r.Knowledge.Records()
	o, _ := s.Find(instancePrefix + r.Self.Name)
	self := r.Self
	self.FirstListed = s.firstListed(r.Self.Name)
	data, err := json.Marshal(self)
	if err != nil {
		return port.Wrapf(err, port.Internal, "the instance's record cannot be encoded")
	}
	limited, cancel := port.WithTimeout(ctx, r.Timer, callTimeout)
	defer cancel()
	version, err := r.Records.Put(limited, instancePrefix+r.Self.Name, data, o.Version)
	if err == nil {
		r.written.Store(uint64(version))
	}
	return err
}

// Deregister says in this instance's record that it has stopped, so that nobody waits for it any more.
func (r *Registration) Deregister(ctx context.Context) error {
	s, _ := r.Knowledge.Records()
	self := r.Self
	self.Stopped, self.FirstListed = true, s.firstListed(r.Self.Name)
	data, err := json.Marshal(self)
	if err != nil {
		return port.Wrapf(err, port.Internal, "the instance's record cannot be encoded")
	}
	_, err = r.Records.Put(ctx, instancePrefix+r.Self.Name, data, port.Version(r.written.Load()))
	if port.KindOf(err) != port.Conflict {
		return err
	}
	// Another instance has changed the record meanwhile.
	return r.Records.Delete(ctx, instancePrefix+r.Self.Name, 0)
}
