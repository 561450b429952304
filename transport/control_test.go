package transport_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/answerhead"
)

// Guards against claims of keys, probes and bundles that wait for their timeout on a kept connection that has fallen silent.
func TestControlConnectionsAreProbed(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	client := transport.NewControlClient()
	t.Cleanup(client.Close)
	sockets.AssertProbed(t, func(ctx context.Context) { assert.NilError(t, get(ctx, t, &client.Client, server.URL)) })
}

// Guards against a node whose memory is taken up by the header of a response that another process sends without end.
func TestControlResponseHeaderIsBounded(t *testing.T) {
	pooled := transport.NewControlClient()
	t.Cleanup(pooled.Close)
	for name, client := range map[string]*http.Client{"pooled": &pooled.Client, "single use": transport.NewSingleUseClient()} {
		t.Run(name, func(t *testing.T) {
			sockets.AssertHeaderBounded(t, func(addr string) error { return get(t.Context(), t, client, "http://"+addr) })
		})
	}
}

// Guards against contracts that a node fetches from an answer without a valid status line.
func TestSingleUseClientChecksTheStatusLine(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = conn.Write([]byte("HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n"))
			_ = conn.Close()
		}
	}))
	t.Cleanup(server.Close)
	assert.ErrorIs(t, get(t.Context(), t, transport.NewSingleUseClient(), server.URL), answerhead.ErrStatusLine)
}

// Guards against contracts, bundles, claims of keys and probes that a node reads from an answer without a valid head.
func TestControlClientsCheckTheHead(t *testing.T) {
	pooled := transport.NewControlClient()
	t.Cleanup(pooled.Close)
	for name, client := range map[string]*http.Client{"pooled": &pooled.Client, "single use": transport.NewSingleUseClient()} {
		t.Run(name, func(t *testing.T) {
			sockets.AssertInvalidHeadsRefused(t, "text/plain", "", func(addr string) error { return get(t.Context(), t, client, "http://"+addr) })
		})
	}
}

// get sends a request and returns its error.
func get(ctx context.Context, t *testing.T, client *http.Client, url string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	assert.NilError(t, err)
	response, err := client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}
