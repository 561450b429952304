package upstreamconn_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamconn"
)

// Guards against what an upstream states about itself and the node does not read: in an answer, in one that rejects the request, or in a
// health report.
func TestNoticesOfAnswers(t *testing.T) {
	noticing := dialect
	noticing.RateLimit, noticing.Leaving, noticing.Cold = "X-Limit", "X-Leaving", "X-Cold"
	want := caller.Notice{Leaving: true, Limit: caller.RateLimit{Named: true, PerSecond: 2.5}}
	const fields = "X-Limit: 2.5\r\nX-Leaving: 1\r\nX-Cold: 1500"
	addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
		id := r.Header.Get("X-Id")
		if id == "rejected" {
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\n%s\r\nContent-Length: 0\r\n\r\n", id, fields)
			return err == nil
		}
		return reply(c, id, "ok", "X-Upstream: u-1", fields)
	})
	client := upstreamconn.NewClient(noticing)
	t.Cleanup(client.Close)

	answer, err := client.Send(context.Background(), requestOf("answered", true, ""), addr)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, answer.Notice, want)

	_, err = client.Send(context.Background(), requestOf("rejected", true, ""), addr)
	var rejection *inbound.Rejection
	assert.Assert(t, errors.As(err, &rejection), "%v", err)
	assert.Equal(t, *rejection, inbound.Rejection{Status: 503, Notice: want})

	report, err := client.CheckHealth(context.Background(), addr, "/health")
	assert.NilError(t, err)
	assert.Equal(t, report.Notice, want)
	assert.Equal(t, report.Cold, caller.ColdTime{Stated: true, Remaining: 1500 * time.Millisecond})
}
