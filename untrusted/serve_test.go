package untrusted

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// serveCrowds are the clients that misbehave. Each function returns when they have sent what they can.
var serveCrowds = map[string]func(*testing.T, *crowd, *serveFixture){
	"large messages in one piece":           serveLargeMessages,
	"large messages in small pieces":        serveMessagesInPieces,
	"messages over the limit":               serveOversizedMessages,
	"batches that are not completed":        serveUnfinishedBatches,
	"answers that are not read":             serveWithoutReading,
	"slow senders":                          serveSlowSenders,
	"slow readers":                          serveSlowReaders,
	"half-open sessions":                    serveHalfOpen,
	"prepared statements":                   servePreparedStatements,
	"sessions of one key":                   serveSessionsOfOneKey,
	"sessions of many keys at one address":  serveSessionsOfManyKeys,
	"refused sessions with different names": serveUnknownSessions,
	"transactions that are not continued":   serveHeldTransactions,
}

// TestServeUnderCrowd is TestGatewayUnderCrowd for the serve command and the PostgreSQL protocol.
func TestServeUnderCrowd(t *testing.T) {
	testCrowds(t, serveCrowds, startServe)
}

func serveLargeMessages(_ *testing.T, c *crowd, f *serveFixture) {
	data := strings.Repeat("x", messageSize)
	c.run(senders, func(i int) {
		client := c.joinPostgres(f.clients, "clinic", crowdKey)
		for range 5 {
			if client == nil || client.put(fmt.Sprintf("large-%d", i), data) != nil {
				return
			}
		}
	})
}

func serveMessagesInPieces(_ *testing.T, c *crowd, f *serveFixture) {
	piece := []byte(strings.Repeat("x", 4<<10))
	c.run(senders, func(int) {
		client := c.joinPostgres(f.clients, "clinic", crowdKey)
		if client == nil {
			return
		}
		err := client.write(messageHeader('Q', len(piece)*200+1))
		for i := 0; err == nil && i < 200; i++ {
			err = client.write(piece)
		}
		if err == nil && client.write([]byte{0}) == nil {
			_ = client.awaitReady()
		}
	})
}

func serveOversizedMessages(_ *testing.T, c *crowd, f *serveFixture) {
	piece := []byte(strings.Repeat("x", 256<<10))
	c.run(senders, func(int) {
		client := c.joinPostgres(f.clients, "clinic", crowdKey)
		if client == nil {
			return
		}
		err := client.write(messageHeader('Q', 64*len(piece)))
		for i := 0; err == nil && i < 64; i++ {
			err = client.write(piece)
		}
	})
}

// serveUnfinishedBatches sends large messages without the Sync that ends their batch.
func serveUnfinishedBatches(_ *testing.T, c *crowd, f *serveFixture) {
	message := encodeAll(&pgproto3.Parse{Name: "s", Query: strings.Repeat("x", messageSize)})
	c.run(senders, func(int) {
		client := c.joinPostgres(f.clients, "clinic", crowdKey)
		for range 3 {
			if client == nil || client.write(message) != nil {
				return
			}
		}
	})
}

func serveLargeItem(t *testing.T, f *serveFixture) {
	t.Helper()
	data := strings.Repeat("x", messageSize)
	eventually(t, serviceTimeout, "a large item is stored", func() bool {
		client, err := dialPostgres(f.clients, ordinaryAddress, "orders", "pharmacy", ordinaryKey)
		if err != nil {
			return false
		}
		defer client.close()
		return client.put("large", data) == nil
	})
}

const selectLarge = "select value from kv where key = 'large'"

// serveWithoutReading requests large answers in a pipeline and reads none of them.
func serveWithoutReading(t *testing.T, c *crowd, f *serveFixture) {
	serveLargeItem(t, f)
	query := encodeAll(&pgproto3.Query{String: selectLarge})
	c.run(readers, func(int) {
		client := c.joinPostgresReader(f.clients)
		for range statements {
			if client == nil || client.write(query) != nil {
				return
			}
		}
	})
}

// serveSlowSenders sends half of a message quickly, some bytes of it slowly, and then nothing.
func serveSlowSenders(t *testing.T, c *crowd, f *serveFixture) {
	half := []byte(strings.Repeat("x", messageSize/2))
	c.run(placeLimit, func(int) {
		client := c.joinPostgres(f.clients, "clinic", crowdKey)
		if client == nil {
			return
		}
		err := client.write(append(messageHeader('Q', messageSize), half...))
		for i := 0; err == nil && i < 20; i++ {
			err = client.write([]byte("x"))
			pause(t, pollPeriod)
		}
	})
}

// serveSlowReaders requests large answers and reads them byte by byte.
func serveSlowReaders(t *testing.T, c *crowd, f *serveFixture) {
	serveLargeItem(t, f)
	query := encodeAll(&pgproto3.Query{String: selectLarge})
	c.run(readers, func(int) {
		client := c.joinPostgresReader(f.clients)
		for range 8 {
			if client == nil || client.write(query) != nil {
				return
			}
		}
		readBytes(t, client.conn)
	})
}

// serveHalfOpen opens connections that send nothing or a part of the start-up message.
func serveHalfOpen(_ *testing.T, c *crowd, f *serveFixture) {
	c.openHalf(f.clients, []byte{0, 0, 0, 40, 0, 3})
}

func servePreparedStatements(_ *testing.T, c *crowd, f *serveFixture) {
	const prepared = 60
	filler := strings.Repeat(" ", 32<<10)
	c.run(senders, func(int) {
		client := c.joinPostgres(f.clients, "clinic", crowdKey)
		if client == nil {
			return
		}
		c.running.Go(func() { client.discard(prepared) })
		for n := range prepared {
			message := encodeAll(&pgproto3.Parse{Name: fmt.Sprintf("s-%d", n), Query: "select 1" + filler}, &pgproto3.Sync{})
			if client.write(message) != nil {
				return
			}
		}
	})
}

func serveSessionsOfOneKey(_ *testing.T, c *crowd, f *serveFixture) {
	c.run(placeLimit+placeLimit/2, func(int) { c.joinPostgres(f.clients, "clinic", crowdKey) })
}

func serveSessionsOfManyKeys(_ *testing.T, c *crowd, f *serveFixture) {
	c.run(placeLimit+placeLimit/2, func(i int) {
		c.joinPostgres(f.clients, fmt.Sprintf("ward-%d", i%otherKeys), otherKey(i))
	})
}

// serveUnknownSessions opens sessions whose names and keys are all different, so that each could add an entry to a map,
// a series to the metrics or a line to the log.
func serveUnknownSessions(_ *testing.T, c *crowd, f *serveFixture) {
	c.run(20, func(i int) {
		for n := range statements / 10 {
			client, err := dialPostgres(f.clients, crowdAddress, "orders", fmt.Sprintf("name-%d-%d", i, n), fmt.Sprintf("key-%d-%d", i, n))
			if err == nil {
				client.close()
			}
		}
	})
}

// serveHeldTransactions opens transactions with a server connection each and sends the beginning of their next message.
func serveHeldTransactions(_ *testing.T, c *crowd, f *serveFixture) {
	c.run(3*connectionLimit, func(i int) {
		client := c.joinPostgres(f.clients, "clinic", crowdKey)
		if client == nil || client.exec("begin") != nil {
			return
		}
		_ = client.exec(putSQL(fmt.Sprintf("held-%d", i), "1"))
		_ = client.write(messageHeader('Q', 100))
	})
}
