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
	controlBuffer      = 4 << 10 // bytes; control messages are short
)

// ControlClient is the HTTP client of control messages between nodes. Its connections are apart from
// those of the data path, so that bodies do not hold control messages up.
type ControlClient struct {
	http.Client
	pool *http.Transport
}

// NewControlClient returns a client with its own connection pool.
func NewControlClient() *ControlClient {
	pool := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: controlDialTimeout}).DialContext,
		MaxIdleConnsPerHost: controlIdlePerPeer, IdleConnTimeout: controlIdleTimeout,
		ReadBufferSize: controlBuffer, WriteBufferSize: controlBuffer, DisableCompression: true,
	}
	return &ControlClient{Client: http.Client{Transport: pool}, pool: pool}
}

// Close closes the idle connections.
func (c *ControlClient) Close() { c.pool.CloseIdleConnections() }
