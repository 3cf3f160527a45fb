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
	// promoterLockLease is how long a holder may use the duty to promote after it last renewed it, and dutyWait how long the
	// duty has to be unchanged before another instance takes it from a holder that may still live.
	promoterLockLease         = 2 * time.Second
	promoterLockTakeoverDelay = 3 * time.Second
)

// promoterLockHolder holds the duty to promote, which one instance has at a time, for this instance.
type promoterLockHolder struct {
	cfg *PromoterConfig
	// semaphore has an item while the duty is read and written, so that replacements of two groups do not take each other's
	// renewal for that of another instance.
	semaphore *ring.Ring[struct{}]

	mu sync.Mutex
	// version is the newest version, and since when it was first seen.
	version      port.Version
	versionSince time.Duration
	// renewedAt is the instant before the last renewal of the epoch by this instance.
	renewedAt time.Duration
	epoch     uint64
}

func newPromoterLockHolder(cfg *PromoterConfig) *promoterLockHolder {
	return &promoterLockHolder{cfg: cfg, semaphore: ring.New[struct{}](1)}
}

// observe notes the duty as a read of the records told.
func (d *promoterLockHolder) observe(s Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.PromoterLock.Version > d.version {
		d.version, d.versionSince = s.PromoterLock.Version, d.cfg.Timer.Now()
	}
}

// canAcquire reports whether the duty can be taken as far as the records tell.
func (d *promoterLockHolder) canAcquire(s Snapshot) bool {
	d.observe(s)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isFree(s)
}

// isFree reports whether this instance holds the duty or nobody who lives uses it. The lock is held.
func (d *promoterLockHolder) isFree(s Snapshot) bool {
	held := s.PromoterLock.Lock
	if s.PromoterLock.Version == 0 || held.Holder == d.cfg.Self.Incarnation {
		return true
	}
	return !s.HasIncarnation(held.Holder) || d.cfg.Timer.Now()-d.versionSince >= promoterLockTakeoverDelay
}

// acquire takes or renews the duty and returns its epoch. It fails with kind Conflict while another instance may be
// using it.
func (d *promoterLockHolder) acquire(ctx context.Context) (uint64, error) {
	if err := d.semaphore.Put(ctx, struct{}{}); err != nil {
		return 0, err
	}
	defer d.semaphore.TryTake()
	s, err := d.read(ctx)
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	isFree, own := d.isFree(s), d.epoch
	d.mu.Unlock()
	held := s.PromoterLock.Lock
	if !isFree {
		return 0, port.Failf(port.Conflict, "instance %s may still be promoting", held.Holder)
	}
	next := PromoterLock{Holder: d.cfg.Self.Incarnation, Epoch: held.Epoch, Renewals: held.Renewals + 1}
	if held.Holder != d.cfg.Self.Incarnation || held.Epoch != own {
		next = PromoterLock{Holder: d.cfg.Self.Incarnation, Epoch: held.Epoch + 1}
	}
	return next.Epoch, d.put(ctx, next, s.PromoterLock.Version)
}

// renew renews the duty of the epoch if it was not renewed of late. It fails with kind Conflict when another instance
// has taken it.
func (d *promoterLockHolder) renew(ctx context.Context, epoch uint64) error {
	if err := d.semaphore.Put(ctx, struct{}{}); err != nil {
		return err
	}
	defer d.semaphore.TryTake()
	d.mu.Lock()
	isRecent := d.epoch == epoch && d.cfg.Timer.Now()-d.renewedAt < promoterLockLease/2
	d.mu.Unlock()
	if isRecent {
		return nil
	}
	s, err := d.read(ctx)
	if err != nil {
		return err
	}
	held := s.PromoterLock.Lock
	if held.Holder != d.cfg.Self.Incarnation || held.Epoch != epoch {
		return port.Failf(port.Conflict, "instance %s has taken the duty to promote", held.Holder)
	}
	held.Renewals++
	return d.put(ctx, held, s.PromoterLock.Version)
}

// read reads the records.
func (d *promoterLockHolder) read(ctx context.Context) (Snapshot, error) {
	if err := d.cfg.Readers.ReadRecords(ctx); err != nil {
		return Snapshot{}, err
	}
	s, _ := d.cfg.Knowledge.Records()
	d.observe(s)
	return s, nil
}

// put writes the duty.
func (d *promoterLockHolder) put(ctx context.Context, next PromoterLock, expected port.Version) error {
	data, err := json.Marshal(next)
	if err != nil {
		return port.Wrapf(err, port.Internal, "the duty cannot be encoded")
	}
	began := d.cfg.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, d.cfg.Timer, callTimeout)
	defer cancel()
	version, err := d.cfg.Records.Put(limited, promoterLockName, data, expected)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version, d.versionSince, d.renewedAt, d.epoch = version, began, began, next.Epoch
	return nil
}
