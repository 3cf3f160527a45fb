package bench

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// settleLimit bounds a promotion with the return of the old primary.
	settleLimit = 30 * time.Second
	httpLimit   = 5 * time.Second
	// stableTime is above the silence after which a primary is suspected and the delay of the last watcher together.
	stableTime = 2 * time.Second
	groupCount = 2
	// serverConnections is the bound on connections of a server; the instances divide it by demand.
	serverConnections = 96
	// standingConnections is the bound of the stand-in itself, which also has direct callers in the measurements.
	standingConnections = 160
	serverUser          = "system"
)

var httpClient = &http.Client{Timeout: httpLimit}

// dataCentres are the data centres of the instances; the servers are spread over them too.
var dataCentres = []string{"kigali-1", "kigali-1", "kigali-2", "kigali-2"}

// server is a stand-in of a database server.
type server struct {
	*process
	id, address, admin, dataCentre string
}

// member is an entry instance.
type member struct {
	*process
	id, callers, peers, operators, dataCentre string
}

// secrets are what no process may print. They are drawn at random for each fleet.
type secrets struct {
	key, spareKey, rivalKey, operator, server, token string
}

// fleet is a platform, two groups of servers and four instances.
type fleet struct {
	t        testing.TB
	dir      string
	secrets  secrets
	platform *process
	store    string
	groups   [][]*server
	members  []*member
	// network is nil unless the data centres of the fleet can be cut off.
	network *network
}

// newFleet starts a fleet with a first document in force and a primary in each group. The first group has kept its
// primary for the stable time.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	return startFleet(t, false)
}

// startFleet starts a fleet whose data centres can be cut off when cuttable is true.
func startFleet(t testing.TB, cuttable bool) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), secrets: secrets{
		key: rand.Text(), spareKey: rand.Text(), rivalKey: rand.Text(),
		operator: rand.Text(), server: rand.Text(), token: rand.Text() + rand.Text(),
	}}
	t.Cleanup(f.report)
	f.platform = start(t, f.dir, "platform", "rhubarbwick-standin", "platform")
	f.store = "http://" + f.platform.addresses(t, `listens on (\S+)`)[0]
	if cuttable {
		f.network = newNetwork(t, f.store)
	}
	for g := range groupCount {
		f.groups = append(f.groups, f.startGroup(g))
	}
	f.startMembers()
	f.mustApply(f.document(), 0)
	for _, m := range f.members {
		eventually(t, startLimit, m.name+" is ready", func() bool { return status(m.operators+"/ready") == http.StatusOK })
	}
	for g := range f.groups {
		f.awaitPrimary(g, nil)
	}
	f.awaitStable(0)
	return f
}

func (f *fleet) startGroup(g int) []*server {
	f.t.Helper()
	var servers []*server
	for i, id := range []string{"a", "b", "c"} {
		name := fmt.Sprintf("server-%d-%s", g+1, id)
		p := start(f.t, f.dir, name, "rhubarbwick-standin", "server", "--name", id, "--user", serverUser,
			"--password", f.secrets.server, "--max-connections", strconv.Itoa(standingConnections))
		servers = append(servers, &server{process: p, id: id, dataCentre: dataCentres[i]})
	}
	for _, s := range servers {
		found := s.addresses(f.t, `listens on (\S+), admin on (\S+)`)
		s.address, s.admin = found[0], "http://"+found[1]
	}
	return servers
}

func (f *fleet) startMembers() {
	f.t.Helper()
	for i, dataCentre := range dataCentres {
		id := "instance-" + strconv.Itoa(i+1)
		path := filepath.Join(f.dir, id+".ini")
		require.NoError(f.t, os.WriteFile(path, []byte(f.settings(dataCentre)), 0o600))
		p := start(f.t, f.dir, id, memberBinary(i), "serve", "--settings", path, "--incarnation", id)
		f.members = append(f.members, &member{process: p, id: id, dataCentre: dataCentre})
	}
	for _, m := range f.members {
		found := m.addresses(f.t, `listens on (\S+) for callers, (\S+) for instances, (\S+) for operators`)
		m.callers, m.peers, m.operators = found[0], found[1], "http://"+found[2]
		if f.network != nil {
			f.network.place(m.peers, m.dataCentre)
		}
	}
	f.listMembers()
}

func (f *fleet) settings(dataCentre string) string {
	return strings.Join([]string{
		"[instance]", "data_centre = " + dataCentre, "caller_listen = 127.0.0.1:0",
		"peer_listen = 127.0.0.1:0", "admin_listen = 127.0.0.1:0",
		"[platform]", "store_url = " + f.storeOf(dataCentre),
		"[servers]", "user = " + serverUser, "password = " + f.secrets.server,
		"[session]", "token_secret = " + f.secrets.token,
		"[limits]", "policy = " + limitPolicy(),
		"[console]", "password_sha256 = " + hash(f.secrets.operator),
		"[log]", "level = debug", "",
	}, "\n")
}

// listMembers puts all instances on the platform's list.
func (f *fleet) listMembers() {
	f.t.Helper()
	var listed []map[string]string
	for _, m := range f.members {
		listed = append(listed, map[string]string{
			"id": m.id, "address": m.peers, "data_centre": m.dataCentre, "state": "live",
		})
	}
	body, err := json.Marshal(listed)
	require.NoError(f.t, err)
	request, err := http.NewRequest(http.MethodPut, f.store+"/admin/instances", strings.NewReader(string(body)))
	require.NoError(f.t, err)
	answer, err := httpClient.Do(request)
	require.NoError(f.t, err)
	require.NoError(f.t, answer.Body.Close())
	require.Equal(f.t, http.StatusNoContent, answer.StatusCode)
}

// object is a part of a document.
type object map[string]any

// document returns the first document with the given keys of the clinic, by default both.
func (f *fleet) document(keys ...string) object {
	if len(keys) == 0 {
		keys = []string{f.secrets.key, f.secrets.spareKey}
	}
	var hashes []object
	for _, key := range keys {
		hashes = append(hashes, object{"id": "key-" + hash(key)[:8], "sha256": hash(key)})
	}
	rival := []object{{"id": "first", "sha256": hash(f.secrets.rivalKey)}}
	var groups, routes []object
	for g, servers := range f.groups {
		name := groupName(g)
		groups = append(groups, object{"name": name, "slots": []string{"slot-1"}, "servers": f.listServers(servers)})
		for _, kind := range []string{"write", "read"} {
			routes = append(routes, object{
				"name": routeName(kind, g), "group": name, "slot": "slot-1", "kind": kind,
				"accepted_age_ms": 0, "idempotent": kind == "read", "open": false,
			})
		}
	}
	return object{
		"seats": 32,
		"organisations": []object{
			{"name": "clinic", "rate": 1e6, "burst": 1e6, "keys": hashes},
			{"name": "rival", "rate": 1e6, "burst": 1e6, "keys": rival},
		},
		"groups": groups, "routes": routes,
	}
}

func (f *fleet) listServers(servers []*server) []object {
	var listed []object
	for _, s := range servers {
		listed = append(listed, object{
			"name": s.id, "address": s.address, "data_centre": s.dataCentre,
			"connections": serverConnections, "departing": false,
		})
	}
	return listed
}

// apply applies a document at an instance through the command line.
func (f *fleet) apply(m *member, document object, base int) result {
	f.t.Helper()
	data, err := json.Marshal(document)
	require.NoError(f.t, err)
	file, err := os.CreateTemp(f.dir, "document-*.json")
	require.NoError(f.t, err)
	_, err = file.Write(data)
	require.NoError(f.t, err)
	require.NoError(f.t, file.Close())
	env := []string{"RHUBARBWICK_PASSWORD=" + f.secrets.operator, "RHUBARBWICK_INSTANCE=" + m.operators}
	return command(f.t, env, "document", "apply", "--file", file.Name(), "--base", strconv.Itoa(base),
		"--author", "bench", "--summary", "test")
}

// mustApply applies a document and returns its revision.
func (f *fleet) mustApply(document object, base int) int {
	f.t.Helper()
	r := f.apply(f.members[0], document, base)
	require.Zero(f.t, r.code, "document apply: %s%s", r.out, r.errors)
	revision, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(r.out, "revision\t")))
	require.NoError(f.t, err)
	return revision
}

// command gives the admin of a stand-in a command such as "/freeze" or "/lag?ms=5000".
func (f *fleet) command(url string) {
	f.t.Helper()
	answer, err := httpClient.Post(url, "", nil)
	require.NoError(f.t, err)
	body, _ := io.ReadAll(answer.Body)
	require.NoError(f.t, answer.Body.Close())
	require.Equal(f.t, http.StatusNoContent, answer.StatusCode, "%s: %s", url, body)
}

func (s *server) freeze(f *fleet)               { f.command(s.admin + "/freeze") }
func (s *server) thaw(f *fleet)                 { f.command(s.admin + "/thaw") }
func (s *server) cutPeers(f *fleet)             { f.command(s.admin + "/cut/peers") }
func (s *server) healPeers(f *fleet)            { f.command(s.admin + "/heal/peers") }
func (s *server) cutCallers(f *fleet)           { f.command(s.admin + "/cut/callers") }
func (s *server) healCallers(f *fleet)          { f.command(s.admin + "/heal/callers") }
func (s *server) lag(f *fleet, d time.Duration) { f.command(s.admin + "/lag?" + milliseconds(d)) }
func (f *fleet) storeDown()                     { f.command(f.store + "/admin/down") }
func (f *fleet) storeUp()                       { f.command(f.store + "/admin/up") }
func (f *fleet) storeSlow(d time.Duration)      { f.command(f.store + "/admin/slow?" + milliseconds(d)) }

func (f *fleet) loseAnswers(n int) { f.command(f.store + "/admin/lose?n=" + strconv.Itoa(n)) }

// standing is the part of a server's status that the tests need.
type standing struct {
	Role     string `json:"role"`
	Promised string `json:"promised"`
	Followed string `json:"followed"`
	// Candidate names the instance to which the term was promised.
	Candidate string `json:"candidate"`
}

// standing asks a server for its status. It reports false when the server does not answer.
func (s *server) standing() (standing, bool) {
	var st standing
	client := http.Client{Timeout: 500 * time.Millisecond}
	answer, err := client.Get(s.admin + "/status")
	if err != nil {
		return st, false
	}
	defer func() { _ = answer.Body.Close() }()
	return st, json.NewDecoder(answer.Body).Decode(&st) == nil
}

func (st standing) term() int {
	term, _ := strconv.Atoi(st.Followed)
	return term
}

func (st standing) isPrimary() bool { return st.Role == "primary" && st.Promised == st.Followed }

// awaitPrimary waits until a server of the group other than except is primary, and returns it. Other servers that do
// not answer are passed over.
func (f *fleet) awaitPrimary(g int, except *server) *server {
	f.t.Helper()
	var found *server
	eventually(f.t, settleLimit, "group "+groupName(g)+" has another primary", func() bool {
		found = f.findPrimary(g)
		return found != nil && found != except
	})
	return found
}

// findPrimary returns the primary of the greatest term; nil when there is none.
func (f *fleet) findPrimary(g int) *server {
	var found *server
	greatest := 0
	for _, s := range f.groups[g] {
		if s.hasEnded() {
			continue
		}
		if st, ok := s.standing(); ok && st.isPrimary() && st.term() > greatest {
			found, greatest = s, st.term()
		}
	}
	return found
}

// awaitSettled waits until all running servers of the group follow the term of one primary.
func (f *fleet) awaitSettled(g int) {
	f.t.Helper()
	eventually(f.t, settleLimit, "group "+groupName(g)+" follows one primary", func() bool {
		_, settled := f.settledTerm(g)
		return settled
	})
}

// awaitStable waits until a group has followed one primary for the stable time. When a promotion is slow on a busy
// machine, the next watcher may start another one, so that a group that has just settled may change its term once more.
func (f *fleet) awaitStable(g int) {
	f.t.Helper()
	last, since := 0, timer.Now()
	eventually(f.t, settleLimit, "group "+groupName(g)+" keeps its primary", func() bool {
		term, settled := f.settledTerm(g)
		if !settled || term != last {
			last, since = term, timer.Now()
		}
		return settled && timer.Now()-since > stableTime
	})
}

// settledTerm returns the term that all running servers of the group follow, if they follow one primary.
func (f *fleet) settledTerm(g int) (int, bool) {
	var terms []int
	primaries := 0
	for _, s := range f.groups[g] {
		if s.hasEnded() {
			continue
		}
		st, ok := s.standing()
		if !ok || st.Promised != st.Followed {
			return 0, false
		}
		if st.isPrimary() {
			primaries++
		}
		terms = append(terms, st.term())
	}
	return terms[0], primaries == 1 && slices.Min(terms) == slices.Max(terms)
}

// replicas returns the running servers of a group but for the primary.
func (f *fleet) replicas(g int, primary *server) []*server {
	return slices.DeleteFunc(slices.Clone(f.groups[g]), func(s *server) bool { return s == primary || s.hasEnded() })
}

// report prints the end of each log when the test failed.
func (f *fleet) report() {
	if !f.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, path := range logs {
		data, _ := os.ReadFile(path)
		f.t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-2000):])
	}
}

// status returns the status code of a GET; zero when there is no answer.
func status(url string) int {
	answer, err := httpClient.Get(url)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

func groupName(g int) string { return "formula-core-" + strconv.Itoa(g+1) }

func routeName(kind string, g int) string { return kind + "-" + strconv.Itoa(g+1) }

func milliseconds(d time.Duration) string { return "ms=" + strconv.FormatInt(d.Milliseconds(), 10) }

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
