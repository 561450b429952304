// Package kvhttp implements store.Store over the published v3 JSON gateway key-value API.
package kvhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"

	"github.com/magnoliawharf/magnoliawharf/sockopt"
	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp/wire"
	"github.com/magnoliawharf/magnoliawharf/transport/answerhead"
)

const (
	// DefaultTimeout bounds one call. The store normally responds in milliseconds; when a call takes seconds
	// the store is overloaded or unreachable.
	DefaultTimeout = 3 * time.Second
	// maxResponseBytes bounds one response; a list of 2,000 parts of up to 64 KiB in base64 stays below it.
	maxResponseBytes = 192 << 20
	// maxResponseHeader bounds the header of one response, in bytes. The default of net/http is 10 MB.
	maxResponseHeader = 64 << 10
	dialTimeout       = 3 * time.Second
	// userTimeout is how long sent data may stay unacknowledged before the kernel closes the connection. It is longer than the time
	// until the second keepalive probe, so that one lost probe does not close the connection.
	userTimeout = 2500 * time.Millisecond
	// maxConnections bounds the connections of one process to the store.
	maxConnections = 8
)

// Client is a store.Store over HTTP. It is safe for concurrent use.
type Client struct {
	store.NoEra

	base     *sling.Sling
	endpoint string
	http     *http.Client
	timeout  time.Duration
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client for the store at the base URL. A timeout of 0 means DefaultTimeout.
func NewClient(base string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:         sockopt.NewDialer(dialTimeout, userTimeout).DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     90 * time.Second,

		MaxResponseHeaderBytes: maxResponseHeader,
	}
	client := &http.Client{Transport: answerhead.Transport{Transport: transport}}
	return &Client{base: sling.New().Base(base), endpoint: base, http: client, timeout: timeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// operation describes one call. An operation that writes fails with ErrUncertain when its outcome is unknown.
type operation struct {
	name   string
	path   string
	writes bool
}

// do sends in as JSON and decodes the response into out.
func (c *Client) do(ctx context.Context, op operation, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, op, in)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(out); err != nil {
		return c.callError(op, true, fmt.Errorf("read response: %w", err))
	}
	return nil
}

// send sends in as JSON and returns the response, whose status is 200.
func (c *Client) send(ctx context.Context, op operation, in any) (*http.Response, error) {
	request, err := c.base.New().Post(op.path).BodyJSON(in).Request()
	if err != nil {
		return nil, c.callError(op, false, err)
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, c.callError(op, sent.Load(), err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, c.statusError(op, response)
	}
	return response, nil
}

// callError returns the typed error of a call without a complete response. sent says that a connection was
// established, so that the store may have received the request.
func (c *Client) callError(op operation, sent bool, cause error) error {
	kind := store.ErrUnavailable
	if op.writes && sent {
		kind = store.ErrUncertain
	}
	return c.wrapError(kind, op, cause)
}

// statusError translates a response with an error status. Statuses below 500 are returned before a write takes
// effect; with 500 and above the store may have executed a write whose result the gateway did not receive.
func (c *Client) statusError(op operation, response *http.Response) error {
	var body wire.Error
	raw, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	_ = json.Unmarshal(raw, &body)
	cause := fmt.Errorf("status %d: %s", response.StatusCode, body.Message)
	if body.Code == wire.CodeNotFound {
		return c.wrapError(store.ErrLeaseLapsed, op, cause)
	}
	return c.callError(op, response.StatusCode >= http.StatusInternalServerError, cause)
}

func (c *Client) wrapError(kind *errorx.Type, op operation, cause error) error {
	return kind.Wrap(cause, "%s at %s", op.name, c.endpoint).
		WithProperty(store.PropertyOperation, op.name).
		WithProperty(store.PropertyPeer, c.endpoint)
}

// errEmptyPrefix rejects the prefix "", whose range would need a different encoding.
var errEmptyPrefix = errors.New("empty prefix")
