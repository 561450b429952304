package peerrpc

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	api "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/idempotency"
	"github.com/magnoliawharf/magnoliawharf/standin/traffic"
)

// idempotencyEcho is a keeper that records the requests and returns replies whose fields are set.
type idempotencyEcho struct {
	record        *idempotency.Record
	answer        *idempotency.Answer
	claim         idempotency.ClaimRequest
	settle        idempotency.SettleRequest
	chunk         idempotency.HandOverChunk
	receivedGroup *idempotency.Record
}

func (e *idempotencyEcho) Claim(r idempotency.ClaimRequest) idempotency.ClaimReply {
	e.claim = r
	return idempotency.ClaimReply{Verdict: idempotency.Done, Answer: e.answer, Group: e.record}
}

func (e *idempotencyEcho) Settle(r idempotency.SettleRequest) idempotency.SettleReply {
	e.settle = r
	return idempotency.SettleReply{Accepted: true}
}

func (e *idempotencyEcho) Grant(idempotency.GrantRequest) idempotency.GrantReply {
	return idempotency.GrantReply{Granted: true, Present: true}
}

func (e *idempotencyEcho) Seal(idempotency.SealRequest) idempotency.SealReply {
	return idempotency.SealReply{Sealed: true, LatestIssued: 7, Promises: []idempotency.Promise{{Owner: "n1", Remaining: time.Second, Ceiling: 9}}}
}

func (e *idempotencyEcho) AcceptHandOver(c idempotency.HandOverChunk) bool {
	e.chunk = c
	return true
}

func (e *idempotencyEcho) Join(r idempotency.JoinRequest) bool { return r.Service == "s" }

func (e *idempotencyEcho) GroupInfo(r idempotency.GroupInfoRequest) *idempotency.Record {
	e.receivedGroup = r.Record
	return e.record
}

type idempotencyFixture struct {
	echo    *idempotencyEcho
	peers   *IdempotencyClient
	to      idempotency.Member
	counter *traffic.Counter
	key     idempotency.Key
}

func startIdempotencyFixture(t testing.TB) *idempotencyFixture {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	id, err := uuid.NewV7()
	assert.NilError(t, err)
	b := &idempotencyFixture{counter: &traffic.Counter{}, key: idempotency.Key(id[:])}
	b.to = idempotency.Member{Identity: idempotency.Identity{ID: "kigali-1-node-014", Incarnation: 1767225600000000000}, Addr: listener.Addr().String()}
	record := &idempotency.Record{Epoch: 4, Region: "kigali", Outage: 1e6, Nonce: "n", Members: []idempotency.Member{b.to}}
	b.echo = &idempotencyEcho{record: record, answer: &idempotency.Answer{Status: 201, Body: []byte("receipt"), Header: map[string][]string{"X-A": {"1"}}}}
	mux := http.NewServeMux()
	mux.Handle(NewIdempotencyHandler(b.echo))
	server := httptest.NewUnstartedServer(mux)
	server.Listener = b.counter.Listener(listener)
	server.Start()
	t.Cleanup(server.Close)
	b.peers = NewIdempotencyClient(server.Client())
	return b
}

func (b *idempotencyFixture) claimRequest() idempotency.ClaimRequest {
	return idempotency.ClaimRequest{
		Service: "reservations", Epoch: 4, To: b.to.Identity, Key: b.key, Attempt: idempotency.NewAttempt(), TimeLeft: 5 * time.Second,
	}
}

// Guards against a field that is lost or altered by the translation to protobuf and back.
func TestIdempotencyMessagesRoundTrip(t *testing.T) {
	b := startIdempotencyFixture(t)
	ctx := context.Background()
	claim := b.claimRequest()
	reply, err := b.peers.Claim(ctx, b.to, claim)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, idempotency.ClaimReply{Verdict: idempotency.Done, Answer: b.echo.answer, Group: b.echo.record})
	assert.DeepEqual(t, b.echo.claim, claim)

	settle := idempotency.SettleRequest{
		Service: "reservations", Epoch: 4, To: b.to.Identity, Key: b.key, Attempt: claim.Attempt,
		Outcome: idempotency.OutcomeDone, Answer: b.echo.answer,
	}
	_, err = b.peers.Settle(ctx, b.to, settle)
	assert.NilError(t, err)
	assert.DeepEqual(t, b.echo.settle, settle)

	sealed, err := b.peers.Seal(ctx, b.to, idempotency.SealRequest{Service: "s", Epoch: 4, From: b.to.Identity, To: b.to.Identity})
	assert.NilError(t, err)
	assert.DeepEqual(t, sealed, b.echo.Seal(idempotency.SealRequest{}))

	chunk := idempotency.HandOverChunk{
		Service: "s", From: b.to.Identity, To: b.to.Identity, Epoch: 3, TargetEpoch: 4, Number: 2, Last: true, Horizon: 12,
		Items: []idempotency.HandOverItem{{Key: b.key, State: 1, Holder: claim.Attempt, TimeLeft: time.Second, Answer: b.echo.answer, NotRun: []idempotency.Attempt{{3}}}},
	}
	accepted, err := b.peers.HandOver(ctx, b.to, chunk)
	assert.NilError(t, err)
	assert.Assert(t, accepted)
	assert.DeepEqual(t, b.echo.chunk, chunk)

	willing, err := b.peers.Join(ctx, b.to, idempotency.JoinRequest{Service: "s", To: b.to.Identity})
	assert.NilError(t, err)
	assert.Assert(t, willing)

	record, err := b.peers.GroupInfo(ctx, b.to, idempotency.GroupInfoRequest{Service: "s", Record: b.echo.record})
	assert.NilError(t, err)
	assert.DeepEqual(t, record, b.echo.record)
	assert.DeepEqual(t, b.echo.receivedGroup, b.echo.record)
}

// Guards against a message with a value out of bounds that is passed on to the keeper.
func TestIdempotencyMessagesOutOfBoundsAreRefused(t *testing.T) {
	b := startIdempotencyFixture(t)
	good := b.claimRequest()
	for name, change := range map[string]func(*idempotency.ClaimRequest){
		"no service":    func(r *idempotency.ClaimRequest) { r.Service = "" },
		"long service":  func(r *idempotency.ClaimRequest) { r.Service = fmt.Sprintf("%0300d", 1) },
		"short key":     func(r *idempotency.ClaimRequest) { r.Key = r.Key[:8] },
		"key not v7":    func(r *idempotency.ClaimRequest) { r.Key = idempotency.Key(make([]byte, 16)) },
		"no member":     func(r *idempotency.ClaimRequest) { r.To.ID = "" },
		"long deadline": func(r *idempotency.ClaimRequest) { r.TimeLeft = 48 * time.Hour },
	} {
		request := good
		change(&request)
		_, err := b.peers.Claim(context.Background(), b.to, request)
		assert.ErrorContains(t, err, "out of bounds", name)
	}
	var decoder idempotencyDecoder
	decoder.answer(&api.StoredAnswer{Status: 200, Body: make([]byte, idempotency.MaxAnswerBody+1)})
	assert.Assert(t, decoder.err() != nil)
	decoder = idempotencyDecoder{}
	decoder.group(&api.KeeperGroup{Record: []byte(`{"epoch":0}`)})
	assert.Assert(t, decoder.err() != nil)
}

// BenchmarkIdempotencyWire reports the bytes of one exchange, request and response with their headers, on an open
// connection.
func BenchmarkIdempotencyWire(b *testing.B) {
	ctx := context.Background()
	for _, exchange := range []struct {
		name string
		send func(s *idempotencyFixture) error
	}{
		{"claim", func(s *idempotencyFixture) error {
			s.echo.answer, s.echo.record = &idempotency.Answer{Status: 200}, nil
			_, err := s.peers.Claim(ctx, s.to, s.claimRequest())
			return err
		}},
		{"settle", func(s *idempotencyFixture) error {
			_, err := s.peers.Settle(ctx, s.to, idempotency.SettleRequest{Service: "reservations", Epoch: 4, To: s.to.Identity, Key: s.key, Outcome: idempotency.OutcomeNotRun})
			return err
		}},
		{"grant", func(s *idempotencyFixture) error {
			_, err := s.peers.Grant(ctx, s.to, idempotency.GrantRequest{Service: "reservations", Epoch: 4, From: s.to.Identity, To: s.to.Identity, Ceiling: time.Now().UnixMilli()})
			return err
		}},
		{"seal", func(s *idempotencyFixture) error {
			_, err := s.peers.Seal(ctx, s.to, idempotency.SealRequest{Service: "reservations", Epoch: 4, From: s.to.Identity, To: s.to.Identity})
			return err
		}},
	} {
		b.Run(exchange.name, func(b *testing.B) {
			s := startIdempotencyFixture(b)
			assert.NilError(b, exchange.send(s))
			before := s.counter.Total()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				assert.NilError(b, exchange.send(s))
			}
			b.ReportMetric(float64(s.counter.Total()-before)/float64(b.N), "wireB/op")
		})
	}
}

// BenchmarkIdempotencyHandOver reports the bytes of one hand-over chunk for several numbers of keys.
func BenchmarkIdempotencyHandOver(b *testing.B) {
	for _, keys := range []int{10, 100, 500} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			s := startIdempotencyFixture(b)
			chunk := idempotency.HandOverChunk{Service: "reservations", From: s.to.Identity, To: s.to.Identity, Epoch: 3, TargetEpoch: 4, Last: true}
			for range keys {
				chunk.Items = append(chunk.Items, idempotency.HandOverItem{Key: s.key, State: 1, Holder: idempotency.NewAttempt(), TimeLeft: time.Second})
			}
			before := s.counter.Total()
			for range b.N {
				_, err := s.peers.HandOver(context.Background(), s.to, chunk)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(s.counter.Total()-before)/float64(b.N), "wireB/op")
		})
	}
}
