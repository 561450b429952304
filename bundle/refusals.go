package bundle

import (
	"fmt"
	"strings"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/magnoliawharf/magnoliawharf/metrics"
)

// Origins of a release, the label values of magnoliawharf_bundle_applied_total.
const (
	originStore     = "store"
	originBroadcast = "broadcast"
	originPeer      = "peer"
)

// refusalTypes are the error types for which a node refuses a release and that have a counter of their own. All other
// types of this package are counted as "invalid".
var refusalTypes = []*errorx.Type{
	ErrMalformed, ErrTooLarge, ErrUnsigned, ErrUntrustedKey, ErrKeyExpired, ErrBadSignature, ErrOlderVersion,
	ErrEquivocation, ErrRootMismatch, ErrMissingPart,
}

var (
	refusals      = refusalCounters()
	invalid       = refusalCounter("invalid")
	fetchFailures = metrics.Counter("magnoliawharf_bundle_fetch_failures_total")
	applied       = map[string]*vm.Counter{
		originStore:     appliedCounter(originStore),
		originBroadcast: appliedCounter(originBroadcast),
		originPeer:      appliedCounter(originPeer),
	}
)

func refusalCounters() map[*errorx.Type]*vm.Counter {
	counters := make(map[*errorx.Type]*vm.Counter, len(refusalTypes))
	for _, kind := range refusalTypes {
		counters[kind] = refusalCounter(reasonOf(kind))
	}
	return counters
}

// reasonOf returns the reason of an error type as used in metrics and logs, such as "bad-signature".
func reasonOf(kind *errorx.Type) string {
	return strings.ReplaceAll(strings.TrimPrefix(kind.FullName(), namespace.FullName()+"."), "_", "-")
}

func refusalCounter(reason string) *vm.Counter {
	return metrics.Counter(fmt.Sprintf(`magnoliawharf_bundle_refusals_total{reason=%q}`, reason))
}

func appliedCounter(origin string) *vm.Counter {
	return metrics.Counter(fmt.Sprintf(`magnoliawharf_bundle_applied_total{origin=%q}`, origin))
}

// countRefusal counts an error of this package under its reason and returns true. It counts any other error as a
// failure to reach the store or a peer and returns false.
func countRefusal(err error) bool {
	typed := errorx.Cast(err)
	if typed == nil || !namespace.IsNamespaceOf(typed.Type()) {
		fetchFailures.Inc()
		return false
	}
	if counter, ok := refusals[typed.Type()]; ok {
		counter.Inc()
		return true
	}
	invalid.Inc()
	return true
}
