package peer

import (
	"context"
	"net"
	"net/http"
)

// Credential returns the Authorization header of an instance.
func Credential(secret []byte) string {
	cred, _ := credential(secret)
	return cred
}

// SetDial replaces the function with which the client opens connections.
func (c *Client) SetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	if transport, ok := c.http.Transport.(*http.Transport); ok {
		transport.DialContext = dial
	}
}
