package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// hupDelay is the time between the start of a process and the signal.
	hupDelay = time.Millisecond
	// hupCount is how many starts of a machine are followed by a signal.
	hupCount = 3
	// hupLength is how long the case runs.
	hupLength = 12 * time.Second
	// endsForFault is the number of ends by itself from which a machine counts.
	endsForFault = 3
)

// hupCase changes the settings of two of seven machines right after their processes have started, and signals it.
func hupCase(rec *record, program string, trouble bool) (int, error) {
	w, err := newWorld(rec, program, "kig-a", "kig-b", "kig-c")
	if err != nil {
		return 2, err
	}
	defer w.close()
	w.configure(7, tenant{Name: "clinic", Keys: []string{"key-of-clinic"}, Rate: 2000, Burst: 2000, Urgency: 1})
	var mu sync.Mutex
	signals := map[string]int{}
	w.onStart = func(g *gateway) {
		mu.Lock()
		defer mu.Unlock()
		isChosen := g.name == "frontend-kig-a-1" || g.name == "frontend-kig-b-1"
		if !trouble || !isChosen || signals[g.name] == hupCount {
			return
		}
		signals[g.name]++
		if err := g.addSetting(fmt.Sprintf("new_field=%d", signals[g.name])); err != nil {
			rec.printf("%s: the settings cannot be written: %s", g.name, err)
			return
		}
		time.Sleep(hupDelay)
		g.signal(syscall.SIGHUP)
	}
	if err := w.startGateways("kig-a", "kig-b", "kig-c", "kig-d", "kig-a", "kig-b", "kig-c"); err != nil {
		return 2, err
	}
	time.Sleep(hupLength)
	machines := 0
	for _, g := range w.gateways {
		g.mu.Lock()
		ends := g.ends
		g.mu.Unlock()
		rec.say("%s: %d signals, %d ends by itself", g.name, signals[g.name], ends)
		if ends >= endsForFault {
			machines++
		}
	}
	if machines >= 2 {
		rec.say("Fault: processes of %d of %d machines ended by themselves %d times", machines, len(w.gateways), endsForFault)
		return 1, nil
	}
	return 0, nil
}

// addSetting adds a line to the settings file.
func (g *gateway) addSetting(line string) error {
	f, err := os.OpenFile(g.settings, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = fmt.Fprintln(f, line)
	return err
}
