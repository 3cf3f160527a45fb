package server

import (
	"net"
	"sync"
	"sync/atomic"
)

// partition blocks network traffic while it is active. The zero value is inactive.
type partition struct {
	mu    sync.Mutex
	ended chan struct{}
}

// set starts or ends the partition.
func (p *partition) set(active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if active == (p.ended != nil) {
		return
	}
	if active {
		p.ended = make(chan struct{})
		return
	}
	close(p.ended)
	p.ended = nil
}

// wait blocks until the partition ends or done is closed.
func (p *partition) wait(done <-chan struct{}) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-done:
	}
}

// partitionedConn is a network connection that can be subject to a partition: bytes neither arrive nor cause an error.
type partitionedConn struct {
	net.Conn
	recorder  *recorder
	partition atomic.Pointer[partition]
	once      sync.Once
	closed    chan struct{}
}

func newPartitionedConn(c net.Conn, r *recorder) *partitionedConn {
	return &partitionedConn{Conn: c, recorder: r, closed: make(chan struct{})}
}

// Read blocks while the partition is active.
func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recorder.record(c, b[:n])
	c.awaitPartitionEnd()
	return n, err
}

// Write blocks while the partition is active.
func (c *partitionedConn) Write(b []byte) (int, error) {
	c.awaitPartitionEnd()
	return c.Conn.Write(b)
}

// Close also unblocks reads and writes that wait for the end of a partition.
func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *partitionedConn) awaitPartitionEnd() {
	if p := c.partition.Load(); p != nil {
		p.wait(c.closed)
	}
}
