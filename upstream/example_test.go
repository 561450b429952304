package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/upstream"
)

// Admits requests to the slots of an upstream.
func Example() {
	beside := upstream.New()
	ticket := upstream.Ticket{
		ID: "request-1", Class: bundle.Class{Name: "lookup", MaxQueue: 16, MaxWait: time.Second},
		Deadline: time.Now().Add(time.Minute),
	}
	_, err := beside.Admit(context.Background(), ticket)
	var refusal *caller.Refusal
	fmt.Println(errors.As(err, &refusal), refusal.Reason, refusal.Ran)

	// Repeat the announcement before its time to live ends.
	beside.Announce(time.Now(), upstream.Announcement{
		Service: "catalogue", Addr: "127.0.0.1:9000", State: instance.Ready, Slots: 12, TimeToLive: upstream.MaxTimeToLive,
	})
	release, err := beside.Admit(context.Background(), ticket)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("in use:", beside.Report().InUse)
	release() // when the whole answer has been passed on
	fmt.Println("in use:", beside.Report().InUse)
	// Output:
	// true not-ready not-run
	// in use: 1
	// in use: 0
}
