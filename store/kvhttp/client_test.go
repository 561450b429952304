package kvhttp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp"
)

// Guards against a watch that misses changes for half a minute, since its connection has fallen silent.
func TestStoreConnectionsAreProbed(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	client := kvhttp.NewClient(server.URL, 0)
	t.Cleanup(client.Close)
	sockets.AssertProbed(t, func(ctx context.Context) { _, _ = client.Get(ctx, "/k") })
}

// Guards against contents of the store that are read from a response without a valid head.
func TestStoreResponsesNeedAValidHead(t *testing.T) {
	const found = `{"header":{"revision":"9"},"kvs":[{"mod_revision":"9","version":"1"}]}`
	sockets.AssertInvalidHeadsRefused(t, "application/json", found, func(addr string) error {
		client := kvhttp.NewClient("http://"+addr, 0)
		t.Cleanup(client.Close)
		_, err := client.Get(t.Context(), "/k")
		return err
	})
}

// Guards against a misinterpreted response of the gateway, above all a write that may have taken effect and
// is reported as one that has not.
func TestGatewayResponses(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		read   *errorx.Type
		write  *errorx.Type
	}{
		{"bad request", 400, `{"code":3,"message":"bad request"}`, store.ErrUnavailable, store.ErrUnavailable},
		{"too many calls", 429, `{"code":8,"message":"slow down"}`, store.ErrUnavailable, store.ErrUnavailable},
		{"unavailable", 503, `{"code":14,"message":"no leader"}`, store.ErrUnavailable, store.ErrUncertain},
		{"gateway without JSON", 502, `<html>`, store.ErrUnavailable, store.ErrUncertain},
		{"truncated", 200, `{"header":{"revision":"7"`, store.ErrUnavailable, store.ErrUncertain},
		{"not JSON", 200, `OK`, store.ErrUnavailable, store.ErrUncertain},
		{"number not encoded as string", 200, `{"header":{"revision":7},"kvs":[{"mod_revision":7}]}`, store.ErrUnavailable, store.ErrUncertain},
		{"lease not found", 404, `{"code":5,"message":"requested lease not found"}`, store.ErrLeaseLapsed, store.ErrLeaseLapsed},
		{"empty", 200, `{}`, store.ErrNotFound, store.ErrConflict},
		{"unknown fields", 200, `{"header":{"cluster_id":"1","revision":"9"},"succeeded":true,"kvs":[{"mod_revision":"9","version":"1"}],"more":false}`, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer server.Close()
			client := kvhttp.NewClient(server.URL, 0)
			defer client.Close()
			entry, readErr := client.Get(t.Context(), "/k")
			revision, writeErr := client.Swap(t.Context(), "/k", nil, 8, 0)
			if c.read == nil {
				assert.NilError(t, readErr)
				assert.NilError(t, writeErr)
				assert.Equal(t, entry.Revision, int64(9))
				assert.Equal(t, revision, int64(9))
				return
			}
			assert.Assert(t, store.Is(readErr, c.read), "got %v", readErr)
			assert.Assert(t, store.Is(writeErr, c.write), "got %v", writeErr)
		})
	}
}

// Guards against a watch that is reported as established although the gateway did not create it.
func TestWatchNotCreated(t *testing.T) {
	for _, body := range []string{``, `{"result":{}}`, `{"error":{"code":14,"message":"no leader"}}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		_, err := kvhttp.NewClient(server.URL, 0).Watch(t.Context(), "/k", 0)
		server.Close()
		assert.Assert(t, store.Is(err, store.ErrUnavailable), "got %v", err)
		step, _ := errorx.ExtractProperty(err, store.PropertyOperation)
		peer, _ := errorx.ExtractProperty(err, store.PropertyPeer)
		assert.Equal(t, step, "watch /k")
		assert.Equal(t, peer, server.URL)
	}
}

// Guards against a node whose memory is taken up by a message of a watch that does not end.
func TestEndlessWatchMessagesAreBounded(t *testing.T) {
	const (
		endless = 128 << 20 // bytes that the gateway sends
		maxRead = 64 << 20  // in bytes, with what the kernel buffers
	)
	block := strings.Repeat("x", 32<<10)
	for name, begin := range map[string]string{"first message": `{"result":{"x":"`, "later message": `{"result":{"created":true}}` + "\n" + `{"result":{"x":"`} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := io.WriteString(w, begin)
				for err == nil && written.Load() < endless {
					_, err = io.WriteString(w, block)
					written.Add(int64(len(block)))
				}
			}))
			defer server.Close()
			events, err := kvhttp.NewClient(server.URL, 20*time.Second).Watch(t.Context(), "/k", 0)
			if err == nil {
				for range events {
				}
			}
			assert.Check(t, written.Load() < maxRead, "%d bytes were written", written.Load())
		})
	}
}

// Guards against a node whose memory is taken up by the header of a response that another process sends.
func TestResponseHeaderIsBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 1<<20))
	}))
	t.Cleanup(server.Close)
	client := kvhttp.NewClient(server.URL, 0)
	t.Cleanup(client.Close)
	_, err := client.Get(t.Context(), "/k")
	assert.ErrorContains(t, err, "exceeded")
}
