package proxy

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

const (
	// readPeriod is how often the records are read. Each read is a priced call; with the lease it decides how long an
	// outage of the store may last before primaries are no longer used.
	readPeriod = 1500 * time.Millisecond

	instancePrefix = "instance/"
	primacyPrefix  = "primacy/"
	dutyName       = "duty/promotion"
)

// Member is an instance as its own record tells.
type Member struct {
	// Name is the same for all starts on one machine.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Address is where other instances reach it.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Snapshot is what one read of the records said.
type Snapshot struct {
	// AskedAt is when the read began.
	AskedAt   time.Duration
	Members   []Member
	Primacies map[string]StoredPrimacy
	Duty      StoredDuty
}

// StoredPrimacy is a record with its version in the store.
type StoredPrimacy struct {
	Record  primacy.Record
	Version port.Version
}

// Duty says who may promote. The holder renews it before each promotion.
type Duty struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Use grows with each use, so that others see that the holder is at work.
	Use uint64 `json:"use"`
}

// StoredDuty is the duty with its version in the store; version zero means that nobody has held it.
type StoredDuty struct {
	Duty    Duty
	Version port.Version
}

// RegistryConfig is what a Registry needs.
type RegistryConfig struct {
	Self    Member
	Records Records
	Views   *Views
	Timer   port.Timer
}

// Registry is the duty that lists this instance among the others and reads the records of all.
type Registry struct {
	cfg RegistryConfig

	mu       sync.Mutex
	snapshot Snapshot
	known    bool
	hurry    chan struct{}
	failed   pauses
}

// NewRegistry returns a registry that knows nothing until Run.
func NewRegistry(cfg RegistryConfig) *Registry {
	return &Registry{cfg: cfg, hurry: make(chan struct{}, 1)}
}

// Run registers the instance and reads the records until ctx ends.
func (r *Registry) Run(ctx context.Context) { r.loop(ctx) }

// Snapshot returns the newest records, and false while none were read.
func (r *Registry) Snapshot() (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot, r.known
}

// Instances returns the number of registered instances, at least one.
func (r *Registry) Instances() int {
	s, _ := r.Snapshot()
	return max(len(s.Members), 1)
}

// Hurry has the records read again at once.
func (r *Registry) Hurry() {
	select {
	case r.hurry <- struct{}{}:
	default:
	}
}

func (r *Registry) loop(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		// Nothing is read before the instance is listed: a promoter that does not know of it would not wait for it.
		registered = registered || r.register(ctx)
		if !registered || r.Read(ctx) != nil {
			r.failed.wait(ctx, r.cfg.Timer)
			continue
		}
		r.failed.reset()
		r.pause(ctx)
	}
}

// pause waits until the next read is due or asked for.
func (r *Registry) pause(ctx context.Context) {
	due := make(chan struct{})
	stop := r.cfg.Timer.After(readPeriod, func(time.Duration) { close(due) })
	defer stop()
	select {
	case <-due:
	case <-r.hurry:
	case <-ctx.Done():
	}
}

// register writes this instance's record, in the place of that of an earlier start on the machine.
func (r *Registry) register(ctx context.Context) bool {
	limited, cancel := port.WithTimeout(ctx, r.cfg.Timer, callLimit)
	defer cancel()
	data, err := json.Marshal(r.cfg.Self)
	if err != nil {
		return false
	}
	name := instancePrefix + r.cfg.Self.Name
	if _, err = r.cfg.Records.Put(limited, name, data, 0); port.KindOf(err) != port.Conflict {
		return err == nil
	}
	objects, err := r.cfg.Records.All(limited)
	if err != nil {
		return false
	}
	for _, o := range objects {
		if o.Name == name {
			_, err = r.cfg.Records.Put(limited, name, data, o.Version)
			return err == nil
		}
	}
	return false
}

// Deregister removes this instance's record, so that nobody waits for it any more.
func (r *Registry) Deregister(ctx context.Context) error {
	return r.cfg.Records.Delete(ctx, instancePrefix+r.cfg.Self.Name, 0)
}

// Read reads the records.
func (r *Registry) Read(ctx context.Context) error {
	asked := r.cfg.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, r.cfg.Timer, callLimit)
	defer cancel()
	objects, err := r.cfg.Records.All(limited)
	if err != nil {
		return err
	}
	s := snapshotOf(objects, asked)
	for _, p := range s.Primacies {
		r.cfg.Views.Take(p.Record, asked)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known || asked > r.snapshot.AskedAt {
		r.snapshot, r.known = s, true
	}
	return nil
}

// snapshotOf sorts the objects. One that cannot be read names nothing.
func snapshotOf(objects []port.Object, asked time.Duration) Snapshot {
	s := Snapshot{AskedAt: asked, Primacies: make(map[string]StoredPrimacy)}
	for _, o := range objects {
		switch {
		case strings.HasPrefix(o.Name, instancePrefix):
			var m Member
			if json.Unmarshal(o.Data, &m) == nil && m.Incarnation != "" {
				s.Members = append(s.Members, m)
			}
		case strings.HasPrefix(o.Name, primacyPrefix):
			if record, err := primacy.ParseRecord(o.Data); err == nil {
				s.Primacies[record.Group] = StoredPrimacy{Record: record, Version: o.Version}
			}
		case o.Name == dutyName:
			if json.Unmarshal(o.Data, &s.Duty.Duty) == nil {
				s.Duty.Version = o.Version
			}
		}
	}
	return s
}
