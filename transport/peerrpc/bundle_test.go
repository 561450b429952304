package peerrpc_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	magnoliawharfv1 "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1/magnoliawharfv1connect"
	"github.com/magnoliawharf/magnoliawharf/bundle"
	"github.com/magnoliawharf/magnoliawharf/transport/peerrpc"
)

// fixedBundle provides one bundle, or none when snapshot is nil.
type fixedBundle struct{ snapshot *bundle.Snapshot }

func (f *fixedBundle) Snapshot() *bundle.Snapshot { return f.snapshot }

func startBundleServer(t *testing.T, provider *fixedBundle) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(peerrpc.NewBundleHandler(provider))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newSnapshot(t *testing.T, n int) *bundle.Snapshot {
	t.Helper()
	var source strings.Builder
	for i := range n {
		fmt.Fprintf(&source, "[service.s%d]\n[[service.s%d.class]]\nname = \"c\"\n[[service.s%d.route]]\nname = \"r\"\nclass = \"c\"\n", i, i, i)
	}
	contracts, err := bundle.Parse("s.toml", []byte(source.String()))
	assert.NilError(t, err)
	key, err := bundle.GenerateKey(time.Time{})
	assert.NilError(t, err)
	prepared, err := bundle.Prepare(contracts, 7)
	assert.NilError(t, err)
	approved, err := bundle.Approve(prepared, key, time.Now())
	assert.NilError(t, err)
	parts := make(map[bundle.Hash][]byte)
	for _, part := range approved.Parts {
		parts[bundle.HashPart(part)] = part
	}
	snapshot, err := bundle.Apply(nil, approved.Release(nil), approved.Manifest, parts)
	assert.NilError(t, err)
	return snapshot
}

// connectCode returns the Connect code of the response that an error of BundleClient wraps.
func connectCode(err error) connect.Code { return connect.CodeOf(errorx.Cast(err).Cause()) }

// Guards against a bundle that is altered or incomplete after its transfer between two nodes, and against a response other
// than NOT_FOUND from a peer that has no bundle or another version.
func TestBundleFromPeer(t *testing.T) {
	for _, size := range []int{1, 370, 2000} {
		snapshot := newSnapshot(t, size)
		peer := startBundleServer(t, &fixedBundle{snapshot})
		client := peerrpc.NewBundleClient(http.DefaultClient)
		release, err := client.Release(t.Context(), peer)
		assert.NilError(t, err)
		assert.DeepEqual(t, release, snapshot.Release)
		manifest, err := client.Manifest(t.Context(), peer, 7)
		assert.NilError(t, err)
		assert.Equal(t, manifest.Root(), release.Root)
		parts := make(map[bundle.Hash][]byte)
		for missing := bundle.MissingParts(nil, manifest, parts); len(missing) > 0; missing = bundle.MissingParts(nil, manifest, parts) {
			found, err := client.Parts(t.Context(), peer, missing)
			assert.NilError(t, err)
			assert.Assert(t, len(found) > 0)
			for hash, part := range found {
				parts[hash] = part
			}
		}
		received, err := bundle.Apply(nil, release, manifest, parts)
		assert.NilError(t, err)
		assert.Equal(t, len(received.Bundle.Contracts), size)
		_, err = client.Manifest(t.Context(), peer, 8)
		assert.Equal(t, connectCode(err), connect.CodeNotFound)
	}
	_, err := peerrpc.NewBundleClient(http.DefaultClient).Release(t.Context(), startBundleServer(t, &fixedBundle{}))
	assert.Equal(t, connectCode(err), connect.CodeNotFound)
}

// Guards against a request of a peer that costs the node unbounded work or memory.
func TestBundleRequestsAreBounded(t *testing.T) {
	peer := startBundleServer(t, &fixedBundle{newSnapshot(t, 1)})
	client := magnoliawharfv1connect.NewBundleServiceClient(http.DefaultClient, "http://"+peer)
	cases := []struct {
		name   string
		hashes [][]byte
		code   connect.Code
	}{
		{"too many", make([][]byte, 257), connect.CodeInvalidArgument},
		{"wrong length", [][]byte{make([]byte, 31)}, connect.CodeInvalidArgument},
		{"too large", [][]byte{make([]byte, 20<<10)}, connect.CodeResourceExhausted},
	}
	for _, c := range cases {
		_, err := client.GetParts(t.Context(), connect.NewRequest(&magnoliawharfv1.GetPartsRequest{Hashes: c.hashes}))
		assert.Equal(t, connect.CodeOf(err), c.code, c.name)
	}
}

// invalidBundleServer returns an oversized release, a malformed manifest and a part that was not requested.
type invalidBundleServer struct {
	magnoliawharfv1connect.UnimplementedBundleServiceHandler
}

func (invalidBundleServer) GetRelease(context.Context, *connect.Request[magnoliawharfv1.GetReleaseRequest]) (*connect.Response[magnoliawharfv1.GetReleaseResponse], error) {
	return connect.NewResponse(&magnoliawharfv1.GetReleaseResponse{Release: make([]byte, 2<<20)}), nil
}

func (invalidBundleServer) GetManifest(context.Context, *connect.Request[magnoliawharfv1.GetManifestRequest]) (*connect.Response[magnoliawharfv1.GetManifestResponse], error) {
	return connect.NewResponse(&magnoliawharfv1.GetManifestResponse{Manifest: []byte{0xff, 0xff, 0x03}}), nil
}

func (invalidBundleServer) GetParts(context.Context, *connect.Request[magnoliawharfv1.GetPartsRequest]) (*connect.Response[magnoliawharfv1.GetPartsResponse], error) {
	return connect.NewResponse(&magnoliawharfv1.GetPartsResponse{Parts: [][]byte{[]byte("not asked for")}}), nil
}

// Guards against responses of a peer that are used without a check.
func TestBundleClientChecksResponses(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(magnoliawharfv1connect.NewBundleServiceHandler(invalidBundleServer{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	peer := server.Listener.Addr().String()
	client := peerrpc.NewBundleClient(http.DefaultClient)
	_, err := client.Release(t.Context(), peer)
	assert.Equal(t, connectCode(err), connect.CodeResourceExhausted)
	_, err = client.Manifest(t.Context(), peer, 1)
	assert.Assert(t, bundle.Is(err, bundle.ErrMalformed), "got %v", err)
	parts, err := client.Parts(t.Context(), peer, []bundle.Hash{{1}})
	assert.NilError(t, err)
	assert.Equal(t, len(parts), 0)
}
