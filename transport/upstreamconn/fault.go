package upstreamconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/magnoliawharf/magnoliawharf/metrics"
	"github.com/magnoliawharf/magnoliawharf/transport/answerhead"
)

// fault is the error of an exchange in which the upstream sent bytes that are not the answer to the request. Its value is
// a label of the counter.
type fault string

const (
	headTooLong        fault = "head-too-long"
	malformed          fault = "malformed"
	invalidStatus      fault = "invalid-status-line"
	protocolSwitched   fault = "protocol-switched"
	noMatchingAnswer   fault = "no-matching-answer"
	skippedBodyTooLong fault = "skipped-body-too-long"
)

var faultTexts = map[fault]string{
	headTooLong:        fmt.Sprintf("the head of the answer is longer than %d bytes", maxAnswerHead),
	malformed:          "the upstream sent bytes that are no HTTP answer",
	invalidStatus:      "the upstream sent an answer without a valid status line",
	protocolSwitched:   "the upstream switched protocols without an Upgrade request",
	noMatchingAnswer:   "the upstream sent only answers to other requests",
	skippedBodyTooLong: fmt.Sprintf("the body of an answer to another request is longer than %d bytes", maxSkippedBody),
}

// skipReason is the reason to skip an answer. Its value is a label of the counter.
type skipReason string

const (
	otherRequestID  skipReason = "other-request-id"
	noRequestID     skipReason = "no-request-id"
	unprovenRefusal skipReason = "unproven-refusal"
)

// connUse describes when a kept connection was last used before a request was lost on it. Its value is a label of the
// counter.
type connUse string

const (
	recentlyUsed connUse = "recently-used" // within maxIdleNonRepeatable: the upstream probably reset the request itself
	longIdle     connUse = "long-idle"     // before: the upstream had probably closed the connection
)

// init exports the counters with 0 before their first increment.
func init() {
	for f := range faultTexts {
		f.counter()
	}
	for _, reason := range []skipReason{otherRequestID, noRequestID, unprovenRefusal} {
		reason.counter()
	}
	for _, use := range []connUse{recentlyUsed, longIdle} {
		use.counter()
	}
}

// connUseOf returns the class of a connection that was idle for the given time.
func connUseOf(idle time.Duration) connUse {
	if idle < maxIdleNonRepeatable {
		return recentlyUsed
	}
	return longIdle
}

func (u connUse) counter() *vm.Counter {
	return metrics.Counter(fmt.Sprintf(`magnoliawharf_upstream_kept_connections_lost_total{reason=%q}`, string(u)))
}

func (r skipReason) counter() *vm.Counter {
	return metrics.Counter(fmt.Sprintf(`magnoliawharf_upstream_answers_skipped_total{reason=%q}`, string(r)))
}

// Error implements error.
func (f fault) Error() string { return faultTexts[f] }

func (f fault) counter() *vm.Counter {
	return metrics.Counter(fmt.Sprintf(`magnoliawharf_upstream_faults_total{reason=%q}`, string(f)))
}

// countFault counts the fault that the error of an exchange names, if it names one.
func countFault(err error) {
	var f fault
	if errors.As(err, &f) {
		f.counter().Inc()
	}
}

// headError returns the error of a head that cannot be read: malformed, unless the connection ended or names its own cause.
func headError(err error) error {
	var f fault
	var network net.Error
	if errors.As(err, &f) || errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return fmt.Errorf("%w: %w", malformed, err)
}

// invalidHeadError returns the error of a head that is read and not valid.
func invalidHeadError(err error) error {
	if errors.Is(err, answerhead.ErrFieldName) {
		return fmt.Errorf("%w: %w", malformed, err)
	}
	return fmt.Errorf("%w: %w", invalidStatus, err)
}
