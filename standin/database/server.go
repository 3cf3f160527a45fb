package database

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
)

// maxMessageSize exceeds the longest message of the protocol with the words that the proxy adds to it.
const maxMessageSize = 2 << 20

// Server is a server of a Group.
type Server struct {
	ID    string
	group *Group

	// The fields below are protected by the group's lock.
	listener net.Listener
	running  bool
	primary  bool
	term     uint64
	log      []Write
	applied  int
	conns    map[net.Conn]bool
	// executions counts the executions of each query by its id.
	executions map[string]int
}

// StartServer adds a server that listens on a loopback address. The first server becomes the primary.
func (g *Group) StartServer(id string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // Stop closes the listener.
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	s := &Server{
		ID: id, group: g, listener: listener, running: true, term: g.term, primary: len(g.servers) == 0,
		conns: make(map[net.Conn]bool), executions: make(map[string]int),
	}
	g.transferLog(s)
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	go s.loop(listener)
	return s, nil
}

// Address returns the listen address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// IsPrimary reports whether the server is running and considers itself the primary.
func (s *Server) IsPrimary() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.primary && s.running
}

// Executions returns how often the query with this id was executed.
func (s *Server) Executions(id string) int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.executions[id]
}

// Stop closes the listener and all connections abruptly, as a crash does.
func (s *Server) Stop() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.running = false
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) loop(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		conn := &connection{server: s, conn: c, prepared: make(map[string]string), values: make(map[string]string)}
		go conn.run()
	}
}

// connection is a client's connection to a server.
type connection struct {
	server       *Server
	organisation string
	conn         net.Conn
	prepared     map[string]string
	values       map[string]string
	state        string
	writes       []Write
	readOnly     bool
}

func (c *connection) run() {
	defer c.close()
	lines := bufio.NewScanner(c.conn)
	lines.Buffer(nil, maxMessageSize)
	lines.Split(splitMessages)
	if !lines.Scan() || !c.handshake(lines.Text()) {
		return
	}
	for lines.Scan() {
		verb, rest, _ := strings.Cut(lines.Text(), " ")
		id, query, _ := strings.Cut(rest, " ")
		if verb != "QUERY" {
			return
		}
		if _, err := c.conn.Write([]byte(c.handleQuery(id, query))); err != nil {
			return
		}
	}
}

// splitMessages is a bufio.SplitFunc for messages, which end with CR LF. A line feed alone is part of a field.
func splitMessages(data []byte, atEOF bool) (advance int, token []byte, err error) {
	const lineEnd = "\r\n"
	if i := bytes.Index(data, []byte(lineEnd)); i >= 0 {
		return i + len(lineEnd), data[:i], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

func (c *connection) close() {
	c.server.group.mu.Lock()
	delete(c.server.conns, c.conn)
	c.server.group.mu.Unlock()
	_ = c.conn.Close()
}

// handshake processes the first line of a client. It checks the service, the expected server id and the number of
// connections.
func (c *connection) handshake(line string) bool {
	s := c.server
	fields := strings.Fields(line)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	code := ""
	switch {
	case len(fields) < 3 || fields[0] != "START":
		code = "MALFORMED"
	case fields[1] != s.group.Name || (len(fields) > 3 && fields[3] != s.ID):
		code = "WRONGNODE"
	case len(s.conns) >= s.group.MaxConnections:
		code = "MAXCONN"
	}
	if code != "" {
		_, _ = c.conn.Write([]byte("ERROR " + code + " " + s.ID + "\r\n"))
		return false
	}
	s.conns[c.conn] = true
	c.state, c.organisation = "I", fields[2]
	s.group.OnConnect(s.ID, c.organisation)
	_, err := c.conn.Write([]byte("READY I " + s.positionAt(s.applied) + "\r\n"))
	return err == nil
}

// errorCode is the code of an error response.
type errorCode string

// Error implements error.
func (c errorCode) Error() string { return string(c) }

// handleQuery executes a query and returns the response.
func (c *connection) handleQuery(id, query string) string {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.executions[id]++
	s.group.OnQuery(Query{Server: s.ID, Organisation: c.organisation, ID: id, Text: query})
	row, err := c.execute(query)
	var code errorCode
	if errors.As(err, &code) {
		if c.state == "T" {
			c.state = "E"
		}
		return fmt.Sprintf("ERROR %s %s\r\nREADY %s %s\r\n", code, s.ID, c.state, s.positionAt(s.applied))
	}
	proof := "-"
	if id != "-" {
		proof = s.ID + "." + id
	}
	return fmt.Sprintf("%sCOMPLETE %s\r\nREADY %s %s\r\n", row, proof, c.state, s.positionAt(s.applied))
}

// execute executes a query and returns its row. It must be called with the group's lock held.
func (c *connection) execute(text string) (string, error) {
	if operands, waits := strings.CutPrefix(text, "WAITLSN "); waits {
		position, query, _ := strings.Cut(operands, " ")
		if !c.server.hasApplied(position) {
			return "", errorCode("LAGGING")
		}
		text = query
	}
	verb, operands, _ := strings.Cut(text, " ")
	if c.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return "", errorCode("MALFORMED")
	}
	switch verb {
	case "BEGIN":
		return "", c.begin(operands == "READ")
	case "COMMIT":
		return "", c.commit()
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		return "", nil
	case "READ":
		return "ROW " + c.read(operands) + "\r\n", nil
	case "WRITE":
		return "", c.write(operands)
	case "EXECUTE":
		return c.executePrepared(operands)
	default:
		return c.executeControl(verb, operands)
	}
}

// executeControl executes the commands that concern the connection or the server, but no data.
func (c *connection) executeControl(verb, operands string) (string, error) {
	s := c.server
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(operands, " ")
		c.values[name] = value
	case "RESET":
		clear(c.values)
		clear(c.prepared)
	case "PREPARE":
		name, kind, _ := strings.Cut(operands, " ")
		c.prepared[name] = kind
	case "STEPDOWN":
		if term, err := strconv.ParseUint(operands, 10, 64); err == nil && term > s.term {
			s.primary = false
		}
		return s.status(), nil
	case "STATUS":
		return s.status(), nil
	default:
		return "", errorCode("MALFORMED")
	}
	return "", nil
}

func (c *connection) begin(readOnly bool) error {
	if !readOnly && !c.server.primary {
		return errorCode("READONLY")
	}
	c.state, c.readOnly = "T", readOnly
	return nil
}

func (c *connection) commit() error {
	writes := c.writes
	c.state, c.writes = "I", nil
	if len(writes) > 0 && !c.server.primary {
		return errorCode("READONLY")
	}
	if len(writes) > 0 {
		c.server.group.commit(c.server, writes)
	}
	return nil
}

func (c *connection) read(item string) string {
	for i := len(c.writes) - 1; i >= 0; i-- {
		if c.writes[i].Item == item {
			return c.writes[i].Data
		}
	}
	for i := c.server.applied - 1; i >= 0; i-- {
		if c.server.log[i].Item == item {
			return c.server.log[i].Data
		}
	}
	return ""
}

func (c *connection) write(operands string) error {
	if !c.server.primary || (c.state == "T" && c.readOnly) {
		return errorCode("READONLY")
	}
	item, data, _ := strings.Cut(operands, " ")
	w := Write{Item: item, Data: data}
	if c.state == "T" {
		c.writes = append(c.writes, w)
		return nil
	}
	c.server.group.commit(c.server, []Write{w})
	return nil
}

func (c *connection) executePrepared(operands string) (string, error) {
	name, arguments, _ := strings.Cut(operands, " ")
	kind, found := c.prepared[name]
	switch {
	case !found:
		return "", errorCode("UNKNOWN")
	case strings.HasPrefix(kind, "WRITE"):
		return "", c.write(arguments)
	default:
		return "ROW " + c.read(arguments) + "\r\n", nil
	}
}

// hasApplied reports whether the server has applied the log up to position.
func (s *Server) hasApplied(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, errTerm := strconv.ParseUint(termText, 10, 64)
	number, err := strconv.ParseUint(numberText, 10, 64)
	if errTerm != nil || err != nil || number > uint64(s.applied) {
		return false
	}
	return number == 0 || s.log[number-1].Term == term
}

func (s *Server) status() string {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\n", role, s.term, s.positionAt(len(s.log)), len(s.conns))
}
