package allotment_test

import (
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// Two instances divide the 50 connections of a server. The second one gets only what the first one does not hold.
func ExampleLedger_Apply() {
	ledger := allotment.Ledger{Limit: allotment.Limit{
		Name: "connections/orders/a", Total: allotment.Amount{Connections: 50}, MaxFallbackHolders: 32, Revision: 1,
	}}
	for _, edit := range []allotment.Edit{
		allotment.Register{Holder: "instance-1"},
		allotment.Take{Holder: "instance-1", Ask: allotment.Amount{Connections: 40}},
		allotment.Register{Holder: "instance-2"},
		allotment.Take{Holder: "instance-2", Ask: allotment.Amount{Connections: 40}},
	} {
		next, grant, err := ledger.Apply(edit)
		if err != nil {
			fmt.Println(err)
			return
		}
		ledger = next
		fmt.Printf("%T: %d\n", edit, grant.Share.Connections)
	}
	fmt.Println("allocated:", ledger.Allocated().Connections)
	// Output:
	// allotment.Register: 0
	// allotment.Take: 40
	// allotment.Register: 0
	// allotment.Take: 10
	// allocated: 50
}
