package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns a new id of a statement.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e000000000000+lastID.Add(1)) }

// answer is the answer to a statement. code is empty after a success, and "lost" if the connection ended without one.
type answer struct {
	rows  []string
	proof string
	code  string
	text  string
	state string
}

// client is a session of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// dial opens a session. It returns the code of an error answer to START.
func dial(address, database, key string) (*client, string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, "lost"
	}
	c := &client{conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		conn.Close()
		return nil, "lost"
	}
	line, err := readMessage(c.r)
	if err != nil || !strings.HasPrefix(line, "READY ") {
		conn.Close()
		if fields := strings.Fields(line); len(fields) > 1 {
			return nil, fields[1]
		}
		return nil, "lost"
	}
	return c, ""
}

func (c *client) close() { c.conn.Close() }

// query sends a statement and waits for its answer.
func (c *client) query(id, text string, limit time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{code: "lost"}
	}
	var a answer
	for {
		line, err := readMessage(c.r)
		if err != nil {
			return answer{code: "lost"}
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.proof = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}
