package peerrpc

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	api "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1/magnoliawharfv1connect"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
)

// IdempotencyKeeper answers the messages of at-most-once execution.
type IdempotencyKeeper interface {
	Claim(idempotency.ClaimRequest) idempotency.ClaimReply
	Settle(idempotency.SettleRequest) idempotency.SettleReply
	Grant(idempotency.GrantRequest) idempotency.GrantReply
	Seal(idempotency.SealRequest) idempotency.SealReply
	TakeOver(idempotency.Chunk) bool
	Join(idempotency.JoinRequest) bool
	GroupInfo(idempotency.InfoRequest) *idempotency.Record
}

type idempotencyServer struct{ keeper IdempotencyKeeper }

// NewIdempotencyHandler returns the path prefix and the handler of the messages for the keeper.
func NewIdempotencyHandler(keeper IdempotencyKeeper) (string, http.Handler) {
	return magnoliawharfv1connect.NewIdempotencyServiceHandler(&idempotencyServer{keeper: keeper},
		connect.WithReadMaxBytes(idempotencyMaxMessage))
}

// idempotencyRefused is the error for a message that is out of bounds.
func idempotencyRefused(err error) error { return connect.NewError(connect.CodeInvalidArgument, err) }

// Claim implements the service.
func (s *idempotencyServer) Claim(_ context.Context, in *connect.Request[api.ClaimRequest]) (*connect.Response[api.ClaimResponse], error) {
	var r idempotencyReader
	request := idempotency.ClaimRequest{
		Service: r.name(in.Msg.GetService()), Epoch: in.Msg.GetEpoch(), To: r.identity(in.Msg.GetTo()),
		Key: r.key(in.Msg.GetKey()), Attempt: r.attempt(in.Msg.GetAttempt()), TimeLeft: r.duration(in.Msg.GetTimeLeftUs()),
	}
	if err := r.err(); err != nil {
		return nil, idempotencyRefused(err)
	}
	reply := s.keeper.Claim(request)
	return connect.NewResponse(&api.ClaimResponse{
		Verdict: api.Verdict(reply.Verdict), Answer: idempotencyAnswer(reply.Answer), Group: idempotencyGroup(reply.Group),
	}), nil
}

// Settle implements the service.
func (s *idempotencyServer) Settle(_ context.Context, in *connect.Request[api.SettleRequest]) (*connect.Response[api.SettleResponse], error) {
	var r idempotencyReader
	request := idempotency.SettleRequest{
		Service: r.name(in.Msg.GetService()), Epoch: in.Msg.GetEpoch(), To: r.identity(in.Msg.GetTo()),
		Key: r.key(in.Msg.GetKey()), Attempt: r.attempt(in.Msg.GetAttempt()),
		Outcome: idempotency.Outcome(min(max(in.Msg.GetOutcome(), 0), 255)), Answer: r.answer(in.Msg.GetAnswer()),
	}
	r.check(request.Outcome.Valid())
	if err := r.err(); err != nil {
		return nil, idempotencyRefused(err)
	}
	reply := s.keeper.Settle(request)
	return connect.NewResponse(&api.SettleResponse{Accepted: reply.Accepted, Group: idempotencyGroup(reply.Group)}), nil
}

// Grant implements the service.
func (s *idempotencyServer) Grant(_ context.Context, in *connect.Request[api.GrantRequest]) (*connect.Response[api.GrantResponse], error) {
	var r idempotencyReader
	request := idempotency.GrantRequest{
		Service: r.name(in.Msg.GetService()), Epoch: in.Msg.GetEpoch(), From: r.identity(in.Msg.GetFrom()),
		To: r.identity(in.Msg.GetTo()), Ceiling: in.Msg.GetCeilingMs(),
	}
	if err := r.err(); err != nil {
		return nil, idempotencyRefused(err)
	}
	reply := s.keeper.Grant(request)
	return connect.NewResponse(&api.GrantResponse{Granted: reply.Granted, Present: reply.Present, Group: idempotencyGroup(reply.Group)}), nil
}

// Seal implements the service.
func (s *idempotencyServer) Seal(_ context.Context, in *connect.Request[api.SealRequest]) (*connect.Response[api.SealResponse], error) {
	var r idempotencyReader
	request := idempotency.SealRequest{
		Service: r.name(in.Msg.GetService()), Epoch: in.Msg.GetEpoch(),
		From: r.identity(in.Msg.GetFrom()), To: r.identity(in.Msg.GetTo()),
	}
	if err := r.err(); err != nil {
		return nil, idempotencyRefused(err)
	}
	return connect.NewResponse(idempotencySealResponse(s.keeper.Seal(request))), nil
}

// HandOver implements the service.
func (s *idempotencyServer) HandOver(_ context.Context, in *connect.Request[api.HandOverRequest]) (*connect.Response[api.HandOverResponse], error) {
	var r idempotencyReader
	chunk := r.chunk(in.Msg)
	if err := r.err(); err != nil {
		return nil, idempotencyRefused(err)
	}
	return connect.NewResponse(&api.HandOverResponse{Accepted: s.keeper.TakeOver(chunk)}), nil
}

// Join implements the service.
func (s *idempotencyServer) Join(_ context.Context, in *connect.Request[api.JoinRequest]) (*connect.Response[api.JoinResponse], error) {
	var r idempotencyReader
	request := idempotency.JoinRequest{Service: r.name(in.Msg.GetService()), To: r.identity(in.Msg.GetTo())}
	if err := r.err(); err != nil {
		return nil, idempotencyRefused(err)
	}
	return connect.NewResponse(&api.JoinResponse{Willing: s.keeper.Join(request)}), nil
}

// GroupInfo implements the service.
func (s *idempotencyServer) GroupInfo(_ context.Context, in *connect.Request[api.GroupInfoRequest]) (*connect.Response[api.GroupInfoResponse], error) {
	var r idempotencyReader
	request := idempotency.InfoRequest{Service: r.name(in.Msg.GetService()), Tell: r.group(in.Msg.GetTell())}
	if err := r.err(); err != nil {
		return nil, idempotencyRefused(err)
	}
	record := s.keeper.GroupInfo(request)
	return connect.NewResponse(&api.GroupInfoResponse{Group: idempotencyGroup(record)}), nil
}
