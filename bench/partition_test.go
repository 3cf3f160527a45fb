package bench

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

const (
	// maxStaleness is how long an instance without news of the document still accepts requests with a key.
	maxStaleness = 10 * time.Second
	// shortStatementTimeout allows for a short statement on a busy machine.
	shortStatementTimeout = time.Second
	// propagationTimeout is the time within which every reachable instance has to install an accepted change.
	propagationTimeout = 5 * time.Second
)

// TestDataCentrePartition guards against a revoked key that keeps working in a partitioned data centre, and against a
// data centre that misses, delays or reverts a change after the partition has healed.
func TestDataCentrePartition(t *testing.T) {
	f := startFixture(t, true)
	f.mustApply(f.withOpenRoute(f.document()), 0)
	reachable, isolated := f.members[:2], f.members[2:]
	t.Run("store down and one data centre partitioned", func(t *testing.T) {
		clients := f.dialPairs(t, f.members)
		f.storeDown()
		f.network.partition(isolated[0].dataCentre)
		requireKeyedRefused(t, clients)
		for _, m := range f.members {
			requireRefused(t, m.clientAddress, f.writeLogin(0), "57P03")
			requireServed(t, mustDial(t, m.clientAddress, openLogin()))
		}
		f.network.heal(isolated[0].dataCentre)
		requireKeyedServed(t, clients)
		f.storeUp()
	})
	t.Run("change while one data centre is partitioned", func(t *testing.T) {
		revoked, valid, unaffected := f.dialSparePairs(t, isolated), f.dialPairs(t, isolated), f.dialPairs(t, reachable)
		f.network.partition(isolated[0].dataCentre)
		revision := f.mustApply(f.withOpenRoute(f.document(f.secrets.key)), 0)
		f.requireRevision(t, revision, propagationTimeout, reachable)
		requireKeyedRefused(t, valid)
		requireKeyedServed(t, unaffected)
		f.network.heal(isolated[0].dataCentre)
		f.requireRevision(t, revision, propagationTimeout, isolated)
		requireKeyedServed(t, valid)
		for _, c := range revoked {
			_, err := c.keyed.exec(getSQL("tin"))
			requireCode(t, "28P01", err)
		}
		changed := f.apply(isolated[0], f.withOpenRoute(f.document(f.secrets.key)), revision)
		require.Zero(t, changed.code, "change in the data centre that was partitioned: %+v", changed)
		f.requireRevision(t, revision+1, propagationTimeout, f.members)
	})
}

// clientPair is a client with a key and a client of an open route, connected to the same instance.
type clientPair struct{ keyed, open *client }

func (f *fixture) dialPairs(t testing.TB, members []*member) []clientPair {
	t.Helper()
	return f.dialPairsAs(t, members, f.readLogin(0))
}

func (f *fixture) dialSparePairs(t testing.TB, members []*member) []clientPair {
	t.Helper()
	return f.dialPairsAs(t, members, f.readLogin(0).withKey(f.secrets.spareKey))
}

func (f *fixture) dialPairsAs(t testing.TB, members []*member, l login) []clientPair {
	t.Helper()
	var pairs []clientPair
	for _, m := range members {
		p := clientPair{keyed: mustDial(t, m.clientAddress, l), open: mustDial(t, m.clientAddress, openLogin())}
		requireServed(t, p.keyed)
		requireServed(t, p.open)
		pairs = append(pairs, p)
	}
	return pairs
}

// openLogin returns the login of a client of the open route, which needs no key.
func openLogin() login { return login{organisation: "anybody", key: "none", route: "menu"} }

func (f *fixture) withOpenRoute(d object) object {
	d["routes"] = append(d["routes"].([]object), object{
		"name": "menu", "group": groupName(0), "slot": "slot-1", "kind": "read", "accepted_age_ms": 0,
		"idempotent": true, "open": true, "rate": 1e6, "burst": 1e6,
	})
	return d
}

// requireKeyedRefused requires that every client with a key is refused once its instance can't know whether the key was
// revoked, and that open routes are served meanwhile.
func requireKeyedRefused(t testing.TB, pairs []clientPair) {
	t.Helper()
	refused := make(map[*client]bool)
	eventually(t, maxStaleness+shortStatementTimeout, "clients with a key are refused", func() bool {
		for _, p := range pairs {
			requireServed(t, p.open)
			if _, err := p.keyed.exec(getSQL("tin")); err != nil && !isRateLimited(err) {
				requireCode(t, "57P03", err)
				refused[p.keyed] = true
			}
		}
		return len(refused) == len(pairs)
	})
}

// requireServed requires that a client is served. A statement that is refused by the rate limit is retried, because the
// shares of a limit move between instances, and don't move at all while the store is down.
func requireServed(t testing.TB, c *client) {
	t.Helper()
	eventually(t, shortStatementTimeout, "the client is served", func() bool {
		_, err := c.exec(getSQL("tin"))
		if !isRateLimited(err) {
			require.NoError(t, err)
		}
		return err == nil
	})
}

func isRateLimited(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && pgErr.Code == "53400"
}

// requireKeyedServed requires that clients with a key are served again on their existing connections.
func requireKeyedServed(t testing.TB, pairs []clientPair) {
	t.Helper()
	for _, p := range pairs {
		eventually(t, propagationTimeout, "clients with a key are served again", func() bool {
			_, err := p.keyed.exec(getSQL("tin"))
			return err == nil
		})
	}
}

// requireRevision requires that the members install a revision within the limit, and that no instance goes back to an
// older revision meanwhile.
func (f *fixture) requireRevision(t testing.TB, want int, limit time.Duration, members []*member) {
	t.Helper()
	last := make(map[*member]int)
	eventually(t, limit, "revision "+strconv.Itoa(want)+" is installed", func() bool {
		installed := 0
		for _, m := range f.members {
			revision := m.revision(t)
			require.GreaterOrEqual(t, revision, last[m], "%s went back to an older revision", m.id)
			last[m] = revision
		}
		for _, m := range members {
			if last[m] == want {
				installed++
			}
		}
		return installed == len(members)
	})
}

// revision returns the revision of the document that the instance uses.
func (m *member) revision(t testing.TB) int {
	t.Helper()
	return int(m.metric(t, "rhubarbwick_document_revision"))
}
