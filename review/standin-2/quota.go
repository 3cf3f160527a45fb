package main

import (
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	// The tenant's limit, and the window and tolerance of the settings.
	quotaRate, quotaBurst  = 1.5, 35.0
	quotaWindow            = 5 * time.Second
	quotaOver, quotaSlack  = 0.1, 20.0
	quotaKills             = 3
	quotaKillGap           = 1600 * time.Millisecond
	quotaCallersPerMachine = 6
)

// quota kills all processes three times while a tenant asks for more than its limit.
func quota(folder string) {
	w := newWorld(folder, 3)
	w.tenant("clinic", "key-of-clinic", 72, 72)
	w.tenant("pharmacy", "key-of-pharmacy", quotaRate, quotaBurst)
	w.configure(1)
	o := &operations{sent: make(map[string]time.Time), ran: make(map[string]time.Time)}
	w.record.onRun = o.observe
	if err := w.startGateways(8, 4, 206, ""); err != nil {
		w.conclude(2, "%v", err)
	}
	// Callers of another tenant, for as long as the pharmacy's bucket needs to fill.
	for i, g := range w.gateways {
		go clinic(w, fmt.Sprintf("clinic-%d", i+1), g, fmt.Sprintf("schedule%d", i%3))
	}
	time.Sleep(25 * time.Second)
	for i, g := range w.gateways {
		for k := range quotaCallersPerMachine {
			go o.run(w, fmt.Sprintf("pharmacy-%d-%d", i+1, k+1), g, fmt.Sprintf("stock%d", k%3))
		}
	}
	time.Sleep(200 * time.Millisecond)
	for range quotaKills {
		if w.trouble {
			for _, g := range w.gateways {
				g.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(quotaKillGap)
	}
	time.Sleep(4 * time.Second)
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	most := o.mostInWindow()
	text := fmt.Sprintf("at most %d operations were sent and run within %s, the limit is %.2f", most, quotaWindow, limit)
	if float64(most) > limit {
		w.conclude(1, "QUOTA: %s", text)
	}
	w.conclude(0, "held: %s", text)
}

func clinic(w *world, name string, g *gateway, database string) {
	for {
		c, err := connect(w.record, name, "", g.clients(), database, "key-of-clinic")
		for err == nil {
			_, err = c.query("READ family", time.Second)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// operations are the pharmacy's single reads, each of which is an operation.
type operations struct {
	mu        sync.Mutex
	sent, ran map[string]time.Time
}

func (o *operations) observe(tenant, id string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, found := o.ran[id]; !found && tenant == "pharmacy" {
		o.ran[id] = at
	}
}

func (o *operations) run(w *world, name string, g *gateway, database string) {
	for {
		c, err := connect(w.record, name, "", g.clients(), database, "key-of-pharmacy")
		for err == nil {
			id := newID()
			o.mu.Lock()
			o.sent[id] = time.Now()
			o.mu.Unlock()
			if _, err = c.queryWithID(id, "READ tin", 2*time.Second); err != nil {
				c.close()
			}
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// mostInWindow returns how many operations were both sent and run within one window.
func (o *operations) mostInWindow() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	type operation struct{ sent, ran time.Time }
	var all []operation
	for id, at := range o.ran {
		all = append(all, operation{o.sent[id], at})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
	most := 0
	for i := range all {
		n, end := 0, all[i].sent.Add(quotaWindow)
		for _, other := range all[i:] {
			if other.ran.Before(end) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
