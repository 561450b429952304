package inbound_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

// memoryRecords are inbound.DepartureRecords in memory, which outlast a Proxy.
type memoryRecords struct {
	mu      sync.Mutex
	records map[string]peer.Departure
	err     error         // of each search
	delay   time.Duration // of each search
}

func newMemoryRecords(recorded ...peer.Departure) *memoryRecords {
	m := &memoryRecords{records: make(map[string]peer.Departure)}
	for _, d := range recorded {
		m.Add(d)
	}
	return m
}

func (m *memoryRecords) Add(d peer.Departure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.records[d.Upstream]; !ok || known.Born < d.Born {
		m.records[d.Upstream] = d
	}
}

func (m *memoryRecords) Find(ctx context.Context, upstream string) (peer.Departure, bool, error) {
	m.mu.Lock()
	err, delay := m.err, m.delay
	d, found := m.records[upstream]
	m.mu.Unlock()
	select {
	case <-time.After(delay):
		return d, found && err == nil, err
	case <-ctx.Done():
		return peer.Departure{}, false, ctx.Err()
	}
}

func (m *memoryRecords) setErr(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err = err
}

// Guards against an upstream that leaves and gets requests again after all nodes have ended, since its health check passes and earlier
// announcements arrive late, and against one that runs and is held back by a record.
func TestRecordedDepartureWinsOverAPassedHealthCheck(t *testing.T) {
	for name, test := range map[string]struct {
		recorded      peer.Departure
		announcements int
		delay         time.Duration // of the record
		age           time.Duration // of the process
		serving       bool
	}{
		"one late report":                    {recorded: peer.Departure{Upstream: "a", Born: 10}, announcements: 1},
		"two late reports":                   {recorded: peer.Departure{Upstream: "a", Born: 10}, announcements: 2},
		"ten late reports":                   {recorded: peer.Departure{Upstream: "a", Born: 10}, announcements: 10},
		"its node runs for long":             {recorded: peer.Departure{Upstream: "a", Born: 10}, age: time.Minute, announcements: 1},
		"the store is slow":                  {recorded: peer.Departure{Upstream: "a", Born: 10}, delay: 900 * time.Millisecond, announcements: 2},
		"the start was not known":            {recorded: peer.Departure{Upstream: "a", Born: 2000}, announcements: 1},
		"none recorded":                      {announcements: 1, serving: true},
		"none recorded and the store slow":   {delay: 900 * time.Millisecond, announcements: 1, serving: true},
		"it has started again":               {recorded: peer.Departure{Upstream: "a", Born: 9}, announcements: 1, serving: true},
		"another upstream of the node left":  {recorded: peer.Departure{Upstream: "b", Born: 10}, announcements: 1, serving: true},
		"another one, which started earlier": {recorded: peer.Departure{Upstream: "b", Born: 5}, announcements: 2, serving: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				records := newMemoryRecords(test.recorded)
				records.delay = test.delay
				p := newRecordingProxy(&fakeClient{report: healthyWithLoad("a", 100)}, records)
				go p.Watch(t.Context())
				time.Sleep(test.age)
				for n := range test.announcements {
					assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, uint64(n+1))))
					for range 15 {
						time.Sleep(100 * time.Millisecond)
						assert.Assert(t, test.serving || !p.Status().Serving)
					}
				}
				assert.Equal(t, p.Status().Serving, test.serving)
			})
		})
	}
}

// Guards against an upstream that stays out of service because the store does not answer, and against one that has left and stays in
// service once the store answers.
func TestRecordsThatCannotBeReadHoldAnUpstreamBackForABoundedTime(t *testing.T) {
	for name, left := range map[string]bool{"runs": false, "has left": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				records := newMemoryRecords()
				if left {
					records.Add(peer.Departure{Upstream: "a", Born: 10})
				}
				records.setErr(errors.New("unavailable"))
				p := newRecordingProxy(&fakeClient{report: healthyWithLoad("a", 100)}, records)
				go p.Watch(t.Context())
				assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
				time.Sleep(2900 * time.Millisecond)
				assert.Assert(t, !p.Status().Serving)
				time.Sleep(500 * time.Millisecond)
				assert.Assert(t, p.Status().Serving)
				records.setErr(nil)
				time.Sleep(500 * time.Millisecond)
				assert.Equal(t, p.Status().Serving, !left)
			})
		})
	}
}

// Guards against a departure that is not recorded, by the way in which the upstream tells it.
func TestEachDepartureIsRecorded(t *testing.T) {
	for name, test := range map[string]struct {
		depart func(p *inbound.Proxy) error
		id     string
	}{
		"withdrawn": {func(p *inbound.Proxy) error { p.Deregister(time.Now(), "a"); return nil }, "a"},
		"draining": {func(p *inbound.Proxy) error {
			a := announcement("a", 10, 2)
			a.Draining = true
			return p.Announce(time.Now(), a)
		}, "a"},
		"withdrawn before it is known": {func(p *inbound.Proxy) error { p.Deregister(time.Now(), "b"); return nil }, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			records := newMemoryRecords()
			p := newRecordingProxy(&fakeClient{}, records)
			assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
			assert.NilError(t, test.depart(p))
			d, found, err := records.Find(t.Context(), test.id)
			assert.NilError(t, err)
			assert.Assert(t, found && d.Born >= 10, "%+v", d)
		})
	}
}
