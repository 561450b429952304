package inbound_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/quarantine"
)

// crashing is the fingerprint of the request that loses its connection.
const crashing = 9

// losingClient is a Client whose upstream loses the connection of each request.
type losingClient struct{ *fakeClient }

func (c losingClient) Send(context.Context, *caller.Request, string) (*caller.Answer, error) {
	return nil, caller.RefuseUncertain(caller.UpstreamLost, "send", addr, errors.New("reset"))
}

// Guards against a request that crashes one upstream after the other because no crash is attributed to it: in quiet hours nothing
// else is sent to the upstream within 3 s of the lost connection, and it is back later than that.
func TestCrashInQuietHoursIsAttributed(t *testing.T) {
	refused := fmt.Errorf("dial: %w", inbound.ErrRefused)
	for name, test := range map[string]struct {
		report  inbound.HealthReport
		err     error
		crashed bool
		serving bool
		checks  int // at most
	}{
		"process has ended":       {err: refused, crashed: true, checks: 20},
		"another process":         {report: healthyWithLoad("b", 100), crashed: true, serving: true, checks: 1},
		"connection reset only":   {report: healthyWithLoad("a", 100), serving: true, checks: 1},
		"no answer to the checks": {err: errors.New("timeout"), serving: true, checks: 15},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				suspects := quarantine.NewList(nil)
				c := &fakeClient{report: test.report, checkErr: test.err}
				p := newProxyOf(losingClient{c}, suspects)
				go p.Watch(t.Context())
				for crash := range int64(2) {
					now := time.Now()
					assert.NilError(t, p.Announce(now, announcement("a", now.UnixMilli(), 1)))
					time.Sleep(time.Second)
					c.update(func(c *fakeClient) { c.checks = 0 })
					_, err := p.Serve(t.Context(), &caller.Request{
						ID: fmt.Sprint(crash), Service: "s", Body: caller.NewBody(nil, 0), Deadline: now.Add(5 * time.Second), Fingerprint: crashing,
						Placement: &caller.Placement{Upstream: "a"},
					}, boot)
					assert.ErrorContains(t, err, string(caller.UpstreamLost))
					time.Sleep(4 * time.Second)
					assert.Equal(t, p.Status().Serving, test.serving)
					c.update(func(c *fakeClient) { assert.Assert(t, c.checks > 0 && c.checks <= test.checks, "%d checks", c.checks) })
				}
				assert.Equal(t, suspects.Quarantined(time.Now(), crashing), test.crashed)
			})
		})
	}
}

// Guards against an upstream whose process has ended and that is still used: the health checks for its load are refused as well.
func TestRefusedHealthCheckTakesTheUpstreamOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{checkErr: inbound.ErrRefused}
		p := newProxy(c)
		assert.NilError(t, p.Announce(time.Now(), announcement("a", 10, 1)))
		p.Load(time.Now())
		synctest.Wait()
		assert.Assert(t, !p.Status().Serving)
	})
}
