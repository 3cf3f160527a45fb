package proxy_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// eventLog records events.
type eventLog struct {
	mu     sync.Mutex
	events []proxy.Event
}

// Record records an event.
func (l *eventLog) Record(e proxy.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

// take returns the events since the last call.
func (l *eventLog) take() []proxy.Event {
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.events
	l.events = nil
	return events
}

// Guards against a document that is refused because of a finding, against findings that nobody sees, and against lines that
// are repeated for each revision.
func TestDocumentChecker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := clock.NewService()
		state := proxy.NewClusterState(proxy.Member{Name: "front-0"}, timer, proxy.NewPrimaryViews(timer, nil), 0)
		log := &eventLog{}
		checker := &proxy.DocumentChecker{State: state, Recorder: log}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go checker.Run(ctx)
		d := document.Document{
			Revision: 1, Groups: []document.Group{{Name: "core"}}, Organisations: []document.Organisation{{Name: "clinic", Rate: 5, Burst: 5}},
			Routes: []document.Route{{Name: "orders", Group: "core", TimeoutMS: 100, TargetLatencyMS: 120}},
		}
		state.SetDocument(d, time.Second)
		require.Empty(t, log.take(), "the servers are not known yet")
		state.SetServers(map[string]dispatch.Listing{"s1": {Name: "s1", Group: "core", Slots: 3}}, 1)
		events := log.take()
		require.Len(t, events, 3)
		require.Equal(t, document.RuleNotAdmitted, events[0].(proxy.DocumentFinding).Finding.Rule)
		require.Equal(t, document.RuleTimeout, events[1].(proxy.DocumentFinding).Finding.Rule)
		require.Equal(t, proxy.DocumentChecked{Revision: 1, Warnings: 2}, events[2])

		d.Revision, d.Routes = 2, append(d.Routes, document.Route{Name: "stock", Group: "none"})
		state.SetDocument(d, 2*time.Second)
		events = log.take()
		require.Len(t, events, 2, "only what is new")
		require.Equal(t, document.RuleUnknownGroup, events[0].(proxy.DocumentFinding).Finding.Rule)
		require.Equal(t, proxy.DocumentChecked{Revision: 2, Errors: 1}, events[1])
		index, _ := state.CurrentDocument()
		require.Equal(t, document.Revision(2), index.Document().Revision, "the document is in force")

		d.Revision = 3
		for range 100 {
			d.Routes = append(d.Routes, document.Route{Name: "many", Group: "none"})
		}
		state.SetDocument(d, 3*time.Second)
		require.Len(t, log.take(), 21, "the lines are bounded")
	})
}
