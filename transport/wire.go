// Package transport holds what the HTTP adapters share: header field names, the forwarding of end-to-end
// header fields, the streaming of bodies, the HTTP form of answers and refusals, and pooled clients.
package transport

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
)

// Header fields of magnoliawharf. Callers may set HeaderTimeout and HeaderChain; all other fields with
// HeaderPrefix are removed from what callers and upstreams send.
const (
	HeaderPrefix      = "Magnoliawharf-"
	HeaderTimeout     = "Magnoliawharf-Timeout"
	HeaderChain       = "Magnoliawharf-Chain"
	HeaderRefusal     = "Magnoliawharf-Refusal"
	HeaderRan         = "Magnoliawharf-Ran"
	HeaderUpstream    = "Magnoliawharf-Upstream"
	HeaderVersion     = "Magnoliawharf-Version"
	HeaderRequestID   = "Magnoliawharf-Request-Id"
	HeaderRetryAfter  = "Magnoliawharf-Retry-After" // in milliseconds, while Retry-After is in seconds
	HeaderIdempotency = "Idempotency-Key"
)

// copyBufferSize bounds the memory that one body uses in one direction, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// hopByHop lists the fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of the fields that are forwarded to the next hop: all but the hop-by-hop fields
// and those with HeaderPrefix.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, HeaderPrefix) {
			out[name] = values
		}
	}
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// Stream copies src to w and flushes after each read, so that a caller receives bytes as they arrive.
func Stream(w http.ResponseWriter, src io.Reader) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := src.Read(buffer[:])
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := controller.Flush(); flushErr != nil {
				return flushErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
