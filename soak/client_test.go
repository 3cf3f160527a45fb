package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// answerTimeout is how long a client waits for an answer.
	answerTimeout = 3 * time.Second
	// lossSlack is the platform's loss_slack_ms: a request that was sent longer ago is lost if its connection ends.
	lossSlack = 200 * time.Millisecond
	// reconnectDelay is the time between two attempts to connect.
	reconnectDelay = 50 * time.Millisecond
)

// promises are the answers after which nothing of the attempt is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN", "DENIED", "NODATABASE"}

func valueOf(item string, n int) string { return item + "-" + strconv.Itoa(n) }

// numberOf returns the number of a value; zero if there is none.
func numberOf(value string) int {
	n, _ := strconv.Atoi(value[strings.LastIndex(value, "-")+1:])
	return n
}

// client is a client of one organisation that reads and writes its own items, and reads those of the others.
type client struct {
	soak         *soak
	organisation string
	name         string
	database     string
	random       *rand.Rand
	pause        time.Duration

	conn    net.Conn
	lines   *bufio.Reader
	gateway *gateway
	ids     int
	// n is the number of the value that is attempted next; session is the newest value that this session was
	// acknowledged.
	n          int
	session    int
	generation atomic.Int64
}

// items returns the items that the client writes. After an unknown outcome it uses others, because a write whose outcome
// is unknown may still take effect later.
func (c *client) items() []string {
	prefix := fmt.Sprintf("%s-%d", c.name, c.generation.Load())
	return []string{prefix + "-a", prefix + "-b"}
}

// run performs operations until ctx ends. It keeps its connection until that breaks.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(reconnectDelay)
			continue
		}
		failure := ""
		kind := c.random.IntN(4)
		if c.organisation == "hot" {
			// Servers see statements; only single ones are operations.
			kind = 0
		}
		switch kind {
		case 0:
			failure = c.write()
		case 1:
			failure = c.transaction()
		case 2:
			failure = c.readOwn()
		default:
			failure = c.readOther()
		}
		c.soak.history.recordOperation(failure)
		time.Sleep(c.pause)
	}
	c.disconnect()
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a session at a random gateway.
func (c *client) connect() bool {
	c.gateway = c.soak.gateways[c.random.IntN(len(c.soak.gateways))]
	conn, err := net.DialTimeout("tcp", c.gateway.clientAddress(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.lines, c.session = conn, bufio.NewReader(conn), 0
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(conn, "START %s key-%s\r\n", c.database, c.organisation); err != nil {
		c.disconnect()
		return false
	}
	line, err := c.lines.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY ") {
		c.disconnect()
		return false
	}
	return true
}

// answer is the answer to a query. code is empty after a success, and "none" if no complete answer arrived.
type answer struct {
	row  string
	code string
}

func (a answer) outcome() outcome {
	switch {
	case a.code == "":
		return acknowledged
	case slices.Contains(promises, a.code):
		return notKept
	default:
		return unknown
	}
}

// query sends a query. If no answer arrives, the session ends.
func (c *client) query(text string) answer {
	if c.conn == nil {
		return answer{code: "none"}
	}
	c.ids++
	id := fmt.Sprintf("%s.%s.%d", c.organisation, c.name, c.ids)
	sent := time.Now()
	_ = c.conn.SetDeadline(sent.Add(answerTimeout))
	a, err := c.exchange(id, text)
	if err != nil {
		c.checkLoss(id, sent, err)
		c.disconnect()
		return answer{code: "none"}
	}
	return a
}

func (c *client) exchange(id, text string) (answer, error) {
	var a answer
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := c.lines.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.row = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return a, nil
		}
	}
}

// checkLoss records a violation if a request was cut off during a planned stop.
func (c *client) checkLoss(id string, sent time.Time, err error) {
	if !isTimeout(err) {
		if c.soak.onlyPlanned(c.gateway, sent) && (c.soak.history.hasExecuted(id) || time.Since(sent) > lossSlack) {
			c.soak.history.reportViolation("request %s was cut off by the planned stop of %s after %s: %s", id, c.gateway.name, time.Since(sent), err)
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *client) write() string {
	c.n++
	item := c.items()[0]
	a := c.query("WRITE " + item + " " + valueOf(item, c.n))
	c.recordWrites(a, item)
	return a.code
}

func (c *client) recordWrites(a answer, items ...string) {
	c.soak.history.recordWrites(c.n, a.outcome(), items...)
	switch a.outcome() {
	case acknowledged:
		c.session = c.n
	case unknown:
		c.session = 0
		c.generation.Add(1)
	}
}

// transaction writes both items. Nothing is kept unless the commit succeeds.
func (c *client) transaction() string {
	c.n++
	for _, text := range []string{
		"BEGIN", "WRITE " + c.items()[0] + " " + valueOf(c.items()[0], c.n), "WRITE " + c.items()[1] + " " + valueOf(c.items()[1], c.n),
	} {
		if a := c.query(text); a.code != "" {
			// Without a commit nothing may be kept, whatever the answer was.
			c.soak.history.recordWrites(c.n, notKept, c.items()...)
			c.query("ROLLBACK")
			return a.code
		}
	}
	a := c.query("COMMIT")
	c.recordWrites(a, c.items()...)
	return a.code
}

// readOwn reads an item of this client, whose value is at least that of the session's last acknowledged write.
func (c *client) readOwn() string {
	item := c.items()[0]
	least := max(c.session, c.soak.history.acknowledgedBefore(item, time.Now().Add(-c.staleness())))
	a := c.query("READ " + item)
	if a.code == "" && (numberOf(a.row) < least || numberOf(a.row) > c.n) {
		c.soak.history.reportViolation("%s read value %d of its item through %s, acknowledged is %d and attempted %d",
			c.name, numberOf(a.row), c.gateway.name, least, c.n)
	}
	return a.code
}

// readOther reads an item of another client.
func (c *client) readOther() string {
	item := c.soak.clients[c.random.IntN(len(c.soak.clients))].items()[0]
	least := c.soak.history.acknowledgedBefore(item, time.Now().Add(-c.staleness()))
	a := c.query("READ " + item)
	if a.code == "" && numberOf(a.row) < least {
		c.soak.history.reportViolation("%s read value %d of %s through %s, acknowledged is %d", c.name, numberOf(a.row), item, c.gateway.name, least)
	}
	return a.code
}

// staleness returns how old the data may be that the client reads.
func (c *client) staleness() time.Duration {
	if c.database == "orders" {
		return 0
	}
	return staleness
}
