package bench

import (
	"encoding/binary"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// invalidInputTimeout is how long a malformed connection may stay open. It exceeds the start-up time-out of 10 s.
const invalidInputTimeout = 15 * time.Second

// TestInvalidInput guards against invalid input that is accepted, gets another error than the documented one, does not
// close its connection, or affects the writes of other clients.
func TestInvalidInput(t *testing.T) {
	f := newFixture(t)
	address := f.members[0].clientAddress
	l := f.startLoad(0, f.members[0])
	sendPartialMessage(t, address, f.writeLogin(0))
	t.Run("wrong key", func(t *testing.T) { requireRefused(t, address, f.writeLogin(0).withKey("wrong"), "28P01") })
	t.Run("another organisation's key", func(t *testing.T) {
		requireRefused(t, address, f.writeLogin(0).withKey(f.secrets.rivalKey), "28P01")
	})
	t.Run("unknown organisation", func(t *testing.T) {
		requireRefused(t, address, f.writeLogin(0).withOrganisation("nobody"), "28P01")
	})
	t.Run("unknown route", func(t *testing.T) {
		nowhere := f.writeLogin(0)
		nowhere.route = "nowhere"
		requireRefused(t, address, nowhere, "3D000")
	})
	t.Run("token of another organisation", func(t *testing.T) {
		rival := mustDial(t, address, f.writeLogin(0).withOrganisation("rival").withKey(f.secrets.rivalKey))
		rival.mustExec(t, putSQL("tin", "1"))
		requireRefused(t, address, f.writeLogin(0).withSession(rival.token()), "22023")
	})
	t.Run("malformed start-up length", func(t *testing.T) {
		requireClosed(t, address, []byte{0, 0, 0, 3, 0, 3, 0, 0})
	})
	t.Run("malformed start-up parameters", func(t *testing.T) {
		requireClosed(t, address, append([]byte{0, 0, 0, 12, 0, 3, 0, 0}, "user"...))
	})
	t.Run("oversized start-up", func(t *testing.T) {
		requireClosed(t, address, []byte{0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0})
	})
	t.Run("other protocol", func(t *testing.T) { requireClosed(t, address, []byte("GET / HTTP/1.1\r\n\r\n")) })
	t.Run("oversized message", func(t *testing.T) {
		c := mustDial(t, address, f.writeLogin(0))
		_, err := c.exec(putSQL("tin", strings.Repeat("x", 2<<20)))
		requireCode(t, "54000", err)
	})
	t.Run("message with an invalid length", func(t *testing.T) {
		c := mustDial(t, address, f.writeLogin(0))
		hijacked, err := c.conn.Hijack()
		require.NoError(t, err)
		message := binary.BigEndian.AppendUint32([]byte{'Q'}, 2)
		_, err = hijacked.Conn.Write(message)
		require.NoError(t, err)
		requireClosedByInstance(t, hijacked.Conn)
	})
	t.Run("half-open start-up", func(t *testing.T) { requireClosed(t, address, []byte{0, 0, 0, 40, 0, 3}) })
	t.Run("other clients are not affected", func(t *testing.T) {
		l.awaitMore(20)
		l.end()
		require.Equal(t, l.counts()[done], sum(l.counts()), "outcomes: %v", l.counts())
		requireCorrectOutcomes(t, mustDial(t, f.members[1].clientAddress, f.readLogin(0)), l)
	})
}

// sendPartialMessage sends an incomplete message and keeps the connection open until the end of the test.
func sendPartialMessage(t testing.TB, address string, l login) {
	t.Helper()
	c, err := dial(address, l)
	require.NoError(t, err)
	hijacked, err := c.conn.Hijack()
	require.NoError(t, err)
	t.Cleanup(func() { _ = hijacked.Conn.Close() })
	_, err = hijacked.Conn.Write([]byte{'Q', 0, 0, 0, 40, 'S', 'E'})
	require.NoError(t, err)
}

// requireRefused requires that a client is refused at start-up with the code.
func requireRefused(t testing.TB, address string, l login, code string) {
	t.Helper()
	c, err := dial(address, l)
	if err == nil {
		c.close()
	}
	requireCode(t, code, err)
}

// requireClosed sends bytes on a new connection and requires that the instance closes it.
func requireClosed(t testing.TB, address string, data []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(data)
	require.NoError(t, err)
	requireClosedByInstance(t, conn)
}

// requireClosedByInstance requires that the instance closes the connection, without a response or after errors that
// report "not run".
func requireClosedByInstance(t testing.TB, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(invalidInputTimeout)))
	frontend := pgproto3.NewFrontend(conn, conn)
	for {
		message, err := frontend.Receive()
		if err != nil {
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is still open")
			return
		}
		response, ok := message.(*pgproto3.ErrorResponse)
		require.True(t, ok, "response is %T", message)
		require.Equal(t, "08P01", response.Code, response.Message)
		require.Contains(t, response.Message, "not run")
	}
}

func sum(counts map[outcome]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
