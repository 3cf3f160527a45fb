package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkState is the state of a link. The zero value forwards everything at once.
type linkState struct {
	// silentUp and silentDown hold back the bytes to and from the target.
	silentUp   bool
	silentDown bool
	delay      time.Duration
	// refused closes new connections.
	refused bool
}

// link forwards TCP connections to a target and injects faults.
type link struct {
	target   string
	listener net.Listener
	running  sync.WaitGroup

	mu      sync.Mutex
	state   linkState
	changed chan struct{}
	conns   map[net.Conn]struct{}
	closed  bool
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &link{target: target, listener: listener, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	l.running.Go(l.run)
	t.Cleanup(l.close)
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// set changes the state. Bytes that were held back are forwarded when their direction is no longer silent.
func (l *link) set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// reset closes all connections with unsent bytes discarded.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.set(linkState{})
	l.reset()
	l.running.Wait()
}

func (l *link) run() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		if !l.add(from) {
			_ = from.Close()
			continue
		}
		l.running.Go(func() { l.forward(from) })
	}
}

func (l *link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.state.refused {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *link) remove(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *link) forward(from net.Conn) {
	defer l.remove(from)
	to, err := net.Dial("tcp", l.target)
	if err != nil || !l.add(to) {
		return
	}
	defer l.remove(to)
	l.running.Go(func() {
		l.copy(to, from, func(s linkState) bool { return s.silentUp })
		_ = to.Close()
		_ = from.Close()
	})
	l.copy(from, to, func(s linkState) bool { return s.silentDown })
}

func (l *link) copy(to, from net.Conn, silent func(linkState) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.hold(silent)
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

// hold waits while the direction is silent, and for the delay.
func (l *link) hold(silent func(linkState) bool) {
	for {
		l.mu.Lock()
		s, changed, closed := l.state, l.changed, l.closed
		l.mu.Unlock()
		if closed || !silent(s) {
			time.Sleep(s.delay)
			return
		}
		<-changed
	}
}
