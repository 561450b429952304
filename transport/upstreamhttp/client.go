// Package upstreamhttp is the adapter between a node and the upstream beside it, over HTTP/1.1.
package upstreamhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/transport"
)

const (
	sendStep        = "send to upstream"
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	idleConnections = 220
)

// Client sends admitted requests to an upstream.
type Client struct{ transport *http.Transport }

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Send implements node.UpstreamClient.
func (c *Client) Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error) {
	body, err := req.Body.Attempt()
	if err != nil {
		return nil, &caller.Refusal{Reason: caller.BodyCut, Ran: caller.NotRun, Step: sendStep, Cause: err}
	}
	out, err := NewRequest(ctx, req, "http://"+addr, body)
	if err != nil {
		return nil, &caller.Refusal{Reason: caller.BadRequest, Ran: caller.NotRun, Step: sendStep, Cause: err}
	}
	response, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, refusalOf(ctx, err, addr)
	}
	return transport.AnswerOf(response), nil
}

// NewRequest builds the outgoing request. Its body is never nil and has no GetBody, because
// http.Transport resends a request on its own when it thinks that the body can be replayed.
func NewRequest(ctx context.Context, req *caller.Request, base string, body io.ReadCloser) (*http.Request, error) {
	target, err := url.Parse(base + req.Path)
	if err != nil {
		return nil, err
	}
	out := &http.Request{
		Method: req.Method, URL: target, Host: target.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: transport.EndToEnd(req.Header), Body: body, ContentLength: req.Body.Length(),
	}
	return out.WithContext(ctx), nil
}

func refusalOf(ctx context.Context, err error, addr string) *caller.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &caller.Refusal{Reason: caller.UpstreamUnreachable, Ran: caller.NotRun, Step: sendStep, Peer: addr, Cause: err}
	}
	if ctx.Err() != nil {
		return caller.Lost(caller.Cancelled, sendStep, addr, err)
	}
	return caller.Lost(caller.UpstreamLost, sendStep, addr, err)
}
