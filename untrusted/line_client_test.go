package untrusted

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// crowdAddress is the source address of the clients that misbehave, and ordinaryAddress that of the others.
	crowdAddress    = "127.0.0.1"
	ordinaryAddress = "127.0.0.2"
)

// smallReceiveBuffer is the size in bytes of the receive buffer of a client that does not read. With the default size,
// the kernel would accept several megabytes on its behalf.
const smallReceiveBuffer = 4 << 10

// dial opens a connection from the source address. Its reads and writes end after crowdTimeout, or after ordinaryTimeout for
// an ordinary client.
func dial(address, source string) (net.Conn, error) {
	return dialWith(address, source, nil)
}

// dialWith is dial with a function that sets options of the socket before it connects.
func dialWith(address, source string, control func(network, address string, c syscall.RawConn) error) (net.Conn, error) {
	timeout := crowdTimeout
	if source == ordinaryAddress {
		timeout = ordinaryTimeout
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: timeout, Control: control}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(timeout))
}

// limitReceiveBuffer gives a socket a small receive buffer.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
	})
	return errors.Join(err, sockErr)
}

// crowd is a group of clients that misbehave at the same time.
type crowd struct {
	t       *testing.T
	running sync.WaitGroup
	mu      sync.Mutex
	conns   []net.Conn
}

// newCrowd returns a crowd whose connections stay open until the end of the test.
func newCrowd(t *testing.T) *crowd {
	c := &crowd{t: t}
	t.Cleanup(c.close)
	return c
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// keep keeps a connection open until the end of the test.
func (c *crowd) keep(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
}

// run runs n clients at the same time and waits for them.
func (c *crowd) run(n int, client func(i int)) {
	for i := range n {
		c.running.Go(func() { client(i) })
	}
	c.running.Wait()
}

// openHalf opens connections that send nothing or the beginning of the first message.
func (c *crowd) openHalf(address string, beginning []byte) {
	c.run(3*placeLimit, func(i int) {
		conn, err := dial(address, crowdAddress)
		if err != nil {
			return
		}
		c.keep(conn)
		if i%2 == 0 {
			_, _ = conn.Write(beginning)
		}
	})
}

// readBytes reads some bytes one by one, with pauses.
func readBytes(t *testing.T, conn net.Conn) {
	t.Helper()
	for range 50 {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		pause(t, pollPeriod)
	}
}

// lineClient is a client of the line protocol.
type lineClient struct {
	conn  net.Conn
	lines *bufio.Reader
	ids   int
}

// dialLine opens a session. It fails if the process refuses it.
func dialLine(address, source, key string) (*lineClient, error) {
	conn, err := dial(address, source)
	if err != nil {
		return nil, err
	}
	return startLine(conn, key)
}

func startLine(conn net.Conn, key string) (*lineClient, error) {
	c := &lineClient{conn: conn, lines: bufio.NewReader(conn)}
	if _, err := conn.Write([]byte("START orders " + key + "\r\n")); err != nil {
		c.close()
		return nil, err
	}
	line, err := c.line()
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = errors.New(line)
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *lineClient) close() { _ = c.conn.Close() }

func (c *lineClient) line() (string, error) {
	line, err := c.lines.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// text returns the message of a query with a new id.
func (c *lineClient) text(statement string) string {
	c.ids++
	return fmt.Sprintf("QUERY %s-%d %s\r\n", c.conn.LocalAddr(), c.ids, statement)
}

// query runs a statement and reports whether it succeeded.
func (c *lineClient) query(statement string) (bool, error) {
	if _, err := c.conn.Write([]byte(c.text(statement))); err != nil {
		return false, err
	}
	return c.result()
}

// result reads a result and reports whether it is a success.
func (c *lineClient) result() (bool, error) {
	succeeded := false
	for {
		line, err := c.line()
		switch {
		case err != nil:
			return false, err
		case strings.HasPrefix(line, "COMPLETE "):
			succeeded = true
		case strings.HasPrefix(line, "READY "):
			return succeeded, nil
		}
	}
}

// discard reads and discards n results, or fewer if the connection ends.
func (c *lineClient) discard(n int) {
	for range n {
		if _, err := c.result(); err != nil {
			return
		}
	}
}

// joinLine opens a session that belongs to the crowd. It returns nil if the process refuses it.
func (c *crowd) joinLine(address, key string) *lineClient {
	client, err := dialLine(address, crowdAddress, key)
	if err != nil {
		return nil
	}
	c.keep(client.conn)
	return client
}

// joinReader is joinLine for a client with a small receive buffer.
func (c *crowd) joinReader(address, key string) *lineClient {
	conn, err := dialWith(address, crowdAddress, limitReceiveBuffer)
	if err != nil {
		return nil
	}
	client, err := startLine(conn, key)
	if err != nil {
		return nil
	}
	c.keep(client.conn)
	return client
}
