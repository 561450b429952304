package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// refusedBodyTimeout is how long the rest of the body of a refused request is read.
const refusedBodyTimeout = 100 * time.Millisecond

// RequestBody is the body of a request that a server has received. It records whether the body was read to its end. It may be
// read and limited by different goroutines.
type RequestBody struct {
	io.ReadCloser
	complete atomic.Bool
}

// TrackBody replaces the body of the request, unless it is empty, and returns it.
func TrackBody(r *http.Request) *RequestBody {
	body := &RequestBody{ReadCloser: r.Body}
	if r.ContentLength == 0 {
		body.complete.Store(true)
		return body
	}
	r.Body = body
	return body
}

// Read implements io.Reader.
func (b *RequestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete.Store(true)
	}
	return n, err
}

// InterruptBody ends reads of the request's body when the context of the request ends, so that a request which the server has
// cancelled is answered although its body is incomplete. stop ends this.
func InterruptBody(w http.ResponseWriter, r *http.Request) (stop func() bool) {
	return context.AfterFunc(r.Context(), func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
}

// BodyRefusal returns the refusal of a request whose body ended early with err, before the first attempt: that with which the
// server has cancelled the request, if it has.
func BodyRefusal(r *http.Request, err error, step string) *caller.Refusal {
	var refusal *caller.Refusal
	if errors.As(context.Cause(r.Context()), &refusal) {
		return refusal
	}
	refusal = caller.Refuse(caller.BodyCut, step, "")
	refusal.Cause = err
	return refusal
}

// LimitRest bounds the wait for the rest of the body of a request that is about to be refused: net/http reads a short rest
// before it sends the answer. After the end of the body it sets no deadline: net/http then reads the connection to notice that
// the caller is gone, and takes a deadline that passes for the loss of the connection.
func (b *RequestBody) LimitRest(w http.ResponseWriter) {
	if !b.complete.Load() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	}
}
