package transport

import (
	"net/http"
	"time"

	"github.com/magnoliawharf/magnoliawharf/sockopt"
	"github.com/magnoliawharf/magnoliawharf/transport/answerhead"
)

const (
	controlDialTimeout = time.Second
	controlUserTimeout = 2500 * time.Millisecond // for which sent data, or two keepalive probes, may stay unacknowledged
	controlIdleTimeout = 90 * time.Second
	controlIdlePerPeer = 4
	controlBufferSize  = 4 << 10 // in bytes; control messages are short
	// controlHeaderBytes is the largest header of a response, in bytes. The default of net/http is 10 MB.
	controlHeaderBytes = 64 << 10
)

// ControlClient is the HTTP client for control messages between nodes. Its connections are separate from
// those of the data path, so that request and response bodies do not delay control messages.
type ControlClient struct {
	http.Client
	pool *http.Transport
}

// NewControlClient returns a client with its own connection pool.
func NewControlClient() *ControlClient {
	pool := newControlTransport()
	pool.MaxIdleConnsPerHost, pool.IdleConnTimeout = controlIdlePerPeer, controlIdleTimeout
	return &ControlClient{Client: http.Client{Transport: answerhead.Transport{Transport: pool}}, pool: pool}
}

// NewSingleUseClient returns a client that opens a connection for each request and closes it afterwards. It suits rare
// requests that must not be late: a connection kept since the previous request may have gone silent without an error, and
// only a timeout of the next request on it would show that.
func NewSingleUseClient() *http.Client {
	transport := newControlTransport()
	transport.DisableKeepAlives = true
	return &http.Client{Transport: answerhead.Transport{Transport: transport}}
}

func newControlTransport() *http.Transport {
	return &http.Transport{
		DialContext:    sockopt.NewDialer(controlDialTimeout, controlUserTimeout).DialContext,
		ReadBufferSize: controlBufferSize, WriteBufferSize: controlBufferSize, DisableCompression: true,
		MaxResponseHeaderBytes: controlHeaderBytes,
	}
}

// Close closes the idle connections.
func (c *ControlClient) Close() { c.pool.CloseIdleConnections() }
