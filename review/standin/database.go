package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// An entry is removed after three heartbeats of silence.
	entryLife = 3 * heartbeat
	// promoteTime is the time from a promotion call until the named server leads.
	promoteTime = 600 * time.Millisecond
	// stepDownAfter is how long an old primary goes on after it can reach the new one.
	stepDownAfter = time.Second
	applyLag      = 60 * time.Millisecond
	workTime      = 3 * time.Millisecond
	// darkAfter is how long a server keeps a connection whose far end is dark.
	darkAfter = 3 * time.Second
)

// entry is an entry of a log: one committed statement or transaction.
type entry struct {
	term   uint64
	number uint64
	items  []string
	data   []string
	ids    []string
	at     time.Time
}

func (e entry) position() string { return fmt.Sprintf("%d.%d", e.term, e.number) }

// group is a database service: a primary and its replicas.
type group struct {
	name  string
	sync  int
	store *store
	rec   *recorder
	// work is the time that a statement takes.
	work time.Duration
	// onRun is called for each statement that a server runs. It must not block.
	onRun func(server *server, tenant, id, text string)

	mu      sync.Mutex
	servers []*server
}

// server is a database server. Its fields are protected by the group's mutex.
type server struct {
	id, zone string
	g        *group
	listener net.Listener
	conns    map[net.Conn]bool

	up      bool
	primary bool
	term    uint64
	log     []entry
	applied int
	// cutNodes, cutServers and cutStore partition the server from the instances, from the other servers and from the
	// store. A deaf server receives nothing.
	cutNodes, cutServers, cutStore, deaf bool
	// healed is closed when the present cut from the instances ends.
	healed chan struct{}
	// reachedSince is when an old primary could first reach the new one.
	reachedSince time.Time
	sequence     int
	lastBeat     time.Time
	listed       bool
	born         int64
}

func newGroup(name string, sync int, s *store, rec *recorder) *group {
	g := &group{name: name, sync: sync, store: s, rec: rec, work: workTime, onRun: func(*server, string, string, string) {}}
	go g.loop()
	return g
}

// addServer starts a server. The first one is the primary.
func (g *group) addServer(id, zone string) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &server{
		id: id, zone: zone, g: g, listener: l, up: true, primary: len(g.servers) == 0, term: 3, conns: make(map[net.Conn]bool),
		healed: make(chan struct{}), born: time.Now().UnixMilli(),
	}
	for n := uint64(1); n <= 5; n++ {
		s.log = append(s.log, entry{term: 3, number: n})
	}
	s.applied = len(s.log)
	g.servers = append(g.servers, s)
	s.beat()
	go s.acceptLoop(l)
	return s, nil
}

// loop moves the group's time on: heartbeats, entries that lapse, replication, old primaries.
func (g *group) loop() {
	for ; ; time.Sleep(5 * time.Millisecond) {
		g.mu.Lock()
		now := time.Now()
		for _, s := range g.servers {
			switch {
			case s.up && !s.cutStore && now.Sub(s.lastBeat) >= heartbeat:
				s.beat()
			case s.listed && now.Sub(s.lastBeat) >= entryLife:
				s.listed = false
				g.store.del("servers", s.id, 0)
				g.rec.add("store: the entry of %s has expired", s.id)
			}
			s.follow(now)
		}
		g.mu.Unlock()
	}
}

// beat writes the server's entry. The group's mutex must be held.
func (s *server) beat() {
	s.sequence++
	s.lastBeat, s.listed = time.Now(), true
	role := "replica"
	if s.primary {
		role = "primary"
	}
	s.g.store.set("servers", s.id, map[string]any{
		"service": s.g.name, "address": s.listener.Addr().String(), "zone": s.zone, "version": "1.0", "slots": 3, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.sequence, "database_role": role, "born": s.born,
	})
}

// reaches reports whether two servers reach each other. The group's mutex must be held.
func (s *server) reaches(o *server) bool {
	return s.up && o.up && !s.cutServers && !o.cutServers
}

// follow replicates from the newest primary that the server reaches. An old primary steps down a second after it can
// reach the new one. The group's mutex must be held.
func (s *server) follow(now time.Time) {
	if !s.up {
		return
	}
	var newest *server
	for _, o := range s.g.servers {
		if o != s && o.primary && s.reaches(o) && o.term > s.term-1 && (newest == nil || o.term > newest.term) {
			newest = o
		}
	}
	if s.primary {
		switch {
		case newest == nil || newest.term <= s.term:
			s.reachedSince = time.Time{}
		case s.reachedSince.IsZero():
			s.reachedSince = now
		case now.Sub(s.reachedSince) >= stepDownAfter:
			s.g.rec.add("%s: can reach the new primary for a second, becomes a replica", s.id)
			s.primary = false
			s.announce()
		}
		return
	}
	if newest != nil && !s.deaf {
		s.receive(newest)
	}
	for s.applied < len(s.log) && now.Sub(s.log[s.applied].at) >= applyLag {
		s.applied++
	}
}

// receive copies the log of the primary; entries that it lacks are rolled back. The group's mutex must be held.
func (s *server) receive(p *server) {
	s.term = p.term
	common := 0
	for common < len(s.log) && common < len(p.log) && s.log[common].term == p.log[common].term {
		common++
	}
	if n := len(s.log) - common; n > 0 {
		s.g.rec.add("%s: %d entries are rolled back: %s to %s", s.id, n, s.log[common].position(), s.log[len(s.log)-1].position())
	}
	s.log = append(slices.Clone(s.log[:common]), p.log[common:]...)
	s.applied = min(s.applied, common)
}

// announce reports a change of role at once. The group's mutex must be held.
func (s *server) announce() {
	if !s.cutStore {
		s.beat()
	}
}

// commit appends the entry at a primary. With synchronous replicas, it returns once one of them has received the entry.
// It returns false if the server stops before that. The group's mutex must be held; it is released while waiting.
func (s *server) commit(e entry) bool {
	e.term, e.number, e.at = s.term, uint64(len(s.log)+1), time.Now()
	s.log = append(s.log, e)
	s.applied = len(s.log)
	for s.g.sync > 0 {
		for _, o := range s.g.servers {
			if o != s && !o.primary && !o.deaf && s.reaches(o) && o.term <= s.term {
				o.receive(s)
				return true
			}
		}
		s.g.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		s.g.mu.Lock()
		if !s.up || !s.primary {
			return false
		}
	}
	return true
}

// promote carries out a promotion call and returns the status. The server leads after promoteTime.
func (g *group) promote(id string, onLead func(s *server)) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.servers, func(s *server) bool { return s.id == id })
	if i < 0 || !g.servers[i].up {
		return 409
	}
	target := g.servers[i]
	if target.primary && target.term == g.newestTerm() {
		return 200
	}
	time.AfterFunc(promoteTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !target.up || target.primary && target.term == g.newestTerm() {
			return
		}
		target.term, target.primary, target.deaf = g.newestTerm()+1, true, false
		target.applied = len(target.log)
		g.rec.add("%s: leads term %d, its log ends at %s", id, target.term, target.log[len(target.log)-1].position())
		target.announce()
		onLead(target)
	})
	return 200
}

// newestTerm must be called with the group's mutex held.
func (g *group) newestTerm() uint64 {
	newest := uint64(0)
	for _, s := range g.servers {
		newest = max(newest, s.term)
	}
	return newest
}

// crash stops the server: its connections are reset and its entry is no longer renewed.
func (s *server) crash() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.up = false
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// setCutNodes partitions the server from the instances, or heals the cut. Connections of before the end of the cut are
// closed then: instances have reset them, or the server has dropped them because their far end was dark.
func (s *server) setCutNodes(cut bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if s.cutNodes == cut {
		return
	}
	s.cutNodes = cut
	if cut {
		s.healed = make(chan struct{})
		return
	}
	close(s.healed)
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// setCutServers partitions the server from the other servers, or heals that cut.
func (s *server) setCutServers(cut bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.cutServers = cut
}

func (s *server) acceptLoop(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.g.mu.Lock()
		s.conns[c] = true
		s.g.mu.Unlock()
		conn := &serverConn{s: s, c: c, r: bufio.NewReader(c), state: "I", values: make(map[string]string), shapes: make(map[string]string)}
		go conn.run()
	}
}

// serverConn is a connection to a server.
type serverConn struct {
	s      *server
	c      net.Conn
	r      *bufio.Reader
	tenant string
	state  string
	values map[string]string
	shapes map[string]string
	// plain is true in a transaction that may write. items and data are its writes.
	plain            bool
	items, data, ids []string
}

// readMessage reads up to CR LF. The text may contain any other byte.
func readMessage(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := r.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(b.String(), "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}

// passes waits while the server is cut off from the instances, and reports whether the connection is still in use
// afterwards.
func (c *serverConn) passes() bool {
	c.s.g.mu.Lock()
	cut, healed := c.s.cutNodes, c.s.healed
	c.s.g.mu.Unlock()
	if cut {
		<-healed
		return false
	}
	return true
}

func (c *serverConn) run() {
	defer c.close()
	line, err := readMessage(c.r)
	if err != nil || !c.passes() {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "START" || fields[1] != c.s.g.name || len(fields) > 3 && fields[3] != c.s.id {
		_, _ = io.WriteString(c.c, "ERROR WRONGNODE "+c.s.id+"\r\n")
		return
	}
	c.tenant = fields[2]
	c.s.g.mu.Lock()
	position := c.s.position()
	c.s.g.mu.Unlock()
	if _, err := io.WriteString(c.c, "READY I "+position+"\r\n"); err != nil {
		return
	}
	for {
		line, err := readMessage(c.r)
		if err != nil || !c.passes() {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		answer, ok := c.query(id, text)
		if !ok || !c.passes() {
			return
		}
		if _, err := io.WriteString(c.c, answer); err != nil {
			return
		}
	}
}

func (c *serverConn) close() {
	c.s.g.mu.Lock()
	delete(c.s.conns, c.c)
	c.s.g.mu.Unlock()
	_ = c.c.Close()
}

// position returns the position of the last applied entry. The group's mutex must be held.
func (s *server) position() string { return s.log[s.applied-1].position() }

// query runs a query and returns the messages of its answer. It returns false if there is none.
func (c *serverConn) query(id, text string) (string, bool) {
	verb, _, _ := strings.Cut(text, " ")
	if id != "-" {
		time.Sleep(c.s.g.work)
	}
	g := c.s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.s.up || c.s.cutNodes {
		return "", false
	}
	rows, code := c.execute(id, verb, text)
	if code == "lost" {
		return "", false
	}
	if code != "" {
		if c.state == "T" {
			c.state = "E"
		}
		return fmt.Sprintf("ERROR %s %s\r\nREADY %s %s\r\n", code, c.s.id, c.state, c.s.position()), true
	}
	proof := "-"
	if id != "-" {
		proof = c.s.id + "." + id
		g.onRun(c.s, c.tenant, id, text)
	}
	return fmt.Sprintf("%sCOMPLETE %s\r\nREADY %s %s\r\n", rows, proof, c.state, c.s.position()), true
}

// execute returns the rows or the code of an error. The group's mutex must be held.
func (c *serverConn) execute(id, verb, text string) (rows, code string) {
	if rest, waits := strings.CutPrefix(text, "WAITLSN "); waits {
		position, query, _ := strings.Cut(rest, " ")
		if !c.s.holds(position) {
			return "", "LAGGING"
		}
		word, _, _ := strings.Cut(query, " ")
		return c.execute(id, word, query)
	}
	_, operands, _ := strings.Cut(text, " ")
	if c.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return "", "MALFORMED"
	}
	if c.state == "T" && c.plain && !c.s.primary && verb != "ROLLBACK" && !(verb == "COMMIT" && len(c.items) == 0) {
		return "", "READONLY"
	}
	switch verb {
	case "BEGIN":
		if operands != "READ" && !c.s.primary {
			return "", "READONLY"
		}
		c.state, c.plain = "T", operands != "READ"
	case "ROLLBACK":
		c.end()
	case "COMMIT":
		failed := c.state == "E"
		e := entry{items: c.items, data: c.data, ids: append(c.ids, id)}
		c.end()
		if failed {
			return "", "ABORTED"
		}
		if len(e.items) > 0 && !c.s.commit(e) {
			return "", "lost"
		}
	case "READ":
		return "ROW " + c.s.read(operands) + "\r\n", ""
	case "WRITE":
		return "", c.write(id, operands)
	case "SET":
		name, value, _ := strings.Cut(operands, " ")
		c.values[name] = value
	case "RESET":
		clear(c.values)
		clear(c.shapes)
	case "PREPARE":
		name, shape, _ := strings.Cut(operands, " ")
		c.shapes[name] = shape
	case "EXECUTE":
		name, arguments, _ := strings.Cut(operands, " ")
		shape, found := c.shapes[name]
		switch {
		case !found:
			return "", "UNKNOWN"
		case strings.HasPrefix(shape, "WRITE"):
			return "", c.write(id, arguments)
		default:
			return "ROW " + c.s.read(arguments) + "\r\n", ""
		}
	case "STATUS":
		return c.s.status(), ""
	case "STEPDOWN":
		if term, err := strconv.ParseUint(operands, 10, 64); err == nil && c.s.primary && c.s.term < term {
			c.s.g.rec.add("%s: STEPDOWN %d", c.s.id, term)
			c.s.primary = false
			c.s.announce()
		}
		return c.s.status(), ""
	default:
		return "", "MALFORMED"
	}
	return "", ""
}

func (c *serverConn) end() { c.state, c.items, c.data, c.ids = "I", nil, nil, nil }

func (c *serverConn) write(id, operands string) string {
	if !c.s.primary || c.state == "T" && !c.plain {
		return "READONLY"
	}
	item, data, _ := strings.Cut(operands, " ")
	if c.state == "T" {
		c.items, c.data, c.ids = append(c.items, item), append(c.data, data), append(c.ids, id)
		return ""
	}
	if !c.s.commit(entry{items: []string{item}, data: []string{data}, ids: []string{id}}) {
		return "lost"
	}
	return ""
}

func (s *server) read(item string) string {
	for i := s.applied - 1; i >= 0; i-- {
		if n := slices.Index(s.log[i].items, item); n >= 0 {
			return s.log[i].data[n]
		}
	}
	return "-"
}

// holds reports whether the server has applied the position. The group's mutex must be held.
func (s *server) holds(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	n, err := strconv.Atoi(number)
	return err == nil && n >= 1 && n <= s.applied && strconv.FormatUint(s.log[n-1].term, 10) == term
}

func (s *server) status() string {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\n", role, s.term, s.log[len(s.log)-1].position(), len(s.conns))
}
