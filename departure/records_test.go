package departure_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/departure"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/store"
)

const prefix = "departures/"

// start returns the records of one run of a node, which writes until the test ends.
func start(t *testing.T, memory *kvstore.Memory) *departure.Records {
	t.Helper()
	r := departure.New(departure.Options{
		Store: store.NewClient(memory, 1000, 1000), Prefix: prefix, EraDelay: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
	})
	go r.Run(t.Context())
	return r
}

func settles(t *testing.T, r *departure.Records, within time.Duration) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	return r.Await(ctx)
}

// Guards against a departure that a later run of the node does not find, by what happens to the calls to the store.
func TestDepartureIsFoundByTheNextRun(t *testing.T) {
	for name, test := range map[string]struct {
		upstream string
		faults   kvstore.Faults
		before   func(t *testing.T, memory *kvstore.Memory)
	}{
		"in calm":                       {upstream: "a"},
		"a slow store":                  {upstream: "a", faults: kvstore.Faults{Delay: 50 * time.Millisecond}},
		"answers of the store are lost": {upstream: "a", faults: kvstore.Faults{DropResponses: true}},
		"a long ID of any bytes":        {upstream: strings.Repeat("/\xff?\x00 ", 25)},
		"an earlier start has departed": {upstream: "a", before: func(t *testing.T, memory *kvstore.Memory) {
			earlier := start(t, memory)
			earlier.Add(peer.Departure{Upstream: "a", Born: 5})
			assert.Assert(t, settles(t, earlier, 5*time.Second))
		}},
		"the record is unreadable": {upstream: "a", before: func(t *testing.T, memory *kvstore.Memory) {
			earlier := start(t, memory)
			earlier.Add(peer.Departure{Upstream: "a", Born: 5})
			assert.Assert(t, settles(t, earlier, 5*time.Second))
			entries, err := memory.List(t.Context(), prefix)
			assert.NilError(t, err)
			_, err = memory.Swap(t.Context(), entries[0].Key, []byte("{"), entries[0].Revision, 0)
			assert.NilError(t, err)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			memory := kvstore.NewMemory()
			if test.before != nil {
				test.before(t, memory)
			}
			memory.SetFaults(test.faults)
			r := start(t, memory)
			r.Add(peer.Departure{Upstream: test.upstream, Born: 10})
			time.AfterFunc(500*time.Millisecond, func() { memory.SetFaults(kvstore.Faults{}) })
			assert.Assert(t, settles(t, r, 10*time.Second))
			memory.SetFaults(kvstore.Faults{})
			d, found, err := start(t, memory).Find(t.Context(), test.upstream)
			assert.NilError(t, err)
			assert.Assert(t, found)
			assert.Equal(t, d, peer.Departure{Upstream: test.upstream, Born: 10})
			_, found, err = r.Find(t.Context(), "another")
			assert.NilError(t, err)
			assert.Assert(t, !found)
		})
	}
}

// Guards against a late departure of an earlier start that hides the one of a later start.
func TestRecordKeepsTheLatestStart(t *testing.T) {
	memory := kvstore.NewMemory()
	for _, born := range []int64{10, 5} {
		r := start(t, memory)
		r.Add(peer.Departure{Upstream: "a", Born: born})
		assert.Assert(t, settles(t, r, 5*time.Second))
	}
	d, _, err := start(t, memory).Find(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, d.Born, int64(10))
}

// Guards against an acknowledgement that waits for a store which is down, and a departure that is then given up.
func TestDepartureIsWrittenOnceTheStoreIsBack(t *testing.T) {
	memory := kvstore.NewMemory()
	memory.SetFaults(kvstore.Faults{Down: true})
	r := start(t, memory)
	assert.Assert(t, settles(t, r, time.Second), "nothing is to be written")
	r.Add(peer.Departure{Upstream: "a", Born: 10})
	assert.Assert(t, !settles(t, r, 100*time.Millisecond))
	memory.SetFaults(kvstore.Faults{})
	assert.Assert(t, settles(t, r, 10*time.Second))
	_, found, err := r.Find(t.Context(), "a")
	assert.NilError(t, err)
	assert.Assert(t, found)
}

// Guards against records that stay in the store for good, and against a record that is lost with the lease of an earlier one.
func TestRecordsEndWithTheirLease(t *testing.T) {
	memory := kvstore.NewMemory()
	r := start(t, memory)
	r.Add(peer.Departure{Upstream: "a", Born: 10})
	assert.Assert(t, settles(t, r, 5*time.Second))
	memory.ExpireAllLeases()
	_, found, err := r.Find(t.Context(), "a")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	r.Add(peer.Departure{Upstream: "b", Born: 10})
	assert.Assert(t, settles(t, r, 5*time.Second))
	_, found, err = r.Find(t.Context(), "b")
	assert.NilError(t, err)
	assert.Assert(t, found)
}

// Guards against a record that a store loses which returns from an older copy.
func TestRecordIsWrittenAgainInANewEra(t *testing.T) {
	memory := kvstore.NewMemory()
	r := start(t, memory)
	_, _, err := r.Find(t.Context(), "a") // shows the era
	assert.NilError(t, err)
	before := memory.Copy()
	r.Add(peer.Departure{Upstream: "a", Born: 10})
	assert.Assert(t, settles(t, r, 5*time.Second))
	memory.Restore(before)
	_, found, err := r.Find(t.Context(), "a")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	for end := time.Now().Add(5 * time.Second); !found; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the record is not written again")
		_, found, err = r.Find(t.Context(), "a")
		assert.NilError(t, err)
	}
}
