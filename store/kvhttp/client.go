// Package kvhttp adapts store.Store to the published v3 JSON gateway key-value API.
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

	"github.com/magnoliawharf/magnoliawharf/store"
	"github.com/magnoliawharf/magnoliawharf/store/kvhttp/wire"
)

const (
	// DefaultTimeout bounds one call. The store answers in milliseconds; a call that takes seconds
	// finds it overloaded or gone.
	DefaultTimeout = 3 * time.Second
	// maxAnswer bounds one answer: a list of 2,000 parts of up to 64 KiB in base64 stays below it.
	maxAnswer = 192 << 20
	// maxConnections bounds the connections of one process to the store.
	maxConnections = 8
)

// Client is a store.Store over HTTP. It is safe for concurrent use.
type Client struct {
	base    *sling.Sling
	peer    string
	http    *http.Client
	timeout time.Duration
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client of the store at the base URL. A timeout of 0 means DefaultTimeout.
func NewClient(base string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     90 * time.Second,
	}
	return &Client{base: sling.New().Base(base), peer: base, http: &http.Client{Transport: transport}, timeout: timeout}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one request. A call that writes reports ErrUncertain when its outcome is not known.
type call struct {
	step   string
	path   string
	writes bool
}

// do sends in and decodes the answer into out.
func (c *Client) do(ctx context.Context, how call, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, how, in)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(out); err != nil {
		return c.fail(how, true, fmt.Errorf("read answer: %w", err))
	}
	return nil
}

// send returns the response when its status is 200.
func (c *Client) send(ctx context.Context, how call, in any) (*http.Response, error) {
	request, err := c.base.New().Post(how.path).BodyJSON(in).Request()
	if err != nil {
		return nil, c.fail(how, false, err)
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, c.fail(how, sent.Load(), err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, c.refused(how, response)
	}
	return response, nil
}

// fail returns the typed error of a call that got no whole answer. sent says that a connection was
// open, so that the store may have read the request.
func (c *Client) fail(how call, sent bool, cause error) error {
	kind := store.ErrUnavailable
	if how.writes && sent {
		kind = store.ErrUncertain
	}
	return c.typed(kind, how, cause)
}

// refused translates an answer with an error status. Statuses below 500 are decided before a write;
// above, a gateway may have lost sight of a write that its store has done.
func (c *Client) refused(how call, response *http.Response) error {
	var answer wire.Error
	raw, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	_ = json.Unmarshal(raw, &answer)
	cause := fmt.Errorf("status %d: %s", response.StatusCode, answer.Message)
	if answer.Code == wire.CodeNotFound {
		return c.typed(store.ErrLeaseLapsed, how, cause)
	}
	return c.fail(how, response.StatusCode >= http.StatusInternalServerError, cause)
}

func (c *Client) typed(kind *errorx.Type, how call, cause error) error {
	return kind.Wrap(cause, "%s at %s", how.step, c.peer).
		WithProperty(store.PropertyStep, how.step).
		WithProperty(store.PropertyPeer, c.peer)
}

// errEmptyRange guards against a prefix of "", whose range would need another encoding.
var errEmptyRange = errors.New("empty prefix")
