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
	// callGap is the least time between two calls for one limit by one holder.
	callGap = 200 * time.Millisecond
	// callWait is how long a caller looks for what it asked for.
	callWait = takeWait
	// callPoll is the time between two looks. A giver that has just written answers after up to writeGap.
	callPoll = 20 * time.Millisecond
	// firstLook is the time until the second look at a ledger in which nothing could be had. It doubles up to quietTime.
	firstLook = 12 * time.Millisecond
	// quietTime is the longest time between two looks while nothing can be had. It is shorter with few holders: all
	// together look about 16 times a second, as often as 16 holders once a second.
	quietTime    = time.Second
	quietHolders = 16
	// maxCalls bounds the calls that wait. The oldest is dropped; its caller calls again.
	maxCalls = 8
	// watchTime is how long one watch waits.
	watchTime = 30 * time.Second
)

// call asks named holders to give back what they can spare. It is an object of its own, so that renewals of the
// ledger wake nobody and a call does not use up the caller's next update of the ledger.
type call struct {
	Holder string
	Wanted allotment.Amount
	Givers []string
}

type callObject struct {
	Holder string       `json:"holder"`
	Wanted amountObject `json:"wanted"`
	Givers []string     `json:"givers"`
}

func parseCall(data []byte) (call, error) {
	var o callObject
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&o); err != nil {
		return call{}, port.Wrapf(err, port.Invalid, "parse call")
	}
	wanted := o.Wanted.amount()
	if o.Holder == "" || wanted != wanted.Max(allotment.Amount{}) {
		return call{}, port.Errorf(port.Invalid, "call of holder %q wants %v", o.Holder, wanted)
	}
	return call{Holder: o.Holder, Wanted: wanted, Givers: o.Givers}, nil
}

func (a *account) callName() string { return "ledger_call/" + a.limiter.name }

// call writes a call and looks at the ledger again soon.
func (a *account) call(ctx context.Context, c call) error {
	a.calledAt = a.cfg.Timer.Now()
	data, err := json.Marshal(callObject{Holder: c.Holder, Wanted: toAmountObject(c.Wanted), Givers: c.Givers})
	if err != nil {
		return port.Wrapf(err, port.Internal, "encode call")
	}
	ctx, cancel := port.WithTimeout(ctx, a.cfg.Timer, storeTimeout)
	defer cancel()
	object, err := a.cfg.Store.Get(ctx, a.callName())
	if err != nil && port.KindOf(err) != port.NotFound {
		return port.Wrapf(err, port.KindOf(err), "read call for %s", a.limiter.name)
	}
	_, err = a.cfg.Store.Put(ctx, a.callName(), data, object.Version)
	a.later(callPoll)
	if err == nil {
		a.noteAsked(c.Givers)
	}
	if port.KindOf(err) == port.Conflict {
		// Another holder has just called. The givers look at the whole ledger, so its call may serve both.
		return nil
	}
	return port.Wrapf(err, port.KindOf(err), "write call for %s", a.limiter.name)
}

// asking is a holder that was called: its lease number and the instant of the call.
type asking struct {
	lease uint64
	at    time.Duration
}

func (a *account) noteAsked(givers []string) {
	for _, holder := range givers {
		if e, ok := a.base.Find(holder); ok {
			a.asked[holder] = asking{lease: e.Lease, at: a.calledAt}
		}
	}
}

// isAsked reports whether a holder need not be called now: it was called and has not answered since, because it is
// slow or dead, or it has just given back what it can spare.
func (a *account) isAsked(e allotment.Entry) bool {
	asked, ok := a.asked[e.Holder]
	return ok && (asked.lease == e.Lease || a.cfg.Timer.Now()-asked.at < quietTime)
}

// hasAnswered reports whether a holder has given back what it can spare since it was called.
func (a *account) hasAnswered(e allotment.Entry) bool {
	asked, ok := a.asked[e.Holder]
	since := a.cfg.Timer.Now() - asked.at
	return ok && asked.lease != e.Lease && since >= callWait && since < quietTime
}

// forgetAsked forgets the holders that have left.
func (a *account) forgetAsked() {
	maps.DeleteFunc(a.asked, func(holder string, _ asking) bool {
		_, ok := a.base.Find(holder)
		return !ok
	})
}

// takeCalls moves what the watch brought to the callers that have not been answered.
func (a *account) takeCalls() {
	for {
		c, ok := a.calls.TryTake()
		if !ok {
			return
		}
		a.callers = slices.DeleteFunc(a.callers, func(o call) bool { return o.Holder == c.Holder })
		a.callers = append(a.callers, c)
	}
}

// follow watches for calls while the ledger is held.
func (a *account) follow(ctx context.Context) {
	if a.held && a.unwatch == nil {
		ctx, a.unwatch = context.WithCancel(ctx)
		a.watches.Go(func() { a.watchLoop(ctx) })
	}
	if !a.held && a.unwatch != nil {
		a.unwatch()
		a.unwatch = nil
		a.callers = nil
	}
}

// watchLoop brings calls to the account's ring until ctx ends.
func (a *account) watchLoop(ctx context.Context) {
	seen := port.Version(0)
	for ctx.Err() == nil {
		object, changed, err := a.cfg.Store.Watch(ctx, a.callName(), seen, watchTime)
		if err != nil {
			_ = port.Sleep(ctx, a.cfg.Timer, retryEvery)
			continue
		}
		if !changed {
			continue
		}
		a.bring(object)
		seen = object.Version
	}
}

func (a *account) bring(object port.Object) {
	c, err := parseCall(object.Data)
	if err != nil || !slices.Contains(c.Givers, a.cfg.Holder) {
		return
	}
	a.calls.PutDroppingOldest(c)
	a.notify()
}
