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

// maxProxyConnections limits the connections of one proxy.
const maxProxyConnections = 256

// network connects the data centres of a fixture with the platform and with each other. Each data centre reaches the
// platform and the instances of other data centres only through TCP proxies, which can be partitioned.
type network struct {
	t           testing.TB
	platform    string
	mu          sync.Mutex
	dataCentres map[string]string
	proxies     map[link]*tcpProxy
}

// link is a network path from a data centre to an address.
type link struct{ dataCentre, address string }

func newNetwork(t testing.TB, platform string) *network {
	return &network{t: t, platform: platform, dataCentres: make(map[string]string), proxies: make(map[link]*tcpProxy)}
}

// setDataCentre sets the data centre of an instance's address.
func (n *network) setDataCentre(address, dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dataCentres[address] = dataCentre
}

// storeOf returns the URL of the platform for the instances of a data centre.
func (f *fixture) storeOf(dataCentre string) string {
	if f.network == nil {
		return f.storeURL
	}
	return f.network.storeOf(dataCentre)
}

// storeOf starts an HTTP proxy of the platform for a data centre and returns its URL.
func (n *network) storeOf(dataCentre string) string {
	target, err := url.Parse(n.platform)
	require.NoError(n.t, err)
	mux := http.NewServeMux()
	proxy := httputil.NewSingleHostReverseProxy(target)
	// The default handler would log an error for each watch that an instance closes.
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	mux.Handle("/", proxy)
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) { n.serveInstances(w, dataCentre) })
	server := httptest.NewServer(mux)
	n.t.Cleanup(server.Close)
	return "http://" + n.proxyAddress(link{dataCentre, server.Listener.Addr().String()})
}

// serveInstances responds with the list of instances, in which those of other data centres have the addresses of proxies.
func (n *network) serveInstances(w http.ResponseWriter, dataCentre string) {
	response, err := httpClient.Get(n.platform + "/instances")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	var listed []map[string]string
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&listed) != nil {
		http.Error(w, "the platform did not return the list of instances", http.StatusServiceUnavailable)
		return
	}
	for _, each := range listed {
		if each["data_centre"] != dataCentre {
			each["address"] = n.proxyAddress(link{dataCentre, each["address"]})
		}
	}
	_ = json.NewEncoder(w).Encode(listed)
}

// proxyAddress returns the address of the link's proxy and starts the proxy when there is none.
func (n *network) proxyAddress(l link) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proxies[l] == nil {
		n.proxies[l] = startTCPProxy(n.t, l.address)
	}
	return n.proxies[l].listener.Addr().String()
}

// partition isolates a data centre from the platform and from other data centres. Connections stay open but transfer
// nothing.
func (n *network) partition(dataCentre string) { n.setPartitioned(dataCentre, true) }

func (n *network) heal(dataCentre string) { n.setPartitioned(dataCentre, false) }

func (n *network) setPartitioned(dataCentre string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l, p := range n.proxies {
		if l.dataCentre == dataCentre || n.dataCentres[l.address] == dataCentre {
			p.setPartitioned(partitioned)
		}
	}
}

// tcpProxy forwards TCP connections to an address, unless it is partitioned.
type tcpProxy struct {
	target   string
	listener net.Listener
	running  sync.WaitGroup

	mu            sync.Mutex
	unblocked     *sync.Cond
	isPartitioned bool
	isClosed      bool
	conns         map[net.Conn]struct{}
}

func startTCPProxy(t testing.TB, target string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &tcpProxy{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	p.unblocked = sync.NewCond(&p.mu)
	p.running.Go(p.run)
	t.Cleanup(p.close)
	return p
}

func (p *tcpProxy) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isPartitioned = partitioned
	p.unblocked.Broadcast()
}

// close closes the listener and all connections and waits for the goroutines.
func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.isClosed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.unblocked.Broadcast()
	p.mu.Unlock()
	p.running.Wait()
}

func (p *tcpProxy) run() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.add(from) {
			_ = from.Close()
			continue
		}
		p.running.Go(func() { p.forward(from) })
	}
}

// forward copies one connection in both directions until either side closes it.
func (p *tcpProxy) forward(from net.Conn) {
	defer p.remove(from)
	p.waitUnblocked()
	to, err := net.Dial("tcp", p.target)
	if err != nil || !p.add(to) {
		return
	}
	defer p.remove(to)
	p.running.Go(func() {
		p.copy(to, from)
		_ = to.Close()
		_ = from.Close()
	})
	p.copy(from, to)
}

func (p *tcpProxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.waitUnblocked()
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

// waitUnblocked waits while the proxy is partitioned.
func (p *tcpProxy) waitUnblocked() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isPartitioned && !p.isClosed {
		p.unblocked.Wait()
	}
}

func (p *tcpProxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed || len(p.conns) >= maxProxyConnections {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *tcpProxy) remove(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// TestTCPProxy guards against a proxy that transfers bytes while it is partitioned, or loses them.
func TestTCPProxy(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	p := startTCPProxy(t, listener.Addr().String())
	client, err := net.Dial("tcp", p.listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	p.setPartitioned(true)
	_, err = client.Write([]byte("held"))
	require.NoError(t, err)
	arrived := make(chan string, 1)
	go func() {
		buffer := make([]byte, 4)
		n, _ := io.ReadFull(server, buffer)
		arrived <- string(buffer[:n])
	}()
	end := timer.Now() + 10*pollPeriod
	eventually(t, startTimeout, "the end of the partition", func() bool {
		require.Empty(t, arrived)
		return timer.Now() > end
	})
	p.setPartitioned(false)
	require.Equal(t, "held", <-arrived)
}
