package upstreamconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/gate"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
)

const (
	sendStep = "send to upstream"
	readStep = "read load of upstream"
	// onceIdle is the longest idle time of a connection that takes a request which may run only once. An upstream may
	// drop idle connections early, and a request that such a connection swallowed may have run.
	onceIdle = 250 * time.Millisecond
	// dropTime is the time within which a request shows that the upstream had dropped the kept connection before. One that
	// closes later may have worked on the request.
	dropTime = 20 * time.Millisecond
	// maxSkipped bounds the answers of other requests that are skipped before the own one.
	maxSkipped = 3
	// maxSkippedBody bounds the body of a skipped answer, in bytes.
	maxSkippedBody = 4 << 20
	// writeAhead is the largest body that is written before the answer is read, in bytes. A longer one is written beside
	// it, since an upstream may answer before it has read the whole body.
	writeAhead = 2 << 10
	// defaultPause is the time after which a rejected request may come again when the upstream names none.
	defaultPause = 50 * time.Millisecond
)

var (
	errNoAnswer  = errors.New("the connection carried only answers of other requests")
	errSwitching = errors.New("the upstream switched protocols unasked")
)

// Client sends requests to the upstream beside a node. It is safe for concurrent use.
type Client struct {
	dialect caller.Dialect
	pool    pool
}

// NewClient returns a client that speaks the dialect.
func NewClient(dialect caller.Dialect) *Client {
	return &Client{dialect: dialect, pool: pool{idle: make(map[string][]*conn)}}
}

// Close closes the idle connections; those in use are closed when their request ends.
func (c *Client) Close() { c.pool.close() }

// KeepOnly closes the idle connections to all addresses but one.
func (c *Client) KeepOnly(addr string) { c.pool.keepOnly(addr) }

// Send sends an admitted request to the upstream at addr. The error is a *caller.Refusal; it says not-run when the
// upstream said so or no byte was sent. A request that may run again and met a connection that the upstream had dropped
// before is sent once more on a new one.
func (c *Client) Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error) {
	repeatable := req.Placement != nil && req.Placement.Repeatable
	youngest := onceIdle
	if repeatable {
		youngest = idleTime
	}
	answer, again, refusal := c.try(ctx, req, addr, youngest)
	if refusal != nil && again && repeatable && req.Body.Replayable() && ctx.Err() == nil {
		answer, _, refusal = c.try(ctx, req, addr, 0)
	}
	if refusal != nil {
		return nil, refusal
	}
	return answer, nil
}

// try sends the request once. again reports that the upstream had dropped the connection before.
func (c *Client) try(ctx context.Context, req *caller.Request, addr string, youngest time.Duration) (answer *caller.Answer, again bool, refusal *caller.Refusal) {
	out, refusal := upstreamhttp.NewRequest(req, "http://"+addr)
	if refusal != nil {
		refusal.Step = sendStep
		return nil, false, refusal
	}
	c.label(out, req)
	held := c.pool.take(addr, time.Now(), youngest)
	if held == nil {
		var err error
		if held, err = dial(ctx, addr); err != nil {
			return nil, false, c.failed(ctx, req, addr, false, err)
		}
	}
	began := time.Now()
	x := &exchange{conn: held, out: out, want: out.Header.Get(c.dialect.RequestID), dialect: &c.dialect}
	response, err := x.run(ctx, bodyLength(req))
	if err != nil {
		again = held.reused && !x.heard && ctx.Err() == nil && time.Since(began) < dropTime
		return nil, again, c.failed(ctx, req, addr, x.sent.Load(), err)
	}
	if refusal := c.rejected(response, addr); refusal != nil {
		x.drop()
		return nil, false, refusal
	}
	answer = transport.AnswerOf(response)
	answer.Body = &answerBody{exchange: x, response: response, release: func() { c.pool.put(addr, held) }}
	return answer, false, nil
}

// bodyLength returns the bytes of the request's body, or a large number when unknown.
func bodyLength(req *caller.Request) int64 {
	if length := req.Body.Length(); length >= 0 {
		return length
	}
	return writeAhead + 1
}

// label sets the fields that the system owes the upstream.
func (c *Client) label(out *http.Request, req *caller.Request) {
	d := c.dialect
	left := max(1, time.Until(req.Deadline).Milliseconds())
	out.Header.Set(d.TimeLimit, strconv.FormatInt(left, 10))
	delete(out.Header, d.Origin)
	delete(out.Header, d.Expect)
	if p := req.Placement; p != nil {
		out.Host = p.Host
		out.Header.Set(d.Origin, p.Origin)
		out.Header.Set(d.Expect, p.Upstream)
	}
	if out.ContentLength == 0 {
		out.Body, out.TransferEncoding = http.NoBody, nil
	}
}

// rejected returns a refusal when the answer says that the request was not run.
func (c *Client) rejected(response *http.Response, addr string) *caller.Refusal {
	if response.StatusCode == http.StatusMisdirectedRequest {
		refusal := caller.Refuse(caller.StaleIncarnation, sendStep, addr)
		refusal.Cause = fmt.Errorf("the address belongs to %q", response.Header.Get(c.dialect.UpstreamID))
		return refusal
	}
	if response.Header.Get(c.dialect.NotRun) == "" {
		return nil
	}
	refusal := caller.Refuse(caller.UpstreamRejected, sendStep, addr)
	refusal.Cause = fmt.Errorf("status %d", response.StatusCode)
	refusal.RetryAfter = defaultPause
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return refusal
}

func (c *Client) failed(ctx context.Context, req *caller.Request, addr string, sent bool, err error) *caller.Refusal {
	failure := transport.Failure{
		Step: sendStep, Peer: addr, Sent: sent, Unreachable: caller.UpstreamUnreachable, Lost: caller.UpstreamLost,
	}
	return failure.RefusalOf(ctx, req, err)
}

// Read asks the health path of the upstream at addr for its load. The error names the step and the address.
func (c *Client) Read(ctx context.Context, addr, path string) (gate.HealthReport, error) {
	out, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		return gate.HealthReport{}, fmt.Errorf("%s at %s: %w", readStep, addr, err)
	}
	out.Header.Set("User-Agent", "")
	held := c.pool.take(addr, time.Now(), idleTime)
	if held == nil {
		if held, err = dial(ctx, addr); err != nil {
			return gate.HealthReport{}, fmt.Errorf("%s at %s: %w", readStep, addr, err)
		}
	}
	x := &exchange{conn: held, out: out, dialect: &c.dialect}
	response, err := x.run(ctx, 0)
	if err != nil {
		return gate.HealthReport{}, fmt.Errorf("%s at %s: %w", readStep, addr, err)
	}
	body := &answerBody{exchange: x, response: response, release: func() { c.pool.put(addr, held) }}
	defer body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBody)); err != nil {
		return gate.HealthReport{}, fmt.Errorf("%s at %s: %w", readStep, addr, err)
	}
	reading := gate.HealthReport{Healthy: response.StatusCode == http.StatusOK, UpstreamID: response.Header.Get(c.dialect.UpstreamID)}
	reading.Load, reading.HasLoad = c.LoadOf(response.Header)
	return reading, nil
}

// LoadOf reads the load that an upstream added to an answer.
func (c *Client) LoadOf(header map[string][]string) (caller.UpstreamLoad, bool) {
	value := http.Header(header).Get(c.dialect.Load)
	if value == "" || c.dialect.ParseLoad == nil {
		return caller.UpstreamLoad{}, false
	}
	return c.dialect.ParseLoad(value)
}
