package proxy

import (
	"context"
	"encoding/json"
	"sync"
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
	// callLimit is how long a call to the store may take, apart from the time it was asked to wait.
	callLimit = 2 * time.Second
	// readPeriod is how often the records are read. Each read is a priced call; with the lease it decides how long an
	// outage of the store may last before primaries are no longer used.
	readPeriod = 500 * time.Millisecond
	// firstPause and lastPause bound the pause before a failed call is repeated.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// pauses counts failures in a row. The zero value has seen none.
type pauses struct{ next time.Duration }

// wait waits after a failure, longer each time.
func (p *pauses) wait(ctx context.Context, timer port.Timer) {
	p.next = min(max(2*p.next, firstPause), lastPause)
	_ = port.Wait(ctx, timer, p.next)
}

func (p *pauses) reset() { p.next = 0 }

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
	var running sync.WaitGroup
	for _, duty := range []interface{ loop(ctx context.Context) }{
		&documentReader{StoreReaders: r}, &documentWatcher{StoreReaders: r},
		&serverReader{StoreReaders: r}, &serverWatcher{StoreReaders: r}, &recordReader{StoreReaders: r},
	} {
		running.Go(func() { duty.loop(ctx) })
	}
	running.Wait()
}

// readDocument reads the document and returns the version from which its changes can be waited for.
func (r *StoreReaders) readDocument(ctx context.Context) (port.Version, error) {
	asked := r.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, r.Timer, callLimit)
	defer cancel()
	d, version, err := r.Documents.Read(limited)
	if err == nil {
		r.Knowledge.TakeDocument(d, asked)
	}
	return version, err
}

// readServers reads the list of servers and returns the version from which its changes can be waited for.
func (r *StoreReaders) readServers(ctx context.Context) (port.Version, error) {
	limited, cancel := port.WithTimeout(ctx, r.Timer, callLimit)
	defer cancel()
	all, version, err := r.Listings.ReadAll(limited)
	if err != nil {
		return 0, err
	}
	servers := make(map[string]dispatch.Listing, len(all))
	for _, l := range all {
		servers[l.Name] = l
	}
	r.Knowledge.TakeServers(servers, version)
	return version, nil
}

// documentReader is the duty that reads the document every documentPeriod.
type documentReader struct {
	*StoreReaders
	failed pauses
}

func (r *documentReader) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := r.readDocument(ctx); err != nil {
			r.failed.wait(ctx, r.Timer)
			continue
		}
		r.failed.reset()
		_ = port.Wait(ctx, r.Timer, documentPeriod)
	}
}

// documentWatcher is the duty that waits for changes of the document.
type documentWatcher struct {
	*StoreReaders
	failed pauses
}

func (w *documentWatcher) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if version, err := w.readDocument(ctx); err == nil {
			w.await(ctx, version)
		}
		w.failed.wait(ctx, w.Timer)
	}
}

// await takes over changes until a wait fails.
func (w *documentWatcher) await(ctx context.Context, version port.Version) {
	for ctx.Err() == nil {
		asked := w.Timer.Now()
		limited, cancel := port.WithTimeout(ctx, w.Timer, awaitChange+callLimit)
		d, changed, next, err := w.Documents.Await(limited, version, awaitChange)
		cancel()
		if err != nil {
			return
		}
		w.failed.reset()
		version = next
		if changed {
			w.Knowledge.TakeDocument(d, asked)
		}
	}
}

// serverReader is the duty that reads the list of servers every serversPeriod.
type serverReader struct {
	*StoreReaders
	failed pauses
}

func (r *serverReader) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := r.readServers(ctx); err != nil {
			r.failed.wait(ctx, r.Timer)
			continue
		}
		r.failed.reset()
		_ = port.Wait(ctx, r.Timer, serversPeriod)
	}
}

// serverWatcher is the duty that waits for changes of the list of servers.
type serverWatcher struct {
	*StoreReaders
	failed pauses
}

func (w *serverWatcher) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if version, err := w.readServers(ctx); err == nil {
			w.await(ctx, version)
		}
		w.failed.wait(ctx, w.Timer)
	}
}

func (w *serverWatcher) await(ctx context.Context, version port.Version) {
	for ctx.Err() == nil {
		limited, cancel := port.WithTimeout(ctx, w.Timer, awaitChange+callLimit)
		changes, next, err := w.Listings.AwaitChanges(limited, version, awaitChange)
		cancel()
		if err != nil {
			return
		}
		w.failed.reset()
		version = next
		w.Knowledge.ChangeServers(changes, version)
	}
}

// recordReader is the duty that reads the records in the store.
type recordReader struct {
	*StoreReaders
	failed pauses
}

func (r *recordReader) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if r.ReadRecords(ctx) != nil {
			r.failed.wait(ctx, r.Timer)
			continue
		}
		r.failed.reset()
		_ = port.Wait(ctx, r.Timer, readPeriod)
	}
}

// ReadRecords reads the records once.
func (r *StoreReaders) ReadRecords(ctx context.Context) error {
	asked := r.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, r.Timer, callLimit)
	defer cancel()
	objects, err := r.Records.All(limited)
	if err != nil {
		return err
	}
	r.Knowledge.TakeRecords(NewSnapshot(objects, asked))
	return nil
}

// Registration is the duty that lists this instance among the others, again whenever its record was removed.
type Registration struct {
	Self      Member
	Records   Records
	Knowledge *Knowledge
	Timer     port.Timer
	failed    pauses
}

// Run keeps the instance listed until ctx ends.
func (r *Registration) Run(ctx context.Context) { r.loop(ctx) }

func (r *Registration) loop(ctx context.Context) {
	for {
		if _, err := r.Knowledge.Delisted().Take(ctx); err != nil {
			return
		}
		r.Register(ctx)
	}
}

// Register writes this instance's record, in the place of that of an earlier start on the machine, and repeats that
// until it succeeds or ctx ends.
func (r *Registration) Register(ctx context.Context) {
	for ctx.Err() == nil {
		limited, cancel := port.WithTimeout(ctx, r.Timer, callLimit)
		err := r.write(limited)
		cancel()
		if err == nil {
			return
		}
		r.failed.wait(ctx, r.Timer)
	}
}

func (r *Registration) write(ctx context.Context) error {
	data, err := json.Marshal(r.Self)
	if err != nil {
		return port.Wrapf(err, port.Internal, "the instance's record cannot be encoded")
	}
	name := instancePrefix + r.Self.Name
	if _, err = r.Records.Put(ctx, name, data, 0); port.KindOf(err) != port.Conflict {
		return err
	}
	objects, err := r.Records.All(ctx)
	if err != nil {
		return err
	}
	o, found := NewSnapshot(objects, 0).Find(name)
	if !found {
		return port.Failf(port.Conflict, "the record %s was removed meanwhile", name)
	}
	_, err = r.Records.Put(ctx, name, data, o.Version)
	return err
}

// Deregister removes this instance's record, so that nobody waits for it any more.
func (r *Registration) Deregister(ctx context.Context) error {
	return r.Records.Delete(ctx, instancePrefix+r.Self.Name, 0)
}
