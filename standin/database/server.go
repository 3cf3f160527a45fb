package database

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
)

// Server is one server of a group.
type Server struct {
	ID    string
	group *Group

	// The fields below are guarded by the group's lock.
	socket  net.Listener
	running bool
	primary bool
	deaf    bool
	term    uint64
	log     []Write
	applied int
	conns   map[net.Conn]bool
	// seen holds the ids of the queries that ran.
	seen map[string]int
}

// StartServer adds a server that listens on loopback. The first server is the primary.
func (g *Group) StartServer(id string) (*Server, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The stand-in's socket ends with Stop.
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	s := &Server{
		ID: id, group: g, socket: socket, running: true, term: g.term, primary: len(g.servers) == 0,
		conns: make(map[net.Conn]bool), seen: make(map[string]int),
	}
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	go s.loop(socket)
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.socket.Addr().String() }

// IsPrimary reports whether the server sees itself as primary.
func (s *Server) IsPrimary() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.primary && s.running
}

// Runs returns how often a query of the id ran.
func (s *Server) Runs(id string) int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.seen[id]
}

// Stop ends the server with all its connections, as a crash does.
func (s *Server) Stop() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.running = false
	_ = s.socket.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) loop(socket net.Listener) {
	for {
		c, err := socket.Accept()
		if err != nil {
			return
		}
		conn := &connection{server: s, conn: c, prepared: make(map[string]string), values: make(map[string]string)}
		go conn.run()
	}
}

// connection is one caller of a server.
type connection struct {
	server   *Server
	conn     net.Conn
	prepared map[string]string
	values   map[string]string
	state    string
	writes   []Write
	readOnly bool
}

func (c *connection) run() {
	defer c.close()
	lines := bufio.NewScanner(c.conn)
	if !lines.Scan() || !c.greet(lines.Text()) {
		return
	}
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		if _, err := c.conn.Write([]byte(c.answer(id, text))); err != nil {
			return
		}
	}
}

func (c *connection) close() {
	c.server.group.mu.Lock()
	delete(c.server.conns, c.conn)
	c.server.group.mu.Unlock()
	_ = c.conn.Close()
}

// greet checks the service and the expected id, and the number of connections.
func (c *connection) greet(line string) bool {
	s := c.server
	fields := strings.Fields(line)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	refusal := ""
	switch {
	case len(fields) < 3 || fields[0] != "START":
		refusal = "MALFORMED"
	case fields[1] != s.group.Name || (len(fields) > 3 && fields[3] != s.ID):
		refusal = "WRONGNODE"
	case len(s.conns) >= s.group.Limit:
		refusal = "MAXCONN"
	}
	if refusal != "" {
		_, _ = c.conn.Write([]byte("ERROR " + refusal + " " + s.ID + "\r\n"))
		return false
	}
	s.conns[c.conn] = true
	c.state = "I"
	_, err := c.conn.Write([]byte("READY I " + s.position(s.applied) + "\r\n"))
	return err == nil
}

// refusal is a code with which a server refuses a query.
type refusal string

// Error returns the code.
func (r refusal) Error() string { return string(r) }

// answer runs a query.
func (c *connection) answer(id, text string) string {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.seen[id]++
	row, err := c.execute(text)
	var code refusal
	if errors.As(err, &code) {
		if c.state == "T" {
			c.state = "E"
		}
		return fmt.Sprintf("ERROR %s %s\r\nREADY %s %s\r\n", code, s.ID, c.state, s.position(s.applied))
	}
	proof := "-"
	if id != "-" {
		proof = s.ID + "." + id
	}
	return fmt.Sprintf("%sCOMPLETE %s\r\nREADY %s %s\r\n", row, proof, c.state, s.position(s.applied))
}

// execute runs a query and returns its row. The group's lock is held.
func (c *connection) execute(text string) (string, error) {
	if rest, waits := strings.CutPrefix(text, "WAITLSN "); waits {
		position, query, _ := strings.Cut(rest, " ")
		if !c.server.holds(position) {
			return "", refusal("LAGGING")
		}
		text = query
	}
	word, rest, _ := strings.Cut(text, " ")
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return "", refusal("MALFORMED")
	}
	switch word {
	case "BEGIN":
		return "", c.begin(rest == "READ")
	case "COMMIT":
		return "", c.commit()
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		return "", nil
	case "READ":
		return "ROW " + c.read(rest) + "\r\n", nil
	case "WRITE":
		return "", c.write(rest)
	case "EXECUTE":
		return c.executePrepared(rest)
	default:
		return c.control(word, rest)
	}
}

// control runs what concerns the connection or the server and no data.
func (c *connection) control(word, rest string) (string, error) {
	s := c.server
	switch word {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
	case "RESET":
		clear(c.values)
		clear(c.prepared)
	case "PREPARE":
		name, kind, _ := strings.Cut(rest, " ")
		c.prepared[name] = kind
	case "STEPDOWN":
		if term, err := strconv.ParseUint(rest, 10, 64); err == nil && term > s.term {
			s.primary = false
		}
		return s.status(), nil
	case "STATUS":
		return s.status(), nil
	default:
		return "", refusal("MALFORMED")
	}
	return "", nil
}

func (c *connection) begin(readOnly bool) error {
	if !readOnly && !c.server.primary {
		return refusal("READONLY")
	}
	c.state, c.readOnly = "T", readOnly
	return nil
}

func (c *connection) commit() error {
	writes := c.writes
	c.state, c.writes = "I", nil
	if len(writes) > 0 && !c.server.primary {
		return refusal("READONLY")
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

func (c *connection) write(rest string) error {
	if !c.server.primary || (c.state == "T" && c.readOnly) {
		return refusal("READONLY")
	}
	item, data, _ := strings.Cut(rest, " ")
	w := Write{Item: item, Data: data}
	if c.state == "T" {
		c.writes = append(c.writes, w)
		return nil
	}
	c.server.group.commit(c.server, []Write{w})
	return nil
}

func (c *connection) executePrepared(rest string) (string, error) {
	name, arguments, _ := strings.Cut(rest, " ")
	kind, found := c.prepared[name]
	switch {
	case !found:
		return "", refusal("UNKNOWN")
	case strings.HasPrefix(kind, "WRITE"):
		return "", c.write(arguments)
	default:
		return "ROW " + c.read(arguments) + "\r\n", nil
	}
}

// holds reports whether the server has applied the position.
func (s *Server) holds(position string) bool {
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
	return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\n", role, s.term, s.position(len(s.log)), len(s.conns))
}
