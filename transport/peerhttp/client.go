package peerhttp

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/link"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
)

const (
	forwardStep     = "forward"
	dialTimeout     = time.Second
	idleTimeout     = 90 * time.Second
	idleConnections = 64
	// maxAnswerHeader leaves room for the fields that the node beside the upstream adds, in bytes.
	maxAnswerHeader = 68 << 10
)

// Client forwards requests to other nodes.
type Client struct {
	self instance.ID
	seen VersionSeen
	out  *transport.Outbound
}

// VersionSeen is told of the bundle version that another node has in force. It must not block.
type VersionSeen func(version uint64, peer instance.ID)

// NewClient returns a client of the node self with its own connection pool. seen may be nil.
func NewClient(self instance.ID, seen VersionSeen) *Client {
	return &Client{self: self, seen: seen, out: transport.NewOutbound(transport.Pool{
		DialTimeout: dialTimeout, IdleTimeout: idleTimeout, IdlePerHost: idleConnections, HeaderBytes: maxAnswerHeader,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.out.Close() }

// Forward implements node.Forwarder.
func (c *Client) Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error) {
	peer := string(target.ID)
	out, refusal := upstreamhttp.NewRequest(req, "http://"+target.PeerAddr+ForwardPrefix)
	if refusal != nil {
		refusal.Step, refusal.Peer = forwardStep, peer
		return nil, nil, refusal
	}
	now := time.Now()
	if req.Deadline.Sub(now) <= hopMargin {
		return nil, nil, caller.Refuse(caller.DeadlinePassed, forwardStep, peer)
	}
	out.Header.Set(headerCall, encodeCall(req, c.self, target.Incarnation, now))
	if req.Placement != nil {
		out.Header.Set(headerPlacement, encodePlacement(req.Placement))
	}
	response, sent, err := c.out.RoundTrip(ctx, out)
	if err != nil {
		failure := transport.Failure{
			Step: forwardStep, Peer: peer, Sent: sent, Unreachable: caller.PeerUnreachable, Lost: caller.PeerLost,
		}
		return nil, nil, failure.RefusalOf(ctx, req, err)
	}
	if version, err := strconv.ParseUint(response.Header.Get(transport.HeaderVersion), 10, 64); err == nil && c.seen != nil {
		c.seen(version, target.ID)
	}
	return c.answer(req, response, peer)
}

func (c *Client) answer(req *caller.Request, response *http.Response, peer string) (*caller.Answer, *link.Report, error) {
	report, err := decodeReport(response.Header.Get(headerReport))
	if err != nil {
		report = nil
	}
	if got := response.Header.Get(transport.HeaderRequestID); got != req.ID {
		_ = response.Body.Close()
		return nil, nil, caller.RefuseUncertain(caller.AnswerMismatch, forwardStep, peer, nil)
	}
	if response.Header.Get(transport.HeaderRefusal) != "" {
		_ = response.Body.Close()
		return nil, report, decodeRefusal(response.Header, peer)
	}
	answer := transport.AnswerOf(response)
	answer.Upstream = peer
	if answer.Waited, err = decodeWaited(response.Header.Get(headerWaited)); err != nil {
		answer.Waited = 0 // the answer counts without it
	}
	return answer, report, nil
}

func decodeRefusal(header http.Header, peer string) *caller.Refusal {
	refusal := &caller.Refusal{
		Reason: caller.Reason(header.Get(transport.HeaderRefusal)),
		Ran:    caller.ParseRunState(header.Get(transport.HeaderRan)),
		Step:   forwardStep, Peer: peer,
	}
	if !refusal.Reason.Known() || refusal.Ran == caller.Answered {
		return caller.RefuseUncertain(caller.PeerLost, forwardStep, peer, errors.New("peer sent an unknown refusal"))
	}
	if milliseconds, err := strconv.ParseUint(header.Get(transport.HeaderRetryAfter), 10, 31); err == nil {
		refusal.RetryAfter = time.Duration(milliseconds) * time.Millisecond
	}
	return refusal
}
