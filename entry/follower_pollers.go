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
	// maxFailing bounds the sources that are remembered for the log. Relays change their addresses over time.
	maxFailing = 32
	// listPeriodPerInstance keeps the fleet at 40 reads of the list a second, whatever its size.
	listPeriodPerInstance = 25 * time.Millisecond
)

// documentPoller is the duty that always has one poll open at the follower's source.
type documentPoller struct {
	follower *Follower
	sources  instance.Sources
	// version is the version of the store's document, and revision the revision that it has.
	version  port.Version
	revision document.Revision
	sections sectionReader
	// failing holds the sources whose failure was logged.
	failing map[instance.Source]bool
}

func (p *documentPoller) loop(ctx context.Context) {
	timer := p.follower.cfg.Timer
	for ctx.Err() == nil {
		p.sources = p.sources.WithList(p.follower.List())
		began := timer.Now()
		before := p.follower.Document().Revision
		source := p.sources.Next(began)
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
		// A source that answers at once without a newer document must not make this loop spin.
		if p.follower.Document().Revision == before && timer.Now()-began < minPollInterval {
			_ = port.Sleep(ctx, timer, minPollInterval)
		}
	}
}

// logChange logs when a source falls silent and when it answers again.
func (p *documentPoller) logChange(source instance.Source, err error) {
	if len(p.failing) > maxFailing {
		clear(p.failing)
	}
	switch {
	case err != nil && !p.failing[source]:
		p.follower.log(fmt.Sprintf("%s gives no fresh document: %s", sourceName(source), err))
		p.failing[source] = true
	case err == nil && p.failing[source]:
		p.follower.log(fmt.Sprintf("%s gives fresh documents again", sourceName(source)))
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

// pollStore waits for another document than the one seen. Whatever the store answers was true after the question.
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

// read returns what the object that was asked for at the instant says. When a section was removed meanwhile, the object
// is read again.
func (p *documentPoller) read(ctx context.Context, object port.Object, requestedAt time.Duration) (storeConfirmed, error) {
	for {
		form, faults := document.ParseStored(object.Data)
		if len(faults) > 0 {
			return storeConfirmed{}, port.Errorf(port.Invalid, "stored document of version %d has %d faults, the first is: %s",
				object.Version, len(faults), faults[0])
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

// newerDocument returns the document of what the store holds. It is empty when it does not succeed the one in force.
func (p *documentPoller) newerDocument(ctx context.Context, form document.Stored) (document.Document, error) {
	inForce := p.follower.Document()
	if !document.IsNewer(form.Header(), inForce) {
		return document.Document{}, nil
	}
	switch form := form.(type) {
	case document.SingleObject:
		return form.Document, nil
	case document.SectionIndex:
		return p.sections.document(ctx, form, inForce)
	default:
		return document.Document{}, port.Errorf(port.Internal, "the stored document has the unknown form %T", form)
	}
}

func (p *documentPoller) reread(ctx context.Context) (port.Object, error) {
	limited, cancel := port.WithTimeout(ctx, p.follower.cfg.Timer, DocumentTimeout)
	defer cancel()
	return p.follower.cfg.Store.Get(limited, DocumentObject)
}

// confirm applies what the store answered. known is the revision that was in force before the question.
func (p *documentPoller) confirm(ctx context.Context, e storeConfirmed, known document.Revision) error {
	if err := p.follower.submit(ctx, e); err != nil {
		return err
	}
	if e.revision < known {
		return port.Errorf(port.Conflict, "the store holds revision %d, revision %d stays in force", e.revision, known)
	}
	return nil
}

// pollRelay polls another instance and applies its report. When the report's patch does not fit, it asks for the whole
// document.
func (f *Follower) pollRelay(ctx context.Context, address string, wait time.Duration) error {
	response, err := f.requestDocument(ctx, address, FollowRequest{KnownRevision: f.Document().Revision, MaxWait: wait})
	if err == nil && response.Patch.Revision > f.Document().Revision {
		response, err = f.requestDocument(ctx, address, FollowRequest{})
	}
	if err != nil {
		return err
	}
	if !response.Confirmed || response.Age > StaleResponseAge {
		return port.Errorf(port.NotFresh, "instance %s has not heard of the newest document for too long", address)
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

// peerPoller is the duty of a relay that asks the relays of the other data centres while the store is silent.
type peerPoller struct {
	follower *Follower
	sources  instance.Sources
}

func (a *peerPoller) loop(ctx context.Context) {
	ticks := ring.New[time.Duration](1)
	stop := a.follower.cfg.Timer.Every(PeerPollPeriod, func(now time.Duration) { ticks.PutDroppingOldest(now) })
	defer stop()
	for {
		now, err := ticks.Take(ctx)
		if err != nil {
			return
		}
		if age, ok := a.follower.Staleness(); ok && age < PeerPollAge {
			continue
		}
		a.sources = a.sources.WithList(a.follower.List())
		a.pollAll(ctx, a.sources.Peers(now))
	}
}

// pollAll asks all peers at once and remembers which did not answer.
func (a *peerPoller) pollAll(ctx context.Context, peers []string) {
	polls := make([]peerPoll, len(peers))
	var running sync.WaitGroup
	for i, address := range peers {
		polls[i] = peerPoll{follower: a.follower, address: address}
		running.Go(func() { polls[i].run(ctx) })
	}
	running.Wait()
	for _, q := range polls {
		source := instance.FromRelay{Address: q.address}
		if q.err != nil && port.KindOf(q.err) != port.NotFresh {
			a.sources = a.sources.WithFailure(source, a.follower.cfg.Timer.Now())
			continue
		}
		a.sources = a.sources.WithSuccess(source)
	}
}

// peerPoll is one question to a peer.
type peerPoll struct {
	follower *Follower
	address  string
	err      error
}

func (q *peerPoll) run(ctx context.Context) { q.err = q.follower.pollRelay(ctx, q.address, 0) }

// listReader is the duty that reads the platform's list of instances.
type listReader struct {
	follower *Follower
	failing  bool
}

func (r *listReader) loop(ctx context.Context) {
	timer := r.follower.cfg.Timer
	for ctx.Err() == nil {
		err := r.read(ctx)
		if err != nil && !r.failing {
			r.follower.log(fmt.Sprintf("the list of instances cannot be read: %s", err))
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
