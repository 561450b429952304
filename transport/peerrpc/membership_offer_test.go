package peerrpc_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/transport/peerrpc"
)

func pushTo(t *testing.T, path string, handler http.Handler) func(context.Context, datacentre.PushRequest) (datacentre.PushResponse, error) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	messenger := peerrpc.NewMembershipMessenger(nil)
	t.Cleanup(messenger.Close)
	return func(ctx context.Context, req datacentre.PushRequest) (datacentre.PushResponse, error) {
		return messenger.Push(ctx, server.Listener.Addr().String(), req)
	}
}

// Guards against a response of an older version, which has no pending offers, that is refused or read as one that has.
func TestPushResponseOfOlderVersion(t *testing.T) {
	var sender []byte
	sender = protowire.AppendTag(sender, 1, protowire.BytesType)
	sender = protowire.AppendString(sender, "b")
	sender = protowire.AppendTag(sender, 2, protowire.Fixed64Type)
	sender = protowire.AppendFixed64(sender, 7)
	var response []byte
	response = protowire.AppendTag(response, 1, protowire.BytesType)
	response = protowire.AppendBytes(response, sender)
	response = protowire.AppendTag(response, 2, protowire.BytesType)
	response = protowire.AppendBytes(response, []byte{0, 2})

	path, _ := peerrpc.NewMembershipHandler(&echo{})
	push := pushTo(t, path, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		_, _ = w.Write(response)
	}))
	got, err := push(t.Context(), datacentre.PushRequest{Sender: contractSender})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, datacentre.PushResponse{Sender: datacentre.Sender{ID: "b", Incarnation: 7}, Wanted: []int{0, 2}})
}

// Guards against a payload that is requested from a holder that has given up waiting for the answer, instead of from one
// that still waits.
func TestPayloadIsRequestedFromWaitingHolder(t *testing.T) {
	self := contractRecord
	member := datacentre.New(datacentre.Config{Self: self, Fleet: instance.NewFleet()})
	path, handler := peerrpc.NewMembershipHandler(member)
	push := pushTo(t, path, handler)
	offer := func(ctx context.Context, id instance.ID) (datacentre.PushResponse, error) {
		return push(ctx, datacentre.PushRequest{
			Sender: datacentre.Sender{ID: id, Incarnation: 1}, Offers: []datacentre.Offer{{Topic: "release", ID: "1"}},
		})
	}
	first, err := offer(t.Context(), "first")
	assert.NilError(t, err)
	assert.DeepEqual(t, first.Wanted, []int{0})

	// A deadline would travel with the message, so that the answer comes in time.
	givesUp, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = offer(givesUp, "gives up")
	assert.Assert(t, err != nil)

	second, err := offer(t.Context(), "second")
	assert.NilError(t, err)
	assert.DeepEqual(t, second.Wanted, []int{0})
}
