package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// cutTime is how long the primary is cut off.
	cutTime = 6500 * time.Millisecond
	// newMachineAfter is when the machine that replaces the lost one comes.
	newMachineAfter = 4 * time.Second
	// thawSlack is bounds.thaw_slack_ms: a commit this soon after the end of the cut is not counted.
	thawSlack = 300 * time.Millisecond
)

func init() { cases["withdrawn"] = runWithdrawn }

// runWithdrawn cuts the primary off from the instances and the replicas, and removes the machine of the promoter for good
// as soon as that has made its promotion call. Rule ONE: no write is committed at the old primary and acknowledged after
// the promote has taken effect.
func runWithdrawn(rec *recorder, root string, trouble bool) (string, error) {
	w, err := newWorld(rec, root, 0)
	if err != nil {
		return "", err
	}
	defer w.close()
	for _, zone := range []string{"kig-a", "kig-b", "kig-c", "kig-d"} {
		if _, err := w.addGateway(zone); err != nil {
			return "", err
		}
	}
	var mu sync.Mutex
	var led time.Time
	leader := ""
	lost := make(chan struct{}, 1)
	w.store.promote = func(_, id, holder string, epoch uint64) int {
		g := w.holder(holder)
		status := w.group.promote(id, func(s *server) {
			mu.Lock()
			defer mu.Unlock()
			led, leader = time.Now(), s.id
		})
		rec.add("platform: promotion of %s by %s, epoch %d: %d", id, g.name, epoch, status)
		mu.Lock()
		defer mu.Unlock()
		if trouble && lost != nil {
			g.signal(syscall.SIGKILL)
			rec.add("trouble: the machine of %s is removed for good", g.name)
			lost <- struct{}{}
			lost = nil
		}
		return status
	}
	if err := w.awaitReady(); err != nil {
		return "", err
	}
	ws := newWriters(w)
	for _, g := range w.gateways {
		ws.start(g, w.keys["clinic"][0])
		ws.start(g, w.keys["clinic"][0])
	}
	time.Sleep(3 * time.Second)
	old := w.server("i-a")
	if trouble {
		removed := lost
		go func() {
			<-removed
			time.Sleep(newMachineAfter)
			g, err := w.addGateway("kig-a")
			rec.add("trouble: the new machine %s starts: %v", g.name, err)
		}()
		rec.add("trouble: the primary i-a is cut off from the instances and from its replicas")
		w.group.mu.Lock()
		old.cutServers = true
		w.group.mu.Unlock()
		old.setCutNodes(true)
		time.Sleep(cutTime)
		w.group.mu.Lock()
		old.cutServers = false
		w.group.mu.Unlock()
		old.setCutNodes(false)
		rec.add("trouble: the cut of i-a has ended")
	}
	healed := time.Now()
	time.Sleep(20 * time.Second)
	attempts := ws.stop()
	ws.record(attempts)
	mu.Lock()
	defer mu.Unlock()
	n, of := successes(attempts, healed.Add(12*time.Second), time.Now())
	rec.add("of the writes sent later than 12 s after the end of the cut, %d of %d succeeded", n, of)
	if led.IsZero() {
		if trouble {
			return "", fmt.Errorf("nothing was promoted")
		}
		return "", nil
	}
	stale, gone := 0, 0
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	for _, a := range attempts {
		if !a.success {
			continue
		}
		if a.server == old.id && a.ran.After(led) && a.ran.After(healed.Add(thawSlack)) {
			stale++
			if !w.serverLocked(leader).holdsID(a.id) {
				gone++
			}
			rec.add("write %s was committed at the old primary %.3f s after %s began to lead, and acknowledged", a.id, a.ran.Sub(led).Seconds(), leader)
		}
	}
	if stale > 0 {
		return fmt.Sprintf("ONE: %d writes were committed at the old primary after the promote had taken effect, and acknowledged; %d of them are lost; "+
			"of the writes sent later than 12 s after the cut, %d of %d succeeded", stale, gone, n, of), nil
	}
	return "", nil
}

// serverLocked is server for callers that hold the group's mutex.
func (w *world) serverLocked(id string) *server {
	for _, s := range w.group.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}
