package callerhttp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/callerhttp"
)

// lateDispatcher returns its outcome some time after the deadline of the request, and records the state of the context of the
// second request when that comes.
type lateDispatcher struct {
	late   time.Duration
	err    error
	calls  int
	second error
}

func (d *lateDispatcher) Dispatch(ctx context.Context, req *caller.Request) (*caller.Answer, error) {
	if d.calls++; d.calls == 2 {
		d.second = ctx.Err()
	} else {
		time.Sleep(time.Until(req.Deadline) + d.late)
	}
	if d.err != nil {
		return nil, d.err
	}
	return &caller.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}, nil
}

// Guards against a connection that closes without an answer because the node, which was suspended, has it later than the
// connection may be written, and against a later request on it that is cancelled at once.
func TestLateAnswersAreDelivered(t *testing.T) {
	bundles := bundle.NewCurrent()
	bundles.Put(&bundle.Bundle{Version: 1, Contracts: map[string]*bundle.Contract{"s": {
		Service: "s", Routes: []bundle.Route{{Name: "r", PathPrefix: "/", Class: "c", Timeout: time.Second}},
	}}})
	for name, test := range map[string]struct {
		err    error
		status int
	}{
		"answer":  {nil, http.StatusOK},
		"refusal": {caller.RefuseUncertain(caller.DeadlinePassed, "test", "", nil), http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := &lateDispatcher{late: 1500 * time.Millisecond, err: test.err}
			server := httptest.NewServer(&callerhttp.Handler{Bundles: bundles, Dispatcher: d})
			defer server.Close()
			for range 2 {
				request, err := http.NewRequest(http.MethodGet, server.URL+"/s/a", http.NoBody)
				assert.NilError(t, err)
				request.Header.Set(transport.HeaderTimeout, "100")
				response, err := server.Client().Do(request)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response.Body) // so that the connection is used again
				assert.NilError(t, err)
				_ = response.Body.Close()
				assert.Equal(t, response.StatusCode, test.status)
			}
			assert.NilError(t, d.second, "the context of the second request")
		})
	}
}
