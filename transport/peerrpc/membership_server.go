package peerrpc

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	pb "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1/magnoliawharfv1connect"
	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

// membershipServer passes the messages of other nodes to a datacentre.Receiver, which validates them.
type membershipServer struct{ receiver datacentre.Receiver }

// NewMembershipHandler returns the path prefix and the handler that pass membership messages to the receiver.
func NewMembershipHandler(receiver datacentre.Receiver) (string, http.Handler) {
	path, handler := magnoliawharfv1connect.NewMembershipServiceHandler(
		membershipServer{receiver}, connect.WithReadMaxBytes(memberMaxMessageBytes), connect.WithCompression("gzip", nil, nil),
	)
	return path, memberOmitDateHeader(handler)
}

// memberOmitDateHeader removes the Date field from responses, since no node uses it.
func memberOmitDateHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// Sync implements magnoliawharfv1connect.MembershipServiceHandler.
func (s membershipServer) Sync(ctx context.Context, r *connect.Request[pb.SyncRequest]) (*connect.Response[pb.SyncResponse], error) {
	response, err := s.receiver.ReceiveSync(ctx, datacentre.SyncRequest{
		Sender: memberSenderFromWire(r.Msg.GetSender()), Root: r.Msg.GetRoot(), Stale: memberContactsFromWire(r.Msg.GetStale()),
	})
	if err != nil {
		return nil, memberConnectError(err)
	}
	return connect.NewResponse(memberSyncResponseToWire(response)), nil
}

// Push implements magnoliawharfv1connect.MembershipServiceHandler.
func (s membershipServer) Push(ctx context.Context, r *connect.Request[pb.PushRequest]) (*connect.Response[pb.PushResponse], error) {
	response, err := s.receiver.ReceivePush(ctx, memberPushFromWire(r.Msg))
	if err != nil {
		return nil, memberConnectError(err)
	}
	return connect.NewResponse(&pb.PushResponse{
		Sender:  memberSenderToWire(response.Sender),
		Wanted:  memberIndexesToWire(response.Wanted),
		Pending: memberIndexesToWire(response.Pending),
	}), nil
}

// Pull implements magnoliawharfv1connect.MembershipServiceHandler.
func (s membershipServer) Pull(ctx context.Context, r *connect.Request[pb.PullRequest]) (*connect.Response[pb.PullResponse], error) {
	response, err := s.receiver.ReceivePull(ctx, datacentre.PullRequest{
		Sender: memberSenderFromWire(r.Msg.GetSender()), DataCentre: r.Msg.GetDataCentre(), Buckets: r.Msg.GetBuckets(),
	})
	if err != nil {
		return nil, memberConnectError(err)
	}
	return connect.NewResponse(&pb.PullResponse{
		Sender: memberSenderToWire(response.Sender), Records: memberRecordsToWire(response.Records),
	}), nil
}

// Ping implements magnoliawharfv1connect.MembershipServiceHandler.
func (s membershipServer) Ping(ctx context.Context, r *connect.Request[pb.PingRequest]) (*connect.Response[pb.PingResponse], error) {
	response, err := s.receiver.ReceivePing(ctx, datacentre.PingRequest{Sender: memberSenderFromWire(r.Msg.GetSender())})
	if err != nil {
		return nil, memberConnectError(err)
	}
	return connect.NewResponse(&pb.PingResponse{Sender: memberSenderToWire(response.Sender)}), nil
}

// PingVia implements magnoliawharfv1connect.MembershipServiceHandler.
func (s membershipServer) PingVia(ctx context.Context, r *connect.Request[pb.PingViaRequest]) (*connect.Response[pb.PingViaResponse], error) {
	response, err := s.receiver.ReceivePingVia(ctx, datacentre.PingViaRequest{
		Sender: memberSenderFromWire(r.Msg.GetSender()), Target: instance.ID(r.Msg.GetTarget()), Incarnation: r.Msg.GetTargetIncarnation(),
		Timeout: time.Duration(r.Msg.GetTimeoutMilliseconds()) * time.Millisecond,
	})
	if err != nil {
		return nil, memberConnectError(err)
	}
	return connect.NewResponse(&pb.PingViaResponse{
		Sender: memberSenderToWire(response.Sender), Incarnation: response.Incarnation,
	}), nil
}

// memberConnectError maps an error of the receiver to a Connect code: INVALID_ARGUMENT for a refused message, else
// UNAVAILABLE.
func memberConnectError(err error) error {
	if errorx.IsOfType(err, datacentre.ErrInvalid) {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
