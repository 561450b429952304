package instance_test

import (
	"fmt"

	"github.com/magnoliawharf/magnoliawharf/instance"
)

// A record replaces another of the same instance only if it is newer, so records may arrive out of order.
func ExampleFleet_Merge() {
	fleet := instance.NewFleet()
	ready := instance.Record{ID: "n1", Incarnation: 1, StateVersion: 1, DataCentre: "kgl-a", Service: "catalogue", State: instance.Ready}
	draining := ready
	draining.StateVersion, draining.State = 2, instance.Draining
	fmt.Println(fleet.Merge(draining), fleet.Merge(ready))
	for _, record := range fleet.Service("catalogue") {
		fmt.Println(record.ID, record.State, record.State.Serves())
	}
	// Output:
	// true false
	// n1 draining false
}
