package peerhttp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/transport/peerhttp"
)

// echoProxy answers with the path and the body.
type echoProxy struct {
	got  *caller.Request
	left time.Duration // time to the deadline when the request arrived
}

func (p *echoProxy) Serve(_ context.Context, req *caller.Request, _ uint64) (*caller.Answer, error) {
	p.got, p.left = req, time.Until(req.Deadline)
	body, err := req.Body.Attempt()
	return &caller.Answer{Status: http.StatusOK, Body: body, Length: -1}, err
}

func (p *echoProxy) Report() link.Report { return link.Report{State: instance.Ready, Slots: 3} }

// Guards against metadata that is lost at a hop, and against a node that does not learn from forwarded
// requests that another node has a newer bundle.
func TestForwardCarriesMetadata(t *testing.T) {
	type seen struct {
		version uint64
		peer    instance.ID
	}
	var atServer, atClient seen
	proxy := &echoProxy{}
	server := httptest.NewServer(&peerhttp.Server{
		Proxy: proxy, Version: func() uint64 { return 9 },
		OnVersion: func(version uint64, peer instance.ID) { atServer = seen{version, peer} },
	})
	defer server.Close()
	client := peerhttp.NewClient("entry", func(version uint64, peer instance.ID) { atClient = seen{version, peer} })
	req := newRequest(caller.NewBody(strings.NewReader("hello"), 5))
	req.Path, req.Key, req.Depth, req.Fingerprint, req.BundleVersion = "//a/../b?c=%2F", "k", 4, 77, 8
	sent := time.Now()
	answer, _, err := client.Forward(context.Background(), req, instance.Record{ID: "home", PeerAddr: server.Listener.Addr().String()})
	assert.NilError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "hello")
	assert.Equal(t, atServer, seen{8, "entry"})
	assert.Equal(t, atClient, seen{9, "home"})
	got := proxy.got
	assert.Equal(t, got.Path, req.Path)
	assert.Equal(t, got.ID+got.Service+got.Route+got.Class+got.Key, req.ID+req.Service+req.Route+req.Class+req.Key)
	assert.Equal(t, got.Depth, 4)
	assert.Equal(t, got.Attempt, 1)
	assert.Equal(t, got.Fingerprint, uint64(77))
	// The deadline is sent as the time left, so that it is never extended in transit and the margin for the answer is reserved.
	const hopMargin = 2 * time.Millisecond
	assert.Assert(t, proxy.left <= req.Deadline.Sub(sent)-hopMargin, "%v left of %v", proxy.left, req.Deadline.Sub(sent))
}

// Guards against a forward without valid metadata that reaches the upstream.
func TestMalformedForwardIsNotRun(t *testing.T) {
	proxy := &echoProxy{}
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, peerhttp.ForwardPrefix+"/x", nil)
	request.Header.Set("Magnoliawharf-Call", "1&nonsense")
	(&peerhttp.Server{Proxy: proxy}).ServeHTTP(recorder, request)
	assert.Equal(t, recorder.Code, http.StatusBadRequest)
	assert.Equal(t, recorder.Header().Get("Magnoliawharf-Ran"), "not-run")
	assert.Assert(t, proxy.got == nil)
}
