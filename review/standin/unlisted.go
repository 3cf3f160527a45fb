package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["unlisted"] = runUnlisted }

// runUnlisted runs a service with one synchronous replica. i-c receives nothing for a while; i-b, which receives
// everything, is cut off from the store until its entry has expired; then the primary crashes. Rule LOST: an acknowledged
// commit is in the log of the server that is promoted.
func runUnlisted(rec *recorder, root string, trouble bool) (string, error) {
	w, err := newWorld(rec, root, 1)
	if err != nil {
		return "", err
	}
	defer w.close()
	for _, zone := range []string{"kig-a", "kig-b", "kig-c"} {
		if _, err := w.addGateway(zone); err != nil {
			return "", err
		}
	}
	var mu sync.Mutex
	var lacking []string
	promoted := ""
	ws := newWriters(w)
	w.store.promote = func(_, id, holder string, epoch uint64) int {
		status := w.group.promote(id, func(s *server) {
			mu.Lock()
			defer mu.Unlock()
			ws.mu.Lock()
			defer ws.mu.Unlock()
			promoted = s.id
			for _, a := range ws.attempts {
				if a.success && !s.holdsID(a.id) {
					lacking = append(lacking, a.id)
				}
			}
		})
		rec.add("platform: promotion of %s by %s, epoch %d: %d", id, w.holder(holder).name, epoch, status)
		return status
	}
	if err := w.awaitReady(); err != nil {
		return "", err
	}
	for _, g := range w.gateways {
		ws.start(g, w.keys["clinic"][0])
	}
	time.Sleep(3 * time.Second)
	if trouble {
		b, c := w.server("i-b"), w.server("i-c")
		w.group.mu.Lock()
		b.cutStore, c.deaf = true, true
		w.group.mu.Unlock()
		rec.add("trouble: i-c receives nothing; i-b is cut off from the store, not from the instances")
		cut := time.Now()
		time.Sleep(4 * time.Second)
		rec.add("trouble: the primary i-a crashes")
		w.server("i-a").crash()
		time.Sleep(time.Until(cut.Add(5 * time.Second)))
		w.group.mu.Lock()
		b.cutStore = false
		w.group.mu.Unlock()
		rec.add("trouble: i-b reaches the store again")
		time.Sleep(time.Until(cut.Add(6 * time.Second)))
		w.group.mu.Lock()
		c.deaf = false
		w.group.mu.Unlock()
		rec.add("trouble: i-c receives again")
	}
	time.Sleep(10 * time.Second)
	attempts := ws.stop()
	ws.record(attempts)
	mu.Lock()
	defer mu.Unlock()
	if trouble && promoted == "" {
		return "", fmt.Errorf("nothing was promoted")
	}
	for _, id := range lacking {
		rec.add("write %s was acknowledged and is not in the log of %s, which is promoted", id, promoted)
	}
	if len(lacking) > 0 {
		return fmt.Sprintf("LOST: %d acknowledged commits are not in the log of %s, which was promoted", len(lacking), promoted), nil
	}
	return "", nil
}
