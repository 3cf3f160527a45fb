package proxy_test

import (
	"maps"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// cutFromPeers cuts instances off from the store and from all other instances, but not from servers and clients.
func (w *cluster) cutFromPeers(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.cutPeers[name] = true
	}
}

func (w *cluster) healPeers() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cutPeers)
}

// firstOwner returns the instance through which the others reach a server.
func (w *cluster) firstOwner(server string) string {
	state := w.instance(w.names()[0]).state
	records, _ := state.Records()
	var hosts []dispatch.Host
	for _, m := range records.Members {
		hosts = append(hosts, dispatch.Host{Name: m.Name, DataCentre: m.DataCentre, Weight: m.Weight})
	}
	var pools []dispatch.PoolServer
	servers, _ := state.Servers()
	for _, l := range servers {
		pools = append(pools, dispatch.PoolServer{Name: l.Name, DataCentre: l.DataCentre})
	}
	return hosts[dispatch.Owners(pools, hosts)[server][0]].Name
}

// crash ends a server's process: it is down, and all connections to it are lost.
func (w *cluster) crash(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[server].down = true
	for _, c := range w.servers[server].open {
		close(c.lost)
	}
	w.servers[server].open = nil
}

// listRestarted lists a server's new process, which is cold, and lets all instances learn of it as from a watch.
func (w *cluster) listRestarted(server string) {
	l, version := w.listRestartedInStore(server)
	w.mu.Lock()
	instances := maps.Clone(w.instances)
	w.mu.Unlock()
	for _, i := range instances {
		i.state.ApplyServerChanges([]proxy.ListingChange{proxy.ListingUpdated{Listing: l}}, version)
	}
}

// listRestartedInStore lists a server's new process, which is cold. The instances learn of it when they read the list.
func (w *cluster) listRestartedInStore(server string) (dispatch.Listing, port.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.listed[server]
	l.Incarnation++
	l.Cold = true
	w.version++
	w.listed[server], w.listedVersion = l, w.version
	return l, w.version
}
