package main

import (
	"sync"
	"time"
)

const (
	// drainTime is the bound drain_ms of the settings.
	drainTime = 7 * time.Second
	// deepLength is how long clients send requests after the server has reported that it drains.
	deepLength = 16 * time.Second
	// deepLevels is the nesting of the foreign entry.
	deepLevels = 10001
)

// deepLoad sends reads that replicas may serve.
type deepLoad struct {
	world *world
	until time.Duration

	mu   sync.Mutex
	sent int
	ok   int
}

func (l *deepLoad) run(g *gateway) {
	rec := l.world.record
	for rec.now() < l.until {
		c, code := dial(g.front, "schedules", "key-of-clinic")
		for c != nil && rec.now() < l.until && code != "lost" {
			id := newID()
			a := c.query(id, "READ 1a4", 3*time.Second)
			code = a.code
			rec.printf("client at %s: %s READ 1a4: %q %s", g.name, id, a.code, a.text)
			l.mu.Lock()
			l.sent++
			if code == "" {
				l.ok++
			}
			l.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		}
		if c != nil {
			c.close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// deepCase lets a replica drain while the store has an entry of another writer whose bytes cannot be read.
func deepCase(rec *record, program string, trouble bool) (int, error) {
	w, err := newWorld(rec, program, "kig-a", "kig-b", "kig-c")
	if err != nil {
		return 2, err
	}
	defer w.close()
	w.configure(7, tenant{Name: "clinic", Keys: []string{"key-of-clinic"}, Rate: 2000, Burst: 2000, Urgency: 1})
	if err := w.startGateways("kig-a", "kig-b", "kig-c", "kig-d"); err != nil {
		return 2, err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.store.set("servers", "notes", map[string]any{"service": w.group.name, "notes": nestedMark})
		rec.say("the entry of another writer is stored")
	}
	time.Sleep(2 * time.Second)
	s := w.group.servers["i-3"]
	w.listAs(s, "draining")
	acknowledged := rec.now()
	rec.say("i-3 is draining, acknowledged at %.3f", acknowledged.Seconds())
	l := &deepLoad{world: w, until: acknowledged + deepLength}
	var clients sync.WaitGroup
	for _, g := range w.gateways {
		for range 3 {
			clients.Go(func() { l.run(g) })
		}
	}
	clients.Wait()
	late, before := 0, 0
	w.mu.Lock()
	for _, r := range w.runs {
		if r.server == "i-3" && r.at > acknowledged+drainTime {
			late++
		} else if r.server == "i-3" {
			before++
		}
	}
	w.mu.Unlock()
	rec.say("%d reads, %d served; at i-3 %d before the end of drain_ms and %d later", l.sent, l.ok, before, late)
	switch {
	case l.ok == 0:
		return 2, nil
	case late > 0:
		rec.say("DRAIN: requests reach a server later than drain_ms after the acknowledgement")
		return 1, nil
	default:
		return 0, nil
	}
}
