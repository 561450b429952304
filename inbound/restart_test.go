package inbound_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/peer"
)

func healthyWithLoad(id string, serviceTimePercent int) inbound.HealthReport {
	return inbound.HealthReport{Healthy: true, UpstreamID: id, HasLoad: true, Load: caller.UpstreamLoad{Slots: 2, ServiceTimePercent: serviceTimePercent}}
}

// cold returns the announcement of an incarnation that starts cold.
func cold(id string, born int64) inbound.Announcement {
	a := announcement(id, born, 1)
	a.ColdStartRemaining = 30 * time.Second
	return a
}

// coldServiceTime is the service time of a cold upstream that has reported none, in per cent of the usual one.
const coldServiceTime = 200

// Guards against requests that are sent to a cold upstream, or kept from a fast one, because its load is that of the incarnation
// before it: a failed health check made the last load of the earlier one count again.
func TestLoadOfEarlierIncarnationIsForgotten(t *testing.T) {
	for name, next := range map[string]inbound.Announcement{"another ID": cold("b", 20), "the same ID": cold("a", 20)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &fakeClient{report: healthyWithLoad("a", 100)}
				p := newProxy(c)
				assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
				assert.Equal(t, p.Load(time.Now()).ServiceTimePercent, 100)
				c.update(func(c *fakeClient) { c.checkErr = errors.New("refused") })
				assert.NilError(t, p.Announce(time.Now(), next))
				assert.Equal(t, p.Load(time.Now()).ServiceTimePercent, coldServiceTime)
			})
		})
	}
}

// slowChecks is a Client whose first health check takes a while.
type slowChecks struct {
	*fakeClient
	delay time.Duration
	first inbound.HealthReport
}

func (c *slowChecks) CheckHealth(ctx context.Context, addr, path string) (inbound.HealthReport, error) {
	delay := c.delay
	c.delay = 0
	if delay == 0 {
		return c.fakeClient.CheckHealth(ctx, addr, path)
	}
	time.Sleep(delay)
	return c.first, nil
}

// Guards against the load of an earlier incarnation that counts for its successor, because the health check that read it was in
// progress when the successor announced itself.
func TestHealthCheckOfEarlierIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &slowChecks{fakeClient: &fakeClient{checkErr: errors.New("refused")}, delay: 100 * time.Millisecond, first: healthyWithLoad("a", 100)}
		p := newProxyWith(c)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		p.Load(time.Now())
		assert.NilError(t, p.Announce(time.Now(), cold("a", 20)))
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, p.Load(time.Now()).ServiceTimePercent, coldServiceTime)
	})
}

// Guards against an upstream that left, was started again with its ID, refused a connection, and then stays out of service until it
// announces itself once more.
func TestUpstreamRestartedAfterItLeftIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{report: healthyWithLoad("a", 100), refusal: caller.Refuse(caller.UpstreamUnreachable, "send", addr)}
		p := newProxy(c)
		go p.Watch(t.Context())
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		p.Deregister(time.Now(), "a")
		time.Sleep(time.Second + 50*time.Millisecond) // between two health checks
		assert.Assert(t, !p.Status().Serving, "an upstream that left was adopted")
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 20, 1)))
		assert.Equal(t, serve(t.Context(), p, "r1", "a", time.Second).Reason, caller.UpstreamUnreachable)
		assert.Assert(t, !p.Status().Serving)
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, p.Status().Serving)
	})
}

// loadedAnswers is a Client whose answers report a load. With a refusal, requests end with that in place of an answer.
type loadedAnswers struct {
	*fakeClient
	load    caller.UpstreamLoad
	refusal *caller.Refusal
}

func (c *loadedAnswers) Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error) {
	answer, err := c.fakeClient.Send(ctx, req, addr)
	if c.refusal != nil {
		return nil, c.refusal
	}
	return answer, err
}

func (c *loadedAnswers) LoadOf(map[string][]string) (caller.UpstreamLoad, bool) { return c.load, true }

// Guards against a new incarnation with the ID of the earlier one that takes on the load, or the lost connection, of a request which
// was sent to the earlier one.
func TestOutcomeOfEarlierIncarnationIsIgnored(t *testing.T) {
	for name, refusal := range map[string]*caller.Refusal{"answered": nil, "unreachable": caller.Refuse(caller.UpstreamUnreachable, "send", addr)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &loadedAnswers{&fakeClient{work: 100 * time.Millisecond, checkErr: errors.New("refused")}, caller.UpstreamLoad{Slots: 2, ServiceTimePercent: 100}, refusal}
				p := newProxyWith(c)
				assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
				go serve(t.Context(), p, "r1", "a", time.Second)
				time.Sleep(50 * time.Millisecond)
				assert.NilError(t, p.Announce(time.Now(), cold("a", 20)))
				time.Sleep(100 * time.Millisecond)
				assert.Assert(t, p.Status().Serving)
				assert.Equal(t, p.Load(time.Now()).ServiceTimePercent, coldServiceTime)
			})
		})
	}
}

// Guards against an upstream that is never let go, or never used, because it was started again with its ID while the clock was back
// from a jump ahead: its start looks earlier than that of the incarnation before, and its reports were acknowledged and ignored.
func TestIncarnationAfterTheClockWentBack(t *testing.T) {
	leaving := func(a inbound.Announcement) inbound.Announcement { a.Draining = true; return a }
	type step struct {
		after    time.Duration
		announce inbound.Announcement
		rejected bool
	}
	ahead, back := announcement("a", 2000, 3), announcement("a", 1000, 1)
	for name, test := range map[string]struct {
		steps   []step
		serving bool
		born    int64
	}{
		"reports and leaves": {[]step{{0, ahead, false}, {4 * time.Second, back, false}, {time.Second, leaving(announcement("a", 1000, 2)), false}}, false, 1000},
		"leaves at once":     {[]step{{0, ahead, false}, {4 * time.Second, leaving(back), false}}, false, 1000},
		"leaves while the one before may still announce itself": {[]step{{0, ahead, false}, {time.Second, leaving(back), true}, {1500 * time.Millisecond, leaving(announcement("a", 1000, 2)), true}, {time.Second, leaving(announcement("a", 1000, 3)), false}}, false, 1000},
		"late report of an earlier one":                         {[]step{{0, ahead, false}, {time.Second, back, false}}, true, 2000},
		"late report of the one before, after it leaves":        {[]step{{0, ahead, false}, {4 * time.Second, leaving(back), false}, {time.Second, announcement("a", 2000, 4), false}}, false, 1000},
		"the one before goes on after all":                      {[]step{{0, ahead, false}, {4 * time.Second, back, false}, {4 * time.Second, leaving(announcement("a", 2000, 5)), false}}, false, 2000},
		"a later one":                                           {[]step{{0, ahead, false}, {4 * time.Second, back, false}, {time.Second, announcement("a", 3000, 1), false}}, true, 3000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newProxy(&fakeClient{report: healthyWithLoad("a", 100)})
				for _, step := range test.steps {
					time.Sleep(step.after)
					err := p.Announce(time.Now(), step.announce)
					assert.Equal(t, errors.Is(err, inbound.ErrInvalidAnnouncement), step.rejected, "%v", err)
				}
				assert.Equal(t, p.Status().Serving, test.serving)
				if !test.serving {
					assert.Equal(t, p.Departure(), peer.Departure{Upstream: "a", Born: test.born})
				}
			})
		})
	}
}

// Guards against an upstream that was started again after the clock went back and was withdrawn, and that a late report of the
// incarnation before puts into service.
func TestLateReportAfterTheClockWentBackAndTheUpstreamLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProxy(&fakeClient{})
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 2000, 3)))
		time.Sleep(4 * time.Second)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 1000, 1)))
		p.Deregister(time.Now(), "a")
		time.Sleep(4 * time.Second)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 2000, 4)))
		assert.Assert(t, !p.Status().Serving)
	})
}
