package untrusted

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// httpCrowds are clients that misbehave at an HTTP port. Each function opens one connection.
var httpCrowds = map[string]func(conn net.Conn, path string){
	"silent connections": func(net.Conn, string) {},
	"unfinished headers": func(conn net.Conn, path string) {
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nX-Part: ", path)
	},
	"long headers": func(conn net.Conn, path string) {
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nX-Long: %s", path, strings.Repeat("x", 900<<10))
	},
	"kept connections": func(conn net.Conn, path string) {
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
		_, _ = conn.Read(make([]byte, 512))
	},
	"unfinished bodies": func(conn net.Conn, path string) {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nx", path)
	},
}

// openHTTP opens three connections for each place of a client.
func openHTTP(c *crowd, address, path string, open func(net.Conn, string)) {
	c.run(3*placeLimit, func(int) {
		conn, err := dial(address, crowdAddress)
		if err != nil {
			return
		}
		c.keep(conn)
		open(conn, path)
	})
}

// TestReadinessUnderCrowd guards against connections to the readiness port that use up the descriptors or the memory of
// a gateway, or that keep the platform from learning that it is ready.
func TestReadinessUnderCrowd(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(httpCrowds)) {
		t.Run(name, func(t *testing.T) {
			f := startGateway(t)
			openHTTP(newCrowd(t), f.readiness, "/api/readiness", httpCrowds[name])
			eventually(t, serviceTimeout, "the readiness check is answered", f.isReady)
			f.requireService(t)
			f.requireBounds(t)
		})
	}
}

// TestServeReadinessUnderCrowd is TestReadinessUnderCrowd for the port of the serve command.
func TestServeReadinessUnderCrowd(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(httpCrowds)) {
		t.Run(name, func(t *testing.T) {
			f := startServe(t)
			openHTTP(newCrowd(t), f.admin, "/ready", httpCrowds[name])
			eventually(t, serviceTimeout, "the readiness check is answered", func() bool {
				return statusCode("http://"+f.admin+"/ready") == http.StatusOK
			})
			f.requireService(t)
			f.requireBounds(t)
		})
	}
}
