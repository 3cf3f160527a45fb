package server

import (
	"net"
	"sync"
	"sync/atomic"
)

// gate holds back what passes it while it is cut. The zero value lets everything pass.
type gate struct {
	mu     sync.Mutex
	healed chan struct{}
}

// set cuts the gate or heals it.
func (g *gate) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cut == (g.healed != nil) {
		return
	}
	if cut {
		g.healed = make(chan struct{})
		return
	}
	close(g.healed)
	g.healed = nil
}

// wait returns when the gate is healed or done is closed.
func (g *gate) wait(done <-chan struct{}) {
	g.mu.Lock()
	healed := g.healed
	g.mu.Unlock()
	if healed == nil {
		return
	}
	select {
	case <-healed:
	case <-done:
	}
}

// gatedConn is a network connection that can be cut like a network path: nothing arrives and nothing fails.
type gatedConn struct {
	net.Conn
	recorder *recorder
	gate     atomic.Pointer[gate]
	once     sync.Once
	closed   chan struct{}
}

func newGatedConn(c net.Conn, r *recorder) *gatedConn {
	return &gatedConn{Conn: c, recorder: r, closed: make(chan struct{})}
}

// Read delivers nothing while the gate is cut.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recorder.record(c, b[:n])
	c.pass()
	return n, err
}

// Write sends nothing while the gate is cut.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.pass()
	return c.Conn.Write(b)
}

// Close ends waiting reads and writes too.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *gatedConn) pass() {
	if g := c.gate.Load(); g != nil {
		g.wait(c.closed)
	}
}
