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
	// bundleMaxHashes bounds the parts asked for in one request.
	bundleMaxHashes = 256
	// bundleMaxParts bounds the bytes of parts in one answer. One part of the largest size fits.
	bundleMaxParts = 1 << 20
	// bundleMaxRequest bounds a request: the hashes with their framing.
	bundleMaxRequest = 16 << 10
	// bundleMaxAnswer bounds an answer: the parts with their framing.
	bundleMaxAnswer = bundleMaxParts + bundle.MaxPartBytes
)

// errBundlePeer is the failure to read a bundle from a peer.
var errBundlePeer = errorx.NewNamespace("peerrpc").NewType("bundle_peer", errorx.Temporary())

// BundleClient reads bundles from other nodes. It implements bundle.PeerClient.
type BundleClient struct{ http connect.HTTPClient }

var _ bundle.PeerClient = (*BundleClient)(nil)

// NewBundleClient returns a client that uses the HTTP client, whose connections it shares.
func NewBundleClient(http connect.HTTPClient) *BundleClient { return &BundleClient{http: http} }

func (c *BundleClient) at(peer string) magnoliawharfv1connect.BundleServiceClient {
	return magnoliawharfv1connect.NewBundleServiceClient(c.http, "http://"+peer, connect.WithReadMaxBytes(bundleMaxAnswer))
}

// Release implements bundle.PeerClient.
func (c *BundleClient) Release(ctx context.Context, peer string) (*bundle.Release, error) {
	response, err := c.at(peer).GetRelease(ctx, connect.NewRequest(&magnoliawharfv1.GetReleaseRequest{}))
	if err != nil {
		return nil, errBundlePeer.Wrap(err, "get release from %s", peer)
	}
	return bundle.DecodeRelease(response.Msg.GetRelease())
}

// Manifest implements bundle.PeerClient.
func (c *BundleClient) Manifest(ctx context.Context, peer string, version uint64) (bundle.Manifest, error) {
	request := connect.NewRequest(&magnoliawharfv1.GetManifestRequest{Version: version})
	response, err := c.at(peer).GetManifest(ctx, request)
	if err != nil {
		return nil, errBundlePeer.Wrap(err, "get manifest %d from %s", version, peer)
	}
	return bundle.DecodeManifest(response.Msg.GetManifest())
}

// Parts implements bundle.PeerClient. It asks for the first hashes when there are many. Parts that
// were not asked for are dropped.
func (c *BundleClient) Parts(ctx context.Context, peer string, hashes []bundle.Hash) (map[bundle.Hash][]byte, error) {
	asked := make(map[bundle.Hash]bool, bundleMaxHashes)
	request := &magnoliawharfv1.GetPartsRequest{}
	for _, hash := range hashes[:min(len(hashes), bundleMaxHashes)] {
		asked[hash] = true
		request.Hashes = append(request.Hashes, hash[:])
	}
	response, err := c.at(peer).GetParts(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errBundlePeer.Wrap(err, "get %d parts from %s", len(request.Hashes), peer)
	}
	parts := make(map[bundle.Hash][]byte, len(response.Msg.GetParts()))
	for _, part := range response.Msg.GetParts() {
		if hash := bundle.HashPart(part); asked[hash] {
			parts[hash] = part
		}
	}
	return parts, nil
}
