package memory_test

import (
	"context"
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/standin/memory"
)

// An update whose answer is lost has taken effect, so a client that sends it again meets a conflict.
func ExampleConn_UpdateFaults() {
	ctx := context.Background()
	var timer clock.Fake
	line := memory.NewStore(&timer).Connect(&timer)
	line.UpdateFaults(func(f memory.Faults) memory.Faults { return f.WithLostResponses(memory.AllResponses{}) })
	_, err := line.Put(ctx, "document", []byte("first"), 0)
	fmt.Println(port.KindOf(err) == port.Unavailable)

	line.UpdateFaults(func(f memory.Faults) memory.Faults { return f.WithLostResponses(nil) })
	_, err = line.Put(ctx, "document", []byte("first"), 0)
	fmt.Println(port.KindOf(err) == port.Conflict)
	object, err := line.Get(ctx, "document")
	fmt.Println(object.Version, string(object.Data), err)
	// Output:
	// true
	// true
	// 1 first <nil>
}
