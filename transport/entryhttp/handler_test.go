package entryhttp_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/contract"
	"github.com/magnoliawharf/magnoliawharf/transport/entryhttp"
)

// recordingDispatcher is a stand-in Dispatcher that records the request and returns a fixed outcome.
type recordingDispatcher struct {
	got       *caller.Request
	route     *contract.Route
	body      string
	answer    *caller.Answer
	err       error
	cancelled bool // the context was cancelled while Dispatch waited
	wait      bool // Dispatch waits for the end of the context
}

func (d *recordingDispatcher) Dispatch(ctx context.Context, req *caller.Request, route *contract.Route) (*caller.Answer, error) {
	d.got, d.route = req, route
	if reader, err := req.Body.Attempt(); err == nil {
		raw, _ := io.ReadAll(reader)
		d.body = string(raw)
	}
	if d.wait {
		<-ctx.Done()
		d.cancelled = errors.Is(ctx.Err(), context.Canceled)
		return nil, caller.RefuseUncertain(caller.DeadlinePassed, "test", "", ctx.Err())
	}
	return d.answer, d.err
}

func startServer(t *testing.T, d *recordingDispatcher) *httptest.Server { return startServerWith(t, d) }

func startServerWith(t *testing.T, d entryhttp.Dispatcher) *httptest.Server {
	t.Helper()
	contracts, err := contract.New(contract.Contracts{
		Version: 3, Services: map[string]contract.Service{"s": {}}, Limits: contract.Limits{MaxBodyBytes: 100 << 10},
		Routes: []contract.Route{{
			Name: "r", Host: "shop.example", PathPrefix: "/a/", Rule: bundle.NotIdempotent, Timeout: time.Second, MaxAttempts: 2,
			Split: []contract.WeightedService{{Service: "s", Weight: 1}},
		}},
	})
	assert.NilError(t, err)
	inForce := contract.NewCurrent()
	inForce.Adopt(contracts)
	server := httptest.NewServer(&entryhttp.Handler{
		Contracts: inForce, Splits: contract.NewSplitter(), Dispatcher: d, Origin: "cart",
		Dialect: caller.Dialect{RequestID: "X-Id", TimeLimit: "X-Time", Expect: "X-Expect", Origin: "X-Origin"},
	})
	t.Cleanup(server.Close)
	return server
}

func request(t *testing.T, server *httptest.Server, path, body string, fields map[string]string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "shop.example"
	for name, value := range fields {
		r.Header.Set(name, value)
	}
	response, err := server.Client().Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// Guards against system fields that a caller forges, and against a path or body that is modified.
func TestRequestIsDispatchedUnchanged(t *testing.T) {
	d := &recordingDispatcher{answer: &caller.Answer{Status: 200, Body: io.NopCloser(strings.NewReader("ok")), Length: 2, Header: map[string][]string{"X-Seal": {"1"}}}}
	response := request(t, startServer(t, d), "/a/b%2Fc?d=e", "hello", map[string]string{
		"X-Id": "r1", "X-Time": "400", "X-Origin": "forged", "X-Expect": "forged", "X-Other": "kept", "Magnoliawharf-Call": "forged",
	})
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, response.Header.Get("X-Seal"), "1")
	assert.Equal(t, response.Header.Get("Content-Type"), "", "net/http has guessed a type")
	assert.Equal(t, d.got.Path, "/a/b%2Fc?d=e")
	assert.Equal(t, d.body, "hello")
	assert.Equal(t, d.got.ID, "r1")
	assert.Equal(t, d.got.Placement.Host, "shop.example")
	assert.Equal(t, d.got.Placement.Origin, "cart")
	header := http.Header(d.got.Header)
	assert.Equal(t, header.Get("X-Other"), "kept")
	for _, name := range []string{"X-Origin", "X-Expect", "X-Time", "Magnoliawharf-Call"} {
		assert.Equal(t, header.Get(name), "", name)
	}
}

// Guards against a request that runs longer than its caller or its route allows.
func TestShorterTimeLimitApplies(t *testing.T) {
	for limit, want := range map[string]time.Duration{"": time.Second, "400": 400 * time.Millisecond, "5000": time.Second, "soon": time.Second} {
		d := &recordingDispatcher{answer: &caller.Answer{Status: 200, Body: http.NoBody}}
		server := startServer(t, d)
		sent := time.Now()
		request(t, server, "/a/", "", map[string]string{"X-Time": limit})
		answered := time.Now()
		earliest, latest := sent.Add(want), answered.Add(want)
		assert.Check(t, !d.got.Deadline.Before(earliest) && !d.got.Deadline.After(latest), "limit %q: %v after the request", limit, d.got.Deadline.Sub(sent))
	}
	d := &recordingDispatcher{wait: true}
	server := startServer(t, d)
	start := time.Now()
	response := request(t, server, "/a/", "", map[string]string{"X-Time": "200"})
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(start) < 400*time.Millisecond)
}

// Guards against a status 503, which states that the request has not run, when that is not certain.
func TestStatusOfRefusals(t *testing.T) {
	for _, test := range []struct {
		refusal *caller.Refusal
		status  int
		after   string
	}{
		{&caller.Refusal{Reason: caller.QueueFull, Ran: caller.NotRun, RetryAfter: 250 * time.Millisecond}, 503, "0.250"},
		{&caller.Refusal{Reason: caller.NoUpstream, Ran: caller.NotRun}, 503, "0.100"},
		{&caller.Refusal{Reason: caller.DeadlinePassed, Ran: caller.NotRun}, 503, "0.100"},
		{&caller.Refusal{Reason: caller.Quarantined, Ran: caller.NotRun}, 503, "0.100"},
		{&caller.Refusal{Reason: caller.DeadlinePassed, Ran: caller.Unknown}, 504, ""},
		{&caller.Refusal{Reason: caller.UpstreamLost, Ran: caller.Unknown}, 502, ""},
		{&caller.Refusal{Reason: caller.QueueFull, Ran: caller.Unknown}, 502, ""},
		{&caller.Refusal{Reason: caller.NoRoute, Ran: caller.NotRun}, 404, ""},
	} {
		response := request(t, startServer(t, &recordingDispatcher{err: test.refusal}), "/a/", "", nil)
		assert.Equal(t, response.StatusCode, test.status, "%v", test.refusal)
		assert.Equal(t, response.Header.Get("Retry-After"), test.after, "%v", test.refusal)
	}
}

// Guards against dispatching requests without a route or contract, and requests with a body above the limit.
func TestRequestsRejectedBeforeDispatch(t *testing.T) {
	d := &recordingDispatcher{answer: &caller.Answer{Status: 200, Body: http.NoBody}}
	server := startServer(t, d)
	assert.Equal(t, request(t, server, "/b/", "", nil).StatusCode, 404)
	assert.Equal(t, request(t, server, "/a/", strings.Repeat("x", 101<<10), nil).StatusCode, 413)
	assert.Assert(t, d.got == nil)
	empty := httptest.NewServer(&entryhttp.Handler{Contracts: contract.NewCurrent(), Splits: contract.NewSplitter(), Dispatcher: d})
	defer empty.Close()
	response := request(t, empty, "/a/", "", nil)
	assert.Equal(t, response.StatusCode, 503)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
}

// Guards against a truncated answer that the caller receives as complete.
func TestTruncatedAnswerAbortsConnection(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		body := io.NopCloser(io.MultiReader(strings.NewReader("half"), brokenReader{}))
		d := &recordingDispatcher{answer: &caller.Answer{Status: 200, Body: body, Length: length}}
		response := request(t, startServer(t, d), "/a/", "", nil)
		_, err := io.ReadAll(response.Body)
		assert.Assert(t, err != nil, "length %d: taken as whole", length)
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against work that continues after the caller has disconnected.
func TestCallerDisconnectCancelsDispatch(t *testing.T) {
	d := &recordingDispatcher{wait: true}
	server := startServer(t, d)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/a/", strings.NewReader("hello"))
	assert.NilError(t, err)
	r.Host = "shop.example"
	_, err = server.Client().Do(r)
	assert.Assert(t, err != nil)
	server.Close() // waits for the handler
	assert.Assert(t, d.cancelled)
}
