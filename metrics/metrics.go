// Package metrics holds the counters of a node. Each refusal reason and each retry reason has a
// counter of its own.
package metrics

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/magnoliawharf/magnoliawharf/caller"
)

var (
	set      = vm.NewSet()
	refusals = reasonCounters("magnoliawharf_refusals_total")
	retries  = reasonCounters("magnoliawharf_retries_total")
	unlisted = set.NewCounter("magnoliawharf_refusals_unlisted_total")
)

func reasonCounters(name string) map[caller.Reason]*vm.Counter {
	counters := make(map[caller.Reason]*vm.Counter, len(caller.Reasons))
	for _, reason := range caller.Reasons {
		counters[reason] = set.NewCounter(fmt.Sprintf(`%s{reason=%q}`, name, reason))
	}
	return counters
}

// Refusal counts a request refused to its caller.
func Refusal(reason caller.Reason) { count(refusals, reason) }

// Retry counts an attempt repeated for the reason.
func Retry(reason caller.Reason) { count(retries, reason) }

func count(counters map[caller.Reason]*vm.Counter, reason caller.Reason) {
	if counter, ok := counters[reason]; ok {
		counter.Inc()
		return
	}
	unlisted.Inc()
}

// Counter returns the counter with the name, creating it when needed. Labels are part of the name.
func Counter(name string) *vm.Counter { return set.GetOrCreateCounter(name) }

// Write writes all counters in the Prometheus text format.
func Write(w io.Writer) {
	set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}
