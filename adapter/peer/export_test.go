package peer

import (
	"context"
	"net"
	"net/http"
)

// Credential shows tests what an instance sends.
func Credential(secret []byte) string {
	shown, _ := credential(secret)
	return shown
}

// SetDial replaces how a client opens connections.
func (c *Client) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	if transport, ok := c.http.Transport.(*http.Transport); ok {
		transport.DialContext = dial
	}
}
