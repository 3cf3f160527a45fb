package proxy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// stuckDialer opens no connection until ctx ends.
type stuckDialer struct{}

// Dial waits until ctx ends.
func (stuckDialer) Dial(ctx context.Context, _ Endpoint) (ServerConn, statement.Result, error) {
	<-ctx.Done()
	return nil, statement.Result{}, port.Errorf(port.Unavailable, "no answer")
}

// BenchmarkQueueUnderOverload measures one command at an instance that owns the pools of four busy servers in different
// groups, each with a queue of statements.
func BenchmarkQueueUnderOverload(b *testing.B) {
	for _, waiting := range []int{0, 25, 100} {
		b.Run(fmt.Sprintf("%d waiting for each server", waiting), func(b *testing.B) {
			timer := clock.NewService()
			d := NewDispatcher(DispatcherConfig{
				Timer: timer, Views: NewPrimaryViews(timer, nil), Dialer: stuckDialer{},
				ConnectionLimit: func(string) int { return 144 }, Members: func() (Snapshot, bool) { return Snapshot{}, false },
			})
			listings := make(map[string]dispatch.Listing)
			for i := range 24 {
				name := fmt.Sprintf("s%d", i)
				listings[name] = dispatch.Listing{Name: name, Group: fmt.Sprintf("g%d", i/3), Slots: 6, Incarnation: 1}
			}
			d.handle(listingsChanged{listings})
			acquire := func(i int) acquireCommand {
				return acquireCommand{&waiter{reply: ring.New[grantResult](1), request: AcquireRequest{
					Organisation: fmt.Sprintf("o%d", i%87), Need: dispatch.NeedServer{Name: fmt.Sprintf("s%d", i%4*3)}, ConnectionWait: time.Hour,
				}}}
			}
			for i := range 4 * (waiting + 7) {
				d.handle(acquire(i))
			}
			for b.Loop() {
				c := acquire(4 * waiting)
				d.handle(c)
				d.handle(cancelCommand(c))
			}
			d.stop()
		})
	}
}
