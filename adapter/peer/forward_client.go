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

// forwardConn is an upgraded connection.
type forwardConn struct {
	net.Conn
	client  *Client
	address string
	number  string
	secret  string
}

// Forward opens a forwarding connection to the instance at the address.
func (c *Client) Forward(ctx context.Context, address string, o entry.ForwardRequest) (entry.ForwardConn, error) {
	if c.http == nil {
		return nil, port.Errorf(port.Unavailable, "the client knows no fleet secret")
	}
	opening, err := encodeOpening(o)
	if err != nil {
		return nil, err
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "instance %s cannot be reached", address)
	}
	upgraded, err := c.upgrade(ctx, conn, address, opening)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return upgraded, nil
}

func (c *Client) upgrade(ctx context.Context, conn net.Conn, address, opening string) (*forwardConn, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req, err := c.request(ctx, address, forwardPath)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", forwardProtocol)
	req.Header.Set(openingHeader, opening)
	if err := req.Write(conn); err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	reader := bufio.NewReaderSize(io.LimitReader(conn, maxHeader), maxHeader/16)
	res, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusSwitchingProtocols || reader.Buffered() > 0 {
		return nil, refusalOf(res, address)
	}
	return &forwardConn{
		Conn: conn, client: c, address: address,
		number: res.Header.Get(numberHeader), secret: res.Header.Get(secretHeader),
	}, nil
}

// refusalOf returns the error that the answer reports.
func refusalOf(res *http.Response, address string) error {
	kind, reason := port.Kind(res.Header.Get(kindHeader)), res.Header.Get(reasonHeader)
	if kind == "" {
		return port.Errorf(port.Unavailable, "instance %s answers %s", address, res.Status)
	}
	return port.Errorf(kind, "%s", reason)
}

// Cancel asks the serving instance to cancel the caller's request.
func (c *forwardConn) Cancel(ctx context.Context) error {
	req, err := c.client.request(ctx, c.address, cancelPath)
	if err != nil {
		return err
	}
	req.Header.Set(numberHeader, c.number)
	req.Header.Set(secretHeader, c.secret)
	return c.client.do(req, c.address)
}

// Ping fails when the instance at the address does not answer.
func (c *Client) Ping(ctx context.Context, address string) error {
	if c.http == nil {
		return port.Errorf(port.Unavailable, "the client knows no fleet secret")
	}
	req, err := c.request(ctx, address, alivePath)
	if err != nil {
		return err
	}
	return c.do(req, address)
}

func (c *Client) request(ctx context.Context, address, path string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, port.Wrapf(err, port.Invalid, "address %q of an instance", address)
	}
	req.Header.Set("Authorization", c.credential)
	return req, nil
}

func (c *Client) do(req *http.Request, address string) error {
	res, err := c.http.Do(req)
	if err != nil {
		return port.Wrapf(err, port.Unavailable, "instance %s does not answer", address)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxHeader))
	_ = res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return port.Errorf(port.Unavailable, "instance %s answers %s", address, strconv.Itoa(res.StatusCode))
	}
	return nil
}
