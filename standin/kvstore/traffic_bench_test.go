package kvstore_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/standin/kvstore"
	"github.com/magnoliawharf/magnoliawharf/standin/traffic"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp"
)

// releaseSize is the size in bytes of a release, the value under the head of the bundle.
const releaseSize = 1096

// BenchmarkTraffic measures the bytes on the wire of the calls that a node makes to the store.
func BenchmarkTraffic(b *testing.B) {
	value := make([]byte, releaseSize)
	for name, run := range map[string]func(b *testing.B, s store.Store){
		"get": func(b *testing.B, s store.Store) {
			swap(b, s, value, 0)
			repeat(b, func() error { _, err := s.Get(b.Context(), "/bundle/head"); return err })
		},
		"list-34": func(b *testing.B, s store.Store) { // the contact addresses of two nodes in each of 17 data centres
			for i := range 34 {
				key := fmt.Sprintf("/contact/kigali-%02d/kigali-%02d-node-%03d", i/2, i/2, i)
				_, err := s.Swap(b.Context(), key, []byte("10.100.200.100:8081"), 0, 0)
				assert.NilError(b, err)
			}
			repeat(b, func() error { _, err := s.List(b.Context(), "/contact/"); return err })
		},
		"renew": func(b *testing.B, s store.Store) {
			id, err := s.GrantLease(b.Context(), time.Minute)
			assert.NilError(b, err)
			repeat(b, func() error { return s.RenewLease(b.Context(), id) })
		},
		"watch-event": func(b *testing.B, s store.Store) {
			events, err := s.Watch(b.Context(), "/bundle/", 0)
			assert.NilError(b, err)
			revision := int64(0)
			repeat(b, func() error { revision = swap(b, s, value, revision); <-events; return nil })
		},
		"swap": func(b *testing.B, s store.Store) {
			revision := int64(0)
			repeat(b, func() error { revision = swap(b, s, value, revision); return nil })
		},
	} {
		b.Run(name, func(b *testing.B) {
			client, counter := startCounted(b)
			run(b, client)
			b.ReportMetric(float64(counter.Total())/float64(b.N), "wirebytes/op")
		})
	}
}

func repeat(b *testing.B, call func() error) {
	for range b.N {
		assert.NilError(b, call())
	}
}

func swap(b *testing.B, s store.Store, value []byte, revision int64) int64 {
	b.Helper()
	next, err := s.Swap(context.Background(), "/bundle/head", value, revision, 0)
	assert.NilError(b, err)
	return next
}

func startCounted(b *testing.B) (store.Store, *traffic.Counter) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	counter := &traffic.Counter{}
	server := &http.Server{Handler: kvstore.NewServer(kvstore.NewMemory()), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(counter.Listener(listener)) }()
	client := kvhttp.NewClient("http://"+listener.Addr().String(), 0)
	b.Cleanup(func() {
		client.Close()
		_ = server.Close()
	})
	return client, counter
}
