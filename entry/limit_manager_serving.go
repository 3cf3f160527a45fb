package entry

import (
	"context"
	"strings"
	"time"
)

const (
	// unusedRetention is how long an instance that does not serve a group keeps its share of the connections after the last
	// use. When a serving instance restarts, clients that were served here return within that time.
	unusedRetention = 60 * time.Second
	// unusedCheckInterval is how often unused shares are looked for.
	unusedCheckInterval = 5 * time.Second
)

// connectionUsage describes the use of connections to one server. The zero value stands for no use.
type connectionUsage struct {
	wanted int
	open   int
	// lastWanted is the last instant with a demand for connections. It is valid if used is true.
	lastWanted time.Duration
	used       bool
	// draining is true while open connections are being closed, before the share is returned to the ledger.
	draining bool
}

// SetServedGroups sets the groups that this instance serves. It keeps entries in the connection ledgers only of these groups
// and of other groups whose connections are in use here. Before the first call it keeps entries for all groups.
func (m *LimitManager) SetServedGroups(groups []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servedGroups = make(map[string]bool, len(groups))
	for _, name := range groups {
		m.servedGroups[name] = true
	}
	for name := range m.reconcilers {
		m.startOrStop(name)
	}
}

// isNeeded reports whether this instance should have an entry in the ledger of the limit.
func (m *LimitManager) isNeeded(name string) bool {
	server, ok := strings.CutPrefix(name, connectionsPrefix)
	if !ok || m.servedGroups == nil {
		return true
	}
	group, _, _ := strings.Cut(server, "/")
	u := m.usage[server]
	return m.servedGroups[group] || u.wanted > 0 || u.used && m.cfg.Timer.Now()-u.lastWanted < unusedRetention
}

// startOrStop starts the reconciler of a limit that is needed. If the limit is not needed, it stops the reconciler once no
// connections are open.
func (m *LimitManager) startOrStop(name string) {
	server, _ := strings.CutPrefix(name, connectionsPrefix)
	u := m.usage[server]
	_, running := m.cancels[name]
	switch {
	case m.isNeeded(name):
		if u.draining {
			u.draining = false
			m.usage[server] = u
		}
		if !running && m.ctx != nil {
			m.start(name)
		}
	case running && u.open > 0:
		u.draining = true
		m.usage[server] = u
	case running:
		m.stop(name)
	}
}

// reconcilerRun is one run of a reconciler. done is closed at its end.
type reconcilerRun struct {
	reconciler *reconciler
	previous   *reconcilerRun
	done       chan struct{}
}

// start runs the reconciler of the limit until stop is called or Run ends.
func (m *LimitManager) start(name string) {
	ctx, cancel := context.WithCancel(m.ctx)
	r := &reconcilerRun{reconciler: m.reconcilers[name], previous: m.runs[name], done: make(chan struct{})}
	m.cancels[name], m.runs[name] = cancel, r
	m.wg.Go(func() { r.run(ctx) })
}

// run starts after the previous run has returned its share, and continues its lease numbers. Other holders would consider
// an entry with a number that they have seen before as not renewed.
func (r *reconcilerRun) run(ctx context.Context) {
	defer close(r.done)
	if r.previous != nil {
		<-r.previous.done
		r.reconciler.lastLease = r.previous.reconciler.lastLease
		r.previous = nil
	}
	r.reconciler.run(ctx)
}

// stop ends the reconciler, which then returns its share, and replaces it with a new one that has no share.
func (m *LimitManager) stop(name string) {
	m.cancels[name]()
	delete(m.cancels, name)
	server, _ := strings.CutPrefix(name, connectionsPrefix)
	delete(m.usage, server)
	m.reconcilers[name] = newReconciler(m.cfg, m.reconcilers[name].currentLimit())
}

// updateUsage changes the recorded usage of a server's connections, and starts or stops the reconciler accordingly.
func (m *LimitManager) updateUsage(server string, change func(connectionUsage) connectionUsage) (*reconciler, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := connectionsPrefix + server
	if _, ok := m.reconcilers[name]; !ok {
		return nil, false
	}
	m.usage[server] = change(m.usage[server])
	m.startOrStop(name)
	return m.reconcilers[name], true
}

// stopUnused stops the reconcilers that are no longer needed.
func (m *LimitManager) stopUnused() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.reconcilers {
		m.startOrStop(name)
	}
}
