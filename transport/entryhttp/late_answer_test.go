package entryhttp_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
)

// lateDispatcher returns its outcome some time after the deadline of the request.
type lateDispatcher struct {
	recordingDispatcher
	late time.Duration
}

func (d *lateDispatcher) Dispatch(ctx context.Context, req *caller.Request, route *contract.Route) (*caller.Answer, error) {
	time.Sleep(time.Until(req.Deadline) + d.late)
	return d.answer, d.err
}

// Guards against a connection that closes without an answer because the node, which was suspended, has it later than the
// connection may be written.
func TestLateAnswersAreDelivered(t *testing.T) {
	const late = 1500 * time.Millisecond
	for name, test := range map[string]struct {
		outcome recordingDispatcher
		status  int
	}{
		"answer":  {recordingDispatcher{answer: &caller.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}}, http.StatusOK},
		"refusal": {recordingDispatcher{err: caller.RefuseUncertain(caller.DeadlinePassed, "test", "", nil)}, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServerWith(t, &lateDispatcher{test.outcome, late})
			response := request(t, server, "/a/", "", map[string]string{"X-Time": "100"})
			assert.Equal(t, response.StatusCode, test.status)
		})
	}
}
