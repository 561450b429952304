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
	"github.com/magnoliawharf/magnoliawharf/sockopt"
	"github.com/magnoliawharf/magnoliawharf/transport/answerhead"
)

const (
	memberDialTimeout = time.Second
	memberUserTimeout = 2500 * time.Millisecond // for which sent data, or two keepalive probes, may stay unacknowledged
	// memberIdleTimeout exceeds the 16 s in which a node with 9 fingers syncs with each of them, so that connections
	// stay open between syncs. It is below the idle timeout of the servers, so that the client closes first.
	memberIdleTimeout         = 90 * time.Second
	memberMaxIdleConnsPerPeer = 2
	// memberMaxMessageBytes limits one message. The largest carry 64 broadcasts of 16 KiB or 8,192 records.
	memberMaxMessageBytes = 2 << 20
	// memberMaxHeaderBytes is the largest header of a response. The default of net/http is 10 MB.
	memberMaxHeaderBytes = 64 << 10
	memberClientShards   = 16
	// memberMaxClients limits the clients cached by address. Beyond it the cache is cleared.
	memberMaxClients = 1024
)

// MembershipMessenger sends membership messages to other nodes. It implements datacentre.Messenger.
type MembershipMessenger struct {
	transport *http.Transport
	clients   *shard.Map[string, magnoliawharfv1connect.MembershipServiceClient]
}

var _ datacentre.Messenger = (*MembershipMessenger)(nil)

// NewMembershipMessenger returns a messenger with its own pool of persistent connections. A nil dial stands for that of a
// sockopt.Dialer.
func NewMembershipMessenger(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *MembershipMessenger {
	if dial == nil {
		dial = sockopt.NewDialer(memberDialTimeout, memberUserTimeout).DialContext
	}
	return &MembershipMessenger{
		transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: memberMaxIdleConnsPerPeer, IdleConnTimeout: memberIdleTimeout,
			DisableCompression: true, MaxResponseHeaderBytes: memberMaxHeaderBytes,
			// A message with one record of 128 bytes takes about 500 bytes, so small buffers suffice. They keep 16
			// connections under 100 KB.
			ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10,
		},
		clients: shard.NewString[string, magnoliawharfv1connect.MembershipServiceClient](memberClientShards),
	}
}

// Close closes idle connections.
func (m *MembershipMessenger) Close() { m.transport.CloseIdleConnections() }

func (m *MembershipMessenger) client(addr string) magnoliawharfv1connect.MembershipServiceClient {
	if m.clients.Len() > memberMaxClients {
		m.clients.Range(func(old string, _ magnoliawharfv1connect.MembershipServiceClient) bool {
			m.clients.Delete(old)
			return true
		})
	}
	return m.clients.GetOrCreate(addr, func() magnoliawharfv1connect.MembershipServiceClient {
		return magnoliawharfv1connect.NewMembershipServiceClient(
			&http.Client{Transport: memberMinimalHeaderTransport{answerhead.Transport{Transport: m.transport}}}, "http://"+addr,
			connect.WithReadMaxBytes(memberMaxMessageBytes), connect.WithAcceptCompression("gzip", nil, nil),
		)
	})
}

// memberMinimalHeaderTransport removes the header fields that the receiver does not need, about a quarter of a small
// message, and sends header and body in one TCP segment.
type memberMinimalHeaderTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t memberMinimalHeaderTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = []string{""} // an empty value keeps net/http from adding its default
	r.Header.Del("Connect-Protocol-Version")
	r.Header.Del("Accept-Encoding")
	if r.Body == nil || r.ContentLength <= 0 || r.ContentLength > memberMaxMessageBytes {
		return t.next.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		return nil, err
	}
	// net/http flushes the header before the body unless it knows that the body is in memory.
	buffered := *r
	buffered.Body = io.NopCloser(bytes.NewReader(body))
	return t.next.RoundTrip(&buffered)
}

// Sync implements datacentre.Messenger.
func (m *MembershipMessenger) Sync(ctx context.Context, addr string, req datacentre.SyncRequest) (datacentre.SyncResponse, error) {
	response, err := m.client(addr).Sync(ctx, connect.NewRequest(&pb.SyncRequest{
		Sender: memberSenderToWire(req.Sender), Root: req.Root, Stale: memberContactsToWire(req.Stale),
	}))
	if err != nil {
		return datacentre.SyncResponse{}, memberUnreachableError(err, "sync", addr)
	}
	return memberSyncResponseFromWire(response.Msg), nil
}

// Push implements datacentre.Messenger.
func (m *MembershipMessenger) Push(ctx context.Context, addr string, req datacentre.PushRequest) (datacentre.PushResponse, error) {
	response, err := m.client(addr).Push(ctx, connect.NewRequest(memberPushToWire(req)))
	if err != nil {
		return datacentre.PushResponse{}, memberUnreachableError(err, "push", addr)
	}
	return datacentre.PushResponse{
		Sender:  memberSenderFromWire(response.Msg.GetSender()),
		Wanted:  memberIndexesFromWire(response.Msg.GetWanted()),
		Pending: memberIndexesFromWire(response.Msg.GetPending()),
	}, nil
}

// Pull implements datacentre.Messenger.
func (m *MembershipMessenger) Pull(ctx context.Context, addr string, req datacentre.PullRequest) (datacentre.PullResponse, error) {
	response, err := m.client(addr).Pull(ctx, connect.NewRequest(&pb.PullRequest{
		Sender: memberSenderToWire(req.Sender), DataCentre: req.DataCentre, Buckets: req.Buckets,
	}))
	if err != nil {
		return datacentre.PullResponse{}, memberUnreachableError(err, "pull", addr)
	}
	return datacentre.PullResponse{
		Sender: memberSenderFromWire(response.Msg.GetSender()), Records: memberRecordsFromWire(response.Msg.GetRecords()),
	}, nil
}

// Ping implements datacentre.Messenger.
func (m *MembershipMessenger) Ping(ctx context.Context, addr string, req datacentre.PingRequest) (datacentre.PingResponse, error) {
	response, err := m.client(addr).Ping(ctx, connect.NewRequest(&pb.PingRequest{Sender: memberSenderToWire(req.Sender)}))
	if err != nil {
		return datacentre.PingResponse{}, memberUnreachableError(err, "ping", addr)
	}
	return datacentre.PingResponse{Sender: memberSenderFromWire(response.Msg.GetSender())}, nil
}

// PingVia implements datacentre.Messenger.
func (m *MembershipMessenger) PingVia(ctx context.Context, addr string, req datacentre.PingViaRequest) (datacentre.PingViaResponse, error) {
	response, err := m.client(addr).PingVia(ctx, connect.NewRequest(&pb.PingViaRequest{
		Sender: memberSenderToWire(req.Sender), Target: string(req.Target), TargetIncarnation: req.Incarnation,
		TimeoutMilliseconds: uint32(req.Timeout.Milliseconds()),
	}))
	if err != nil {
		return datacentre.PingViaResponse{}, memberUnreachableError(err, "ping via", addr)
	}
	return datacentre.PingViaResponse{
		Sender: memberSenderFromWire(response.Msg.GetSender()), Incarnation: response.Msg.GetIncarnation(),
	}, nil
}

func memberUnreachableError(err error, operation, addr string) error {
	return datacentre.ErrUnreachable.Wrap(err, "%s with %s", operation, addr)
}
