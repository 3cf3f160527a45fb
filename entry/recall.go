package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// minRecallInterval is the least time between two recalls for one limit by one holder.
	minRecallInterval = 200 * time.Millisecond
	// recallTimeout is how long the sender of a recall polls the ledger for what it asked for.
	recallTimeout = minTokenWait
	// recallPollInterval is the interval of that polling. A donor that has just written the ledger answers after up to
	// minWriteInterval.
	recallPollInterval = 20 * time.Millisecond
	// initialBackoff is the delay before the second read of a ledger in which nothing is available. It doubles up to
	// maxBackoff.
	initialBackoff = 12 * time.Millisecond
	// maxBackoff is the longest time between two reads while nothing is available. With fewer than maxBackoffHolders
	// holders it is shorter in proportion, so that all together read at most about 16 times a second, as often as
	// maxBackoffHolders holders that read once a second.
	maxBackoff        = time.Second
	maxBackoffHolders = 16
	// maxQueuedRecalls bounds the received recalls. The oldest is dropped; its sender repeats it.
	maxQueuedRecalls = 8
	// watchTimeout is how long one watch call waits for a change.
	watchTimeout = 30 * time.Second
)

// recall asks the named holders to return what they can spare. It is stored in an object of its own, so that renewals
// in the ledger wake no watch and a recall does not delay its sender's next update of the ledger.
type recall struct {
	Holder string
	Wanted allotment.Amount
	Donors []string
}

type recallObject struct {
	Holder string       `json:"holder"`
	Wanted amountObject `json:"wanted"`
	Donors []string     `json:"givers"`
}

func parseRecall(data []byte) (recall, error) {
	var o recallObject
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&o); err != nil {
		return recall{}, port.Wrapf(err, port.Invalid, "parse recall")
	}
	wanted := o.Wanted.amount()
	if o.Holder == "" || wanted != wanted.Max(allotment.Amount{}) {
		return recall{}, port.Errorf(port.Invalid, "recall of holder %q has an invalid amount: %v", o.Holder, wanted)
	}
	return recall{Holder: o.Holder, Wanted: wanted, Donors: o.Donors}, nil
}

func (r *reconciler) recallName() string { return "ledger_call/" + r.limiter.name }

// sendRecall stores a recall and schedules the next read of the ledger.
func (r *reconciler) sendRecall(ctx context.Context, c recall) error {
	r.lastRecall = r.cfg.Timer.Now()
	data, err := json.Marshal(recallObject{Holder: c.Holder, Wanted: toAmountObject(c.Wanted), Donors: c.Donors})
	if err != nil {
		return port.Wrapf(err, port.Internal, "encode recall")
	}
	ctx, cancel := port.WithTimeout(ctx, r.cfg.Timer, storeTimeout)
	defer cancel()
	object, err := r.cfg.Store.Get(ctx, r.recallName())
	if err != nil && port.KindOf(err) != port.NotFound {
		return port.Wrapf(err, port.KindOf(err), "read recall for %s", r.limiter.name)
	}
	_, err = r.cfg.Store.Put(ctx, r.recallName(), data, object.Version)
	r.wakeAfter(recallPollInterval)
	if err == nil {
		r.recordRecalled(c.Donors)
	}
	if port.KindOf(err) == port.Conflict {
		// Another holder has just stored a recall. It may serve both, because the donors consider the whole ledger.
		return nil
	}
	return port.Wrapf(err, port.KindOf(err), "write recall for %s", r.limiter.name)
}

// sentRecall is a recall sent to one holder: the holder's lease number then, and the instant.
type sentRecall struct {
	lease uint64
	at    time.Duration
}

func (r *reconciler) recordRecalled(donors []string) {
	for _, holder := range donors {
		if e, ok := r.base.Find(holder); ok {
			r.recalled[holder] = sentRecall{lease: e.Lease, at: r.lastRecall}
		}
	}
}

// skipRecall reports whether a holder need not be sent a recall now: it has not answered the last one, because it is slow
// or dead, or it has just returned what it can spare.
func (r *reconciler) skipRecall(e allotment.Entry) bool {
	sent, ok := r.recalled[e.Holder]
	return ok && (sent.lease == e.Lease || r.cfg.Timer.Now()-sent.at < maxBackoff)
}

// hasAnsweredRecall reports whether a holder has returned what it can spare since the last recall.
func (r *reconciler) hasAnsweredRecall(e allotment.Entry) bool {
	sent, ok := r.recalled[e.Holder]
	since := r.cfg.Timer.Now() - sent.at
	return ok && sent.lease != e.Lease && since >= recallTimeout && since < maxBackoff
}

// pruneRecalled drops the holders that have left the ledger.
func (r *reconciler) pruneRecalled() {
	maps.DeleteFunc(r.recalled, func(holder string, _ sentRecall) bool {
		_, ok := r.base.Find(holder)
		return !ok
	})
}

// receiveRecalls moves the queued recalls to the unanswered ones. A newer recall replaces the older one of its holder.
func (r *reconciler) receiveRecalls() {
	for {
		c, ok := r.incoming.TryTake()
		if !ok {
			return
		}
		r.recalls = slices.DeleteFunc(r.recalls, func(o recall) bool { return o.Holder == c.Holder })
		r.recalls = append(r.recalls, c)
	}
}

// updateWatch starts the watch for recalls when this holder enters the ledger, and stops it when the holder leaves.
func (r *reconciler) updateWatch(ctx context.Context) {
	if r.hasEntry && r.stopWatch == nil {
		ctx, r.stopWatch = context.WithCancel(ctx)
		r.watches.Go(func() { r.watchLoop(ctx) })
	}
	if !r.hasEntry && r.stopWatch != nil {
		r.stopWatch()
		r.stopWatch = nil
		r.recalls = nil
	}
}

// watchLoop queues the recalls that name this holder until ctx ends.
func (r *reconciler) watchLoop(ctx context.Context) {
	seen := port.Version(0)
	for ctx.Err() == nil {
		object, changed, err := r.cfg.Store.Watch(ctx, r.recallName(), seen, watchTimeout)
		if err != nil {
			_ = port.Sleep(ctx, r.cfg.Timer, retryInterval)
			continue
		}
		if !changed {
			continue
		}
		r.enqueueRecall(object)
		seen = object.Version
	}
}

func (r *reconciler) enqueueRecall(object port.Object) {
	c, err := parseRecall(object.Data)
	if err != nil || !slices.Contains(c.Donors, r.cfg.Holder) {
		return
	}
	r.incoming.PutDroppingOldest(c)
	r.notify()
}
