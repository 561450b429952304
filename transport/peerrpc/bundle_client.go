package peerrpc

import (
	"context"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	magnoliawharfv1 "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1/magnoliawharfv1connect"
	"github.com/magnoliawharf/magnoliawharf/bundle"
)

const (
	// bundleMaxHashes limits the number of parts in one request.
	bundleMaxHashes = 256
	// bundleMaxPartsBytes limits the total size of the parts in one response. One part of the largest size fits.
	bundleMaxPartsBytes = 1 << 20
	// bundleMaxRequestBytes limits a request: the hashes with their framing.
	bundleMaxRequestBytes = 16 << 10
	// bundleMaxResponseBytes limits a response: the parts with their framing.
	bundleMaxResponseBytes = bundleMaxPartsBytes + bundle.MaxPartBytes
)

// errBundlePeer is the error type of a failed bundle request to a peer.
var errBundlePeer = errorx.NewNamespace("peerrpc").NewType("bundle_peer", errorx.Temporary())

// BundleClient fetches bundles from other nodes. It implements bundle.PeerClient.
type BundleClient struct{ http connect.HTTPClient }

var _ bundle.PeerClient = (*BundleClient)(nil)

// NewBundleClient returns a client that sends its requests through http and shares its connections.
func NewBundleClient(http connect.HTTPClient) *BundleClient { return &BundleClient{http: http} }

func (c *BundleClient) client(peer string) magnoliawharfv1connect.BundleServiceClient {
	return magnoliawharfv1connect.NewBundleServiceClient(c.http, "http://"+peer, connect.WithReadMaxBytes(bundleMaxResponseBytes))
}

// Release implements bundle.PeerClient.
func (c *BundleClient) Release(ctx context.Context, peer string) (*bundle.Release, error) {
	response, err := c.client(peer).GetRelease(ctx, connect.NewRequest(&magnoliawharfv1.GetReleaseRequest{}))
	if err != nil {
		return nil, errBundlePeer.Wrap(err, "fetch release from %s", peer)
	}
	return bundle.DecodeRelease(response.Msg.GetRelease())
}

// Manifest implements bundle.PeerClient.
func (c *BundleClient) Manifest(ctx context.Context, peer string, version uint64) (bundle.Manifest, error) {
	request := connect.NewRequest(&magnoliawharfv1.GetManifestRequest{Version: version})
	response, err := c.client(peer).GetManifest(ctx, request)
	if err != nil {
		return nil, errBundlePeer.Wrap(err, "fetch manifest of version %d from %s", version, peer)
	}
	return bundle.DecodeManifest(response.Msg.GetManifest())
}

// Parts implements bundle.PeerClient. It requests at most the first bundleMaxHashes hashes and ignores parts in the
// response that were not requested.
func (c *BundleClient) Parts(ctx context.Context, peer string, hashes []bundle.Hash) (map[bundle.Hash][]byte, error) {
	requested := make(map[bundle.Hash]bool, bundleMaxHashes)
	request := &magnoliawharfv1.GetPartsRequest{}
	for _, hash := range hashes[:min(len(hashes), bundleMaxHashes)] {
		requested[hash] = true
		request.Hashes = append(request.Hashes, hash[:])
	}
	response, err := c.client(peer).GetParts(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errBundlePeer.Wrap(err, "fetch %d parts from %s", len(request.Hashes), peer)
	}
	parts := make(map[bundle.Hash][]byte, len(response.Msg.GetParts()))
	for _, part := range response.Msg.GetParts() {
		if hash := bundle.HashPart(part); requested[hash] {
			parts[hash] = part
		}
	}
	return parts, nil
}
