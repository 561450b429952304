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
	idempotencyClientShards = 16
	// idempotencyMaxClients limits the cached clients, which share the connections of the HTTP client.
	idempotencyMaxClients = 4096
	// idempotencyMaxMessageBytes limits one received message. The largest is a chunk of a hand-over, whose last
	// stored answer may exceed the chunk's target size.
	idempotencyMaxMessageBytes = 512 << 10
)

// IdempotencyClient sends the messages of at-most-once execution to other nodes. It implements idempotency.Peers and checks
// each response before it returns it.
type IdempotencyClient struct {
	http    connect.HTTPClient
	clients *shard.Map[string, magnoliawharfv1connect.IdempotencyServiceClient]
}

var _ idempotency.Peers = (*IdempotencyClient)(nil)

// NewIdempotencyClient returns a client that sends its requests through client.
func NewIdempotencyClient(client connect.HTTPClient) *IdempotencyClient {
	return &IdempotencyClient{
		http:    client,
		clients: shard.NewString[string, magnoliawharfv1connect.IdempotencyServiceClient](idempotencyClientShards),
	}
}

func (p *IdempotencyClient) client(to idempotency.Member) magnoliawharfv1connect.IdempotencyServiceClient {
	create := func() magnoliawharfv1connect.IdempotencyServiceClient {
		return magnoliawharfv1connect.NewIdempotencyServiceClient(p.http, "http://"+to.Addr,
			connect.WithReadMaxBytes(idempotencyMaxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
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
func (p *IdempotencyClient) Claim(ctx context.Context, to idempotency.Member, r idempotency.ClaimRequest) (idempotency.ClaimReply, error) {
	response, err := p.client(to).Claim(ctx, connect.NewRequest(&api.ClaimRequest{
		Service: r.Service, Epoch: r.Epoch, To: idempotencyIdentityToWire(r.To), Key: []byte(r.Key),
		Attempt: r.Attempt[:], TimeLeftUs: microsecondsRoundedUp(r.TimeLeft),
	}))
	if err != nil {
		return idempotency.ClaimReply{}, err
	}
	var decoder idempotencyDecoder
	reply := idempotency.ClaimReply{
		Verdict: idempotency.Verdict(min(max(response.Msg.GetVerdict(), 0), 255)),
		Answer:  decoder.answer(response.Msg.GetAnswer()), Group: decoder.group(response.Msg.GetGroup()),
	}
	decoder.check(reply.Verdict.Valid() && (reply.Verdict != idempotency.Done || reply.Answer != nil))
	return reply, decoder.err()
}

// Settle implements idempotency.Peers.
func (p *IdempotencyClient) Settle(ctx context.Context, to idempotency.Member, r idempotency.SettleRequest) (idempotency.SettleReply, error) {
	response, err := p.client(to).Settle(ctx, connect.NewRequest(&api.SettleRequest{
		Service: r.Service, Epoch: r.Epoch, To: idempotencyIdentityToWire(r.To), Key: []byte(r.Key),
		Attempt: r.Attempt[:], Outcome: api.AttemptOutcome(r.Outcome), Answer: idempotencyAnswerToWire(r.Answer),
	}))
	if err != nil {
		return idempotency.SettleReply{}, err
	}
	var decoder idempotencyDecoder
	reply := idempotency.SettleReply{Accepted: response.Msg.GetAccepted(), Group: decoder.group(response.Msg.GetGroup())}
	return reply, decoder.err()
}

// Grant implements idempotency.Peers.
func (p *IdempotencyClient) Grant(ctx context.Context, to idempotency.Member, r idempotency.GrantRequest) (idempotency.GrantReply, error) {
	response, err := p.client(to).Grant(ctx, connect.NewRequest(&api.GrantRequest{
		Service: r.Service, Epoch: r.Epoch, From: idempotencyIdentityToWire(r.From), To: idempotencyIdentityToWire(r.To),
		CeilingMs: r.Ceiling,
	}))
	if err != nil {
		return idempotency.GrantReply{}, err
	}
	var decoder idempotencyDecoder
	reply := idempotency.GrantReply{Granted: response.Msg.GetGranted(), Present: response.Msg.GetPresent(), Group: decoder.group(response.Msg.GetGroup())}
	return reply, decoder.err()
}

// Seal implements idempotency.Peers.
func (p *IdempotencyClient) Seal(ctx context.Context, to idempotency.Member, r idempotency.SealRequest) (idempotency.SealReply, error) {
	response, err := p.client(to).Seal(ctx, connect.NewRequest(&api.SealRequest{
		Service: r.Service, Epoch: r.Epoch, From: idempotencyIdentityToWire(r.From), To: idempotencyIdentityToWire(r.To),
	}))
	if err != nil {
		return idempotency.SealReply{}, err
	}
	var decoder idempotencyDecoder
	reply := decoder.sealReply(response.Msg)
	return reply, decoder.err()
}

// HandOver implements idempotency.Peers.
func (p *IdempotencyClient) HandOver(ctx context.Context, to idempotency.Member, c idempotency.HandOverChunk) (bool, error) {
	response, err := p.client(to).HandOver(ctx, connect.NewRequest(idempotencyChunkToWire(c)))
	if err != nil {
		return false, err
	}
	return response.Msg.GetAccepted(), nil
}

// Join implements idempotency.Peers.
func (p *IdempotencyClient) Join(ctx context.Context, to idempotency.Member, r idempotency.JoinRequest) (bool, error) {
	response, err := p.client(to).Join(ctx, connect.NewRequest(&api.JoinRequest{Service: r.Service, To: idempotencyIdentityToWire(r.To)}))
	if err != nil {
		return false, err
	}
	return response.Msg.GetWilling(), nil
}

// GroupInfo implements idempotency.Peers.
func (p *IdempotencyClient) GroupInfo(ctx context.Context, to idempotency.Member, r idempotency.GroupInfoRequest) (*idempotency.Record, error) {
	response, err := p.client(to).GroupInfo(ctx, connect.NewRequest(&api.GroupInfoRequest{
		Service: r.Service, Tell: idempotencyGroupToWire(r.Record),
	}))
	if err != nil {
		return nil, err
	}
	var decoder idempotencyDecoder
	record := decoder.group(response.Msg.GetGroup())
	return record, decoder.err()
}
