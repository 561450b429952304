package peerrpc_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/standin/sockets"
	"github.com/magnoliawharf/magnoliawharf/transport/peerrpc"
)

// Guards against membership messages that wait for their timeout on a kept connection that has fallen silent, so that a node
// that runs is taken for gone.
func TestMembershipConnectionsAreProbed(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	messenger := peerrpc.NewMembershipMessenger(nil)
	t.Cleanup(messenger.Close)
	sockets.AssertProbed(t, func(ctx context.Context) {
		_, _ = messenger.Ping(ctx, strings.TrimPrefix(server.URL, "http://"), datacentre.PingRequest{}) // not found
	})
}

// Guards against a node whose memory is taken up by the header of a response that another process sends.
func TestMembershipResponseHeaderIsBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 1<<20))
	}))
	t.Cleanup(server.Close)
	messenger := peerrpc.NewMembershipMessenger(nil)
	t.Cleanup(messenger.Close)
	_, err := messenger.Ping(t.Context(), strings.TrimPrefix(server.URL, "http://"), datacentre.PingRequest{})
	assert.ErrorContains(t, err, "exceeded")
}

// Guards against a member that counts as reached by an answer without a valid head.
func TestMembershipResponsesNeedAValidHead(t *testing.T) {
	messenger := peerrpc.NewMembershipMessenger(nil)
	t.Cleanup(messenger.Close)
	sockets.AssertInvalidHeadsRefused(t, "application/proto", "", func(addr string) error {
		_, err := messenger.Ping(t.Context(), addr, datacentre.PingRequest{})
		return err
	})
}
