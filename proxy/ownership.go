package proxy

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

const (
	// ownerExclusionTime is how long an owner that could not be reached, or that lends no connections, is excluded. It
	// is longer than the restart of a killed process takes.
	ownerExclusionTime = 2 * time.Second
	// pathExclusionTime is how long an owner is excluded for a server that it does not reach.
	pathExclusionTime = 2 * time.Second
	// ownerConnectionFraction is the fraction of a server's connections that the owner of its pool may hold. The
	// remainder lets another owner take over while the server still counts the first one's connections, and lets other
	// instances connect directly.
	ownerConnectionFraction = 0.75
)

// poolMembers are the instances that may own connection pools.
type poolMembers struct {
	all   []Member
	hosts []dispatch.Host
	// version identifies the state of the records.
	version uint64
}

// newPoolMembers returns the members that are not leaving.
func newPoolMembers(s Snapshot) poolMembers {
	m := poolMembers{version: s.Version()}
	for _, member := range s.Members {
		if member.Leaving {
			continue
		}
		m.all = append(m.all, member)
		m.hosts = append(m.hosts, dispatch.Host{Name: member.Name, DataCentre: member.DataCentre, Weight: member.Weight})
	}
	return m
}

// owners returns the owners of each server's pool.
func (m poolMembers) owners(servers map[string]*serverState) map[string][]Member {
	pools := make([]dispatch.PoolServer, 0, len(servers))
	for name, s := range servers {
		pools = append(pools, dispatch.PoolServer{Name: name, DataCentre: s.server.Listing.DataCentre})
	}
	owners := make(map[string][]Member, len(servers))
	for name, indices := range dispatch.Owners(pools, m.hosts) {
		for _, i := range indices {
			owners[name] = append(owners[name], m.all[i])
		}
	}
	return owners
}

// exclusions maps an excluded name to the end of its exclusion. The zero value is empty.
type exclusions map[string]time.Duration

// with returns a copy with another exclusion and without the expired ones.
func (e exclusions) with(name string, now, until time.Duration) exclusions {
	next := make(exclusions, len(e)+1)
	for other, end := range e {
		if end > now {
			next[other] = end
		}
	}
	next[name] = until
	return next
}

func (e exclusions) has(name string, now time.Duration) bool { return now < e[name] }

// ownership holds the owners of one server's pool. It is immutable; the zero value has no owners.
type ownership struct {
	owners []Member
	// failed holds the incarnations of owners that did not reach the server.
	failed exclusions
}

// withOwners returns the ownership with other owners.
func (o ownership) withOwners(owners []Member) ownership {
	o.owners = owners
	return o
}

// withFailure returns the ownership after the owner failed to reach the server.
func (o ownership) withFailure(incarnation string, now time.Duration) ownership {
	o.failed = o.failed.with(incarnation, now, now+pathExclusionTime)
	return o
}

// remoteOwner returns the first owner that is not excluded. It returns false if that owner is this instance, or if all
// owners are excluded; this instance then connects directly.
func (o ownership) remoteOwner(self string, unreachable exclusions, now time.Duration) (owner Member, found bool) {
	for _, m := range o.owners {
		switch {
		case o.failed.has(m.Incarnation, now):
		case m.Incarnation == self:
			return Member{}, false
		case !unreachable.has(m.Incarnation, now):
			return m, true
		}
	}
	return Member{}, false
}

// connectionFraction returns the fraction of the server's connections that this instance may hold. The first owner that
// is not excluded may hold ownerConnectionFraction and each other owner half of the remainder. The n instances share
// the other half. An instance that connects directly because no owner is known, or an owner that does so because all
// are excluded, may also hold ownerConnectionFraction.
func (o ownership) connectionFraction(self string, unreachable exclusions, now time.Duration, n int) float64 {
	if owner, found := o.remoteOwner(self, unreachable, now); !found || owner.Incarnation == self {
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
