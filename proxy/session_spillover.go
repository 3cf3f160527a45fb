package proxy

import (
	"context"
	"sync"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// maxRouteSizes bounds the routes whose sizes are kept. It is above the routes of the largest document that is planned
// for; routes that were removed from the document stay until then.
const maxRouteSizes = 10000

// routeSizes holds the mean sizes of reads by route. The zero value is empty.
type routeSizes struct {
	mu    sync.Mutex
	sizes map[string]dispatch.ReadSize
}

func (r *routeSizes) record(route string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sizes == nil || len(r.sizes) >= maxRouteSizes {
		r.sizes = make(map[string]dispatch.ReadSize)
	}
	r.sizes[route] = r.sizes[route].WithRead(bytes)
}

func (r *routeSizes) bytes(route string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sizes[route].Bytes()
}

// SpillRecord says what spill-over did with a request. The zero value is a request that stayed.
type SpillRecord struct {
	// Server is the last server in another data centre to which the request was sent because of spill-over.
	Server string
	// Returned is true if the request came back from there.
	Returned bool
	// Bytes is the size of the request and its answer.
	Bytes int
}

// offerSpillOver allows a read outside a transaction to leave the data centre, if the settings do. The later statements of
// a transaction are not checked by the owner of the pool, so transactions stay.
func (s *Session) offerSpillOver(w *pendingStatement) {
	if w.mayMove && s.manager.cfg.Dispatcher.cfg.SpillOver.IsEnabled() {
		w.spill = SpillOffer{Bytes: s.manager.routeSizes.bytes(w.route.Name)}
	}
}

// runWithSpillOver runs the statement and determines the route of its next attempt.
func (s *Session) runWithSpillOver(ctx context.Context, conn *acquiredConnection, w *pendingStatement) ([]statement.Result, error) {
	results, err := s.manager.run(ctx, conn, s.sessionState, s.step(conn, w))
	if w.spill == nil {
		return results, err
	}
	used := w.spill
	if conn.spill != nil {
		used = conn.spill
	}
	bytes := len(requestText(w.req))
	if err == nil {
		for _, row := range results[0].Rows {
			bytes += len(row)
		}
		if results[0].Failure.IsZero() {
			s.manager.routeSizes.record(w.route.Name, bytes)
		}
	}
	if away, isAway := used.(SpillAway); isAway {
		isServed := err == nil && results[0].Failure.IsZero()
		s.spilled = SpillRecord{Server: away.Server, Returned: !isServed, Bytes: bytes}
	}
	w.spill = nextSpillRoute(used, err)
	return results, err
}

// isAdvised reports whether the read was refused only because it should run in another data centre.
func (w *pendingStatement) isAdvised() bool {
	_, isAway := w.spill.(SpillAway)
	return isAway
}

func requestText(req statement.Request) string {
	switch stmt := req.Statement.(type) {
	case statement.Read:
		return stmt.Text
	case statement.Execute:
		return stmt.Arguments
	default:
		return ""
	}
}
