package proxy

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

const (
	// ownerExclusionTime is how long an owner that could not be reached, or that lends nothing, is passed over. It is above the
	// time in which a process that was killed is started again.
	ownerExclusionTime = 2 * time.Second
	// pathExclusionTime is how long an owner is passed over for one server that it does not reach.
	pathExclusionTime = 2 * time.Second
	// ownerConnectionFraction is the part of a server's connections that the owner of its pool may hold. The rest lets another owner take
	// over while the server still counts the connections of the first one, and others try by themselves.
	ownerConnectionFraction = 0.75
)

// poolMembers are the instances among which the owners of pools are chosen.
type poolMembers struct {
	all   []Member
	hosts []dispatch.Host
	// version tells two states of the records apart.
	version uint64
}

// newPoolMembers leaves out the instances that are about to be removed.
func newPoolMembers(s Snapshot) poolMembers {
	m := poolMembers{version: s.Version()}
	for _, one := range s.Members {
		if one.Leaving {
			continue
		}
		m.all = append(m.all, one)
		m.hosts = append(m.hosts, dispatch.Host{Name: one.Name, DataCentre: one.DataCentre, Weight: one.Weight})
	}
	return m
}

// exclusions holds until when something is passed over. The zero value holds nothing.
type exclusions map[string]time.Duration

// with returns the failures with another one; those that are over are left out.
func (f exclusions) with(name string, now, until time.Duration) exclusions {
	next := make(exclusions, len(f)+1)
	for other, end := range f {
		if end > now {
			next[other] = end
		}
	}
	next[name] = until
	return next
}

func (f exclusions) has(name string, now time.Duration) bool { return now < f[name] }

// ownership is how this instance reaches the pool of one server. An ownership is never changed in place; the zero value
// knows no owner.
type ownership struct {
	owners  []Member
	version uint64
	// failed holds the incarnations of owners that did not reach the server.
	failed exclusions
}

// withMembers returns the ownership by the newest members.
func (o ownership) withMembers(m poolMembers, l dispatch.Listing) ownership {
	if o.version == m.version && o.owners != nil {
		return o
	}
	o.version, o.owners = m.version, make([]Member, 0, len(m.all))
	for _, i := range dispatch.Owners(l, m.hosts) {
		o.owners = append(o.owners, m.all[i])
	}
	return o
}

// withFailure returns the ownership after the owner did not reach the server.
func (o ownership) withFailure(incarnation string, now time.Duration) ownership {
	o.failed = o.failed.with(incarnation, now, now+pathExclusionTime)
	return o
}

// remoteOwner returns the first owner that does not fail. There is none when this instance is that owner, or when all fail: it
// then tries by itself.
func (o ownership) remoteOwner(self string, silent exclusions, now time.Duration) (owner Member, found bool) {
	for _, m := range o.owners {
		switch {
		case o.failed.has(m.Incarnation, now):
		case m.Incarnation == self:
			return Member{}, false
		case !silent.has(m.Incarnation, now):
			return m, true
		}
	}
	return Member{}, false
}

// connectionFraction returns the part of the server's connections that this instance may hold, if n instances share what the first owner
// leaves. The first owner that does not fail holds the greater part.
func (o ownership) connectionFraction(self string, silent exclusions, now time.Duration, n int) float64 {
	if owner, found := o.remoteOwner(self, silent, now); !found || owner.Incarnation == self {
		if len(o.owners) == 0 || o.isOwner(self) {
			return ownerConnectionFraction
		}
	}
	if o.isOwner(self) {
		return (1 - ownerConnectionFraction) / 2
	}
	return (1 - ownerConnectionFraction) / 2 / float64(max(n, 1))
}

func (o ownership) isOwner(self string) bool {
	return slices.ContainsFunc(o.owners, func(m Member) bool { return m.Incarnation == self })
}
