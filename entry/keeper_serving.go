package entry

import (
	"context"
	"strings"
	"time"
)

const (
	// unusedTime is how long an instance that does not serve a group keeps its part of the connections after the last
	// use. Callers that were served here come back within that time when a serving instance is restarted.
	unusedTime = 60 * time.Second
	// unusedPeriod is how often unused parts are looked for.
	unusedPeriod = 5 * time.Second
)

// connectionUse is the use of the connections to one server of a group. The zero value is no use.
type connectionUse struct {
	wanted int
	open   int
	// wantedAt is when connections were wanted last.
	wantedAt time.Duration
	used     bool
	// retiring is true while the connections are closed, before the ledger's entry is given back.
	retiring bool
}

// SetServedGroups tells the groups that this instance serves. Only for these, and for those whose callers it serves all the
// same, it holds entries in the connection ledgers. Before the first call it holds entries for all groups.
func (k *LimitManager) SetServedGroups(groups []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.served = make(map[string]bool, len(groups))
	for _, name := range groups {
		k.served[name] = true
	}
	for name := range k.accounts {
		k.adjust(name)
	}
}

// isNeeded reports whether an entry in the ledger of the limit is held.
func (k *LimitManager) isNeeded(name string) bool {
	server, ok := strings.CutPrefix(name, connectionsPrefix)
	if !ok || k.served == nil {
		return true
	}
	group, _, _ := strings.Cut(server, "/")
	use := k.uses[server]
	return k.served[group] || use.wanted > 0 || use.used && k.cfg.Timer.Now()-use.wantedAt < unusedTime
}

// adjust starts the account of a limit that is needed, and retires that of one which is not.
func (k *LimitManager) adjust(name string) {
	server, _ := strings.CutPrefix(name, connectionsPrefix)
	use := k.uses[server]
	_, running := k.stops[name]
	switch {
	case k.isNeeded(name):
		if use.retiring {
			use.retiring = false
			k.uses[server] = use
		}
		if !running && k.ctx != nil {
			k.start(name)
		}
	case running && use.open > 0:
		use.retiring = true
		k.uses[server] = use
	case running:
		k.stop(name)
	}
}

// accountRun is a run of an account. done is closed at its end.
type accountRun struct {
	account *account
	before  *accountRun
	done    chan struct{}
}

// start runs the account of the limit until stop or the end of Run.
func (k *LimitManager) start(name string) {
	ctx, cancel := context.WithCancel(k.ctx)
	r := &accountRun{account: k.accounts[name], before: k.runs[name], done: make(chan struct{})}
	k.stops[name], k.runs[name] = cancel, r
	k.running.Go(func() { r.run(ctx) })
}

// run runs the account after an earlier one has given its share back. The lease numbers go on, because other holders
// take an entry whose number they have seen before for one that is not renewed.
func (r *accountRun) run(ctx context.Context) {
	defer close(r.done)
	if r.before != nil {
		<-r.before.done
		r.account.lease = r.before.account.lease
		r.before = nil
	}
	r.account.run(ctx)
}

// stop ends the account, which gives its share back, and puts one without a share in its place.
func (k *LimitManager) stop(name string) {
	k.stops[name]()
	delete(k.stops, name)
	server, _ := strings.CutPrefix(name, connectionsPrefix)
	delete(k.uses, server)
	k.accounts[name] = newAccount(k.cfg, k.accounts[name].currentLimit())
}

// note keeps the use of a server's connections, and starts or retires its account accordingly.
func (k *LimitManager) note(server string, change func(connectionUse) connectionUse) (*account, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	name := connectionsPrefix + server
	if _, ok := k.accounts[name]; !ok {
		return nil, false
	}
	k.uses[server] = change(k.uses[server])
	k.adjust(name)
	return k.accounts[name], true
}

// retireUnused retires the accounts that nobody used for the time.
func (k *LimitManager) retireUnused() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.accounts {
		k.adjust(name)
	}
}
