package main

import (
	"sync"
	"time"
)

const (
	// entryLife is the time until the entry of a lost server is removed: three status reports of 1.2 s.
	entryLife = 3600 * time.Millisecond
	// startLead is the time between the start of the gateways and the first request.
	startLead = 10 * time.Second
	// startTraffic is how long clients send requests.
	startTraffic = 40 * time.Second
)

// startLoad sends writes and reads on each kind of route.
type startLoad struct {
	world *world
	until time.Duration

	mu     sync.Mutex
	sent   int
	served map[string]int
	codes  map[string]int
}

func (l *startLoad) run(g *gateway, database, text string) {
	rec := l.world.record
	for rec.now() < l.until {
		c, code := dial(g.front, database, "key-of-clinic")
		for c != nil && rec.now() < l.until && code != "lost" {
			id := newID()
			a := c.query(id, text, 3*time.Second)
			code = a.code
			rec.printf("client at %s on %s: %s %s: %q %s", g.name, database, id, text, a.code, a.text)
			l.mu.Lock()
			l.sent++
			if code == "" {
				l.served[database]++
			} else {
				l.codes[code]++
			}
			l.mu.Unlock()
			time.Sleep(250 * time.Millisecond)
		}
		if c != nil {
			c.close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// startCase starts gateways for the first time while the primary is lost.
func startCase(rec *record, program string, trouble bool) (int, error) {
	w, err := newWorld(rec, program, "kig-a", "kig-b", "kig-c")
	if err != nil {
		return 2, err
	}
	defer w.close()
	w.configure(7, tenant{Name: "clinic", Keys: []string{"key-of-clinic"}, Rate: 2000, Burst: 2000, Urgency: 1})
	if trouble {
		primary := w.group.servers["i-1"]
		primary.lose()
		rec.printf("the primary i-1 is lost")
		time.AfterFunc(entryLife, func() {
			w.store.unset("servers", "i-1")
			rec.printf("the entry of i-1 is removed")
		})
	}
	begun := rec.now()
	if err := w.startGateways("kig-a", "kig-b", "kig-c", "kig-d"); err != nil {
		return 2, err
	}
	time.Sleep(begun + startLead - rec.now())
	l := &startLoad{world: w, until: rec.now() + startTraffic, served: map[string]int{}, codes: map[string]int{}}
	var clients sync.WaitGroup
	for _, g := range w.gateways {
		clients.Go(func() { l.run(g, "orders", "WRITE 1a4 xkqpwnzd") })
		clients.Go(func() { l.run(g, "schedules", "READ 1a4") })
		clients.Go(func() { l.run(g, "stock", "READ 1a4") })
	}
	clients.Wait()
	rec.say("%d requests; served by database: %v; refused: %v", l.sent, l.served, l.codes)
	switch {
	case l.sent == 0:
		return 2, nil
	case len(l.served) == 0:
		rec.say("Fault: no request is served")
		return 1, nil
	default:
		return 0, nil
	}
}
