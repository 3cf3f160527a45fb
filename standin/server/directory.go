package server

import (
	"context"
	"sync"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// Directory connects to servers of the same process by their names, for tests without sockets. The zero value is empty.
type Directory struct {
	mu      sync.Mutex
	servers map[string]*Server
}

// Add adds a server.
func (d *Directory) Add(s *Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.servers == nil {
		d.servers = make(map[string]*Server)
	}
	d.servers[s.Name()] = s
}

// Dial returns the server with the given name. It is a Dial function.
func (d *Directory) Dial(_ context.Context, name string) (Source, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers[name]
	if !ok {
		return nil, port.Errorf(port.Unavailable, "server %q does not exist", name)
	}
	return s, nil
}
