package inbound_test

import (
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/peer"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// confirmPeriod is the period of the proxies below, which is that of nodes.
const confirmPeriod = 10 * time.Second

func newConfirmingProxy(c inbound.Client) *inbound.Proxy { return newRecordingProxy(c, nil) }

func newRecordingProxy(c inbound.Client, records inbound.DepartureRecords) *inbound.Proxy {
	return inbound.New(inbound.Options{
		Node: "n1", Boot: boot, Address: "10.0.0.1:81", Zone: "z", Service: "s", Upstream: addr,
		HealthPath: func(string) string { return "/health" }, FreshFor: 20 * time.Millisecond, AnnounceEvery: 1500 * time.Millisecond,
		LivenessTimeout: 7 * time.Second, ConfirmPeriod: confirmPeriod, Departures: records, SlotShare: 1,
		Client: c, Suspects: quarantine.NewList(nil), OnStatusChange: func() {}, Log: slog.New(slog.DiscardHandler),
	})
}

// Guards against an upstream that leaves and gets requests again after late announcements, however many, when its node and all that
// could tell it of the departure were killed, and against one that stays out of service although it runs.
func TestFirstAnnouncementAfterAStartIsConfirmed(t *testing.T) {
	leaving := inbound.HealthReport{UpstreamID: "a"}
	rejected := inbound.HealthReport{} // without an ID, as when the upstream is full
	timeout := errors.New("timeout")
	for name, test := range map[string]struct {
		report        inbound.HealthReport
		err           error
		errFrom       int           // number of announcements before the error
		age           time.Duration // of the process
		recalled      bool          // another node knows the upstream
		announcements int           // one each 1.5 s
		serving       bool
	}{
		"leaves":                                   {report: leaving, announcements: 1},
		"leaves, two late reports":                 {report: leaving, announcements: 2},
		"leaves, six late reports":                 {report: leaving, announcements: 6},
		"leaves, reports up to 15 s late":          {report: leaving, announcements: 10},
		"leaves, its node runs for long":           {report: leaving, age: 11 * time.Second, announcements: 2},
		"leaves, says so in a field of the answer": {report: leavingField("a"), announcements: 3},
		"leaves, its checks time out":              {err: timeout, announcements: 5},
		"leaves, some checks time out":             {report: leaving, err: timeout, errFrom: 4, announcements: 9},
		"leaves, its checks are rejected":          {report: rejected, announcements: 5},
		"another one runs":                         {report: healthyWithLoad("b", 100), announcements: 3},
		"no process":                               {err: inbound.ErrRefused, announcements: 3},
		"healthy":                                  {report: healthyWithLoad("a", 100), announcements: 1, serving: true},
		"healthy, its node runs for long":          {report: healthyWithLoad("a", 100), age: 11 * time.Second, announcements: 1, serving: true},
		"healthy, reports no load":                 {report: inbound.HealthReport{Healthy: true, UpstreamID: "a"}, announcements: 1, serving: true},
		"checks fail, and it goes on":              {err: timeout, announcements: 9, serving: true},
		"checks are rejected, and it goes on":      {report: rejected, announcements: 9, serving: true},
		"unhealthy, and it goes on, anyway":        {report: leaving, announcements: 22, serving: true},
		"known to another node":                    {report: leaving, recalled: true, announcements: 2, serving: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &fakeClient{report: test.report}
				p := newConfirmingProxy(c)
				go p.Watch(t.Context())
				if test.recalled {
					p.Recall(peer.PreviousUpstream{Upstream: "a", Service: "s"})
				}
				time.Sleep(test.age)
				for n := range test.announcements {
					if n == test.errFrom {
						c.update(func(c *fakeClient) { c.checkErr = test.err })
					}
					assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, uint64(n+1))))
					assert.Assert(t, n > 0 || !p.Status().Serving)
					time.Sleep(1500 * time.Millisecond)
				}
				assert.Equal(t, p.Status().Serving, test.serving)
			})
		})
	}
}

// leavingField is the report of an upstream that is healthy and says in a field that it leaves.
func leavingField(id string) inbound.HealthReport {
	report := healthyWithLoad(id, 100)
	report.Notice.Leaving = true
	return report
}

// Guards against an upstream that has left and gets requests because its node was frozen: announcements that waited meanwhile look as
// if the upstream had gone on.
func TestAnnouncementsThatWaitedInAFrozenNodeDoNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newConfirmingProxy(&fakeClient{report: inbound.HealthReport{UpstreamID: "a"}})
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		time.Sleep(5 * confirmPeriod) // makes no health check meanwhile
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 2)))
		assert.Assert(t, !p.Status().Serving)
	})
}

// Guards against an upstream that is never used because a late report of the one before it at its address arrived before it was
// confirmed, took its place, and counted as the end of the running one.
func TestLateReportOfAnEarlierUpstreamDoesNotReplaceAnUnconfirmedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{checkErr: errors.New("timeout")}
		p := newConfirmingProxy(c)
		go p.Watch(t.Context())
		assert.NilError(t, p.Announce(time.Now(), announcement("b", 20, 1)))
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 7)))
		c.update(func(c *fakeClient) { c.report, c.checkErr = healthyWithLoad("b", 100), nil })
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, p.Status().Upstream, "b")
		assert.Assert(t, p.Status().Serving)
	})
}

// Guards against an upstream that has left and that a restarted node takes for one that another node knew, since that node had heard of it
// from the unconfirmed state of an earlier restart.
func TestUnconfirmedUpstreamIsNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newConfirmingProxy(&fakeClient{report: inbound.HealthReport{UpstreamID: "a"}})
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		assert.Equal(t, p.Status().Upstream, "")
		p.Deregister(time.Now(), "a")
		assert.Equal(t, p.Status().Upstream, "a")
		assert.Equal(t, p.Departure().Upstream, "a")
	})
}
