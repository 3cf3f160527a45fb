package main

import (
	"fmt"
	"sync"
	"time"
)

// configApply is bounds.config_apply_ms.
const configApply = 3 * time.Second

func init() { cases["revoked"] = runRevoked }

// runRevoked takes a key away from a connected client that is in a transaction of twelve statements with pauses. Rule
// CONFIG: a request sent later than config_apply_ms after the acknowledgement is not run with a dropped key.
func runRevoked(rec *recorder, root string, trouble bool) (string, error) {
	w, err := newWorld(rec, root, 0)
	if err != nil {
		return "", err
	}
	defer w.close()
	for _, zone := range []string{"kig-a", "kig-b"} {
		if _, err := w.addGateway(zone); err != nil {
			return "", err
		}
	}
	var mu sync.Mutex
	ran := make(map[string]string)
	w.group.onRun = func(s *server, tenant, id, _ string) {
		mu.Lock()
		defer mu.Unlock()
		ran[id] = s.id + " for " + tenant
	}
	if err := w.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	key := w.keys["clinic"][1]
	address := w.gateways[0].ip + ":8465"
	c, code, err := dial(address, "renewal", key)
	if err != nil || c == nil {
		return "", fmt.Errorf("the client could not start: %s %v", code, err)
	}
	defer c.close()
	var revoked time.Time
	broken := 0
	for n := range 12 {
		text := "READ 1a4"
		switch n {
		case 0:
			text = "BEGIN"
		case 9, 10:
			text = fmt.Sprintf("WRITE 1a4 written%d", n)
		case 11:
			text = "COMMIT"
		}
		id, sent := newID(), time.Now()
		res, err := c.query(id, text, 2*time.Second)
		if err != nil {
			rec.add("client: %s %s: %v", id, text, err)
			break
		}
		mu.Lock()
		where := ran[id]
		mu.Unlock()
		age := sent.Sub(revoked).Seconds()
		rec.add("client: %s %s: code %q, proof %q, run by %q", id, text, res.code, res.proof, where)
		if !revoked.IsZero() && sent.Sub(revoked) > configApply && where != "" && res.code == "" {
			broken++
			rec.add("that request was sent %.3f s after the key's removal was acknowledged, and ran", age)
		}
		if n == 1 && trouble {
			w.keys["clinic"] = w.keys["clinic"][:1]
			w.writeConfig()
			revoked = time.Now()
			rec.add("trouble: the client's key is taken away")
		}
		time.Sleep(900 * time.Millisecond)
	}
	_, code, err = dial(address, "renewal", key)
	rec.add("client: a new session with the same key at the same machine: %q %v", code, err)
	if broken > 0 {
		return fmt.Sprintf("CONFIG: %d requests that were sent later than %s after the acknowledgement ran with the dropped key; "+
			"a new session with it gets %s", broken, configApply, code), nil
	}
	return "", nil
}
