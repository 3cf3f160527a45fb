package server

import (
	"bytes"
	"maps"
	"slices"
	"sync"
)

// MaxRecording is the maximum size of a recording in bytes.
const MaxRecording = 16 << 20

// recorder records the bytes that a listener receives, separately for each connection, so that a text is found even if
// other connections received bytes in between. The zero value records nothing. A recording that exceeds its limit is
// rejected as a whole, so that no test passes on a part of the received bytes.
type recorder struct {
	mu      sync.Mutex
	limit   int
	size    int
	streams map[*partitionedConn][]byte
}

// start starts a recording of at most limit bytes and discards the previous one.
func (r *recorder) start(limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit, r.size, r.streams = limit, 0, make(map[*partitionedConn][]byte)
}

// record adds bytes that a connection received.
func (r *recorder) record(c *partitionedConn, b []byte) {
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

// recording returns the bytes received since the start of the recording, grouped by connection.
func (r *recorder) recording() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.limit == 0:
		return nil, errorf(codePrerequisiteState, "no recording was started")
	case r.size > r.limit:
		return nil, errorf(codePrerequisiteState, "recording is longer than %d bytes", r.limit)
	}
	return bytes.Join(slices.Collect(maps.Values(r.streams)), []byte{'\n'}), nil
}

// Counters holds counters of client connections since the start of the server. They exclude connections to the
// maintenance database and those of replicas.
type Counters struct {
	// Connections is the number of connections that passed password authentication.
	Connections int `json:"connections"`
	// Bindings is the number of bind statements. It equals the number of transactions, because a bind precedes each.
	Bindings int `json:"bindings"`
	// Statements is the number of all statements, including those of open transactions and releases.
	Statements int `json:"statements"`
}
