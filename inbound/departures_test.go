package inbound_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

// Guards against an upstream that leaves and gets new requests, because its node was started again, knows nothing of the departure,
// and an announcement from before the departure arrives late: before or after the other nodes tell it.
func TestLateAnnouncementAfterRestartOfTheNode(t *testing.T) {
	left := peer.Departure{Upstream: "a", Born: 10}
	late := announcement("a", 10, 4)
	next := announcement("a", 20, 1)
	for name, test := range map[string]struct {
		steps   []any // inbound.Announcement or peer.Departure
		serving bool
	}{
		"after the other nodes":          {[]any{left, late}, false},
		"before the other nodes":         {[]any{late, left}, false},
		"again":                          {[]any{late, left, late, announcement("a", 10, 5)}, false},
		"next incarnation of the ID":     {[]any{left, next}, true},
		"next incarnation told late":     {[]any{next, left}, true},
		"another upstream":               {[]any{announcement("b", 20, 1), left}, true},
		"departure of the far future":    {[]any{late, peer.Departure{Upstream: "a", Born: 1 << 60}}, true},
		"departure without a known born": {[]any{late, peer.Departure{Upstream: "a", Born: 14}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxy(&fakeClient{})
			now := time.UnixMilli(15)
			for _, step := range test.steps {
				switch step := step.(type) {
				case inbound.Announcement:
					assert.NilError(t, p.Announce(now, step))
				case peer.Departure:
					p.LearnDeparture(now, step)
				}
				now = now.Add(time.Millisecond)
			}
			assert.Equal(t, p.Status().Serving, test.serving)
		})
	}
}

// Guards against a departure that a node keeps to itself, also one that it has learned from another: the next time that it is
// started again, nobody could tell it.
func TestDepartureIsPassedOn(t *testing.T) {
	now := time.UnixMilli(15)
	draining := announcement("a", 10, 2)
	draining.Draining = true
	left := peer.Departure{Upstream: "a", Born: 10}
	for name, steps := range map[string]func(p *inbound.Proxy){
		"withdrawn": func(p *inbound.Proxy) {
			assert.NilError(t, p.Announce(now, announcement("a", 10, 1)))
			p.Deregister(now, "a")
		},
		"draining": func(p *inbound.Proxy) { assert.NilError(t, p.Announce(now, draining)) },
		"learned":  func(p *inbound.Proxy) { p.LearnDeparture(now, left) },
		"learned after a late announcement": func(p *inbound.Proxy) {
			assert.NilError(t, p.Announce(now, announcement("a", 10, 1)))
			p.LearnDeparture(now, left)
		},
		"learned while the next incarnation of the ID serves": func(p *inbound.Proxy) {
			assert.NilError(t, p.Announce(now, announcement("a", 12, 1)))
			p.LearnDeparture(now, left)
			assert.Assert(t, p.Status().Serving)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProxy(&fakeClient{})
			assert.Equal(t, p.Departure(), peer.Departure{})
			steps(p)
			assert.Equal(t, p.Departure(), left)
			assert.NilError(t, p.Announce(now, announcement("b", 20, 1)))
			assert.Equal(t, p.Departure(), peer.Departure{}, "another upstream serves")
		})
	}
}

// Guards against a withdrawal that a node forgets when it is killed before its upstream has announced itself to it.
func TestWithdrawalBeforeTheFirstAnnouncementIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProxy(&fakeClient{})
		p.Deregister(time.Now(), "a")
		assert.Equal(t, p.Departure(), peer.Departure{Upstream: "a", Born: time.Now().UnixMilli()})
	})
}

// Guards against an upstream that its restarted node has found by a health check, that leaves, and whose announcement from before
// that arrives late: the node did not know the start of the incarnation, and took the announcement for that of a later one.
func TestLateAnnouncementOfAnAdoptedUpstreamThatLeft(t *testing.T) {
	for name, depart := range map[string]func(p *inbound.Proxy){
		"withdrawn": func(p *inbound.Proxy) { p.Deregister(time.Now(), "a") },
		"replaced, and its successor falls silent": func(p *inbound.Proxy) {
			assert.Check(t, p.Announce(time.Now(), announcement("b", time.Now().UnixMilli(), 1)))
			time.Sleep(8 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &fakeClient{report: healthyWithLoad("a", 100)}
				p := newProxy(c)
				go p.Watch(t.Context())
				born := time.Now().UnixMilli()
				time.Sleep(time.Second)
				p.Recall(peer.PreviousUpstream{Upstream: "a", Service: "s"})
				time.Sleep(300 * time.Millisecond)
				assert.Assert(t, p.Status().Serving)
				depart(p)
				assert.NilError(t, p.Announce(time.Now(), announcement("a", born, 4)))
				assert.Assert(t, !p.Status().Serving)
				time.Sleep(time.Second)
				assert.NilError(t, p.Announce(time.Now(), announcement("a", time.Now().UnixMilli(), 1)))
				assert.Assert(t, p.Status().Serving, "the next incarnation of the ID")
			})
		})
	}
}
