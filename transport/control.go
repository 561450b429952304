package transport

import (
	"net"
	"net/http"
	"time"
)

const (
	controlDialTimeout = time.Second
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
	pool := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: controlDialTimeout}).DialContext,
		MaxIdleConnsPerHost: controlIdlePerPeer, IdleConnTimeout: controlIdleTimeout,
		ReadBufferSize: controlBufferSize, WriteBufferSize: controlBufferSize, DisableCompression: true,
		MaxResponseHeaderBytes: controlHeaderBytes,
	}
	return &ControlClient{Client: http.Client{Transport: pool}, pool: pool}
}

// Close closes the idle connections.
func (c *ControlClient) Close() { c.pool.CloseIdleConnections() }
