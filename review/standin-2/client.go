package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastID.Add(1)) }

// client is a client's session.
type client struct {
	name   string
	record *record
	conn   net.Conn
	lines  *bufio.Scanner
}

// connect opens a session. from is the client's own address; it may be empty.
func connect(r *record, name, from, address, database, key string) (*client, error) {
	d := net.Dialer{Timeout: 2 * time.Second}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, record: r, conn: conn, lines: newScanner(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "START %s %s\r\n", database, key); err == nil && !c.lines.Scan() {
		err = errors.New("no answer to START")
	}
	if err == nil && !strings.HasPrefix(c.lines.Text(), "READY ") {
		err = errors.New(c.lines.Text())
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// answer is the answer to a query. code is empty after a success.
type answer struct {
	rows  int
	bytes int
	first string
	proof string
	code  string
	state string
}

// query sends a statement and reads the answer. err is set if none came in time.
func (c *client) query(text string, limit time.Duration) (answer, error) {
	return c.queryWithID(newID(), text, limit)
}

func (c *client) queryWithID(id, text string, limit time.Duration) (answer, error) {
	c.record.add("sent     %s by %s: %.60s", id, c.name, text)
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	_, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n"))
	var a answer
	if err == nil {
		a, err = c.receive()
	}
	switch {
	case err != nil:
		c.record.add("answered %s: nothing: %v", id, err)
	case a.code != "":
		c.record.add("answered %s: ERROR %s", id, a.code)
	default:
		c.record.add("answered %s: %d rows of %d bytes in all, COMPLETE %s", id, a.rows, a.bytes, a.proof)
	}
	return a, err
}

func (c *client) receive() (answer, error) {
	var a answer
	for c.lines.Scan() {
		word, rest, _ := strings.Cut(c.lines.Text(), " ")
		switch word {
		case "ROW":
			if a.rows == 0 {
				a.first = rest
			}
			a.rows, a.bytes = a.rows+1, a.bytes+len(rest)
		case "COMPLETE":
			a.proof = rest
		case "ERROR":
			a.code = rest
		case "READY":
			a.state = rest
			return a, nil
		}
	}
	if err := c.lines.Err(); err != nil {
		return a, err
	}
	return a, errors.New("the connection ended")
}

func (c *client) close() { _ = c.conn.Close() }
