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
	// longPollWait is how long one wait for a change lasts. The platform charges for each call; a longer wait would
	// detect a silent connection later.
	longPollWait = 8 * time.Second
	// documentReadInterval and serversReadInterval are how often the document and the list of servers are also read in
	// full. If the store loses its history, a waiting call may miss the changes made meanwhile, and documents must be
	// in force within seconds.
	documentReadInterval = 1500 * time.Millisecond
	serversReadInterval  = 3 * time.Second
	// callTimeout limits a call to the store, excluding the time that it was asked to wait. readTimeout limits a read:
	// a silent connection must not delay a document for long.
	callTimeout = 2 * time.Second
	readTimeout = time.Second
	// recordsReadInterval is how often the records are read. The platform charges for each read. Together with the
	// lease, the interval determines how long an outage of the store may last before primaries are no longer used.
	recordsReadInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay before a failed call is retried.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxFullReadBackoff bounds the delay between full reads: the watchers notice earlier that the store is back.
	maxFullReadBackoff = 2 * time.Second
)

// backoff is the delay after consecutive failures. The zero value is ready for use.
type backoff struct {
	delay time.Duration
	// max bounds the delay; zero means maxBackoff.
	max time.Duration
}

// wait waits after a failure, for twice as long as the last time, up to the bound.
func (b *backoff) wait(ctx context.Context, timer port.Timer) {
	b.delay = min(max(2*b.delay, minBackoff), cmp.Or(b.max, maxBackoff))
	_ = port.Sleep(ctx, timer, b.delay)
}

func (b *backoff) reset() { b.delay = 0 }

// StoreReaders reads the document, the servers and the records from the store.
type StoreReaders struct {
	Documents Documents
	Listings  Listings
	Records   Records
	// Maintenances is nil if the deployment has no maintenance.
	Maintenances Maintenances
	State        *ClusterState
	Timer        port.Timer
}

// Run reads and watches the store until ctx ends.
func (r *StoreReaders) Run(ctx context.Context) {
	var running sync.WaitGroup
	readers := []reader{
		// The watchers read at the start, so the first full read can wait.
		&periodicReader{timer: r.Timer, delay: documentReadInterval, interval: documentReadInterval, read: withoutVersion(r.readDocument), backoff: backoff{max: maxFullReadBackoff}},
		&periodicReader{timer: r.Timer, delay: serversReadInterval, interval: serversReadInterval, read: withoutVersion(r.readServers), backoff: backoff{max: maxFullReadBackoff}},
		&periodicReader{timer: r.Timer, interval: recordsReadInterval, read: r.ReadRecords},
		&watcher{timer: r.Timer, read: r.readDocument, await: r.awaitDocument},
		&watcher{timer: r.Timer, read: r.readServers, await: r.awaitServers},
	}
	for _, reader := range append(readers, r.maintenanceReaders()...) {
		running.Go(func() { reader.loop(ctx) })
	}
	running.Wait()
}

// ReadAll reads everything once, so that a new instance can serve clients. The records that it read to register itself
// do not contain it yet, and so give it no lease on a primary. After a failure, the next exchange with a relay or the next
// attempt supplies the rest.
func (r *StoreReaders) ReadAll(ctx context.Context) {
	if _, err := r.readDocument(ctx); err != nil {
		return
	}
	if _, err := r.readServers(ctx); err != nil {
		return
	}
	if r.Maintenances != nil {
		if _, err := r.readMaintenance(ctx); err != nil {
			return
		}
	}
	_ = r.ReadRecords(ctx)
}

// withoutVersion returns a read that does not return the version.
func withoutVersion(read func(ctx context.Context) (port.Version, error)) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		_, err := read(ctx)
		return err
	}
}

// periodicReader reads something in full at a fixed interval.
type periodicReader struct {
	timer port.Timer
	// delay is the time before the first read.
	delay    time.Duration
	interval time.Duration
	read     func(ctx context.Context) error
	backoff  backoff
}

func (r *periodicReader) loop(ctx context.Context) {
	_ = port.Sleep(ctx, r.timer, r.delay)
	for ctx.Err() == nil {
		if r.read(ctx) != nil {
			r.backoff.wait(ctx, r.timer)
			continue
		}
		r.backoff.reset()
		_ = port.Sleep(ctx, r.timer, r.interval)
	}
}

// watcher reads something once and then waits for changes. It starts over if a wait fails.
type watcher struct {
	timer port.Timer
	// read returns the version from which changes can be awaited. await applies the changes after that version and
	// returns the next one.
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
	callCtx, cancel := port.WithTimeout(ctx, w.timer, longPollWait+callTimeout)
	defer cancel()
	next, err := w.await(callCtx, since)
	if err == nil {
		w.backoff.reset()
	}
	return next, err
}

// readDocument reads the document and returns the version from which its changes can be awaited.
func (r *StoreReaders) readDocument(ctx context.Context) (port.Version, error) {
	requestedAt := r.Timer.Now()
	callCtx, cancel := port.WithTimeout(ctx, r.Timer, readTimeout)
	defer cancel()
	d, version, err := r.Documents.Read(callCtx)
	if err == nil {
		r.State.SetDocument(d, requestedAt)
	}
	if port.KindOf(err) == port.NotFound {
		r.State.ConfirmDocument(0, requestedAt)
	}
	if isAnswer(err) {
		r.State.recordOwnRead(func(t ReadTimes) ReadTimes { return t.WithDocument(requestedAt) })
	}
	return version, err
}

// isAnswer reports whether the store has answered a read. If an object is missing or cannot be decoded, another instance
// would not find a better one, so that the search for another source of the state would only cost calls.
func isAnswer(err error) bool {
	return err == nil || port.KindOf(err) == port.NotFound || port.KindOf(err) == port.Invalid
}

// readServers reads the list of servers and returns the version from which its changes can be awaited.
func (r *StoreReaders) readServers(ctx context.Context) (port.Version, error) {
	requestedAt := r.Timer.Now()
	callCtx, cancel := port.WithTimeout(ctx, r.Timer, readTimeout)
	defer cancel()
	listings, version, err := r.Listings.ReadAll(callCtx)
	if isAnswer(err) {
		r.State.ConfirmServers(requestedAt)
		r.State.recordOwnRead(func(t ReadTimes) ReadTimes { return t.WithServers(requestedAt) })
	}
	if err != nil {
		return 0, err
	}
	servers := make(map[string]dispatch.Listing, len(listings))
	for _, l := range listings {
		servers[l.Name] = l
	}
	r.State.SetServers(servers, version)
	return version, nil
}

// awaitDocument waits for a document newer than version since and applies it.
func (r *StoreReaders) awaitDocument(ctx context.Context, since port.Version) (port.Version, error) {
	requestedAt := r.Timer.Now()
	d, changed, next, err := r.Documents.Await(ctx, since, longPollWait)
	if err == nil && changed {
		r.State.SetDocument(d, requestedAt)
	}
	return next, err
}

// awaitServers waits for changes to the list of servers after version since and applies them.
func (r *StoreReaders) awaitServers(ctx context.Context, since port.Version) (port.Version, error) {
	changes, next, err := r.Listings.AwaitChanges(ctx, since, longPollWait)
	if err == nil {
		r.State.ApplyServerChanges(changes, next)
	}
	return next, err
}

// ReadRecords reads all records once and applies them.
func (r *StoreReaders) ReadRecords(ctx context.Context) error {
	requestedAt := r.Timer.Now()
	callCtx, cancel := port.WithTimeout(ctx, r.Timer, readTimeout)
	defer cancel()
	objects, err := r.Records.All(callCtx)
	if err != nil {
		return err
	}
	r.State.SetRecords(NewSnapshot(objects, requestedAt))
	r.State.recordOwnRead(func(t ReadTimes) ReadTimes { return t.WithRecords(requestedAt) })
	return nil
}

// Registration registers this instance in the store, and again whenever its record was removed.
type Registration struct {
	Self    Member
	Records Records
	Readers *StoreReaders
	State   *ClusterState
	Timer   port.Timer
	// writtenVersion is the version of the instance's record. It is written by loop and by the goroutine that calls
	// Register at the start.
	writtenVersion atomic.Uint64
}

// Run keeps the instance registered until ctx ends.
func (r *Registration) Run(ctx context.Context) { r.loop(ctx) }

func (r *Registration) loop(ctx context.Context) {
	for {
		if _, err := r.State.SelfUnregistered().Take(ctx); err != nil {
			return
		}
		// Records older than this instance's own record do not contain it yet. Before the first registration there is
		// none, and a second registration at the same time would only delay the first one by a conflict.
		written := r.writtenVersion.Load()
		if s, _ := r.State.Records(); written != 0 && !s.HasMember(r.Self) && uint64(s.Newest()) > written {
			r.Register(ctx)
		}
	}
}

// Register reads the records and writes this instance's own, replacing that of an earlier process on the same machine.
// It retries until it succeeds or ctx ends.
func (r *Registration) Register(ctx context.Context) {
	var retry backoff
	for ctx.Err() == nil {
		if err := r.write(ctx); err == nil {
			return
		}
		retry.wait(ctx, r.Timer)
	}
}

func (r *Registration) write(ctx context.Context) error {
	if err := r.Readers.ReadRecords(ctx); err != nil {
		return err
	}
	s, _ := r.State.Records()
	o, _ := s.Find(instancePrefix + r.Self.Name)
	self := r.Self
	self.FirstRegistered = s.firstRegistered(r.Self.Name)
	data, err := json.Marshal(self)
	if err != nil {
		return port.Wrapf(err, port.Internal, "the instance's record cannot be encoded")
	}
	callCtx, cancel := port.WithTimeout(ctx, r.Timer, callTimeout)
	defer cancel()
	version, err := r.Records.Put(callCtx, instancePrefix+r.Self.Name, data, o.Version)
	if err == nil {
		r.writtenVersion.Store(uint64(version))
	}
	return err
}

// Deregister marks this instance's record as stopped, so that no promoter waits for it.
func (r *Registration) Deregister(ctx context.Context) error {
	s, _ := r.State.Records()
	self := r.Self
	self.Stopped, self.FirstRegistered = true, s.firstRegistered(r.Self.Name)
	data, err := json.Marshal(self)
	if err != nil {
		return port.Wrapf(err, port.Internal, "the instance's record cannot be encoded")
	}
	_, err = r.Records.Put(ctx, instancePrefix+r.Self.Name, data, port.Version(r.writtenVersion.Load()))
	if port.KindOf(err) != port.Conflict {
		return err
	}
	// Another instance has modified the record in the meantime, so the record is removed, whatever its version.
	return r.Records.Delete(ctx, instancePrefix+r.Self.Name, 0)
}
