package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// longList and shortList are the rows of the list with and without trouble, of 1,000 bytes each.
	longList  = 80_000
	shortList = 60
	// listReads is how often the list is read, each time at the next machine.
	listReads = 14
)

// largeResult has a caller read a list of many rows while other callers read single items.
func largeResult(folder string) {
	w := newWorld(folder, 3)
	w.tenant("clinic", "key-of-clinic", 72, 72)
	w.tenant("pharmacy", "key-of-pharmacy", 72, 72)
	w.configure(1)
	n := longList
	if !w.trouble {
		n = shortList
	}
	list, row := make([]string, n), strings.Repeat("x", 1000)
	for i := range list {
		list[i] = row
	}
	for _, g := range w.groups {
		g.tables["deliveries"] = func() []string { return list }
	}
	if err := w.startGateways(8, 4, 206, ""); err != nil {
		w.conclude(2, "%v", err)
	}
	callers := &pharmacies{world: w}
	for i, g := range w.gateways {
		go callers.run(fmt.Sprintf("pharmacy-%d", i+1), g, fmt.Sprintf("stock%d", i%3))
	}
	time.Sleep(2 * time.Second)
	served := 0
	for i := range listReads {
		g := w.gateways[i%len(w.gateways)]
		if c, err := connect(w.record, fmt.Sprintf("nurse-%d", i+1), "", g.clients(), "schedule0", "key-of-clinic"); err == nil {
			if a, err := c.query("READ deliveries", 3*time.Second); err == nil && a.code == "" && a.rows == n {
				served++
			}
			c.close()
		}
		time.Sleep(2500 * time.Millisecond)
	}
	machines := 0
	for _, g := range w.gateways {
		w.record.add("machine  %s: peak %.0f MB of %d, ended %d times by itself", g.name, g.peak(), g.memoryMB, g.ends())
		if g.ends() >= 3 {
			machines++
		}
	}
	text := fmt.Sprintf("lists served: %d of %d; machines whose process ended three times or more: %d of %d; requests of other callers without an answer: %d of %d",
		served, listReads, machines, len(w.gateways), callers.lost.Load(), callers.sent.Load())
	if machines >= 2 {
		w.conclude(1, "Fault: %s", text)
	}
	w.conclude(0, "held: %s", text)
}

// pharmacies are callers that read single items.
type pharmacies struct {
	world      *world
	sent, lost atomic.Int64
}

func (p *pharmacies) run(name string, g *gateway, database string) {
	for {
		c, err := connect(p.world.record, name, "", g.clients(), database, "key-of-pharmacy")
		for err == nil {
			p.sent.Add(1)
			if _, err = c.query("READ tin", time.Second); err != nil {
				p.lost.Add(1)
				c.close()
			}
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
