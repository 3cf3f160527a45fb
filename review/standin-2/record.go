package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	runs  map[string]int

	// onRun is called for each statement that a server runs. It may be nil.
	onRun func(tenant, id string, at time.Time)
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	return &record{start: time.Now(), file: f, runs: make(map[string]int)}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// ran records that a server runs a client's statement.
func (r *record) ran(server, tenant, id, verb, rest string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	if r.onRun != nil {
		r.onRun(tenant, id, time.Now())
	}
	r.add("run      %s at %s for %s: %s %.40s", id, server, tenant, verb, rest)
}
