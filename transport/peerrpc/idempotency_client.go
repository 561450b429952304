package peerrpc

import (
	"context"

	"connectrpc.com/connect"

	api "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1/magnoliawharfv1connect"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	idempotencyShards = 16
	// idempotencyMaxClients bounds the cached clients; each holds no connection of its own.
	idempotencyMaxClients = 4096
	// idempotencyMaxMessage bounds one received message: a chunk of a hand-over with its last answer.
	idempotencyMaxMessage = 512 << 10
)

// IdempotencyPeers sends the messages of at-most-once execution to other nodes. It implements
// idempotency.Peers.
type IdempotencyPeers struct {
	http    connect.HTTPClient
	clients *shard.Map[string, magnoliawharfv1connect.IdempotencyServiceClient]
}

var _ idempotency.Peers = (*IdempotencyPeers)(nil)

// NewIdempotencyPeers returns peers that are reached through the HTTP client.
func NewIdempotencyPeers(client connect.HTTPClient) *IdempotencyPeers {
	return &IdempotencyPeers{
		http:    client,
		clients: shard.NewString[string, magnoliawharfv1connect.IdempotencyServiceClient](idempotencyShards),
	}
}

func (p *IdempotencyPeers) client(to idempotency.Member) magnoliawharfv1connect.IdempotencyServiceClient {
	create := func() magnoliawharfv1connect.IdempotencyServiceClient {
		return magnoliawharfv1connect.NewIdempotencyServiceClient(p.http, "http://"+to.Addr,
			connect.WithReadMaxBytes(idempotencyMaxMessage), connect.WithAcceptCompression("gzip", nil, nil))
	}
	if client, ok := p.clients.Get(to.Addr); ok || p.clients.Len() >= idempotencyMaxClients {
		if !ok {
			return create()
		}
		return client
	}
	return p.clients.GetOrCreate(to.Addr, create)
}

// Claim implements idempotency.Peers.
func (p *IdempotencyPeers) Claim(ctx context.Context, to idempotency.Member, r idempotency.ClaimRequest) (idempotency.ClaimReply, error) {
	response, err := p.client(to).Claim(ctx, connect.NewRequest(&api.ClaimRequest{
		Service: r.Service, Epoch: r.Epoch, To: idempotencyIdentity(r.To), Key: []byte(r.Key),
		Attempt: r.Attempt[:], TimeLeftUs: idempotencyMicros(r.TimeLeft),
	}))
	if err != nil {
		return idempotency.ClaimReply{}, err
	}
	var reader idempotencyReader
	reply := idempotency.ClaimReply{
		Verdict: idempotency.Verdict(min(max(response.Msg.GetVerdict(), 0), 255)),
		Answer:  reader.answer(response.Msg.GetAnswer()), Group: reader.group(response.Msg.GetGroup()),
	}
	reader.check(reply.Verdict.Valid() && (reply.Verdict != idempotency.Done || reply.Answer != nil))
	return reply, reader.err()
}

// Settle implements idempotency.Peers.
func (p *IdempotencyPeers) Settle(ctx context.Context, to idempotency.Member, r idempotency.SettleRequest) (idempotency.SettleReply, error) {
	response, err := p.client(to).Settle(ctx, connect.NewRequest(&api.SettleRequest{
		Service: r.Service, Epoch: r.Epoch, To: idempotencyIdentity(r.To), Key: []byte(r.Key),
		Attempt: r.Attempt[:], Outcome: api.AttemptOutcome(r.Outcome), Answer: idempotencyAnswer(r.Answer),
	}))
	if err != nil {
		return idempotency.SettleReply{}, err
	}
	var reader idempotencyReader
	reply := idempotency.SettleReply{Accepted: response.Msg.GetAccepted(), Group: reader.group(response.Msg.GetGroup())}
	return reply, reader.err()
}

// Grant implements idempotency.Peers.
func (p *IdempotencyPeers) Grant(ctx context.Context, to idempotency.Member, r idempotency.GrantRequest) (idempotency.GrantReply, error) {
	response, err := p.client(to).Grant(ctx, connect.NewRequest(&api.GrantRequest{
		Service: r.Service, Epoch: r.Epoch, From: idempotencyIdentity(r.From), To: idempotencyIdentity(r.To),
		CeilingMs: r.Ceiling,
	}))
	if err != nil {
		return idempotency.GrantReply{}, err
	}
	var reader idempotencyReader
	reply := idempotency.GrantReply{Granted: response.Msg.GetGranted(), Present: response.Msg.GetPresent(), Group: reader.group(response.Msg.GetGroup())}
	return reply, reader.err()
}

// Seal implements idempotency.Peers.
func (p *IdempotencyPeers) Seal(ctx context.Context, to idempotency.Member, r idempotency.SealRequest) (idempotency.SealReply, error) {
	response, err := p.client(to).Seal(ctx, connect.NewRequest(&api.SealRequest{
		Service: r.Service, Epoch: r.Epoch, From: idempotencyIdentity(r.From), To: idempotencyIdentity(r.To),
	}))
	if err != nil {
		return idempotency.SealReply{}, err
	}
	var reader idempotencyReader
	reply := reader.sealReply(response.Msg)
	return reply, reader.err()
}

// HandOver implements idempotency.Peers.
func (p *IdempotencyPeers) HandOver(ctx context.Context, to idempotency.Member, c idempotency.Chunk) (bool, error) {
	response, err := p.client(to).HandOver(ctx, connect.NewRequest(idempotencyChunk(c)))
	if err != nil {
		return false, err
	}
	return response.Msg.GetAccepted(), nil
}

// Join implements idempotency.Peers.
func (p *IdempotencyPeers) Join(ctx context.Context, to idempotency.Member, r idempotency.JoinRequest) (bool, error) {
	response, err := p.client(to).Join(ctx, connect.NewRequest(&api.JoinRequest{Service: r.Service, To: idempotencyIdentity(r.To)}))
	if err != nil {
		return false, err
	}
	return response.Msg.GetWilling(), nil
}

// GroupInfo implements idempotency.Peers.
func (p *IdempotencyPeers) GroupInfo(ctx context.Context, to idempotency.Member, r idempotency.InfoRequest) (*idempotency.Record, error) {
	response, err := p.client(to).GroupInfo(ctx, connect.NewRequest(&api.GroupInfoRequest{
		Service: r.Service, Tell: idempotencyGroup(r.Tell),
	}))
	if err != nil {
		return nil, err
	}
	var reader idempotencyReader
	record := reader.group(response.Msg.GetGroup())
	return record, reader.err()
}
