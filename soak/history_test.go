package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/standin/database"
)

// maxViolations bounds the violations that are kept.
const maxViolations = 50

// outcome is what a client was told about a write.
type outcome int

const (
	// unknown promises nothing.
	unknown outcome = iota
	acknowledged
	// notKept promises that nothing of the write is kept.
	notKept
)

// write is one attempt to write a value to an item. Each value is attempted once.
type write struct {
	item, value string
	outcome     outcome
}

// history records what clients and servers have seen, and collects violations of the promises.
type history struct {
	start time.Time

	mu     sync.Mutex
	writes []write
	// newest holds the number of the newest acknowledged value of each item, with the times of the acknowledgements.
	newest     map[string][]acknowledgement
	executed   map[string]bool
	hotQueries []time.Time
	removed    map[string]bool
	lastEpoch  uint64
	// finalFrom is the time from which withdrawn keys and removed servers must not be used; zero until then.
	finalFrom  time.Time
	operations int
	failures   map[string]int
	violations []string
}

type acknowledgement struct {
	n  int
	at time.Time
}

func newHistory() *history {
	return &history{
		start: time.Now(), newest: make(map[string][]acknowledgement), executed: make(map[string]bool), removed: make(map[string]bool),
		failures: make(map[string]int),
	}
}

// violate records a violation. mu must be held.
func (h *history) violate(format string, args ...any) {
	if len(h.violations) < maxViolations {
		h.violations = append(h.violations, fmt.Sprintf("%.3f s: ", time.Since(h.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (h *history) reportViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violate(format, args...)
}

// observeConnect checks a connection that a server has accepted.
func (h *history) observeConnect(server, organisation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if strings.HasPrefix(organisation, "key-") {
		h.violate("server %s was told a key", server)
	}
	if !h.finalFrom.IsZero() && h.removed[server] {
		h.violate("a connection to %s was opened although the server had left", server)
	}
}

// observeQuery checks a query that a server has received.
func (h *history) observeQuery(q database.Query) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if q.ID == "-" {
		return
	}
	if h.executed[q.ID] && strings.Contains(q.Text, "WRITE") {
		h.violate("query %s reached a server twice: %s", q.ID, q.Text)
	}
	h.executed[q.ID] = true
	if owner, _, found := strings.Cut(q.ID, "."); !found || owner != q.Organisation {
		h.violate("query %s ran on a connection of %s", q.ID, q.Organisation)
	}
	if !h.finalFrom.IsZero() && (q.Organisation == "leaver" || h.removed[q.Server]) {
		h.violate("query %s of %s ran at %s after the key or the server had been withdrawn", q.ID, q.Organisation, q.Server)
	}
	if q.Organisation == "hot" && strings.Contains(q.Text, "WRITE") {
		h.observeHot()
	}
}

// observeHot checks the rate of the organisation "hot". mu must be held.
func (h *history) observeHot() {
	now := time.Now()
	h.hotQueries = append(h.hotQueries, now)
	for now.Sub(h.hotQueries[0]) >= quotaWindow {
		h.hotQueries = h.hotQueries[1:]
	}
	if most := (hotRate*quotaWindow.Seconds()+hotRate)*(1+quotaOver) + quotaSlack; float64(len(h.hotQueries)) > most {
		h.violate("%d operations of one organisation in %s, at most %.0f are allowed", len(h.hotQueries), quotaWindow, most)
	}
}

// observePromotion checks the epoch of a promotion call.
func (h *history) observePromotion(server string, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch < h.lastEpoch {
		h.violate("promotion of %s with epoch %d after %d", server, epoch, h.lastEpoch)
	}
	h.lastEpoch = max(h.lastEpoch, epoch)
}

func (h *history) observeRemoval(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removed[server] = true
}

func (h *history) isRemoved(server string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.removed[server]
}

func (h *history) setFinal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finalFrom = time.Now()
}

func (h *history) hasExecuted(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.executed[id]
}

// recordWrites records the outcome of writes of the n-th value.
func (h *history) recordWrites(n int, o outcome, items ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, item := range items {
		h.writes = append(h.writes, write{item: item, value: valueOf(item, n), outcome: o})
		if o == acknowledged {
			h.newest[item] = append(h.newest[item], acknowledgement{n: n, at: time.Now()})
		}
	}
}

// acknowledgedBefore returns the number of the newest value of the item that was acknowledged before the time.
func (h *history) acknowledgedBefore(item string, at time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := 0
	for _, a := range h.newest[item] {
		if a.at.Before(at) {
			newest = max(newest, a.n)
		}
	}
	return newest
}

func (h *history) recordOperation(failure string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations++
	if failure != "" {
		h.failures[failure]++
	}
}

// checkLog compares the log of the primary with what clients were told.
func (h *history) checkLog(log []database.Write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[string]int)
	last := make(map[string]int)
	for _, w := range log {
		counts[w.Item+"="+w.Data]++
		n := numberOf(w.Data)
		if n < last[w.Item] {
			h.violate("item %s: value %d is in the log after value %d", w.Item, n, last[w.Item])
		}
		last[w.Item] = n
	}
	for _, w := range h.writes {
		switch n := counts[w.item+"="+w.value]; {
		case n > 1:
			h.violate("write %s=%s is in the log %d times", w.item, w.value, n)
		case n == 0 && w.outcome == acknowledged:
			h.violate("write %s=%s was acknowledged and is not in the log", w.item, w.value)
		case n == 1 && w.outcome == notKept:
			h.violate("write %s=%s is in the log although the client was told that nothing is kept", w.item, w.value)
		}
	}
}
