// Package metrics holds the counters and histograms of the process and writes them in the Prometheus
// text format. Each refusal reason and each retry reason has its own counter. The package imports no
// other package of the project, so that every package can use it.
package metrics

import (
	"fmt"
	"io"
	"sync"

	vm "github.com/VictoriaMetrics/metrics"
)

var (
	set              = vm.NewSet()
	refusals         sync.Map // *vm.Counter by reason
	retries          sync.Map // *vm.Counter by reason
	unlistedRefusals = set.NewCounter("magnoliawharf_refusals_unlisted_total")
)

// RegisterReasons creates the counters of the reasons, so that they are exported with 0 before their first increment.
func RegisterReasons[R ~string](reasons []R) {
	for _, reason := range reasons {
		refusals.Store(string(reason), set.GetOrCreateCounter(fmt.Sprintf(`magnoliawharf_refusals_total{reason=%q}`, reason)))
		retries.Store(string(reason), set.GetOrCreateCounter(fmt.Sprintf(`magnoliawharf_retries_total{reason=%q}`, reason)))
	}
}

// CountRefusal counts a refusal that was returned to a caller.
func CountRefusal[R ~string](reason R) { increment(&refusals, string(reason)) }

// CountRetry counts a retry of a request that was refused for the reason.
func CountRetry[R ~string](reason R) { increment(&retries, string(reason)) }

// increment counts the reason, or an unlisted one when it is not registered.
func increment(counters *sync.Map, reason string) {
	if counter, ok := counters.Load(reason); ok {
		counter.(*vm.Counter).Inc()
		return
	}
	unlistedRefusals.Inc()
}

// Counter returns the counter with the name and creates it if needed. Labels are part of the name.
func Counter(name string) *vm.Counter { return set.GetOrCreateCounter(name) }

// FloatCounter returns the counter of a sum, such as seconds, with the name and creates it if needed.
func FloatCounter(name string) *vm.FloatCounter { return set.GetOrCreateFloatCounter(name) }

// Write writes all metrics, including those of the Go process, in the Prometheus text format.
func Write(w io.Writer) {
	set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}

// Histogram returns the histogram with the name and one label value, and creates it if needed.
func Histogram(name, label, value string) *vm.Histogram {
	return set.GetOrCreateHistogram(fmt.Sprintf("%s{%s=%q}", name, label, value))
}
