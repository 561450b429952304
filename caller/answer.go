package caller

import (
	"io"
	"time"
)

// Answer is the answer of an upstream on its way back to the caller. The reader of Body must close
// it; a Read error other than io.EOF means that the answer is incomplete and must not be passed on
// as whole.
type Answer struct {
	Status   int                 // HTTP status code
	Header   map[string][]string // end-to-end header fields; canonical names
	Body     io.ReadCloser
	Length   int64         // bytes of Body, or -1 when unknown
	Upstream string        // ID of the instance that served the request
	Waited   time.Duration // for a slot of the upstream
}

// Statuses by which an upstream answers that it failed (RFC 9110, section 15.6).
const (
	statusInternalError = 500
	statusBadGateway    = 502
	statusUnavailable   = 503
	statusGatewayTime   = 504
)

// Failed reports whether the upstream answered that it failed, rather than that the request is at fault. A fast failure
// must not make an upstream look lightly loaded.
func (a *Answer) Failed() bool {
	switch a.Status {
	case statusInternalError, statusBadGateway, statusUnavailable, statusGatewayTime:
		return true
	}
	return false
}
