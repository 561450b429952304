package transport

import (
	"net/http"
	"time"

	"github.com/magnoliawharf/magnoliawharf/sockopt"
)

const (
	controlDialTimeout = time.Second
	controlUserTimeout = 2 * time.Second // for which sent data may stay unacknowledged
	controlIdleTimeout = 90 * time.Second
	controlIdlePerPeer = 4
	controlBufferSize  = 4 << 10 // in bytes; control messages are short
)

// ControlClient is the HTTP client for control messages between nodes. Its connections are separate from
// those of the data path, so that request and response bodies do not delay control messages.
type ControlClient struct {
	http.Client
	pool *http.Transport
}

// NewControlClient returns a client with its own connection pool.
func NewControlClient() *ControlClient {
	pool := &http.Transport{
		DialContext:         sockopt.Dialer(controlDialTimeout, controlUserTimeout).DialContext,
		MaxIdleConnsPerHost: controlIdlePerPeer, IdleConnTimeout: controlIdleTimeout,
		ReadBufferSize: controlBufferSize, WriteBufferSize: controlBufferSize, DisableCompression: true,
	}
	return &ControlClient{Client: http.Client{Transport: pool}, pool: pool}
}

// NewSingleUseClient returns a client that opens a connection for each request and closes it afterwards. It suits rare
// requests that must not be late: a connection kept since the previous request may have gone silent without an error, and
// only a timeout of the next request on it would show that.
func NewSingleUseClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       sockopt.Dialer(controlDialTimeout, controlUserTimeout).DialContext,
		DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: controlBufferSize, WriteBufferSize: controlBufferSize,
	}}
}

// Close closes the idle connections.
func (c *ControlClient) Close() { c.pool.CloseIdleConnections() }
