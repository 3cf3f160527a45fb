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
	// promoterLockLease is how long a holder may use the promoter lock after renewing it. promoterLockTakeoverDelay is
	// how long the lock must be unchanged before another instance takes it over from a holder that may still be alive.
	promoterLockLease         = 2 * time.Second
	promoterLockTakeoverDelay = 3 * time.Second
)

// promoterLockHolder acquires and renews the promoter lock for this instance. One instance at a time holds the lock.
type promoterLockHolder struct {
	cfg *PromoterConfig
	// semaphore is full while the lock is read and written. Without it, replacements of two groups would mistake each
	// other's renewal for another instance's.
	semaphore *ring.Ring[struct{}]

	mu sync.Mutex
	// version is the newest version of the lock; versionSince is when it was first seen.
	version      port.Version
	versionSince time.Duration
	// renewedAt is the time before this instance last renewed the lock with the epoch.
	renewedAt time.Duration
	epoch     uint64
}

func newPromoterLockHolder(cfg *PromoterConfig) *promoterLockHolder {
	return &promoterLockHolder{cfg: cfg, semaphore: ring.New[struct{}](1)}
}

// observe records the version of the lock in a snapshot.
func (d *promoterLockHolder) observe(s Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.PromoterLock.Version > d.version {
		d.version, d.versionSince = s.PromoterLock.Version, d.cfg.Timer.Now()
	}
}

// canAcquire reports whether the lock can be taken according to the snapshot.
func (d *promoterLockHolder) canAcquire(s Snapshot) bool {
	d.observe(s)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isFree(s)
}

// isFree reports whether this instance holds the lock or no live instance uses it. mu must be held.
func (d *promoterLockHolder) isFree(s Snapshot) bool {
	lock := s.PromoterLock.Lock
	if s.PromoterLock.Version == 0 || lock.Holder == d.cfg.Self.Incarnation {
		return true
	}
	return !s.HasIncarnation(lock.Holder) || d.cfg.Timer.Now()-d.versionSince >= promoterLockTakeoverDelay
}

// acquire takes or renews the lock and returns its epoch. It fails with kind Conflict while another instance may be
// using the lock.
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
	isFree, ownEpoch := d.isFree(s), d.epoch
	d.mu.Unlock()
	lock := s.PromoterLock.Lock
	if !isFree {
		return 0, port.Errorf(port.Conflict, "instance %s may still hold the promoter lock", lock.Holder)
	}
	next := PromoterLock{Holder: d.cfg.Self.Incarnation, Epoch: lock.Epoch, Renewals: lock.Renewals + 1}
	if lock.Holder != d.cfg.Self.Incarnation || lock.Epoch != ownEpoch {
		next = PromoterLock{Holder: d.cfg.Self.Incarnation, Epoch: lock.Epoch + 1}
	}
	return next.Epoch, d.put(ctx, next, s.PromoterLock.Version)
}

// renew renews the lock if it still has the epoch and was not renewed recently. It fails with kind Conflict if another
// instance has taken the lock.
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
	lock := s.PromoterLock.Lock
	if lock.Holder != d.cfg.Self.Incarnation || lock.Epoch != epoch {
		return port.Errorf(port.Conflict, "instance %s has taken the promoter lock", lock.Holder)
	}
	lock.Renewals++
	return d.put(ctx, lock, s.PromoterLock.Version)
}

func (d *promoterLockHolder) read(ctx context.Context) (Snapshot, error) {
	if err := d.cfg.Readers.ReadRecords(ctx); err != nil {
		return Snapshot{}, err
	}
	s, _ := d.cfg.State.Records()
	d.observe(s)
	return s, nil
}

func (d *promoterLockHolder) put(ctx context.Context, next PromoterLock, expected port.Version) error {
	data, err := json.Marshal(next)
	if err != nil {
		return port.Wrapf(err, port.Internal, "the promoter lock cannot be encoded")
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
