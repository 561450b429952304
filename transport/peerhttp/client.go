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
	forwardStep    = "forward"
	dialTimeout    = time.Second            // to connect to a node
	userTimeout    = 500 * time.Millisecond // for which sent data may stay unacknowledged
	idleTimeout    = 90 * time.Second       // after which an idle connection is closed
	maxIdlePerPeer = 64                     // idle connections kept to one node
	// maxResponseHeader is the largest response header, in bytes. It leaves room for the fields that the node beside the
	// upstream adds.
	maxResponseHeader = 68 << 10
)

// Client forwards requests to other nodes.
type Client struct {
	self        instance.ID
	versionSeen VersionObserver
	outbound    *transport.Client
}

// VersionObserver is called with the current bundle version of another node. It must not block.
type VersionObserver func(version uint64, peer instance.ID)

// NewClient returns a client for the node self with its own connection pool. versionSeen may be nil.
func NewClient(self instance.ID, versionSeen VersionObserver) *Client {
	return &Client{self: self, versionSeen: versionSeen, outbound: transport.NewClient(transport.PoolOptions{
		DialTimeout: dialTimeout, UserTimeout: userTimeout, IdleTimeout: idleTimeout, IdlePerHost: maxIdlePerPeer,
		HeaderBytes: maxResponseHeader,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.outbound.Close() }

// Forward implements node.Forwarder and entry.Forwarder.
func (c *Client) Forward(ctx context.Context, req *caller.Request, target instance.Record) (*caller.Answer, *link.Report, error) {
	peer := string(target.ID)
	outgoing, refusal := upstreamhttp.NewRequest(req, "http://"+target.PeerAddr+ForwardPrefix)
	if refusal != nil {
		refusal.Step, refusal.Peer = forwardStep, peer
		return nil, nil, refusal
	}
	now := time.Now()
	if req.Deadline.Sub(now) <= hopMargin {
		return nil, nil, caller.Refuse(caller.DeadlinePassed, forwardStep, peer)
	}
	call := encodeCall(req, c.self, target.Incarnation, now)
	outgoing.Header.Set(headerCall, call)
	if req.OpenFingerprint {
		outgoing.Header.Set(headerOpenFingerprint, openFingerprint)
	}
	if req.Placement != nil {
		outgoing.Header.Set(headerPlacement, encodePlacement(req.Placement))
	}
	response, sent, err := c.outbound.RoundTrip(ctx, outgoing)
	if err != nil {
		if sent && isGivenUp(ctx) {
			go c.cancel(target.PeerAddr, call)
		}
		failure := transport.Failure{
			Step: forwardStep, Peer: peer, Sent: sent, Unreachable: caller.PeerUnreachable, Lost: caller.PeerLost,
		}
		return nil, nil, failure.RefusalOf(ctx, req, err)
	}
	if version, err := strconv.ParseUint(response.Header.Get(transport.HeaderVersion), 10, 64); err == nil && c.versionSeen != nil {
		c.versionSeen(version, target.ID)
	}
	return c.readAnswer(req, response, peer)
}

func (c *Client) readAnswer(req *caller.Request, response *http.Response, peer string) (*caller.Answer, *link.Report, error) {
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
	answer.Notice = decodeNotice(response.Header.Get(headerNotice))
	if answer.Waited, err = decodeWaited(response.Header.Get(headerWaited)); err != nil {
		answer.Waited = 0 // a malformed waiting time does not invalidate the answer
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
		return caller.RefuseUncertain(caller.PeerLost, forwardStep, peer, errors.New("peer sent a refusal with an unknown reason or an invalid run state"))
	}
	if milliseconds, err := strconv.ParseUint(header.Get(transport.HeaderRetryAfter), 10, 31); err == nil {
		refusal.RetryAfter = time.Duration(milliseconds) * time.Millisecond
	}
	return refusal
}
