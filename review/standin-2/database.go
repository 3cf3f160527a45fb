package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxMessage is the largest message of the protocol.
const maxMessage = 1 << 20

// entry is a commit in a log.
type entry struct {
	term, number uint64
	values       map[string]string
}

// group is a service: a primary and its replicas.
type group struct {
	name       string
	work       time.Duration // how long a read, a write or a commit takes
	lag        time.Duration // how late replicas apply
	promoteIn  time.Duration // how long a promotion takes
	slots      int
	connLimit  int
	record     *record
	onChange   func(*server)
	tables     map[string]func() []string // reads that return several rows
	mu         sync.Mutex
	servers    []*server
	term       uint64
	promotions int
}

// server is a database server.
type server struct {
	group    *group
	id, zone string
	listener net.Listener
	slots    chan struct{}
	waiting  int

	// The fields below are protected by the group's lock.
	running bool
	primary bool
	term    uint64
	log     []entry
	applied int
	conns   map[net.Conn]bool
	deaf    bool // receives nothing from the primary
}

func (g *group) start(id, zone string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &server{group: g, id: id, zone: zone, listener: l, slots: make(chan struct{}, g.slots), running: true, conns: make(map[net.Conn]bool)}
	g.mu.Lock()
	if g.term == 0 {
		g.term = 1
	}
	s.primary, s.term = len(g.servers) == 0, g.term
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	go s.accept()
	return s
}

// promote lets the server lead the next term with what it has received.
func (g *group) promote(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id != id || !s.running {
			continue
		}
		if !s.primary {
			time.AfterFunc(g.promoteIn, func() { g.lead(s) })
		}
		return 200
	}
	return 409
}

func (g *group) lead(s *server) {
	g.mu.Lock()
	if s.primary || !s.running {
		g.mu.Unlock()
		return
	}
	g.term++
	g.promotions++
	var old []*server
	for _, other := range g.servers {
		if other == s || !other.running {
			continue
		}
		if other.primary {
			other.primary = false
			old = append(old, other)
		}
		if !other.deaf {
			other.truncate(s.log)
			other.term = g.term
		}
	}
	s.primary, s.term, s.applied = true, g.term, len(s.log)
	g.record.add("promoted %s term %d", s.id, g.term)
	g.mu.Unlock()
	for _, changed := range append(old, s) {
		g.onChange(changed)
	}
}

// truncate drops what follows the last entry that both logs have.
func (s *server) truncate(log []entry) {
	n := 0
	for n < len(s.log) && n < len(log) && s.log[n].term == log[n].term && s.log[n].number == log[n].number {
		n++
	}
	s.log, s.applied = s.log[:n:n], min(s.applied, n)
}

// commit appends a commit to the primary's log and sends it to the replicas.
func (s *server) commit(values map[string]string) {
	s.log = append(s.log, entry{term: s.term, number: uint64(len(s.log) + 1), values: values})
	s.applied = len(s.log)
	for _, r := range s.group.servers {
		if r == s || !r.running || r.primary || r.deaf {
			continue
		}
		r.log, r.term = append(r.log[:0:0], s.log...), s.term
		end, replica := len(s.log), r
		time.AfterFunc(s.group.lag, func() {
			s.group.mu.Lock()
			defer s.group.mu.Unlock()
			replica.applied = max(replica.applied, min(end, len(replica.log)))
		})
	}
}

func (s *server) position(n int) string {
	if n == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", s.log[n-1].term, s.log[n-1].number)
}

func (s *server) holds(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	return number == 0 || number <= uint64(s.applied) && s.log[number-1].term == term
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go (&dbConn{server: s, conn: conn, prepared: make(map[string]string), values: make(map[string]string), state: "I"}).run()
	}
}

// crash ends the server's listener and connections. It keeps its log.
func (s *server) crash() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.running = false
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.group.record.add("crash    %s, log %s", s.id, s.position(len(s.log)))
}

// restart starts a crashed server at its address with its log: as a replica if another one was promoted, which it follows if
// that one runs.
func (s *server) restart() {
	l, err := net.Listen("tcp", s.listener.Addr().String())
	if err != nil {
		panic(err)
	}
	g := s.group
	g.mu.Lock()
	s.listener, s.running = l, true
	s.primary = s.primary && s.term == g.term
	s.follow()
	g.record.add("restart  %s, primary %v, log %s", s.id, s.primary, s.position(len(s.log)))
	g.mu.Unlock()
	g.onChange(s)
	go s.accept()
}

// setDeaf sets whether a replica receives what the primary commits. Afterwards it follows the primary again.
func (s *server) setDeaf(deaf bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.deaf = deaf
	s.follow()
	s.group.record.add("deaf     %s %v, log %s", s.id, deaf, s.position(len(s.log)))
}

// follow gives a replica the log of the running primary.
func (s *server) follow() {
	if s.primary || s.deaf {
		return
	}
	for _, p := range s.group.servers {
		if p.primary && p.running && p.term == s.group.term {
			s.log, s.term = append(s.log[:0:0], p.log...), p.term
			s.applied = len(s.log)
		}
	}
}

// leader returns the running primary of the newest term, or nil.
func (g *group) leader() *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.primary && s.running && s.term == g.term {
			return s
		}
	}
	return nil
}

// has reports whether the server's log has a commit of the item.
func (s *server) has(item string) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	for _, e := range s.log {
		if _, found := e.values[item]; found {
			return true
		}
	}
	return false
}

// dbConn is a connection to a server.
type dbConn struct {
	server   *server
	conn     net.Conn
	out      *bufio.Writer
	tenant   string
	prepared map[string]string
	values   map[string]string
	state    string
	readOnly bool
	writes   map[string]string
}

func splitMessages(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.Index(data, []byte("\r\n")); i >= 0 {
		return i + 2, data[:i], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errors.New("message cut off")
	}
	return 0, nil, nil
}

func newScanner(conn net.Conn) *bufio.Scanner {
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxMessage+64)
	lines.Split(splitMessages)
	return lines
}

func (c *dbConn) run() {
	g := c.server.group
	defer func() {
		g.mu.Lock()
		delete(c.server.conns, c.conn)
		g.mu.Unlock()
		_ = c.conn.Close()
	}()
	c.out = bufio.NewWriterSize(c.conn, 64<<10)
	lines := newScanner(c.conn)
	if !lines.Scan() || !c.handshake(strings.Fields(lines.Text())) {
		_ = c.out.Flush()
		return
	}
	for {
		if c.out.Flush() != nil || !lines.Scan() {
			return
		}
		word, rest, _ := strings.Cut(lines.Text(), " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		c.answer(id, text)
	}
}

func (c *dbConn) handshake(fields []string) bool {
	s, g := c.server, c.server.group
	g.mu.Lock()
	code := ""
	switch {
	case len(fields) < 3 || fields[0] != "START":
		code = "MALFORMED"
	case fields[1] != g.name || len(fields) > 3 && fields[3] != s.id:
		code = "WRONGNODE"
	case len(s.conns) >= g.connLimit:
		code = "MAXCONN"
	default:
		s.conns[c.conn], c.tenant = true, fields[2]
	}
	position := s.position(s.applied)
	g.mu.Unlock()
	if code != "" {
		fmt.Fprintf(c.out, "ERROR %s %s\r\n", code, s.id)
		return false
	}
	time.Sleep(12 * time.Millisecond)
	fmt.Fprintf(c.out, "READY I %s\r\n", position)
	return true
}

// takeSlot waits for a slot. It returns false if too many statements wait already.
func (s *server) takeSlot() bool {
	s.group.mu.Lock()
	if s.waiting >= 24 {
		s.group.mu.Unlock()
		return false
	}
	s.waiting++
	s.group.mu.Unlock()
	s.slots <- struct{}{}
	s.group.mu.Lock()
	s.waiting--
	s.group.mu.Unlock()
	return true
}

// answer runs a query and writes the answer.
func (c *dbConn) answer(id, text string) {
	s, g := c.server, c.server.group
	verb, _, _ := strings.Cut(text, " ")
	if verb == "WAITLSN" || verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT" {
		if !s.takeSlot() {
			fmt.Fprintf(c.out, "ERROR BUSY %s\r\nREADY %s -\r\n", s.id, c.state)
			return
		}
		time.Sleep(g.work)
		defer func() { <-s.slots }()
	}
	g.mu.Lock()
	rows, code := c.execute(id, text)
	if code != "" && c.state == "T" {
		c.state = "E"
	}
	state, position := c.state, s.position(s.applied)
	g.mu.Unlock()
	for _, row := range rows {
		c.out.WriteString("ROW ")
		c.out.WriteString(row)
		c.out.WriteString("\r\n")
	}
	switch {
	case code != "":
		fmt.Fprintf(c.out, "ERROR %s %s\r\n", code, s.id)
	case id == "-":
		c.out.WriteString("COMPLETE -\r\n")
	default:
		fmt.Fprintf(c.out, "COMPLETE %s.%s\r\n", s.id, id)
	}
	fmt.Fprintf(c.out, "READY %s %s\r\n", state, position)
}

func (c *dbConn) execute(id, text string) ([]string, string) {
	s, g := c.server, c.server.group
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "WAITLSN" {
		position, query, _ := strings.Cut(rest, " ")
		if !s.holds(position) {
			return nil, "LAGGING"
		}
		verb, rest, _ = strings.Cut(query, " ")
	}
	if c.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return nil, "MALFORMED"
	}
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		kind, found := c.prepared[name]
		if !found {
			return nil, "UNKNOWN"
		}
		verb, _, _ = strings.Cut(kind, " ")
		rest = arguments
	}
	if id != "-" {
		g.record.ran(s.id, c.tenant, id, verb, rest)
	}
	switch verb {
	case "BEGIN":
		if rest != "READ" && !s.primary {
			return nil, "READONLY"
		}
		c.state, c.readOnly, c.writes = "T", rest == "READ", nil
	case "COMMIT":
		failed := c.state == "E"
		writes := c.writes
		c.state, c.writes = "I", nil
		if failed {
			return nil, "ABORTED"
		}
		if len(writes) > 0 {
			if !s.primary {
				return nil, "READONLY"
			}
			s.commit(writes)
		}
	case "ROLLBACK":
		c.state, c.writes = "I", nil
	case "READ":
		if table, found := g.tables[rest]; found {
			return table(), ""
		}
		return []string{c.read(rest)}, ""
	case "WRITE":
		if !s.primary || c.state == "T" && c.readOnly {
			return nil, "READONLY"
		}
		item, data, _ := strings.Cut(rest, " ")
		if c.state == "T" {
			if c.writes == nil {
				c.writes = make(map[string]string)
			}
			c.writes[item] = data
			return nil, ""
		}
		s.commit(map[string]string{item: data})
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
	case "RESET":
		clear(c.values)
		clear(c.prepared)
	case "PREPARE":
		name, kind, _ := strings.Cut(rest, " ")
		c.prepared[name] = kind
	case "STATUS", "STEPDOWN":
		if term, err := strconv.ParseUint(rest, 10, 64); verb == "STEPDOWN" && err == nil && term > s.term {
			s.primary = false
		}
		role := "replica"
		if s.primary {
			role = "primary"
		}
		return []string{fmt.Sprintf("%s %d %s 0 0 0 %d", role, s.term, s.position(len(s.log)), len(s.conns))}, ""
	default:
		return nil, "MALFORMED"
	}
	return nil, ""
}

func (c *dbConn) read(item string) string {
	if data, found := c.writes[item]; found {
		return data
	}
	for i := c.server.applied - 1; i >= 0; i-- {
		if data, found := c.server.log[i].values[item]; found {
			return data
		}
	}
	return ""
}
