package link_test

import (
	"fmt"
	"time"

	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
)

// Chooses an upstream for each attempt and records its result.
func Example() {
	fleet := instance.NewFleet()
	fleet.Merge(instance.Record{ID: "n1", Incarnation: 1, DataCentre: "kgl-a", Service: "catalogue", State: instance.Ready, Slots: 12})
	fleet.Merge(instance.Record{ID: "n2", Incarnation: 1, DataCentre: "kgl-a", Service: "catalogue", State: instance.Draining, Slots: 12})
	links := link.NewTable(fleet, link.WithDataCentre("kgl-a"))

	tried := map[instance.ID]bool{}
	chosen, err := links.Set("catalogue").Choose(time.Now(), link.Short, func(id instance.ID) bool { return tried[id] })
	if err != nil {
		fmt.Println(err) // link.ErrNoUpstream
		return
	}
	token := chosen.Begin(time.Now(), link.Short)
	// Send the request to chosen.Record().PeerAddr here. A nil report means that the answer carried none.
	report := &link.Report{State: instance.Ready, Slots: 12, InUse: 3, ServiceTime: 4 * time.Millisecond}
	chosen.End(time.Now(), token, link.Served, report)
	fmt.Println(chosen.Record().ID, chosen.InFlight())

	tried["n1"] = true
	_, err = links.Set("catalogue").Choose(time.Now(), link.Short, func(id instance.ID) bool { return tried[id] })
	fmt.Println(err)
	// Output:
	// n1 0
	// no upstream of the service may receive the request
}
