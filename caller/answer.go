package caller

import (
	"io"
	"time"
)

// Answer is the response of an upstream to a caller. The reader of Body must close it. A Read error
// other than io.EOF means that the response is incomplete; it must not be passed on as complete.
type Answer struct {
	Status   int                 // HTTP status code
	Header   map[string][]string // end-to-end header fields; canonical names
	Body     io.ReadCloser
	Length   int64         // length of Body in bytes, -1 when unknown
	Upstream string        // ID of the instance that served the request
	Waited   time.Duration // time in the queue for a slot of the upstream
	Notice   Notice        // what the upstream states about itself
}

// Status codes that report a failure of the upstream (RFC 9110, section 15.6).
const (
	statusInternalError  = 500
	statusBadGateway     = 502
	statusUnavailable    = 503
	statusGatewayTimeout = 504
)

// Failed reports whether the status code reports a failure of the upstream rather than a fault of the request. Such
// responses are told apart because a fast failure must not make an upstream look lightly loaded.
func (a *Answer) Failed() bool {
	switch a.Status {
	case statusInternalError, statusBadGateway, statusUnavailable, statusGatewayTimeout:
		return true
	}
	return false
}
