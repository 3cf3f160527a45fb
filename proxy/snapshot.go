package proxy

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

const (
	instancePrefix   = "instance/"
	primacyPrefix    = "primacy/"
	promoterLockName = "duty/promotion"
	// maxObjects exceeds the number of rhubarbwick's objects in the store.
	maxObjects = 1 << 16
)

// Member is the registration record of an instance.
type Member struct {
	// Name stays the same when the instance is restarted on its machine.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Address is where other instances reach it.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Weight is the processor time available to the instance, in cores. It owns pools in proportion.
	Weight float64 `json:"weight,omitempty"`
	// Leaving is set by another instance if this one is unresponsive. A live instance then registers again; otherwise
	// the record is removed later.
	Leaving bool `json:"leaving,omitempty"`
	// Stopped is set by an instance that stops as planned and no longer relies on anything. The record is kept for a
	// while, so that membership lists do not shrink while all machines are restarted in turn.
	Stopped bool `json:"stopped,omitempty"`
	// FirstRegistered is a store version at which the name was registered by an earlier incarnation; zero if there was
	// none. RegisteredAt is the store version at which this incarnation was registered; it is set when another instance
	// modifies the record.
	FirstRegistered port.Version `json:"first,omitempty"`
	RegisteredAt    port.Version `json:"listed,omitempty"`
	// version is the store version of the record.
	version port.Version
}

// StoredPrimacy is a primary record with its store version.
type StoredPrimacy struct {
	Record  primacy.Record
	Version port.Version
}

// PromoterLock names the instance that may promote servers. The holder renews it before each promotion.
type PromoterLock struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Renewals increases with each use, which shows other instances that the holder is active.
	Renewals uint64 `json:"use"`
}

// StoredPromoterLock is the promoter lock with its store version; version zero means that it has never been held.
type StoredPromoterLock struct {
	Lock    PromoterLock
	Version port.Version
}

// Snapshot holds rhubarbwick's objects in the store as of one read. They must not be modified.
type Snapshot struct {
	// ReadAt is when the read began. RequestedAt is later if a majority of the instances has since confirmed that there
	// is no newer record.
	ReadAt      time.Duration
	RequestedAt time.Duration
	Objects     []port.Object
	Members     []Member
	// Stopped are the instances that have stopped and may be restarted.
	Stopped      []Member
	Primacies    map[string]StoredPrimacy
	PromoterLock StoredPromoterLock
	// version and instances are computed once, because every exchange and statement needs them.
	version   uint64
	instances int
}

// NewSnapshot decodes the objects. Objects that cannot be decoded are ignored.
func NewSnapshot(objects []port.Object, readAt time.Duration) Snapshot {
	s := Snapshot{RequestedAt: readAt, ReadAt: readAt, Objects: objects, Primacies: make(map[string]StoredPrimacy)}
	for _, o := range objects {
		switch {
		case strings.HasPrefix(o.Name, instancePrefix):
			var m Member
			if json.Unmarshal(o.Data, &m) == nil && m.Incarnation != "" {
				m.version = o.Version
				if m.Stopped {
					s.Stopped = append(s.Stopped, m)
					continue
				}
				s.Members = append(s.Members, m)
			}
		case strings.HasPrefix(o.Name, primacyPrefix):
			if record, err := primacy.ParseRecord(o.Data); err == nil {
				s.Primacies[record.Group] = StoredPrimacy{Record: record, Version: o.Version}
			}
		case o.Name == promoterLockName:
			if json.Unmarshal(o.Data, &s.PromoterLock.Lock) == nil {
				s.PromoterLock.Version = o.Version
			}
		}
	}
	s.version, s.instances = stateVersion(objects), countInstances(s.Members)
	return s
}

// stateVersion identifies a state of the records: a write raises the highest version, and a removal alone changes the
// count.
func stateVersion(objects []port.Object) uint64 {
	newest := port.Version(0)
	for _, o := range objects {
		newest = max(newest, o.Version)
	}
	return uint64(newest)*maxObjects + uint64(len(objects))
}

// countInstances returns the number of members that are not leaving.
func countInstances(members []Member) int {
	n := 0
	for _, m := range members {
		if !m.Leaving {
			n++
		}
	}
	return n
}

// WithReadAt returns the same records as of a later read.
func (s Snapshot) WithReadAt(at time.Duration) Snapshot {
	s.ReadAt, s.RequestedAt = at, at
	return s
}

// WithRequestedAt returns the records after a request sent at a later time confirmed that they are current.
func (s Snapshot) WithRequestedAt(at time.Duration) Snapshot {
	s.RequestedAt = max(s.RequestedAt, at)
	return s
}

// Version identifies the state of the records.
func (s Snapshot) Version() uint64 { return s.version }

// Newest returns the highest store version of any record.
func (s Snapshot) Newest() port.Version { return port.Version(s.version / maxObjects) }

// HasMember reports whether the instance is registered and not leaving.
func (s Snapshot) HasMember(self Member) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool {
		return m.Name == self.Name && m.Incarnation == self.Incarnation && !m.Leaving
	})
}

// firstRegistered returns a store version at which the name was already registered; zero if it is not registered.
func (s Snapshot) firstRegistered(name string) port.Version {
	for _, m := range slices.Concat(s.Members, s.Stopped) {
		if m.Name == name {
			return m.firstRegistered()
		}
	}
	return 0
}

// HasIncarnation reports whether the incarnation is registered.
func (s Snapshot) HasIncarnation(incarnation string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Incarnation == incarnation })
}

// Find returns the object with the name.
func (s Snapshot) Find(name string) (port.Object, bool) {
	for _, o := range s.Objects {
		if o.Name == name {
			return o, true
		}
	}
	return port.Object{}, false
}
