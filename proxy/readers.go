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
	// awaitChange is how long one wait for a change lasts. Each is a priced call; a longer one notices a silent connection
	// later.
	awaitChange = 8 * time.Second
	// documentPeriod and serversPeriod are how often the document and the list of servers are read in full, besides. A
	// store that forgets its history may leave a waiting call without the changes made meanwhile; documents have to be in
	// force within seconds.
	documentPeriod = 1500 * time.Millisecond
	serversPeriod  = 3 * time.Second
	// callLimit is how long a call to the store may take, apart from the time it was asked to wait, and readLimit how long a read
	// may take: a connection on which nothing comes any more must not keep a document back for long.
	callLimit = 2 * time.Second
	readLimit = time.Second
	// readPeriod is how often the records are read. Each read is a priced call; with the lease it decides how long an
	// outage of the store may last before primaries are no longer used.
	readPeriod = 500 * time.Millisecond
	// firstPause and lastPause bound the pause before a failed call is repeated.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// slowPause bounds the pause of full reads: the watchers notice sooner that the store is back.
	slowPause = 2 * time.Second
)

// pauses counts failures in a row. The zero value has seen none.
type pauses struct {
	next time.Duration
	// longest bounds the pause; zero means lastPause.
	longest time.Duration
}

// wait waits after a failure, longer each time.
func (p *pauses) wait(ctx context.Context, timer port.Timer) {
	p.next = min(max(2*p.next, firstPause), cmp.Or(p.longest, lastPause))
	_ = port.Sleep(ctx, timer, p.next)
}

func (p *pauses) reset() { p.next = 0 }

// StoreReaders are the duties that read the document, the servers and the records from the store.
type StoreReaders struct {
	Documents Documents
	Listings  Listings
	Records   Records
	State     *ClusterState
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
		&periodicReader{timer: r.Timer, delay: documentPeriod, period: documentPeriod, read: readDocument, failed: pauses{longest: slowPause}},
		&periodicReader{timer: r.Timer, delay: serversPeriod, period: serversPeriod, read: readServers, failed: pauses{longest: slowPause}},
		&periodicReader{timer: r.Timer, period: readPeriod, read: r.ReadRecords},
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
	delay  time.Duration
	period time.Duration
	read   func(ctx context.Context) error
	failed pauses
}

func (r *periodicReader) loop(ctx context.Context) {
	_ = port.Sleep(ctx, r.timer, r.delay)
	for ctx.Err() == nil {
		if r.read(ctx) != nil {
			r.failed.wait(ctx, r.timer)
			continue
		}
		r.failed.reset()
		_ = port.Sleep(ctx, r.timer, r.period)
	}
}

// watcher is the duty that reads something and then waits for its changes, and begins anew when a wait fails.
type watcher struct {
	timer port.Timer
	// read returns the version from which changes can be waited for; await takes over those after it and returns the next.
	read   func(ctx context.Context) (port.Version, error)
	await  func(ctx context.Context, since port.Version) (port.Version, error)
	failed pauses
}

func (w *watcher) loop(ctx context.Context) {
	for ctx.Err() == nil {
		version, err := w.read(ctx)
		for err == nil && ctx.Err() == nil {
			version, err = w.awaitOnce(ctx, version)
		}
		w.failed.wait(ctx, w.timer)
	}
}

func (w *watcher) awaitOnce(ctx context.Context, since port.Version) (port.Version, error) {
	limited, cancel := port.WithTimeout(ctx, w.timer, awaitChange+callLimit)
	defer cancel()
	next, err := w.await(limited, since)
	if err == nil {
		w.failed.reset()
	}
	return next, err
}

// readDocument reads the document and returns the version from which its changes can be waited for.
func (r *StoreReaders) readDocument(ctx context.Context) (port.Version, error) {
	asked := r.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, r.Timer, readLimit)
	defer cancel()
	d, version, err := r.Documents.Read(limited)
	if err == nil {
		r.State.TakeDocument(d, asked)
	}
	return version, err
}

// readServers reads the list of servers and returns the version from which its changes can be waited for.
func (r *StoreReaders) readServers(ctx context.Context) (port.Version, error) {
	limited, cancel := port.WithTimeout(ctx, r.Timer, readLimit)
	defer cancel()
	all, version, err := r.Listings.ReadAll(limited)
	if err != nil {
		return 0, err
	}
	servers := make(map[string]dispatch.Listing, len(all))
	for _, l := range all {
		servers[l.Name] = l
	}
	r.State.TakeServers(servers, version)
	return version, nil
}

// awaitDocument takes over the newest document that came after since.
func (r *StoreReaders) awaitDocument(ctx context.Context, since port.Version) (port.Version, error) {
	asked := r.Timer.Now()
	d, changed, next, err := r.Documents.Await(ctx, since, awaitChange)
	if err == nil && changed {
		r.State.TakeDocument(d, asked)
	}
	return next, err
}

// awaitServers takes over the changes of the list after since.
func (r *StoreReaders) awaitServers(ctx context.Context, since port.Version) (port.Version, error) {
	changes, next, err := r.Listings.AwaitChanges(ctx, since, awaitChange)
	if err == nil {
		r.State.ChangeServers(changes, next)
	}
	return next, err
}

// ReadRecords reads the records once.
func (r *StoreReaders) ReadRecords(ctx context.Context) error {
	asked := r.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, r.Timer, readLimit)
	defer cancel()
	objects, err := r.Records.All(limited)
	if err != nil {
		return err
	}
	r.State.TakeRecords(NewSnapshot(objects, asked))
	return nil
}

// Registration is the duty that lists this instance among the others, again whenever its record was removed.
type Registration struct {
	Self    Member
	Records Records
	Readers *StoreReaders
	State   *ClusterState
	Timer   port.Timer
	// written is the version of the instance's record. Both the duty and whoever registers the instance at its start write it.
	written atomic.Uint64
}

// Run keeps the instance listed until ctx ends.
func (r *Registration) Run(ctx context.Context) { r.loop(ctx) }

func (r *Registration) loop(ctx context.Context) {
	for {
		if _, err := r.State.Delisted().Take(ctx); err != nil {
			return
		}
		// Records that are older than this instance's own do not list it yet.
		if s, _ := r.State.Records(); !s.Lists(r.Self) && uint64(s.Newest()) > r.written.Load() {
			r.Register(ctx)
		}
	}
}

// Register reads the records and writes this instance's own, in the place of that of an earlier start on the machine. It
// repeats that until it succeeds or ctx ends.
func (r *Registration) Register(ctx context.Context) {
	var failed pauses
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
	s, _ := r.State.Records()
	o, _ := s.Find(instancePrefix + r.Self.Name)
	self := r.Self
	self.First = s.firstOf(r.Self.Name)
	data, err := json.Marshal(self)
	if err != nil {
		return port.Wrapf(err, port.Internal, "the instance's record cannot be encoded")
	}
	limited, cancel := port.WithTimeout(ctx, r.Timer, callLimit)
	defer cancel()
	version, err := r.Records.Put(limited, instancePrefix+r.Self.Name, data, o.Version)
	if err == nil {
		r.written.Store(uint64(version))
	}
	return err
}

// Deregister says in this instance's record that it has stopped, so that nobody waits for it any more.
func (r *Registration) Deregister(ctx context.Context) error {
	s, _ := r.State.Records()
	self := r.Self
	self.Stopped, self.First = true, s.firstOf(r.Self.Name)
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
