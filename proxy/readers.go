package proxy

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// awaitChange is how long one wait for a change lasts. Each is a priced call; a longer one notices a silent connection
	// later.
	awaitChange = 8 * time.Second
	// callLimit is how long a call to the store may take, apart from the time it was asked to wait.
	callLimit = 2 * time.Second
	// readPeriod is how often the records are read. Each read is a priced call; with the lease it decides how long an
	// outage of the store may last before primaries are no longer used.
	readPeriod = 1500 * time.Millisecond
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
	documents := &documentReader{StoreReaders: r}
	servers := &serverReader{StoreReaders: r}
	records := &recordReader{StoreReaders: r}
	var running sync.WaitGroup
	running.Go(func() { documents.loop(ctx) })
	running.Go(func() { servers.loop(ctx) })
	running.Go(func() { records.loop(ctx) })
	running.Wait()
}

// documentReader is the duty that follows the document in the store.
type documentReader struct {
	*StoreReaders
	failed pauses
}

func (r *documentReader) loop(ctx context.Context) {
	for ctx.Err() == nil {
		asked := r.Timer.Now()
		limited, cancel := port.WithTimeout(ctx, r.Timer, callLimit)
		d, version, err := r.Documents.Read(limited)
		cancel()
		if err == nil {
			r.Knowledge.TakeDocument(d, asked)
			r.await(ctx, version)
		}
		r.failed.wait(ctx, r.Timer)
	}
}

// await takes over changes until a wait fails.
func (r *documentReader) await(ctx context.Context, version port.Version) {
	for ctx.Err() == nil {
		asked := r.Timer.Now()
		limited, cancel := port.WithTimeout(ctx, r.Timer, awaitChange+callLimit)
		d, changed, next, err := r.Documents.Await(limited, version, awaitChange)
		cancel()
		if err != nil {
			return
		}
		r.failed.reset()
		version = next
		if changed {
			r.Knowledge.TakeDocument(d, asked)
			continue
		}
		index, _ := r.Knowledge.Rules()
		r.Knowledge.ConfirmDocument(index.Document().Revision, asked)
	}
}

// serverReader is the duty that follows the list of servers in the store.
type serverReader struct {
	*StoreReaders
	failed pauses
}

func (r *serverReader) loop(ctx context.Context) {
	for ctx.Err() == nil {
		limited, cancel := port.WithTimeout(ctx, r.Timer, callLimit)
		all, version, err := r.Listings.ReadAll(limited)
		cancel()
		if err == nil {
			servers := make(map[string]dispatch.Listing, len(all))
			for _, l := range all {
				servers[l.Name] = l
			}
			r.Knowledge.TakeServers(servers, version)
			r.await(ctx, servers, version)
		}
		r.failed.wait(ctx, r.Timer)
	}
}

func (r *serverReader) await(ctx context.Context, servers map[string]dispatch.Listing, version port.Version) {
	for ctx.Err() == nil {
		limited, cancel := port.WithTimeout(ctx, r.Timer, awaitChange+callLimit)
		changes, next, err := r.Listings.AwaitChanges(limited, version, awaitChange)
		cancel()
		if err != nil {
			return
		}
		r.failed.reset()
		version = next
		servers = withChanges(servers, changes)
		r.Knowledge.TakeServers(servers, version)
	}
}

func withChanges(servers map[string]dispatch.Listing, changes []ListingChange) map[string]dispatch.Listing {
	if len(changes) == 0 {
		return servers
	}
	servers = maps.Clone(servers)
	for _, c := range changes {
		switch c := c.(type) {
		case Listed:
			servers[c.Listing.Name] = c.Listing
		case Delisted:
			delete(servers, c.Name)
		}
	}
	return servers
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

// Registration lists this instance among the others.
type Registration struct {
	Self    Member
	Records Records
	Timer   port.Timer
	failed  pauses
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
