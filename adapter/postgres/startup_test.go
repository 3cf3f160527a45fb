package postgres_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Guards against a caller that gets in without its key, and against start-up parameters that are lost.
func TestStartUp(t *testing.T) {
	f, _ := startOne(t)
	refused := func(name string, kind port.Kind, url string) {
		t.Run(name, func(t *testing.T) {
			_, err := pgx.Connect(t.Context(), url)
			requireState(t, kind, err)
		})
	}
	refused("unknown route", port.UnknownRoute, f.url("acme", "nowhere", ""))
	refused("wrong key", port.KeyRefused, "postgres://acme:wrong@"+f.address+"/stock?sslmode=disable")
	refused("replication", port.Unsupported, f.url("acme", "stock", "&replication=database"))
	t.Run("parameters", func(t *testing.T) {
		conn, err := pgx.Connect(t.Context(), f.url("acme", "orders",
			"&application_name=till&unknown=1&default_transaction_read_only=on&rhubarbwick.session=new"))
		require.NoError(t, err)
		requireCredentials(t, f, "new", true)
		require.Equal(t, "till", conn.PgConn().ParameterStatus("application_name"))
		require.NoError(t, conn.Close(t.Context()))
	})
	t.Run("parameters inside options", func(t *testing.T) {
		conn, err := pgx.Connect(t.Context(), f.url("acme", "orders",
			"&options=-c%20rhubarbwick.session%3Dto%5C%20ken%20-cdefault_transaction_read_only%3Dtrue%20--x%3Dy"))
		require.NoError(t, err)
		requireCredentials(t, f, "to ken", true)
		require.NoError(t, conn.Close(t.Context()))
	})
}

// Guards against an organisation's name that ends the literal in the bind command.
func TestQuoting(t *testing.T) {
	f, server := startOne(t)
	_, frontend := f.login(t, `o'b\c`, "stock")
	requireAnswer(t, frontend, "TDCZ", &pgproto3.Query{String: "select 1"})
	require.Equal(t, []string{`1 E'o''b\\c/read select 1`}, server.statements())
}

// Guards against a malformed or half-open connection that harms other callers.
func TestMalformed(t *testing.T) {
	f, _ := startOne(t)
	good := f.connect("acme", "stock")
	malformed := func(name string, bytes []byte) {
		t.Run(name, func(t *testing.T) {
			conn := f.dial(t)
			_, err := conn.Write(bytes)
			require.NoError(t, err)
			requireFatal(t, pgproto3.NewFrontend(conn, conn), port.Protocol)
			requireRow(t, good, "select 1")
		})
	}
	malformed("negative length", []byte{0xff, 0xff, 0xff, 0xff})
	malformed("huge length", []byte{0x7f, 0, 0, 0, 0, 3, 0, 0})
	malformed("old version", []byte{0, 0, 0, 8, 0, 2, 0, 0})
	malformed("no parameters", []byte{0, 0, 0, 9, 0, 3, 0, 0, 0})
	malformed("no terminators", []byte{0, 0, 0, 12, 0, 3, 0, 0, 'u', 's', 'e', 'r'})
	t.Run("half-open", func(t *testing.T) {
		conn := f.dial(t)
		_, err := conn.Write([]byte{0, 0})
		require.NoError(t, err)
		defer f.keepTimeMoving()()
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		requireRow(t, good, "select 1")
	})
	t.Run("unknown message", func(t *testing.T) {
		conn, frontend := f.login(t, "acme", "stock")
		_, err := conn.Write([]byte{'!', 0, 0, 0, 4})
		require.NoError(t, err)
		requireFatal(t, frontend, port.Protocol)
	})
	t.Run("message above the limit", func(t *testing.T) {
		conn, err := pgx.Connect(t.Context(), f.url("acme", "orders", ""))
		require.NoError(t, err)
		_, err = conn.Exec(t.Context(), string(make([]byte, postgres.DefaultMessageLimit+1)), pgx.QueryExecModeSimpleProtocol)
		requireState(t, port.TooLarge, err)
	})
}

// Guards against more callers than the limit, and against a limit that keeps cancel requests out.
func TestCallerLimit(t *testing.T) {
	f := start(t, postgres.ListenerConfig{MaxClients: 1}, startFake(t))
	requireRow(t, f.connect("acme", "stock"), "select 1")
	_, err := pgx.Connect(t.Context(), f.url("acme", "stock", ""))
	requireState(t, port.NoConnection, err)
}

// Guards against a driver of a later protocol version that cannot connect.
func TestLaterVersion(t *testing.T) {
	f, _ := startOne(t)
	conn := f.dial(t)
	frontend := pgproto3.NewFrontend(conn, conn)
	parameters := map[string]string{"user": "acme", "database": "stock", "_pq_.later": "1"}
	body := encodeMessage(t, &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32, Parameters: parameters})
	body[7] = 99
	_, err := conn.Write(body)
	require.NoError(t, err)
	m, err := frontend.Receive()
	require.NoError(t, err)
	want := &pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 2, UnrecognizedOptions: []string{"_pq_.later"}}
	require.Equal(t, want, m)
}

// Guards against a certificate that is set but not used, and a key that is sent in clear text although it is set.
func TestTLS(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	f := start(t, postgres.ListenerConfig{TLS: &tls.Config{Certificates: certified.TLS.Certificates}}, startFake(t))
	cfg, err := pgx.ParseConfig(f.url("acme", "stock", ""))
	require.NoError(t, err)
	cfg.TLSConfig = &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "127.0.0.1"}
	cfg.TLSConfig.RootCAs.AddCert(certified.Certificate())
	conn, err := pgx.ConnectConfig(t.Context(), cfg)
	require.NoError(t, err)
	defer func() { _ = conn.Close(context.Background()) }()
	requireRow(t, conn, "select 1")
	require.IsType(t, &tls.Conn{}, conn.PgConn().Conn())
	_, err = pgx.Connect(t.Context(), f.url("acme", "stock", ""))
	requireState(t, port.Protocol, err)
}

func (f *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// login returns a caller that sends and receives single messages.
func (f *fixture) login(t *testing.T, organisation, route string) (net.Conn, *pgproto3.Frontend) {
	t.Helper()
	conn := f.dial(t)
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": organisation, "database": route},
	})
	frontend.Send(&pgproto3.PasswordMessage{Password: "key-" + organisation})
	require.NoError(t, frontend.Flush())
	requireMessages(t, frontend, 'Z')
	return conn, frontend
}

// requireMessages receives up to a message of the type and returns the types of all messages.
func requireMessages(t *testing.T, frontend *pgproto3.Frontend, last byte) string {
	t.Helper()
	var kinds []byte
	for {
		m, err := frontend.Receive()
		require.NoError(t, err)
		kinds = append(kinds, encodeMessage(t, m)[0])
		if kinds[len(kinds)-1] == last {
			return string(kinds)
		}
	}
}

func encodeMessage(t *testing.T, m pgproto3.Message) []byte {
	t.Helper()
	encoded, err := m.Encode(nil)
	require.NoError(t, err)
	return encoded
}

// requireFatal checks that the connection ends with an error of the kind.
func requireFatal(t *testing.T, frontend *pgproto3.Frontend, kind port.Kind) {
	t.Helper()
	m, err := frontend.Receive()
	require.NoError(t, err)
	require.IsType(t, &pgproto3.ErrorResponse{}, m)
	require.Equal(t, kind.Codes().SQLState, m.(*pgproto3.ErrorResponse).Code)
	_, err = frontend.Receive()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func requireCredentials(t *testing.T, f *fixture, token string, readOnly bool) {
	t.Helper()
	f.gate.mu.Lock()
	defer f.gate.mu.Unlock()
	last := f.gate.seen[len(f.gate.seen)-1]
	require.Equal(t, token, last.Token)
	require.Equal(t, readOnly, last.ReadOnly)
}
