package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// orders are the writes of a caller and what other callers read of them, on a route of kind primary.
type orders struct {
	mu      sync.Mutex
	acked   []string
	reads   int
	missing map[string]int // reads that did not find an acknowledged order
}

// secondFailover has the primary crash twice while the replicas receive nothing. The first one comes back with its log.
func secondFailover(folder string) {
	w := newWorld(folder, 3)
	w.tenant("clinic", "key-of-clinic", 200, 200)
	w.configure(1)
	if err := w.startGateways(8, 4, 206, ""); err != nil {
		w.conclude(2, "%v", err)
	}
	o := &orders{missing: make(map[string]int)}
	go o.write(w, w.gateways[0])
	for i, g := range w.gateways {
		go o.read(w, fmt.Sprintf("reader-%d", i+1), g)
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		o.disrupt(w, w.groups[0])
	} else {
		time.Sleep(13 * time.Second)
	}
	time.Sleep(5 * time.Second)
	leader := w.groups[0].leader()
	if leader == nil {
		w.conclude(2, "the group has no primary at the end")
	}
	stale, items := 0, 0
	o.mu.Lock()
	defer o.mu.Unlock()
	for item, n := range o.missing {
		if leader.has(item) {
			stale, items = stale+n, items+1
		}
	}
	text := fmt.Sprintf("%d of %d reads on the primary route did not find an order that was acknowledged before and is in the log of the primary at the end (%d orders)",
		stale, o.reads, items)
	if stale > 0 {
		w.conclude(1, "STALE: %s", text)
	}
	w.conclude(0, "held: %s", text)
}

// disrupt takes 13 s.
func (o *orders) disrupt(w *world, g *group) {
	first := g.leader()
	for _, s := range g.servers {
		if s != first {
			s.setDeaf(true)
			time.AfterFunc(6500*time.Millisecond, func() { s.setDeaf(false) })
		}
	}
	time.Sleep(2500 * time.Millisecond)
	first.crash()
	time.Sleep(3400 * time.Millisecond)
	second := g.leader()
	if second != nil {
		second.crash()
		// Its entry lapses after three intervals of silence; the first one is back before that.
		time.AfterFunc(3600*time.Millisecond, func() { w.store.remove("servers", second.id) })
	}
	time.Sleep(100 * time.Millisecond)
	first.restart()
	time.Sleep(6900 * time.Millisecond)
	if second != nil {
		second.restart()
	}
}

func (o *orders) write(w *world, g *gateway) {
	for n := 0; ; {
		c, err := connect(w.record, "writer", "", g.clients(), "order0", "key-of-clinic")
		for err == nil {
			n++
			item := fmt.Sprintf("order-%d", n)
			var a answer
			if a, err = c.query("WRITE "+item+" tin", time.Second); err == nil && a.code == "" {
				o.mu.Lock()
				o.acked = append(o.acked, item)
				o.mu.Unlock()
			}
			time.Sleep(60 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (o *orders) read(w *world, name string, g *gateway) {
	for {
		c, err := connect(w.record, name, "", g.clients(), "order0", "key-of-clinic")
		for err == nil {
			o.mu.Lock()
			item := ""
			if n := len(o.acked); n > 0 {
				// One of the last 60 orders.
				item = o.acked[max(0, n-1-rand.IntN(60))]
			}
			o.mu.Unlock()
			var a answer
			if item != "" {
				a, err = c.query("READ "+item, time.Second)
			}
			if item != "" && err == nil && a.code == "" {
				o.mu.Lock()
				o.reads++
				if a.first == "" {
					o.missing[item]++
				}
				o.mu.Unlock()
			}
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
