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
	// maxSilent bounds the sources that are remembered for the log. Relays change their addresses over time.
	maxSilent = 32
	// listPeriodPerInstance keeps the fleet at 40 reads of the list a second, whatever its size.
	listPeriodPerInstance = 25 * time.Millisecond
)

// documentPoller is the duty that always has one poll open at the follower's source.
type documentPoller struct {
	follower *Follower
	sources  instance.Sources
	// seen is the version of the store's document, and revision the revision that it has.
	seen     port.Version
	revision document.Revision
	sections sectionReader
	// silent holds the sources whose failure was logged.
	silent map[instance.Source]bool
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
			_ = port.Sleep(ctx, timer, pauseAfter(source))
			continue
		}
		p.sources = p.sources.WithSuccess(source)
		// A source that answers at once without a newer document must not make this loop spin.
		if p.follower.Document().Revision == before && timer.Now()-began < shortPoll {
			_ = port.Sleep(ctx, timer, shortPoll)
		}
	}
}

// logChange logs when a source falls silent and when it answers again.
func (p *documentPoller) logChange(source instance.Source, err error) {
	if len(p.silent) > maxSilent {
		clear(p.silent)
	}
	switch {
	case err != nil && !p.silent[source]:
		p.follower.log(fmt.Sprintf("%s gives no fresh document: %s", describe(source), err))
		p.silent[source] = true
	case err == nil && p.silent[source]:
		p.follower.log(fmt.Sprintf("%s gives fresh documents again", describe(source)))
		delete(p.silent, source)
	}
}

func (p *documentPoller) poll(ctx context.Context, source instance.Source) error {
	switch source := source.(type) {
	case instance.FromRelay:
		return p.follower.ask(ctx, source.Address, DocumentPollWait)
	default:
		return p.pollStore(ctx)
	}
}

// pollStore waits for another document than the one seen. Whatever the store answers was true after the question.
func (p *documentPoller) pollStore(ctx context.Context) error {
	f := p.follower
	known := f.Document().Revision
	asked := f.cfg.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, f.cfg.Timer, DocumentPollWait+DocumentTimeout)
	object, changed, err := f.cfg.Store.Watch(limited, DocumentObject, p.seen, DocumentPollWait)
	cancel()
	switch {
	case err != nil && port.KindOf(err) == port.NotFound, err == nil && changed && object.Version == 0:
		p.seen, p.revision = 0, 0
		_ = port.Sleep(ctx, f.cfg.Timer, storePause)
		return p.confirm(ctx, storeConfirmed{at: asked}, known)
	case err != nil:
		return err
	case !changed:
		return p.confirm(ctx, storeConfirmed{revision: p.revision, at: asked}, known)
	}
	confirmed, err := p.read(ctx, object, asked)
	if err != nil {
		return err
	}
	return p.confirm(ctx, confirmed, known)
}

// read returns what the object that was asked for at the instant says. When a section was removed meanwhile, the object
// is read again.
func (p *documentPoller) read(ctx context.Context, object port.Object, asked time.Duration) (storeConfirmed, error) {
	for {
		form, faults := document.ParseStored(object.Data)
		if len(faults) > 0 {
			return storeConfirmed{}, port.Errorf(port.Invalid, "stored document of version %d has %d faults, the first is: %s",
				object.Version, len(faults), faults[0])
		}
		d, err := p.documentOf(ctx, form)
		if err == nil {
			p.seen, p.revision = object.Version, form.Header().Revision
			return storeConfirmed{revision: p.revision, document: d, at: asked}, nil
		}
		if port.KindOf(err) != port.NotFound {
			return storeConfirmed{}, err
		}
		asked = p.follower.cfg.Timer.Now()
		again, missing := p.readAgain(ctx)
		if missing != nil {
			return storeConfirmed{}, missing
		}
		if again.Version == object.Version {
			return storeConfirmed{}, port.Wrapf(err, port.Invalid, "the stored index of version %d is damaged", object.Version)
		}
		object = again
	}
}

// documentOf returns the document of what the store holds. It is empty when it does not succeed the one in force.
func (p *documentPoller) documentOf(ctx context.Context, form document.Stored) (document.Document, error) {
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

func (p *documentPoller) readAgain(ctx context.Context) (port.Object, error) {
	limited, cancel := port.WithTimeout(ctx, p.follower.cfg.Timer, DocumentTimeout)
	defer cancel()
	return p.follower.cfg.Store.Get(limited, DocumentObject)
}

// confirm applies what the store answered. known is the revision that was in force before the question.
func (p *documentPoller) confirm(ctx context.Context, e storeConfirmed, known document.Revision) error {
	if err := p.follower.tell(ctx, e); err != nil {
		return err
	}
	if e.revision < known {
		return port.Errorf(port.Conflict, "the store holds revision %d, revision %d stays in force", e.revision, known)
	}
	return nil
}

// ask polls another instance and applies its report. When the report's patch does not fit, it asks for the whole
// document.
func (f *Follower) ask(ctx context.Context, address string, wait time.Duration) error {
	report, err := f.askOnce(ctx, address, FollowRequest{KnownRevision: f.Document().Revision, MaxWait: wait})
	if err == nil && report.Patch.Revision > f.Document().Revision {
		report, err = f.askOnce(ctx, address, FollowRequest{})
	}
	if err != nil {
		return err
	}
	if !report.Confirmed || report.Age > StaleReport {
		return port.Errorf(port.NotFresh, "instance %s has not heard of the newest document for too long", address)
	}
	return nil
}

func (f *Follower) askOnce(ctx context.Context, address string, poll FollowRequest) (FollowResponse, error) {
	limited, cancel := port.WithTimeout(ctx, f.cfg.Timer, poll.MaxWait+DocumentTimeout)
	defer cancel()
	asked := f.cfg.Timer.Now()
	report, err := f.cfg.Relays.Follow(limited, address, poll)
	if err != nil {
		return FollowResponse{}, err
	}
	held := min(max(report.WaitTime, 0), f.cfg.Timer.Now()-asked)
	return report, f.tell(ctx, relayReported{report: report, at: asked + held})
}

// peerAsker is the duty of a relay that asks the relays of the other data centres while the store is silent.
type peerAsker struct {
	follower *Follower
	sources  instance.Sources
}

func (a *peerAsker) loop(ctx context.Context) {
	ticks := ring.New[time.Duration](1)
	stop := a.follower.cfg.Timer.Every(AskPeriod, func(now time.Duration) { ticks.PutDroppingOldest(now) })
	defer stop()
	for {
		now, err := ticks.Take(ctx)
		if err != nil {
			return
		}
		if age, ok := a.follower.Staleness(); ok && age < AskAge {
			continue
		}
		a.sources = a.sources.WithList(a.follower.List())
		a.askAll(ctx, a.sources.Peers(now))
	}
}

// askAll asks all peers at once and remembers which did not answer.
func (a *peerAsker) askAll(ctx context.Context, peers []string) {
	questions := make([]peerQuestion, len(peers))
	var running sync.WaitGroup
	for i, address := range peers {
		questions[i] = peerQuestion{follower: a.follower, address: address}
		running.Go(func() { questions[i].run(ctx) })
	}
	running.Wait()
	for _, q := range questions {
		source := instance.FromRelay{Address: q.address}
		if q.err != nil && port.KindOf(q.err) != port.NotFresh {
			a.sources = a.sources.WithFailure(source, a.follower.cfg.Timer.Now())
			continue
		}
		a.sources = a.sources.WithSuccess(source)
	}
}

// peerQuestion is one question to a peer.
type peerQuestion struct {
	follower *Follower
	address  string
	err      error
}

func (q *peerQuestion) run(ctx context.Context) { q.err = q.follower.ask(ctx, q.address, 0) }

// listReader is the duty that reads the platform's list of instances.
type listReader struct {
	follower *Follower
	silent   bool
}

func (r *listReader) loop(ctx context.Context) {
	timer := r.follower.cfg.Timer
	for ctx.Err() == nil {
		err := r.read(ctx)
		if err != nil && !r.silent {
			r.follower.log(fmt.Sprintf("the list of instances cannot be read: %s", err))
		}
		r.silent = err != nil
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
	return r.follower.tell(ctx, listRead{list: instance.NewList(instances...)})
}

func pauseAfter(source instance.Source) time.Duration {
	switch source.(type) {
	case instance.FromStore:
		return storePause
	default:
		return relayPause
	}
}

func describe(source instance.Source) string {
	switch source := source.(type) {
	case instance.FromRelay:
		return "instance " + source.Address
	default:
		return "the store"
	}
}
