package untrusted

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

const (
	messageSize = 1<<20 - 200
	// senders is the number of clients that send or request large messages.
	senders = 80
	// readers is the number of clients that request large answers and do not read them.
	readers = 150
	// statements is the number of statements that a client pipelines.
	statements = 1500
)

// gatewayCrowds are the clients that misbehave. Each function returns when they have sent what they can.
var gatewayCrowds = map[string]func(*testing.T, *crowd, *gatewayFixture){
	"large messages in one piece":           sendLargeMessages,
	"large messages in small pieces":        sendMessagesInPieces,
	"messages over the limit":               sendOversizedMessages,
	"answers that are not read":             sendWithoutReading,
	"slow senders":                          sendSlowly,
	"slow readers":                          readSlowly,
	"half-open sessions":                    openHalf,
	"session values":                        setValues,
	"prepared statements":                   prepareStatements,
	"long names of prepared statements":     prepareLongNames,
	"sessions of one key":                   openSessionsOfOneKey,
	"sessions of many keys at one address":  openSessionsOfManyKeys,
	"refused sessions with different names": openUnknownSessions,
	"transactions that are not continued":   holdTransactions,
	"values with long request identifiers":  setValuesWithLongIDs,
	"failures with long identifiers":        failWithLongIDs,
}

// TestGatewayUnderCrowd guards against clients that make a gateway exceed the memory or the descriptors of its machine,
// that end it, or that take the places of ordinary clients.
func TestGatewayUnderCrowd(t *testing.T) {
	testCrowds(t, gatewayCrowds, startGateway)
}

// fixture is a process under test with what it needs.
type fixture interface {
	requireService(t *testing.T)
	requireBounds(t *testing.T)
}

// testCrowds starts a process for each crowd and requires that it still serves afterwards.
func testCrowds[F fixture](t *testing.T, crowds map[string]func(*testing.T, *crowd, F), start func(*testing.T) F) {
	for _, name := range slices.Sorted(maps.Keys(crowds)) {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			crowds[name](t, newCrowd(t), f)
			f.requireService(t)
			f.requireBounds(t)
		})
	}
}

func sendLargeMessages(_ *testing.T, c *crowd, f *gatewayFixture) {
	data := strings.Repeat("x", messageSize)
	c.run(senders, func(i int) {
		client := c.joinLine(f.clients, crowdKey)
		for range 5 {
			if client == nil {
				return
			}
			if _, err := client.query(fmt.Sprintf("WRITE large-%d %s", i, data)); err != nil {
				return
			}
		}
	})
}

func sendMessagesInPieces(_ *testing.T, c *crowd, f *gatewayFixture) {
	piece := []byte(strings.Repeat("x", 4<<10))
	c.run(senders, func(i int) {
		client := c.joinLine(f.clients, crowdKey)
		if client == nil {
			return
		}
		_, err := client.conn.Write([]byte(strings.TrimSuffix(client.text(fmt.Sprintf("WRITE pieces-%d ", i)), "\r\n")))
		for sent := 0; err == nil && sent+len(piece) <= messageSize; sent += len(piece) {
			_, err = client.conn.Write(piece)
		}
		if err == nil {
			_, err = client.conn.Write([]byte("\r\n"))
		}
		if err == nil {
			_, _ = client.result()
		}
	})
}

func sendOversizedMessages(_ *testing.T, c *crowd, f *gatewayFixture) {
	piece := []byte(strings.Repeat("x", 256<<10))
	c.run(senders, func(int) {
		client := c.joinLine(f.clients, crowdKey)
		if client == nil {
			return
		}
		for range 64 {
			if _, err := client.conn.Write(piece); err != nil {
				return
			}
		}
	})
}

// sendWithoutReading requests large answers in a pipeline and reads none of them.
func sendWithoutReading(t *testing.T, c *crowd, f *gatewayFixture) {
	storeLargeItem(t, f)
	c.run(readers, func(int) {
		client := c.joinReader(f.clients, crowdKey)
		if client == nil {
			return
		}
		for range statements {
			if _, err := client.conn.Write([]byte(client.text("READ large"))); err != nil {
				return
			}
		}
	})
}

func storeLargeItem(t *testing.T, f *gatewayFixture) {
	t.Helper()
	data := strings.Repeat("x", messageSize)
	eventually(t, serviceTimeout, "a large item is stored", func() bool {
		client, err := dialLine(f.clients, ordinaryAddress, ordinaryKey)
		if err != nil {
			return false
		}
		defer client.close()
		written, err := client.query("WRITE large " + data)
		return err == nil && written
	})
}

// sendSlowly sends half of a message quickly, some bytes of it slowly, and then nothing.
func sendSlowly(t *testing.T, c *crowd, f *gatewayFixture) {
	half := strings.Repeat("x", messageSize/2)
	c.run(placeLimit, func(int) {
		client := c.joinLine(f.clients, crowdKey)
		if client == nil {
			return
		}
		_, err := client.conn.Write([]byte("QUERY 1 WRITE slow " + half))
		for i := 0; err == nil && i < 20; i++ {
			_, err = client.conn.Write([]byte("x"))
			pause(t, pollPeriod)
		}
	})
}

// readSlowly requests large answers and reads them byte by byte.
func readSlowly(t *testing.T, c *crowd, f *gatewayFixture) {
	storeLargeItem(t, f)
	c.run(readers, func(int) {
		client := c.joinReader(f.clients, crowdKey)
		if client == nil {
			return
		}
		for range 8 {
			if _, err := client.conn.Write([]byte(client.text("READ large"))); err != nil {
				return
			}
		}
		readBytes(t, client.conn)
	})
}

// openHalf opens connections that send nothing or a part of the START message.
func openHalf(_ *testing.T, c *crowd, f *gatewayFixture) {
	c.openHalf(f.clients, []byte("STA"))
}

func setValues(_ *testing.T, c *crowd, f *gatewayFixture) {
	value := strings.Repeat("x", 4<<10)
	pipelineStatements(c, f, func(n int) string { return fmt.Sprintf("SET name-%d %s", n, value) })
}

func prepareStatements(_ *testing.T, c *crowd, f *gatewayFixture) {
	shape := strings.Repeat("x", 4<<10)
	pipelineStatements(c, f, func(n int) string { return fmt.Sprintf("PREPARE name-%d READ %s", n, shape) })
}

func prepareLongNames(_ *testing.T, c *crowd, f *gatewayFixture) {
	name := strings.Repeat("x", 4<<10)
	pipelineStatements(c, f, func(n int) string { return fmt.Sprintf("PREPARE %s-%d READ q", name, n) })
}

// setValuesWithLongIDs sets short values in requests whose identifiers are long, and which the session must not keep.
func setValuesWithLongIDs(_ *testing.T, c *crowd, f *gatewayFixture) {
	id := strings.Repeat("x", 100<<10)
	c.run(senders/4, func(int) {
		client := c.joinLine(f.clients, crowdKey)
		for n := range 100 {
			if client == nil {
				return
			}
			if _, err := fmt.Fprintf(client.conn, "QUERY %s SET name-%d value\r\n", id, n); err != nil {
				return
			}
			if _, err := client.result(); err != nil {
				return
			}
		}
	})
}

// failWithLongIDs sends requests that fail and whose identifiers could be written to the log.
func failWithLongIDs(_ *testing.T, c *crowd, f *gatewayFixture) {
	id := strings.Repeat("x", 100<<10)
	c.run(senders/4, func(int) {
		client := c.joinLine(f.clients, crowdKey)
		for range 40 {
			if client == nil {
				return
			}
			if _, err := fmt.Fprintf(client.conn, "QUERY %s EXECUTE nothing\r\n", id); err != nil {
				return
			}
			if _, err := client.result(); err != nil {
				return
			}
		}
	})
}

// pipelineStatements sends statements without waiting for their answers, which are read.
func pipelineStatements(c *crowd, f *gatewayFixture, text func(n int) string) {
	c.run(senders/2, func(int) {
		client := c.joinLine(f.clients, crowdKey)
		if client == nil {
			return
		}
		c.running.Go(func() { client.discard(statements) })
		for n := range statements {
			if _, err := client.conn.Write([]byte(client.text(text(n)))); err != nil {
				return
			}
		}
	})
}

func openSessionsOfOneKey(_ *testing.T, c *crowd, f *gatewayFixture) {
	c.run(placeLimit+placeLimit/2, func(int) { c.joinLine(f.clients, crowdKey) })
}

func openSessionsOfManyKeys(_ *testing.T, c *crowd, f *gatewayFixture) {
	c.run(placeLimit+placeLimit/2, func(i int) { c.joinLine(f.clients, otherKey(i)) })
}

// openUnknownSessions opens sessions whose names and keys are all different, so that each could add an entry to a map,
// a series to the metrics or a line to the log.
func openUnknownSessions(_ *testing.T, c *crowd, f *gatewayFixture) {
	c.run(20, func(i int) {
		for n := range statements / 10 {
			conn, err := dial(f.clients, crowdAddress)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "START base-%d-%d key-%d-%d\r\n", i, n, i, n)
			_, _ = conn.Read(make([]byte, 64))
			_ = conn.Close()
		}
	})
}

// holdTransactions opens transactions with a server connection each and sends the beginning of their next message.
func holdTransactions(_ *testing.T, c *crowd, f *gatewayFixture) {
	c.run(3*connectionLimit, func(i int) {
		client := c.joinLine(f.clients, crowdKey)
		if client == nil {
			return
		}
		_, _ = client.conn.Write([]byte(client.text("BEGIN") + client.text(fmt.Sprintf("WRITE held-%d 1", i)) + "QUERY 3 WRI"))
		_, _ = client.result()
		_, _ = client.result()
	})
}
