package upstreamconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/inbound"
	"github.com/magnoliawharf/magnoliawharf/transport"
	"github.com/magnoliawharf/magnoliawharf/transport/upstreamhttp"
)

const (
	sendStep        = "send to upstream"
	healthCheckStep = "read load of upstream"
	// maxIdleNonRepeatable is the longest idle time after which a connection is reused for a request that must not run
	// twice, and for any request to an upstream that has dropped idle connections. An upstream may close idle connections
	// early, and a request that is lost on such a connection may have run.
	maxIdleNonRepeatable = 250 * time.Millisecond
	// maxIdleLongBody is the longest idle time after which a connection is reused for a request whose data has no user timeout:
	// on a connection that fell silent it would wait for its deadline.
	maxIdleLongBody = 250 * time.Millisecond
	// neverReuse is the idle time of a request that is sent on a new connection.
	neverReuse time.Duration = -1
	// staleConnWindow is the time after the start of a request within which a failure on a reused connection may mean that
	// the upstream had closed the connection before.
	staleConnWindow = 20 * time.Millisecond
	// maxSkippedAnswers limits the answers to other requests that are skipped before the answer to this request.
	maxSkippedAnswers = 3
	// maxSkippedBody is the largest body of a skipped answer that is read, in bytes.
	maxSkippedBody = 4 << 20
	// maxHealthBody is the largest body of a health report that is read, in bytes, to reuse the connection. The report itself
	// is in the head.
	maxHealthBody = 64 << 10
	// maxBodyWrittenFirst is the largest body that is written before the answer is read, in bytes. A longer body is
	// written concurrently, since an upstream may answer before it has read the whole body.
	maxBodyWrittenFirst = 2 << 10
	// defaultRetryAfter is the delay before the retry of a rejected request when the upstream sends no Retry-After.
	defaultRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest delay that an upstream may ask for; a longer one is ignored.
	maxRetryAfter = time.Hour
)

// Client sends requests to the upstream beside a node. It is safe for concurrent use.
type Client struct {
	dialect caller.Dialect
	pool    pool
}

// NewClient returns a client that uses the header fields of the dialect.
func NewClient(dialect caller.Dialect) *Client {
	return &Client{dialect: dialect, pool: newPool()}
}

// Close closes the idle connections. Connections in use are closed when their request ends.
func (c *Client) Close() { c.pool.close() }

// KeepOnly closes the idle connections to all addresses other than addr.
func (c *Client) KeepOnly(addr string) { c.pool.keepOnly(addr) }

// Send sends an admitted request once to the upstream at addr, on an idle connection or a new one. The error is a
// *caller.Refusal; it states not-run when the upstream said so or no byte was sent. It is KeptConnectionLost when the
// upstream may have closed an idle connection before the request arrived.
func (c *Client) Send(ctx context.Context, req *caller.Request, addr string) (*caller.Answer, error) {
	outgoing, refusal := upstreamhttp.NewRequest(req, "http://"+addr)
	if refusal != nil {
		refusal.Step = sendStep
		return nil, refusal
	}
	c.setSystemFields(outgoing, req)
	wantID := outgoing.Header.Get(c.dialect.RequestID)
	dataTimeout := transport.UserTimeoutOf(req.Body.Length(), userTimeout)
	conn, err := c.connect(ctx, addr, c.maxIdleTime(req, addr, wantID, dataTimeout))
	if err != nil {
		return nil, c.refusalOf(ctx, req, addr, false, err)
	}
	conn.setUserTimeout(dataTimeout)
	start := time.Now()
	x := &exchange{conn: conn, request: outgoing, body: req.Body, wantID: wantID, dialect: &c.dialect}
	response, err := x.run(ctx, bodyLength(req))
	if err != nil {
		c.pool.observeFailure(addr, err)
		refusal := c.refusalOf(ctx, req, addr, x.sent.Load(), err)
		if refusal.Reason == caller.UpstreamLost && x.mayBeStale(start) {
			c.observeKeptConnLost(addr, start.Sub(conn.lastUsed))
			refusal.Reason = caller.KeptConnectionLost
		}
		return nil, refusal
	}
	if refusal := c.rejection(response, addr); refusal != nil {
		x.abort()
		return nil, refusal
	}
	answer := transport.AnswerOf(response)
	answer.Notice = c.dialect.NoticeOf(response.Header)
	answer.Body = &answerBody{exchange: x, response: response, returnConn: func() { c.pool.put(addr, conn) }}
	return answer, nil
}

// maxIdleTime returns the longest idle time after which a connection may be reused for the request, neverReuse when it is to be
// sent on a new one.
func (c *Client) maxIdleTime(req *caller.Request, addr, wantID string, dataTimeout time.Duration) time.Duration {
	switch {
	case wantID == "":
		return neverReuse // without an ID a late answer to an earlier request cannot be told apart
	case req.Attempt > 1 && c.pool.lostRecently(addr, time.Now()):
		return neverReuse // the attempt before may have been lost on a kept connection, and the others may be gone too
	case req.Placement == nil || !req.Placement.Repeatable:
		return maxIdleNonRepeatable
	case dataTimeout == 0:
		return maxIdleLongBody
	}
	return defaultIdleTimeout
}

// observeKeptConnLost records that the upstream ended a connection which had been idle for the given time.
func (c *Client) observeKeptConnLost(addr string, idle time.Duration) {
	use := connUseOf(idle)
	use.counter().Inc()
	c.pool.observeLost(addr, time.Now(), use)
}

// connect returns an idle connection that was last used within maxIdleTime, or a new one.
func (c *Client) connect(ctx context.Context, addr string, maxIdleTime time.Duration) (*pooledConn, error) {
	if maxIdleTime > neverReuse {
		if conn := c.pool.get(addr, time.Now(), maxIdleTime); conn != nil {
			return conn, nil
		}
	}
	return dial(ctx, addr)
}

// bodyLength returns the length of the request's body in bytes, and a value above maxBodyWrittenFirst when it is unknown.
func bodyLength(req *caller.Request) int64 {
	if length := req.Body.Length(); length >= 0 {
		return length
	}
	return maxBodyWrittenFirst + 1
}

// setSystemFields sets the host and the header fields that only the node may set, and removes forged ones.
func (c *Client) setSystemFields(outgoing *http.Request, req *caller.Request) {
	d := c.dialect
	left := max(1, time.Until(req.Deadline).Milliseconds())
	outgoing.Header.Set(d.TimeLimit, strconv.FormatInt(left, 10))
	delete(outgoing.Header, d.Origin)
	delete(outgoing.Header, d.Expect)
	delete(outgoing.Header, d.Tenant)
	if p := req.Placement; p != nil {
		outgoing.Host = p.Host
		outgoing.Header.Set(d.Origin, p.Origin)
		outgoing.Header.Set(d.Expect, p.Upstream)
		if p.Tenant != "" {
			outgoing.Header.Set(d.Tenant, p.Tenant)
		}
	}
	if outgoing.ContentLength == 0 {
		outgoing.Body, outgoing.TransferEncoding = http.NoBody, nil
	}
}

// rejection returns the refusal of an answer which states that the request was not run, and nil for any other answer.
func (c *Client) rejection(response *http.Response, addr string) *caller.Refusal {
	if response.StatusCode == http.StatusMisdirectedRequest {
		refusal := caller.Refuse(caller.StaleIncarnation, sendStep, addr)
		refusal.Cause = fmt.Errorf("the address belongs to %q", response.Header.Get(c.dialect.UpstreamID))
		return refusal
	}
	if response.Header.Get(c.dialect.NotRun) == "" {
		return nil
	}
	refusal := caller.Refuse(caller.UpstreamRejected, sendStep, addr)
	refusal.Cause = &inbound.Rejection{Status: response.StatusCode, Notice: c.dialect.NoticeOf(response.Header)}
	refusal.RetryAfter = defaultRetryAfter
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 && seconds <= maxRetryAfter.Seconds() {
		refusal.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return refusal
}

// refusalOf returns the refusal of a request that got no answer.
func (c *Client) refusalOf(ctx context.Context, req *caller.Request, addr string, sent bool, err error) *caller.Refusal {
	failure := transport.Failure{
		Step: sendStep, Peer: addr, Sent: sent, Unreachable: caller.UpstreamUnreachable, Lost: caller.UpstreamLost,
	}
	return failure.RefusalOf(ctx, req, err)
}

// CheckHealth requests the health path of the upstream at addr and returns the health and load that it reports. The
// error names the step and the address. It wraps inbound.ErrRefused when nothing listens there.
func (c *Client) CheckHealth(ctx context.Context, addr, path string) (inbound.HealthReport, error) {
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		return inbound.HealthReport{}, fmt.Errorf("%s at %s: %w", healthCheckStep, addr, err)
	}
	outgoing.Header.Set("User-Agent", "")
	conn, err := c.connect(ctx, addr, defaultIdleTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = fmt.Errorf("%w: %w", inbound.ErrRefused, err)
	}
	if err != nil {
		return inbound.HealthReport{}, fmt.Errorf("%s at %s: %w", healthCheckStep, addr, err)
	}
	conn.setUserTimeout(userTimeout)
	start := time.Now()
	x := &exchange{conn: conn, request: outgoing, dialect: &c.dialect}
	response, err := x.run(ctx, 0)
	if err != nil {
		c.pool.observeFailure(addr, err)
		if ctx.Err() == nil && x.mayBeStale(start) {
			c.observeKeptConnLost(addr, start.Sub(conn.lastUsed))
		}
		return inbound.HealthReport{}, fmt.Errorf("%s at %s: %w", healthCheckStep, addr, err)
	}
	body := &answerBody{exchange: x, response: response, returnConn: func() { c.pool.put(addr, conn) }}
	defer body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(body, maxHealthBody)); err != nil {
		return inbound.HealthReport{}, fmt.Errorf("%s at %s: %w", healthCheckStep, addr, err)
	}
	reading := inbound.HealthReport{
		Healthy: response.StatusCode == http.StatusOK, UpstreamID: response.Header.Get(c.dialect.UpstreamID), Notice: c.dialect.NoticeOf(response.Header),
		Cold: c.dialect.ColdTimeOf(response.Header),
	}
	reading.Load, reading.HasLoad = c.LoadOf(response.Header)
	return reading, nil
}

// LoadOf implements inbound.Client.
func (c *Client) LoadOf(header map[string][]string) (caller.UpstreamLoad, bool) {
	value := http.Header(header).Get(c.dialect.Load)
	if value == "" || c.dialect.ParseLoad == nil {
		return caller.UpstreamLoad{}, false
	}
	return c.dialect.ParseLoad(value)
}
