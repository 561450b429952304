package peerhttp

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawharf/magnoliawharf/caller"
	"github.com/magnoliawharf/magnoliawharf/instance"
	"github.com/magnoliawharf/magnoliawharf/metrics"
)

// CancelPath is the path on the peer listener at which a node tells that it has given up a forwarded request. The connection of the request
// tells so too, but not where its end is not noticed, such as behind a body that is not read yet.
const CancelPath = "/cancel"

// cancelTimeout bounds one cancellation. Later, the request has begun or the end of its connection has been noticed.
const cancelTimeout = 500 * time.Millisecond

var (
	cancellationsSent    = metrics.Counter("magnoliawharf_cancellations_sent_total")
	cancellationsInvalid = metrics.Counter("magnoliawharf_cancellations_invalid_total")
	cancelledByPeer      = metrics.Counter("magnoliawharf_cancellations_applied_total")
)

// isGivenUp reports whether the request was given up, so that it must not begin. An attempt that another one has superseded may begin: that
// costs work, but a message for each costs more.
func isGivenUp(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), caller.ErrSuperseded)
}

// cancel tells the node at addr that the request with the metadata call was given up. It does not report a failure: the end of the
// connection of the request tells the same.
func (c *Client) cancel(addr, call string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+CancelPath, nil)
	if err != nil {
		return
	}
	request.Header.Set(headerCall, call)
	cancellationsSent.Inc()
	if response, _, err := c.outbound.RoundTrip(ctx, request); err == nil {
		_ = response.Body.Close()
	}
}

// callKey identifies a forwarded attempt.
type callKey struct {
	from    instance.ID
	id      string
	attempt int
}

// calls are the forwarded requests in progress. It is safe for concurrent use.
type calls struct{ cancels sync.Map } // of callKey to *context.CancelFunc

// begin records the call, which cancel ends, until done is called.
func (c *calls) begin(call callMetadata, cancel context.CancelFunc) (done func()) {
	key, value := callKey{call.from, call.id, call.attempt}, &cancel
	c.cancels.Store(key, value)
	return func() { c.cancels.CompareAndDelete(key, value) }
}

// cancel ends the call and reports whether it was in progress.
func (c *calls) cancel(call callMetadata) bool {
	cancel, found := c.cancels.LoadAndDelete(callKey{call.from, call.id, call.attempt})
	if found {
		(*cancel.(*context.CancelFunc))()
	}
	return found
}

// serveCancellation handles a request to CancelPath.
func (s *Server) serveCancellation(w http.ResponseWriter, r *http.Request) {
	call, err := decodeCall(r.Header.Get(headerCall))
	switch {
	case r.Method != http.MethodPost:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case err != nil:
		cancellationsInvalid.Inc()
		http.Error(w, err.Error(), http.StatusBadRequest)
	case !s.calls.cancel(call):
		w.WriteHeader(http.StatusNotFound) // it has ended
	default:
		cancelledByPeer.Inc()
		w.WriteHeader(http.StatusNoContent)
	}
}
