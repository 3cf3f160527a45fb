package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stuck_log"] = runStuckLog }

const (
	grace = 6 * time.Second
	// slowWork is the work of a statement in this case.
	slowWork = 100 * time.Millisecond
)

// stuckRequest is a request of a client in the case.
type stuckRequest struct {
	id            string
	sent          time.Time
	ran, answered bool
}

// runStuckLog stops a gateway as planned while nobody reads its log. Rule LOST: no request that was passed on to a server is
// left without a complete answer around a SIGTERM.
func runStuckLog(rec *recorder, root string, trouble bool) (string, error) {
	w, err := newWorld(rec, root, 0)
	if err != nil {
		return "", err
	}
	defer w.close()
	w.group.work = slowWork
	w.limited = map[string]string{"shop": "k2pxkqpwnzdhkwmtrbel"}
	w.writeConfig()
	logRead, logWrite, err := os.Pipe()
	if err != nil {
		return "", err
	}
	defer func() { _ = logRead.Close() }()
	w.log = logWrite
	if !trouble {
		go func() { _, _ = io.Copy(io.Discard, logRead) }()
	}
	for _, zone := range []string{"kig-a", "kig-b"} {
		if _, err := w.addGateway(zone); err != nil {
			return "", err
		}
		w.log = nil
	}
	_ = logWrite.Close()
	var mu sync.Mutex
	requests := make(map[string]*stuckRequest)
	stopped := false
	w.group.onRun = func(_ *server, _, id, _ string) {
		mu.Lock()
		defer mu.Unlock()
		if r := requests[id]; r != nil {
			r.ran = true
		}
	}
	if err := w.awaitReady(); err != nil {
		return "", err
	}
	g := w.gateways[0]
	var running sync.WaitGroup
	loop := func(key string, pause time.Duration) {
		c, _, err := dial(g.ip+":8465", "renewal", key)
		if err != nil || c == nil {
			rec.add("client: cannot start: %v", err)
			return
		}
		defer c.close()
		for {
			r := &stuckRequest{id: newID(), sent: time.Now()}
			mu.Lock()
			requests[r.id] = r
			over := stopped
			mu.Unlock()
			if over {
				return
			}
			_, err := c.query(r.id, "READ 1a4", 2*time.Second)
			mu.Lock()
			r.answered = err == nil
			mu.Unlock()
			if err != nil {
				rec.add("client: %s sent %.3f: %v", r.id, r.sent.Sub(rec.start).Seconds(), err)
				return
			}
			time.Sleep(pause)
		}
	}
	for range 8 {
		running.Go(func() { loop(w.keys["clinic"][0], 50*time.Millisecond) })
		running.Go(func() { loop(w.limited["shop"], 50*time.Millisecond) })
	}
	time.Sleep(8 * time.Second)
	rec.add("platform: SIGTERM to %s", g.name)
	term := time.Now()
	g.signal(syscall.SIGTERM)
	select {
	case <-g.done:
		rec.add("%s has ended after %.3f s", g.name, time.Since(term).Seconds())
	case <-time.After(grace):
		rec.add("platform: SIGKILL to %s, %.3f s after SIGTERM; it is ready: %v", g.name, time.Since(term).Seconds(), g.isReady())
		g.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	mu.Lock()
	stopped = true
	mu.Unlock()
	running.Wait()
	lost := 0
	for _, r := range requests {
		if r.ran && !r.answered && r.sent.After(term) {
			lost++
			rec.add("request %s, sent %.3f s after SIGTERM, ran at a server and was not answered", r.id, r.sent.Sub(term).Seconds())
		}
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d requests that were passed on to a server were not answered around a planned stop", lost), nil
	}
	return "", nil
}
