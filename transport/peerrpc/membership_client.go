package peerrpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1"
	"github.com/magnoliawharf/magnoliawharf/api/magnoliawharf/v1/magnoliawharfv1connect"
	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/shard"
)

const (
	memberDialTimeout = time.Second
	// memberIdleTimeout is longer than the 16 s in which a node with 9 fingers syncs with each of them,
	// and shorter than that of the servers.
	memberIdleTimeout = 90 * time.Second
	memberIdlePeer    = 2
	// memberReadLimit bounds one message. The largest are 64 broadcasts of 16 KiB or 8,192 records.
	memberReadLimit = 2 << 20
	memberClients   = 16 // shards
	// memberClientLimit bounds the clients kept by address.
	memberClientLimit = 1024
)

// MembershipMessenger is the datacentre.Messenger over connect.
type MembershipMessenger struct {
	transport *http.Transport
	clients   *shard.Map[string, magnoliawharfv1connect.MembershipServiceClient]
}

var _ datacentre.Messenger = (*MembershipMessenger)(nil)

// NewMembershipMessenger returns a messenger with its own pool of persistent connections. dial may be
// nil.
func NewMembershipMessenger(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *MembershipMessenger {
	if dial == nil {
		dial = (&net.Dialer{Timeout: memberDialTimeout}).DialContext
	}
	return &MembershipMessenger{
		transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: memberIdlePeer, IdleConnTimeout: memberIdleTimeout,
			DisableCompression: true,
			// A record of 128 bytes in a message of 500: small buffers keep 16 connections under 100 KB.
			ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10,
		},
		clients: shard.NewString[string, magnoliawharfv1connect.MembershipServiceClient](memberClients),
	}
}

// Close closes the idle connections.
func (m *MembershipMessenger) Close() { m.transport.CloseIdleConnections() }

func (m *MembershipMessenger) client(addr string) magnoliawharfv1connect.MembershipServiceClient {
	if m.clients.Len() > memberClientLimit {
		m.clients.Range(func(old string, _ magnoliawharfv1connect.MembershipServiceClient) bool {
			m.clients.Delete(old)
			return true
		})
	}
	return m.clients.GetOrCreate(addr, func() magnoliawharfv1connect.MembershipServiceClient {
		return magnoliawharfv1connect.NewMembershipServiceClient(
			&http.Client{Transport: memberSlimTransport{m.transport}}, "http://"+addr,
			connect.WithReadMaxBytes(memberReadLimit), connect.WithAcceptCompression("gzip", nil, nil),
		)
	})
}

// memberSlimTransport leaves out the header fields that the receiver does not need, about a quarter of
// a small message, and sends header and body in one segment.
type memberSlimTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t memberSlimTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = []string{""} // an empty value keeps net/http from adding its own
	r.Header.Del("Connect-Protocol-Version")
	r.Header.Del("Accept-Encoding")
	if r.Body == nil || r.ContentLength <= 0 || r.ContentLength > memberReadLimit {
		return t.next.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return nil, err
	}
	// net/http writes the header alone before a body that it does not know to be in memory.
	slim := *r
	slim.Body = io.NopCloser(bytes.NewReader(body))
	return t.next.RoundTrip(&slim)
}

// Sync implements datacentre.Messenger.
func (m *MembershipMessenger) Sync(ctx context.Context, addr string, req datacentre.SyncRequest) (datacentre.SyncResponse, error) {
	response, err := m.client(addr).Sync(ctx, connect.NewRequest(&pb.SyncRequest{
		Sender: memberSenderToWire(req.Sender), Root: req.Root, Stale: memberContactsToWire(req.Stale),
	}))
	if err != nil {
		return datacentre.SyncResponse{}, memberError(err, "sync", addr)
	}
	return memberSyncResponse(response.Msg), nil
}

// Push implements datacentre.Messenger.
func (m *MembershipMessenger) Push(ctx context.Context, addr string, req datacentre.PushRequest) (datacentre.PushResponse, error) {
	response, err := m.client(addr).Push(ctx, connect.NewRequest(memberPushToWire(req)))
	if err != nil {
		return datacentre.PushResponse{}, memberError(err, "push", addr)
	}
	return datacentre.PushResponse{
		Sender: memberSender(response.Msg.GetSender()),
		Wanted: memberMap(response.Msg.GetWanted(), func(index uint32) int { return int(index) }),
	}, nil
}

// Pull implements datacentre.Messenger.
func (m *MembershipMessenger) Pull(ctx context.Context, addr string, req datacentre.PullRequest) (datacentre.PullResponse, error) {
	response, err := m.client(addr).Pull(ctx, connect.NewRequest(&pb.PullRequest{
		Sender: memberSenderToWire(req.Sender), DataCentre: req.DataCentre, Buckets: req.Buckets,
	}))
	if err != nil {
		return datacentre.PullResponse{}, memberError(err, "pull", addr)
	}
	return datacentre.PullResponse{
		Sender: memberSender(response.Msg.GetSender()), Records: memberRecords(response.Msg.GetRecords()),
	}, nil
}

// Ping implements datacentre.Messenger.
func (m *MembershipMessenger) Ping(ctx context.Context, addr string, req datacentre.PingRequest) (datacentre.PingResponse, error) {
	response, err := m.client(addr).Ping(ctx, connect.NewRequest(&pb.PingRequest{Sender: memberSenderToWire(req.Sender)}))
	if err != nil {
		return datacentre.PingResponse{}, memberError(err, "ping", addr)
	}
	return datacentre.PingResponse{Sender: memberSender(response.Msg.GetSender())}, nil
}

// PingVia implements datacentre.Messenger.
func (m *MembershipMessenger) PingVia(ctx context.Context, addr string, req datacentre.PingViaRequest) (datacentre.PingViaResponse, error) {
	response, err := m.client(addr).PingVia(ctx, connect.NewRequest(&pb.PingViaRequest{
		Sender: memberSenderToWire(req.Sender), Target: string(req.Target), TargetIncarnation: req.Incarnation,
		TimeoutMilliseconds: uint32(req.Timeout.Milliseconds()),
	}))
	if err != nil {
		return datacentre.PingViaResponse{}, memberError(err, "ping via", addr)
	}
	return datacentre.PingViaResponse{
		Sender: memberSender(response.Msg.GetSender()), Incarnation: response.Msg.GetIncarnation(),
	}, nil
}

func memberError(err error, step, addr string) error {
	return datacentre.ErrUnreachable.Wrap(err, "%s with %s", step, addr)
}
