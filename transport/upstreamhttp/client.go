// Package upstreamhttp is the adapter between a node and the upstream beside it, over HTTP/1.1.
package upstreamhttp

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

const (
	sendStep           = "send to upstream"
	dialTimeout        = time.Second
	userTimeout        = 1500 * time.Millisecond // for which sent data may stay unacknowledged
	idleTimeout        = 30 * time.Second
	maxIdlePerUpstream = 220
	maxResponseHeader  = 64 << 10 // bytes
)

// errCloseDelimited reports an answer that is delimited by the end of the connection. It is refused, because a truncated
// answer cannot be distinguished from a complete one.
var errCloseDelimited = errors.New("the answer has neither Content-Length nor chunked encoding")

// Client sends admitted requests to an upstream.
type Client struct{ outbound *transport.Client }

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{outbound: transport.NewClient(transport.PoolOptions{
		DialTimeout: dialTimeout, UserTimeout: userTimeout, IdleTimeout: idleTimeout, IdlePerHost: maxIdlePerUpstream,
		HeaderBytes: maxResponseHeader,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.outbound.Close() }

// Send implements node.UpstreamClient.
func (c *Client) Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error) {
	outgoing, refusal := NewRequest(req, "http://"+addr)
	if refusal != nil {
		refusal.Step = sendStep
		return nil, refusal
	}
	now := time.Now()
	chain := caller.ChildChain(req, now)
	outgoing.Header.Set(transport.HeaderChain, transport.EncodeChain(chain))
	outgoing.Header.Set(transport.HeaderTimeout, strconv.FormatInt(max(1, chain.TimeLeft.Milliseconds()), 10))
	outgoing.Header.Set(transport.HeaderRequestID, req.ID)
	response, sent, err := c.outbound.RoundTrip(ctx, outgoing)
	if err != nil {
		failure := transport.Failure{
			Step: sendStep, Peer: addr, Sent: sent, Unreachable: caller.UpstreamUnreachable, Lost: caller.UpstreamLost,
		}
		return nil, failure.RefusalOf(ctx, req, err)
	}
	if transport.CloseDelimited(response) {
		_ = response.Body.Close()
		return nil, caller.RefuseUncertain(caller.BodyCut, sendStep, addr, errCloseDelimited)
	}
	return transport.AnswerOf(response), nil
}

var (
	// noUserAgent keeps net/http from adding its default User-Agent.
	noUserAgent = []string{""}
	// identityEncoding keeps net/http from probing or chunking a body that is empty but not nil.
	identityEncoding = []string{"identity"}
)

// NewRequest builds the outgoing request. Its body is never nil and has no GetBody, because http.Transport
// resends a request on its own when it takes the body to be replayable.
func NewRequest(req *caller.Request, base string) (*http.Request, *caller.Refusal) {
	target, err := url.Parse(base + req.Path)
	if err != nil {
		return nil, &caller.Refusal{Reason: caller.BadRequest, Ran: caller.NotRun, Cause: err}
	}
	body, err := req.Body.Attempt()
	if err != nil {
		return nil, &caller.Refusal{Reason: caller.BodyCut, Ran: caller.NotRun, Cause: err}
	}
	outgoing := &http.Request{
		Method: req.Method, URL: target, Host: target.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: transport.EndToEnd(req.Header), Body: body, ContentLength: req.Body.Length(),
	}
	if _, ok := outgoing.Header["User-Agent"]; !ok {
		outgoing.Header["User-Agent"] = noUserAgent
	}
	if outgoing.ContentLength == 0 {
		outgoing.TransferEncoding = identityEncoding
	}
	return outgoing, nil
}
