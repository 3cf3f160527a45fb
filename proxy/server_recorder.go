package proxy

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

const (
	// serversRecordDelay is how long a change to a group's servers must last before it is recorded, and
	// serversRecordRankDelay the additional delay per rank, in case the instances ranked before do not record it.
	serversRecordDelay     = 500 * time.Millisecond
	serversRecordRankDelay = time.Second
	// formerServerRetention is how long a server that is no longer listed is taken into account. The platform removes the
	// entry of a server that is silent for a few seconds; a partition from the store rarely lasts a minute.
	formerServerRetention = time.Minute
)

// serverRecorder keeps the servers of groups with synchronous replicas in the groups' records. Its fields are owned by
// Promoter.loop. Use newServerRecorder.
type serverRecorder struct {
	promoter *Promoter
	// outdatedSince holds when the record of a group was first seen to differ from the list.
	outdatedSince map[string]time.Duration
	// unlistedSince holds, for each group, when a recorded server was first seen to be missing from the list.
	unlistedSince map[string]map[string]time.Duration
}

func newServerRecorder(p *Promoter) serverRecorder {
	return serverRecorder{
		promoter: p, outdatedSince: make(map[string]time.Duration), unlistedSince: make(map[string]map[string]time.Duration),
	}
}

// update writes the group's servers to its record if they have changed.
func (r *serverRecorder) update(ctx context.Context, s Snapshot, g document.Group, stored StoredPrimacy) {
	known := r.known(g, stored.Record)
	if slices.Equal(known, stored.Record.Servers) {
		delete(r.outdatedSince, g.Name)
		return
	}
	p := r.promoter
	now := p.cfg.Timer.Now()
	since, seen := r.outdatedSince[g.Name]
	if !seen {
		r.outdatedSince[g.Name], since = now, now
	}
	if now-since < serversRecordDelay+time.Duration(p.rank(s))*serversRecordRankDelay {
		return
	}
	delete(r.outdatedSince, g.Name)
	step := PromotionStep{Group: g.Name, Step: "servers recorded", Server: strings.Join(serverNames(known), " ")}
	if _, err := p.putRecord(ctx, stored.Record.WithServers(known), stored.Version); err != nil {
		step.Step, step.Reason = "servers not recorded", err.Error()
	}
	p.cfg.Recorder.Record(step)
	// After a failure, the next regular read supplies the record.
	_ = p.cfg.Readers.ReadRecords(ctx)
}

// known returns the servers that the group's record should have.
func (r *serverRecorder) known(g document.Group, record primacy.Record) []primacy.Server {
	if g.SynchronousReplicas == 0 {
		return nil
	}
	p := r.promoter
	all, _ := p.cfg.State.Servers()
	addresses := make(map[string]bool, len(all))
	for _, l := range all {
		addresses[l.Address] = true
	}
	var listed []primacy.Server
	for _, l := range p.listedServers(g.Name) {
		listed = append(listed, primacy.Server{Name: l.Name, Address: l.Address, DataCentre: l.DataCentre})
	}
	now, before, unlisted := p.cfg.Timer.Now(), r.unlistedSince[g.Name], make(map[string]time.Duration)
	known := primacy.KnownServers(record.Servers, listed, func(s primacy.Server) bool {
		since, seen := before[s.Name]
		if !seen {
			since = now
		}
		unlisted[s.Name] = since
		// The address of a server that is gone is used again.
		return addresses[s.Address] || now-since >= formerServerRetention
	})
	r.unlistedSince[g.Name] = unlisted
	return known
}

func serverNames(servers []primacy.Server) []string {
	names := make([]string, 0, len(servers))
	for _, s := range servers {
		names = append(names, s.Name)
	}
	return names
}

// knownServer is a server of a group that is listed, or that the group's record names.
type knownServer struct {
	dispatch.Listing
	isUnlisted bool
}

// knownServers returns the listed and the recorded servers of the record's group, sorted by name.
func (p *Promoter) knownServers(r primacy.Record) []knownServer {
	known := make(map[string]knownServer)
	for _, s := range r.Servers {
		l := dispatch.Listing{Name: s.Name, Group: r.Group, Address: s.Address, DataCentre: s.DataCentre}
		known[s.Name] = knownServer{Listing: l, isUnlisted: true}
	}
	for _, l := range p.listedServers(r.Group) {
		known[l.Name] = knownServer{Listing: l}
	}
	return slices.SortedFunc(maps.Values(known), func(a, b knownServer) int { return strings.Compare(a.Name, b.Name) })
}

// knownServer returns one of the knownServers.
func (p *Promoter) knownServer(r primacy.Record, name string) (dispatch.Listing, bool) {
	for _, s := range p.knownServers(r) {
		if s.Name == name {
			return s.Listing, true
		}
	}
	return dispatch.Listing{}, false
}

// listedServers returns the listed servers of the group, sorted by name.
func (p *Promoter) listedServers(groupName string) []dispatch.Listing {
	all, _ := p.cfg.State.Servers()
	var inGroup []dispatch.Listing
	for _, l := range all {
		if l.Group == groupName {
			inGroup = append(inGroup, l)
		}
	}
	slices.SortFunc(inGroup, func(a, b dispatch.Listing) int { return strings.Compare(a.Name, b.Name) })
	return inGroup
}
