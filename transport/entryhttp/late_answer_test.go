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

// Guards against a request that is cancelled at once, because it comes on the connection of an answer that came later than the
// connection may be read, which ends the context of all its requests.
func TestRequestAfterALateAnswerIsNotCancelled(t *testing.T) {
	const late = 1500 * time.Millisecond
	d := &contextDispatcher{late: late}
	server := startServerWith(t, d)
	for range 2 {
		response := request(t, server, "/a/", "", map[string]string{"X-Time": "100"})
		assert.Equal(t, response.StatusCode, http.StatusOK)
		_, err := io.Copy(io.Discard, response.Body) // so that the connection is used again
		assert.NilError(t, err)
	}
	assert.NilError(t, d.second, "the context of the second request")
}

// contextDispatcher answers the first request late, and records whether the context of the second has ended when it comes.
type contextDispatcher struct {
	late   time.Duration
	calls  int
	second error
}

func (d *contextDispatcher) Dispatch(ctx context.Context, req *caller.Request, _ *contract.Route) (*caller.Answer, error) {
	if d.calls++; d.calls == 1 {
		time.Sleep(time.Until(req.Deadline) + d.late)
	} else {
		d.second = ctx.Err()
	}
	return &caller.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}, nil
}
