package postgres

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// maxStartupBytes and maxPasswordBytes bound what is read from a caller that is not yet admitted.
	maxStartupBytes  = 10_000
	maxPasswordBytes = 4_096
	// maxNegotiations is how many encryption requests a caller may send before its start-up message.
	maxNegotiations = 2
	majorVersion    = 3
	// secretBytes is the length of a cancel key for protocol 3.2; protocol 3.0 allows four bytes only.
	secretBytes       = 32
	shortSecretBytes  = 4
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
)

// parameters are reported to every caller at start-up; they describe what drivers need to know before a first server
// has been chosen.
var parameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// greeting is a connection during start-up.
type greeting struct {
	listener *Listener
	// raw is the connection under the encryption.
	raw    net.Conn
	conn   net.Conn
	reader *bufio.Reader
}

// startUp admits a caller. It returns nil without an error after a cancel request.
func (l *Listener) startUp(ctx context.Context, conn net.Conn) (*caller, error) {
	limit := l.timer.After(l.cfg.StartupTimeout, func(time.Duration) { _ = conn.Close() })
	defer limit()
	g := &greeting{listener: l, raw: conn, conn: conn, reader: bufio.NewReaderSize(conn, callerBuffer)}
	limited, cancel := port.WithTimeout(ctx, l.timer, l.cfg.StartupTimeout)
	defer cancel()
	start, err := g.readStart(limited)
	if err != nil || start == nil {
		return nil, g.refused(err)
	}
	credentials, err := g.credentials(start)
	if err != nil {
		return nil, g.refused(err)
	}
	admitted, err := l.gate.Authorize(limited, credentials)
	if err != nil {
		return nil, g.refused(err)
	}
	return g.welcome(ctx, start, admitted)
}

// refused tells the caller why it is not admitted.
func (g *greeting) refused(err error) error {
	if err == nil {
		return nil
	}
	_, _ = g.conn.Write(encode(nil, errorResponse(severityFatal, err)))
	return err
}

// readStart reads messages up to the start-up message. It returns nil after a cancel request.
func (g *greeting) readStart(ctx context.Context) (*pgproto3.StartupMessage, error) {
	for range maxNegotiations + 1 {
		body, err := g.readStartBody()
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(body); code {
		case cancelRequestCode:
			g.handleCancel(body)
			return nil, nil
		case gssRequestCode:
			_, err = g.conn.Write([]byte{'N'})
		case sslRequestCode:
			err = g.negotiateTLS(ctx)
		default:
			return g.readParameters(code, body)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, port.Errorf(port.Protocol, "too many encryption requests")
}

// readParameters reads the start-up message and offers the newest known version when the caller asks for more.
func (g *greeting) readParameters(version uint32, body []byte) (*pgproto3.StartupMessage, error) {
	if version>>16 != majorVersion {
		return nil, port.Errorf(port.Protocol, "protocol version %d.%d is not supported", version>>16, version&0xffff)
	}
	if g.listener.cfg.TLS != nil && g.conn == g.raw {
		return nil, port.Errorf(port.Protocol, "the connection has to be encrypted")
	}
	known := min(version, pgproto3.ProtocolVersion32)
	if known != pgproto3.ProtocolVersion32 {
		known = pgproto3.ProtocolVersion30
	}
	binary.BigEndian.PutUint32(body, known)
	var start pgproto3.StartupMessage
	if err := start.Decode(body); err != nil {
		return nil, port.Wrapf(err, port.Protocol, "invalid start-up message")
	}
	offer := &pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: known & 0xffff}
	for name := range start.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			offer.UnrecognizedOptions = append(offer.UnrecognizedOptions, name)
		}
	}
	if known == version && len(offer.UnrecognizedOptions) == 0 {
		return &start, nil
	}
	_, err := g.conn.Write(encode(nil, offer))
	return &start, err
}

func (g *greeting) readStartBody() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(g.reader, header[:]); err != nil {
		return nil, port.Wrapf(err, port.Protocol, "no start-up message")
	}
	length := int(int32(binary.BigEndian.Uint32(header[:]))) - len(header)
	if length < 4 || length > maxStartupBytes {
		return nil, port.Errorf(port.Protocol, "start-up message has invalid length")
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(g.reader, body); err != nil {
		return nil, port.Wrapf(err, port.Protocol, "start-up message is incomplete")
	}
	return body, nil
}

func (g *greeting) handleCancel(body []byte) {
	var m pgproto3.CancelRequest
	if m.Decode(body) == nil {
		g.listener.cancelRequested(&m)
	}
}

func (g *greeting) negotiateTLS(ctx context.Context) error {
	if g.listener.cfg.TLS == nil {
		_, err := g.conn.Write([]byte{'N'})
		return err
	}
	if g.conn != g.raw {
		return port.Errorf(port.Protocol, "the connection is already encrypted")
	}
	if g.reader.Buffered() > 0 {
		// Bytes sent before the handshake could come from someone else than the encrypted ones.
		return port.Errorf(port.Protocol, "unencrypted data after the encryption request")
	}
	if _, err := g.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(g.conn, g.listener.cfg.TLS)
	if err := conn.HandshakeContext(ctx); err != nil {
		return port.Wrapf(err, port.Protocol, "encryption failed")
	}
	g.conn = conn
	g.reader = bufio.NewReaderSize(conn, callerBuffer)
	return nil
}

// credentials asks for the key and collects what the caller brings. The key is asked for on open routes too, because the
// route is only known at admission.
func (g *greeting) credentials(start *pgproto3.StartupMessage) (entry.Credentials, error) {
	settings, err := startSettings(start.Parameters)
	if err != nil {
		return entry.Credentials{}, err
	}
	if _, err := g.conn.Write(encode(nil, &pgproto3.AuthenticationCleartextPassword{})); err != nil {
		return entry.Credentials{}, err
	}
	f, err := readFrame(g.reader, maxPasswordBytes)
	if err != nil {
		return entry.Credentials{}, port.Wrapf(err, port.Protocol, "no key")
	}
	if f.kind() != 'p' {
		return entry.Credentials{}, port.Errorf(port.Protocol, "message of type %q instead of the key", f.kind())
	}
	key, _ := cString(f.body())
	return entry.Credentials{
		Organisation: settings["user"], Key: key, Route: settings["database"], Token: settings[sessionParameter],
		ReadOnly: isOn(settings["default_transaction_read_only"]),
	}, nil
}

// startSettings returns the start-up parameters, with those inside "options" as if they stood by themselves.
func startSettings(given map[string]string) (map[string]string, error) {
	settings := make(map[string]string, len(given))
	for name, value := range optionSettings(given["options"]) {
		settings[name] = value
	}
	for name, value := range given {
		settings[name] = value
	}
	if replication := settings["replication"]; replication != "" && !isOff(replication) {
		return nil, port.Errorf(port.Unsupported, "replication is not supported")
	}
	if settings["database"] == "" {
		settings["database"] = settings["user"]
	}
	return settings, nil
}

// optionSettings reads "-c name=value", "-cname=value" and "--name=value". A backslash escapes a space.
func optionSettings(options string) map[string]string {
	settings := make(map[string]string)
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c"), strings.HasPrefix(word, "--"):
			word = word[2:]
		default:
			continue
		}
		if name, value, ok := strings.Cut(word, "="); ok {
			settings[name] = value
		}
	}
	return settings
}

func splitOptions(options string) []string {
	var words []string
	var word strings.Builder
	escaped := false
	for _, r := range options + " " {
		switch {
		case escaped:
			word.WriteRune(r)
			escaped = false
		case r == '\\':
			escaped = true
		case r != ' ':
			word.WriteRune(r)
		case word.Len() > 0:
			words = append(words, word.String())
			word.Reset()
		}
	}
	return words
}

func isOn(value string) bool {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1", "t", "y":
		return true
	}
	return false
}

func isOff(value string) bool {
	switch strings.ToLower(value) {
	case "off", "false", "no", "0", "f", "n":
		return true
	}
	return false
}

// welcome completes the start-up.
func (g *greeting) welcome(ctx context.Context, start *pgproto3.StartupMessage, admitted entry.Client) (*caller, error) {
	c := newCaller(ctx, g.listener, g.conn, g.reader, admitted)
	c.secret = newSecret(start.ProtocolVersion)
	if err := g.listener.enter(g.raw, c); err != nil {
		return nil, g.refused(err)
	}
	out := encode(nil, &pgproto3.AuthenticationOk{})
	for _, parameter := range parameters {
		out = encode(out, &parameter)
	}
	out = encode(out, &pgproto3.ParameterStatus{Name: "application_name", Value: start.Parameters["application_name"]})
	out = encode(out, &pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	out = encode(out, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	_, err := g.conn.Write(out)
	if err != nil {
		g.listener.exit(c)
		return nil, err
	}
	return c, nil
}

// newSecret draws the secret by which a caller's requests can be cancelled. Errors of rand.Read end the process.
func newSecret(version uint32) []byte {
	n := shortSecretBytes
	if version >= pgproto3.ProtocolVersion32 {
		n = secretBytes
	}
	secret := make([]byte, n)
	_, _ = rand.Read(secret)
	return secret
}

// newCallerNumber draws a number by which a cancel request names a caller. Drivers take it for a positive process id.
func newCallerNumber() uint32 {
	var drawn [4]byte
	_, _ = rand.Read(drawn[:])
	return binary.BigEndian.Uint32(drawn[:]) >> 1
}
