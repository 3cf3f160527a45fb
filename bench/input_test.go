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

// inputLimit bounds how long a malformed connection may stay open. It is above the 10 s of the start-up.
const inputLimit = 15 * time.Second

// TestBadInput guards against input that gets past admission, is answered with something else than its stated error,
// keeps its connection, or harms other callers, who write all the time.
func TestBadInput(t *testing.T) {
	f := newFleet(t)
	address := f.members[0].callers
	l := f.startLoad(0, f.members[0])
	halfSent(t, address, f.writer(0))
	t.Run("wrong key", func(t *testing.T) { requireRefused(t, address, f.writer(0).withKey("wrong"), "28P01") })
	t.Run("another organisation's key", func(t *testing.T) {
		requireRefused(t, address, f.writer(0).withKey(f.secrets.rivalKey), "28P01")
	})
	t.Run("unknown organisation", func(t *testing.T) {
		requireRefused(t, address, f.writer(0).withOrganisation("nobody"), "28P01")
	})
	t.Run("unknown route", func(t *testing.T) {
		nowhere := f.writer(0)
		nowhere.route = "nowhere"
		requireRefused(t, address, nowhere, "3D000")
	})
	t.Run("token of another organisation", func(t *testing.T) {
		rival := mustDial(t, address, f.writer(0).withOrganisation("rival").withKey(f.secrets.rivalKey))
		rival.mustExec(t, putSQL("tin", "1"))
		requireRefused(t, address, f.writer(0).withSession(rival.token()), "22023")
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
	t.Run("no PostgreSQL at all", func(t *testing.T) { requireClosed(t, address, []byte("GET / HTTP/1.1\r\n\r\n")) })
	t.Run("oversized message", func(t *testing.T) {
		c := mustDial(t, address, f.writer(0))
		_, err := c.exec(putSQL("tin", strings.Repeat("x", 2<<20)))
		requireCode(t, "54000", err)
	})
	t.Run("message with an impossible length", func(t *testing.T) {
		c := mustDial(t, address, f.writer(0))
		hijacked, err := c.conn.Hijack()
		require.NoError(t, err)
		message := binary.BigEndian.AppendUint32([]byte{'Q'}, 2)
		_, err = hijacked.Conn.Write(message)
		require.NoError(t, err)
		requireEnds(t, hijacked.Conn)
	})
	t.Run("half-open start-up", func(t *testing.T) { requireClosed(t, address, []byte{0, 0, 0, 40, 0, 3}) })
	t.Run("other callers are unharmed", func(t *testing.T) {
		l.awaitMore(20)
		l.end()
		require.Equal(t, l.counts()[done], sum(l.counts()), "outcomes: %v", l.counts())
		requireTrueOutcomes(t, mustDial(t, f.members[1].callers, f.reader(0)), l)
	})
}

// halfSent leaves a connection open in the middle of a message until the end of the test.
func halfSent(t testing.TB, address string, l login) {
	t.Helper()
	c, err := dial(address, l)
	require.NoError(t, err)
	hijacked, err := c.conn.Hijack()
	require.NoError(t, err)
	t.Cleanup(func() { _ = hijacked.Conn.Close() })
	_, err = hijacked.Conn.Write([]byte{'Q', 0, 0, 0, 40, 'S', 'E'})
	require.NoError(t, err)
}

// requireRefused requires that a caller is refused at start-up with the code.
func requireRefused(t testing.TB, address string, l login, code string) {
	t.Helper()
	c, err := dial(address, l)
	if err == nil {
		c.close()
	}
	requireCode(t, code, err)
}

// requireClosed sends bytes as the start of a connection, and requires that it ends.
func requireClosed(t testing.TB, address string, data []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(data)
	require.NoError(t, err)
	requireEnds(t, conn)
}

// requireEnds requires that the other side closes the connection, after nothing or after errors that say "not run".
func requireEnds(t testing.TB, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(inputLimit)))
	frontend := pgproto3.NewFrontend(conn, conn)
	for {
		message, err := frontend.Receive()
		if err != nil {
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is still open")
			return
		}
		told, ok := message.(*pgproto3.ErrorResponse)
		require.True(t, ok, "answer is %T", message)
		require.Equal(t, "08P01", told.Code, told.Message)
		require.Contains(t, told.Message, "not run")
	}
}

func sum(counts map[outcome]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
