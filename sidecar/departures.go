package sidecar

import (
	"context"
	"time"

	"github.com/magnoliawharf/magnoliawharf/departure"
	"github.com/magnoliawharf/magnoliawharf/inbound"
)

// recordTimeout is how long the acknowledgement of a departure waits for its record in the store. The departure is in force at once and is
// acknowledged without a record as well: the platform asks for an acknowledgement within a second, also while the store is down.
const recordTimeout = 400 * time.Millisecond

// recordingRegistrar passes on the announcements of the upstream, and returns from a departure when it is recorded in the store.
type recordingRegistrar struct {
	*inbound.Proxy
	records *departure.Records
}

// Announce implements Registrar.
func (r recordingRegistrar) Announce(now time.Time, a inbound.Announcement) error {
	err := r.Proxy.Announce(now, a)
	if err == nil && a.Draining {
		r.awaitRecord()
	}
	return err
}

// Deregister implements Registrar.
func (r recordingRegistrar) Deregister(now time.Time, id string) {
	r.Proxy.Deregister(now, id)
	r.awaitRecord()
}

func (r recordingRegistrar) awaitRecord() {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	r.records.Await(ctx)
}
