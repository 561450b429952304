package peerrpc

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	api "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1/magnoliawharfv1connect"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
)

// IdempotencyKeeper handles the messages of at-most-once execution that other nodes send to this one.
type IdempotencyKeeper interface {
	Claim(idempotency.ClaimRequest) idempotency.ClaimReply
	Settle(idempotency.SettleRequest) idempotency.SettleReply
	Grant(idempotency.GrantRequest) idempotency.GrantReply
	Seal(idempotency.SealRequest) idempotency.SealReply
	AcceptHandOver(idempotency.HandOverChunk) bool
	Join(idempotency.JoinRequest) bool
	GroupInfo(idempotency.GroupInfoRequest) *idempotency.Record
}

type idempotencyServer struct{ keeper IdempotencyKeeper }

// NewIdempotencyHandler returns the path prefix and the handler that pass valid messages to the keeper.
func NewIdempotencyHandler(keeper IdempotencyKeeper) (string, http.Handler) {
	return magnoliawharfv1connect.NewIdempotencyServiceHandler(&idempotencyServer{keeper: keeper},
		connect.WithReadMaxBytes(idempotencyMaxMessageBytes))
}

// idempotencyInvalidArgument wraps a decoding error in the Connect code INVALID_ARGUMENT.
func idempotencyInvalidArgument(err error) error {
	return connect.NewError(connect.CodeInvalidArgument, err)
}

// Claim implements magnoliawharfv1connect.IdempotencyServiceHandler.
func (s *idempotencyServer) Claim(_ context.Context, in *connect.Request[api.ClaimRequest]) (*connect.Response[api.ClaimResponse], error) {
	var decoder idempotencyDecoder
	request := idempotency.ClaimRequest{
		Service: decoder.name(in.Msg.GetService()), Epoch: in.Msg.GetEpoch(), To: decoder.identity(in.Msg.GetTo()),
		Key: decoder.key(in.Msg.GetKey()), Attempt: decoder.attempt(in.Msg.GetAttempt()), TimeLeft: decoder.duration(in.Msg.GetTimeLeftUs()),
	}
	if err := decoder.err(); err != nil {
		return nil, idempotencyInvalidArgument(err)
	}
	reply := s.keeper.Claim(request)
	return connect.NewResponse(&api.ClaimResponse{
		Verdict: api.Verdict(reply.Verdict), Answer: idempotencyAnswerToWire(reply.Answer), Group: idempotencyGroupToWire(reply.Group),
	}), nil
}

// Settle implements magnoliawharfv1connect.IdempotencyServiceHandler.
func (s *idempotencyServer) Settle(_ context.Context, in *connect.Request[api.SettleRequest]) (*connect.Response[api.SettleResponse], error) {
	var decoder idempotencyDecoder
	request := idempotency.SettleRequest{
		Service: decoder.name(in.Msg.GetService()), Epoch: in.Msg.GetEpoch(), To: decoder.identity(in.Msg.GetTo()),
		Key: decoder.key(in.Msg.GetKey()), Attempt: decoder.attempt(in.Msg.GetAttempt()),
		Outcome: idempotency.Outcome(min(max(in.Msg.GetOutcome(), 0), 255)), Answer: decoder.answer(in.Msg.GetAnswer()),
	}
	decoder.check(request.Outcome.Valid())
	if err := decoder.err(); err != nil {
		return nil, idempotencyInvalidArgument(err)
	}
	reply := s.keeper.Settle(request)
	return connect.NewResponse(&api.SettleResponse{Accepted: reply.Accepted, Group: idempotencyGroupToWire(reply.Group)}), nil
}

// Grant implements magnoliawharfv1connect.IdempotencyServiceHandler.
func (s *idempotencyServer) Grant(_ context.Context, in *connect.Request[api.GrantRequest]) (*connect.Response[api.GrantResponse], error) {
	var decoder idempotencyDecoder
	request := idempotency.GrantRequest{
		Service: decoder.name(in.Msg.GetService()), Epoch: in.Msg.GetEpoch(), From: decoder.identity(in.Msg.GetFrom()),
		To: decoder.identity(in.Msg.GetTo()), Ceiling: in.Msg.GetCeilingMs(),
	}
	if err := decoder.err(); err != nil {
		return nil, idempotencyInvalidArgument(err)
	}
	reply := s.keeper.Grant(request)
	return connect.NewResponse(&api.GrantResponse{Granted: reply.Granted, Present: reply.Present, Group: idempotencyGroupToWire(reply.Group)}), nil
}

// Seal implements magnoliawharfv1connect.IdempotencyServiceHandler.
func (s *idempotencyServer) Seal(_ context.Context, in *connect.Request[api.SealRequest]) (*connect.Response[api.SealResponse], error) {
	var decoder idempotencyDecoder
	request := idempotency.SealRequest{
		Service: decoder.name(in.Msg.GetService()), Epoch: in.Msg.GetEpoch(),
		From: decoder.identity(in.Msg.GetFrom()), To: decoder.identity(in.Msg.GetTo()),
	}
	if err := decoder.err(); err != nil {
		return nil, idempotencyInvalidArgument(err)
	}
	return connect.NewResponse(idempotencySealReplyToWire(s.keeper.Seal(request))), nil
}

// HandOver implements magnoliawharfv1connect.IdempotencyServiceHandler.
func (s *idempotencyServer) HandOver(_ context.Context, in *connect.Request[api.HandOverRequest]) (*connect.Response[api.HandOverResponse], error) {
	var decoder idempotencyDecoder
	chunk := decoder.chunk(in.Msg)
	if err := decoder.err(); err != nil {
		return nil, idempotencyInvalidArgument(err)
	}
	return connect.NewResponse(&api.HandOverResponse{Accepted: s.keeper.AcceptHandOver(chunk)}), nil
}

// Join implements magnoliawharfv1connect.IdempotencyServiceHandler.
func (s *idempotencyServer) Join(_ context.Context, in *connect.Request[api.JoinRequest]) (*connect.Response[api.JoinResponse], error) {
	var decoder idempotencyDecoder
	request := idempotency.JoinRequest{Service: decoder.name(in.Msg.GetService()), To: decoder.identity(in.Msg.GetTo())}
	if err := decoder.err(); err != nil {
		return nil, idempotencyInvalidArgument(err)
	}
	return connect.NewResponse(&api.JoinResponse{Willing: s.keeper.Join(request)}), nil
}

// GroupInfo implements magnoliawharfv1connect.IdempotencyServiceHandler.
func (s *idempotencyServer) GroupInfo(_ context.Context, in *connect.Request[api.GroupInfoRequest]) (*connect.Response[api.GroupInfoResponse], error) {
	var decoder idempotencyDecoder
	request := idempotency.GroupInfoRequest{Service: decoder.name(in.Msg.GetService()), Record: decoder.group(in.Msg.GetTell())}
	if err := decoder.err(); err != nil {
		return nil, idempotencyInvalidArgument(err)
	}
	record := s.keeper.GroupInfo(request)
	return connect.NewResponse(&api.GroupInfoResponse{Group: idempotencyGroupToWire(record)}), nil
}
