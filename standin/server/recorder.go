package server

import (
	"bytes"
	"maps"
	"slices"
	"sync"
)

// MaxRecording is the greatest bound on a recording in bytes.
const MaxRecording = 16 << 20

// recorder keeps the bytes that the sockets of a listener received, apart for each socket, so that a text is found even
// when other sockets received something in between. The zero value records nothing. A recording that went beyond its
// limit is refused as a whole, so that no test passes on half of what was received.
type recorder struct {
	mu      sync.Mutex
	limit   int
	size    int
	streams map[*gatedConn][]byte
}

// start begins a recording of at most limit bytes and discards an earlier one.
func (r *recorder) start(limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit, r.size, r.streams = limit, 0, make(map[*gatedConn][]byte)
}

// record adds what a socket received.
func (r *recorder) record(c *gatedConn, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == 0 || len(b) == 0 {
		return
	}
	r.size += len(b)
	if r.size > r.limit {
		r.streams = nil
		return
	}
	r.streams[c] = append(r.streams[c], b...)
}

// recording returns what was received since the start, one socket after the other.
func (r *recorder) recording() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.limit == 0:
		return nil, failf(codeState, "no recording was started")
	case r.size > r.limit:
		return nil, failf(codeState, "recording is longer than %d bytes", r.limit)
	}
	return bytes.Join(slices.Collect(maps.Values(r.streams)), []byte{'\n'}), nil
}

// Counters counts what callers' connections did since the server's start. Connections to the maintenance database and
// those of replicas are not counted.
type Counters struct {
	// Connections is the number of start-up messages with the right password.
	Connections int `json:"connections"`
	// Bindings is the number of transactions that began, because each is preceded by a bind.
	Bindings int `json:"bindings"`
	// Statements is the number of all statements, those of open transactions and releases too.
	Statements int `json:"statements"`
}
