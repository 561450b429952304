// Package metrics holds the counters of a node. Each refusal reason and each retry reason has a
// counter of its own. It imports no other package of the project, so that all of them can count.
package metrics

import (
	"fmt"
	"io"
	"sync"

	vm "github.com/VictoriaMetrics/metrics"
)

var (
	set      = vm.NewSet()
	refusals sync.Map // *vm.Counter by reason
	retries  sync.Map // *vm.Counter by reason
	unlisted = set.NewCounter("magnoliawharf_refusals_unlisted_total")
)

// RegisterReasons creates the counters of the reasons, so that they show before they first count.
func RegisterReasons[R ~string](reasons []R) {
	for _, reason := range reasons {
		refusals.Store(string(reason), set.GetOrCreateCounter(fmt.Sprintf(`magnoliawharf_refusals_total{reason=%q}`, reason)))
		retries.Store(string(reason), set.GetOrCreateCounter(fmt.Sprintf(`magnoliawharf_retries_total{reason=%q}`, reason)))
	}
}

// Refusal counts a request refused to its caller.
func Refusal[R ~string](reason R) { count(&refusals, string(reason)) }

// Retry counts an attempt repeated for the reason.
func Retry[R ~string](reason R) { count(&retries, string(reason)) }

func count(counters *sync.Map, reason string) {
	if counter, ok := counters.Load(reason); ok {
		counter.(*vm.Counter).Inc()
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

// Histogram returns the histogram of the name for one value of a label, creating it when needed.
func Histogram(name, label, value string) *vm.Histogram {
	return set.GetOrCreateHistogram(fmt.Sprintf("%s{%s=%q}", name, label, value))
}
