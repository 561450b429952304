package peerrpc_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/transport/peerrpc"
)

// echo is a datacentre.Receiver that records the request and returns a fixed response.
type echo struct {
	got any
	err error
}

var (
	contractSender = datacentre.Sender{ID: "b", Incarnation: 7, StateVersion: 2, BundleVersion: 9}
	contractRecord = instance.Record{
		ID: "a", Incarnation: 5, DataCentre: "kigali-1", Region: "kigali", CallerAddr: "10.0.0.1:80", PeerAddr: "10.0.0.1:7000",
		Service: "ledger", State: instance.Draining, Slots: 12, StateVersion: 3,
	}
	contractSync = datacentre.SyncResponse{
		Sender: contractSender, Root: 3, Digests: []datacentre.Digest{{DataCentre: "kigali-1", Digest: 4}},
		Contacts: []datacentre.Contact{{DataCentre: "kigali-2", Age: time.Minute}}, Newer: &contractRecord, Behind: true,
	}
	contractPush = datacentre.PushResponse{Sender: contractSender, Wanted: []int{0, 2}, Pending: []int{1}}
	contractPull = datacentre.PullResponse{Sender: contractSender, Records: []instance.Record{contractRecord}}
	contractPing = datacentre.PingResponse{Sender: contractSender}
	contractVia  = datacentre.PingViaResponse{Sender: contractSender, Incarnation: 5}
)

func (e *echo) ReceiveSync(_ context.Context, r datacentre.SyncRequest) (datacentre.SyncResponse, error) {
	e.got = r
	return contractSync, e.err
}

func (e *echo) ReceivePush(_ context.Context, r datacentre.PushRequest) (datacentre.PushResponse, error) {
	e.got = r
	return contractPush, e.err
}

func (e *echo) ReceivePull(_ context.Context, r datacentre.PullRequest) (datacentre.PullResponse, error) {
	e.got = r
	return contractPull, e.err
}

func (e *echo) ReceivePing(_ context.Context, r datacentre.PingRequest) (datacentre.PingResponse, error) {
	e.got = r
	return contractPing, e.err
}

func (e *echo) ReceivePingVia(_ context.Context, r datacentre.PingViaRequest) (datacentre.PingViaResponse, error) {
	e.got = r
	return contractVia, e.err
}

func contractCalls(m datacentre.Messenger, addr string) map[string]func(context.Context) (sent, want, got any, err error) {
	sender := datacentre.Sender{ID: "a", Incarnation: 5, StateVersion: 1, BundleVersion: 8}
	return map[string]func(context.Context) (sent, want, got any, err error){
		"Sync": func(ctx context.Context) (any, any, any, error) {
			r := datacentre.SyncRequest{Sender: sender, Root: 1, Stale: []datacentre.Contact{{DataCentre: "kigali-2", Age: time.Hour}}}
			got, err := m.Sync(ctx, addr, r)
			return r, contractSync, got, err
		},
		"Push": func(ctx context.Context) (any, any, any, error) {
			r := datacentre.PushRequest{
				Sender: sender, Records: []instance.Record{contractRecord}, Offers: []datacentre.Offer{{Topic: "release", ID: "2"}},
				Broadcasts: []datacentre.Broadcast{{Topic: "release", ID: "1", From: "c", DataCentre: "kigali-1", Payload: []byte("x")}},
			}
			got, err := m.Push(ctx, addr, r)
			return r, contractPush, got, err
		},
		"Pull": func(ctx context.Context) (any, any, any, error) {
			r := datacentre.PullRequest{Sender: sender, DataCentre: "kigali-1", Buckets: []uint64{1, 0, 3}}
			got, err := m.Pull(ctx, addr, r)
			return r, contractPull, got, err
		},
		"Ping": func(ctx context.Context) (any, any, any, error) {
			r := datacentre.PingRequest{Sender: sender}
			got, err := m.Ping(ctx, addr, r)
			return r, contractPing, got, err
		},
		"PingVia": func(ctx context.Context) (any, any, any, error) {
			r := datacentre.PingViaRequest{Sender: sender, Target: "c", Incarnation: 4, Timeout: 300 * time.Millisecond}
			got, err := m.PingVia(ctx, addr, r)
			return r, contractVia, got, err
		},
	}
}

// Guards against fields that are lost or altered in transit, and against faults of the peer that are taken for a response
// or block the sender past its deadline.
func TestMembershipMessengerContract(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	receiver := &echo{}
	path, handler := peerrpc.NewMembershipHandler(receiver)
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		refusal error
		fails   bool
	}{
		"healthy peer":      {handler: handler.ServeHTTP},
		"peer refuses":      {handler: handler.ServeHTTP, refusal: datacentre.ErrInvalid.New("sender"), fails: true},
		"peer not joined":   {handler: handler.ServeHTTP, refusal: datacentre.ErrUnreachable.New("not joined"), fails: true},
		"peer is silent":    {handler: func(http.ResponseWriter, *http.Request) { <-release }, fails: true},
		"not found":         {handler: http.NotFound, fails: true},
		"connection breaks": {handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, fails: true},
		"garbage": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = w.Write([]byte(strings.Repeat("\xff", 64)))
		}, fails: true},
		"response too large": {handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = w.Write(bytes.Repeat([]byte{0x0a, 0x00}, 2<<20))
		}, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.Handle(path, c.handler)
			server := httptest.NewServer(mux)
			defer server.CloseClientConnections()
			messenger := peerrpc.NewMembershipMessenger(nil)
			defer messenger.Close()
			receiver.err = c.refusal
			for call, send := range contractCalls(messenger, server.Listener.Addr().String()) {
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				sent, want, got, err := send(ctx)
				cancel()
				if c.fails {
					assert.Assert(t, errorx.IsOfType(err, datacentre.ErrUnreachable), "%s: %v", call, err)
					continue
				}
				assert.NilError(t, err, call)
				assert.DeepEqual(t, receiver.got, sent)
				assert.DeepEqual(t, got, want)
			}
		})
	}
}
