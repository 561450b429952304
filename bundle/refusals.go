package bundle

import (
	"fmt"
	"strings"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/magnoliawharf/magnoliawharf/metrics"
)

// Origins of a release.
const (
	originStore     = "store"
	originBroadcast = "broadcast"
	originPeer      = "peer"
)

// refusalTypes are the types of errors for which a node refuses a release, each with a counter. The
// remaining types are invalid contents.
var refusalTypes = []*errorx.Type{
	ErrMalformed, ErrTooLarge, ErrUnsigned, ErrUntrustedKey, ErrKeyExpired, ErrBadSignature, ErrOlder,
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

// reasonOf returns the reason that counters and logs use for a type, such as "bad-signature".
func reasonOf(kind *errorx.Type) string {
	return strings.ReplaceAll(strings.TrimPrefix(kind.FullName(), namespace.FullName()+"."), "_", "-")
}

func refusalCounter(reason string) *vm.Counter {
	return metrics.Counter(fmt.Sprintf(`magnoliawharf_bundle_refusals_total{reason=%q}`, reason))
}

func appliedCounter(origin string) *vm.Counter {
	return metrics.Counter(fmt.Sprintf(`magnoliawharf_bundle_applied_total{origin=%q}`, origin))
}

// countRefusal counts an error of this package under its reason and reports whether it is one.
// Others are failures to reach the store or a peer.
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
