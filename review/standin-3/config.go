package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// configApply is config_apply_ms.
	configApply = 3 * time.Second
	// configSilence is how long the store does not answer the calls of one machine.
	configSilence = 9 * time.Second
	// configRollGap is the time between two restarts of the rolling restart.
	configRollGap = time.Second
	// configRollDelay is the time between the beginning of the silence and the first restart.
	configRollDelay = 800 * time.Millisecond
	// configFirst is when the first key is taken away, from the beginning of the silence, and configGap the time until
	// the next one.
	configFirst = 2900 * time.Millisecond
	configGap   = 100 * time.Millisecond
	configKeys  = 16
	// configProbeGap is the time between two requests with a key.
	configProbeGap = 100 * time.Millisecond
	// configWatch is how long each key is tried after it was taken away.
	configWatch = 7 * time.Second
)

// configProbe tries one key at one gateway until it is refused.
type configProbe struct {
	world   *world
	gateway *gateway
	key     string

	mu   sync.Mutex
	sent map[string]time.Duration
}

func (p *configProbe) run(until time.Duration) {
	rec := p.world.record
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for rec.now() < until {
		time.Sleep(configProbeGap)
		if c == nil {
			code := ""
			if c, code = dial(p.gateway.front, "schedules", p.key); c == nil {
				rec.printf("client at %s with %s: START refused: %s", p.gateway.name, p.key, code)
				if code == "DENIED" {
					return
				}
				continue
			}
		}
		id := newID()
		p.mu.Lock()
		p.sent[id] = rec.now()
		p.mu.Unlock()
		a := c.query(id, "READ 1a4", 3*time.Second)
		rec.printf("client at %s with %s: %s answered: %q", p.gateway.name, p.key, id, a.code)
		switch a.code {
		case "DENIED":
			return
		case "lost":
			c.close()
			c = nil
		}
	}
}

// configCase takes keys away while the store does not answer one machine and other machines are restarted in turn.
func configCase(rec *record, program string, trouble bool) (int, error) {
	w, err := newWorld(rec, program, "kig-c", "kig-b", "kig-c")
	if err != nil {
		return 2, err
	}
	defer w.close()
	var keys []string
	for i := range configKeys {
		keys = append(keys, fmt.Sprintf("key-of-clinic-%d", i))
	}
	configure := func(version, withdrawn int) {
		kept := append(slices.Clone(keys[withdrawn:]), "key-of-clinic")
		w.configure(version, tenant{Name: "clinic", Keys: kept, Rate: 2000, Burst: 2000, Urgency: 1})
	}
	configure(7, 0)
	if err := w.startGateways("kig-d", "kig-a", "kig-a", "kig-a", "kig-a", "kig-b", "kig-c"); err != nil {
		return 2, err
	}
	time.Sleep(8 * time.Second)
	start := rec.now()
	var probes []*configProbe
	var running sync.WaitGroup
	for i, key := range keys {
		for _, name := range []string{"frontend-kig-b-1", "frontend-kig-c-1"} {
			p := &configProbe{world: w, gateway: w.gateway(name), key: key, sent: map[string]time.Duration{}}
			probes = append(probes, p)
			until := start + configFirst + time.Duration(i)*configGap + configWatch
			running.Go(func() { p.run(until) })
		}
	}
	if trouble {
		silenced := w.gateway("frontend-kig-d-1")
		silenced.store.silent.Store(true)
		rec.printf("the store does not answer %s", silenced.name)
		time.AfterFunc(configSilence, func() {
			silenced.store.silent.Store(false)
			rec.printf("the store answers %s again", silenced.name)
		})
		running.Go(func() { w.rollKigA(start + configSilence) })
	}
	withdrawnAt := map[string]time.Duration{}
	for i, key := range keys {
		time.Sleep(start + configFirst + time.Duration(i)*configGap - rec.now())
		configure(8+i, i+1)
		withdrawnAt[key] = rec.now()
		rec.printf("the store has acknowledged version %d, without %s", 8+i, key)
	}
	running.Wait()
	return judgeConfig(w, probes, withdrawnAt), nil
}

// rollKigA restarts three machines of a zone in turn, one after the other, until the time.
func (w *world) rollKigA(until time.Duration) {
	time.Sleep(configRollDelay)
	for n := 0; w.record.now() < until; n++ {
		w.gateway([]string{"frontend-kig-a-4", "frontend-kig-a-3", "frontend-kig-a-1"}[n%3]).signal(syscall.SIGTERM)
		time.Sleep(configRollGap)
	}
}

// judgeConfig looks for a request that was sent with a key later than configApply after the acknowledgement of the version
// without that key, and that was run.
func judgeConfig(w *world, probes []*configProbe, withdrawnAt map[string]time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := map[string]time.Duration{}
	for _, r := range w.runs {
		ran[r.id] = r.at
	}
	broken, served := 0, 0
	latest := time.Duration(0)
	for _, p := range probes {
		for id, sent := range p.sent {
			if _, found := ran[id]; !found {
				continue
			}
			served++
			late := sent - withdrawnAt[p.key]
			latest = max(latest, late)
			if late > configApply {
				broken++
			}
		}
	}
	w.record.say("%d requests ran; the last one was sent %.3f s after the acknowledgement of the version without its key; %d were sent later than %s",
		served, latest.Seconds(), broken, configApply)
	switch {
	case served == 0:
		return 2
	case broken > 0:
		w.record.say("CONFIG is broken")
		return 1
	default:
		return 0
	}
}
