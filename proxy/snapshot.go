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
	// maxObjects is above the number of the product's objects in the store.
	maxObjects = 1 << 16
)

// Member is an instance as its own record tells.
type Member struct {
	// Name is the same for all starts on one machine.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Address is where other instances reach it.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Weight is the processor time that the instance has, in cores. It owns pools in proportion.
	Weight float64 `json:"weight,omitempty"`
	// Leaving is set by another instance when this one has been silent. An instance that lives lists itself anew; the
	// record of one that does not is removed later.
	Leaving bool `json:"leaving,omitempty"`
	// Stopped is set by an instance that stops as planned and relies on nothing any more. Its record stays for a while, so that
	// the lists of others are not shorter by turns while all machines are started anew.
	Stopped bool `json:"stopped,omitempty"`
	// FirstListed is a version of the store at which the name was listed before this start; zero if it was not. Listed is the
	// version at which this start was listed, once another instance has changed the record.
	FirstListed port.Version `json:"first,omitempty"`
	ListedAt    port.Version `json:"listed,omitempty"`
	// version is that of the record.
	version port.Version
}

// StoredPrimacy is a record with its version in the store.
type StoredPrimacy struct {
	Record  primacy.Record
	Version port.Version
}

// PromoterLock says who may promote. The holder renews it before each promotion.
type PromoterLock struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Renewals grows with each use, so that others see that the holder is at work.
	Renewals uint64 `json:"use"`
}

// StoredPromoterLock is the duty with its version in the store; version zero means that nobody has held it.
type StoredPromoterLock struct {
	Lock    PromoterLock
	Version port.Version
}

// Snapshot holds the product's objects in the store, as one read gave them. They must not be changed.
type Snapshot struct {
	// ReadAt is when the read began. AskedAt is later when a majority of the instances has said since that they know of
	// no newer record.
	ReadAt  time.Duration
	AskedAt time.Duration
	Objects []port.Object
	Members []Member
	// Stopped are the instances that have stopped and may be started again.
	Stopped      []Member
	Primacies    map[string]StoredPrimacy
	PromoterLock StoredPromoterLock
	// version and instances are derived from the objects once, because every exchange and statement asks for them.
	version   uint64
	instances int
}

// NewSnapshot sorts the objects. One that cannot be read names nothing.
func NewSnapshot(objects []port.Object, readAt time.Duration) Snapshot {
	s := Snapshot{AskedAt: readAt, ReadAt: readAt, Objects: objects, Primacies: make(map[string]StoredPrimacy)}
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

// stateVersion tells two states of the records apart: a write raises the greatest version, and a removal alone the count.
func stateVersion(objects []port.Object) uint64 {
	newest := port.Version(0)
	for _, o := range objects {
		newest = max(newest, o.Version)
	}
	return uint64(newest)*maxObjects + uint64(len(objects))
}

// countInstances returns the number of members that are not about to be removed.
func countInstances(members []Member) int {
	n := 0
	for _, m := range members {
		if !m.Leaving {
			n++
		}
	}
	return n
}

// WithReadAt returns the same records as a later read gave them.
func (s Snapshot) WithReadAt(at time.Duration) Snapshot {
	s.ReadAt, s.AskedAt = at, at
	return s
}

// WithAskedAt returns the records after they were confirmed at a later instant.
func (s Snapshot) WithAskedAt(at time.Duration) Snapshot {
	s.AskedAt = max(s.AskedAt, at)
	return s
}

// Version tells two states of the records apart.
func (s Snapshot) Version() uint64 { return s.version }

// Newest returns the greatest version of any record.
func (s Snapshot) Newest() port.Version { return port.Version(s.version / maxObjects) }

// HasMember reports whether the instance is listed and not about to be removed.
func (s Snapshot) HasMember(self Member) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool {
		return m.Name == self.Name && m.Incarnation == self.Incarnation && !m.Leaving
	})
}

// firstListed returns a version of the store at which the name was listed already; zero if it is not listed.
func (s Snapshot) firstListed(name string) port.Version {
	for _, m := range slices.Concat(s.Members, s.Stopped) {
		if m.Name == name {
			return m.firstListed()
		}
	}
	return 0
}

// HasIncarnation reports whether an instance of the incarnation is listed.
func (s Snapshot) HasIncarnation(incarnation string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Incarnation == incarnation })
}

// Find returns the object of the name.
func (s Snapshot) Find(name string) (port.Object, bool) {
	for _, o := range s.Objects {
		if o.Name == name {
			return o, true
		}
	}
	return port.Object{}, false
}
