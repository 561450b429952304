package transport_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

// Guards against claims of keys, probes and bundles that wait for their timeout on a kept connection that has fallen silent.
func TestControlConnectionsAreProbed(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	client := transport.NewControlClient()
	t.Cleanup(client.Close)
	sockets.AssertProbed(t, func(ctx context.Context) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, http.NoBody)
		assert.NilError(t, err)
		response, err := client.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	})
}
