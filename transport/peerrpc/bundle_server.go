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

// BundleHolder has a bundle in force, or nil before there is one.
type BundleHolder interface {
	Snapshot() *bundle.Snapshot
}

var errBundleNotInForce = errors.New("this version is not in force here")

// NewBundleHandler returns the path and the handler that serve the bundle in force to other nodes.
func NewBundleHandler(holder BundleHolder) (string, http.Handler) {
	return magnoliawharfv1connect.NewBundleServiceHandler(&bundleServer{holder}, connect.WithReadMaxBytes(bundleMaxRequest))
}

type bundleServer struct{ holder BundleHolder }

// inForce returns the snapshot, or the error for a node without a bundle or with another version. A
// version of 0 stands for any.
func (s *bundleServer) inForce(version uint64) (*bundle.Snapshot, error) {
	held := s.holder.Snapshot()
	if held == nil || version != 0 && held.Release.Version != version {
		return nil, connect.NewError(connect.CodeNotFound, errBundleNotInForce)
	}
	return held, nil
}

// GetRelease implements the service.
func (s *bundleServer) GetRelease(context.Context, *connect.Request[magnoliawharfv1.GetReleaseRequest]) (*connect.Response[magnoliawharfv1.GetReleaseResponse], error) {
	held, err := s.inForce(0)
	if err != nil {
		return nil, err
	}
	raw, err := held.Release.Encode()
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&magnoliawharfv1.GetReleaseResponse{Release: raw}), nil
}

// GetManifest implements the service.
func (s *bundleServer) GetManifest(_ context.Context, request *connect.Request[magnoliawharfv1.GetManifestRequest]) (*connect.Response[magnoliawharfv1.GetManifestResponse], error) {
	held, err := s.inForce(request.Msg.GetVersion())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&magnoliawharfv1.GetManifestResponse{Manifest: held.Manifest.Encode()}), nil
}

// GetParts implements the service.
func (s *bundleServer) GetParts(_ context.Context, request *connect.Request[magnoliawharfv1.GetPartsRequest]) (*connect.Response[magnoliawharfv1.GetPartsResponse], error) {
	held, err := s.inForce(0)
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
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("hash of another length"))
		}
		hashes[i] = bundle.Hash(raw[i])
	}
	parts, err := held.Parts(hashes, bundleMaxParts)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&magnoliawharfv1.GetPartsResponse{Parts: parts}), nil
}
