package transport

import (
	"math"
	"net/http"
	"strconv"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

// statusClientClosedRequest is the non-standard status for a request whose caller has disconnected. Only
// other nodes receive it.
const statusClientClosedRequest = 499

// StatusOf returns the HTTP status of a refusal.
func StatusOf(refusal *caller.Refusal) int {
	switch refusal.Reason {
	case caller.BadRequest, caller.KeyMissing, caller.KeyInvalid:
		return http.StatusBadRequest
	case caller.NoService, caller.NoRoute:
		return http.StatusNotFound
	case caller.KeyInProgress, caller.KeyUnknown, caller.KeyExpired, caller.KeyAlreadyRun:
		return http.StatusConflict
	case caller.DeadlinePassed:
		return http.StatusGatewayTimeout
	case caller.Quarantined:
		return http.StatusUnprocessableEntity
	case caller.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case caller.Cancelled:
		return statusClientClosedRequest
	case caller.DepthExceeded:
		return http.StatusLoopDetected
	case caller.Unauthenticated:
		return http.StatusUnauthorized
	case caller.QuotaExceeded:
		return http.StatusTooManyRequests
	}
	if refusal.Ran == caller.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// WriteRefusal writes the refusal as an HTTP response: its reason, whether the request ran, and the delay
// after which a retry may succeed.
func WriteRefusal(w http.ResponseWriter, refusal *caller.Refusal) {
	header := w.Header()
	header.Set(HeaderRefusal, string(refusal.Reason))
	header.Set(HeaderRan, refusal.Ran.String())
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
		header.Set(HeaderRetryAfter, strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(StatusOf(refusal))
	_, _ = w.Write([]byte(string(refusal.Reason) + ": the request is " + refusal.Ran.String() + "\n"))
}
