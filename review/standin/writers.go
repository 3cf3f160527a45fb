package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// attempt is a single write of a client.
type attempt struct {
	id       string
	sent     time.Time
	answered time.Time
	// server, ran and position describe its run; server is empty if no server ran it.
	server  string
	ran     time.Time
	code    string
	success bool
}

// writers are clients that write one item after another.
type writers struct {
	w *world

	mu       sync.Mutex
	attempts []*attempt
	byID     map[string]*attempt
	stopped  bool
	running  sync.WaitGroup
}

// newWriters observes the runs of writes on the servers.
func newWriters(w *world) *writers {
	ws := &writers{w: w, byID: make(map[string]*attempt)}
	w.group.onRun = func(s *server, _, id, text string) {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		if a := ws.byID[id]; a != nil {
			a.server, a.ran = s.id, time.Now()
		}
	}
	return ws
}

// start starts a client that connects to the gateway and writes until stop.
func (ws *writers) start(g *gateway, key string) {
	ws.running.Go(func() { ws.loop(g, key) })
}

func (ws *writers) loop(g *gateway, key string) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 0; !ws.isStopped(); n++ {
		if c == nil {
			var err error
			if c, _, err = dial(g.ip+":8465", "renewal", key); err != nil || c == nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		a := &attempt{id: newID(), sent: time.Now()}
		ws.mu.Lock()
		ws.attempts, ws.byID[a.id] = append(ws.attempts, a), a
		ws.mu.Unlock()
		res, err := c.query(a.id, fmt.Sprintf("WRITE %s %d", a.id, n), time.Second)
		ws.mu.Lock()
		a.answered, a.code, a.success = time.Now(), res.code, err == nil && res.code == "" && res.proof != "-"
		if err != nil {
			a.code = "no answer"
		}
		ws.mu.Unlock()
		if err != nil {
			c.close()
			c = nil
		}
		time.Sleep(30 * time.Millisecond)
	}
}

func (ws *writers) isStopped() bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.stopped
}

// stop stops the clients and returns all attempts in the order in which they were sent.
func (ws *writers) stop() []*attempt {
	ws.mu.Lock()
	ws.stopped = true
	ws.mu.Unlock()
	ws.running.Wait()
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.Clone(ws.attempts)
}

// record writes the attempts to the record.
func (ws *writers) record(attempts []*attempt) {
	rec := ws.w.rec
	for _, a := range attempts {
		at := func(t time.Time) string {
			if t.IsZero() {
				return "never"
			}
			return fmt.Sprintf("%.3f", t.Sub(rec.start).Seconds())
		}
		answer := a.code
		if a.success {
			answer = "success"
		}
		rec.add("write %s: sent %s, run by %q at %s, answered %s at %s", a.id, at(a.sent), a.server, at(a.ran), answer, at(a.answered))
	}
}

// successes counts the attempts with success that were sent in a span.
func successes(attempts []*attempt, from, to time.Time) (n, of int) {
	for _, a := range attempts {
		if a.sent.After(from) && a.sent.Before(to) {
			of++
			if a.success {
				n++
			}
		}
	}
	return n, of
}

// holdsID reports whether the log of the server has the write. The group's mutex must be held.
func (s *server) holdsID(id string) bool {
	return slices.ContainsFunc(s.log, func(e entry) bool { return slices.Contains(e.ids, id) })
}
