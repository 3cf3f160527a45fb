package main

import (
	"fmt"
	"strings"
	"time"
)

// configApply is config_apply_ms.
const configApply = 3 * time.Second

// privateRoute withdraws the public access to a route on which a client with a valid key has a session.
func privateRoute(folder string) {
	w := newWorld(folder, 3)
	w.tenant("pharmacy", "key-of-pharmacy", 72, 72)
	w.public["stock0"] = true
	w.configure(7)
	if err := w.startGateways(8, 4, 206, ""); err != nil {
		w.conclude(2, "%v", err)
	}
	time.Sleep(time.Second)
	var sessions []*client
	for i, g := range w.gateways {
		c, err := connect(w.record, fmt.Sprintf("pharmacy-%d", i+1), "", g.clients(), "stock0", "key-of-pharmacy")
		if err != nil {
			w.conclude(2, "%v", err)
		}
		if a, err := c.query("READ tin", time.Second); err != nil || a.code != "" {
			w.conclude(2, "the route is not served: %v %s", err, a.code)
		}
		sessions = append(sessions, c)
	}
	if w.trouble {
		w.public["stock0"] = false
	}
	w.configure(9)
	w.record.add("config   version 9 is acknowledged: route stock0 public=%v, tenant pharmacy with the same key", w.public["stock0"])
	time.Sleep(configApply + time.Second)
	refused, asked := 0, 0
	for range 5 {
		for _, c := range sessions {
			asked++
			if a, err := c.query("READ tin", time.Second); err == nil && strings.HasPrefix(a.code, "DENIED") {
				refused++
			}
		}
		time.Sleep(time.Second)
	}
	fresh := 0
	for i, g := range w.gateways {
		if c, err := connect(w.record, fmt.Sprintf("new-%d", i+1), "", g.clients(), "stock0", "key-of-pharmacy"); err == nil {
			if a, err := c.query("READ tin", time.Second); err == nil && a.code == "" {
				fresh++
			}
		}
	}
	text := fmt.Sprintf("%d of %d requests on the open sessions were refused with DENIED from %s after the acknowledgement on, though their key and the route are there; %d of %d new sessions with the same key are served",
		refused, asked, configApply+time.Second, fresh, len(w.gateways))
	if refused > 0 {
		w.conclude(1, "CONFIG: %s", text)
	}
	w.conclude(0, "held: %s", text)
}
