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
	// convergenceTimeout allows for a promotion and the return of the old primary.
	convergenceTimeout = 30 * time.Second
	httpTimeout        = 5 * time.Second
	// stableTime is longer than the time-out after which a primary is suspected plus the longest delay of a promoter.
	stableTime = 2 * time.Second
	groupCount = 2
	// serverConnections is the connection limit of a server in the document, which the instances share by demand.
	serverConnections = 96
	// standInConnections is the connection limit of the stand-in, which the benchmarks also connect to directly.
	standInConnections = 160
	serverUser         = "system"
)

var httpClient = &http.Client{Timeout: httpTimeout}

// dataCentres are the data centres of the instances; the servers are spread over them too.
var dataCentres = []string{"kigali-1", "kigali-1", "kigali-2", "kigali-2"}

// server is a stand-in for a database server.
type server struct {
	*process
	id, address, adminURL, dataCentre string
}

// member is an entry instance.
type member struct {
	*process
	id, clientAddress, peerAddress, adminURL, dataCentre string
}

// secrets must not appear in the output of any process. They are random for each fixture.
type secrets struct {
	key, spareKey, rivalKey, operator, server, token string
}

// fixture is a running system: a platform, two groups of servers, and four entry instances.
type fixture struct {
	t        testing.TB
	dir      string
	secrets  secrets
	platform *process
	storeURL string
	groups   [][]*server
	members  []*member
	// network is nil unless the data centres can be partitioned.
	network *network
}

// newFixture starts a system with a first document installed and a primary in each group. The first group has kept its
// primary for stableTime.
func newFixture(t testing.TB) *fixture {
	t.Helper()
	return startFixture(t, false)
}

// startFixture starts a system. Its data centres can be partitioned if partitionable is true.
func startFixture(t testing.TB, partitionable bool) *fixture {
	t.Helper()
	f := &fixture{t: t, dir: t.TempDir(), secrets: secrets{
		key: rand.Text(), spareKey: rand.Text(), rivalKey: rand.Text(),
		operator: rand.Text(), server: rand.Text(), token: rand.Text() + rand.Text(),
	}}
	t.Cleanup(f.logOnFailure)
	f.platform = start(t, f.dir, "platform", "rhubarbwick-standin", "platform")
	f.storeURL = "http://" + f.platform.addresses(t, `listens on (\S+)`)[0]
	if partitionable {
		f.network = newNetwork(t, f.storeURL)
	}
	for g := range groupCount {
		f.groups = append(f.groups, f.startGroup(g))
	}
	f.startMembers()
	f.mustApply(f.document(), 0)
	for _, m := range f.members {
		eventually(t, startTimeout, m.name+" is ready", func() bool { return statusCode(m.adminURL+"/ready") == http.StatusOK })
	}
	for g := range f.groups {
		f.awaitPrimary(g, nil)
	}
	f.awaitStable(0)
	return f
}

func (f *fixture) startGroup(g int) []*server {
	f.t.Helper()
	var servers []*server
	for i, id := range []string{"a", "b", "c"} {
		name := fmt.Sprintf("server-%d-%s", g+1, id)
		p := start(f.t, f.dir, name, "rhubarbwick-standin", "server", "--name", id, "--user", serverUser,
			"--password", f.secrets.server, "--max-connections", strconv.Itoa(standInConnections))
		servers = append(servers, &server{process: p, id: id, dataCentre: dataCentres[i]})
	}
	for _, s := range servers {
		found := s.addresses(f.t, `listens on (\S+), admin on (\S+)`)
		s.address, s.adminURL = found[0], "http://"+found[1]
	}
	return servers
}

func (f *fixture) startMembers() {
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
		m.clientAddress, m.peerAddress, m.adminURL = found[0], found[1], "http://"+found[2]
		if f.network != nil {
			f.network.setDataCentre(m.peerAddress, m.dataCentre)
		}
	}
	f.registerMembers()
}

func (f *fixture) settings(dataCentre string) string {
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

// registerMembers registers all instances in the platform's list.
func (f *fixture) registerMembers() {
	f.t.Helper()
	var listed []map[string]string
	for _, m := range f.members {
		listed = append(listed, map[string]string{
			"id": m.id, "address": m.peerAddress, "data_centre": m.dataCentre, "state": "live",
		})
	}
	body, err := json.Marshal(listed)
	require.NoError(f.t, err)
	request, err := http.NewRequest(http.MethodPut, f.storeURL+"/admin/instances", strings.NewReader(string(body)))
	require.NoError(f.t, err)
	response, err := httpClient.Do(request)
	require.NoError(f.t, err)
	require.NoError(f.t, response.Body.Close())
	require.Equal(f.t, http.StatusNoContent, response.StatusCode)
}

// object is a JSON object of a document.
type object map[string]any

// document returns the first document, with the given keys for the clinic; without arguments it has both keys.
func (f *fixture) document(keys ...string) object {
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
		groups = append(groups, object{"name": name, "slots": []string{"slot-1"}, "servers": f.serverObjects(servers)})
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

func (f *fixture) serverObjects(servers []*server) []object {
	var listed []object
	for _, s := range servers {
		listed = append(listed, object{
			"name": s.id, "address": s.address, "data_centre": s.dataCentre,
			"connections": serverConnections, "departing": false,
		})
	}
	return listed
}

// apply applies a document on an instance with the command-line tool.
func (f *fixture) apply(m *member, document object, base int) result {
	f.t.Helper()
	data, err := json.Marshal(document)
	require.NoError(f.t, err)
	file, err := os.CreateTemp(f.dir, "document-*.json")
	require.NoError(f.t, err)
	_, err = file.Write(data)
	require.NoError(f.t, err)
	require.NoError(f.t, file.Close())
	env := []string{"RHUBARBWICK_PASSWORD=" + f.secrets.operator, "RHUBARBWICK_INSTANCE=" + m.adminURL}
	return command(f.t, env, "document", "apply", "--file", file.Name(), "--base", strconv.Itoa(base),
		"--author", "bench", "--summary", "test")
}

// mustApply applies a document and returns its revision.
func (f *fixture) mustApply(document object, base int) int {
	f.t.Helper()
	r := f.apply(f.members[0], document, base)
	require.Zero(f.t, r.code, "document apply: %s%s", r.out, r.errors)
	revision, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(r.out, "revision\t")))
	require.NoError(f.t, err)
	return revision
}

// postAdmin sends a command such as "/freeze" or "/lag?ms=5000" to the admin interface of a stand-in.
func (f *fixture) postAdmin(url string) {
	f.t.Helper()
	response, err := httpClient.Post(url, "", nil)
	require.NoError(f.t, err)
	body, _ := io.ReadAll(response.Body)
	require.NoError(f.t, response.Body.Close())
	require.Equal(f.t, http.StatusNoContent, response.StatusCode, "%s: %s", url, body)
}

func (s *server) freeze(f *fixture)           { f.postAdmin(s.adminURL + "/freeze") }
func (s *server) thaw(f *fixture)             { f.postAdmin(s.adminURL + "/thaw") }
func (s *server) partitionPeers(f *fixture)   { f.postAdmin(s.adminURL + "/cut/peers") }
func (s *server) healPeers(f *fixture)        { f.postAdmin(s.adminURL + "/heal/peers") }
func (s *server) partitionClients(f *fixture) { f.postAdmin(s.adminURL + "/cut/callers") }
func (s *server) healClients(f *fixture)      { f.postAdmin(s.adminURL + "/heal/callers") }
func (s *server) lag(f *fixture, d time.Duration) {
	f.postAdmin(s.adminURL + "/lag?" + milliseconds(d))
}
func (f *fixture) storeDown() { f.postAdmin(f.storeURL + "/admin/down") }
func (f *fixture) storeUp()   { f.postAdmin(f.storeURL + "/admin/up") }
func (f *fixture) storeSlow(d time.Duration) {
	f.postAdmin(f.storeURL + "/admin/slow?" + milliseconds(d))
}

func (f *fixture) loseStoreResponses(n int) {
	f.postAdmin(f.storeURL + "/admin/lose?n=" + strconv.Itoa(n))
}

// serverStatus holds the fields of a server's status that the tests use.
type serverStatus struct {
	Role     string `json:"role"`
	Promised string `json:"promised"`
	Followed string `json:"followed"`
	// Candidate is the instance to which the server promised the term.
	Candidate string `json:"candidate"`
}

// status queries the status of a server. It returns false when the server does not respond.
func (s *server) status() (serverStatus, bool) {
	var st serverStatus
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get(s.adminURL + "/status")
	if err != nil {
		return st, false
	}
	defer func() { _ = response.Body.Close() }()
	return st, json.NewDecoder(response.Body).Decode(&st) == nil
}

func (st serverStatus) term() int {
	term, _ := strconv.Atoi(st.Followed)
	return term
}

func (st serverStatus) isPrimary() bool { return st.Role == "primary" && st.Promised == st.Followed }

// awaitPrimary waits until a server of the group other than except is primary, and returns it. Servers that do not
// respond are ignored.
func (f *fixture) awaitPrimary(g int, except *server) *server {
	f.t.Helper()
	var found *server
	eventually(f.t, convergenceTimeout, "group "+groupName(g)+" has another primary", func() bool {
		found = f.findPrimary(g)
		return found != nil && found != except
	})
	return found
}

// findPrimary returns the primary of the highest term, or nil.
func (f *fixture) findPrimary(g int) *server {
	var found *server
	highest := 0
	for _, s := range f.groups[g] {
		if s.HasExited() {
			continue
		}
		if st, ok := s.status(); ok && st.isPrimary() && st.term() > highest {
			found, highest = s, st.term()
		}
	}
	return found
}

// awaitConverged waits until all running servers of the group follow the term of one primary.
func (f *fixture) awaitConverged(g int) {
	f.t.Helper()
	eventually(f.t, convergenceTimeout, "group "+groupName(g)+" follows one primary", func() bool {
		_, converged := f.convergedTerm(g)
		return converged
	})
}

// awaitStable waits until a group has followed the same primary for stableTime. On a busy machine a promotion can be slow
// enough for the next promoter to start another one, so a group that has just converged may change its term once more.
func (f *fixture) awaitStable(g int) {
	f.t.Helper()
	last, since := 0, timer.Now()
	eventually(f.t, convergenceTimeout, "group "+groupName(g)+" keeps its primary", func() bool {
		term, converged := f.convergedTerm(g)
		if !converged || term != last {
			last, since = term, timer.Now()
		}
		return converged && timer.Now()-since > stableTime
	})
}

// convergedTerm returns the term of the primary that all running servers of the group follow, if there is one.
func (f *fixture) convergedTerm(g int) (int, bool) {
	var terms []int
	primaries := 0
	for _, s := range f.groups[g] {
		if s.HasExited() {
			continue
		}
		st, ok := s.status()
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

// replicas returns the running servers of a group except the primary.
func (f *fixture) replicas(g int, primary *server) []*server {
	return slices.DeleteFunc(slices.Clone(f.groups[g]), func(s *server) bool { return s == primary || s.HasExited() })
}

// logOnFailure prints the end of each log if the test has failed.
func (f *fixture) logOnFailure() {
	if !f.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, path := range logs {
		data, _ := os.ReadFile(path)
		f.t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-2000):])
	}
}

// statusCode returns the status code of a GET request, or zero when there is no response.
func statusCode(url string) int {
	response, err := httpClient.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func groupName(g int) string { return "formula-core-" + strconv.Itoa(g+1) }

func routeName(kind string, g int) string { return kind + "-" + strconv.Itoa(g+1) }

func milliseconds(d time.Duration) string { return "ms=" + strconv.FormatInt(d.Milliseconds(), 10) }

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
