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
	// freshnessLimit is the time after which an instance that hears nothing refuses requests with a key.
	freshnessLimit = 10 * time.Second
	// statementTime bounds one short statement on a busy machine.
	statementTime = time.Second
	// inForceLimit is the time within which an accepted change is in force at every instance that can be reached.
	inForceLimit = 5 * time.Second
)

// TestDataCentreCutOff guards against a withdrawn key that works on where nobody can hear of it, and against a change
// that a data centre misses, takes late or reverts after it was cut off.
func TestDataCentreCutOff(t *testing.T) {
	f := startFleet(t, true)
	f.mustApply(f.withOpenRoute(f.document()), 0)
	near, far := f.members[:2], f.members[2:]
	t.Run("store down and one data centre cut off", func(t *testing.T) {
		callers := f.callersOf(t, f.members)
		f.storeDown()
		f.network.cut(far[0].dataCentre)
		requireStopFresh(t, callers)
		for _, m := range f.members {
			requireRefused(t, m.callers, f.writer(0), "57P03")
			requireServed(t, mustDial(t, m.callers, openLogin()))
		}
		f.network.heal(far[0].dataCentre)
		requireServedAgain(t, callers)
		f.storeUp()
	})
	t.Run("change while one data centre is cut off", func(t *testing.T) {
		withdrawn, kept, unharmed := f.spareCallersOf(t, far), f.callersOf(t, far), f.callersOf(t, near)
		f.network.cut(far[0].dataCentre)
		revision := f.mustApply(f.withOpenRoute(f.document(f.secrets.key)), 0)
		f.requireRevision(t, revision, inForceLimit, near)
		requireStopFresh(t, kept)
		requireServedAgain(t, unharmed)
		f.network.heal(far[0].dataCentre)
		f.requireRevision(t, revision, inForceLimit, far)
		requireServedAgain(t, kept)
		for _, c := range withdrawn {
			_, err := c.caller.exec(getSQL("tin"))
			requireCode(t, "28P01", err)
		}
		changed := f.apply(far[0], f.withOpenRoute(f.document(f.secrets.key)), revision)
		require.Zero(t, changed.code, "change at the data centre that was cut off: %+v", changed)
		f.requireRevision(t, revision+1, inForceLimit, f.members)
	})
}

// pair is a caller with a key and one on an open route, at the same instance.
type pair struct{ caller, open *caller }

func (f *fleet) callersOf(t testing.TB, members []*member) []pair {
	t.Helper()
	return f.connectPairs(t, members, f.reader(0))
}

func (f *fleet) spareCallersOf(t testing.TB, members []*member) []pair {
	t.Helper()
	return f.connectPairs(t, members, f.reader(0).withKey(f.secrets.spareKey))
}

func (f *fleet) connectPairs(t testing.TB, members []*member, l login) []pair {
	t.Helper()
	var pairs []pair
	for _, m := range members {
		p := pair{caller: mustDial(t, m.callers, l), open: mustDial(t, m.callers, openLogin())}
		requireServed(t, p.caller)
		requireServed(t, p.open)
		pairs = append(pairs, p)
	}
	return pairs
}

// openLogin is a caller of the open route, who has no key.
func openLogin() login { return login{organisation: "anybody", key: "none", route: "menu"} }

func (f *fleet) withOpenRoute(d object) object {
	d["routes"] = append(d["routes"].([]object), object{
		"name": "menu", "group": groupName(0), "slot": "slot-1", "kind": "read", "accepted_age_ms": 0,
		"idempotent": true, "open": true, "rate": 1e6, "burst": 1e6,
	})
	return d
}

// requireStopFresh requires that every caller with a key is refused as soon as its instance cannot know whether the key
// was withdrawn, and that open routes go on meanwhile.
func requireStopFresh(t testing.TB, pairs []pair) {
	t.Helper()
	stopped := make(map[*caller]bool)
	eventually(t, freshnessLimit+statementTime, "callers with a key are refused", func() bool {
		for _, p := range pairs {
			requireServed(t, p.open)
			if _, err := p.caller.exec(getSQL("tin")); err != nil && !isOverRate(err) {
				requireCode(t, "57P03", err)
				stopped[p.caller] = true
			}
		}
		return len(stopped) == len(pairs)
	})
}

// requireServed requires that a caller is served. A statement that its limit refuses is tried again, because shares of
// limits move between instances, and not at all while the store is down.
func requireServed(t testing.TB, c *caller) {
	t.Helper()
	eventually(t, statementTime, "the caller is served", func() bool {
		_, err := c.exec(getSQL("tin"))
		if !isOverRate(err) {
			require.NoError(t, err)
		}
		return err == nil
	})
}

func isOverRate(err error) bool {
	var told *pgconn.PgError
	return errors.As(err, &told) && told.Code == "53400"
}

// requireServedAgain requires that callers with a key are served on the connections that they had.
func requireServedAgain(t testing.TB, pairs []pair) {
	t.Helper()
	for _, p := range pairs {
		eventually(t, inForceLimit, "callers with a key are served again", func() bool {
			_, err := p.caller.exec(getSQL("tin"))
			return err == nil
		})
	}
}

// requireRevision requires that a revision comes into force at the members within the limit, and that no member of the
// fleet goes back meanwhile.
func (f *fleet) requireRevision(t testing.TB, want int, limit time.Duration, members []*member) {
	t.Helper()
	last := make(map[*member]int)
	eventually(t, limit, "revision "+strconv.Itoa(want)+" is in force", func() bool {
		inForce := 0
		for _, m := range f.members {
			revision := m.revision(t)
			require.GreaterOrEqual(t, revision, last[m], "%s reverted", m.id)
			last[m] = revision
		}
		for _, m := range members {
			if last[m] == want {
				inForce++
			}
		}
		return inForce == len(members)
	})
}

// revision returns the revision of the document in force at the instance.
func (m *member) revision(t testing.TB) int {
	t.Helper()
	return int(m.metric(t, "rhubarbwick_document_revision"))
}
