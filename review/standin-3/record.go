package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run, with the time in seconds since its start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w == nil {
		return
	}
	fmt.Fprintf(r.w, "%9.4f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// say prints a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.printf(format, args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
	r.w = nil
}
