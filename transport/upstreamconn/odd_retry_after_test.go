package upstreamconn_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// Guards against a delay of centuries that is suggested to callers, or a negative one, because an upstream sends a Retry-After
// that is too large for a duration.
func TestOddRetryAfterIsIgnored(t *testing.T) {
	for _, value := range []string{"1e300", "Inf", "NaN", "-1", "9223372037"} {
		addr, _ := startUpstream(t, func(c *net.TCPConn, _ int, r *http.Request) bool {
			return reply(c, r.Header.Get("X-Id"), "", dialect.NotRun+": 1", "Retry-After: "+value)
		})
		_, refusal, err := send(t, newClient(t), addr, requestOf("r1", true, ""))
		assert.NilError(t, err)
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Reason, caller.UpstreamRejected)
		assert.Equal(t, refusal.RetryAfter, 50*time.Millisecond, value)
	}
}
