package untrusted

import (
	"encoding/binary"
	"errors"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// postgresClient is a client of the PostgreSQL protocol.
type postgresClient struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
}

// dialPostgres opens a session. It fails if the process refuses it.
func dialPostgres(address, source, route, user, key string) (*postgresClient, error) {
	conn, err := dial(address, source)
	if err != nil {
		return nil, err
	}
	return startPostgres(conn, route, user, key)
}

func startPostgres(conn net.Conn, route, user, key string) (*postgresClient, error) {
	c := &postgresClient{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": user, "database": route, "rhubarbwick.session": "new"},
	})
	c.frontend.Send(&pgproto3.PasswordMessage{Password: key})
	err := c.frontend.Flush()
	if err == nil {
		err = c.awaitReady()
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *postgresClient) close() { _ = c.conn.Close() }

// awaitReady reads messages up to ReadyForQuery. It fails if an error is among them.
func (c *postgresClient) awaitReady() error {
	var failure error
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return errors.Join(failure, err)
		}
		switch message := message.(type) {
		case *pgproto3.ErrorResponse:
			failure = errors.New(message.Code + " " + message.Message)
		case *pgproto3.ReadyForQuery:
			return failure
		}
	}
}

// exec runs a simple query.
func (c *postgresClient) exec(sql string) error {
	c.frontend.Send(&pgproto3.Query{String: sql})
	if err := c.frontend.Flush(); err != nil {
		return err
	}
	return c.awaitReady()
}

// put stores an item whose value is a parameter, which the stand-in does not have to parse.
func (c *postgresClient) put(key, value string) error {
	c.frontend.Send(&pgproto3.Parse{Query: "insert into kv (key, value) values ($1, $2)"})
	c.frontend.Send(&pgproto3.Bind{Parameters: [][]byte{[]byte(key), []byte(value)}})
	c.frontend.Send(&pgproto3.Execute{})
	c.frontend.Send(&pgproto3.Sync{})
	if err := c.frontend.Flush(); err != nil {
		return err
	}
	return c.awaitReady()
}

// discard reads and discards the responses to n batches, or fewer if the connection ends.
func (c *postgresClient) discard(n int) {
	for n > 0 {
		message, err := c.frontend.Receive()
		if err != nil {
			return
		}
		if _, isReady := message.(*pgproto3.ReadyForQuery); isReady {
			n--
		}
	}
}

// write sends encoded messages.
func (c *postgresClient) write(data []byte) error {
	_, err := c.conn.Write(data)
	return err
}

// messageHeader returns the first bytes of a message with the length of its body.
func messageHeader(kind byte, body int) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, uint32(body+4))
}

// encodeAll returns the encoding of messages.
func encodeAll(messages ...pgproto3.FrontendMessage) []byte {
	var data []byte
	for _, m := range messages {
		encoded, err := m.Encode(data)
		if err != nil {
			panic(err)
		}
		data = encoded
	}
	return data
}

// joinPostgres opens a session that belongs to the crowd. It returns nil if the process refuses it.
func (c *crowd) joinPostgres(address, user, key string) *postgresClient {
	client, err := dialPostgres(address, crowdAddress, "orders", user, key)
	if err != nil {
		return nil
	}
	c.keep(client.conn)
	return client
}

// joinPostgresReader is joinPostgres for a client of the route for reads with a small receive buffer.
func (c *crowd) joinPostgresReader(address string) *postgresClient {
	conn, err := dialWith(address, crowdAddress, limitReceiveBuffer)
	if err != nil {
		return nil
	}
	client, err := startPostgres(conn, "stock", "clinic", crowdKey)
	if err != nil {
		return nil
	}
	c.keep(client.conn)
	return client
}
