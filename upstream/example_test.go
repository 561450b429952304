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
	up := upstream.New()
	req := upstream.AdmitRequest{
		ID: "request-1", Class: bundle.Class{Name: "lookup", MaxQueue: 16, MaxWait: time.Second},
		Deadline: time.Now().Add(time.Minute),
	}
	_, err := up.Admit(context.Background(), req)
	var refusal *caller.Refusal
	fmt.Println(errors.As(err, &refusal), refusal.Reason, refusal.Ran)

	// An upstream renews its announcement before the time to live ends.
	up.Announce(time.Now(), upstream.Announcement{
		Service: "catalogue", Addr: "127.0.0.1:9000", State: instance.Ready, Slots: 12, TimeToLive: upstream.MaxTimeToLive,
	})
	release, err := up.Admit(context.Background(), req)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("in use:", up.Report().InUse)
	release() // once the whole answer has been forwarded
	fmt.Println("in use:", up.Report().InUse)
	// Output:
	// true not-ready not-run
	// in use: 1
	// in use: 0
}
