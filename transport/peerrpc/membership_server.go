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

// membershipServer translates the messages of other nodes for a datacentre.Receiver.
type membershipServer struct{ receiver datacentre.Receiver }

// NewMembershipHandler returns the path prefix and the handler for messages to the receiver.
func NewMembershipHandler(receiver datacentre.Receiver) (string, http.Handler) {
	path, handler := magnoliawharfv1connect.NewMembershipServiceHandler(
		membershipServer{receiver}, connect.WithReadMaxBytes(memberReadLimit), connect.WithCompression("gzip", nil, nil),
	)
	return path, memberSlimHandler(handler)
}

// memberSlimHandler leaves out the date, which no node uses.
func memberSlimHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// Sync implements magnoliawharfv1connect.MembershipServiceHandler.
func (s membershipServer) Sync(ctx context.Context, r *connect.Request[pb.SyncRequest]) (*connect.Response[pb.SyncResponse], error) {
	response, err := s.receiver.ReceiveSync(ctx, datacentre.SyncRequest{
		Sender: memberSender(r.Msg.GetSender()), Root: r.Msg.GetRoot(), Stale: memberContacts(r.Msg.GetStale()),
	})
	if err != nil {
		return nil, memberCode(err)
	}
	return connect.NewResponse(memberSyncResponseToWire(response)), nil
}

// Push implements magnoliawharfv1connect.MembershipServiceHandler.
func (s membershipServer) Push(ctx context.Context, r *connect.Request[pb.PushRequest]) (*connect.Response[pb.PushResponse], error) {
	response, err := s.receiver.ReceivePush(ctx, memberPush(r.Msg))
	if err != nil {
		return nil, memberCode(err)
	}
	return connect.NewResponse(&pb.PushResponse{
		Sender: memberSenderToWire(response.Sender),
		Wanted: memberMap(response.Wanted, func(index int) uint32 { return uint32(index) }),
	}), nil
}

// Pull implements magnoliawharfv1connect.MembershipServiceHandler.
func (s membershipServer) Pull(ctx context.Context, r *connect.Request[pb.PullRequest]) (*connect.Response[pb.PullResponse], error) {
	response, err := s.receiver.ReceivePull(ctx, datacentre.PullRequest{
		Sender: memberSender(r.Msg.GetSender()), DataCentre: r.Msg.GetDataCentre(), Buckets: r.Msg.GetBuckets(),
	})
	if err != nil {
		return nil, memberCode(err)
	}
	return connect.NewResponse(&pb.PullResponse{
		Sender: memberSenderToWire(response.Sender), Records: memberRecordsToWire(response.Records),
	}), nil
}

// Ping implements magnoliawharfv1connect.MembershipServiceHandler.
func (s membershipServer) Ping(ctx context.Context, r *connect.Request[pb.PingRequest]) (*connect.Response[pb.PingResponse], error) {
	response, err := s.receiver.ReceivePing(ctx, datacentre.PingRequest{Sender: memberSender(r.Msg.GetSender())})
	if err != nil {
		return nil, memberCode(err)
	}
	return connect.NewResponse(&pb.PingResponse{Sender: memberSenderToWire(response.Sender)}), nil
}

// PingVia implements magnoliawharfv1connect.MembershipServiceHandler.
func (s membershipServer) PingVia(ctx context.Context, r *connect.Request[pb.PingViaRequest]) (*connect.Response[pb.PingViaResponse], error) {
	response, err := s.receiver.ReceivePingVia(ctx, datacentre.PingViaRequest{
		Sender: memberSender(r.Msg.GetSender()), Target: instance.ID(r.Msg.GetTarget()), Incarnation: r.Msg.GetTargetIncarnation(),
		Timeout: time.Duration(r.Msg.GetTimeoutMilliseconds()) * time.Millisecond,
	})
	if err != nil {
		return nil, memberCode(err)
	}
	return connect.NewResponse(&pb.PingViaResponse{
		Sender: memberSenderToWire(response.Sender), Incarnation: response.Incarnation,
	}), nil
}

func memberCode(err error) error {
	if errorx.IsOfType(err, datacentre.ErrInvalid) {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
