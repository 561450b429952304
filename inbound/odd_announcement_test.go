package inbound_test

import (
	"errors"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// newProxyWithServices returns a proxy of a node whose contracts name only the service "s" and "other", and a counter of the
// changes of its status.
func newProxyWithServices() (*inbound.Proxy, *atomic.Int64) {
	changes := new(atomic.Int64)
	return inbound.New(inbound.Options{
		Node: "n1", Boot: boot, Address: "10.0.0.1:81", Zone: "z", Service: "s", Upstream: addr,
		HealthPath: func(service string) string { return map[string]string{"s": "/health", "other": "/health"}[service] },
		FreshFor:   20 * time.Millisecond, LivenessTimeout: 7 * time.Second, SlotShare: 1, Client: &fakeClient{},
		Suspects: quarantine.NewList(nil), OnStatusChange: func() { changes.Add(1) }, Log: slog.New(slog.DiscardHandler),
	}), changes
}

// Guards against an announcement of another writer, with the ID of the upstream and a service that the contracts do not
// name, that takes the requests of its own service from the upstream.
func TestUnknownServiceDoesNotReplaceTheUpstreams(t *testing.T) {
	p, _ := newProxyWithServices()
	now := time.UnixMilli(15)
	assert.NilError(t, p.Announce(now, announcement("a", 10, 1)))
	odd := announcement("a", 10, 2)
	odd.Service = "bogus"
	err := p.Announce(now, odd)
	assert.Assert(t, err == nil || errors.Is(err, inbound.ErrInvalidAnnouncement))
	assert.Equal(t, p.Status().Service, "s")
	assert.NilError(t, p.Announce(now, announcement("a", 10, 2)))
	leaving := announcement("a", 10, 3)
	leaving.Draining = true
	assert.NilError(t, p.Announce(now, leaving))
	assert.Assert(t, !p.Status().Serving)
}

// Guards against a changed service that the other nodes do not learn of, when an announcement of another writer came first.
func TestChangedServiceIsPublished(t *testing.T) {
	p, changes := newProxyWithServices()
	now := time.UnixMilli(15)
	odd := announcement("a", 10, 1)
	odd.Service = "bogus"
	assert.NilError(t, p.Announce(now, odd))
	revision, before := p.Status().Revision, changes.Load()
	assert.NilError(t, p.Announce(now, announcement("a", 10, 2)))
	assert.Equal(t, p.Status().Service, "s")
	assert.Check(t, p.Status().Revision > revision)
	assert.Check(t, changes.Load() > before)
}

// Guards against an odd announcement that keeps its place: one with a start in the far future makes all true ones look
// outdated.
func TestStartInTheFutureIsInvalid(t *testing.T) {
	p, _ := newProxyWithServices()
	now := time.UnixMilli(15)
	err := p.Announce(now, announcement("a", now.Add(25*time.Hour).UnixMilli(), 1))
	assert.Assert(t, errors.Is(err, inbound.ErrInvalidAnnouncement), "%v", err)
	assert.NilError(t, p.Announce(now, announcement("a", now.Add(time.Hour).UnixMilli(), 1)))
	assert.Assert(t, p.Status().Serving)
}

// Guards against rejected announcements that leave no trace, and against log lines as long as another process likes.
func TestRejectedAnnouncementsAreLogged(t *testing.T) {
	var log strings.Builder
	p := inbound.New(inbound.Options{
		Node: "n1", HealthPath: func(string) string { return "" }, Suspects: quarantine.NewList(nil), OnStatusChange: func() {},
		Log: slog.New(slog.NewTextHandler(&log, nil)),
	})
	p.RecordInvalid(strings.Repeat("i", 10_000), errors.New("address "+strings.Repeat("x", 60_000)))
	assert.Assert(t, strings.Contains(log.String(), "announcement rejected") && strings.Contains(log.String(), "address xxx"), log.String())
	assert.Assert(t, len(log.String()) < 1000, "%d bytes", len(log.String()))
}

// Guards against an announcement of another writer, with a service that the contracts do not name, that takes the place of
// the upstream under another ID or as a later incarnation: the true announcements, also that it leaves, then look outdated.
func TestUnknownServiceDoesNotReplaceTheIncarnation(t *testing.T) {
	for name, odd := range map[string]inbound.Announcement{
		"another ID":          announcement("x", 11, 1),
		"a later incarnation": announcement("a", 11, 1),
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newProxyWithServices()
			now := time.UnixMilli(15)
			assert.NilError(t, p.Announce(now, announcement("a", 10, 1)))
			odd.Service = "bogus"
			assert.NilError(t, p.Announce(now, odd))
			assert.Equal(t, p.Status().Service, "s")
			assert.Equal(t, p.Status().Upstream, "a")
			leaving := announcement("a", 10, 2)
			leaving.Draining = true
			assert.NilError(t, p.Announce(now, leaving))
			assert.Assert(t, !p.Status().Serving)
		})
	}
}
