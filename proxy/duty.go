package proxy

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// dutyLease is how long a holder may use the duty to promote after it last renewed it, and dutyWait how long the
	// duty has to be unchanged before another instance takes it from a holder that may still live.
	dutyLease = 2 * time.Second
	dutyWait  = 3 * time.Second
)

// dutyHolder holds the duty to promote, which one instance has at a time, for this instance.
type dutyHolder struct {
	cfg *PromoterConfig
	// turn has an item while the duty is read and written, so that replacements of two groups do not take each other's
	// renewal for that of another instance.
	turn *ring.Ring[struct{}]

	mu sync.Mutex
	// seen is the newest version, and since when it was first seen.
	seen  port.Version
	since time.Duration
	// renewed is the instant before the last renewal of the epoch by this instance.
	renewed time.Duration
	epoch   uint64
}

func newDutyHolder(cfg *PromoterConfig) *dutyHolder {
	return &dutyHolder{cfg: cfg, turn: ring.New[struct{}](1)}
}

// observe notes the duty as a read of the records told.
func (d *dutyHolder) observe(s Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Duty.Version > d.seen {
		d.seen, d.since = s.Duty.Version, d.cfg.Timer.Now()
	}
}

// mayAcquire reports whether the duty can be taken as far as the records tell.
func (d *dutyHolder) mayAcquire(s Snapshot) bool {
	d.observe(s)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isFree(s)
}

// isFree reports whether this instance holds the duty or nobody who lives uses it. The lock is held.
func (d *dutyHolder) isFree(s Snapshot) bool {
	held := s.Duty.Duty
	if s.Duty.Version == 0 || held.Holder == d.cfg.Self.Incarnation {
		return true
	}
	return !s.HasIncarnation(held.Holder) || d.cfg.Timer.Now()-d.since >= dutyWait
}

// acquire takes or renews the duty and returns its epoch. It fails with kind Conflict while another instance may be
// using it.
func (d *dutyHolder) acquire(ctx context.Context) (uint64, error) {
	if err := d.turn.Put(ctx, struct{}{}); err != nil {
		return 0, err
	}
	defer d.turn.TryTake()
	s, err := d.read(ctx)
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	isFree, own := d.isFree(s), d.epoch
	d.mu.Unlock()
	held := s.Duty.Duty
	if !isFree {
		return 0, port.Errorf(port.Conflict, "instance %s may still be promoting", held.Holder)
	}
	next := Duty{Holder: d.cfg.Self.Incarnation, Epoch: held.Epoch, Use: held.Use + 1}
	if held.Holder != d.cfg.Self.Incarnation || held.Epoch != own {
		next = Duty{Holder: d.cfg.Self.Incarnation, Epoch: held.Epoch + 1}
	}
	return next.Epoch, d.put(ctx, next, s.Duty.Version)
}

// confirm renews the duty of the epoch if it was not renewed of late. It fails with kind Conflict when another instance
// has taken it.
func (d *dutyHolder) confirm(ctx context.Context, epoch uint64) error {
	if err := d.turn.Put(ctx, struct{}{}); err != nil {
		return err
	}
	defer d.turn.TryTake()
	d.mu.Lock()
	isRecent := d.epoch == epoch && d.cfg.Timer.Now()-d.renewed < dutyLease/2
	d.mu.Unlock()
	if isRecent {
		return nil
	}
	s, err := d.read(ctx)
	if err != nil {
		return err
	}
	held := s.Duty.Duty
	if held.Holder != d.cfg.Self.Incarnation || held.Epoch != epoch {
		return port.Errorf(port.Conflict, "instance %s has taken the duty to promote", held.Holder)
	}
	held.Use++
	return d.put(ctx, held, s.Duty.Version)
}

// read reads the records.
func (d *dutyHolder) read(ctx context.Context) (Snapshot, error) {
	if err := d.cfg.Readers.ReadRecords(ctx); err != nil {
		return Snapshot{}, err
	}
	s, _ := d.cfg.State.Records()
	d.observe(s)
	return s, nil
}

// put writes the duty.
func (d *dutyHolder) put(ctx context.Context, next Duty, expected port.Version) error {
	data, err := json.Marshal(next)
	if err != nil {
		return port.Wrapf(err, port.Internal, "the duty cannot be encoded")
	}
	began := d.cfg.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, d.cfg.Timer, callLimit)
	defer cancel()
	version, err := d.cfg.Records.Put(limited, dutyName, data, expected)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen, d.since, d.renewed, d.epoch = version, began, began, next.Epoch
	return nil
}
