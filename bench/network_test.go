package bench

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxForwarded bounds the connections of one forwarder.
const maxForwarded = 256

// network is what connects the data centres of a fleet with the platform and with each other. Every data centre sees
// the platform through a forwarder, and the instances of other data centres at the addresses of forwarders.
type network struct {
	t        testing.TB
	platform string
	mu       sync.Mutex
	home     map[string]string
	links    map[link]*forwarder
}

// link is a path from a data centre to an address.
type link struct{ dataCentre, address string }

func newNetwork(t testing.TB, platform string) *network {
	return &network{t: t, platform: platform, home: make(map[string]string), links: make(map[link]*forwarder)}
}

// place says in which data centre an instance's address is.
func (n *network) place(address, dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.home[address] = dataCentre
}

// storeOf returns the address of the platform as the instances of a data centre see it.
func (f *fleet) storeOf(dataCentre string) string {
	if f.network == nil {
		return f.store
	}
	return f.network.storeOf(dataCentre)
}

// storeOf returns the address of the platform as seen from a data centre.
func (n *network) storeOf(dataCentre string) string {
	target, err := url.Parse(n.platform)
	require.NoError(n.t, err)
	mux := http.NewServeMux()
	proxy := httputil.NewSingleHostReverseProxy(target)
	// Watches that their instance gave up are not worth a line in the log.
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	mux.Handle("/", proxy)
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) { n.list(w, dataCentre) })
	server := httptest.NewServer(mux)
	n.t.Cleanup(server.Close)
	return "http://" + n.forward(link{dataCentre, server.Listener.Addr().String()})
}

// list answers the list of instances as seen from a data centre.
func (n *network) list(w http.ResponseWriter, dataCentre string) {
	answer, err := httpClient.Get(n.platform + "/instances")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	var listed []map[string]string
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&listed) != nil {
		http.Error(w, "no list", http.StatusServiceUnavailable)
		return
	}
	for _, each := range listed {
		if each["data_centre"] != dataCentre {
			each["address"] = n.forward(link{dataCentre, each["address"]})
		}
	}
	_ = json.NewEncoder(w).Encode(listed)
}

// forward returns the address of the link's forwarder and starts it when there is none.
func (n *network) forward(l link) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[l] == nil {
		n.links[l] = startForwarder(n.t, l.address)
	}
	return n.links[l].listener.Addr().String()
}

// cut cuts a data centre from the platform and from the other data centres. Connections stay open, but nothing passes.
func (n *network) cut(dataCentre string) { n.set(dataCentre, true) }

func (n *network) heal(dataCentre string) { n.set(dataCentre, false) }

func (n *network) set(dataCentre string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l, f := range n.links {
		if l.dataCentre == dataCentre || n.home[l.address] == dataCentre {
			f.set(cut)
		}
	}
}

// forwarder passes TCP connections on to an address, unless it is cut.
type forwarder struct {
	target   string
	listener net.Listener
	running  sync.WaitGroup

	mu     sync.Mutex
	passes *sync.Cond
	isCut  bool
	ended  bool
	conns  map[net.Conn]struct{}
}

func startForwarder(t testing.TB, target string) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &forwarder{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	f.passes = sync.NewCond(&f.mu)
	f.running.Go(f.loop)
	t.Cleanup(f.end)
	return f
}

func (f *forwarder) set(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = cut
	f.passes.Broadcast()
}

// end closes everything and waits for its goroutines.
func (f *forwarder) end() {
	_ = f.listener.Close()
	f.mu.Lock()
	f.ended = true
	for c := range f.conns {
		_ = c.Close()
	}
	f.passes.Broadcast()
	f.mu.Unlock()
	f.running.Wait()
}

func (f *forwarder) loop() {
	for {
		from, err := f.listener.Accept()
		if err != nil {
			return
		}
		if !f.add(from) {
			_ = from.Close()
			continue
		}
		f.running.Go(func() { f.run(from) })
	}
}

// run passes one connection on in both directions until one side ends.
func (f *forwarder) run(from net.Conn) {
	defer f.remove(from)
	f.await()
	to, err := net.Dial("tcp", f.target)
	if err != nil || !f.add(to) {
		return
	}
	defer f.remove(to)
	f.running.Go(func() {
		f.copy(to, from)
		_ = to.Close()
		_ = from.Close()
	})
	f.copy(from, to)
}

func (f *forwarder) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f.await()
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

// await waits while the forwarder is cut.
func (f *forwarder) await() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.isCut && !f.ended {
		f.passes.Wait()
	}
}

func (f *forwarder) add(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended || len(f.conns) >= maxForwarded {
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

func (f *forwarder) remove(c net.Conn) {
	_ = c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// TestForwarder guards against a forwarder that passes bytes while it is cut, or loses them.
func TestForwarder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	f := startForwarder(t, listener.Addr().String())
	caller, err := net.Dial("tcp", f.listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	called, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = called.Close() }()
	f.set(true)
	_, err = caller.Write([]byte("held"))
	require.NoError(t, err)
	arrived := make(chan string, 1)
	go func() {
		buffer := make([]byte, 4)
		n, _ := io.ReadFull(called, buffer)
		arrived <- string(buffer[:n])
	}()
	end := timer.Now() + 10*pollPeriod
	eventually(t, startLimit, "the time of the cut", func() bool {
		require.Empty(t, arrived)
		return timer.Now() > end
	})
	f.set(false)
	require.Equal(t, "held", <-arrived)
}
