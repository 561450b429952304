package inbound_test

import (
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// Guards against an upstream that leaves and gets requests again after a late announcement, when its node and all that could tell it
// of the departure were killed, and against one that stays out of service although it runs.
func TestFirstAnnouncementAfterAStartIsConfirmed(t *testing.T) {
	leaving := inbound.HealthReport{UpstreamID: "a"}
	withoutLoad := inbound.HealthReport{Healthy: true, UpstreamID: "a"}
	for name, test := range map[string]struct {
		report  inbound.HealthReport
		err     error
		age     time.Duration // of the process
		again   bool          // it announces itself once more
		serving bool
	}{
		"leaves":                            {report: leaving},
		"another one runs":                  {report: healthyWithLoad("b", 100)},
		"no process":                        {err: inbound.ErrRefused},
		"healthy":                           {report: healthyWithLoad("a", 100), serving: true},
		"healthy, reports no load":          {report: withoutLoad, serving: true},
		"checks fail, and it goes on":       {err: errors.New("timeout"), again: true, serving: true},
		"late reports have long arrived":    {report: leaving, age: 11 * time.Second, serving: true},
		"unhealthy, and it goes on, anyway": {report: leaving, again: true, serving: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := inbound.New(inbound.Options{
					Node: "n1", Boot: boot, Address: "10.0.0.1:81", Zone: "z", Service: "s", Upstream: addr,
					HealthPath: func(string) string { return "/health" }, FreshFor: 20 * time.Millisecond, AnnounceEvery: 1500 * time.Millisecond,
					LivenessTimeout: 7 * time.Second, ConfirmPeriod: 10 * time.Second, SlotShare: 1,
					Client: &fakeClient{report: test.report, checkErr: test.err}, Suspects: quarantine.NewList(nil), OnStatusChange: func() {}, Log: slog.New(slog.DiscardHandler),
				})
				go p.Watch(t.Context())
				time.Sleep(test.age)
				assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
				assert.Equal(t, p.Status().Serving, test.age > 0)
				time.Sleep(1500 * time.Millisecond)
				if test.again {
					assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 2)))
				}
				assert.Equal(t, p.Status().Serving, test.serving)
			})
		})
	}
}
