package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/magnoliawharf/magnoliawharf/metrics"
)

// RunState states whether an upstream ran a request.
type RunState uint8

// Values of RunState.
const (
	Unknown  RunState = iota // the request may have run
	NotRun                   // the request certainly did not run
	Answered                 // the upstream sent a response
)

// String returns the form used in headers: "unknown", "not-run" or "answered".
func (r RunState) String() string {
	switch r {
	case NotRun:
		return "not-run"
	case Answered:
		return "answered"
	default:
		return "unknown"
	}
}

// ParseRunState returns the value whose String is text. Any other text gives Unknown, the safe value.
func ParseRunState(text string) RunState {
	switch text {
	case "not-run":
		return NotRun
	case "answered":
		return Answered
	default:
		return Unknown
	}
}

// Reason is the cause of a refusal, in the form used in headers. Each reason has its own counter.
type Reason string

// Reasons for the refusal of a request.
const (
	BadRequest          Reason = "bad-request"
	NoService           Reason = "no-service"
	NoRoute             Reason = "no-route"
	NoBundle            Reason = "no-bundle"
	NoUpstream          Reason = "no-upstream"
	Draining            Reason = "draining"
	ColdUpstream        Reason = "cold"
	NotReady            Reason = "not-ready"
	StaleIncarnation    Reason = "stale-incarnation"
	StaleBundle         Reason = "stale-bundle"
	QueueFull           Reason = "queue-full"
	DeadlineUnmeetable  Reason = "deadline-unmeetable"
	DeadlinePassed      Reason = "deadline-passed"
	Cancelled           Reason = "cancelled"
	Overload            Reason = "overload"
	RateLimited         Reason = "rate-limited"
	Evacuated           Reason = "evacuated"
	Unauthenticated     Reason = "unauthenticated"
	ContractsStale      Reason = "contracts-stale"
	QuotaExceeded       Reason = "quota-exceeded"
	QuotaUnavailable    Reason = "quota-unavailable"
	DepthExceeded       Reason = "depth-exceeded"
	Quarantined         Reason = "quarantined"
	KeyMissing          Reason = "key-missing"
	KeyInvalid          Reason = "key-invalid"
	KeyExpired          Reason = "key-expired"
	KeyInProgress       Reason = "key-in-progress"
	KeyUnknown          Reason = "key-unknown"
	KeyAlreadyRun       Reason = "key-already-run"
	NoKeeper            Reason = "no-keeper"
	PeerUnreachable     Reason = "peer-unreachable"
	PeerLost            Reason = "peer-lost"
	UpstreamUnreachable Reason = "upstream-unreachable"
	UpstreamLost        Reason = "upstream-lost"
	KeptConnectionLost  Reason = "kept-connection-lost"
	UpstreamRejected    Reason = "upstream-rejected"
	AnswerMismatch      Reason = "answer-mismatch"
	BodyCut             Reason = "body-cut"
	BodyTooLarge        Reason = "body-too-large"
)

// Reasons lists every reason, in the order of the constants.
var Reasons = []Reason{
	BadRequest, NoService, NoRoute, NoBundle, NoUpstream, Draining, ColdUpstream, NotReady,
	StaleIncarnation, StaleBundle, QueueFull, DeadlineUnmeetable, DeadlinePassed, Cancelled,
	Overload, RateLimited, Evacuated, Unauthenticated, ContractsStale, QuotaExceeded, QuotaUnavailable, DepthExceeded,
	Quarantined, KeyMissing, KeyInvalid, KeyExpired,
	KeyInProgress, KeyUnknown, KeyAlreadyRun, NoKeeper, PeerUnreachable, PeerLost,
	UpstreamUnreachable, UpstreamLost, KeptConnectionLost, UpstreamRejected, AnswerMismatch, BodyCut, BodyTooLarge,
}

func init() { metrics.RegisterReasons(Reasons) }

// Known reports whether r is one of Reasons.
func (r Reason) Known() bool {
	for _, known := range Reasons {
		if r == known {
			return true
		}
	}
	return false
}

// Refusal is the error of a request for which there is no response of an upstream.
type Refusal struct {
	Reason     Reason
	Ran        RunState
	RetryAfter time.Duration // delay after which the caller may retry; 0 when a retry is not expected to help
	Step       string        // processing step that refused the request
	Peer       string        // instance or address that refused it, "" for this node
	Cause      error
}

// Refuse returns the refusal of a request that certainly did not run.
func Refuse(reason Reason, step, peer string) *Refusal {
	return &Refusal{Reason: reason, Ran: NotRun, Step: step, Peer: peer}
}

// RefuseUncertain returns the refusal of a request that may have run.
func RefuseUncertain(reason Reason, step, peer string, cause error) *Refusal {
	return &Refusal{Reason: reason, Ran: Unknown, Step: step, Peer: peer, Cause: cause}
}

// AsRefusal returns the refusal that err wraps. For any other error it returns a refusal with the given reason and step,
// of a request that may have run.
func AsRefusal(err error, reason Reason, step string) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return RefuseUncertain(reason, step, "", err)
}

// ContextReason returns the reason for which the context of a request has ended: that of the refusal with which this node
// cancelled it, else the deadline or the caller.
func ContextReason(ctx context.Context) Reason {
	var refusal *Refusal
	switch {
	case errors.As(context.Cause(ctx), &refusal):
		return refusal.Reason
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return DeadlinePassed
	}
	return Cancelled
}

// Error implements error.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", r.Step, r.Reason, r.Ran)
	if r.Peer != "" {
		text = fmt.Sprintf("%s at %s: %s (%s)", r.Step, r.Peer, r.Reason, r.Ran)
	}
	if r.Cause != nil {
		text += ": " + r.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }
