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

// Guards against a client that is authorized without its key, and against lost start-up parameters.
func TestStartUp(t *testing.T) {
	f, _ := startOneServer(t)
	requireRefused := func(name string, kind port.Kind, url string) {
		t.Run(name, func(t *testing.T) {
			_, err := pgx.Connect(t.Context(), url)
			requireKind(t, kind, err)
		})
	}
	requireRefused("unknown route", port.UnknownRoute, f.url("acme", "nowhere", ""))
	requireRefused("wrong key", port.KeyRefused, "postgres://acme:wrong@"+f.address+"/stock?sslmode=disable")
	requireRefused("replication", port.Unsupported, f.url("acme", "stock", "&replication=database"))
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

// Guards against an organisation's name that terminates the string literal in the bind command.
func TestOrganisationIsQuoted(t *testing.T) {
	f, server := startOneServer(t)
	_, frontend := f.login(t, `o'b\c`, "stock")
	requireResponse(t, frontend, "TDCZ", &pgproto3.Query{String: "select 1"})
	require.Equal(t, []string{`1 E'o''b\\c/read select 1`}, server.statements())
}

// Guards against a malformed or half-open connection that affects other clients.
func TestMalformedInput(t *testing.T) {
	f, _ := startOneServer(t)
	healthy := f.connect("acme", "stock")
	requireRejected := func(name string, bytes []byte) {
		t.Run(name, func(t *testing.T) {
			conn := f.dial(t)
			_, err := conn.Write(bytes)
			require.NoError(t, err)
			requireFatal(t, pgproto3.NewFrontend(conn, conn), port.Protocol)
			requireRow(t, healthy, "select 1")
		})
	}
	requireRejected("negative length", []byte{0xff, 0xff, 0xff, 0xff})
	requireRejected("huge length", []byte{0x7f, 0, 0, 0, 0, 3, 0, 0})
	requireRejected("old version", []byte{0, 0, 0, 8, 0, 2, 0, 0})
	requireRejected("no parameters", []byte{0, 0, 0, 9, 0, 3, 0, 0, 0})
	requireRejected("no terminators", []byte{0, 0, 0, 12, 0, 3, 0, 0, 'u', 's', 'e', 'r'})
	t.Run("half-open", func(t *testing.T) {
		conn := f.dial(t)
		_, err := conn.Write([]byte{0, 0})
		require.NoError(t, err)
		defer f.runClock()()
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		requireRow(t, healthy, "select 1")
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
		_, err = conn.Exec(t.Context(), string(make([]byte, postgres.DefaultMaxMessageBytes+1)), pgx.QueryExecModeSimpleProtocol)
		requireKind(t, port.TooLarge, err)
	})
}

// Guards against more clients than the limit, and against a rejected client that does not receive the reason.
func TestClientLimit(t *testing.T) {
	f := startFixture(t, postgres.ListenerConfig{MaxClients: 1}, startFakeServer(t))
	requireRow(t, f.connect("acme", "stock"), "select 1")
	_, err := pgx.Connect(t.Context(), f.url("acme", "stock", ""))
	requireKind(t, port.NoConnection, err)
}

// Guards against a driver with a newer protocol version that cannot connect.
func TestNewerProtocolVersion(t *testing.T) {
	f, _ := startOneServer(t)
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

// Guards against a configured certificate that is not used, and against keys that are accepted unencrypted despite it.
func TestTLS(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	f := startFixture(t, postgres.ListenerConfig{TLS: &tls.Config{Certificates: certified.TLS.Certificates}}, startFakeServer(t))
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
	requireKind(t, port.Protocol, err)
}

func (f *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// login returns a client that sends and receives single messages.
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

// requireMessages receives messages up to one of the given type and returns the types of all messages.
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

// requireFatal checks that the connection ends with an error of the given kind.
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
	f.authorizer.mu.Lock()
	defer f.authorizer.mu.Unlock()
	last := f.authorizer.credentials[len(f.authorizer.credentials)-1]
	require.Equal(t, token, last.Token)
	require.Equal(t, readOnly, last.ReadOnly)
}
