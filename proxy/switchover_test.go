package proxy_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// replicate lets the replicas follow their primary and receive everything that it holds.
func (w *cluster) replicate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, primary := range w.servers {
		for _, s := range w.groupServers(primary.group) {
			if primary.primary && !primary.down && s.term <= primary.term {
				s.offset, s.term = max(s.offset, primary.offset), primary.term
			}
		}
	}
}

// replacing returns the number of groups whose primary is being replaced.
func (w *cluster) replacing() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for name, o := range w.objects {
		var r primacy.Record
		if strings.HasPrefix(name, "primacy/") && json.Unmarshal(o.Data, &r) == nil && r.Replacement != nil {
			n++
		}
	}
	return n
}

// requireNotPromotedAfter fails if one of the servers was promoted after the time.
func (w *cluster) requireNotPromotedAfter(since time.Time, servers ...string) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.promotions {
		if p.at.After(since) {
			require.NotContains(w.t, servers, p.server)
		}
	}
}

// leaderLogEnd returns the end of the log of the primary of the test group.
func (w *cluster) leaderLogEnd() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.groupServers(testGroup) {
		if s.primary {
			return s.offset
		}
	}
	return 0
}

// requireServed fails unless a write and a read succeed at every instance.
func (w *cluster) requireServed() {
	w.t.Helper()
	for _, name := range w.names() {
		requireSuccess(w.t, w.send(name, statement.Write{Text: "WRITE a 1"})[0])
		requireSuccess(w.t, w.send(name, statement.Read{Text: "READ a"})[0])
	}
}

// Guards against a primary that stays in a data centre in maintenance, and against a switchover that loses a confirmed
// write or promotes a server there.
func TestSwitchover(t *testing.T) {
	t.Run("the primaries of all groups move within the bound and stay when the maintenance ends", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			w.promotionDelay = 300 * time.Millisecond
			began := time.Now()
			w.setMaintenance("a", true)
			w.waitFor(func() bool { return w.allUsePrimary("s2") && w.allUsePrimary("t2") })
			require.Less(t, time.Since(began), maintenanceBound)
			w.requireServed()
			requireOldPrimaryUnused(w)
			requireEpochsInOrder(w)
			w.requireUnused(began.Add(maintenanceBound), "s1", "t1")
			w.setMaintenance("a", false)
			w.waitFor(func() bool { return w.allKnowMaintenance("a", false) })
			sleep(5 * time.Second)
			require.True(t, w.allUsePrimary("s2") && w.allUsePrimary("t2"))
			require.Len(t, w.epochs(), 2)
		})
	})
	t.Run("a successor that has not caught up is waited for, and writes are refused at once", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			w.runWrites(w.names()...)
			w.beginMaintenance("a")
			sleep(20 * time.Second)
			w.waitFor(func() bool { return w.allUsePrimary("t2") })
			w.requireNeverPromoted("s1", "s2", "s3")
			began := time.Now()
			requireKind(t, port.NoPrimary, w.send("front-0", statement.Write{Text: "WRITE a 1"})[0])
			require.Less(t, time.Since(began), 10*time.Millisecond)
			w.replicate()
			w.waitFor(func() bool { return w.allUsePrimary("s2") })
			require.Equal(t, w.logEnd("s1"), w.logEnd("s2"))
			w.requireServed()
		})
	})
	t.Run("a primary that stands still for a moment does not lose its writes", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			w.runWrites(w.names()...)
			w.beginMaintenance("a")
			sleep(time.Second)
			w.setDown("s1", true)
			sleep(time.Second)
			w.setDown("s1", false)
			sleep(10 * time.Second)
			w.requireNeverPromoted("s1", "s2", "s3")
		})
	})
	t.Run("a primary that is lost is replaced", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			w.runWrites(w.names()...)
			w.beginMaintenance("a")
			w.setDown("s1", true)
			w.waitFor(func() bool { return w.allUsePrimary("s2") })
		})
	})
	t.Run("the data centre is cut off", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			sleep(primacy.MaxLeaseTTL + time.Second)
			w.setPartitioned(true, "front-0", "front-2", "front-4")
			w.setDown("s1", true)
			w.setDown("t1", true)
			w.setMaintenance("a", true)
			w.waitFor(func() bool { return w.usesPrimary("front-1", "s2") })
			requireOldPrimaryUnused(w)
			w.setPartitioned(false, "front-0", "front-2", "front-4")
			w.waitFor(func() bool {
				return w.allUsePrimary("s2") && w.allUsePrimary("t2")
			})
			w.requireServed()
		})
	})
	t.Run("the maintenance ends before a successor has caught up", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			w.runWrites(w.names()...)
			w.beginMaintenance("a")
			sleep(2 * time.Second)
			w.setMaintenance("a", false)
			took := w.waitFor(func() bool { return w.allUsePrimary("s1") })
			require.Less(t, took, maintenanceBound)
			w.requireNeverPromoted("s1", "s2", "s3")
			w.requireServed()
		})
	})
	t.Run("a primary that fails while all data centres are in maintenance is replaced afterwards", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			for _, name := range []string{"b", "c", "a"} {
				w.beginMaintenance(name)
			}
			w.setDown("s1", true)
			w.suspect("s1")
			sleep(5 * time.Second)
			require.Empty(t, w.epochs())
			require.Zero(t, w.replacing(), "no replacement is announced that cannot end")
			w.setMaintenance("c", false)
			w.waitFor(func() bool { return w.allUsePrimary("s3") })
			w.requireNeverPromoted("s1", "s2")
		})
	})
	t.Run("a replica in maintenance that has received the most is not promoted when the primary fails", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			w.setOffset("s3", 99)
			w.beginMaintenance("b")
			w.setDown("s1", true)
			w.suspect("s1")
			w.waitFor(func() bool { return w.allUsePrimary("s3") })
			w.requireNeverPromoted("s1", "s2")
		})
	})
	t.Run("a replica in maintenance with the only synchronous copy is not promoted, and nothing else is", func(t *testing.T) {
		withPreparedMaintenance(t, 6, func(w *cluster) { w.doc.Groups[0].SynchronousReplicas = 1 }, func(w *cluster) {
			w.setOffset("s3", 99)
			w.beginMaintenance("b")
			w.setDown("s1", true)
			w.suspect("s1")
			sleep(20 * time.Second)
			require.Empty(t, w.epochs())
			w.setMaintenance("b", false)
			w.waitFor(func() bool { return w.allUsePrimary("s2") })
			w.requireNeverPromoted("s1", "s3")
		})
	})
	t.Run("at most four groups are switched over at once", func(t *testing.T) {
		withPreparedMaintenance(t, 4, func(w *cluster) { w.addGroups(6) }, func(w *cluster) {
			w.promotionDelay = 300 * time.Millisecond
			sleep(3 * time.Second)
			w.setMaintenance("a", true)
			most := 0
			w.waitFor(func() bool {
				most = max(most, w.replacing())
				return len(w.epochs()) == 8 && w.replacing() == 0
			})
			require.Equal(t, 4, most)
		})
	})
	t.Run("groups whose successors do not catch up do not keep the others from being switched over", func(t *testing.T) {
		withPreparedMaintenance(t, 4, func(w *cluster) { w.addGroups(6) }, func(w *cluster) {
			w.mu.Lock()
			for i := range 5 {
				w.servers[fmt.Sprintf("g%d-1", i)].offset++
			}
			w.mu.Unlock()
			sleep(3 * time.Second)
			w.setMaintenance("a", true)
			w.waitFor(func() bool { return len(w.epochs()) == 3 })
		})
	})
}

// addGroups adds groups of three servers each, like the first two.
func (w *cluster) addGroups(n int) {
	d := w.doc
	for i := range n {
		groupName := fmt.Sprintf("g%d", i)
		for j, dataCentre := range []string{"a", "b", "c"} {
			name := fmt.Sprintf("%s-%d", groupName, j+1)
			w.mu.Lock()
			w.servers[name] = &fakeServer{name: name, group: groupName, term: 3, primary: j == 0, offset: 100}
			w.mu.Unlock()
			w.updateListing(name, false)
			w.place(name, dataCentre)
		}
		d.Groups = append(d.Groups, document.Group{Name: groupName, Connections: 40})
	}
	w.setDocument(d)
}

// Guards against a server in maintenance that is promoted because a replacement was under way, and against a replacement
// that nobody finishes.
func TestMaintenanceDuringReplacement(t *testing.T) {
	t.Run("between the choice of a successor and the call that promotes it", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			w.mu.Lock()
			chosen := false
			w.answerDelay = func(_ string, data []byte) time.Duration {
				w.mu.Lock()
				defer w.mu.Unlock()
				if chosen || !strings.Contains(string(data), `"successor":"s2"`) {
					return 0
				}
				chosen = true
				// The list is read every 1.5 s, and the promoter lock can be taken over after 3 s.
				return 1900 * time.Millisecond
			}
			w.mu.Unlock()
			w.setDown("s1", true)
			w.suspect("s1")
			w.waitFor(func() bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				return chosen
			})
			w.setMaintenance("b", true)
			w.waitFor(func() bool { return w.allUsePrimary("s3") })
			w.requireNeverPromoted("s2")
		})
	})
	t.Run("moves to another data centre after a promoter requested a promotion and failed", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			// A promotion takes effect up to 1.5 s after the call, and a later one may overtake it.
			w.promotionDelay = 1500 * time.Millisecond
			w.beginMaintenance("a")
			w.waitFor(func() bool { return len(w.epochs()) == 2 })
			promoter, found := w.promoter()
			require.True(t, found)
			w.kill(promoter)
			w.start(promoter, w.dataCentreOf(promoter))
			w.mu.Lock()
			w.promotionDelay = 100 * time.Millisecond
			w.mu.Unlock()
			w.learnMaintenance("b", w.names()...)
			confirmed := uint64(0)
			for range 400 {
				w.replicate()
				if w.writeSucceeds("front-1") {
					confirmed++
				}
				sleep(50 * time.Millisecond)
			}
			require.Positive(t, confirmed)
			require.True(t, w.allUsePrimary("s1") || w.allUsePrimary("s3"))
			require.Equal(t, 100+confirmed, w.leaderLogEnd(), "every confirmed write is in the log")
		})
	})
	for _, after := range []time.Duration{0, 5, 20, 80, 320, 700, 1500} {
		t.Run(fmt.Sprintf("of a failed primary, %d ms after it failed", after), func(t *testing.T) {
			withMaintenance(t, 6, func(w *cluster) {
				w.promotionDelay = 600 * time.Millisecond
				w.setDown("s1", true)
				w.suspect("s1")
				sleep(after * time.Millisecond)
				w.beginMaintenance("b")
				learned := time.Now()
				w.waitFor(func() bool {
					w.replicate()
					return w.allUsePrimary("s3")
				})
				w.requireNotPromotedAfter(learned, "s2", "t2")
				requireOldPrimaryUnused(w)
				w.requireServed()
			})
		})
		t.Run(fmt.Sprintf("a promoter that fails %d ms after a switchover began is replaced", after), func(t *testing.T) {
			withMaintenance(t, 6, func(w *cluster) {
				w.beginMaintenance("a")
				sleep(after * time.Millisecond)
				if promoter, found := w.promoter(); found {
					w.kill(promoter)
					w.start(promoter, w.dataCentreOf(promoter))
				}
				w.waitFor(func() bool { return w.allUsePrimary("s2") && w.allUsePrimary("t2") })
				w.requireNeverPromoted("s1")
				requireEpochsInOrder(w)
				requireOldPrimaryUnused(w)
			})
		})
	}
}
