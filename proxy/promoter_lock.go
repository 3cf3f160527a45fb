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
	// renewedAt is when this instance began its last renewal of the lock in this epoch.
	renewedAt time.Duration
	epoch     uint64
}

func newPromoterLockHolder(cfg *PromoterConfig) *promoterLockHolder {
	return &promoterLockHolder{cfg: cfg, semaphore: ring.New[struct{}](1)}
}

// observe records the version of the lock in a snapshot.
func (h *promoterLockHolder) observe(s Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.PromoterLock.Version > h.version {
		h.version, h.versionSince = s.PromoterLock.Version, h.cfg.Timer.Now()
	}
}

// canAcquire reports whether the lock can be taken according to the snapshot.
func (h *promoterLockHolder) canAcquire(s Snapshot) bool {
	h.observe(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isFree(s)
}

// isFree reports whether this instance holds the lock or no live instance uses it. mu must be held.
func (h *promoterLockHolder) isFree(s Snapshot) bool {
	lock := s.PromoterLock.Lock
	if s.PromoterLock.Version == 0 || lock.Holder == h.cfg.Self.Incarnation {
		return true
	}
	return !s.HasIncarnation(lock.Holder) || h.cfg.Timer.Now()-h.versionSince >= promoterLockTakeoverDelay
}

// acquire takes or renews the lock and returns its epoch. It fails with kind Conflict while another instance may be
// using the lock.
func (h *promoterLockHolder) acquire(ctx context.Context) (uint64, error) {
	if err := h.semaphore.Put(ctx, struct{}{}); err != nil {
		return 0, err
	}
	defer h.semaphore.TryTake()
	s, err := h.read(ctx)
	if err != nil {
		return 0, err
	}
	h.mu.Lock()
	isFree, ownEpoch := h.isFree(s), h.epoch
	h.mu.Unlock()
	lock := s.PromoterLock.Lock
	if !isFree {
		return 0, port.Errorf(port.Conflict, "instance %s may still hold the promoter lock", lock.Holder)
	}
	next := PromoterLock{Holder: h.cfg.Self.Incarnation, Epoch: lock.Epoch, Renewals: lock.Renewals + 1}
	if lock.Holder != h.cfg.Self.Incarnation || lock.Epoch != ownEpoch {
		next = PromoterLock{Holder: h.cfg.Self.Incarnation, Epoch: lock.Epoch + 1}
	}
	if err := h.put(ctx, next, s.PromoterLock.Version); err != nil {
		return 0, err
	}
	return next.Epoch, h.check(next.Epoch)
}

// check fails unless the lock can certainly not have been taken over. The holder must have sent its last renewal within
// promoterLockLease: it may have stood still since, also while it waited for the answer.
func (h *promoterLockHolder) check(epoch uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if age := h.cfg.Timer.Now() - h.renewedAt; h.epoch != epoch || age >= promoterLockLease {
		return port.Errorf(port.Unavailable, "the promoter lock was last renewed %s ago", age.Round(time.Millisecond))
	}
	return nil
}

// renew renews the lock if it still has the epoch and was not renewed recently. It fails with kind Conflict if another
// instance has taken the lock, and with kind Unavailable if check fails after the renewal.
func (h *promoterLockHolder) renew(ctx context.Context, epoch uint64) error {
	if err := h.semaphore.Put(ctx, struct{}{}); err != nil {
		return err
	}
	defer h.semaphore.TryTake()
	h.mu.Lock()
	isRecent := h.epoch == epoch && h.cfg.Timer.Now()-h.renewedAt < promoterLockLease/2
	h.mu.Unlock()
	if isRecent {
		return nil
	}
	s, err := h.read(ctx)
	if err != nil {
		return err
	}
	lock := s.PromoterLock.Lock
	if lock.Holder != h.cfg.Self.Incarnation || lock.Epoch != epoch {
		return port.Errorf(port.Conflict, "instance %s has taken the promoter lock", lock.Holder)
	}
	lock.Renewals++
	if err := h.put(ctx, lock, s.PromoterLock.Version); err != nil {
		return err
	}
	return h.check(epoch)
}

func (h *promoterLockHolder) read(ctx context.Context) (Snapshot, error) {
	if err := h.cfg.Readers.ReadRecords(ctx); err != nil {
		return Snapshot{}, err
	}
	s, _ := h.cfg.State.Records()
	h.observe(s)
	return s, nil
}

func (h *promoterLockHolder) put(ctx context.Context, next PromoterLock, expected port.Version) error {
	data, err := json.Marshal(next)
	if err != nil {
		return port.Wrapf(err, port.Internal, "the promoter lock cannot be encoded")
	}
	start := h.cfg.Timer.Now()
	callCtx, cancel := port.WithTimeout(ctx, h.cfg.Timer, callTimeout)
	defer cancel()
	version, err := h.cfg.Records.Put(callCtx, promoterLockName, data, expected)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version, h.versionSince, h.renewedAt, h.epoch = version, start, start, next.Epoch
	return nil
}
