package caller

import "io"

// Answer is the answer of an upstream on its way back to the caller. The reader of Body must close
// it; a Read error other than io.EOF means that the answer is incomplete and must not be passed on
// as whole.
type Answer struct {
	Status   int                 // HTTP status code
	Header   map[string][]string // end-to-end header fields; canonical names
	Body     io.ReadCloser
	Length   int64  // bytes of Body, or -1 when unknown
	Upstream string // ID of the instance that served the request
}
