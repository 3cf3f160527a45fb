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

	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// maxStartupBytes and maxPasswordBytes limit what is read from a client that is not yet authorized.
	maxStartupBytes  = 10_000
	maxPasswordBytes = 4_096
	// maxNegotiations is how many encryption requests a client may send before its start-up message.
	maxNegotiations = 2
	majorVersion    = 3
	// cancelKeyBytes is the length of a cancel key in protocol 3.2. Protocol 3.0 requires four bytes.
	cancelKeyBytes      = 32
	shortCancelKeyBytes = 4
	cancelRequestCode   = 80877102
	sslRequestCode      = 80877103
	gssRequestCode      = 80877104
)

// initialParameters are reported to every client at start-up. They describe what drivers need to know before the first
// server has been selected.
var initialParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// startup is the state of a connection during start-up.
type startup struct {
	listener *Listener
	// raw is the connection below TLS.
	raw    net.Conn
	conn   net.Conn
	reader *bufio.Reader
	place  *clientlimit.Place
}

// startClient authorizes a client and completes its start-up. It returns nil without an error after a cancel request.
func (l *Listener) startClient(ctx context.Context, conn net.Conn, place *clientlimit.Place) (*client, error) {
	stopTimer := l.timer.After(l.cfg.StartupTimeout, func(time.Duration) { _ = conn.Close() })
	defer stopTimer()
	s := &startup{listener: l, raw: conn, conn: conn, place: place, reader: bufio.NewReaderSize(conn, clientReadBuffer)}
	startupCtx, cancel := port.WithTimeout(ctx, l.timer, l.cfg.StartupTimeout)
	defer cancel()
	start, err := s.readStartup(startupCtx)
	if err != nil || start == nil {
		return nil, s.reject(err)
	}
	credentials, err := s.requestCredentials(start)
	if err != nil {
		return nil, s.reject(err)
	}
	authorized, err := l.authorizer.Authorize(startupCtx, credentials)
	if err != nil {
		return nil, s.reject(err)
	}
	return s.complete(ctx, start, authorized)
}

// reject sends the client the reason why it is not authorized.
func (s *startup) reject(err error) error {
	if err == nil {
		return nil
	}
	_, _ = s.conn.Write(encode(nil, errorResponse(severityFatal, err)))
	return err
}

// readStartup reads messages up to the start-up message. It returns nil after a cancel request.
func (s *startup) readStartup(ctx context.Context) (*pgproto3.StartupMessage, error) {
	for range maxNegotiations + 1 {
		body, err := s.readStartupBody()
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(body); code {
		case cancelRequestCode:
			s.handleCancel(body)
			return nil, nil
		case gssRequestCode:
			_, err = s.conn.Write([]byte{'N'})
		case sslRequestCode:
			err = s.negotiateTLS(ctx)
		default:
			return s.readParameters(code, body)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, port.Errorf(port.Protocol, "too many encryption requests")
}

// readParameters reads the start-up message. If the client requests a newer protocol version, it offers the newest
// supported one.
func (s *startup) readParameters(version uint32, body []byte) (*pgproto3.StartupMessage, error) {
	if version>>16 != majorVersion {
		return nil, port.Errorf(port.Protocol, "protocol version %d.%d is not supported", version>>16, version&0xffff)
	}
	if s.listener.cfg.TLS != nil && s.conn == s.raw {
		return nil, port.Errorf(port.Protocol, "the connection must be encrypted")
	}
	supported := min(version, pgproto3.ProtocolVersion32)
	if supported != pgproto3.ProtocolVersion32 {
		supported = pgproto3.ProtocolVersion30
	}
	binary.BigEndian.PutUint32(body, supported)
	var start pgproto3.StartupMessage
	if err := start.Decode(body); err != nil {
		return nil, port.Wrapf(err, port.Protocol, "invalid start-up message")
	}
	negotiate := &pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: supported & 0xffff}
	for name := range start.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			negotiate.UnrecognizedOptions = append(negotiate.UnrecognizedOptions, name)
		}
	}
	if supported == version && len(negotiate.UnrecognizedOptions) == 0 {
		return &start, nil
	}
	_, err := s.conn.Write(encode(nil, negotiate))
	return &start, err
}

func (s *startup) readStartupBody() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return nil, port.Wrapf(err, port.Protocol, "failed to read the start-up message")
	}
	length := int(int32(binary.BigEndian.Uint32(header[:]))) - len(header)
	if length < 4 || length > maxStartupBytes {
		return nil, port.Errorf(port.Protocol, "start-up message has invalid length")
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return nil, port.Wrapf(err, port.Protocol, "start-up message is truncated")
	}
	return body, nil
}

func (s *startup) handleCancel(body []byte) {
	var m pgproto3.CancelRequest
	if m.Decode(body) == nil {
		s.listener.handleCancelRequest(&m)
	}
}

func (s *startup) negotiateTLS(ctx context.Context) error {
	if s.listener.cfg.TLS == nil {
		_, err := s.conn.Write([]byte{'N'})
		return err
	}
	if s.conn != s.raw {
		return port.Errorf(port.Protocol, "the connection is already encrypted")
	}
	if s.reader.Buffered() > 0 {
		// Bytes sent before the handshake may have been injected by someone other than the client.
		return port.Errorf(port.Protocol, "unencrypted data after the encryption request")
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(s.conn, s.listener.cfg.TLS)
	if err := conn.HandshakeContext(ctx); err != nil {
		return port.Wrapf(err, port.Protocol, "TLS handshake failed")
	}
	s.conn = conn
	s.reader = bufio.NewReaderSize(conn, clientReadBuffer)
	return nil
}

// requestCredentials requests the key and collects the client's credentials. The key is requested on open routes too,
// because the route is looked up only at authorization.
func (s *startup) requestCredentials(start *pgproto3.StartupMessage) (entry.Credentials, error) {
	settings, err := startupSettings(start.Parameters)
	if err != nil {
		return entry.Credentials{}, err
	}
	if _, err := s.conn.Write(encode(nil, &pgproto3.AuthenticationCleartextPassword{})); err != nil {
		return entry.Credentials{}, err
	}
	f, err := readFrame(s.reader, maxPasswordBytes)
	if err != nil {
		return entry.Credentials{}, port.Wrapf(err, port.Protocol, "failed to read the key")
	}
	if f.kind() != 'p' {
		return entry.Credentials{}, port.Errorf(port.Protocol, "expected a password message, got a message of type %q", f.kind())
	}
	key, _ := cString(f.body())
	return entry.Credentials{
		Organisation: settings["user"], Key: key, Route: settings["database"], Token: settings[sessionParameter],
		ReadOnly: isOn(settings["default_transaction_read_only"]),
	}, nil
}

// startupSettings returns the start-up parameters, including those in "options".
func startupSettings(parameters map[string]string) (map[string]string, error) {
	settings := make(map[string]string, len(parameters))
	for name, value := range optionSettings(parameters["options"]) {
		settings[name] = value
	}
	for name, value := range parameters {
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

// optionSettings parses "-c name=value", "-cname=value" and "--name=value". A backslash escapes a space.
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

// complete registers the client and sends the responses that complete the start-up.
func (s *startup) complete(ctx context.Context, start *pgproto3.StartupMessage, authorized entry.Client) (*client, error) {
	c := newClient(ctx, s.listener, s.conn, s.reader, authorized)
	c.cancelKey = newCancelKey(start.ProtocolVersion)
	c.place = s.place
	if err := c.seat(); err != nil {
		return nil, s.reject(err)
	}
	if err := s.listener.addClient(s.raw, c); err != nil {
		return nil, s.reject(err)
	}
	out := encode(nil, &pgproto3.AuthenticationOk{})
	for _, parameter := range initialParameters {
		out = encode(out, &parameter)
	}
	out = encode(out, &pgproto3.ParameterStatus{Name: "application_name", Value: start.Parameters["application_name"]})
	out = encode(out, &pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.cancelKey})
	out = encode(out, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	_, err := s.conn.Write(out)
	if err != nil {
		s.listener.removeClient(c)
		return nil, err
	}
	return c, nil
}

// newCancelKey returns a random cancel key. Errors of rand.Read end the process.
func newCancelKey(version uint32) []byte {
	n := shortCancelKeyBytes
	if version >= pgproto3.ProtocolVersion32 {
		n = cancelKeyBytes
	}
	key := make([]byte, n)
	_, _ = rand.Read(key)
	return key
}

// newProcessID returns a random number that identifies a client in a cancel request. Drivers expect a positive process
// ID.
func newProcessID() uint32 {
	var random [4]byte
	_, _ = rand.Read(random[:])
	return binary.BigEndian.Uint32(random[:]) >> 1
}
