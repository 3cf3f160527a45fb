package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	minListPeriod = 2 * time.Second
	// maxFailing limits the size of documentPoller.failing, because relays change their addresses over time.
	maxFailing = 32
	// listPeriodPerInstance limits all instances together to 40 reads of the list per second, whatever their number.
	listPeriodPerInstance = 25 * time.Millisecond
)

// documentPoller continuously polls the follower's current source for the document.
type documentPoller struct {
	follower *Follower
	sources  instance.Sources
	// version is the version of the document object that was last read from the store, and revision its revision.
	version  port.Version
	revision document.Revision
	sections sectionReader
	// failing contains the sources whose failure was logged.
	failing map[instance.Source]bool
}

func (p *documentPoller) loop(ctx context.Context) {
	timer := p.follower.cfg.Timer
	for ctx.Err() == nil {
		p.sources = p.sources.WithList(p.follower.List())
		startedAt := timer.Now()
		before := p.follower.Document().Revision
		source := p.sources.Next(startedAt)
		err := p.poll(ctx, source)
		if ctx.Err() != nil {
			return
		}
		p.logChange(source, err)
		if err != nil {
			p.sources = p.sources.WithFailure(source, timer.Now())
			_ = port.Sleep(ctx, timer, retryDelay(source))
			continue
		}
		p.sources = p.sources.WithSuccess(source)
		// Limits the poll rate if a source answers at once without a newer document.
		if p.follower.Document().Revision == before && timer.Now()-startedAt < minPollInterval {
			_ = port.Sleep(ctx, timer, minPollInterval)
		}
	}
}

// logChange logs when a source starts to fail and when it works again.
func (p *documentPoller) logChange(source instance.Source, err error) {
	if len(p.failing) > maxFailing {
		clear(p.failing)
	}
	switch {
	case err != nil && !p.failing[source]:
		p.follower.log(fmt.Sprintf("cannot get a fresh document from %s: %s", sourceName(source), err))
		p.failing[source] = true
	case err == nil && p.failing[source]:
		p.follower.log(fmt.Sprintf("documents from %s are fresh again", sourceName(source)))
		delete(p.failing, source)
	}
}

func (p *documentPoller) poll(ctx context.Context, source instance.Source) error {
	switch source := source.(type) {
	case instance.FromRelay:
		return p.follower.pollRelay(ctx, source.Address, DocumentPollWait)
	default:
		return p.pollStore(ctx)
	}
}

// pollStore waits for a version of the document object other than the last one. The store's answer is taken as valid at
// the time of the request.
func (p *documentPoller) pollStore(ctx context.Context) error {
	f := p.follower
	known := f.Document().Revision
	requestedAt := f.cfg.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, f.cfg.Timer, DocumentPollWait+DocumentTimeout)
	object, changed, err := f.cfg.Store.Watch(limited, DocumentObject, p.version, DocumentPollWait)
	cancel()
	switch {
	case err != nil && port.KindOf(err) == port.NotFound, err == nil && changed && object.Version == 0:
		p.version, p.revision = 0, 0
		_ = port.Sleep(ctx, f.cfg.Timer, storeRetryDelay)
		return p.confirm(ctx, storeConfirmed{at: requestedAt}, known)
	case err != nil:
		return err
	case !changed:
		return p.confirm(ctx, storeConfirmed{revision: p.revision, at: requestedAt}, known)
	}
	confirmed, err := p.read(ctx, object, requestedAt)
	if err != nil {
		return err
	}
	return p.confirm(ctx, confirmed, known)
}

// read returns the confirmation that results from the object. If one of its sections was removed in the meantime, the
// object is read again.
func (p *documentPoller) read(ctx context.Context, object port.Object, requestedAt time.Duration) (storeConfirmed, error) {
	for {
		form, violations := document.ParseStored(object.Data)
		if len(violations) > 0 {
			return storeConfirmed{}, port.Errorf(port.Invalid, "stored document of version %d has %d violations, the first is: %s",
				object.Version, len(violations), violations[0])
		}
		d, err := p.newerDocument(ctx, form)
		if err == nil {
			p.version, p.revision = object.Version, form.Header().Revision
			return storeConfirmed{revision: p.revision, document: d, at: requestedAt}, nil
		}
		if port.KindOf(err) != port.NotFound {
			return storeConfirmed{}, err
		}
		requestedAt = p.follower.cfg.Timer.Now()
		again, missing := p.reread(ctx)
		if missing != nil {
			return storeConfirmed{}, missing
		}
		if again.Version == object.Version {
			return storeConfirmed{}, port.Wrapf(err, port.Invalid, "the stored index of version %d is damaged", object.Version)
		}
		object = again
	}
}

// newerDocument returns the stored document. It is empty if it is not newer than the current document.
func (p *documentPoller) newerDocument(ctx context.Context, form document.Stored) (document.Document, error) {
	current := p.follower.Document()
	if !document.IsNewer(form.Header(), current) {
		return document.Document{}, nil
	}
	switch form := form.(type) {
	case document.SingleObject:
		return form.Document, nil
	case document.SectionIndex:
		return p.sections.document(ctx, form, current)
	default:
		return document.Document{}, port.Errorf(port.Internal, "stored document has unknown form %T", form)
	}
}

func (p *documentPoller) reread(ctx context.Context) (port.Object, error) {
	limited, cancel := port.WithTimeout(ctx, p.follower.cfg.Timer, DocumentTimeout)
	defer cancel()
	return p.follower.cfg.Store.Get(limited, DocumentObject)
}

// confirm applies the store's answer. known is the current revision before the request.
func (p *documentPoller) confirm(ctx context.Context, e storeConfirmed, known document.Revision) error {
	if err := p.follower.submit(ctx, e); err != nil {
		return err
	}
	if e.revision < known {
		return port.Errorf(port.Conflict, "the store has revision %d, which is older than the current revision %d", e.revision, known)
	}
	return nil
}

// pollRelay polls another instance and applies its response. If the patch in the response cannot be applied, the full
// document is requested.
func (f *Follower) pollRelay(ctx context.Context, address string, wait time.Duration) error {
	response, err := f.requestDocument(ctx, address, FollowRequest{KnownRevision: f.Document().Revision, MaxWait: wait})
	if err == nil && response.Patch.Revision > f.Document().Revision {
		response, err = f.requestDocument(ctx, address, FollowRequest{})
	}
	if err != nil {
		return err
	}
	if !response.Confirmed || response.Age > StaleResponseAge {
		return port.Errorf(port.NotFresh, "the document of instance %s is stale", address)
	}
	return nil
}

func (f *Follower) requestDocument(ctx context.Context, address string, request FollowRequest) (FollowResponse, error) {
	limited, cancel := port.WithTimeout(ctx, f.cfg.Timer, request.MaxWait+DocumentTimeout)
	defer cancel()
	requestedAt := f.cfg.Timer.Now()
	response, err := f.cfg.Relays.Follow(limited, address, request)
	if err != nil {
		return FollowResponse{}, err
	}
	waited := min(max(response.WaitTime, 0), f.cfg.Timer.Now()-requestedAt)
	return response, f.submit(ctx, responseReceived{response: response, at: requestedAt + waited})
}

// peerPoller polls the relays of the other data centres while the store does not answer. It is active only on relays.
type peerPoller struct {
	follower *Follower
	sources  instance.Sources
}

func (p *peerPoller) loop(ctx context.Context) {
	ticks := ring.New[time.Duration](1)
	stop := p.follower.cfg.Timer.Every(PeerPollPeriod, func(now time.Duration) { ticks.PutDroppingOldest(now) })
	defer stop()
	for {
		now, err := ticks.Take(ctx)
		if err != nil {
			return
		}
		if age, ok := p.follower.Staleness(); ok && age < PeerPollAge {
			continue
		}
		p.sources = p.sources.WithList(p.follower.List())
		p.pollAll(ctx, p.sources.Peers(now))
	}
}

// pollAll polls all peers concurrently and records which of them did not answer.
func (p *peerPoller) pollAll(ctx context.Context, peers []string) {
	polls := make([]peerPoll, len(peers))
	var running sync.WaitGroup
	for i, address := range peers {
		polls[i] = peerPoll{follower: p.follower, address: address}
		running.Go(func() { polls[i].run(ctx) })
	}
	running.Wait()
	for _, q := range polls {
		source := instance.FromRelay{Address: q.address}
		if q.err != nil && port.KindOf(q.err) != port.NotFresh {
			p.sources = p.sources.WithFailure(source, p.follower.cfg.Timer.Now())
			continue
		}
		p.sources = p.sources.WithSuccess(source)
	}
}

// peerPoll is one poll of a peer.
type peerPoll struct {
	follower *Follower
	address  string
	err      error
}

func (q *peerPoll) run(ctx context.Context) { q.err = q.follower.pollRelay(ctx, q.address, 0) }

// listReader periodically reads the platform's list of instances.
type listReader struct {
	follower *Follower
	failing  bool
}

func (r *listReader) loop(ctx context.Context) {
	timer := r.follower.cfg.Timer
	for ctx.Err() == nil {
		err := r.read(ctx)
		if err != nil && !r.failing {
			r.follower.log(fmt.Sprintf("cannot read the list of instances: %s", err))
		}
		r.failing = err != nil
		period := time.Duration(r.follower.List().Len()) * listPeriodPerInstance
		_ = port.Sleep(ctx, timer, max(period, minListPeriod))
	}
}

func (r *listReader) read(ctx context.Context) error {
	limited, cancel := port.WithTimeout(ctx, r.follower.cfg.Timer, DocumentTimeout)
	defer cancel()
	instances, err := r.follower.cfg.Store.Instances(limited)
	if err != nil {
		return err
	}
	return r.follower.submit(ctx, listRead{list: instance.NewList(instances...)})
}

func retryDelay(source instance.Source) time.Duration {
	switch source.(type) {
	case instance.FromStore:
		return storeRetryDelay
	default:
		return relayRetryDelay
	}
}

func sourceName(source instance.Source) string {
	switch source := source.(type) {
	case instance.FromRelay:
		return "instance " + source.Address
	default:
		return "the store"
	}
}
