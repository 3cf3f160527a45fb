package main

import (
	"sync"
	"syscall"
	"time"
)

// The tenant of the case, and the bounds of the settings.
const (
	quotaRate   = 4.0
	quotaBurst  = 4.0
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20.0
	// quotaLength is how long the tenant asks for more than its limit.
	quotaLength = 9 * time.Second
)

// quotaKills are the times, from the beginning of the load, at which all gateways are killed.
var quotaKills = []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond, 3800 * time.Millisecond}

// quotaLoad sends reads of one tenant as fast as they are answered.
type quotaLoad struct {
	world *world
	until time.Duration

	mu   sync.Mutex
	sent map[string]time.Duration
}

func (l *quotaLoad) run(g *gateway) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	rec := l.world.record
	for rec.now() < l.until {
		if c == nil {
			if c, _ = dial(g.front, "schedules", "key-of-clinic"); c == nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		id := newID()
		l.mu.Lock()
		l.sent[id] = rec.now()
		l.mu.Unlock()
		a := c.query(id, "READ 1a4", 3*time.Second)
		switch a.code {
		case "":
			rec.printf("client at %s: %s answered", g.name, id)
		case "lost":
			rec.printf("client at %s: %s lost", g.name, id)
			c.close()
			c = nil
		default:
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// quotaCase kills all gateways three times within one window while a small tenant sends more than its limit.
func quotaCase(rec *record, program string, trouble bool) (int, error) {
	w, err := newWorld(rec, program, "kig-a", "kig-b", "kig-c")
	if err != nil {
		return 2, err
	}
	defer w.close()
	w.configure(7, tenant{Name: "clinic", Keys: []string{"key-of-clinic"}, Rate: quotaRate, Burst: quotaBurst, Urgency: 1})
	if err := w.startGateways("kig-a", "kig-b", "kig-c", "kig-d"); err != nil {
		return 2, err
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(8 * time.Second)
	start := rec.now()
	load := &quotaLoad{world: w, until: start + quotaLength, sent: map[string]time.Duration{}}
	var clients sync.WaitGroup
	for _, g := range w.gateways {
		for range 2 {
			clients.Go(func() { load.run(g) })
		}
	}
	for _, at := range quotaKills {
		if !trouble {
			break
		}
		time.Sleep(start + at - rec.now())
		for _, g := range w.gateways {
			g.signal(syscall.SIGKILL)
		}
	}
	clients.Wait()
	return load.judge(), nil
}

// judge counts the requests that were both sent and run in each window.
func (l *quotaLoad) judge() int {
	w, rec := l.world, l.world.record
	w.mu.Lock()
	defer w.mu.Unlock()
	type request struct{ sent, ran time.Duration }
	first := map[string]request{}
	for _, r := range w.runs {
		sent, found := l.sent[r.id]
		if _, seen := first[r.id]; found && !seen {
			first[r.id] = request{sent, r.at}
		}
	}
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	most, at := 0, time.Duration(0)
	for _, from := range first {
		n := 0
		for _, r := range first {
			if r.sent >= from.sent && r.ran <= from.sent+quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, from.sent
		}
	}
	rec.say("at most %d requests of the tenant were sent and run in %s (from %.3f s); the limit is %.1f; %d ran in all",
		most, quotaWindow, at.Seconds(), limit, len(first))
	if len(first) == 0 {
		return 2
	}
	if float64(most) > limit {
		rec.say("QUOTA is broken")
		return 1
	}
	return 0
}
