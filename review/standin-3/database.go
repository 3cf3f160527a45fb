package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	serverSlots = 3
	serverQueue = 24
	replicaLag  = 20 * time.Millisecond
	promoteTime = 300 * time.Millisecond
)

// position is a position of a log.
type position struct {
	term   uint64
	number int
}

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) before(other position) bool {
	return p.term < other.term || p.term == other.term && p.number < other.number
}

func parsePosition(text string) position {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.Atoi(number)
	return position{t, n}
}

// entry is a commit in the log of a group.
type entry struct {
	term   uint64
	at     time.Duration
	writes [][2]string
}

// group is a service: servers that replicate one log. Its replicas receive all commits at once and apply them later.
type group struct {
	name    string
	record  *record
	work    time.Duration
	maxConn int
	// onChange is called when the role of a server has changed.
	onChange func(s *dbServer)
	// onRun is called when a server runs a client's statement.
	onRun func(run)

	mu      sync.Mutex
	term    uint64
	log     []entry
	servers map[string]*dbServer
}

// run is a statement of a client that a server has run.
type run struct {
	server, tenant, id, text string
	at                       time.Duration
}

// dbServer is one database server.
type dbServer struct {
	group   *group
	id      string
	zone    string
	address string
	slots   chan struct{}
	waiting chan struct{}

	// The fields below are guarded by the mutex of the group.
	isPrimary bool
	term      uint64
	conns     int
	isLost    bool
	listener  net.Listener
	open      map[net.Conn]bool
}

func (g *group) start(id, zone string, isPrimary bool) (*dbServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &dbServer{
		group: g, id: id, zone: zone, address: listener.Addr().String(), isPrimary: isPrimary, term: g.term,
		listener: listener, open: map[net.Conn]bool{},
		slots: make(chan struct{}, serverSlots), waiting: make(chan struct{}, serverSlots+serverQueue),
	}
	g.mu.Lock()
	g.servers[id] = s
	g.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// lose crashes the server for good.
func (s *dbServer) lose() {
	s.listener.Close()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.isLost = true
	for conn := range s.open {
		conn.Close()
	}
}

// promote makes the server the primary of the next term.
func (g *group) promote(id string) int {
	g.mu.Lock()
	s, found := g.servers[id]
	isPrimary, isLost := found && s.isPrimary, found && s.isLost
	g.mu.Unlock()
	switch {
	case !found || isLost:
		return http.StatusConflict
	case isPrimary:
		return http.StatusOK
	}
	time.AfterFunc(promoteTime, func() {
		g.mu.Lock()
		g.term++
		for _, other := range g.servers {
			other.isPrimary, other.term = other == s, g.term
		}
		g.mu.Unlock()
		for _, other := range g.servers {
			g.onChange(other)
		}
	})
	return http.StatusOK
}

// positionAt returns the position of the first n entries. mu must be held.
func (g *group) positionAt(n int) position {
	if n == 0 {
		return position{1, 0}
	}
	return position{g.log[n-1].term, n}
}

// applied returns how many entries the server has applied. The mutex of the group must be held.
func (s *dbServer) applied() int {
	n := len(s.group.log)
	if s.isPrimary {
		return n
	}
	for n > 0 && s.group.log[n-1].at > s.group.record.now()-replicaLag {
		n--
	}
	return n
}

func (s *dbServer) position() position { return s.group.positionAt(s.applied()) }

// dbSession is one connection to a server.
type dbSession struct {
	server   *dbServer
	tenant   string
	w        *bufio.Writer
	prepared map[string]string
	// state is I, T or E.
	state    string
	readOnly bool
	writes   [][2]string
}

func (s *dbServer) serve(conn net.Conn) {
	defer conn.Close()
	s.group.mu.Lock()
	s.open[conn] = true
	s.group.mu.Unlock()
	defer func() {
		s.group.mu.Lock()
		delete(s.open, conn)
		s.group.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	line, err := readMessage(r)
	if err != nil {
		return
	}
	w := bufio.NewWriter(conn)
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "START" || fields[1] != s.group.name || len(fields) > 3 && fields[3] != s.id {
		fmt.Fprintf(w, "ERROR WRONGNODE %s\r\n", s.id)
		_ = w.Flush()
		return
	}
	s.group.mu.Lock()
	s.conns++
	isFull := s.conns > s.group.maxConn
	at := s.position()
	s.group.mu.Unlock()
	defer func() {
		s.group.mu.Lock()
		s.conns--
		s.group.mu.Unlock()
	}()
	if isFull {
		fmt.Fprintf(w, "ERROR MAXCONN %s\r\n", s.id)
		_ = w.Flush()
		return
	}
	session := &dbSession{server: s, tenant: fields[2], w: w, prepared: map[string]string{}, state: "I"}
	fmt.Fprintf(w, "READY I %s\r\n", at)
	for w.Flush() == nil {
		if line, err = readMessage(r); err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		session.query(id, text)
	}
}

// query answers one query.
func (c *dbSession) query(id, text string) {
	s, g := c.server, c.server.group
	min := position{}
	if rest, found := strings.CutPrefix(text, "WAITLSN "); found {
		at, statement, _ := strings.Cut(rest, " ")
		min, text = parsePosition(at), statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if c.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		c.answer("", "MALFORMED the transaction has failed")
		return
	}
	writes := word == "WRITE"
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, found := c.prepared[name]
		if !found {
			c.fail("UNKNOWN " + name)
			return
		}
		writes, rest = strings.HasPrefix(shape, "WRITE"), arguments
	}
	switch word {
	case "SET":
		c.answer("-", "")
		return
	case "RESET":
		c.prepared = map[string]string{}
		c.answer("-", "")
		return
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		c.answer("-", "")
		return
	case "DEALLOCATE":
		delete(c.prepared, rest)
		c.answer("-", "")
		return
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		c.answer("-", "")
		return
	case "BEGIN":
		g.mu.Lock()
		isPrimary, at := s.isPrimary, s.position()
		g.mu.Unlock()
		switch {
		case at.before(min):
			c.fail("LAGGING " + at.String())
		case rest != "READ" && !isPrimary:
			c.fail("READONLY " + s.id)
		default:
			c.state, c.readOnly = "T", rest == "READ"
			c.answer("-", "")
		}
		return
	case "STEPDOWN":
		term, _ := strconv.ParseUint(rest, 10, 64)
		g.mu.Lock()
		changed := s.isPrimary && s.term < term
		s.isPrimary = s.isPrimary && !changed
		g.mu.Unlock()
		if changed {
			g.onChange(s)
		}
		c.status()
		return
	case "STATUS", "PAUSE", "RESUME":
		c.status()
		return
	}
	c.runStatement(id, word, text, rest, writes, min)
}

// runStatement runs a read, a write or a commit in a slot of the server.
func (c *dbSession) runStatement(id, word, text, rest string, writes bool, min position) {
	s, g := c.server, c.server.group
	select {
	case s.waiting <- struct{}{}:
	default:
		c.fail("BUSY " + s.id)
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots; <-s.waiting }()
	if word == "COMMIT" && c.state == "E" {
		c.state, c.writes = "I", nil
		c.answer("", "ABORTED the transaction had failed")
		return
	}
	g.mu.Lock()
	at, isPrimary := s.position(), s.isPrimary
	g.mu.Unlock()
	switch {
	case at.before(min):
		c.fail("LAGGING " + at.String())
		return
	case (writes || len(c.writes) > 0 || c.state == "T" && !c.readOnly && word != "COMMIT") && !isPrimary:
		c.fail("READONLY " + s.id)
		return
	}
	g.onRun(run{server: s.id, tenant: c.tenant, id: id, text: text, at: g.record.now()})
	time.Sleep(g.work)
	if writes {
		item, data, _ := strings.Cut(rest, " ")
		c.writes = append(c.writes, [2]string{item, data})
	} else if word != "COMMIT" {
		g.mu.Lock()
		fmt.Fprintf(c.w, "ROW %s\r\n", s.value(rest))
		g.mu.Unlock()
	}
	if word == "COMMIT" || c.state == "I" {
		c.commit()
	}
	c.answer("proof."+s.id+"."+id, "")
}

// value returns the last applied value of an item. The mutex of the group must be held.
func (s *dbServer) value(item string) string {
	for n := s.applied(); n > 0; n-- {
		for _, w := range s.group.log[n-1].writes {
			if w[0] == item {
				return w[1]
			}
		}
	}
	return "none"
}

func (c *dbSession) commit() {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(c.writes) > 0 {
		g.log = append(g.log, entry{term: c.server.term, at: g.record.now(), writes: c.writes})
	}
	c.state, c.writes = "I", nil
}

func (c *dbSession) status() {
	s, g := c.server, c.server.group
	g.mu.Lock()
	role := "replica"
	if s.isPrimary {
		role = "primary"
	}
	fmt.Fprintf(c.w, "ROW %s %d %s 0 %d %d %d\r\n", role, s.term, g.positionAt(len(g.log)), replicaLag.Milliseconds(), len(s.slots), s.conns)
	g.mu.Unlock()
	c.answer("-", "")
}

// fail answers with an error. An open transaction fails.
func (c *dbSession) fail(text string) {
	if c.state == "T" {
		c.state, c.writes = "E", nil
	}
	c.answer("", text)
}

func (c *dbSession) answer(proof, failure string) {
	g := c.server.group
	g.mu.Lock()
	at := c.server.position()
	g.mu.Unlock()
	if failure != "" {
		fmt.Fprintf(c.w, "ERROR %s\r\n", failure)
	} else {
		fmt.Fprintf(c.w, "COMPLETE %s\r\n", proof)
	}
	fmt.Fprintf(c.w, "READY %s %s\r\n", c.state, at)
}

// readMessage returns the next message without its line ending.
func readMessage(r *bufio.Reader) (string, error) {
	line := ""
	for !strings.HasSuffix(line, "\r\n") {
		part, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		line += part
	}
	return strings.TrimSuffix(line, "\r\n"), nil
}
