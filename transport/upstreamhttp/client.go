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
	sendStep        = "send to upstream"
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	idleConnections = 220
	maxAnswerHeader = 64 << 10 // bytes
)

// errUnframed refuses answers that end with the connection, because one that broke off looks whole.
var errUnframed = errors.New("the answer has neither Content-Length nor chunked encoding")

// Client sends admitted requests to an upstream.
type Client struct{ out *transport.Outbound }

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return &Client{out: transport.NewOutbound(transport.Pool{
		DialTimeout: dialTimeout, IdleTimeout: idleTimeout, IdlePerHost: idleConnections, HeaderBytes: maxAnswerHeader,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.out.Close() }

// Send implements node.UpstreamClient.
func (c *Client) Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error) {
	out, refusal := NewRequest(req, "http://"+addr)
	if refusal != nil {
		refusal.Step = sendStep
		return nil, refusal
	}
	now := time.Now()
	chain := caller.ChildChain(req, now)
	out.Header.Set(transport.HeaderChain, transport.EncodeChain(chain))
	out.Header.Set(transport.HeaderTimeout, strconv.FormatInt(max(1, chain.TimeLeft.Milliseconds()), 10))
	out.Header.Set(transport.HeaderRequestID, req.ID)
	response, sent, err := c.out.RoundTrip(ctx, out)
	if err != nil {
		failure := transport.Failure{
			Step: sendStep, Peer: addr, Sent: sent, Unreachable: caller.UpstreamUnreachable, Lost: caller.UpstreamLost,
		}
		return nil, failure.RefusalOf(ctx, req, err)
	}
	if transport.Unframed(response) {
		_ = response.Body.Close()
		return nil, caller.RefuseUncertain(caller.BodyCut, sendStep, addr, errUnframed)
	}
	return transport.AnswerOf(response), nil
}

var (
	// noUserAgent keeps net/http from adding its own name.
	noUserAgent = []string{""}
	// identity keeps net/http from probing or chunking an empty body that is not nil.
	identity = []string{"identity"}
)

// NewRequest builds the outgoing request. Its body is never nil and has no GetBody, because
// http.Transport resends a request on its own when it thinks that the body can be replayed.
func NewRequest(req *caller.Request, base string) (*http.Request, *caller.Refusal) {
	target, err := url.Parse(base + req.Path)
	if err != nil {
		return nil, &caller.Refusal{Reason: caller.BadRequest, Ran: caller.NotRun, Cause: err}
	}
	body, err := req.Body.Attempt()
	if err != nil {
		return nil, &caller.Refusal{Reason: caller.BodyCut, Ran: caller.NotRun, Cause: err}
	}
	out := &http.Request{
		Method: req.Method, URL: target, Host: target.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: transport.EndToEnd(req.Header), Body: body, ContentLength: req.Body.Length(),
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = noUserAgent
	}
	if out.ContentLength == 0 {
		out.TransferEncoding = identity
	}
	return out, nil
}
