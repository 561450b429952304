package peerrpc

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	magnoliawharfv1 "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1/magnoliawharfv1connect"
	"github.com/magnoliawharf/magnoliawharf/bundle"
)

// BundleProvider returns the current bundle of a node, or nil before the node has one.
type BundleProvider interface {
	Snapshot() *bundle.Snapshot
}

var errBundleVersionNotHeld = errors.New("the requested bundle version is not the current version of this node")

// NewBundleHandler returns the path prefix and the handler that serve the current bundle to other nodes.
func NewBundleHandler(provider BundleProvider) (string, http.Handler) {
	return magnoliawharfv1connect.NewBundleServiceHandler(&bundleServer{provider}, connect.WithReadMaxBytes(bundleMaxRequestBytes))
}

type bundleServer struct{ provider BundleProvider }

// currentSnapshot returns the current bundle, or a not-found error when the node has none or has another version.
// Version 0 matches any version.
func (s *bundleServer) currentSnapshot(version uint64) (*bundle.Snapshot, error) {
	current := s.provider.Snapshot()
	if current == nil || version != 0 && current.Release.Version != version {
		return nil, connect.NewError(connect.CodeNotFound, errBundleVersionNotHeld)
	}
	return current, nil
}

// GetRelease implements magnoliawharfv1connect.BundleServiceHandler.
func (s *bundleServer) GetRelease(context.Context, *connect.Request[magnoliawharfv1.GetReleaseRequest]) (*connect.Response[magnoliawharfv1.GetReleaseResponse], error) {
	current, err := s.currentSnapshot(0)
	if err != nil {
		return nil, err
	}
	raw, err := current.Release.Encode()
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&magnoliawharfv1.GetReleaseResponse{Release: raw}), nil
}

// GetManifest implements magnoliawharfv1connect.BundleServiceHandler.
func (s *bundleServer) GetManifest(_ context.Context, request *connect.Request[magnoliawharfv1.GetManifestRequest]) (*connect.Response[magnoliawharfv1.GetManifestResponse], error) {
	current, err := s.currentSnapshot(request.Msg.GetVersion())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&magnoliawharfv1.GetManifestResponse{Manifest: current.Manifest.Encode()}), nil
}

// GetParts implements magnoliawharfv1connect.BundleServiceHandler.
func (s *bundleServer) GetParts(_ context.Context, request *connect.Request[magnoliawharfv1.GetPartsRequest]) (*connect.Response[magnoliawharfv1.GetPartsResponse], error) {
	current, err := s.currentSnapshot(0)
	if err != nil {
		return nil, err
	}
	raw := request.Msg.GetHashes()
	if len(raw) > bundleMaxHashes {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("too many hashes"))
	}
	hashes := make([]bundle.Hash, len(raw))
	for i := range raw {
		if len(raw[i]) != len(hashes[i]) {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("hash has the wrong length"))
		}
		hashes[i] = bundle.Hash(raw[i])
	}
	parts, err := current.Parts(hashes, bundleMaxPartsBytes)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&magnoliawharfv1.GetPartsResponse{Parts: parts}), nil
}
