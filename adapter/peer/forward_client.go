package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

var _ entry.ForwardClient = (*Client)(nil)

// forwardConn is an upgraded connection to a serving instance. number and secret identify it in cancel requests.
type forwardConn struct {
	net.Conn
	client  *Client
	address string
	number  string
	secret  string
}

// Forward implements entry.ForwardClient. It opens one upgraded connection for each client.
func (c *Client) Forward(ctx context.Context, address string, r entry.ForwardRequest) (entry.ForwardConn, error) {
	if c.http == nil {
		return nil, port.Errorf(port.Unavailable, "peer client has no credential")
	}
	header, err := encodeForwardRequest(r)
	if err != nil {
		return nil, err
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "cannot connect to instance %s", address)
	}
	upgraded, err := c.upgrade(ctx, conn, address, header)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return upgraded, nil
}

func (c *Client) upgrade(ctx context.Context, conn net.Conn, address, header string) (*forwardConn, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req, err := c.request(ctx, address, forwardPath)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", forwardProtocol)
	req.Header.Set(forwardRequestHeader, header)
	if err := req.Write(conn); err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	reader := bufio.NewReaderSize(io.LimitReader(conn, maxHeaderBytes), maxHeaderBytes/16)
	res, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusSwitchingProtocols || reader.Buffered() > 0 {
		return nil, responseError(res, address)
	}
	return &forwardConn{
		Conn: conn, client: c, address: address,
		number: res.Header.Get(numberHeader), secret: res.Header.Get(secretHeader),
	}, nil
}

// responseError returns the error that a response reports in its headers.
func responseError(res *http.Response, address string) error {
	kind, reason := port.Kind(res.Header.Get(kindHeader)), res.Header.Get(reasonHeader)
	if kind == "" {
		return port.Errorf(port.Unavailable, "instance %s returned status %s", address, res.Status)
	}
	return port.Errorf(kind, "%s", reason)
}

// Cancel implements entry.ForwardConn.
func (c *forwardConn) Cancel(ctx context.Context) error {
	req, err := c.client.request(ctx, c.address, cancelPath)
	if err != nil {
		return err
	}
	req.Header.Set(numberHeader, c.number)
	req.Header.Set(secretHeader, c.secret)
	return c.client.do(req, c.address)
}

// Ping implements entry.ForwardClient.
func (c *Client) Ping(ctx context.Context, address string) error {
	if c.http == nil {
		return port.Errorf(port.Unavailable, "peer client has no credential")
	}
	req, err := c.request(ctx, address, pingPath)
	if err != nil {
		return err
	}
	return c.do(req, address)
}

func (c *Client) request(ctx context.Context, address, path string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, port.Wrapf(err, port.Invalid, "instance address %q is invalid", address)
	}
	req.Header.Set("Authorization", c.credential)
	return req, nil
}

func (c *Client) do(req *http.Request, address string) error {
	res, err := c.http.Do(req)
	if err != nil {
		return port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxHeaderBytes))
	_ = res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return port.Errorf(port.Unavailable, "instance %s returned status %s", address, strconv.Itoa(res.StatusCode))
	}
	return nil
}
